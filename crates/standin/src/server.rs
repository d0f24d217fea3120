//! HTTP server on a thread of its own, which ends like a killed process.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
};

use ntex::{
    Pipeline, ServiceFactory, SharedCfg, fn_service,
    http::{HttpService, HttpServiceConfig, KeepAlive, Request, Response},
    rt,
};
use tokio::sync::oneshot;

/// What a server serves.
pub(crate) trait Site: Send + Sync + 'static {
    /// Kept for as long as a connection is open.
    type Connection: 'static;

    /// Waits until connections may be accepted.
    async fn ready(&self) {}

    /// Admits a connection, or closes it at once.
    fn admit(self: &Arc<Self>) -> Option<Self::Connection>;

    /// Answers a request.
    async fn answer(self: Arc<Self>, request: Request) -> Response;

    /// Waits until the server must end on its own.
    async fn ended(&self) {
        std::future::pending().await
    }
}

/// A running server. Its end closes the listener and all connections without notice.
pub(crate) struct Server {
    address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

/// Binds a free port of the loopback interface.
pub(crate) fn listen() -> io::Result<TcpListener> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
}

impl Server {
    pub(crate) fn start<S: Site>(listener: TcpListener, site: Arc<S>) -> io::Result<Self> {
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let (stop, stopped) = oneshot::channel();
        let thread = thread::Builder::new()
            .name(format!("standin-{}", address.port()))
            .spawn(move || run(listener, site, stopped))?;
        Ok(Self {
            address,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Ends the server and waits for its thread.
    pub(crate) fn stop(&mut self) {
        self.stop.take();
        if let Some(thread) = self.thread.take() {
            // A panic of the server's thread has been printed by then.
            let _ = thread.join();
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop();
    }
}

fn run<S: Site>(listener: TcpListener, site: Arc<S>, stopped: oneshot::Receiver<()>) {
    let system = rt::System::new("standin", rt::DefaultRuntime);
    system.block_on(async move {
        tokio::select! {
            _ = stopped => {}
            () = site.ended() => {}
            result = accept(listener, &site) => result.expect("the listener works"),
        }
    });
}

async fn accept<S: Site>(listener: TcpListener, site: &Arc<S>) -> io::Result<()> {
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let http = HttpServiceConfig::new().set_keepalive(KeepAlive::Os);
    let config = SharedCfg::new("standin").add(http).build();
    loop {
        site.ready().await;
        let stream = listener.accept().await?.0.into_std()?;
        if let Some(connection) = site.admit() {
            let served = serve(stream, config.clone(), site.clone());
            rt::spawn(async move {
                served.await;
                drop(connection);
            })
            .detach();
        }
    }
}

async fn serve<S: Site>(stream: TcpStream, config: SharedCfg, site: Arc<S>) {
    let service = HttpService::h1(fn_service(move |request: Request| {
        let site = site.clone();
        async move { Ok::<_, io::Error>(site.answer(request).await) }
    }));
    let Ok(io) = rt::from_tcp_stream(stream, config.clone()) else {
        return;
    };
    if let Ok(service) = service.create(config).await {
        // A connection that breaks is no fault of the server.
        let _ = Pipeline::new(service).call(io).await;
    }
}
