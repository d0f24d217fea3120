//! Startup of an entry host.

use std::rc::Rc;

use anyhow::{Context, Result};
use tokio::{
    net::TcpListener,
    signal::unix::{Signal, SignalKind, signal},
    task::LocalSet,
};

use crate::{
    admission, caller, candidacy, expiry,
    follow::{self, Topic},
    lag,
    protocol::Protocol,
    reach, ready, relay, service,
    settings::Settings,
    shared::Shared,
    stop,
};

/// Length of a listener's queue of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Runs an entry host until the process gets a termination signal, then stops it as planned. A
/// hangup signal reloads the settings.
pub fn run(settings: Settings, protocol: Protocol, reload: fn() -> Result<Settings>) -> Result<()> {
    block_on(async move {
        let mut ending = signal(SignalKind::terminate())?;
        let hangups = signal(SignalKind::hangup())?;
        let shared = Rc::new(Shared::new(settings, protocol)?);
        tokio::task::spawn_local(reload_on_hangup(shared.clone(), hangups, reload));
        serve(shared, async move {
            ending.recv().await;
        })
        .await
    })
}

/// Runs an entry host until a future completes, then stops it as planned.
pub fn run_until(
    settings: Settings,
    protocol: Protocol,
    ending: impl Future<Output = ()>,
) -> Result<()> {
    let shared = Rc::new(Shared::new(settings, protocol)?);
    block_on(serve(shared, ending))
}

fn block_on(host: impl Future<Output = Result<()>>) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("the event loop can't be started")?;
    LocalSet::new().block_on(&runtime, host)
}

async fn serve(shared: Rc<Shared>, ending: impl Future<Output = ()>) -> Result<()> {
    let listen_on = shared.settings.borrow().listen.clone();
    let callers = listen(listen_on.callers)?;
    let readiness = listen(listen_on.ready)?;
    let hosts = listen_on.hosts.map(listen).transpose()?;
    let forwards = listen_on.forwards.map(listen).transpose()?;
    log::info!(
        host = shared.settings.borrow().host.as_str(), callers = listen_on.callers.to_string(),
        store = shared.settings.borrow().store.to_string();
        "host started"
    );
    let mut accepting = vec![tokio::task::spawn_local(caller::accept(
        shared.clone(),
        callers,
        false,
    ))];
    if let Some(forwards) = forwards {
        let accept = caller::accept(shared.clone(), forwards, true);
        accepting.push(tokio::task::spawn_local(accept));
    }
    tokio::task::spawn_local(service::accept(shared.clone(), readiness, ready::handle));
    if let Some(hosts) = hosts {
        tokio::task::spawn_local(service::accept(shared.clone(), hosts, ready::handle_host));
    }
    for topic in Topic::ALL {
        tokio::task::spawn_local(follow::follow(shared.clone(), topic));
    }
    tokio::task::spawn_local(relay::run(shared.clone()));
    tokio::task::spawn_local(candidacy::run(shared.clone()));
    tokio::task::spawn_local(admission::run(shared.clone()));
    tokio::task::spawn_local(admission::run_reroutes(shared.clone()));
    tokio::task::spawn_local(reach::run(shared.clone()));
    tokio::task::spawn_local(reach::run_surveys(shared.clone()));
    tokio::task::spawn_local(lag::run(shared.clone()));
    tokio::task::spawn_local(expiry::run(shared.clone()));
    ending.await;
    stop::run(&shared, accepting).await;
    Ok(())
}

fn listen(address: std::net::SocketAddr) -> Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    let bound = socket.bind(address).and_then(|()| socket.listen(BACKLOG));
    bound.with_context(|| format!("address {address} can't be used"))
}

/// Reloads the settings on every hangup signal.
async fn reload_on_hangup(
    shared: Rc<Shared>,
    mut hangups: Signal,
    reload: fn() -> Result<Settings>,
) {
    while hangups.recv().await.is_some() {
        match reload() {
            Ok(settings) => {
                log::info!("settings reloaded");
                *shared.settings.borrow_mut() = settings;
            }
            Err(error) => {
                log::error!(error = format!("{error:#}"); "settings can't be reloaded; the previous ones stay active")
            }
        }
    }
}
