//! What the holder of a target keeps about it.

use std::collections::BTreeMap;

use crate::{
    admission::{self, Queue},
    event::{Probe, Report, Ticket},
    handover::Handover,
    health::{self, Health, Observation, State},
    hint,
    key::Digest,
    name,
    number::{Epoch, Slice},
    request::{self, Fingerprint},
    sketch::Sketch,
    table::Service,
    time::{Instant, Span},
    times::Times,
};

/// Keys whose load is told apart for each target.
const SKETCH_KEYS: usize = 256;

/// Time after which loads count half.
const HALF_LIFE: Span = Span::from_secs(10);

/// Requests, grants, health and loads of a target that this process holds.
#[derive(Clone, Debug)]
pub(crate) struct Desk {
    /// Epoch under which this process holds the target.
    pub(crate) epoch: Epoch,
    /// Admission to the target.
    pub(crate) queue: Queue,
    /// Health of the target.
    pub(crate) health: Health,
    /// Shares on their way to other targets.
    pub(crate) handover: Option<Handover>,
    /// When this process first knew that it holds the target.
    pub(crate) since: Instant,
    /// True once the target has accepted a grant of this epoch, or if it checks none.
    pub(crate) accepted: bool,
    /// Requests whose connection broke, until it is known whether the target crashed.
    pub(crate) broken: Option<Break>,
    /// When this process stopped sending work in order to give the contract up.
    pub(crate) yielding: Option<Instant>,
    /// True once the record that gives the contract up is submitted.
    pub(crate) released: bool,
    /// Busy time by slice, in microseconds.
    pub(crate) slices: BTreeMap<Slice, u64>,
    /// Busy time by key, in microseconds, of the keys with the most.
    pub(crate) keys: Sketch,
    /// Latest deadline of the requests that were sent.
    pub(crate) last_deadline: Instant,
    /// Answers that arrived after their request's deadline.
    pub(crate) late: u64,
    slots: u32,
    halved: Instant,
    probed: Option<Instant>,
    granted: Option<Instant>,
    start: Option<u64>,
    clock_ms: u64,
}

/// Requests that were in flight when a connection to their target broke.
#[derive(Clone, Debug)]
pub(crate) struct Break {
    /// Fingerprints of the requests in flight.
    pub(crate) fingerprints: Vec<Fingerprint>,
    /// Requests that wait for the verdict.
    pub(crate) waiting: Vec<Ticket>,
    /// Mark of the target before the break.
    pub(crate) start: Option<u64>,
    /// When the first connection broke.
    pub(crate) at: Instant,
}

impl Desk {
    /// Opens the desk of a target that is not known yet.
    pub(crate) fn new(
        epoch: Epoch,
        now: Instant,
        row: &Service,
        checks: bool,
        times: &Times,
    ) -> Self {
        let settings = health::Settings {
            slots: row.slots,
            slow_start: row.slow_start,
            lost: times.target_lost,
            ..Default::default()
        };
        Self {
            epoch,
            queue: Queue::new(admission::Settings::from(row)),
            health: Health::new(now, settings),
            handover: None,
            since: now,
            accepted: !checks,
            broken: None,
            yielding: None,
            released: false,
            slices: BTreeMap::new(),
            keys: Sketch::new(SKETCH_KEYS),
            last_deadline: Instant::default(),
            late: 0,
            slots: row.slots,
            halved: now,
            probed: None,
            granted: None,
            start: None,
            clock_ms: 0,
        }
    }

    /// Applies changed limits of the table.
    pub(crate) fn configure(&mut self, row: &Service) {
        self.slots = row.slots;
        self.queue.configure(admission::Settings::from(row));
        self.health.configure(row.slots, row.slow_start);
    }

    /// Tells whether a probe is due, and notes that it is sent.
    pub(crate) fn probe(&mut self, now: Instant, times: &Times) -> bool {
        let due = is_due(self.probed, now, times.probe);
        if due {
            self.probed = Some(now);
        }
        due
    }

    /// Makes a probe due at once.
    pub(crate) fn probe_soon(&mut self) {
        self.probed = None;
    }

