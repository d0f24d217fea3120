use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use ragwortrill_core::{number::Epoch, time::Span};
use ragwortrill_platform::target::{Load, Refusal};

use super::{Counts, ReportMode, Settings, call::Call, history::History};

/// State of a target, shared by its requests.
pub(crate) struct State {
    pub(crate) settings: Settings,
    pub(crate) counts: Counts,
    pub(crate) frozen: bool,
    pub(crate) crashed: bool,
    pub(crate) start_id: u64,
    /// Highest received epoch, against which requests are checked. A restart may reset it.
    pub(crate) highest_epoch: Epoch,
    /// Highest epoch ever received, for the counters only.
    highest_epoch_ever: Epoch,
    grant: Option<(Epoch, Instant)>,
    /// Moment at which the clock in load reports showed 0.
    clock_start: Instant,
    started: Instant,
    /// Number of further requests that run at cold speed.
    cold_requests_left: u32,
    /// Waiting and running requests by identifier: their number, and whether they are cancelled.
    requests: BTreeMap<String, (usize, bool)>,
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
            highest_epoch: Epoch(0),
            highest_epoch_ever: Epoch(0),
            grant: None,
            clock_start: Instant::now(),
            started: Instant::now(),
            cold_requests_left: 0,
            requests: BTreeMap::new(),
            history: History::default(),
        };
        state.start_cold();
        state
    }

    /// Marks the target as crashed, which stops its server. Counts a crash only if it runs.
    pub(crate) fn crash(&mut self) {
        self.counts.crashes += u64::from(!self.crashed);
        self.crashed = true;
    }

    /// Resets the state that a process loses in a restart.
    pub(crate) fn start_cold(&mut self) {
        self.crashed = false;
        self.grant = None;
        self.clock_start = Instant::now();
        self.become_cold();
        if !self.settings.persists_epoch {
            self.highest_epoch = Epoch(0);
        }
    }

    pub(crate) fn become_cold(&mut self) {
        self.start_id = rand::random();
        self.started = Instant::now();
        self.cold_requests_left = self.settings.cold_requests;
        self.record_load();
    }

    /// Returns the service time of a run that starts now.
    pub(crate) fn service_time(&mut self) -> Span {
        let warming = self.started.elapsed() < self.settings.cold_span.as_duration();
        if self.cold_requests_left == 0 && !warming {
            return self.settings.service_time;
        }
        self.cold_requests_left = self.cold_requests_left.saturating_sub(1);
        self.settings.cold_service_time
    }

    /// Records a received epoch. Returns true if a higher one was received before.
    pub(crate) fn receive_epoch(&mut self, epoch: Epoch) -> bool {
        self.highest_epoch = self.highest_epoch.max(epoch);
        self.highest_epoch_ever = self.highest_epoch_ever.max(epoch);
        epoch < self.highest_epoch_ever
    }

    pub(crate) fn is_stale(&self, epoch: Option<Epoch>) -> bool {
        epoch.is_some_and(|epoch| epoch < self.highest_epoch_ever)
    }

    /// Converts a reading of the load reports' clock to a moment, which is at most now.
    pub(crate) fn instant_of(&self, clock_ms: u64) -> Instant {
        let moment = self.clock_start + Duration::from_millis(clock_ms);
        moment.min(Instant::now())
    }

    pub(crate) fn grant(&mut self, epoch: Epoch, end: Instant) {
        self.counts.grants += 1;
        self.grant = Some((epoch, end));
    }

    /// Returns why a request may not run now: because of cancellation, its deadline, its epoch or a
    /// missing grant.
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
        if epoch < self.highest_epoch {
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
            self.requests.entry(request.clone()).or_default().0 += 1;
        }
        self.record_load();
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
        self.record_load();
    }

    pub(crate) fn leave(&mut self, call: &Call, running: bool) {
        match running {
            true => self.counts.running -= 1,
            false => self.counts.waiting -= 1,
        }
        if let Some(request) = &call.request
            && let Some(active) = self.requests.get_mut(request)
        {
            active.0 -= 1;
            if active.0 == 0 {
                self.requests.remove(request);
            }
        }
        self.record_load();
    }

    pub(crate) fn cancel(&mut self, request: &str) -> bool {
        let active = self.requests.get_mut(request);
        let found = active.map(|active| active.1 = true).is_some();
        self.counts.cancelled += u64::from(found);
        found
    }

    pub(crate) fn is_cancelled(&self, call: &Call) -> bool {
        let request = call.request.as_ref();
        request.is_some_and(|request| self.requests.get(request).is_some_and(|p| p.1))
    }

    fn load(&self) -> Load {
        Load {
            running: self.counts.running as u32,
            waiting: self.counts.waiting as u32,
            start_id: self.start_id,
            clock_ms: self.clock_start.elapsed().as_millis() as u64,
        }
    }

    fn record_load(&mut self) {
        self.history.record(Instant::now(), self.load());
    }

    pub(crate) fn report(&self, now: Instant) -> Load {
        let load = match self.settings.report_mode {
            ReportMode::Exact => self.load(),
            ReportMode::Fixed(load) => load,
            ReportMode::Lagging(lag) => self.history.at(now, lag).unwrap_or(self.load()),
        };
        // The run and its clock are current in every mode: grants name them.
        let Load {
            start_id, clock_ms, ..
        } = self.load();
        Load {
            start_id,
            clock_ms,
            ..load
        }
    }
}
