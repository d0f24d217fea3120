//! HTTP server on its own thread that stops as abruptly as a killed process.

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

/// Handles the connections and requests of a server.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Value kept until the connection closes.
    type Connection: 'static;

    /// Waits until connections may be accepted.
    async fn ready(&self) {}

    /// Accepts a connection; `None` closes it.
    fn admit(self: &Arc<Self>) -> Option<Self::Connection>;

    /// Handles a request.
    async fn answer(self: Arc<Self>, request: Request) -> Response;

    /// Completes when the server must stop without a call of [`Server::stop`].
    async fn ended(&self) {
        std::future::pending().await
    }
}

/// A running server. Stopping or dropping it closes the listener and all connections at once.
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
    pub(crate) fn start<S: Handler>(listener: TcpListener, handler: Arc<S>) -> io::Result<Self> {
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let (stop, stopped) = oneshot::channel();
        let thread = thread::Builder::new()
            .name(format!("standin-{}", address.port()))
            .spawn(move || run(listener, handler, stopped))?;
        Ok(Self {
            address,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the server and waits for its thread.
    pub(crate) fn stop(&mut self) {
        self.stop.take();
        if let Some(thread) = self.thread.take() {
            // The panic hook has printed a panic of the server's thread.
            let _ = thread.join();
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop();
    }
}

fn run<S: Handler>(listener: TcpListener, handler: Arc<S>, stopped: oneshot::Receiver<()>) {
    let system = rt::System::new("standin", rt::DefaultRuntime);
    system.block_on(async move {
        tokio::select! {
            _ = stopped => {}
            () = handler.ended() => {}
            result = accept(listener, &handler) => result.expect("the listener works"),
        }
    });
}

async fn accept<S: Handler>(listener: TcpListener, handler: &Arc<S>) -> io::Result<()> {
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let http = HttpServiceConfig::new().set_keepalive(KeepAlive::Os);
    let config = SharedCfg::new("standin").add(http).build();
    loop {
        handler.ready().await;
        let stream = listener.accept().await?.0.into_std()?;
        if let Some(connection) = handler.admit() {
            let served = serve(stream, config.clone(), handler.clone());
            rt::spawn(async move {
                served.await;
                drop(connection);
            })
            .detach();
        }
    }
}

async fn serve<S: Handler>(stream: TcpStream, config: SharedCfg, handler: Arc<S>) {
    let service = HttpService::h1(fn_service(move |request: Request| {
        let handler = handler.clone();
        async move { Ok::<_, io::Error>(handler.answer(request).await) }
    }));
    let Ok(io) = rt::from_tcp_stream(stream, config.clone()) else {
        return;
    };
    if let Ok(service) = service.create(config).await {
        // A broken connection is not an error of the server.
        let _ = Pipeline::new(service).call(io).await;
    }
}
