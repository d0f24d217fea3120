//! The thread that probes targets and renews their grants.

use std::{collections::BTreeMap, net::SocketAddr};

use ragwortrill_core::{
    event::{Event, Probe},
    time::Span,
};
use ragwortrill_platform::{
    error as platform,
    target::{Client, Error, Grant},
};
use tokio::sync::mpsc;

use crate::{decide::Check, shell::Shell};

/// Time allowed for a probe or a grant. A target answers a probe in about 6 ms.
const TIMEOUT: Span = Span::from_millis(250);

/// Probes and grants until the ring is closed.
pub(crate) async fn run(mut checks: mpsc::Receiver<Check>, shell: Shell) {
    let mut clients: BTreeMap<SocketAddr, Client> = BTreeMap::new();
    while let Some(check) = checks.recv().await {
        let client = match clients.get(&check.address) {
            Some(client) => client.clone(),
            None => {
                let client = Client::new(check.address, TIMEOUT).await;
                clients.insert(check.address, client.clone());
                client
            }
        };
        let shell = shell.clone();
        ntex::rt::spawn(async move {
            let event = match check.grant {
                Some(_) => grant(check, &client).await,
                None => probe(check, &client).await,
            };
            shell.event(event);
        });
    }
}

async fn probe(check: Check, client: &Client) -> Event {
    let answer = match client.load().await {
        Ok(load) => Probe::Answered {
            start: load.start_id,
            load: load.running + load.waiting,
        },
        Err(error) => {
            log::debug!(target_name = check.target.as_str(); "probe failed: {error}");
            failure(&error)
        }
    };
    Event::Probed {
        target: check.target,
        answer,
    }
}

fn failure(error: &Error) -> Probe {
    match error {
        Error::Unanswered(platform::Error::Refused { .. }) => Probe::Unreachable,
        _ => Probe::Silent,
    }
}

async fn grant(check: Check, client: &Client) -> Event {
    let grant = check.grant.map(|grant| Grant {
        epoch: grant.epoch,
        ttl_ms: grant.life.as_millis(),
    });
    let epoch = grant.map(|grant| grant.epoch).unwrap_or_default();
    let result = match grant {
        Some(grant) => client.grant(grant).await.map_err(|error| error.to_string()),
        None => Err("there is no grant to send".to_owned()),
    };
    if let Err(error) = &result {
        log::debug!(target_name = check.target.as_str(); "grant failed: {error}");
    }
    Event::Granted {
        target: check.target,
        epoch,
        accepted: result.is_ok(),
    }
}
