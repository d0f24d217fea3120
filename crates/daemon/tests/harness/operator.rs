//! An operator that uses the operators' ports of daemons.

use std::{net::SocketAddr, time::Instant};

use ntex::time::{Millis, sleep};
use ragwortrill_core::{
    record::{Entry, Id, Record},
    report::{Change, ChangeResult, Propagation, Status},
};
use ragwortrill_platform::log::Batch;
use serde::de::DeserializeOwned;

use super::{Call, Reply, System, TIMEOUT, send};

/// An operator that uses one daemon.
pub struct Operator {
    address: SocketAddr,
    authorization: Option<String>,
}

/// Creates a change by an operator named robin.
pub fn change(id: u128, record: Record) -> Change {
    Change {
        id: Id(id << 64),
        actor: "robin".to_owned(),
        reason: "test".to_owned(),
        record,
    }
}

impl System {
    /// Returns an operator that has the token.
    pub fn operator(&self, daemon: usize) -> Operator {
        let daemon = self.daemons[daemon].as_ref().expect("the daemon runs");
        Operator {
            address: daemon.addresses().operators,
            authorization: Some("Bearer a-token-for-tests".to_owned()),
        }
    }

    /// Appends a copy of a change to the log, as an append that arrives late does.
    pub fn append_copy(&self, change: &Change) {
        let entry = Entry {
            id: change.id,
            actor: change.actor.clone(),
            reason: change.reason.clone(),
            written_ms: 1,
            record: change.record.clone(),
        };
        let mut batch = Batch::new();
        batch.push(&entry).expect("the entry fits");
        self.log.append(&batch);
    }

    /// Waits until all contracts are confirmed and no daemon has a reason to append.
    pub async fn wait_until_settled(&self) {
        let all_settled = |status: &Status| {
            let mut contracts = status.targets.iter().map(|target| &target.contract);
            let is_settled = |c: &ragwortrill_core::contract::Contract| {
                c.confirmed && c.released.is_none() && c.standbys.len() == 2
            };
            contracts.all(|contract| contract.as_ref().is_some_and(is_settled))
        };
        for daemon in 0..self.daemons.len() {
            if self.daemons[daemon].is_some() {
                self.operator(daemon)
                    .get_until("/v1/status", all_settled)
                    .await;
            }
        }
    }
}

impl Operator {
    /// Sets the authorization header.
    pub fn authorization(mut self, authorization: Option<&str>) -> Self {
        self.authorization = authorization.map(str::to_owned);
        self
    }

    /// Reads a path and returns the response without decoding it.
    pub async fn get_raw(&self, path: &str) -> Reply {
        send(self.address, &Call::to(ntex::http::Method::GET, path)).await
    }

    /// Reads a report.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> (u16, T) {
        let reply = self.get_raw(path).await;
        (reply.status, reply.json())
    }

    /// Reads a report repeatedly until it meets a condition.
    pub async fn get_until<T: DeserializeOwned>(
        &self,
        path: &str,
        condition: impl Fn(&T) -> bool,
    ) -> (u16, T) {
        let start = Instant::now();
        loop {
            let reply = self.get_raw(path).await;
            if reply.status == 200 {
                let report = reply.json();
                if condition(&report) {
                    return (reply.status, report);
                }
            }
            let text = String::from_utf8_lossy(&reply.body).into_owned();
            assert!(start.elapsed() < TIMEOUT, "{path} still shows {text}");
            sleep(Millis(50)).await;
        }
    }

    /// Submits a change and returns the response without decoding it.
    pub async fn post_raw(&self, change: &Change) -> Reply {
        let body = serde_json::to_vec(change).expect("a change can be encoded");
        let mut call = Call::to(ntex::http::Method::POST, "/v1/changes").body(body);
        if let Some(authorization) = &self.authorization {
            call = call.header("authorization", authorization);
        }
        send(self.address, &call).await
    }

    /// Repeats a change under its id until it is effective at all daemons.
    pub async fn post_until_effective(&self, change: &Change) -> ChangeResult {
        let start = Instant::now();
        loop {
            let reply = self.post_raw(change).await;
            if reply.status == 200 {
                let outcome: ChangeResult = reply.json();
                if outcome.in_force == Propagation::Everywhere {
                    return outcome;
                }
            }
            let text = String::from_utf8_lossy(&reply.body).into_owned();
            assert!(
                start.elapsed() < TIMEOUT,
                "the change is not effective at all daemons: {text}"
            );
        }
    }

    /// Submits a change.
    pub async fn post<T: DeserializeOwned>(&self, change: &Change) -> (u16, T) {
        let reply = self.post_raw(change).await;
        (reply.status, reply.json())
    }
}

impl Reply {
    /// Decodes the body.
    pub fn json<T: DeserializeOwned>(&self) -> T {
        let text = String::from_utf8_lossy(&self.body);
        let value = serde_json::from_slice(&self.body);
        value.unwrap_or_else(|error| panic!("{error} in status {} {text}", self.status))
    }
}
