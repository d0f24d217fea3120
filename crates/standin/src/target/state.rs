use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use ragwortrill_core::{number::Epoch, time::Span};
use ragwortrill_platform::target::{Load, Refusal};

use super::{Counts, Report, Settings, call::Call, history::History};

/// Present state of a target.
pub(crate) struct State {
    pub(crate) settings: Settings,
    pub(crate) counts: Counts,
    pub(crate) frozen: bool,
    pub(crate) crashed: bool,
    pub(crate) start_id: u64,
    /// Highest epoch that the target knows of. A restart may forget it.
    pub(crate) highest: Epoch,
    /// Highest epoch ever received, for the counters only.
    highest_ever: Epoch,
    grant: Option<(Epoch, Instant)>,
    /// Start of the clock in load reports.
    clock: Instant,
    started: Instant,
    /// Requests left until the target counts as warm.
    cold_left: u32,
    /// Requests that wait or run: how many there are, and whether they are cancelled.
    present: BTreeMap<String, (usize, bool)>,
    history: History,
}

impl State {
    pub(crate) fn new(settings: Settings) -> Self {
        let mut state = Self {
            settings,
            counts: Counts::default(),
            frozen: false,
            crashed: false,
            start_id: 0,
            highest: Epoch(0),
            highest_ever: Epoch(0),
            grant: None,
            clock: Instant::now(),
            started: Instant::now(),
            cold_left: 0,
            present: BTreeMap::new(),
            history: History::default(),
        };
        state.start_cold();
        state
    }

    /// Makes the server end. A crashed target can't crash again.
    pub(crate) fn crash(&mut self) {
        self.counts.crashes += u64::from(!self.crashed);
        self.crashed = true;
    }

    /// Forgets what a restarted process would not know.
    pub(crate) fn start_cold(&mut self) {
        self.crashed = false;
        self.grant = None;
        self.become_cold();
        if !self.settings.remembers_epoch {
            self.highest = Epoch(0);
        }
    }

    pub(crate) fn become_cold(&mut self) {
        self.start_id = rand::random();
        self.started = Instant::now();
        self.cold_left = self.settings.cold_requests;
        self.note_load();
    }

    /// Returns the time that a run takes which starts now.
    pub(crate) fn service_time(&mut self) -> Span {
        let warming = self.started.elapsed() < self.settings.cold_span.as_duration();
        if self.cold_left == 0 && !warming {
            return self.settings.service_time;
        }
        self.cold_left = self.cold_left.saturating_sub(1);
        self.settings.cold_time
    }

    /// Notes a received epoch. True if it is below one that was received before.
    pub(crate) fn receive_epoch(&mut self, epoch: Epoch) -> bool {
        self.highest = self.highest.max(epoch);
        self.highest_ever = self.highest_ever.max(epoch);
        epoch < self.highest_ever
    }

    pub(crate) fn is_stale(&self, epoch: Option<Epoch>) -> bool {
        epoch.is_some_and(|epoch| epoch < self.highest_ever)
    }

    /// Returns a moment that the clock in load reports showed. It is not in the future.
    pub(crate) fn at(&self, clock_ms: u64) -> Instant {
        let moment = self.clock + Duration::from_millis(clock_ms);
        moment.min(Instant::now())
    }

    pub(crate) fn grant(&mut self, epoch: Epoch, end: Instant) {
        self.counts.grants += 1;
        self.grant = Some((epoch, end));
    }

    /// Tells why a request may not run now, for reasons of epoch, drain or cancellation.
    pub(crate) fn refusal(&self, call: &Call, now: Instant) -> Option<Refusal> {
        if self.is_cancelled(call) {
            return Some(Refusal::Cancelled);
        }
        if self.settings.enforces_deadlines && call.is_late(now) {
            return Some(Refusal::Late);
        }
        if !self.settings.checks_epoch {
            return None;
        }
        let epoch = call.epoch.unwrap_or_default();
        if epoch < self.highest {
            return Some(Refusal::Stale);
        }
        let granted = self
            .grant
            .is_some_and(|grant| grant.0 == epoch && now < grant.1);
        (!granted).then_some(Refusal::NoGrant)
    }

    pub(crate) fn is_full(&self) -> bool {
        self.counts.running >= self.settings.slots
    }

    pub(crate) fn enter(&mut self, call: &Call) {
        self.counts.waiting += 1;
        self.counts.waiting_peak = self.counts.waiting_peak.max(self.counts.waiting);
        if let Some(request) = &call.request {
            self.present.entry(request.clone()).or_default().0 += 1;
        }
        self.note_load();
    }

    pub(crate) fn start(&mut self, call: &Call) {
        self.counts.waiting -= 1;
        self.counts.running += 1;
        self.counts.running_peak = self.counts.running_peak.max(self.counts.running);
        self.counts.started += 1;
        self.counts.stale_runs += u64::from(self.is_stale(call.epoch));
        if let Some(request) = &call.request {
            *self.counts.runs.entry(request.clone()).or_default() += 1;
        }
        if let Some(key) = &call.key {
            *self.counts.key_runs.entry(key.clone()).or_default() += 1;
        }
        self.note_load();
    }

    pub(crate) fn leave(&mut self, call: &Call, running: bool) {
        match running {
            true => self.counts.running -= 1,
            false => self.counts.waiting -= 1,
        }
        if let Some(request) = &call.request
            && let Some(present) = self.present.get_mut(request)
        {
            present.0 -= 1;
            if present.0 == 0 {
                self.present.remove(request);
            }
        }
        self.note_load();
    }

    pub(crate) fn cancel(&mut self, request: &str) -> bool {
        let present = self.present.get_mut(request);
        let found = present.map(|present| present.1 = true).is_some();
        self.counts.cancelled += u64::from(found);
        found
    }

    pub(crate) fn is_cancelled(&self, call: &Call) -> bool {
        let request = call.request.as_ref();
        request.is_some_and(|request| self.present.get(request).is_some_and(|p| p.1))
    }

    fn load(&self) -> Load {
        Load {
            running: self.counts.running as u32,
            waiting: self.counts.waiting as u32,
            start_id: self.start_id,
            clock_ms: self.clock.elapsed().as_millis() as u64,
        }
    }

    fn note_load(&mut self) {
        self.history.note(Instant::now(), self.load());
    }

    pub(crate) fn report(&self, now: Instant) -> Load {
        let load = match self.settings.report {
            Report::Exact => self.load(),
            Report::Fixed(load) => load,
            Report::Lagging(lag) => self.history.at(now, lag).unwrap_or(self.load()),
        };
        // Reports lag or mislead about the load, not about the clock that answers the request.
        Load {
            clock_ms: self.load().clock_ms,
            ..load
        }
    }
}
