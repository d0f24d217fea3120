//! A complete system in one process: stand-ins of the platform, and daemons as threads.
#![allow(dead_code)]

pub mod flood;
mod operator;
pub mod scripted;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use ntex::{client::Client, http::Method, time::Millis, util::Bytes};
use ragwortrill_core::{
    ledger::Ledger,
    name,
    number::Version,
    record::{self, Entry, Record},
    table,
    time::Span,
};
use ragwortrill_daemon::{Daemon, Settings};
use ragwortrill_platform::log::Batch;
use ragwortrill_standin::{log, target};

#[allow(unused_imports)]
pub use operator::{Operator, change};

/// Data centres of the system, in the order in which hosts and targets are placed.
pub const DATA_CENTRES: [&str; 3] = ["east", "north", "west"];

/// Maximum time to wait for a condition. A test whose condition takes longer fails.
pub const TIMEOUT: Duration = Duration::from_secs(30);

/// Configuration of a system that is to be started.
#[derive(Clone, Debug)]
pub struct Builder {
    daemons: usize,
    services: BTreeMap<name::Service, (table::Service, usize)>,
    remotes: BTreeMap<name::Service, (table::Service, SocketAddr)>,
    target: target::Settings,
    adjust: fn(&mut Settings),
    workers: usize,
}

/// A running system.
pub struct System {
    /// The log service.
    pub log: Arc<log::Server>,
    /// All targets by name.
    pub targets: BTreeMap<name::Target, target::Server>,
    /// Daemons by number. `None` stands for one that has crashed.
    pub daemons: Vec<Option<Daemon>>,
    /// The table that was applied.
    pub table: table::Table,
    workers: usize,
    entries: u128,
    adjust: fn(&mut Settings),
}

/// A response with its body.
#[derive(Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Headers by their names in lower case.
    pub headers: BTreeMap<String, String>,
    /// Body, or what arrived of it if it broke off.
    pub body: Vec<u8>,
    /// True if the body ended as announced.
    pub complete: bool,
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Call {
    method: Method,
    path: String,
    headers: Vec<(String, String)>,
    body: Bytes,
}

/// Parses a name. Panics if it is invalid.
pub fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("names in tests are valid")
}

/// Creates a table row with the limits of a small target.
pub fn row(divided_by_key: bool) -> table::Service {
    table::Service {
        targets: BTreeMap::new(),
        slots: 6,
        connections: 110,
        queue: 100,
        deadline: Span::from_secs(10),
        divided_by_key,
        slices: 64,
        idempotent_methods: BTreeSet::from(["GET".to_owned(), "HEAD".to_owned()]),
        retry_percent: 10,
        slow_start: Span::from_secs(1),
        reserved_percent: 0,
        id_window: Span::from_secs(3_600),
        moves_per_minute: 600,
        hot_key_percent: 50,
    }
}

impl Builder {
    /// Describes three daemons without targets.
    pub fn new() -> Self {
        Self {
            daemons: 3,
            services: BTreeMap::new(),
            remotes: BTreeMap::new(),
            target: target::Settings::default(),
            adjust: |_| {},
            workers: 1,
        }
    }

    /// Sets the number of threads of each daemon that serve callers.
    pub fn workers(mut self, count: usize) -> Self {
        self.workers = count;
        self
    }

    /// Sets the number of daemons.
    pub fn daemons(mut self, count: usize) -> Self {
        self.daemons = count;
        self
    }

    /// Adds a service with targets spread over the data centres.
    pub fn service(mut self, service: &str, row: table::Service, targets: usize) -> Self {
        self.services.insert(name(service), (row, targets));
        self
    }

    /// Adds a service with one target that a test runs itself and that does not check epochs.
    pub fn remote(mut self, service: &str, row: table::Service, target: SocketAddr) -> Self {
        self.remotes.insert(name(service), (row, target));
        self
    }

    /// Sets the behaviour of all targets.
    pub fn target(mut self, settings: target::Settings) -> Self {
        self.target = settings;
        self
    }

    /// Changes the settings of all daemons.
    pub fn settings(mut self, adjust: fn(&mut Settings)) -> Self {
        self.adjust = adjust;
        self
    }

