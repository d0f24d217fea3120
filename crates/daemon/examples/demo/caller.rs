//! Callers that send requests one after the other.

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
    Fault, Plan, fault,
    scene::{self, Scene},
    tally::{End, Tally, record},
};
use crate::harness::{self, Call, Reply};

/// Size of a download, in bytes. It is larger than the credit of a link.
const DOWNLOAD_BYTES: usize = 200_000;

struct Caller {
    name: String,
    client: Client,
    random: StdRng,
    scene: Arc<Scene>,
    tally: Tally,
    sent: u64,
}

/// Waits until each daemon has served a request for each key.
pub async fn warm_up(scene: Arc<Scene>) {
    let client = harness::client().await;
    let keys = (0..scene::KEYS).flat_map(|key| scene::SERVICES.map(|service| (key, service)));
    for (key, service) in keys {
        let call = Call::get(service, "/warm-up", &scene::key(key));
        for daemon in &scene.daemons {
            let start = Instant::now();
            while harness::send_with(&client, *daemon, &call).await.status != 200 {
                assert!(
                    start.elapsed() < harness::TIMEOUT,
                    "{daemon} does not serve"
                );
                ntex::time::sleep(Millis(50)).await;
            }
        }
    }
}

/// Sends requests until the end of the run and returns what came back.
pub fn run(number: usize, plan: Plan, scene: Arc<Scene>, start: Instant) -> Tally {
    System::new("caller", DefaultRuntime).block_on(async move {
        let mut caller = Caller {
            name: format!("caller-{number}"),
            client: harness::client().await,
            random: StdRng::seed_from_u64(plan.seed << 8 | number as u64),
            scene,
            tally: Tally::new(),
            sent: 0,
        };
        if let Some(fault) = plan.fault.filter(|_| number == 0) {
            caller.misbehave(fault).await;
        }
        while start.elapsed() < plan.length {
            caller.step().await;
            caller.scene.sent.fetch_add(1, Ordering::Relaxed);
        }
        caller.tally
    })
}

impl Caller {
    async fn step(&mut self) {
        self.sent += 1;
        let key = scene::key(self.random.random_range(0..scene::KEYS));
        match self.random.random_range(0..20) {
            0..2 => self.look_up_directly(&key).await,
            2..6 => self.order(&key).await,
            6 => self.download(&key, "").await,
            _ => self.look_up(&key).await,
        }
    }

    async fn misbehave(&mut self, fault: Fault) {
        let key = scene::key(0);
        match fault {
            Fault::Break => self.download(&key, "?break_at=1000").await,
            Fault::Stray => fault::stray(&self.scene, &self.client, &key).await,
            Fault::Repeat => {
                self.order(&key).await;
                let order = self.tally.orders.last().copied().unwrap_or_default();
                fault::repeat(&self.scene, &self.client, &key, order).await;
                fault::repeat(&self.scene, &self.client, &key, order).await;
            }
        }
    }

    fn daemon(&mut self) -> SocketAddr {
        let daemons = &self.scene.daemons;
        daemons[self.random.random_range(0..daemons.len())]
    }

    async fn look_up(&mut self, key: &str) {
        let path = format!("/free/{}/{}", self.name, self.sent);
        let call = Call::get("lookup", &path, key);
        let (time, end) = self.call(&call, |reply| is_own(reply, &path, key)).await;
        if end == End::Answered {
            record(&mut self.tally.lookups, time);
        }
    }

    async fn look_up_directly(&mut self, key: &str) {
        let call = Call::direct(Method::GET, "/free").header(headers::KEY, key);
        let start = Instant::now();
        let address = self.scene.reference.address();
        if harness::send_with(&self.client, address, &call)
            .await
            .status
            == 200
        {
            record(&mut self.tally.direct, start.elapsed());
        }
    }

    /// Sends an order, and in one of four cases again at another daemon.
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
            self.call(&call, |reply| is_own(reply, &path, key)).await;
        }
    }

    async fn download(&mut self, key: &str, query: &str) {
        let path = format!("/stream/{DOWNLOAD_BYTES}{query}");
        let call = Call::get("lookup", &path, key);
        self.call(&call, is_content).await;
    }

    async fn call(&mut self, call: &Call, is_own: impl FnOnce(&Reply) -> bool) -> (Duration, End) {
        let address = self.daemon();
        let call = call.clone().header(headers::CALLER, &self.name);
        let start = Instant::now();
        let reply = harness::send_with(&self.client, address, &call).await;
        let time = start.elapsed();
        let end = End::of(&reply, is_own);
        self.tally.count(end, time);
        (time, end)
    }
}

fn is_own(reply: &Reply, path: &str, key: &str) -> bool {
    let Ok(answer) = serde_json::from_slice::<Answer>(&reply.body) else {
        return false;
    };
    let request = reply.headers.get(&headers::REQUEST.to_ascii_lowercase());
    answer.path == path && answer.key.as_deref() == Some(key) && answer.request.as_ref() == request
}

fn is_content(reply: &Reply) -> bool {
    let mut bytes = reply.body.iter().enumerate();
    reply.body.len() == DOWNLOAD_BYTES
        && bytes.all(|(offset, byte)| *byte == byte_at(1, offset as u64))
}
