//! Plans which slices and hot keys move between a service's targets.

use std::collections::BTreeMap;

use crate::{
    key::Digest,
    ledger::Assignment,
    limiter::Limiter,
    name,
    record::Share,
    table,
    tally::Tally,
    time::{Instant, Span},
};

/// Limits of a service's moves.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Load per weight from which a target gives slices away, in per cent of the mean.
    pub trigger_percent: u64,
    /// Load per weight down to which it gives them away, in per cent of the mean.
    pub goal_percent: u64,
    /// Time for which the bound must be exceeded before slices move.
    pub trigger_delay: Span,
    /// Time for which a moved slice stays, unless its target leaves.
    pub min_stay: Span,
    /// Least improvement that justifies a move, in per mille of the mean.
    pub min_gain_per_mille: u64,
    /// Load that a receiver may get in ten seconds, in per cent of the mean.
    pub max_received_percent: u64,
    /// Time in which a leaving target is emptied.
    pub drain_time: Span,
    /// Most moves in a minute, except from targets that leave or are lost.
    pub moves_per_minute: u32,
    /// Load from which a key is placed apart, in per cent of the mean of a target.
    pub hot_key_percent: u64,
}

/// What a target may give and take.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Availability {
    /// It gives and takes.
    Accepting,
    /// It keeps what it has or gives some away, and takes nothing.
    Closed,
    /// Operators want it empty.
    Draining,
    /// It answers nothing, and its last grant has expired.
    Lost,
}

/// A target as the plan sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Target {
    /// What it bears relative to the others: its weight in the table times its capacity.
    pub weight: u32,
    /// What it may give and take.
    pub availability: Availability,
}

/// State of one service.
#[derive(Clone, Debug)]
pub struct View<'a> {
    /// Current owners.
    pub assignment: &'a Assignment,
    /// The service's targets.
    pub targets: &'a BTreeMap<name::Target, Target>,
    /// Load of each slice, without keys that are placed apart.
    pub slices: &'a [u64],
    /// Load of keys that are hot or placed apart.
    pub keys: &'a BTreeMap<Digest, u64>,
}

/// A planned move.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Move {
    /// What moves.
    pub share: Share,
    /// Its owner.
    pub from: name::Target,
    /// Its new owner.
    pub to: name::Target,
}

/// Planner of one service's moves.
#[derive(Clone, Debug)]
pub struct Planner {
    pub(crate) settings: Settings,
    pub(crate) limiter: Limiter,
    pub(crate) last_moved: BTreeMap<Share, Instant>,
    draining: BTreeMap<name::Target, (Instant, usize)>,
    pub(crate) exceeded_since: Option<Instant>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            trigger_percent: 125,
            goal_percent: 120,
            trigger_delay: Span::from_secs(2),
            min_stay: Span::from_secs(60),
            min_gain_per_mille: 10,
            max_received_percent: 25,
            drain_time: Span::from_secs(3),
            moves_per_minute: 60,
            hot_key_percent: 10,
        }
    }
}

impl From<&table::Service> for Settings {
    fn from(row: &table::Service) -> Self {
        Self {
            moves_per_minute: row.moves_per_minute,
            hot_key_percent: u64::from(row.hot_key_percent),
            ..Self::default()
        }
    }
}

impl Planner {
    /// Creates a planner that has moved nothing yet.
    pub fn new(settings: Settings) -> Self {
        Self {
            limiter: Limiter::new(settings.moves_per_minute),
            last_moved: BTreeMap::new(),
            draining: BTreeMap::new(),
            exceeded_since: None,
            settings,
        }
    }

    /// Notes a move that the log shows, planned by whichever holder.
    pub fn record_move(&mut self, now: Instant, share: Share) {
        self.last_moved.insert(share, now);
    }

    /// Returns the moves to make now. The caller makes those whose source it holds.
    pub fn next_moves(&mut self, now: Instant, view: &View) -> Vec<Move> {
        self.limiter.refill(now);
        let min_stay = self.settings.min_stay;
        self.last_moved.retain(|_, at| now.since(*at) < min_stay);
        let mut tally = Tally::new(view);
        let mut moves = Vec::new();
        self.drain_targets(now, view, &mut tally, &mut moves);
        self.merge_keys(now, view, &mut tally, &mut moves);
        self.rebalance(now, view, &mut tally, &mut moves);
        moves
    }

    /// Empties targets that are gone, at once, and those that leave, evenly over the drain time.
    fn drain_targets<'a>(
        &mut self,
        now: Instant,
        view: &'a View,
        tally: &mut Tally<'a>,
        moves: &mut Vec<Move>,
    ) {
        self.draining.retain(|name, _| {
            let target = view.targets.get(name);
            target.is_some_and(|t| t.availability == Availability::Draining)
        });
        for (from, target) in view.targets {
            let count = match target.availability {
                Availability::Lost => usize::MAX,
                Availability::Draining => self.due_shares(now, view, from),
                _ => continue,
            };
            let mut owned = view.owned(from);
            owned.sort_by_key(|(share, load)| (std::cmp::Reverse(*load), *share));
            for (share, load) in owned.into_iter().take(count) {
                let Some(to) = tally.lowest(load, |_| true) else {
                    return;
                };
                self.plan_move(now, tally, moves, (share, load), from, to);
            }
        }
    }

    /// Returns how many shares a leaving target gives away in this step.
    fn due_shares(&mut self, now: Instant, view: &View, from: &name::Target) -> usize {
        let left = view.owned(from).len();
        let (began, total) = *self.draining.entry(from.clone()).or_insert((now, left));
        let elapsed = now.since(began).0;
        let done = total.saturating_sub(left) as u64;
        let due = (total as u64 * elapsed).div_ceil(self.settings.drain_time.0.max(1));
        (due.max(1).saturating_sub(done) as usize).min(left)
    }

    /// Returns keys that cooled down to the owner of their slice.
    fn merge_keys<'a>(
        &mut self,
        now: Instant,
        view: &'a View,
        tally: &mut Tally<'a>,
        moves: &mut Vec<Move>,
    ) {
        let cool = self.hot_key_load(tally) / 2;
        for (key, from) in &view.assignment.keys {
            let load = view.key_load(*key);
            let slice = key.slice(view.assignment.slices.len() as u32);
            let Some(home) = view.assignment.slices.get(slice.0 as usize) else {
                continue;
            };
            let takes = |name| view.targets.get(name).map(|t: &Target| t.availability);
            let stays = self.last_moved.contains_key(&Share::Key(*key))
                || takes(home) != Some(Availability::Accepting)
                || moves.iter().any(|m| m.share == Share::Key(*key));
            if load >= cool || stays || !self.limiter.has_move() {
                continue;
            }
            self.limiter.take_move();
            self.plan_move(now, tally, moves, (Share::Merge(*key), load), from, home);
        }
    }

    pub(crate) fn plan_move<'a>(
        &mut self,
        now: Instant,
        tally: &mut Tally<'a>,
        moves: &mut Vec<Move>,
        (share, load): (Share, u64),
        from: &'a name::Target,
        to: &'a name::Target,
    ) {
        tally.shift(from, to, load);
        self.limiter.record_received(now, to, load);
        moves.push(Move {
            share,
            from: from.clone(),
            to: to.clone(),
        });
    }
}
