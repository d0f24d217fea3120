//! A running daemon: its threads and the channels between them.

use std::{
    net::{SocketAddr, TcpListener},
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
};

use anyhow::{Context, Result};
use crossbeam_channel::{Receiver, Sender};
use ntex::{
    rt::{DefaultRuntime, System},
    web::{self, App, HttpServer},
};
use ragwortrill_core::{
    event::Event,
    node::{Config, Node},
    process::Process,
};
use tokio::sync::mpsc;

use crate::{
    Clock, callers,
    closing::Closing,
    control, log_service,
    metrics::Metrics,
    node_loop::{self, BufferedSender, Outputs},
    operators::{self, Ready, ServerState, WorkerState},
    peers::Peers,
    progress,
    recent::Recent,
    settings::Settings,
    shared::{INBOX_CAPACITY, Inbound, Shared},
    shutdown::Shutdown,
};

/// Capacity of each channel from the node thread.
const CHANNEL_CAPACITY: usize = 4_096;

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    addresses: Addresses,
    process: Process,
    inbox: Sender<Inbound>,
    shutdown: Arc<Shutdown>,
    exit: Receiver<()>,
    servers: Vec<web_server::Handle>,
    threads: Vec<JoinHandle<()>>,
}

/// Addresses that a daemon listens on.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// Address for callers' requests.
    pub callers: SocketAddr,
    /// Address for links from other daemons.
    pub peers: SocketAddr,
    /// Address for operators' requests.
    pub operators: SocketAddr,
}

mod web_server {
    /// Handle of a running HTTP server.
    pub(super) struct Handle(pub(super) ntex::server::Server);

    impl Handle {
        /// Stops the server without waiting for its connections.
        pub(super) fn stop(self) {
            drop(self.0.stop(false));
        }
    }

    impl std::fmt::Debug for Handle {
        fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
            f.write_str("Handle")
        }
    }
}

impl Daemon {
    /// Starts a daemon. Port 0 in the settings selects any free port.
    pub fn start(settings: Settings) -> Result<Self> {
        let callers = bind(settings.callers, "callers")?;
        let peers = bind(settings.peers, "peers")?;
        let operators = bind(settings.operators, "operators")?;
        let addresses = Addresses {
            callers: callers.local_addr()?,
            peers: peers.local_addr()?,
            operators: operators.local_addr()?,
        };
        let process = Process {
            host: settings.host.clone(),
            incarnation: incarnation(),
        };
        let (inbox, events) = crossbeam_channel::bounded(INBOX_CAPACITY);
        let (control_sender, control_receiver) = mpsc::channel(CHANNEL_CAPACITY);
        let clock = Clock::start();
        let shutdown = Arc::new(Shutdown::new(clock, settings.drain_limit));
        let shared = Shared {
            clock,
            shutdown: shutdown.clone(),
            inbox: inbox.clone(),
            registry: Arc::default(),
            links: Arc::default(),
            response_cache: Arc::default(),
            metrics: Arc::new(Metrics::new()?),
            process: process.clone(),
            published: Arc::default(),
            secret: settings.secret.as_str().into(),
            control_calls: control_sender.downgrade(),
            // The workers that serve callers, and the thread that serves links.
            sending_threads: settings.workers + 1,
        };
        let node = Node::new(Config {
            process: process.clone(),
            address: addresses.peers,
            data_centre: settings.data_centre.clone(),
            times: settings.times.clone(),
        })
        .with_snapshots(settings.snapshots.policy());
        let ready: Ready = Arc::new(AtomicBool::new(true));
        let (exit_sender, exit) = crossbeam_channel::bounded(1);
        let (log_sender, log_receiver) = mpsc::channel(CHANNEL_CAPACITY);
        let (peer_sender, peer_receiver) = mpsc::channel(CHANNEL_CAPACITY);
        let unready_flag = ready.clone();
        let ending = shutdown.clone();
        let outputs = Outputs {
            log: BufferedSender::new(log_sender),
            peers: BufferedSender::new(peer_sender),
            control: BufferedSender::new(control_sender),
            unready: Box::new(move || unready_flag.store(false, Ordering::Relaxed)),
            exit: Box::new(move || {
                ending.finish();
                let _ = exit_sender.try_send(());
            }),
        };
        let recent = Recent::default();
        let mut threads = Vec::new();
        let node_shared = shared.clone();
        threads.push(spawn("decide", move || {
            node_loop::run(node, events, outputs, &node_shared);
        })?);
        let (log_shared, log_recent) = (shared.clone(), recent.clone());
        let (log, wait) = (settings.log, settings.times.log_wait);
        threads.push(spawn_local("log", async move || {
            log_service::run(log, wait, log_receiver, log_recent, log_shared).await;
        })?);
        let links = Peers {
            shared: shared.clone(),
            data_centre: settings.data_centre.clone(),
            recent,
        };
        let bootstrap = settings.bootstrap;
        threads.push(spawn_local("peers", async move || {
            ntex::rt::spawn(links.clone().start_without_log(bootstrap));
            tokio::select! {
                () = accept(links.clone(), peers) => {}
                () = links.clone().run(peer_receiver) => {}
            }
        })?);
        let control_shared = shared.clone();
        threads.push(spawn_local("probe", async move || {
            control::run(control_receiver, control_shared).await;
        })?);
        let server_state = ServerState {
            shared: shared.clone(),
            ready: ready.clone(),
            token: settings.operator_token.into(),
            log: settings.log,
        };
        let servers = vec![
            serve_callers(callers, settings.workers, shared, ready)?,
            serve_operators(operators, server_state)?,
        ];
        Ok(Self {
            addresses,
            process,
            inbox,
            shutdown,
            exit,
            servers,
            threads,
        })
    }

