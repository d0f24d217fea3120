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
    caller,
    dialect::Dialect,
    follow::{self, Subject},
    lead, place, ready, relay, service,
    settings::Settings,
    shared::Shared,
};

/// Time in which the load balancer notices that the host is not ready, and sends no new
/// connections.
const NOTICE: Duration = Duration::from_millis(3_200);
/// Part of the grace period, in percent, after which requests that still run are cut.
const GRACE_PERCENT: u64 = 94;
/// Pause between two looks at the requests that still run.
const LOOK: Duration = Duration::from_millis(20);
/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Runs an entry host until it is told to stop.
pub fn run(settings: Settings, dialect: Dialect, reload: fn() -> Result<Settings>) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("the event loop can't be started")?;
    LocalSet::new().block_on(&runtime, serve(settings, dialect, reload))
}

async fn serve(
    settings: Settings,
    dialect: Dialect,
    reload: fn() -> Result<Settings>,
) -> Result<()> {
    let mut ending = signal(SignalKind::terminate())?;
    let callers = listen(settings.listen.callers)?;
    let readiness = listen(settings.listen.ready)?;
    let hosts = settings.listen.hosts.map(listen).transpose()?;
    log::info!(
        host = settings.host.as_str(), callers = settings.listen.callers.to_string(),
        store = settings.store.to_string();
        "host started"
    );
    let shared = Rc::new(Shared::new(settings, dialect));
    let accepting = tokio::task::spawn_local(caller::accept(shared.clone(), callers));
    tokio::task::spawn_local(service::accept(shared.clone(), readiness, ready::answer));
    if let Some(hosts) = hosts {
        tokio::task::spawn_local(service::accept(shared.clone(), hosts, ready::answer_host));
    }
    for subject in Subject::ALL {
        tokio::task::spawn_local(follow::follow(shared.clone(), subject));
    }
    tokio::task::spawn_local(relay::exchange(shared.clone()));
    tokio::task::spawn_local(lead::lead(shared.clone()));
    tokio::task::spawn_local(place::attend(shared.clone()));
    tokio::task::spawn_local(watch_settings(shared.clone(), reload));
    ending.recv().await;
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
                shared.budgets.borrow_mut().clear();
            }
            Err(error) => log::error!(error = format!("{error:#}"); "settings not reloaded"),
        }
    }
}
