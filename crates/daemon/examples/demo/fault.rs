//! Misbehaviour that the results must show.

use std::{net::SocketAddr, str::FromStr};

use ntex::{client::Client, http::Method, time::Millis};
use ragwortrill_core::{name, request};
use ragwortrill_platform::{headers, target};

use super::scene::Scene;
use crate::harness::{self, Call};

/// Something that a caller or a target does wrong.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// A target breaks off each part of a download.
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

/// Reason why a text names no fault.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the fault is not known; use break, repeat or stray")]
pub struct Unknown;

/// Number of attempts to act at a target. The grant of a target may lapse for a moment.
const ATTEMPTS: usize = 100;

/// Sends an order past the daemons to the target that ran it.
pub async fn repeat(scene: &Scene, client: &Client, key: &str, order: request::Id) {
    let service = harness::name("orders");
    if let Some(owner) = scene.witness.owner(&service, key) {
        let call = Call::direct(Method::POST, "/repeated");
        let call = call.header(target::REQUEST_HEADER, &order.to_string());
        send(scene, client, &owner, &call.header(headers::KEY, key)).await;
    }
}

/// Sends a lookup past the daemons to a target that does not own its key.
pub async fn stray(scene: &Scene, client: &Client, key: &str) {
    let service: name::Service = harness::name("lookup");
    let owner = scene.witness.owner(&service, key);
    let mut others = scene.targets.keys();
    let other = others.find(|t| super::scene::service(t) == service && Some(*t) != owner.as_ref());
    if let Some(other) = other {
        let call = Call::direct(Method::GET, "/strayed").header(headers::KEY, key);
        send(scene, client, other, &call).await;
    }
}

/// Sends a request with the current epoch until the target runs it.
async fn send(scene: &Scene, client: &Client, target: &name::Target, call: &Call) {
    let address: SocketAddr = scene.targets[target];
    for _ in 0..ATTEMPTS {
        let epoch = scene.witness.epoch(target).unwrap_or_default();
        let call = call
            .clone()
            .header(target::EPOCH_HEADER, &epoch.to_string());
        if harness::send_with(client, address, &call).await.status == 200 {
            return;
        }
        ntex::time::sleep(Millis(50)).await;
    }
}
