//! Probes: connections that show whether this host reaches a target.
//!
//! Probes of one target at the same time are one. Those that other hosts ask for are made at a pace.

use std::{io, time::Duration};

use anyhow::{Context, Result};
use futures_util::{
    FutureExt,
    future::{LocalBoxFuture, Shared as SharedFuture, WeakShared},
};
use ragwortrill_core::time::{Instant, Span};
use ragwortrill_router::registration::Incarnation;
use tokio::time::sleep;

use crate::{connection::Connection, metrics::Prober, reach::View, shared::Shared};

/// Timeout of a probe.
const TIMEOUT: Duration = Duration::from_millis(250);

/// A probe that is under way or waits for its turn, as long as someone waits for its result.
pub(crate) type Probe = WeakShared<LocalBoxFuture<'static, View>>;

type Running = SharedFuture<LocalBoxFuture<'static, View>>;

/// Returns what a failed connection to a target says about it.
pub(crate) fn view(error: &io::Error) -> View {
    match error.kind() {
        io::ErrorKind::ConnectionRefused => View::Refused,
        _ => View::Silent,
    }
}

/// Probes a target for this host.
pub(crate) async fn run(shared: &Shared, target: &Incarnation) -> View {
    let running =
        running(shared, target).unwrap_or_else(|| start(shared, target, Span::ZERO, Prober::Own));
    running.await
}

/// Answers another host's question whether this one reaches a target.
pub(crate) async fn handle_question(shared: &Shared, body: &[u8]) -> Result<Vec<u8>> {
    let target: Incarnation = ciborium::from_reader(body).context("the target can't be read")?;
    let view = match run_in_turn(shared, &target).await {
        View::Reached => View::Reached,
        // Its own links may be lost as well.
        _ if !shared.links.borrow().is_empty() => View::Unknown,
        view => view,
    };
    let mut encoded = Vec::new();
    ciborium::into_writer(&view, &mut encoded)?;
    Ok(encoded)
}

/// Probes a target for another host, if there is a turn for it in time.
async fn run_in_turn(shared: &Shared, target: &Incarnation) -> View {
    if let Some(running) = running(shared, target) {
        return running.await;
    }
    let now = shared.now();
    let turn: Option<Instant> = shared.probe_turns.borrow_mut().allot(now);
    let Some(at) = turn else {
        shared.metrics.record_declined_question();
        return View::Unknown;
    };
    start(shared, target, at.since(now), Prober::Other).await
}

fn running(shared: &Shared, target: &Incarnation) -> Option<Running> {
    shared.probes.borrow().get(target)?.upgrade()
}

/// Starts a probe after a time.
fn start(shared: &Shared, target: &Incarnation, delay: Span, prober: Prober) -> Running {
    shared.metrics.record_probe(prober);
    let address = (shared.protocol.dial)(target.address);
    let probe = async move {
        sleep(delay.as_duration()).await;
        match Connection::open(address, TIMEOUT).await {
            Ok(_) => View::Reached,
            Err(error) => view(&error),
        }
    };
    let running = probe.boxed_local().shared();
    let mut probes = shared.probes.borrow_mut();
    probes.retain(|_, probe| probe.upgrade().is_some());
    probes.extend(running.downgrade().map(|probe| (target.clone(), probe)));
    running
}
