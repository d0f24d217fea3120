//! Model of a target in virtual time: slots, cold starts, slowdowns, load reports and crashes.

use std::collections::{BTreeMap, VecDeque};

use ragwortrill_core::{
    hint::LoadReport,
    request::Id,
    time::{Instant, Span},
};

/// Additional service time of a completely cold target; it falls to 0 as the target warms up.
const MAX_COLD_EXTRA_PERCENT: u64 = 100;
/// Service time of requests above the cold ramp, relative to those within it.
const OVER_RAMP_PERCENT: u64 = 400;

/// Reaction of a target to a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reply {
    /// The request runs and ends at this moment.
    Runs(Instant),
    /// The request waits in the target, because all slots are occupied.
    Waits,
    /// The request was refused because the target is cold; it did not run.
    Shed,
    /// The connection was refused; the request did not run.
    Unreachable,
}

/// How a target reports its load.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ReportMode {
    /// The load as it was [`Settings::lag`] ago.
    #[default]
    Lagging,
    /// This load in per cent, whatever the real one is.
    Constant(u32),
}

/// Counts of events at a target. Reports require zero for most of them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Requests that arrived while all slots were occupied, including those above the connections.
    pub slot_breaches: u64,
    /// Requests that started above the cold ramp's limit.
    pub ramp_breaches: u64,
    /// Requests that the cold target refused.
    pub shed: u64,
    /// Requests that started to run.
    pub started: u64,
    /// Crashes.
    pub crashes: u64,
}

/// Limits and behaviour of a target.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Maximum number of requests that run at the same time.
    pub slots: u32,
    /// Maximum number of open connections.
    pub connections: u32,
    /// Time in which a cold target becomes warm.
    pub warm_up: Span,
    /// Age of the load in a report.
    pub lag: Span,
}

/// A target of a simulation.
#[derive(Clone, Debug)]
pub struct VirtualTarget {
    settings: Settings,
    /// How the target reports its load.
    pub report_mode: ReportMode,
    /// Counts since the creation.
    pub counts: Counts,
    start_id: u64,
    cold_since: Option<Instant>,
    sheds: bool,
    down_until: Instant,
    frozen_until: Instant,
    slowdown: (Instant, u64),
    running: BTreeMap<Id, Instant>,
    backlog: VecDeque<(Id, Span)>,
    loads: VecDeque<(Instant, u32)>,
}

