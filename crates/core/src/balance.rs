//! Planning of the moves of slices and hot keys between a service's targets.

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

/// Thresholds and limits for a service's moves.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Load per weight above which a target gives shares away, in per cent of the mean.
    pub trigger_percent: u64,
    /// Load per weight down to which it then gives shares away, in per cent of the mean.
    pub goal_percent: u64,
    /// Time for which a target must exceed the trigger before shares move.
    pub trigger_delay: Span,
    /// Time for which a moved share does not move again, unless its target drains or is lost.
    pub min_stay: Span,
    /// Minimum reduction of the highest load per weight that justifies a move, in per mille of the
    /// mean.
    pub min_gain_per_mille: u64,
    /// Load that a target may receive in ten seconds, in per cent of the mean.
    pub max_received_percent: u64,
    /// Time over which a draining target is emptied.
    pub drain_time: Span,
    /// Maximum number of moves per minute, apart from moves off draining and lost targets.
    pub moves_per_minute: u32,
    /// Load from which a key may be placed apart from its slice, in per cent of the mean load of a
    /// target.
    pub hot_key_percent: u64,
}

/// Whether a target may give shares to other targets and receive shares from them.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Availability {
    /// The target gives and receives shares.
    Accepting,
    /// The target may give shares away and receives none.
    Closed,
    /// The target is to be emptied, since it leaves, or operators took it out or removed it from the
    /// table.
    Draining,
    /// The target does not answer, and its last grant has expired.
    Lost,
}

/// A target as the planner sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Target {
    /// Capacity relative to the other targets: the weight in the table times the capacity in per
    /// cent.
    pub weight: u32,
    /// Whether it may give and receive shares.
    pub availability: Availability,
}

/// State of one service that moves are planned for.
#[derive(Clone, Debug)]
pub struct View<'a> {
    /// Current owner of each slice and of each key that is placed apart.
    pub assignment: &'a Assignment,
    /// The service's targets.
    pub targets: &'a BTreeMap<name::Target, Target>,
    /// Load of each slice, without the keys that are placed apart.
    pub slices: &'a [u64],
    /// Load of the keys that are hot or placed apart.
    pub keys: &'a BTreeMap<Digest, u64>,
}

/// A planned move.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Move {
    /// The slice or key that moves.
    pub share: Share,
    /// Its current owner.
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

    /// Records a move that was read from the log, whichever holder planned it.
    pub fn record_move(&mut self, now: Instant, share: Share) {
        self.last_moved.insert(share, now);
    }

    /// Returns the moves that are due now. Each holder submits those whose source it holds.
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

    /// Empties lost targets at once, and draining targets evenly over the drain time.
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

    /// Returns how many shares a draining target gives away in this step.
    fn due_shares(&mut self, now: Instant, view: &View, from: &name::Target) -> usize {
        let remaining = view.owned(from).len();
        let (start, total) = *self
            .draining
            .entry(from.clone())
            .or_insert((now, remaining));
        let elapsed = now.since(start).0;
        let done = total.saturating_sub(remaining) as u64;
        let due = (total as u64 * elapsed).div_ceil(self.settings.drain_time.0.max(1));
        (due.max(1).saturating_sub(done) as usize).min(remaining)
    }

    /// Moves keys whose load fell below half of the hot-key threshold back to their slice's owner.
    fn merge_keys<'a>(
        &mut self,
        now: Instant,
        view: &'a View,
        tally: &mut Tally<'a>,
        moves: &mut Vec<Move>,
    ) {
        let merge_threshold = self.hot_key_load(tally) / 2;
        for (key, from) in &view.assignment.keys {
            let load = view.key_load(*key);
            let slice = key.slice(view.assignment.slices.len() as u32);
            let Some(slice_owner) = view.assignment.slices.get(slice.0 as usize) else {
                continue;
            };
            let availability = |name| view.targets.get(name).map(|t: &Target| t.availability);
            let must_stay = self.last_moved.contains_key(&Share::Key(*key))
                || availability(slice_owner) != Some(Availability::Accepting)
                || moves.iter().any(|m| m.share == Share::Key(*key));
            if load >= merge_threshold || must_stay || !self.limiter.has_move() {
                continue;
            }
            self.limiter.take_move();
            self.plan_move(
                now,
                tally,
                moves,
                (Share::Merge(*key), load),
                from,
                slice_owner,
            );
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
