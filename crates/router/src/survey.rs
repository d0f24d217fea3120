//! Order and rate of the surveys of targets that a host can't reach.
//!
//! A survey asks other hosts about one target. When many targets end at once, surveys wait for each
//! other, so that their number does not grow with the targets.

use std::collections::BTreeMap;

use ragwortrill_core::{
    name,
    time::{Instant, Span},
};

use crate::registration::Incarnation;

/// Surveys under way at a time.
pub const MAX_UNDER_WAY: usize = 8;
/// Interval between the starts of two surveys, unless few were started before.
pub const START_INTERVAL: Span = Span::from_millis(50);
/// The same interval after a survey that found a lost link. A leader withdraws when it knows that most
/// of its links are lost; until then it can't renew their targets' grants.
pub const LOST_INTERVAL: Span = Span::from_millis(10);
/// Surveys that may start at once after a time without surveys.
pub const BURST: usize = 8;
/// Minimum time between two surveys of a target.
pub const REPEAT_INTERVAL: Span = Span::from_millis(1_000);
/// Time for which a target is not used after a connection to it failed, while it waits for its survey.
pub const UNREACHED_TIME: Span = Span::from_millis(1_000);
/// Time after which a survey that waits is dropped if nothing failed at its target meanwhile. A request
/// that waits for an answer doubts its target once a second.
pub const MAX_UNUSED_TIME: Span = Span::from_millis(1_500);
/// Time for which targets that were surveyed come after those that were not.
const MEMORY: Span = Span::from_secs(10);

/// Why a target is doubted.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Cause {
    /// It sent nothing for some time.
    Silence,
    /// A connection to it broke.
    Break,
    /// A connection to it could not be opened.
    Connect,
}

/// A target that is doubted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Doubt {
    /// Service of the target.
    pub service: name::Service,
    /// The target.
    pub target: Incarnation,
    /// Why it is doubted.
    pub cause: Cause,
}

/// What is done about a doubt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The survey starts now.
    Started,
    /// The survey waits for others.
    Waits,
    /// The target was surveyed recently.
    Recent,
}

/// Surveys that wait, and what is known of earlier ones.
#[derive(Clone, Debug, Default)]
pub struct Schedule {
    waiting: BTreeMap<Incarnation, Entry>,
    under_way: usize,
    /// When the next survey may start, if those before it had been started at [`START_INTERVAL`].
    next: Instant,
    /// When targets were last surveyed.
    targets: BTreeMap<Incarnation, Instant>,
    /// When a target of a service was last surveyed.
    services: BTreeMap<name::Service, Instant>,
}

/// A survey that waits.
#[derive(Clone, Debug)]
struct Entry {
    doubt: Doubt,
    /// When it was first requested.
    since: Instant,
    /// When it was last requested.
    renewed_at: Instant,
    /// Whether a connection with a request broke, which may have crashed the target.
    has_broken: bool,
    /// When a connection to the target failed last.
    unreached_at: Option<Instant>,
}

impl Schedule {
    /// Requests a survey. One that starts has to be ended by [`Self::finish`].
    pub fn request(&mut self, now: Instant, doubt: Doubt) -> Admission {
        let surveyed_at = self.targets.get(&doubt.target);
        if surveyed_at.is_some_and(|at| now.since(*at) < REPEAT_INTERVAL) {
            return Admission::Recent;
        }
        if self.waiting.is_empty() && self.has_place() && self.ready_from() <= now {
            self.record_start(now, &doubt);
            return Admission::Started;
        }
        let unreached_at = (doubt.cause == Cause::Connect).then_some(now);
        let target = doubt.target.clone();
        let entry = self.waiting.entry(target).or_insert(Entry {
            doubt: doubt.clone(),
            since: now,
            renewed_at: now,
            has_broken: false,
            unreached_at,
        });
        entry.renewed_at = now;
        entry.has_broken |= doubt.cause == Cause::Break;
        entry.unreached_at = unreached_at.or(entry.unreached_at);
        entry.doubt.cause = entry.doubt.cause.max(doubt.cause);
        Admission::Waits
    }

    /// Starts the next survey that waits, if one may start. Drops those that nobody needs any more.
    ///
    /// Targets that were not surveyed yet come first, and among them those of the service whose last
    /// survey is oldest: two lost links can stand for a whole service. In a service, targets that may
    /// have been crashed by a request come first.
    pub fn start(&mut self, now: Instant, is_open: impl Fn(&Doubt) -> bool) -> Option<Doubt> {
        if !self.has_place() || self.ready_from() > now {
            return None;
        }
        self.targets.retain(|_, at| now.since(*at) < MEMORY);
        self.waiting.retain(|_, entry| {
            now.since(entry.renewed_at) < MAX_UNUSED_TIME && is_open(&entry.doubt)
        });
        let rank = |entry: &&Entry| {
            let target = self.targets.get(&entry.doubt.target);
            let service = self.services.get(&entry.doubt.service);
            (target, service, !entry.has_broken, entry.since)
        };
        let next = self.waiting.values().min_by_key(rank)?.doubt.clone();
        self.waiting.remove(&next.target);
        self.record_start(now, &next);
        Some(next)
    }

    /// Returns when the next survey that waits may start; none before another one ends or is
    /// requested.
    pub fn ready_at(&self) -> Option<Instant> {
        (!self.waiting.is_empty() && self.has_place()).then(|| self.ready_from())
    }

    /// Records that a survey has found a lost link, so that the next one may start earlier.
    pub fn record_lost(&mut self) {
        self.next = self.next - Span(START_INTERVAL.0 - LOST_INTERVAL.0);
    }

    /// Records that a survey has ended.
    pub fn finish(&mut self) {
        self.under_way = self.under_way.saturating_sub(1);
    }

    /// Tells whether a target waits for its first survey, so that nothing is known about its link.
    pub fn is_undecided(&self, target: &Incarnation) -> bool {
        self.waiting.contains_key(target) && !self.targets.contains_key(target)
    }

    /// Tells whether a target waits for its survey after a connection to it failed a short time ago,
    /// so that it is not to be used.
    pub fn is_unreached(&self, now: Instant, target: &Incarnation) -> bool {
        let entry = self.waiting.get(target);
        let unreached_at = entry.and_then(|entry| entry.unreached_at);
        unreached_at.is_some_and(|at| now.since(at) < UNREACHED_TIME)
    }

    /// Returns how many surveys wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn has_place(&self) -> bool {
        self.under_way < MAX_UNDER_WAY
    }

    fn ready_from(&self) -> Instant {
        self.next - START_INTERVAL.scale(BURST as u64 - 1, 1)
    }

    fn record_start(&mut self, now: Instant, doubt: &Doubt) {
        self.under_way += 1;
        self.next = self.next.max(now) + START_INTERVAL;
        self.targets.insert(doubt.target.clone(), now);
        self.services.insert(doubt.service.clone(), now);
    }
}
