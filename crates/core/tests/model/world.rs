//! Names, time limits and start of a model run.

use std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc};

use ragwortrill_core::{
    key::Digest,
    ledger::Ledger,
    name,
    number::{Offset, Slice, Version},
    process::Process,
    record::{Entry, Id, Record, Share},
    request,
    table::{Service, Table, Target},
    time::Span,
    times::Times,
};
use xxhash_rust::xxh3::xxh3_128;

use super::{
    bounds::{Bounds, Late},
    log::Node,
    process::Daemon,
    rule::Rule,
};

/// Clock drift of one third: a tick is one unit on a slow clock and two units on a fast one.
const DRIFT_PPM: u64 = 333_333;

/// Duration of a lease, in clock units.
const LEASE: Span = Span(2);

/// Time between check and send, in clock units: one tick of a fast clock.
const MARGIN: Span = Span(2);

/// Outsider's wait, in clock units. With it, promises extend a lease to three units after a proof;
/// the lease alone lasts two.
const OUTSIDER_WAIT: Span = Span(8);

/// Configuration of a run, and states shared between its steps.
pub(crate) struct World {
    pub(crate) bounds: Bounds,
    pub(crate) without: Option<Rule>,
    pub(crate) times: Times,
    pub(crate) targets: Vec<name::Target>,
    daemons: RefCell<HashMap<u128, Rc<Daemon>>>,
    nodes: RefCell<HashMap<(u64, Id), Rc<Node>>>,
}

impl World {
    pub(crate) fn new(bounds: Bounds, without: Option<Rule>) -> Self {
        let times = Times {
            drift_ppm: DRIFT_PPM,
            lease: LEASE,
            margin: MARGIN,
            outsider_wait: OUTSIDER_WAIT,
            ..Times::default()
        };
        let targets = vec![parse("t1"), parse("t2")];
        Self {
            bounds,
            without,
            times,
            targets,
            daemons: RefCell::default(),
            nodes: RefCell::default(),
        }
    }

    /// Returns the copy of a daemon that all model states share.
    pub(crate) fn share(&self, mut daemon: Daemon) -> Rc<Daemon> {
        daemon.key = daemon.identity();
        let mut daemons = self.daemons.borrow_mut();
        Rc::clone(daemons.entry(daemon.key).or_insert_with(|| Rc::new(daemon)))
    }

    /// Returns the log after an entry. Equal logs share one copy.
    pub(crate) fn append(&self, head: &Rc<Node>, entry: &Rc<Entry>) -> Rc<Node> {
        let key = (head.ledger.hash(), entry.id);
        if let Some(node) = self.nodes.borrow().get(&key) {
            return Rc::clone(node);
        }
        let node = Node::append(self, Some(head), &head.ledger, entry);
        self.nodes.borrow_mut().insert(key, Rc::clone(&node));
        node
    }

    pub(crate) fn omits(&self, rule: Rule) -> bool {
        self.without == Some(rule)
    }

    /// Returns the number of processes.
    pub(crate) fn processes(&self) -> usize {
        self.bounds.candidates + usize::from(self.bounds.outsider)
    }

    /// Returns the process that holds a target at the start.
    pub(crate) fn first_holder(&self, target: usize) -> usize {
        if self.bounds.budget.moves > 0 {
            target
        } else {
            0
        }
    }

    /// Returns the standbys that a process names in a claim: the other candidates.
    pub(crate) fn standbys(
        &self,
        claimer: usize,
        incarnation: impl Fn(usize) -> Process,
    ) -> Vec<Process> {
        let others = (0..self.bounds.candidates).filter(|other| *other != claimer);
        others.take(2).map(incarnation).collect()
    }

    /// Returns the log at the start and the records that are still in flight.
    pub(crate) fn start(&self) -> (Rc<Node>, Vec<Rc<Entry>>) {
        let mut head: Option<Rc<Node>> = None;
        let mut write = |actor: String, record: Record| {
            let entry = Rc::new(entry(actor, "0".to_owned(), 0, record));
            let ledger = head.as_ref().map(|node| node.ledger.clone());
            let node = Node::append(self, head.as_ref(), &ledger.unwrap_or_default(), &entry);
            head = Some(Rc::clone(&node));
            (node, entry)
        };
        write(
            "operator".into(),
            Record::Table {
                base: Version(0),
                table: table(0),
            },
        );
        for index in 0..self.processes() {
            write(
                process(index, 1).to_string(),
                started(index, 1, Offset(1 + index as u64)),
            );
        }
        let mut last = None;
        let claimed = if self.bounds.is_claimed {
            self.bounds.targets
        } else {
            0
        };
        for index in 0..claimed {
            let holder = self.first_holder(index);
            let targets = vec![(self.targets[index].clone(), None)];
            let standbys = self.standbys(holder, |other| process(other, 1));
            let record = Record::Claim {
                holder: process(holder, 1),
                targets,
                standbys,
            };
            let (node, _) = write(process(holder, 1).to_string(), record);
            last = Some(node);
        }
        let mut flight = Vec::new();
        let mut after = last.map(|node| node.offset).unwrap_or_default();
        for (actor, mut record) in self.late() {
            if let Record::Standbys { after: seen, .. } | Record::Move { after: seen, .. } =
                &mut record
            {
                *seen = after;
            }
            let is_start = matches!(record, Record::Started { .. });
            if is_start {
                let entry = entry(actor, "0".into(), 0, record);
                flight.push(Rc::new(entry));
                continue;
            }
            let (node, entry) = write(actor, record);
            after = node.offset;
            if flight.is_empty() {
                flight.push(entry);
            }
        }
        (head.expect("the log has a table"), flight)
    }

