//! Startup and planned stop of an entry host.

use std::{rc::Rc, time::Duration};

use anyhow::{Context, Result};
use ragwortrill_core::time::{Instant, Span};
use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
    task::{JoinHandle, LocalSet},
    time::{sleep, timeout},
};

use crate::{
    admission, caller, candidacy,
    follow::{self, Topic},
    protocol::Protocol,
    ready, relay, service,
    settings::Settings,
    shared::Shared,
};

/// Time within which the load balancer notices that the host is not ready and sends it no new
/// connections.
const UNREADY_NOTICE: Duration = Duration::from_millis(3_200);
/// Part of the grace period, in percent, after which requests that still run at targets get a reply
/// of this host. Before the last sixth of the grace period, no running request may be given up.
const REPLY_PERCENT: u64 = 86;
/// Part of the grace period, in percent, after which the process ends even if callers have not
/// accepted their replies.
const EXIT_PERCENT: u64 = 95;
/// Interval between two checks whether all requests have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Length of a listener's queue of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Runs an entry host until the process gets a termination signal, then stops it as planned. A
/// hangup signal reloads the settings.
pub fn run(settings: Settings, protocol: Protocol, reload: fn() -> Result<Settings>) -> Result<()> {
    block_on(async move {
        let mut ending = signal(SignalKind::terminate())?;
        let shared = Rc::new(Shared::new(settings, protocol)?);
        tokio::task::spawn_local(reload_on_hangup(shared.clone(), reload));
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
    log::info!(
        host = shared.settings.borrow().host.as_str(), callers = listen_on.callers.to_string(),
        store = shared.settings.borrow().store.to_string();
        "host started"
    );
    let accepting = tokio::task::spawn_local(caller::accept(shared.clone(), callers));
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
    ending.await;
    stop(&shared, accepting).await;
    Ok(())
}

fn listen(address: std::net::SocketAddr) -> Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    let bound = socket.bind(address).and_then(|()| socket.listen(BACKLOG));
    bound.with_context(|| format!("address {address} can't be used"))
}

/// Stops without cutting off a request: first the readiness check reports that the host is not
/// ready, then callers' connections are closed as they become idle, and at last requests that still
/// run get a reply of this host, so that those behind them on their connections get theirs.
async fn stop(shared: &Shared, accepting: JoinHandle<()>) {
    let began = shared.now();
    let grace = shared.settings.borrow().bounds.grace;
    log::info!(callers = shared.caller_connections.get(), requests = shared.active_requests.len(); "planned stop started");
    shared.is_stopping.set(true);
    sleep(UNREADY_NOTICE.min(grace.as_duration() / 2)).await;
    shared.is_closing.set(true);
    shared.closing.notify_waiters();
    admission::reject_waiting(shared);
    // Connections that wait to be accepted must be counted before the host waits for all to end.
    if let Err(error) = accepting.await {
        log::error!(error = error.to_string(); "task that accepts callers' connections failed");
    }
    let mut is_drained = drain(shared, began + grace.scale(REPLY_PERCENT, 100)).await;
    if !is_drained {
        shared.is_giving_up.set(true);
        shared.giving_up.notify_waiters();
        is_drained = drain(shared, began + grace.scale(EXIT_PERCENT, 100)).await;
    }
    log_cut_requests(shared);
    log::info!(
        is_drained = is_drained, requests = shared.active_requests.len(),
        callers = shared.caller_connections.get();
        "host stopped"
    );
    // Lets the logging thread write its last lines before the process ends.
    sleep(Span::from_millis(60).as_duration()).await;
}

/// Waits until all callers' connections and requests have ended. Returns false if some have not
/// ended by a time.
async fn drain(shared: &Shared, until: Instant) -> bool {
    let drained = async {
        while shared.caller_connections.get() > 0 || shared.active_requests.len() > 0 {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
    };
    let left = until.since(shared.now());
    timeout(left.as_duration(), drained).await.is_ok()
}

/// Logs the requests that end without a complete reply because the process ends.
fn log_cut_requests(shared: &Shared) {
    let now = shared.now();
    for activity in shared.active_requests.list() {
        log::warn!(
            request = activity.request.as_str(), connection = activity.connection,
            waits_for = activity.stage.to_string(), target = activity.stage.target(),
            elapsed_ms = now.since(activity.received).as_millis();
            "request cut off by the planned stop"
        );
    }
}

/// Reloads the settings on every hangup signal.
async fn reload_on_hangup(shared: Rc<Shared>, reload: fn() -> Result<Settings>) {
    let Ok(mut hangups) = signal(SignalKind::hangup()) else {
        log::error!("handler of the hangup signal can't be installed; settings can't be reloaded");
        return;
    };
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
