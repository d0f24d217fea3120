//! Callers that send their requests sequentially.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use ntex::{
    client::Client,
    http::Method,
    rt::{DefaultRuntime, System},
    time::Millis,
};
use ragwortrill_core::{key::Digest, name, request};
use ragwortrill_platform::headers;
use ragwortrill_standin::target::{Answer, byte_at};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::{
    Fault, Plan,
    environment::{self, Environment},
    fault,
    tally::{Outcome, Tally, record},
};
use crate::harness::{self, Call, Reply};

/// Size of a download. It exceeds the flow-control credit of a link.
const DOWNLOAD_BYTES: usize = 200_000;

struct Caller {
    name: String,
    client: Client,
    random: StdRng,
    environment: Arc<Environment>,
    tally: Tally,
    sent: u64,
}

/// Waits until each daemon has served a request for each key.
pub async fn warm_up(environment: Arc<Environment>) {
    let client = harness::client().await;
    let keys =
        (0..environment::KEYS).flat_map(|key| environment::SERVICES.map(|service| (key, service)));
    for (key, service) in keys {
        let call = Call::get(service, "/warm-up", &environment::key(key));
        for daemon in &environment.daemons {
            let start = Instant::now();
            while harness::send_with(&client, *daemon, &call).await.status != 200 {
                assert!(
                    start.elapsed() < harness::TIMEOUT,
                    "{daemon} does not serve requests"
                );
                ntex::time::sleep(Millis(50)).await;
            }
        }
    }
}

/// Sends requests until the end of the run and returns the counts of their outcomes.
pub fn run(number: usize, plan: Plan, environment: Arc<Environment>, start: Instant) -> Tally {
    System::new("caller", DefaultRuntime).block_on(async move {
        let mut caller = Caller {
            name: format!("caller-{number}"),
            client: harness::client().await,
            random: StdRng::seed_from_u64(plan.seed << 8 | number as u64),
            environment,
            tally: Tally::new(),
            sent: 0,
        };
        if let Some(fault) = plan.fault.filter(|_| number == 0) {
            caller.inject(fault).await;
        }
        while start.elapsed() < plan.length {
            caller.step().await;
            caller.environment.sent.fetch_add(1, Ordering::Relaxed);
        }
        caller.tally
    })
}

impl Caller {
    async fn step(&mut self) {
        self.sent += 1;
        let key = environment::key(self.random.random_range(0..environment::KEYS));
        match self.random.random_range(0..20) {
            0..2 => self.look_up_at_reference(&key).await,
            2..6 => self.order(&key).await,
            6 => self.download(&key, "").await,
            _ => self.look_up(&key).await,
        }
    }

    async fn inject(&mut self, fault: Fault) {
        let key = environment::key(0);
        match fault {
            Fault::Break => self.download(&key, "?break_at=1000").await,
            Fault::Stray => fault::stray(&self.environment, &self.client, &key).await,
            Fault::Repeat => {
                self.order(&key).await;
                let order = self.tally.orders.last().copied().unwrap_or_default();
                fault::repeat(&self.environment, &self.client, &key, order).await;
                fault::repeat(&self.environment, &self.client, &key, order).await;
            }
        }
    }

    fn daemon(&mut self) -> SocketAddr {
        let daemons = &self.environment.daemons;
        daemons[self.random.random_range(0..daemons.len())]
    }

    async fn look_up(&mut self, key: &str) {
        let path = format!("/free/{}/{}", self.name, self.sent);
        let call = Call::get("lookup", &path, key);
        let (time, outcome) = self
            .call(&call, |reply| is_expected(reply, &path, key))
            .await;
        if outcome == Outcome::Answered {
            record(&mut self.tally.lookups, time);
        }
    }

    async fn look_up_at_reference(&mut self, key: &str) {
        let call = Call::direct(Method::GET, "/free").header(headers::KEY, key);
        let start = Instant::now();
        let address = self.environment.reference.address();
        if harness::send_with(&self.client, address, &call)
            .await
            .status
            == 200
        {
            record(&mut self.tally.direct, start.elapsed());
        }
    }

    /// Sends an order, and in one of four cases a second time, to a randomly chosen daemon.
    async fn order(&mut self, key: &str) {
        let name = format!("{}-{}", self.name, self.sent);
        let path = format!("/new/{name}");
        let service: name::Service = harness::name("orders");
        let digest = Digest::new(&service, key.as_bytes());
        let order = request::Id::new(&service, digest, &self.name, &name);
        self.tally.orders.insert(order);
        let call = Call::post("orders", &path, key, name.clone());
        let call = call.header(headers::IDEMPOTENCY_KEY, &name);
        let times = 1 + usize::from(self.random.random_range(0..4) == 0);
        for _ in 0..times {
            self.call(&call, |reply| is_expected(reply, &path, key))
                .await;
        }
    }

    async fn download(&mut self, key: &str, query: &str) {
        let path = format!("/stream/{DOWNLOAD_BYTES}{query}");
        let call = Call::get("lookup", &path, key);
        self.call(&call, is_complete_download).await;
    }

    async fn call(
        &mut self,
        call: &Call,
        is_expected: impl FnOnce(&Reply) -> bool,
    ) -> (Duration, Outcome) {
        let address = self.daemon();
        let call = call.clone().header(headers::CALLER, &self.name);
        let start = Instant::now();
        let reply = harness::send_with(&self.client, address, &call).await;
        let time = start.elapsed();
        let outcome = Outcome::of(&reply, is_expected);
        self.tally.count(outcome, time);
        (time, outcome)
    }
}

fn is_expected(reply: &Reply, path: &str, key: &str) -> bool {
    let Ok(answer) = serde_json::from_slice::<Answer>(&reply.body) else {
        return false;
    };
    let request = reply.headers.get(&headers::REQUEST.to_ascii_lowercase());
    answer.path == path && answer.key.as_deref() == Some(key) && answer.request.as_ref() == request
}

fn is_complete_download(reply: &Reply) -> bool {
    let mut bytes = reply.body.iter().enumerate();
    reply.body.len() == DOWNLOAD_BYTES
        && bytes.all(|(offset, byte)| *byte == byte_at(1, offset as u64))
}
