//! Simulation in virtual time of daemons with real nodes, and of models of the log service,
//! targets, links and clocks whose faults a test controls. One seed determines all randomness.

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
mod table;
mod tally;
mod target;
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
use process::Daemon;

pub use call::{Answer, Call};
pub use log::LogFault;
pub use net::Endpoint;
pub use process::ProcessId;
pub use settings::{Builder, Policy};
pub use tally::Tally;
pub use target::Target;

/// Interval of the nodes' ticks, the same as in the real daemon.
const TICK_INTERVAL: Span = Span::from_millis(20);

/// Function called with each message between nodes when it is sent.
pub type Observer = Box<dyn FnMut(Instant, &Process, &Process, &Message)>;

/// Daemons, targets and the log service in virtual time.
pub struct World {
    agenda: Agenda,
    now: Instant,
    random: Xoshiro256PlusPlus,
    settings: Builder,
    /// State of the log service.
    pub log: Log,
    /// Links between daemons, the log and targets.
    pub net: Net,
    /// Targets, by index.
    pub targets: Vec<Target>,
    daemons: Vec<Daemon>,
    calls: Vec<Call>,
    tokens: u64,
    runs: u64,
    /// Recent runs of each key: time, target, and whether another target has run the key since.
    last_runs: BTreeMap<Digest, Vec<(Instant, usize, bool)>>,
    /// Violations counted so far.
    pub tally: Tally,
    observer: Option<Observer>,
}

impl World {
    /// Creates a world and starts its daemons.
    pub fn new(settings: Builder, seed: u64) -> Self {
        let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
        let mut world = Self {
            agenda: Agenda::default(),
            now: Instant::default(),
            log: Log::new(&settings),
            net: Net::new(settings.data_centres(), settings.loss_ppm),
            targets: settings.new_targets(),
            daemons: settings.new_daemons(&mut random),
            calls: Vec::new(),
            tokens: 0,
            runs: 0,
            last_runs: BTreeMap::new(),
            tally: Tally::default(),
            observer: None,
            settings,
            random,
        };
        for index in 0..world.daemons.len() {
            world.start_daemon(index);
        }
        world
    }

    /// Sets the function that is called with each message between nodes.
    pub fn observe(&mut self, observer: Observer) {
        self.observer = Some(observer);
    }

    /// Returns the world's time, which no process can read.
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

    /// Runs a job after a span.
    pub fn schedule(&mut self, span: Span, job: impl FnOnce(&mut Self) + 'static) {
        self.agenda.add(self.now + span, Box::new(job));
    }

    /// Runs a job at a process: now, after it resumes if it is paused, or never if it has ended.
    fn run_on(&mut self, process: ProcessId, job: Job) {
        let daemon = &mut self.daemons[process.index];
        if daemon.incarnation != process.incarnation || !daemon.alive {
            return;
        }
        match daemon.paused {
            true => daemon.inbox.push_back(job),
            false => job(self),
        }
    }

    fn schedule_on(
        &mut self,
        span: Span,
        process: ProcessId,
        job: impl FnOnce(&mut Self) + 'static,
    ) {
        self.schedule(span, move |world| world.run_on(process, Box::new(job)));
    }

    /// Runs a job after the delay of a link, unless the link loses the message.
    fn send(&mut self, from: Endpoint, to: Endpoint, job: impl FnOnce(&mut Self) + 'static) {
        if let Some(delay) = self.net.delay(from, to, &mut self.random) {
            self.schedule(delay, job);
        }
    }

    fn handle(&mut self, process: ProcessId, event: event::Event) {
        let now = self.local_time(process.index);
        let mut actions = Vec::new();
        self.daemons[process.index]
            .node
            .handle(now, event, &mut actions);
        for action in actions {
            self.perform(process, action);
        }
    }

    /// Returns the current time on a daemon's clock.
    pub fn local_time(&self, index: usize) -> Instant {
        self.daemons[index].clock.read(self.now)
    }

    /// Returns all requests that callers sent.
    pub fn calls(&self) -> &[Call] {
        &self.calls
    }

    /// Returns a daemon's node, also if the daemon has ended.
    pub fn node(&self, index: usize) -> &ragwortrill_core::node::Node {
        &self.daemons[index].node
    }

    /// Returns the number of daemons.
    pub fn daemon_count(&self) -> usize {
        self.daemons.len()
    }

    /// Returns, by target, the daemon that holds it according to the log.
    pub fn holders(&self) -> BTreeMap<String, usize> {
        let contracts = self.log.ledger().contracts().iter();
        let current = contracts.filter(|(_, c)| c.released.is_none());
        let indexed = current.filter_map(|(target, contract)| {
            let holder = &contract.holder;
            let index = self.daemons.iter().position(|s| s.process() == holder)?;
            Some((target.to_string(), index))
        });
        indexed.collect()
    }
}
