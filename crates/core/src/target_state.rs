//! State that a holder keeps for a target.

use std::collections::BTreeMap;

use crate::{
    admission::{self, Queue},
    event::{Probe, TargetReport, Ticket},
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

/// Maximum number of keys of a target whose load is counted separately.
const MAX_TRACKED_KEYS: usize = 256;

/// Interval at which the loads of slices and keys are halved.
const LOAD_HALF_LIFE: Span = Span::from_secs(10);

/// Queue, grants, health and load of a target that this process holds.
#[derive(Clone, Debug)]
pub(crate) struct TargetState {
    /// Epoch under which this process holds the target.
    pub(crate) epoch: Epoch,
    /// Slots and waiting requests of the target.
    pub(crate) queue: Queue,
    /// Observed state and latency of the target.
    pub(crate) health: Health,
    /// Slices and keys that are being moved to other targets.
    pub(crate) handover: Option<Handover>,
    /// When this process learned that it holds the target.
    pub(crate) held_since: Instant,
    /// True once the target has accepted a grant of this epoch, or if it does not check epochs.
    pub(crate) grant_accepted: bool,
    /// Requests whose connection broke, until a probe shows whether the target crashed.
    pub(crate) disconnect: Option<Disconnect>,
    /// When this process stopped sending requests in order to release the contract.
    pub(crate) yielding: Option<Instant>,
    /// True once the record that releases the contract is submitted.
    pub(crate) released: bool,
    /// Busy time of each slice, in microseconds, halved at intervals.
    pub(crate) slice_busy_us: BTreeMap<Slice, u64>,
    /// Busy time of the keys with the highest load, in microseconds, halved at intervals.
    pub(crate) key_busy_us: Sketch,
    /// Latest deadline among the requests that were sent.
    pub(crate) last_deadline: Instant,
    /// Number of answers that arrived after their request's deadline.
    pub(crate) late_answers: u64,
    slots: u32,
    last_decay: Instant,
    last_probe: Option<Instant>,
    last_grant: Option<Instant>,
    /// Latest time at which a grant that was sent may expire.
    grant_end: Instant,
    start_id: Option<u64>,
    /// Whether the target has restarted since this process holds it, so that it may have forgotten
    /// the epochs that it accepted.
    has_restarted: bool,
    clock_ms: u64,
}

/// Requests that were in flight when a connection to their target broke.
#[derive(Clone, Debug)]
pub(crate) struct Disconnect {
    /// Fingerprints of the requests that were in flight.
    pub(crate) fingerprints: Vec<Fingerprint>,
    /// Requests that wait until it is known whether the target crashed.
    pub(crate) waiting: Vec<Ticket>,
    /// Start identifier of the target before the connection broke.
    pub(crate) start_id: Option<u64>,
    /// When the first connection broke.
    pub(crate) at: Instant,
}

impl TargetState {
    /// Creates the state of a newly held target, about which nothing has been observed.
    pub(crate) fn new(
        epoch: Epoch,
        now: Instant,
        row: &Service,
        checks_epoch: bool,
        times: &Times,
    ) -> Self {
        let settings = health::Settings {
            slots: row.slots,
            slow_start: row.slow_start,
            loss_timeout: times.target_lost,
            ..Default::default()
        };
        Self {
            epoch,
            queue: Queue::new(admission::Settings::from(row)),
            health: Health::new(now, settings),
            handover: None,
            held_since: now,
            grant_accepted: !checks_epoch,
            disconnect: None,
            yielding: None,
            released: false,
            slice_busy_us: BTreeMap::new(),
            key_busy_us: Sketch::new(MAX_TRACKED_KEYS),
            last_deadline: Instant::default(),
            late_answers: 0,
            slots: row.slots,
            last_decay: now,
            last_probe: None,
            last_grant: None,
            grant_end: Instant::default(),
            start_id: None,
            has_restarted: false,
            clock_ms: 0,
        }
    }

    /// Applies changed limits of the table.
    pub(crate) fn configure(&mut self, row: &Service) {
        self.slots = row.slots;
        self.queue.configure(admission::Settings::from(row));
        self.health.configure(row.slots, row.slow_start);
    }

    /// Returns whether a probe is due, and if so records it as sent.
    pub(crate) fn take_due_probe(&mut self, now: Instant, times: &Times) -> bool {
        let due = is_due(self.last_probe, now, times.probe);
        if due {
            self.last_probe = Some(now);
        }
        due
    }

    /// Makes a probe due immediately.
    pub(crate) fn force_probe(&mut self) {
        self.last_probe = None;
    }

    /// Returns the duration of a grant if one is due, and records it as sent. A grant ends with the
    /// lease of this process, so that the next holder's wait covers it.
    ///
    /// A target that does not answer probes gets no new grant, so that its last one expires before
    /// its slices move.
    pub(crate) fn take_due_grant(
        &mut self,
        now: Instant,
        lease_end: Instant,
        times: &Times,
    ) -> Option<Span> {
        // A grant that a short lease has shortened must not expire before its renewal.
        let interval = match self.grant_end.since(now) < times.outlast(times.grant_renewal) {
            true => times.probe.min(times.grant_renewal),
            false => times.grant_renewal,
        };
        if !self.is_responding() || !is_due(self.last_grant, now, interval) {
            return None;
        }
        let ttl = times.grant.min(lease_end.since(now));
        self.last_grant = Some(now);
        self.grant_end = self.grant_end.max(now + times.outlast(ttl));
        Some(ttl)
    }

    /// Returns whether the target answered the last probe.
    pub(crate) fn is_responding(&self) -> bool {
        self.start_id.is_some() && !self.health.is_failing()
    }

    /// Records the result of a probe.
    pub(crate) fn record_probe(&mut self, now: Instant, answer: Probe) {
        let Probe::Answered {
            start_id,
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
        // A restarted target has lost its grant and needs a new one at once. What the earlier run
        // refused says nothing about it.
        if self.start_id.is_some_and(|known| known != start_id) {
            self.last_grant = None;
            self.has_restarted = true;
            self.queue.end_pause();
        }
        self.start_id = Some(start_id);
        self.clock_ms = clock_ms;
        let load_percent = load * 100 / self.slots.max(1);
        self.health.observe(now, Observation::Probed(start_id));
        let report = hint::LoadReport {
            load_percent,
            start_id,
        };
        self.health.record_report(now, &report);
    }

    /// Treats the target as warm if the previous holder reported the same run of it as warm.
    pub(crate) fn adopt_report(&mut self, report: &TargetReport) {
        if report.state == State::Warm && report.start_id == self.start_id {
            self.health.assume_warm();
        }
    }

    /// Restarts the loss timeout of the target after a pause of this process.
    pub(crate) fn reset_timeout(&mut self, now: Instant) {
        if let Some(start_id) = self.start_id {
            self.health.observe(now, Observation::Probed(start_id));
        }
    }

    /// Returns the target's own clock in its latest answer to a probe, in milliseconds.
    pub(crate) fn clock_ms(&self) -> u64 {
        self.clock_ms
    }

    /// Returns the start identifier of the target's current run, once a probe was answered.
    pub(crate) fn start_id(&self) -> Option<u64> {
        self.start_id
    }

    /// Returns whether the target counts as lost.
    pub(crate) fn is_lost(&self) -> bool {
        matches!(self.health.state(), State::Frozen | State::Lost)
    }

    /// Returns when all grants that this process has sent to the target have expired, also those to
    /// its earlier runs, which the current one may have received.
    pub(crate) fn grant_end(&self) -> Instant {
        self.grant_end
    }

    /// Returns whether the target refuses the grants of earlier holders, since it has accepted one of
    /// a later epoch.
    pub(crate) fn refuses_earlier_grants(&self) -> bool {
        self.grant_accepted && !self.has_restarted
    }

    /// Adds the busy time of a request to the load of its slice and key.
    pub(crate) fn add_load(&mut self, slice: Slice, key: Option<Digest>, busy: Span) {
        let busy = busy.0.max(1);
        *self.slice_busy_us.entry(slice).or_default() += busy;
        if let Some(key) = key {
            self.key_busy_us.add(key, busy);
        }
    }

    /// Halves the loads if the half-life has passed.
    pub(crate) fn decay(&mut self, now: Instant) {
        if now.since(self.last_decay) < LOAD_HALF_LIFE {
            return;
        }
        self.last_decay = now;
        self.key_busy_us.halve();
        self.slice_busy_us.values_mut().for_each(|load| *load /= 2);
        self.slice_busy_us.retain(|_, load| *load > 0);
    }

    /// Returns the target's capacity, in per cent of a warm target without a rate limit.
    pub(crate) fn capacity_percent(&self, now: Instant) -> u32 {
        let capacity = self.health.capacity_percent(now);
        let Some(rate) = self.queue.rate_limit(now) else {
            return capacity;
        };
        let busy_slots = rate.per_second() * self.queue.service_time().as_secs_f64();
        let percent = busy_slots * 100.0 / f64::from(self.slots.max(1));
        capacity.min((percent as u32).max(1))
    }

    /// Creates the report on the target that peers receive in heartbeats.
    pub(crate) fn report(
        &self,
        target: &name::Target,
        leaving: bool,
        now: Instant,
    ) -> TargetReport {
        let paused = self.queue.pause_left(now);
        TargetReport {
            target: target.clone(),
            start_id: self.start_id,
            state: self.health.state(),
            in_flight: (self.queue.running() + self.queue.waiting()) as u32,
            // Earlier releases read the limit alone.
            limit: match paused {
                Some(_) => 0,
                None => self.queue.limit(),
            },
            latency: self.health.median().unwrap_or_default(),
            load: self.slice_busy_us.values().sum(),
            capacity_percent: self.capacity_percent(now),
            rate_limit: self.queue.rate_limit(now),
            leaving,
            paused,
        }
    }
}

/// Returns the identifier of a request in the queue. It is unique in the process, even if two
/// callers use the same idempotency key.
pub(crate) fn queue_id(ticket: Ticket) -> request::Id {
    request::Id {
        key: Digest::default(),
        number: ticket.0,
    }
}

/// Returns the ticket of a request from its identifier in the queue.
pub(crate) fn ticket(id: request::Id) -> Ticket {
    Ticket(id.number)
}

fn is_due(last: Option<Instant>, now: Instant, interval: Span) -> bool {
    last.is_none_or(|last| now.since(last) >= interval)
}
