//! Faults that the demo can inject. Its checks have to report each of them.

use std::{net::SocketAddr, str::FromStr};

use ntex::{client::Client, http::Method, time::Millis};
use ragwortrill_core::{name, request};
use ragwortrill_platform::{headers, target};

use super::environment::Environment;
use crate::harness::{self, Call};

/// A fault of a caller or a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// A target breaks off each part of a download that it sends.
    Break,
    /// A caller sends an order to its target directly, after the order has run.
    Repeat,
    /// A caller sends a lookup to a target that does not own its key.
    Stray,
}

impl FromStr for Fault {
    type Err = Unknown;

    fn from_str(text: &str) -> Result<Self, Unknown> {
        match text {
            "break" => Ok(Self::Break),
            "repeat" => Ok(Self::Repeat),
            "stray" => Ok(Self::Stray),
            _ => Err(Unknown),
        }
    }
}

/// Error for a text that names no fault.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("unknown fault; use break, repeat or stray")]
pub struct Unknown;

/// Maximum number of attempts to send a request to a target. A target refuses requests while its
/// grant has lapsed, which may be the case for a moment.
const MAX_ATTEMPTS: usize = 100;

/// Sends an order directly to the target that ran it, bypassing the daemons.
pub async fn repeat(environment: &Environment, client: &Client, key: &str, order: request::Id) {
    let service = harness::name("orders");
    if let Some(owner) = environment.replica.owner(&service, key) {
        let call = Call::direct(Method::POST, "/repeated");
        let call = call.header(target::REQUEST_HEADER, &order.to_string());
        send(environment, client, &owner, &call.header(headers::KEY, key)).await;
    }
}

/// Sends a lookup directly to a target that does not own its key, bypassing the daemons.
pub async fn stray(environment: &Environment, client: &Client, key: &str) {
    let service: name::Service = harness::name("lookup");
    let owner = environment.replica.owner(&service, key);
    let mut others = environment.targets.keys();
    let other =
        others.find(|t| super::environment::service(t) == service && Some(*t) != owner.as_ref());
    if let Some(other) = other {
        let call = Call::direct(Method::GET, "/strayed").header(headers::KEY, key);
        send(environment, client, other, &call).await;
    }
}

/// Sends a request with the current epoch, with retries until the target runs it.
async fn send(environment: &Environment, client: &Client, target: &name::Target, call: &Call) {
    let address: SocketAddr = environment.targets[target];
    for _ in 0..MAX_ATTEMPTS {
        let epoch = environment.replica.epoch(target).unwrap_or_default();
        let call = call
            .clone()
            .header(target::EPOCH_HEADER, &epoch.to_string());
        if harness::send_with(client, address, &call).await.status == 200 {
            return;
        }
        ntex::time::sleep(Millis(50)).await;
    }
}
