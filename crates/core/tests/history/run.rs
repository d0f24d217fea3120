//! Simulated run: a log, a network that delays answers, and one clock per process.

use proptest::{prelude::*, sample::Index};
use ragwortrill_core::{
    ledger::Ledger,
    name,
    number::{Epoch, Offset},
    ownership::Ownership,
    process::Process,
    record::{Entry, Id, Record},
    time::Instant,
    times::Times,
};

use crate::scene::{entry, name as parse, process, table};

/// A step of a run. Numbers choose a process or a message.
#[derive(Clone, Debug)]
pub enum Step {
    /// Time passes, in microseconds.
    Wait(u64),
    /// A process reads the log. The answer is delivered by a later step.
    Read(Index),
    /// The answer to a read, or a promise, is delivered.
    Arrive(Index),
    /// A holder sends a heartbeat to another process. The promise is delivered by a later step.
    Heartbeat(Index, Index),
    /// A process reads without delay and exchanges heartbeats with all others.
    Refresh(Index),
    /// A process claims the target.
    Claim(Index),
    /// A holder names two other standbys.
    ChangeStandbys(Index, Index),
    /// A holder releases the target.
    Release(Index),
    /// A submitted record takes effect.
    Append(Index),
    /// A record that took effect before is appended again.
    Repeat(Index),
    /// A process ends without notice. At most one does in a run.
    Lose(Index),
}

/// Returns any step. `Refresh` is frequent, so that leases last and holders act in most runs.
pub fn steps() -> impl Strategy<Value = Step> {
    let any = any::<Index>;
    prop_oneof![
        6 => (0..600_000_u64).prop_map(Step::Wait),
        1 => (0..4_000_000_000_u64).prop_map(Step::Wait),
        2 => any().prop_map(Step::Read),
        3 => any().prop_map(Step::Arrive),
        3 => (any(), any()).prop_map(|(a, b)| Step::Heartbeat(a, b)),
        12 => any().prop_map(Step::Refresh),
        2 => any().prop_map(Step::Claim),
        1 => (any(), any()).prop_map(|(a, b)| Step::ChangeStandbys(a, b)),
        1 => any().prop_map(Step::Release),
        4 => any().prop_map(Step::Append),
        1 => any().prop_map(Step::Repeat),
        1 => any().prop_map(Step::Lose),
    ]
}

enum Message {
    Log(usize, Offset, Instant),
    Promise(usize, Process, Vec<Epoch>, Vec<Epoch>, Instant),
}

struct Daemon {
    ownership: Ownership,
    ledger: Ledger,
}

/// State of a run.
pub struct Run {
    now: u64,
    rates: Vec<u64>,
    log: Vec<Entry>,
    flight: Vec<Entry>,
    messages: Vec<Message>,
    daemons: Vec<Daemon>,
    lost: Option<usize>,
    serial: u128,
    times: Times,
}

const MILLION: u128 = 1_000_000;

impl Run {
    /// Creates a run with each clock's rate in parts per million.
    pub fn new(rates: Vec<u64>) -> Self {
        let base = Default::default();
        let first = entry(
            Id(1),
            Record::Table {
                base,
                table: table(&["t1"]),
            },
        );
        let daemon = |host| Daemon {
            ownership: Ownership::new(process(host)),
            ledger: Ledger::default(),
        };
        Self {
            now: 0,
            rates,
            log: vec![first],
            flight: Vec::new(),
            messages: Vec::new(),
            daemons: ["a", "b", "c", "d"].map(daemon).into(),
            lost: None,
            serial: 1,
            times: Times::default(),
        }
    }

    fn clock(&self, index: usize) -> Instant {
        let micros = u128::from(self.now) * u128::from(self.rates[index]) / MILLION;
        Instant(micros as u64)
    }

    /// Returns the epochs under which processes may act now.
    pub fn acting(&self) -> Vec<Epoch> {
        let indices = (0..self.daemons.len()).filter(|index| self.lost != Some(*index));
        let epoch = |index: usize| {
            let ownership = &self.daemons[index].ownership;
            ownership.epoch(&target(), self.clock(index), &self.times)
        };
        indices.filter_map(epoch).collect()
    }

    /// Returns the number of processes that may act now.
    pub fn actors(&self) -> usize {
        self.acting().len()
    }

