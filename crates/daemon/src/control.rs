//! The thread that probes targets, renews their grants and cancels requests at them.

use std::{collections::BTreeMap, net::SocketAddr};

use ragwortrill_core::{
    event::{self, Event, Probe},
    name, request,
    time::Span,
};
use ragwortrill_platform::{
    error as platform,
    target::{Client, Error, Grant},
};
use tokio::sync::mpsc;

use crate::{
    node_loop::{ControlCall, Operation},
    shared::Shared,
};

/// Time limit of a call to a target. A target answers a probe in about 6 ms.
const CALL_TIMEOUT: Span = Span::from_millis(250);

/// Makes calls to targets until their channel is closed.
pub(crate) async fn run(mut calls: mpsc::Receiver<ControlCall>, shared: Shared) {
    let mut clients: BTreeMap<SocketAddr, Client> = BTreeMap::new();
    while let Some(call) = calls.recv().await {
        let client = match clients.get(&call.address) {
            Some(client) => client.clone(),
            None => {
                let client = Client::new(call.address, CALL_TIMEOUT).await;
                clients.insert(call.address, client.clone());
                client
            }
        };
        let shared = shared.clone();
        ntex::rt::spawn(async move {
            match call.operation {
                Operation::Cancel(request) => cancel(&call, request, &client).await,
                Operation::Grant(grant_message) => {
                    shared.send_event(grant(call.target, grant_message, &client).await)
                }
                Operation::Probe => shared.send_event(probe(call.target, &client).await),
            }
        });
    }
}

/// Cancels a request whose caller has left. The target may have ended it already.
async fn cancel(call: &ControlCall, request: request::Id, client: &Client) {
    if let Err(error) = client.cancel(request).await {
        log::debug!(target_name = call.target.as_str(); "cancellation failed: {error}");
    }
}

async fn probe(target: name::Target, client: &Client) -> Event {
    let answer = match client.load().await {
        Ok(load) => Probe::Answered {
            start_id: load.start_id,
            load: load.running + load.waiting,
            clock_ms: load.clock_ms,
        },
        Err(error) => {
            log::debug!(target_name = target.as_str(); "probe failed: {error}");
            failure(&error)
        }
    };
    Event::Probed { target, answer }
}

fn failure(error: &Error) -> Probe {
    match error {
        Error::Http(platform::Error::Refused { .. }) => Probe::Unreachable,
        _ => Probe::Silent,
    }
}

async fn grant(target: name::Target, grant_message: event::Grant, client: &Client) -> Event {
    let grant = Grant {
        epoch: grant_message.epoch,
        ttl_ms: grant_message.ttl.as_millis(),
        from_ms: grant_message.from_ms,
        start_id: Some(grant_message.start_id),
    };
    let result = client.grant(grant).await;
    if let Err(error) = &result {
        log::debug!(target_name = target.as_str(); "grant failed: {error}");
    }
    Event::Granted {
        target,
        epoch: grant_message.epoch,
        accepted: result.is_ok(),
    }
}