    /// Returns records from before the start, of which a copy of the first is in flight.
    fn late(&self) -> Vec<(String, Record)> {
        let holder = process(0, 1).to_string();
        let epoch = |target: usize| {
            let claims = 2 + self.processes() + target;
            ragwortrill_core::number::Epoch(claims as u64)
        };
        let rename = |standby| Record::Standbys {
            targets: vec![(self.targets[0].clone(), epoch(0))],
            standbys: vec![process(standby, 1)],
            after: Offset(0),
        };
        let change = |from: usize, to: usize| Record::Move {
            service: parse("orders"),
            from: self.targets[from].clone(),
            epoch: epoch(from),
            shares: vec![(Share::Slice(Slice(0)), self.targets[to].clone())],
            after: Offset(0),
        };
        match self.bounds.late {
            Late::Nothing => Vec::new(),
            Late::Standbys => vec![(holder.clone(), rename(2)), (holder, rename(1))],
            Late::Started => vec![(process(0, 0).to_string(), started(0, 0, Offset(0)))],
            Late::Move => vec![
                (holder, change(0, 1)),
                (process(1, 1).to_string(), change(1, 0)),
            ],
        }
    }
}

/// Creates an entry whose id depends on its whole content.
pub(crate) fn entry(actor: String, reason: String, serial: u32, record: Record) -> Entry {
    let text = format!("{actor} {reason} {serial} {record:?}");
    Entry {
        id: Id(xxh3_128(text.as_bytes())),
        actor,
        reason,
        written_ms: 0,
        record,
    }
}

pub(crate) fn process(index: usize, incarnation: u64) -> Process {
    let host = parse(["a", "b", "c", "d"][index]);
    Process { host, incarnation }
}

pub(crate) fn started(index: usize, incarnation: u64, after: Offset) -> Record {
    Record::Started {
        process: process(index, incarnation),
        address: SocketAddr::from(([127, 0, 0, 1], 7_000 + index as u16)),
        data_centre: data_centre(),
        after,
    }
}

pub(crate) fn data_centre() -> name::DataCentre {
    parse("northam")
}

/// Returns the id of a request. Its key is in the slice of the same number.
pub(crate) fn request(index: usize) -> request::Id {
    let key = Digest([0, u64::MAX][index]);
    request::Id { key, number: 1 }
}

/// Returns a table whose version is recognised by its queue limit.
pub(crate) fn table(queue: u32) -> Table {
    let target = |name: &str, port, weight, checks_epoch| {
        let row = Target {
            address: SocketAddr::from(([127, 0, 0, 1], port)),
            data_centre: data_centre(),
            weight,
            checks_epoch,
        };
        (parse(name), row)
    };
    let service = Service {
        targets: [target("t1", 8_001, 1, true), target("t2", 8_002, 0, false)].into(),
        slots: 6,
        connections: 110,
        queue,
        deadline: Span::from_secs(1),
        divided_by_key: true,
        slices: 2,
        idempotent_methods: ["GET".to_owned()].into(),
        retry_percent: 10,
        slow_start: Span::from_secs(1),
        reserved_percent: 10,
        id_window: Span::from_secs(3_600),
        moves_per_minute: 10,
        hot_key_percent: 10,
    };
    Table {
        data_centres: [(data_centre(), parse("south-west"))].into(),
        services: [(parse("orders"), service)].into(),
    }
}

/// Returns the ledger's owner of a slice.
pub(crate) fn owner(ledger: &Ledger, slice: usize) -> Option<&name::Target> {
    let assignment = ledger.assignments().get(&parse("orders"))?;
    assignment.slices.get(slice)
}

pub(crate) fn parse<T: std::str::FromStr>(text: &str) -> T {
    text.parse().ok().expect("the model's names are valid")
}