    /// Returns the addresses that the daemon listens on.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Returns the daemon's process.
    pub fn process(&self) -> &Process {
        &self.process
    }

    /// Starts a graceful shutdown.
    pub fn stop(&self) {
        self.shutdown.start();
        let _ = self.inbox.send(Inbound::Event(Event::Stop));
    }

    /// Waits until a graceful shutdown has ended, at most for `limit`. Returns true if all requests
    /// have ended.
    pub fn wait(&self, limit: std::time::Duration) -> bool {
        self.exit.recv_timeout(limit).is_ok()
    }

    /// Ends all threads. It cuts requests that still run, so call it after a graceful shutdown, or
    /// to simulate a crash of the process.
    pub fn close(self) {
        let _ = self.inbox.send(Inbound::Close);
        for server in self.servers {
            server.stop();
        }
        for thread in self.threads {
            if thread.join().is_err() {
                log::error!("a thread of the daemon has panicked");
            }
        }
    }
}

fn bind(address: SocketAddr, purpose: &str) -> Result<TcpListener> {
    TcpListener::bind(address)
        .with_context(|| format!("address {address} for {purpose} can't be bound; free the port"))
}

fn incarnation() -> u64 {
    rand::random()
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> Result<JoinHandle<()>> {
    Ok(thread::Builder::new().name(name.to_owned()).spawn(run)?)
}

/// Starts a thread with an event loop of its own.
fn spawn_local<F>(name: &'static str, run: F) -> Result<JoinHandle<()>>
where
    F: AsyncFnOnce() + Send + 'static,
{
    spawn(name, move || {
        System::new(name, DefaultRuntime).block_on(async move { run().await });
    })
}

async fn accept(peers: Peers, listener: TcpListener) {
    let listener = listener
        .set_nonblocking(true)
        .and_then(|()| tokio::net::TcpListener::from_std(listener));
    match listener {
        Ok(listener) => peers.accept(listener).await,
        Err(error) => {
            log::error!("links from other daemons can't be accepted: {error}; restart the daemon")
        }
    }
}

fn serve_callers(
    listener: TcpListener,
    workers: usize,
    shared: Shared,
    ready: Ready,
) -> Result<web_server::Handle> {
    start_server("callers", move || {
        let server = HttpServer::new(async move || {
            let closing = Closing {
                shared: shared.clone(),
                ready: ready.clone(),
            };
            App::new()
                .state(shared.clone())
                .middleware(closing)
                .route(progress::PATH, web::get().to(progress::handle))
                .default_service(web::to(callers::handle))
        });
        Ok(server
            .workers(workers)
            .disable_signals()
            .listen(listener)?
            .run())
    })
}

fn serve_operators(listener: TcpListener, server_state: ServerState) -> Result<web_server::Handle> {
    start_server("operators", move || {
        let server = HttpServer::new(async move || {
            let worker = Rc::new(WorkerState::new(server_state.clone()).await);
            App::new()
                .state(worker)
                .configure(operators::routes)
                .default_service(web::to(operators::not_found))
        });
        Ok(server.workers(1).disable_signals().listen(listener)?.run())
    })
}

/// Starts an HTTP server on a thread of its own.
fn start_server(
    name: &'static str,
    run: impl FnOnce() -> Result<ntex::server::Server> + Send + 'static,
) -> Result<web_server::Handle> {
    let (sender, receiver) = crossbeam_channel::bounded(1);
    spawn_local(name, async move || match run() {
        Ok(server) => {
            let _ = sender.send(Ok(server.clone()));
            if let Err(error) = server.await {
                log::error!(server = name; "HTTP server ended: {error}");
            }
        }
        Err(error) => {
            let _ = sender.send(Err(error));
        }
    })?;
    Ok(web_server::Handle(receiver.recv()??))
}