    /// Starts the system and applies its table.
    pub fn start(self) -> System {
        let log = Arc::new(log::Server::start().expect("the log stand-in starts"));
        let mut targets = BTreeMap::new();
        let mut table = table::Table::default();
        for data_centre in DATA_CENTRES {
            table.data_centres.insert(name(data_centre), name("region"));
        }
        for (service, (mut row, count)) in self.services {
            for number in 0..count {
                let target: name::Target = name(&format!("{service}-{number}"));
                let server = target::Server::start(target.clone(), self.target.clone());
                let server = server.expect("a target stand-in starts");
                let data_centre = name(DATA_CENTRES[number % DATA_CENTRES.len()]);
                row.targets.insert(
                    target.clone(),
                    table::Target {
                        address: server.address(),
                        data_centre,
                        weight: 1,
                        checks_epoch: self.target.checks_epoch,
                    },
                );
                targets.insert(target, server);
            }
            table.services.insert(service, row);
        }
        for (service, (mut row, address)) in self.remotes {
            row.targets.insert(
                name(&format!("{service}-0")),
                table::Target {
                    address,
                    data_centre: name(DATA_CENTRES[0]),
                    weight: 1,
                    checks_epoch: false,
                },
            );
            table.services.insert(service, row);
        }
        let mut system = System {
            log,
            targets,
            daemons: Vec::new(),
            table: table.clone(),
            workers: self.workers,
            entries: 0,
            adjust: self.adjust,
        };
        let base = Version(0);
        system.write(Record::Table { base, table });
        for number in 0..self.daemons {
            system.add_daemon(number);
        }
        system
    }
}

impl System {
    /// Starts a daemon on a new host.
    pub fn add_daemon(&mut self, number: usize) {
        self.add_daemon_with(number, |_| {});
    }

    /// Starts a daemon on a new host with other settings.
    pub fn add_daemon_with(&mut self, number: usize, adjust: impl FnOnce(&mut Settings)) {
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        let mut settings = Settings {
            host: name(&format!("host-{number}")),
            data_centre: name(DATA_CENTRES[number % DATA_CENTRES.len()]),
            callers: any,
            peers: any,
            operators: any,
            log: self.log.address(),
            secret: "a secret for tests".to_owned(),
            operator_token: "a-token-for-tests".to_owned(),
            workers: self.workers,
            drain_limit: Span::from_secs(10),
            snapshots: Default::default(),
            bootstrap: Default::default(),
            times: Default::default(),
        };
        (self.adjust)(&mut settings);
        adjust(&mut settings);
        let daemon = Daemon::start(settings).expect("a daemon starts");
        self.daemons.push(Some(daemon));
    }

    /// Writes a record as an operator would.
    pub fn write(&mut self, mut record: Record) {
        self.entries += 1;
        // Offset 0 stands for an operator that has read all records.
        if let Record::DataCentre { after, .. }
        | Record::Host { after, .. }
        | Record::Target { after, .. } = &mut record
            && after.is_zero()
        {
            *after = self.log.bounds().end;
        }
        let entry = Entry {
            id: record::Id(self.entries),
            actor: "test".to_owned(),
            reason: "test".to_owned(),
            written_ms: 1,
            record,
        };
        let mut batch = Batch::new();
        batch.push(&entry).expect("the entry fits");
        self.log.append(&batch);
    }

    /// Returns the address at which a daemon serves callers.
    pub fn address(&self, daemon: usize) -> SocketAddr {
        let daemon = self.daemons[daemon].as_ref().expect("the daemon runs");
        daemon.addresses().callers
    }

    /// Returns the number of the daemon that holds a target according to the log.
    pub fn holder(&self, target: &name::Target) -> usize {
        let mut ledger = Ledger::default();
        for row in self.log.rows() {
            ledger.apply(row.offset, &row.entry().expect("the log has valid entries"));
        }
        let contract = ledger.contracts().get(target).expect("the target is held");
        let number = contract.holder.host.as_str().strip_prefix("host-");
        number
            .and_then(|number| number.parse().ok())
            .expect("hosts are numbered")
    }

    /// Ends a daemon at once, as if its host had failed.
    pub fn crash_daemon(&mut self, daemon: usize) {
        if let Some(daemon) = self.daemons[daemon].take() {
            daemon.close();
        }
    }

    /// Sends a request through a daemon.
    pub async fn call(&self, daemon: usize, call: &Call) -> Reply {
        send(self.address(daemon), call).await
    }

