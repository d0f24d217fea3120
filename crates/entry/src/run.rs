//! Start and planned stop of an entry host.

use std::{rc::Rc, time::Duration};

use anyhow::{Context, Result};
use ragwortrill_core::time::Span;
use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
    task::{JoinHandle, LocalSet},
    time::{sleep, timeout},
};

use crate::{
    caller, candidacy,
    follow::{self, Subject},
    place,
    protocol::Protocol,
    ready, relay, service,
    settings::Settings,
    shared::Shared,
};

/// Time in which the load balancer notices that the host is not ready, and sends no new
/// connections.
const NOTICE: Duration = Duration::from_millis(3_200);
/// Part of the grace period, in percent, after which requests that still run are cut.
const GRACE_PERCENT: u64 = 88;
/// Pause between two looks at the requests that still run.
const LOOK: Duration = Duration::from_millis(20);
/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Runs an entry host until the process is told to stop.
pub fn run(settings: Settings, protocol: Protocol, reload: fn() -> Result<Settings>) -> Result<()> {
    block_on(async move {
        let mut ending = signal(SignalKind::terminate())?;
        let shared = Rc::new(Shared::new(settings, protocol)?);
        tokio::task::spawn_local(watch_settings(shared.clone(), reload));
        serve(shared, async move {
            ending.recv().await;
        })
        .await
    })
}

/// Runs an entry host until a future ends.
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
    log::info!(
        host = shared.settings.borrow().host.as_str(), callers = listen_on.callers.to_string(),
        store = shared.settings.borrow().store.to_string();
        "host started"
    );
    let accepting = tokio::task::spawn_local(caller::accept(shared.clone(), callers));
    tokio::task::spawn_local(service::accept(shared.clone(), readiness, ready::answer));
    if let Some(hosts) = hosts {
        tokio::task::spawn_local(service::accept(shared.clone(), hosts, ready::answer_host));
    }
    for subject in Subject::ALL {
        tokio::task::spawn_local(follow::follow(shared.clone(), subject));
    }
    tokio::task::spawn_local(relay::exchange(shared.clone()));
    tokio::task::spawn_local(candidacy::stand(shared.clone()));
    tokio::task::spawn_local(place::attend(shared.clone()));
    ending.await;
    stop(&shared, &accepting).await;
    Ok(())
}

fn listen(address: std::net::SocketAddr) -> Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    let bound = socket.bind(address).and_then(|()| socket.listen(BACKLOG));
    bound.with_context(|| format!("address {address} can't be used"))
}

/// Stops without cutting a request: the load balancer is told first, then connections close as
/// they become idle.
async fn stop(shared: &Shared, accepting: &JoinHandle<()>) {
    let began = shared.now();
    let grace = shared.settings.borrow().bounds.grace;
    log::info!(callers = shared.callers.get(), requests = shared.requests.get(); "planned stop started");
    shared.is_stopping.set(true);
    sleep(NOTICE.min(grace.as_duration() / 2)).await;
    accepting.abort();
    shared.is_closing.set(true);
    shared.closing.notify_waiters();
    place::refuse_waiting(shared);
    let limit = grace.scale(GRACE_PERCENT, 100);
    let drained = async {
        while shared.callers.get() > 0 || shared.requests.get() > 0 {
            sleep(LOOK).await;
        }
    };
    let left = limit - shared.now().since(began);
    let is_drained = timeout(left.as_duration(), drained).await.is_ok();
    log::info!(is_drained = is_drained, requests = shared.requests.get(); "host stopped");
    // The thread that writes logs needs a moment for the last lines.
    sleep(Span::from_millis(60).as_duration()).await;
}

/// Reads the settings again when told to.
async fn watch_settings(shared: Rc<Shared>, reload: fn() -> Result<Settings>) {
    let Ok(mut hangups) = signal(SignalKind::hangup()) else {
        log::error!("the signal to reload settings can't be watched");
        return;
    };
    while hangups.recv().await.is_some() {
        match reload() {
            Ok(settings) => {
                log::info!("settings reloaded");
                *shared.settings.borrow_mut() = settings;
            }
            Err(error) => log::error!(error = format!("{error:#}"); "settings not reloaded"),
        }
    }
}