    /// Performs a step, or does nothing if it is not possible.
    pub fn take(&mut self, step: &Step) {
        match step {
            Step::Wait(micros) => self.now += micros,
            Step::Read(p) => {
                let p = p.index(4);
                let end = Offset(self.log.len() as u64);
                self.messages.push(Message::Log(p, end, self.clock(p)));
            }
            Step::Arrive(m) if !self.messages.is_empty() => {
                let message = self.messages.swap_remove(m.index(self.messages.len()));
                self.arrive(message);
            }
            Step::Heartbeat(p, q) => {
                let message = self.promise(p.index(4), q.index(4));
                self.messages.extend(message);
            }
            Step::Refresh(p) => self.refresh(p.index(4)),
            Step::Claim(p) => self.claim(p.index(4)),
            Step::ChangeStandbys(p, q) => self.change_standbys(p.index(4), q.index(4)),
            Step::Release(p) => self.release(p.index(4)),
            Step::Append(r) if !self.flight.is_empty() => {
                let entry = self.flight.swap_remove(r.index(self.flight.len()));
                self.log.push(entry);
            }
            Step::Repeat(r) => self.log.push(self.log[r.index(self.log.len())].clone()),
            Step::Lose(p) => {
                self.lost.get_or_insert(p.index(4));
            }
            Step::Arrive(_) | Step::Append(_) => {}
        }
    }

    fn arrive(&mut self, message: Message) {
        match message {
            Message::Log(p, end, sent) => self.catch_up(p, end, sent),
            Message::Promise(p, peer, requested, withheld, sent) => {
                let ownership = &mut self.daemons[p].ownership;
                ownership.add_promise(&peer, sent, &requested, &withheld);
            }
        }
    }

    fn catch_up(&mut self, p: usize, end: Offset, sent: Instant) {
        let now = self.clock(p);
        let Daemon { ownership, ledger } = &mut self.daemons[p];
        let from = ledger.offset().0;
        for (index, entry) in self.log.iter().enumerate() {
            let offset = Offset(1 + index as u64);
            if from < offset.0 && offset <= end {
                ledger.apply(offset, entry);
                ownership.apply(now, offset, entry, ledger, &self.times);
            }
        }
        ownership.add_proof(sent);
    }

    fn promise(&self, p: usize, q: usize) -> Option<Message> {
        let held = self.daemons[p].ownership.held().values();
        let requested: Vec<Epoch> = held.map(|h| h.epoch).collect();
        let peer = &self.daemons[q].ownership;
        let withheld = peer.withheld(&requested);
        let is_alive = p != q && self.lost != Some(q);
        let process = peer.process().clone();
        is_alive.then(|| Message::Promise(p, process, requested, withheld, self.clock(p)))
    }

    fn refresh(&mut self, p: usize) {
        self.catch_up(p, Offset(self.log.len() as u64), self.clock(p));
        for q in 0..4 {
            if let Some(message) = self.promise(p, q) {
                self.arrive(message);
            }
        }
    }

    fn others(&self, p: usize, first: usize) -> Vec<Process> {
        let others = (0..4).map(|step| (first + step) % 4).filter(|q| *q != p);
        others
            .take(2)
            .map(|q| self.daemons[q].ownership.process().clone())
            .collect()
    }

    fn id(&mut self) -> Id {
        self.serial += 1;
        Id(self.serial)
    }

    fn claim(&mut self, p: usize) {
        let (id, standbys) = (self.id(), self.others(p, p));
        let Daemon { ownership, ledger } = &mut self.daemons[p];
        let current = ledger.contracts().get(&target());
        let is_own = current.is_some_and(|c| c.holder == *ownership.process());
        if is_own || ownership.is_claiming(&target()) || self.lost == Some(p) {
            return;
        }
        let targets = vec![(target(), current.map(|c| c.epoch))];
        let record = ownership.claim(id, targets, standbys);
        self.flight.push(entry(id, record));
    }

    fn change_standbys(&mut self, p: usize, q: usize) {
        let (id, standbys, now) = (self.id(), self.others(p, q), self.clock(p));
        let ownership = &mut self.daemons[p].ownership;
        let held = ownership.held().get(&target());
        let held = held.filter(|h| {
            h.active_from <= now && !h.stopped && !ownership.is_changing_standbys(h.epoch)
        });
        if let Some(epoch) = held.map(|h| h.epoch) {
            let record = ownership.change_standbys(id, vec![(target(), epoch)], standbys);
            self.flight.push(entry(id, record));
        }
    }

    fn release(&mut self, p: usize) {
        let id = self.id();
        let ownership = &mut self.daemons[p].ownership;
        if let Some(epoch) = ownership.held().get(&target()).map(|h| h.epoch) {
            ownership.stop(&target());
            let targets = vec![(target(), epoch, 0)];
            self.flight.push(entry(id, Record::Release { targets }));
        }
    }
}

fn target() -> name::Target {
    parse("t1")
}