    /// Repeats an idempotent request until it is answered with 200.
    pub async fn call_until_served(&self, daemon: usize, call: &Call) -> Reply {
        let start = Instant::now();
        loop {
            let reply = self.call(daemon, call).await;
            if reply.status == 200 {
                return reply;
            }
            let text = String::from_utf8_lossy(&reply.body).into_owned();
            assert!(
                start.elapsed() < TIMEOUT,
                "not served: {} {text}",
                reply.status
            );
            ntex::time::sleep(Millis(50)).await;
        }
    }
}

impl Drop for System {
    fn drop(&mut self) {
        for daemon in self.daemons.drain(..).flatten() {
            daemon.close();
        }
    }
}

impl Call {
    /// Describes a GET request for a key.
    pub fn get(service: &str, path: &str, key: &str) -> Self {
        Self::new(Method::GET, service, path, key)
    }

    /// Describes a HEAD request for a key.
    pub fn head_request(service: &str, path: &str, key: &str) -> Self {
        Self::new(Method::HEAD, service, path, key)
    }

    /// Describes a POST request for a key.
    pub fn post(service: &str, path: &str, key: &str, body: impl Into<Bytes>) -> Self {
        let mut call = Self::new(Method::POST, service, path, key);
        call.body = body.into();
        call
    }

    /// Describes a request to any path.
    pub fn to(method: Method, path: &str) -> Self {
        Self {
            method,
            path: path.to_owned(),
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }

    /// Sets the body.
    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    fn new(method: Method, service: &str, path: &str, key: &str) -> Self {
        Self::direct(method, &format!("/s/{service}{path}")).header("ragwortrill-key", key)
    }

    /// Describes a request that names neither service nor key.
    pub fn direct(method: Method, path: &str) -> Self {
        Self {
            method,
            path: path.to_owned(),
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }

    /// Writes the request as text without a body.
    pub fn head_text(&self) -> String {
        let headers = self.headers.iter();
        let headers: String = headers.map(|(n, v)| format!("{n}: {v}\r\n")).collect();
        let Self { method, path, .. } = self;
        format!("{method} {path} HTTP/1.1\r\nhost: test\r\ncontent-length: 0\r\n{headers}\r\n")
    }

    /// Adds a header.
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }
}

/// Sends a request without a body, and closes the connection once a condition holds.
pub async fn send_and_disconnect(address: SocketAddr, call: &Call, condition: impl Future) {
    let mut socket = tokio::net::TcpStream::connect(address)
        .await
        .expect("the daemon accepts connections");
    let head = call.head_text();
    tokio::io::AsyncWriteExt::write_all(&mut socket, head.as_bytes())
        .await
        .expect("the daemon reads the request");
    condition.await;
}

/// Sends a request to an address on a new connection and reads the whole response.
pub async fn send(address: SocketAddr, call: &Call) -> Reply {
    send_with(&client().await, address, call).await
}

/// Creates a caller's client, which reuses its connections.
pub async fn client() -> Client {
    Client::builder()
        .disable_timeout()
        .response_payload_limit(usize::MAX)
        .response_payload_timeout(Millis::ZERO)
        .build(ntex::SharedCfg::new("caller"))
        .await
        .expect("a client without TLS can be built")
}

/// Sends a request to an address with a client and reads the whole response.
pub async fn send_with(client: &Client, address: SocketAddr, call: &Call) -> Reply {
    let mut request = client.request(
        call.method.clone(),
        format!("http://{address}{}", call.path),
    );
    for (name, value) in &call.headers {
        request = request.header(name.as_str(), value.as_str());
    }
    let sent = request.send_body(call.body.clone()).await;
    let response = match sent {
        Ok(response) => response,
        Err(error) => {
            return Reply {
                status: 0,
                headers: BTreeMap::new(),
                body: error.to_string().into_bytes(),
                complete: false,
            };
        }
    };
    let mut payload = response.take_payload();
    let (mut body, mut complete) = (Vec::new(), true);
    while let Some(part) = payload.recv().await {
        match part {
            Ok(bytes) => body.extend_from_slice(&bytes),
            Err(_) => {
                complete = false;
                break;
            }
        }
    }
    let headers = response.headers().iter();
    let text = |value: &ntex::http::header::HeaderValue| {
        String::from_utf8_lossy(value.as_bytes()).into_owned()
    };
    Reply {
        status: response.status().as_u16(),
        headers: headers
            .map(|(name, value)| (name.as_str().to_owned(), text(value)))
            .collect(),
        body,
        complete,
    }
}
