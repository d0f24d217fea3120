//! A target in virtual time: slots, cold start, slowness, reports, crashes.

use std::collections::{BTreeMap, VecDeque};

use ragwortrill_core::{
    hint::LoadReport,
    request::Id,
    time::{Instant, Span},
};

/// Cold targets take up to this many per cent longer, less as they warm up.
const COLD_PERCENT: u64 = 100;
/// Work above the cold ramp takes this many per cent of its time.
const THRASH_PERCENT: u64 = 400;

/// What a target does with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reply {
    /// It runs and ends at this moment.
    Runs(Instant),
    /// It waits in the target, because all slots are taken.
    Waits,
    /// It was refused because the target is cold; it did not run.
    Shed,
    /// The connection was refused; it did not run.
    Unreachable,
}

/// How a target reports its load.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Honesty {
    /// The load as it was some time ago.
    #[default]
    Lagging,
    /// Always this load, in per cent.
    Constant(u32),
}

/// Counts of what happened at a target, for the cells that must be zero.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Witness {
    /// Requests that arrived while all slots were taken, or above the connections.
    pub slot_breaches: u64,
    /// Requests that ran above the limit of the cold ramp.
    pub ramp_breaches: u64,
    /// Requests that the target shed.
    pub shed: u64,
    /// Requests that ran.
    pub started: u64,
    /// Crashes.
    pub crashes: u64,
}

/// Limits and behaviour of a target.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Requests that run at the same time.
    pub slots: u32,
    /// Connections that the target accepts.
    pub connections: u32,
    /// Time in which a cold target becomes warm.
    pub warm_up: Span,
    /// Age of the load that a report shows.
    pub lag: Span,
}

/// One target.
#[derive(Clone, Debug)]
pub struct VirtualTarget {
    settings: Settings,
    /// How the target reports its load.
    pub honesty: Honesty,
    /// What happened so far.
    pub witness: Witness,
    start: u64,
    cold_since: Option<Instant>,
    sheds: bool,
    down_until: Instant,
    frozen_until: Instant,
    slow: (Instant, u64),
    running: BTreeMap<Id, Instant>,
    backlog: VecDeque<(Id, Span)>,
    loads: VecDeque<(Instant, u32)>,
}

impl VirtualTarget {
    /// Creates a warm, idle target.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            honesty: Honesty::default(),
            witness: Witness::default(),
            start: 1,
            cold_since: None,
            sheds: false,
            down_until: Instant::default(),
            frozen_until: Instant::default(),
            slow: (Instant::default(), 100),
            running: BTreeMap::new(),
            backlog: VecDeque::new(),
            loads: VecDeque::new(),
        }
    }

    /// Takes a request that needs `work` on a warm target.
    pub fn offer(&mut self, now: Instant, id: Id, work: Span) -> Reply {
        if now < self.down_until {
            return Reply::Unreachable;
        }
        let connected = self.running.len() + self.backlog.len();
        if self.running.len() >= self.settings.slots as usize {
            self.witness.slot_breaches += 1;
            if connected >= self.settings.connections as usize {
                return Reply::Unreachable;
            }
            self.backlog.push_back((id, work));
            return Reply::Waits;
        }
        if self.sheds && self.running.len() >= self.ramp(now) as usize {
            self.witness.shed += 1;
            return Reply::Shed;
        }
        Reply::Runs(self.run(now, id, work))
    }

    /// Ends a request. Returns false if it no longer runs here.
    pub fn finish(&mut self, id: Id) -> bool {
        self.running.remove(&id).is_some()
    }

    /// Starts the next request that waits in the target, if a slot is free.
    pub fn next(&mut self, now: Instant) -> Option<(Id, Instant)> {
        if self.running.len() >= self.settings.slots as usize {
            return None;
        }
        let (id, work) = self.backlog.pop_front()?;
        Some((id, self.run(now, id, work)))
    }

    /// Stops all work. The target is down for a time, then cold, with another start mark.
    pub fn restart(&mut self, now: Instant, down: Span) -> Vec<Id> {
        self.start += 1;
        self.down_until = now + down;
        self.cold_since = Some(now + down);
        self.sheds = false;
        self.frozen_until = Instant::default();
        let waiting = std::mem::take(&mut self.backlog);
        let running = std::mem::take(&mut self.running);
        let waiting = waiting.into_iter().map(|(id, _)| id);
        running.into_keys().chain(waiting).collect()
    }

    /// Makes the target cold without another start mark; it sheds what it can't bear.
    pub fn chill(&mut self, now: Instant) {
        self.cold_since = Some(now);
        self.sheds = true;
    }

    /// Stops all progress until a moment.
    pub fn freeze(&mut self, until: Instant) {
        self.frozen_until = until;
    }

    /// Makes the target slower until a moment; work takes `percent` of its time.
    pub fn slow_down(&mut self, until: Instant, percent: u64) {
        self.slow = (until, percent);
    }

    /// Returns the moment at which a frozen target goes on, if it is frozen.
    pub fn frozen(&self, now: Instant) -> Option<Instant> {
        Some(self.frozen_until).filter(|until| now < *until)
    }

    /// Tells whether the target can serve requests.
    pub fn is_up(&self, now: Instant) -> bool {
        now >= self.down_until && self.frozen(now).is_none()
    }

    /// Tells whether connections are refused.
    pub fn is_down(&self, now: Instant) -> bool {
        now < self.down_until
    }

    /// Answers a probe with the start mark.
    pub fn probe(&self, now: Instant) -> Option<u64> {
        self.is_up(now).then_some(self.start)
    }

    /// Notes the present load, for later reports.
    pub fn sample(&mut self, now: Instant) {
        let busy = (self.running.len() + self.backlog.len()) as u32;
        let percent = (busy * 100 / self.settings.slots).min(100);
        self.loads.push_back((now, percent));
        while let Some((_, second)) = self.loads.get(1).map(|second| (0, second.0))
            && second + self.settings.lag <= now
        {
            self.loads.pop_front();
        }
    }

    /// Reports the load, as it was some time ago or wrongly.
    pub fn report(&self, now: Instant) -> Option<LoadReport> {
        let start = self.probe(now)?;
        let load_percent = match self.honesty {
            Honesty::Lagging => self.loads.front()?.1,
            Honesty::Constant(percent) => percent,
        };
        Some(LoadReport {
            load_percent,
            start_id: start,
        })
    }

    /// Returns how many requests a cold target bears.
    pub fn ramp(&self, now: Instant) -> u32 {
        let slots = self.settings.slots;
        let Some(since) = self.cold_since else {
            return slots;
        };
        let elapsed = now.since(since).0.min(self.settings.warm_up.0);
        1 + (u64::from(slots - 1) * elapsed / self.settings.warm_up.0.max(1)) as u32
    }

    /// Returns the requests that run.
    pub fn running(&self) -> &BTreeMap<Id, Instant> {
        &self.running
    }

    fn run(&mut self, now: Instant, id: Id, work: Span) -> Instant {
        let mut percent = 100;
        let ramp = self.ramp(now);
        if ramp < self.settings.slots {
            let cold = u64::from(self.settings.slots - ramp);
            percent += COLD_PERCENT * cold / u64::from(self.settings.slots);
        }
        if self.running.len() >= ramp as usize {
            self.witness.ramp_breaches += 1;
            percent = percent * THRASH_PERCENT / 100;
        }
        if now < self.slow.0 {
            percent = percent * self.slow.1 / 100;
        }
        let begin = self.frozen(now).unwrap_or(now);
        let end = begin + work.scale(percent, 100);
        self.witness.started += 1;
        self.running.insert(id, end);
        end
    }
}
