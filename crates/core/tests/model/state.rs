//! State of a model run.

use std::{hash::Hash, rc::Rc};

use ragwortrill_core::{
    record::{Entry, Id, Record},
    time::Instant,
};
use xxhash_rust::xxh3::Xxh3;

use super::{
    bounds::Budget,
    log::Node,
    process::Daemon,
    world::{World, entry, process},
};

/// State of all processes, the log and the network.
#[derive(Clone)]
pub(crate) struct State {
    pub(crate) now: u8,
    pub(crate) rates: Option<&'static [u8]>,
    pub(crate) head: Rc<Node>,
    /// Submitted records that may still take effect, at any time and in any order.
    pub(crate) flight: Vec<Rc<Entry>>,
    pub(crate) daemons: Vec<Rc<Daemon>>,
    /// How often each request ran at a target.
    pub(crate) runs: [u8; 2],
    pub(crate) budget: Budget,
    pub(crate) fault: Option<&'static str>,
    pub(crate) depth: u16,
}

impl State {
    pub(crate) fn new(world: &World) -> Self {
        let (head, flight) = world.start();
        let daemons: Vec<_> = (0..world.processes())
            .map(|index| {
                let mut daemon = Daemon::new(index, process(index, 1), &head);
                for node in head.since(ragwortrill_core::number::Offset(0)) {
                    let now = Instant(0);
                    daemon.ownership.apply(
                        now,
                        node.offset,
                        &node.entry,
                        &node.ledger,
                        &world.times,
                    );
                }
                daemon.ownership.add_proof(Instant(0));
                world.share(daemon)
            })
            .collect();
        Self {
            now: 0,
            rates: None,
            daemons,
            head,
            flight,
            runs: [0; 2],
            budget: world.bounds.budget,
            fault: None,
            depth: 0,
        }
    }

    /// Returns the time on a process's clock.
    pub(crate) fn clock(&self, index: usize) -> Instant {
        let rate = self.rates.map_or(0, |rates| rates[index]);
        Instant(u64::from(self.now) * u64::from(rate))
    }

    /// Returns a mutable reference to a process.
    pub(crate) fn daemon(&mut self, index: usize) -> &mut Daemon {
        Rc::make_mut(&mut self.daemons[index])
    }

    /// Submits a record of a process and returns its id.
    pub(crate) fn submit(&mut self, index: usize, record: Record) -> Id {
        let daemon = self.daemon(index);
        daemon.serial += 1;
        let actor = daemon.process().to_string();
        let entry = entry(actor, String::new(), daemon.serial, record);
        self.put(entry)
    }

    /// Adds an entry to the records in flight.
    pub(crate) fn put(&mut self, entry: Entry) -> Id {
        let id = entry.id;
        let place = self.flight.partition_point(|other| other.id < id);
        self.flight.insert(place, Rc::new(entry));
        id
    }

    /// Returns a hash that identifies the state: 128 bits of xxh3, so that distinct states collide
    /// with negligible probability.
    ///
    /// A ledger is represented by its offset and hash, since entry ids depend on their content.
    pub(crate) fn key(&self) -> u128 {
        let mut hasher = Xxh3::new();
        let h = &mut hasher;
        (self.now, self.rates, self.runs, self.budget, self.fault).hash(h);
        self.head.offset.hash(h);
        self.head.ledger.hash().hash(h);
        self.flight.len().hash(h);
        self.flight.iter().for_each(|entry| entry.id.hash(h));
        self.daemons.iter().for_each(|daemon| daemon.key.hash(h));
        hasher.digest128()
    }
}
