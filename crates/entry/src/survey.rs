//! Surveys: questions to other hosts whether they reach a target that this host does not reach.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use anyhow::{Context, Result, bail};
use bytes::Bytes;
use futures_util::{
    FutureExt,
    future::{self, LocalBoxFuture, WeakShared},
};
use ragwortrill_core::time::Span;
use ragwortrill_router::{links::Survey, registration::Incarnation};
use rand::seq::SliceRandom;
use tokio::time::sleep;

use crate::{
    call::{Call, Client},
    hop,
    reach::{PATH, View},
    shared::Shared,
};

/// Timeout of a question to another host, which probes the target.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(450);
/// Hosts that are asked at a time.
const HOSTS_PER_ROUND: usize = 4;
/// Rounds of questions about one target.
const MAX_ROUNDS: usize = 2;
/// Minimum time between two searches for hosts that reach targets whose links are lost.
const REFRESH_INTERVAL: Span = Span::from_millis(100);
/// Largest answer of another host.
const MAX_ANSWER_BYTES: usize = 1_024;

/// A search for helping hosts, as long as a request waits for it.
pub(crate) type Refresh = WeakShared<LocalBoxFuture<'static, ()>>;

/// Asks other hosts about a target.
pub(crate) async fn run(shared: &Shared, target: &Incarnation, own: View) -> Survey {
    let mut survey = Survey {
        refused: u32::from(own == View::Refused),
        ..Survey::default()
    };
    let hosts = others(shared);
    for round in hosts.chunks(HOSTS_PER_ROUND).take(MAX_ROUNDS) {
        shared.metrics.record_questions(round.len());
        let questions = round.iter().map(|(_, address)| ask(*address, target));
        let views = future::join_all(questions).await;
        survey.asked += round.len() as u32;
        for ((host, _), view) in round.iter().zip(views) {
            match view.unwrap_or(View::Unknown) {
                View::Reached => {
                    survey.reached += 1;
                    hop::add_helper(shared, host);
                }
                View::Refused => survey.refused += 1,
                View::Silent => {}
                View::Unknown => continue,
            }
            survey.answered += 1;
        }
        if survey.answered > 0 {
            break;
        }
    }
    survey
}

/// Asks other hosts whether they still reach targets whose links are lost, so that requests can be
/// forwarded to them. Requests that need it at the same time wait for the same answers.
pub(crate) async fn refresh_helpers(shared: &Rc<Shared>) {
    let running = shared.refresh.borrow().as_ref().and_then(Refresh::upgrade);
    let running = running.unwrap_or_else(|| {
        let started = refresh(shared.clone()).boxed_local().shared();
        *shared.refresh.borrow_mut() = started.downgrade();
        started
    });
    running.await;
}

async fn refresh(shared: Rc<Shared>) {
    let due = shared.refreshed_at.get() + REFRESH_INTERVAL;
    sleep(due.since(shared.now()).as_duration()).await;
    shared.refreshed_at.set(shared.now());
    let lost = shared.links.borrow().lost().next().map(|(_, t)| t.clone());
    if let Some(target) = lost {
        run(&shared, &target, View::Silent).await;
    }
}

/// Returns the other hosts, in a random order.
fn others(shared: &Shared) -> Vec<(String, SocketAddr)> {
    let hosts = shared.hosts.borrow();
    let own = shared.settings.borrow().host.to_string();
    let others = hosts.iter().filter(|(host, _)| **host != own);
    let others = others.filter_map(|(host, known)| Some((host.clone(), known.address?)));
    let mut others: Vec<(String, SocketAddr)> = others.collect();
    others.shuffle(&mut *shared.random.borrow_mut());
    others
}

async fn ask(address: SocketAddr, target: &Incarnation) -> Result<View> {
    let mut body = Vec::new();
    ciborium::into_writer(target, &mut body)?;
    let call = Call {
        method: "POST",
        path: PATH.to_owned(),
        headers: vec![("Content-Type", "application/cbor".to_owned())],
        body: Bytes::from(body),
    };
    let mut client = Client::new(address, MAX_ANSWER_BYTES);
    let reply = client.call(&call, QUESTION_TIMEOUT).await?;
    if reply.status != 200 {
        // Hosts of an earlier release may not know the path.
        bail!("the host answered with status {}", reply.status);
    }
    ciborium::from_reader(reply.body.as_ref()).context("the host's answer can't be decoded")
}
