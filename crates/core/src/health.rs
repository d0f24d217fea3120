//! State of one target as its holder observes it: latency, cold start, lasting slowness, loss.

use serde::{Deserialize, Serialize};

use crate::{
    hint::{Hint, LoadReport},
    latency::Histogram,
    ramp::Ramp,
    time::{Instant, Span},
};

/// Time after which the weight of a latency sample is halved.
const LATENCY_HALF_LIFE: Span = Span::from_secs(1);
/// Minimum number of samples for a median. With fewer, it is too uncertain to judge by.
const MIN_SAMPLES: u32 = 8;
/// Minimum capacity that is assumed for a slow target, in per cent of a warm one.
const MIN_CAPACITY_PERCENT: u32 = 10;

/// Limits and thresholds that decide a target's state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Maximum number of requests that run on the target at the same time.
    pub slots: u32,
    /// Minimum time that a cold target takes to become warm.
    pub slow_start: Span,
    /// Time without an answer after which the target counts as lost.
    pub loss_timeout: Span,
    /// Time for which the latency must stay high before a target becomes slow, and low before it
    /// becomes warm again.
    pub change_delay: Span,
    /// Median latency at or above which a target becomes slow, in per cent of the reference.
    pub slow_percent: u64,
    /// Median latency below which a slow target becomes warm again, in per cent of the reference.
    pub recovery_percent: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            slots: 6,
            slow_start: Span::from_secs(20),
            loss_timeout: Span::from_secs(1),
            change_delay: Span::from_secs(10),
            slow_percent: 200,
            recovery_percent: 150,
        }
    }
}

/// State of a target as its holder observes it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum State {
    /// The target started recently, and its limit grows.
    Cold,
    /// The target takes requests up to its slots.
    Warm,
    /// The target has been slower than the reference for some time.
    Slow,
    /// The target accepts connections but answers nothing.
    Frozen,
    /// The target can't be reached.
    Lost,
}

/// An event that the holder observed at the target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Observation {
    /// A request was answered with this latency.
    Answered(Span),
    /// The target refused a request because of its load.
    Shed,
    /// A connection broke while a request was running.
    Broken,
    /// A probe was answered with this start identifier, which changes when the target restarts.
    Probed(u64),
    /// A probe got no answer in time.
    Silent,
    /// A connection could not be opened.
    Unreachable,
}

/// Observed health of one target.
#[derive(Clone, Debug)]
pub struct Health {
    settings: Settings,
    state: State,
    ramp: Ramp,
    hint: Hint,
    latency: Histogram,
    reference: Option<Span>,
    start_id: Option<u64>,
    last_contact: Instant,
    failing: Option<(Instant, State)>,
    change_pending_since: Option<Instant>,
    unreachable: bool,
}

/// Returns the median of the target medians, the reference by which each target is judged.
pub fn reference(medians: impl IntoIterator<Item = Span>) -> Option<Span> {
    let mut medians: Vec<Span> = medians.into_iter().collect();
    medians.sort_unstable();
    medians.get(medians.len() / 2).copied()
}

impl Health {
    /// Creates the health of a target that has not been observed, which counts as cold.
    pub fn new(now: Instant, settings: Settings) -> Self {
        Self {
            state: State::Cold,
            ramp: Ramp::new(now, settings.slots, settings.slow_start),
            hint: Hint::default(),
            latency: Histogram::default(),
            reference: None,
            start_id: None,
            last_contact: now,
            failing: None,
            change_pending_since: None,
            unreachable: false,
            settings,
        }
    }

    /// Applies changed limits.
    pub fn configure(&mut self, slots: u32, slow_start: Span) {
        self.settings.slots = slots;
        self.settings.slow_start = slow_start;
        self.ramp.configure(slots, slow_start);
    }

    /// Marks the target as warm, since the previous holder reported this run of it as warm.
    pub fn assume_warm(&mut self) {
        self.state = State::Warm;
        self.ramp.complete();
    }

    /// Records an observation.
    pub fn observe(&mut self, now: Instant, observation: Observation) {
        match observation {
            Observation::Answered(latency) => {
                self.latency.decay(now, LATENCY_HALF_LIFE);
                self.latency.record(latency);
                self.ramp.record_answer(now);
                self.record_contact(now);
            }
            Observation::Probed(start_id) => self.check_start_id(now, start_id),
            Observation::Shed => {
                self.ramp.record_shed(now);
                self.record_contact(now);
                self.state = State::Cold;
            }
            Observation::Broken => {
                self.ramp.set_capped(true);
                self.record_failure(now, State::Lost);
            }
            Observation::Silent => self.record_failure(now, State::Frozen),
            Observation::Unreachable => {
                self.unreachable = true;
                self.record_failure(now, State::Lost);
            }
        }
    }

