//! Rebalancing: as few moves as possible that bring each target's load below the trigger.

use crate::{
    balance::{Move, Planner, View},
    name,
    record::Share,
    tally::Tally,
    time::Instant,
};

impl Planner {
    /// Moves shares from targets above the trigger until each is at the goal, with as few moves as
    /// possible.
    pub(crate) fn rebalance<'a>(
        &mut self,
        now: Instant,
        view: &'a View,
        tally: &mut Tally<'a>,
        moves: &mut Vec<Move>,
    ) {
        let mean = tally.mean();
        let trigger = mean * self.settings.trigger_percent / 100;
        let is_exceeded = |tally: &Tally| {
            tally
                .highest()
                .is_some_and(|t| tally.load_per_weight(t, 0) > trigger)
        };
        if !is_exceeded(tally) {
            self.exceeded_since = None;
            return;
        }
        let since = *self.exceeded_since.get_or_insert(now);
        if now.since(since) < self.settings.trigger_delay {
            return;
        }
        let mut from = tally.highest();
        while let Some(source) = from.filter(|t| tally.load_per_weight(t, 0) > trigger) {
            while self.limiter.has_move()
                && tally.load_per_weight(source, 0) > mean * self.settings.goal_percent / 100
            {
                let Some((share, to)) = self.best_move(now, view, tally, moves, source) else {
                    return;
                };
                self.limiter.take_move();
                self.plan_move(now, tally, moves, share, source, to);
            }
            from = tally.highest().filter(|_| self.limiter.has_move());
        }
    }

    /// Finds the share to take from `source` and its receiver: the smallest share that suffices by
    /// itself and fits the receiver, or else the largest that fits, or else the one that lowers the
    /// higher of the two loads most.
    fn best_move<'a>(
        &self,
        now: Instant,
        view: &'a View,
        tally: &Tally<'a>,
        moves: &[Move],
        source: &name::Target,
    ) -> Option<((Share, u64), &'a name::Target)> {
        let mean = tally.mean();
        let goal = mean * self.settings.goal_percent / 100;
        // Only targets below the mean receive. A share given to a higher one would move again.
        let to = tally.lowest(0, |name| {
            name != source
                && tally.load_per_weight(name, 0) < mean
                && self.can_receive(now, tally, name)
        })?;
        let highest = tally.load_per_weight(source, 0);
        let gain = |load: u64| {
            let after = tally
                .load_per_weight_without(source, load)
                .max(tally.load_per_weight(to, load));
            highest.saturating_sub(after)
        };
        let mut shares = self.movable_shares(view, tally, moves, source);
        // With many small slices, no single one reaches the minimum gain, so half of the mean load
        // of a share suffices too.
        let half_mean_load = tally.load_per_weight(source, 0) / (shares.len() as u64).max(1) / 2;
        let min_gain = (mean * self.settings.min_gain_per_mille / 1_000)
            .min(half_mean_load)
            .max(1);
        shares.retain(|(_, load)| gain(*load) >= min_gain);
        let fits = |load: u64| tally.load_per_weight(to, load) <= goal;
        let suffices = |load: u64| tally.load_per_weight_without(source, load) <= goal;
        let rank = |(share, load): &(Share, u64)| match (fits(*load), suffices(*load)) {
            (true, true) => (2, u64::MAX - load, *share),
            (true, false) => (1, *load, *share),
            (false, _) => (0, gain(*load), *share),
        };
        let share = shares.into_iter().max_by_key(rank)?;
        Some((share, to))
    }

    /// Returns the shares that may move off a target: those that have not moved recently, and hot
    /// keys that are not placed apart yet.
    fn movable_shares(
        &self,
        view: &View,
        tally: &Tally,
        moves: &[Move],
        source: &name::Target,
    ) -> Vec<(Share, u64)> {
        let threshold = self.hot_key_load(tally);
        let placed_apart = &view.assignment.keys;
        let hot_keys = view.keys.iter().filter(|(key, load)| {
            let owner = view.assignment.owner(**key);
            **load >= threshold && owner == Some(source) && !placed_apart.contains_key(*key)
        });
        let hot_keys = hot_keys.map(|(key, load)| (Share::Key(*key), *load));
        let mut shares = view.owned(source);
        shares.extend(hot_keys);
        shares.retain(|(share, _)| {
            !self.last_moved.contains_key(share) && !moves.iter().any(|m| m.share == *share)
        });
        shares
    }

    fn can_receive(&self, now: Instant, tally: &Tally, name: &name::Target) -> bool {
        let max_received = tally.mean() * self.settings.max_received_percent / 100;
        self.limiter.unsettled_load(now, name) < tally.load_for(name, max_received)
    }

    pub(crate) fn hot_key_load(&self, tally: &Tally) -> u64 {
        tally.mean_load() * self.settings.hot_key_percent / 100
    }
}
