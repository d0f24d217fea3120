//! Fixture of a log with processes that read every record immediately.

use std::{collections::BTreeMap, net::SocketAddr, str::FromStr};

use ragwortrill_core::{
    ledger::{Effect, Ledger},
    name,
    number::{Epoch, Offset, Slice},
    ownership::Ownership,
    process::Process,
    record::{Entry, Id, Record, Share},
    table::{Service, Table, Target},
    time::{Instant, Span},
    times::Times,
};

/// A log with its ledger and the processes `a`, `b` and `c`.
pub struct Scene {
    ledger: Ledger,
    daemons: BTreeMap<String, Ownership>,
    serial: u128,
}

impl Scene {
    /// Creates a scene with two targets, of which `t1` owns the only slice.
    pub fn new() -> Self {
        let daemons = ["a", "b", "c"].map(|host| (host.into(), Ownership::new(process(host))));
        let mut scene = Self {
            ledger: Ledger::default(),
            daemons: daemons.into(),
            serial: 0,
        };
        scene.replace_table(table(&["t1", "t2"]));
        scene
    }

    /// Creates an entry with a new id.
    pub fn entry(&mut self, record: Record) -> Entry {
        let id = self.id();
        entry(id, record)
    }

    fn id(&mut self) -> Id {
        self.serial += 1;
        Id(self.serial)
    }

    /// Appends an entry that all processes read.
    pub fn append(&mut self, entry: &Entry) -> Effect {
        let offset = self.ledger.offset().next();
        let effect = self.ledger.apply(offset, entry);
        for daemon in self.daemons.values_mut() {
            daemon.apply(Instant(0), offset, entry, &self.ledger, &Times::default());
        }
        effect
    }

    /// Replaces the table.
    pub fn replace_table(&mut self, table: Table) {
        let base = self.ledger.version();
        let entry = self.entry(Record::Table { base, table });
        assert_eq!(self.append(&entry), Effect::Applied);
    }

    /// Submits a claim of `t1` without appending it.
    pub fn submit_claim(&mut self, host: &str, standbys: &[&str]) -> Entry {
        let target = name("t1");
        let previous = self.ledger.contracts().get(&target).map(|c| c.epoch);
        let standbys = standbys.iter().map(|host| process(host)).collect();
        let id = self.id();
        let daemon = self.daemons.get_mut(host).expect("the process exists");
        entry(id, daemon.claim(id, vec![(target, previous)], standbys))
    }

    /// Claims `t1` and returns the new epoch.
    pub fn claim(&mut self, host: &str, standbys: &[&str]) -> Epoch {
        let entry = self.submit_claim(host, standbys);
        assert_eq!(self.append(&entry), Effect::Applied);
        self.epoch()
    }

    /// Claims `t1` for one process and `t2` for another one, and returns both epochs.
    pub fn claim_both(&mut self, first: &str, second: &str) -> (Epoch, Epoch) {
        let epoch = self.claim(first, &[]);
        let claim = Record::Claim {
            holder: process(second),
            targets: vec![(name("t2"), None)],
            standbys: Vec::new(),
        };
        let entry = self.entry(claim);
        assert_eq!(self.append(&entry), Effect::Applied);
        (epoch, Epoch(self.ledger.offset().0))
    }

    /// Submits a change of the standbys of `t1` to one process.
    pub fn change_standbys(&mut self, host: &str, standby: &str) -> Entry {
        let targets = vec![(name("t1"), self.epoch())];
        let id = self.id();
        let daemon = self.daemons.get_mut(host).expect("the process exists");
        entry(
            id,
            daemon.change_standbys(id, targets, vec![process(standby)]),
        )
    }

    /// Submits a move of the only slice.
    pub fn move_slice(&mut self, from: &str, epoch: Epoch, to: &str) -> Entry {
        let record = Record::Move {
            service: name("orders"),
            from: name(from),
            epoch,
            shares: vec![(Share::Slice(Slice(0)), name(to))],
            after: self.ledger.offset(),
        };
        self.entry(record)
    }

    /// Returns the current epoch of `t1`.
    pub fn epoch(&self) -> Epoch {
        self.ledger.contracts()[&name::<name::Target>("t1")].epoch
    }

    /// Returns the owner of the only slice.
    pub fn owner(&self) -> name::Target {
        self.ledger.assignments()[&name::<name::Service>("orders")].slices[0].clone()
    }

    /// Returns the ledger after all appended records.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns the state of a process.
    pub fn ownership(&self, host: &str) -> &Ownership {
        &self.daemons[host]
    }
}

/// Creates an entry.
pub fn entry(id: Id, record: Record) -> Entry {
    Entry {
        id,
        actor: "test".into(),
        reason: String::new(),
        written_ms: 0,
        record,
    }
}

/// Returns a valid name.
pub fn name<T: FromStr>(text: &str) -> T {
    text.parse().ok().expect("the name is valid")
}

/// Returns the first process of a host.
pub fn process(host: &str) -> Process {
    let host = name(host);
    Process {
        host,
        incarnation: 1,
    }
}

/// Returns the start record of a process.
pub fn started(host: &str, incarnation: u64, after: Offset) -> Record {
    Record::Started {
        process: Process {
            host: name(host),
            incarnation,
        },
        address: SocketAddr::from(([127, 0, 0, 1], 7_000)),
        data_centre: name("northam"),
        after,
    }
}

/// Returns a table of one service with one slice and these targets.
pub fn table(targets: &[&str]) -> Table {
    let target = |text: &&str| {
        let row = Target {
            address: SocketAddr::from(([127, 0, 0, 1], 8_000)),
            data_centre: name("northam"),
            weight: u32::from(*text == "t1"),
            checks_epoch: true,
        };
        (name(text), row)
    };
    let service = Service {
        targets: targets.iter().map(target).collect(),
        slots: 6,
        connections: 110,
        queue: 10,
        deadline: Span::from_secs(1),
        divided_by_key: true,
        slices: 1,
        idempotent_methods: ["GET".to_owned()].into(),
        retry_percent: 10,
        slow_start: Span::from_secs(1),
        reserved_percent: 10,
        id_window: Span::from_secs(3_600),
        moves_per_minute: 10,
        hot_key_percent: 10,
    };
    Table {
        data_centres: [(name("northam"), name("south-west"))].into(),
        services: [(name("orders"), service)].into(),
    }
}