    /// Records a load report of the target.
    pub fn record_report(&mut self, now: Instant, report: &LoadReport) {
        self.check_start_id(now, report.start_id);
        let percent = self.latency_percent();
        self.hint.record(now, report, percent);
    }

    /// Updates and returns the state. `reference` is the median latency of the service's targets.
    pub fn check(&mut self, now: Instant, reference: Option<Span>) -> State {
        self.latency.decay(now, LATENCY_HALF_LIFE);
        self.reference = reference;
        if let Some((first, state)) = self.failing
            && now.since(self.last_contact) >= self.settings.loss_timeout
            && now.since(first).0 >= self.settings.loss_timeout.0 / 2
        {
            self.state = state;
            return state;
        }
        match self.state {
            State::Cold if self.ramp.is_complete() => self.state = State::Warm,
            State::Warm => {
                let limit = self.settings.slow_percent;
                self.change_after_delay(now, State::Slow, |percent| percent >= limit);
            }
            State::Slow => {
                let limit = self.settings.recovery_percent;
                self.change_after_delay(now, State::Warm, |percent| percent < limit);
            }
            _ => {}
        }
        self.state
    }

    /// Returns the state found by the last check.
    pub fn state(&self) -> State {
        self.state
    }

    /// Returns whether the last probe or connection failed.
    pub fn is_failing(&self) -> bool {
        self.failing.is_some()
    }

    /// Returns how many requests may run on the target. Zero for an unreachable target until it
    /// answers a probe or a request, or reports its load.
    pub fn limit(&self, now: Instant) -> u32 {
        let lost = matches!(self.state, State::Frozen | State::Lost);
        match lost || self.unreachable {
            true => 0,
            false => self.ramp.limit(now),
        }
    }

    /// Returns the median latency, or `None` with too few samples.
    pub fn median(&self) -> Option<Span> {
        let enough = self.latency.count() >= MIN_SAMPLES;
        self.latency.quantile(500).filter(|_| enough)
    }

    /// Returns the histogram of recent latencies.
    pub fn latency(&self) -> &Histogram {
        &self.latency
    }

    /// Returns the load reports and the trust in them.
    pub fn hint(&self) -> &Hint {
        &self.hint
    }

    /// Returns the target's capacity, in per cent of a warm target.
    pub fn capacity_percent(&self, now: Instant) -> u32 {
        match self.state {
            State::Warm => 100,
            State::Cold => (self.limit(now) * 100 / self.settings.slots.max(1)).max(1),
            State::Slow => {
                let percent = self.latency_percent().unwrap_or(100).max(100);
                ((10_000 / percent) as u32).max(MIN_CAPACITY_PERCENT)
            }
            State::Frozen | State::Lost => 0,
        }
    }

    fn latency_percent(&self) -> Option<u64> {
        let reference = self.reference.filter(|r| *r > Span::ZERO)?;
        Some(self.median()?.0 * 100 / reference.0)
    }

    /// Changes the state once the latency has matched `predicate` throughout the change delay.
    fn change_after_delay(&mut self, now: Instant, state: State, predicate: impl Fn(u64) -> bool) {
        if !self.latency_percent().is_some_and(predicate) {
            self.change_pending_since = None;
            return;
        }
        let since = *self.change_pending_since.get_or_insert(now);
        if now.since(since) >= self.settings.change_delay {
            self.state = state;
            self.change_pending_since = None;
        }
    }

    fn check_start_id(&mut self, now: Instant, start_id: u64) {
        let restarted = self.start_id.is_some_and(|known| known != start_id);
        self.start_id = Some(start_id);
        if restarted {
            self.reset_to_cold(now);
        }
        self.ramp.set_capped(false);
        self.record_contact(now);
    }

    fn record_contact(&mut self, now: Instant) {
        self.last_contact = now;
        self.failing = None;
        self.unreachable = false;
        if matches!(self.state, State::Frozen | State::Lost) {
            self.reset_to_cold(now);
        }
    }

    fn reset_to_cold(&mut self, now: Instant) {
        self.ramp.restart(now);
        self.latency = Histogram::default();
        self.state = State::Cold;
        self.change_pending_since = None;
    }

    fn record_failure(&mut self, now: Instant, state: State) {
        let first = self.failing.map_or(now, |(first, _)| first);
        self.failing = Some((first, state));
    }
}
