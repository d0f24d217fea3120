//! Real nodes in virtual time, with a fake log, targets, links and clocks whose faults a test
//! switches. All randomness comes from one seed.

mod agenda;
mod call;
mod clock;
mod entry;
mod faults;
mod log;
mod net;
mod perform;
mod process;
mod settings;
mod site;
mod table;
mod tally;
mod work;

use std::collections::BTreeMap;

use rand::{SeedableRng, rngs::Xoshiro256PlusPlus};

use ragwortrill_core::{
    event::{self, Message},
    key::Digest,
    process::Process,
    time::{Instant, Span},
};

use agenda::{Agenda, Job};
use log::Log;
use net::Net;
use process::Shell;

pub use call::{Answer, Call};
pub use log::Outage;
pub use net::End;
pub use process::Ref;
pub use settings::{Builder, Policy};
pub use site::Site;
pub use tally::Tally;

/// Interval of the daemons' ticks, as in the daemon.
const TICK: Span = Span::from_millis(20);

/// Sees each message between nodes when it is sent.
pub type Tap = Box<dyn FnMut(Instant, &Process, &Process, &Message)>;

/// Daemons, targets and the log service in virtual time.
pub struct World {
    agenda: Agenda,
    now: Instant,
    random: Xoshiro256PlusPlus,
    settings: Builder,
    /// The log service.
    pub log: Log,
    /// Links between daemons, log and targets.
    pub net: Net,
    /// Targets by number.
    pub sites: Vec<Site>,
    shells: Vec<Shell>,
    calls: Vec<Call>,
    tokens: u64,
    runs: u64,
    /// Latest runs of each key: when, at which target, and whether another target ran it since.
    last_runs: BTreeMap<Digest, Vec<(Instant, usize, bool)>>,
    /// What was counted so far.
    pub tally: Tally,
    tap: Option<Tap>,
}

impl World {
    /// Creates a world and starts its daemons. The table is in the log from the start.
    pub fn new(settings: Builder, seed: u64) -> Self {
        let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
        let mut world = Self {
            agenda: Agenda::default(),
            now: Instant::default(),
            log: Log::new(&settings),
            net: Net::new(settings.centres(), settings.loss_ppm),
            sites: settings.sites(),
            shells: settings.shells(&mut random),
            calls: Vec::new(),
            tokens: 0,
            runs: 0,
            last_runs: BTreeMap::new(),
            tally: Tally::default(),
            tap: None,
            settings,
            random,
        };
        for index in 0..world.shells.len() {
            world.begin(index);
        }
        world
    }

    /// Shows each message between nodes to a function.
    pub fn watch(&mut self, tap: Tap) {
        self.tap = Some(tap);
    }

    /// Returns the world's time. No process knows it.
    pub fn now(&self) -> Instant {
        self.now
    }

    /// Runs until a moment of the world's time.
    pub fn run_until(&mut self, end: Instant) {
        while let Some((at, job)) = self.agenda.next(end) {
            self.now = at;
            job(self);
        }
        self.now = end;
    }

    /// Runs for a span of the world's time.
    pub fn run(&mut self, span: Span) {
        self.run_until(self.now + span);
    }

    /// Does something after a span.
    pub fn after(&mut self, span: Span, job: impl FnOnce(&mut Self) + 'static) {
        self.agenda.add(self.now + span, Box::new(job));
    }

    /// Does something at a process: now, once it resumes if it is paused, or never if it ended.
    fn on(&mut self, process: Ref, job: Job) {
        let shell = &mut self.shells[process.index];
        if shell.incarnation != process.incarnation || !shell.alive {
            return;
        }
        match shell.paused {
            true => shell.inbox.push_back(job),
            false => job(self),
        }
    }

    fn on_after(&mut self, span: Span, process: Ref, job: impl FnOnce(&mut Self) + 'static) {
        self.after(span, move |world| world.on(process, Box::new(job)));
    }

    /// Carries something over a link, unless the link loses it.
    fn send(&mut self, from: End, to: End, job: impl FnOnce(&mut Self) + 'static) {
        if let Some(delay) = self.net.delay(from, to, &mut self.random) {
            self.after(delay, job);
        }
    }

    fn handle(&mut self, process: Ref, event: event::Event) {
        let now = self.local(process.index);
        let mut actions = Vec::new();
        self.shells[process.index]
            .node
            .handle(now, event, &mut actions);
        for action in actions {
            self.perform(process, action);
        }
    }

    /// Returns the time on a process's clock.
    pub fn local(&self, index: usize) -> Instant {
        self.shells[index].clock.read(self.now)
    }

    /// Returns the calls that were made.
    pub fn calls(&self) -> &[Call] {
        &self.calls
    }

    /// Returns the state of a daemon, whether it runs or not.
    pub fn node(&self, index: usize) -> &ragwortrill_core::node::Node {
        &self.shells[index].node
    }

    /// Returns the number of daemons.
    pub fn daemons(&self) -> usize {
        self.shells.len()
    }

    /// Returns which processes hold a target by the log, by target.
    pub fn holders(&self) -> BTreeMap<String, usize> {
        let contracts = self.log.ledger().contracts().iter();
        let current = contracts.filter(|(_, c)| c.released.is_none());
        let indexed = current.filter_map(|(target, contract)| {
            let holder = &contract.holder;
            let index = self.shells.iter().position(|s| s.process() == holder)?;
            Some((target.to_string(), index))
        });
        indexed.collect()
    }
}