impl VirtualTarget {
    /// Creates a warm, idle target.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            report_mode: ReportMode::default(),
            counts: Counts::default(),
            start_id: 1,
            cold_since: None,
            sheds: false,
            down_until: Instant::default(),
            frozen_until: Instant::default(),
            slowdown: (Instant::default(), 100),
            running: BTreeMap::new(),
            backlog: VecDeque::new(),
            loads: VecDeque::new(),
        }
    }

    /// Offers a request whose service time on a warm target is `work`.
    pub fn offer(&mut self, now: Instant, id: Id, work: Span) -> Reply {
        if now < self.down_until {
            return Reply::Unreachable;
        }
        let connected = self.running.len() + self.backlog.len();
        if self.running.len() >= self.settings.slots as usize {
            self.counts.slot_breaches += 1;
            if connected >= self.settings.connections as usize {
                return Reply::Unreachable;
            }
            self.backlog.push_back((id, work));
            return Reply::Waits;
        }
        if self.sheds && self.running.len() >= self.ramp(now) as usize {
            self.counts.shed += 1;
            return Reply::Shed;
        }
        Reply::Runs(self.run(now, id, work))
    }

    /// Frees the slot of a request. Returns false if the request does not run here.
    pub fn finish(&mut self, id: Id) -> bool {
        self.running.remove(&id).is_some()
    }

    /// Starts the next waiting request, if a slot is free.
    pub fn next(&mut self, now: Instant) -> Option<(Id, Instant)> {
        if self.running.len() >= self.settings.slots as usize {
            return None;
        }
        let (id, work) = self.backlog.pop_front()?;
        Some((id, self.run(now, id, work)))
    }

    /// Aborts all work and returns its requests. The target is down for `down`, then cold, with
    /// another start id.
    pub fn restart(&mut self, now: Instant, down: Span) -> Vec<Id> {
        self.start_id += 1;
        self.down_until = now + down;
        self.cold_since = Some(now + down);
        self.sheds = false;
        self.frozen_until = Instant::default();
        let waiting = std::mem::take(&mut self.backlog);
        let running = std::mem::take(&mut self.running);
        let waiting = waiting.into_iter().map(|(id, _)| id);
        running.into_keys().chain(waiting).collect()
    }

    /// Makes the target cold with the same start id; until a restart it refuses requests above the
    /// cold ramp.
    pub fn make_cold(&mut self, now: Instant) {
        self.cold_since = Some(now);
        self.sheds = true;
    }

    /// Suspends the target until a moment.
    pub fn freeze(&mut self, until: Instant) {
        self.frozen_until = until;
    }

    /// Scales the service time to `percent` until a moment.
    pub fn slow_down(&mut self, until: Instant, percent: u64) {
        self.slowdown = (until, percent);
    }

    /// Returns the moment at which the target resumes, if it is frozen.
    pub fn frozen_until(&self, now: Instant) -> Option<Instant> {
        Some(self.frozen_until).filter(|until| now < *until)
    }

    /// Returns whether the target answers: it is neither down nor frozen.
    pub fn is_up(&self, now: Instant) -> bool {
        now >= self.down_until && self.frozen_until(now).is_none()
    }

    /// Returns whether the target refuses connections.
    pub fn is_down(&self, now: Instant) -> bool {
        now < self.down_until
    }

    /// Answers a probe with the start id, if the target is up.
    pub fn probe(&self, now: Instant) -> Option<u64> {
        self.is_up(now).then_some(self.start_id)
    }

    /// Records the current load for later reports.
    pub fn record_load(&mut self, now: Instant) {
        let busy = (self.running.len() + self.backlog.len()) as u32;
        let percent = (busy * 100 / self.settings.slots).min(100);
        self.loads.push_back((now, percent));
        while let Some((_, second)) = self.loads.get(1).map(|second| (0, second.0))
            && second + self.settings.lag <= now
        {
            self.loads.pop_front();
        }
    }

    /// Returns the load report, if the target is up.
    pub fn report(&self, now: Instant) -> Option<LoadReport> {
        let start_id = self.probe(now)?;
        let load_percent = match self.report_mode {
            ReportMode::Lagging => self.loads.front()?.1,
            ReportMode::Constant(percent) => percent,
        };
        Some(LoadReport {
            load_percent,
            start_id,
        })
    }

    /// Returns the number of requests that the target can run at its current warmth.
    pub fn ramp(&self, now: Instant) -> u32 {
        let slots = self.settings.slots;
        let Some(since) = self.cold_since else {
            return slots;
        };
        let elapsed = now.since(since).0.min(self.settings.warm_up.0);
        1 + (u64::from(slots - 1) * elapsed / self.settings.warm_up.0.max(1)) as u32
    }

    /// Returns the running requests with their ends.
    pub fn running(&self) -> &BTreeMap<Id, Instant> {
        &self.running
    }

    fn run(&mut self, now: Instant, id: Id, work: Span) -> Instant {
        let mut percent = 100;
        let ramp = self.ramp(now);
        if ramp < self.settings.slots {
            let cold = u64::from(self.settings.slots - ramp);
            percent += MAX_COLD_EXTRA_PERCENT * cold / u64::from(self.settings.slots);
        }
        if self.running.len() >= ramp as usize {
            self.counts.ramp_breaches += 1;
            percent = percent * OVER_RAMP_PERCENT / 100;
        }
        if now < self.slowdown.0 {
            percent = percent * self.slowdown.1 / 100;
        }
        let begin = self.frozen_until(now).unwrap_or(now);
        let end = begin + work.scale(percent, 100);
        self.counts.started += 1;
        self.running.insert(id, end);
        end
    }
}
