//! Levelling: the fewest moves that bring the load of each target under the bound.

use crate::{
    balance::{Move, Planner, View},
    name,
    record::Share,
    tally::Tally,
    time::Instant,
};

impl Planner {
    /// Moves the fewest shares that bring each target's load under the bound.
    pub(crate) fn rebalance<'a>(
        &mut self,
        now: Instant,
        view: &'a View,
        tally: &mut Tally<'a>,
        moves: &mut Vec<Move>,
    ) {
        let mean = tally.mean();
        let bound = mean * self.settings.trigger_percent / 100;
        let is_over = |tally: &Tally| {
            tally
                .highest()
                .is_some_and(|t| tally.load_per_weight(t, 0) > bound)
        };
        if !is_over(tally) {
            self.exceeded_since = None;
            return;
        }
        let since = *self.exceeded_since.get_or_insert(now);
        if now.since(since) < self.settings.trigger_delay {
            return;
        }
        let mut from = tally.highest();
        while let Some(source) = from.filter(|t| tally.load_per_weight(t, 0) > bound) {
            while self.limiter.has_move()
                && tally.load_per_weight(source, 0) > mean * self.settings.goal_percent / 100
            {
                let Some((item, to)) = self.best_move(now, view, tally, moves, source) else {
                    return;
                };
                self.limiter.take_move();
                self.plan_move(now, tally, moves, item, source, to);
            }
            from = tally.highest().filter(|_| self.limiter.has_move());
        }
    }

    /// Finds the share to take from `source`: the smallest that suffices alone, or else the
    /// largest that its receiver has room for, or else the one that lowers the maximum most.
    fn best_move<'a>(
        &self,
        now: Instant,
        view: &'a View,
        tally: &Tally<'a>,
        moves: &[Move],
        source: &name::Target,
    ) -> Option<((Share, u64), &'a name::Target)> {
        let mean = tally.mean();
        let aim = mean * self.settings.goal_percent / 100;
        // Only targets below the mean receive: what a higher one got would have to move again.
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
        let mut items = self.movable_shares(view, tally, moves, source);
        // With many small slices, none is worth the cost of a move by itself.
        let usual = tally.load_per_weight(source, 0) / (items.len() as u64).max(1) / 2;
        let worth = (mean * self.settings.min_gain_per_mille / 1_000)
            .min(usual)
            .max(1);
        items.retain(|(_, load)| gain(*load) >= worth);
        let fits = |load: u64| tally.load_per_weight(to, load) <= aim;
        let suffices = |load: u64| tally.load_per_weight_without(source, load) <= aim;
        let rank = |(share, load): &(Share, u64)| match (fits(*load), suffices(*load)) {
            (true, true) => (2, u64::MAX - load, *share),
            (true, false) => (1, *load, *share),
            (false, _) => (0, gain(*load), *share),
        };
        let item = items.into_iter().max_by_key(rank)?;
        Some((item, to))
    }

    /// Returns what may move from a target: shares that have not moved lately and hot keys.
    fn movable_shares(
        &self,
        view: &View,
        tally: &Tally,
        moves: &[Move],
        source: &name::Target,
    ) -> Vec<(Share, u64)> {
        let hot = self.hot_key_load(tally);
        let apart = &view.assignment.keys;
        let hot_keys = view.keys.iter().filter(|(key, load)| {
            let owner = view.assignment.owner(**key);
            **load >= hot && owner == Some(source) && !apart.contains_key(*key)
        });
        let hot_keys = hot_keys.map(|(key, load)| (Share::Key(*key), *load));
        let mut items = view.owned(source);
        items.extend(hot_keys);
        items.retain(|(share, _)| {
            !self.last_moved.contains_key(share) && !moves.iter().any(|m| m.share == *share)
        });
        items
    }

    fn can_receive(&self, now: Instant, tally: &Tally, name: &name::Target) -> bool {
        let most = tally.mean() * self.settings.max_received_percent / 100;
        self.limiter.unsettled_load(now, name) < tally.load_for(name, most)
    }

    pub(crate) fn hot_key_load(&self, tally: &Tally) -> u64 {
        tally.mean_load() * self.settings.hot_key_percent / 100
    }
}