    /// Tells whether a grant is due, and notes that it is sent.
    ///
    /// A target that doesn't answer probes gets no grant, so that its last one ends in time.
    pub(crate) fn grant(&mut self, now: Instant, times: &Times) -> bool {
        let due = self.answers() && is_due(self.granted, now, times.grant_renewal);
        if due {
            self.granted = Some(now);
        }
        due
    }

    /// Tells whether the target answered the last probe.
    pub(crate) fn answers(&self) -> bool {
        self.start.is_some() && !self.health.is_failing()
    }

    /// Notes an answer to a probe.
    pub(crate) fn answer(&mut self, now: Instant, answer: Probe) {
        let Probe::Answered {
            start,
            load,
            clock_ms,
        } = answer
        else {
            let observation = match answer {
                Probe::Unreachable => Observation::Unreachable,
                _ => Observation::Silent,
            };
            return self.health.observe(now, observation);
        };
        // A restarted target has forgotten its grant.
        if self.start.is_some_and(|known| known != start) {
            self.granted = None;
        }
        self.start = Some(start);
        self.clock_ms = clock_ms;
        let load_percent = load * 100 / self.slots.max(1);
        self.health.observe(now, Observation::Probed(start));
        let report = hint::Report {
            load_percent,
            start,
        };
        self.health.report(now, &report);
    }

    /// Takes the earlier holder's word that the target is warm.
    pub(crate) fn inherit(&mut self, report: &Report) {
        if report.state == State::Warm && report.start == self.start {
            self.health.assume_warm();
        }
    }

    /// Restarts the timeout of the target after a pause of this process.
    pub(crate) fn restart(&mut self, now: Instant) {
        if let Some(start) = self.start {
            self.health.observe(now, Observation::Probed(start));
        }
    }

    /// Returns the target's own clock as its latest answer showed it, in milliseconds.
    pub(crate) fn clock_ms(&self) -> u64 {
        self.clock_ms
    }

    /// Returns the mark of the target's last restart.
    pub(crate) fn start(&self) -> Option<u64> {
        self.start
    }

    /// Tells whether the target counts as lost.
    pub(crate) fn is_lost(&self) -> bool {
        matches!(self.health.state(), State::Frozen | State::Lost)
    }

    /// Returns when the target can no longer serve under any grant that was sent.
    pub(crate) fn grant_end(&self, times: &Times) -> Instant {
        self.granted
            .map(|sent| sent + times.outlast(times.grant))
            .unwrap_or_default()
    }

    /// Adds the busy time of a request.
    pub(crate) fn charge(&mut self, slice: Slice, key: Option<Digest>, busy: Span) {
        let busy = busy.0.max(1);
        *self.slices.entry(slice).or_default() += busy;
        if let Some(key) = key {
            self.keys.add(key, busy);
        }
    }

    /// Lets old loads count less.
    pub(crate) fn decay(&mut self, now: Instant) {
        if now.since(self.halved) < HALF_LIFE {
            return;
        }
        self.halved = now;
        self.keys.halve();
        self.slices.values_mut().for_each(|load| *load /= 2);
        self.slices.retain(|_, load| *load > 0);
    }

    /// Describes the target for peers.
    pub(crate) fn report(&self, target: &name::Target, now: Instant) -> Report {
        Report {
            target: target.clone(),
            start: self.start,
            state: self.health.state(),
            in_flight: (self.queue.running() + self.queue.waiting()) as u32,
            limit: self.queue.limit(),
            latency: self.health.median().unwrap_or_default(),
            load: self.slices.values().sum(),
            capacity_percent: self.health.capacity_percent(now),
        }
    }
}

/// Returns the identifier of a request in the queue: unique in the process, even if two callers
/// use the same idempotency key.
pub(crate) fn queue_id(ticket: Ticket) -> request::Id {
    request::Id {
        key: Digest::default(),
        number: ticket.0,
    }
}

/// Returns the request that an identifier in the queue stands for.
pub(crate) fn ticket(id: request::Id) -> Ticket {
    Ticket(id.number)
}

fn is_due(last: Option<Instant>, now: Instant, interval: Span) -> bool {
    last.is_none_or(|last| now.since(last) >= interval)
}
