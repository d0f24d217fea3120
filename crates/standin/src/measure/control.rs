//! Periodic work of holders: probes, health checks, load messages and plans of moves.

use std::collections::BTreeMap;

use rand::{SeedableRng, rngs::Xoshiro256PlusPlus};
use rand_distr::{Distribution, StandardNormal};

use ragwortrill_core::{
    balance::{Availability, Target, View},
    choice::Candidate,
    health::{self, Observation, State},
    request::Refusal,
    time::{Instant, Span},
};

use super::{
    agenda::Event,
    simulation::{SAMPLE_INTERVAL, Simulation, TICK_INTERVAL},
};

/// Time between the detection of a target's loss and the end of its last grant: grant and margin,
/// less the time that the detection took.
const REMAINING_GRANT_TIME: Span = Span::from_millis(600);
/// Time ahead for which loads are forecast.
const FORECAST_HORIZON: Span = Span::from_secs(30);
/// Interval between forecasts.
const FORECAST_INTERVAL: Span = Span::from_secs(5);

impl Simulation<'_> {
    pub(crate) fn sample(&mut self, now: Instant) {
        if self.is_open(now) || !self.requests.is_empty() {
            self.agenda.add(now + SAMPLE_INTERVAL, Event::Sample);
        }
        for target in 0..self.holders.len() {
            let mut out = Vec::new();
            let holder = &mut self.holders[target];
            holder.target.record_load(now);
            holder.queue.expire(now, &mut out);
            self.decisions.push((target, out));
            self.start_quiet_moves(now, target);
        }
        if self.service.divided_by_key && self.is_open(now) {
            self.count_unavailable(now);
        }
    }

    fn count_unavailable(&mut self, now: Instant) {
        let up = |holder: &super::simulation::Holder| holder.target.is_up(now);
        let down: Vec<_> = self
            .holders
            .iter()
            .filter(|h| !up(h))
            .map(|h| &h.name)
            .collect();
        let moving = self.moving.keys();
        let mut slices = moving
            .filter(|share| matches!(share, ragwortrill_core::record::Share::Slice(_)))
            .count();
        if !down.is_empty() {
            let owners = self.assignment.slices.iter().enumerate();
            let unserved = owners.filter(|(index, owner)| {
                let slice = ragwortrill_core::number::Slice(*index as u32);
                let share = ragwortrill_core::record::Share::Slice(slice);
                down.contains(owner) && !self.moving.contains_key(&share)
            });
            slices += unserved.count();
        }
        let keys = f64::from(self.deployment.keys) / f64::from(self.service.slices);
        self.outcome.unavailable_key_seconds +=
            slices as f64 * keys * SAMPLE_INTERVAL.0 as f64 / 1e6;
    }

    /// Adds all targets in service to the current window, so that the imbalance includes those that
    /// receive no request.
    fn open_window(&mut self, now: Instant) {
        let capacity = self.capacity_of_window();
        let loads = &mut self.outcome.window(now, capacity).loads;
        for (target, holder) in self.holders.iter().enumerate() {
            if holder.out_since.is_none() && holder.target.is_up(now) {
                loads.entry(target).or_default();
            }
        }
    }

    pub(crate) fn tick(&mut self, now: Instant) {
        self.open_window(now);
        if self.is_open(now) || !self.requests.is_empty() {
            self.agenda.add(now + TICK_INTERVAL, Event::Tick);
        }
        self.ticks += 1;
        for target in 0..self.holders.len() {
            self.probe(now, target);
        }
        self.check(now);
        if self.ticks.is_multiple_of(4) {
            self.estimate_loads();
        }
        if self.service.divided_by_key && self.policy.admission {
            self.make_plan(now);
        }
        self.send_views(now);
    }

    fn probe(&mut self, now: Instant, target: usize) {
        let holder = &mut self.holders[target];
        let seen = match holder.target.probe(now) {
            Some(start) => Observation::Probed(start),
            None if holder.target.is_down(now) => Observation::Unreachable,
            None => Observation::Silent,
        };
        holder.health.observe(now, seen);
        if let Some(report) = holder.target.report(now) {
            holder.reported_load_percent = report.load_percent;
            if self.policy.hints {
                holder.health.record_report(now, &report);
            }
        }
    }

    fn check(&mut self, now: Instant) {
        let medians = self.holders.iter().filter_map(|h| h.health.median());
        let reference = health::reference(medians);
        for target in 0..self.holders.len() {
            let holder = &mut self.holders[target];
            let state = holder.health.check(now, reference);
            if matches!(state, State::Frozen | State::Lost) {
                let since = *holder.silent_since.get_or_insert(now);
                if !holder.grant_expired && now.since(since) >= REMAINING_GRANT_TIME {
                    self.expire_grant(now, target);
                }
            } else {
                holder.silent_since = None;
                holder.grant_expired = false;
            }
            self.apply_limit(now, target);
        }
    }

    pub(crate) fn apply_limit(&mut self, now: Instant, target: usize) {
        let mut out = Vec::new();
        let slots = self.service.slots + self.policy.excess_slots;
        let holder = &mut self.holders[target];
        let limit = match self.policy.slow_start {
            true if self.policy.excess_slots > 0 => slots,
            true => holder.health.limit(now),
            false => slots,
        };
        holder.queue.set_limit(now, limit, &mut out);
        self.decisions.push((target, out));
    }

    /// Handles the end of a silent target's last grant, after which its slices may move.
    fn expire_grant(&mut self, now: Instant, target: usize) {
        let mut out = Vec::new();
        let holder = &mut self.holders[target];
        holder.grant_expired = true;
        let open: Vec<_> = holder.open.iter().copied().collect();
        for id in &open {
            holder.target.finish(*id);
        }
        holder.queue.clear(Refusal::Moving, &mut out);
        self.decisions.push((target, out));
        if self.service.divided_by_key && self.policy.admission {
            let name = self.holders[target].name.clone();
            let owned = self.planned.slices.iter().filter(|owner| **owner == name);
            self.outcome.forced_moves += owned.count() as u64;
        }
        self.break_copies(now, target, open);
        self.advance_moves(now, target);
    }

    fn estimate_loads(&mut self) {
        for (load, count) in self.slice_loads.iter_mut().zip(&mut self.slice_counts) {
            *load = (*load * 7 + *count * 1_000) / 8;
            *count = 0;
        }
        if self.ticks.is_multiple_of(8) {
            self.holders.iter_mut().for_each(|h| h.sketch.halve());
        }
    }

    fn make_plan(&mut self, now: Instant) {
        self.make_forecast(now);
        let targets = self.planner_targets(now);
        let keys = self.key_loads();
        let slices = self
            .forecast
            .as_ref()
            .map_or(&self.slice_loads, |(_, loads)| loads);
        let view = View {
            assignment: &self.planned,
            targets: &targets,
            slices,
            keys: &keys,
        };
        let moves = self.planner.next_moves(now, &view);
        for planned in moves {
            self.plan_move(now, planned);
        }
    }

    fn planner_targets(&self, now: Instant) -> BTreeMap<ragwortrill_core::name::Target, Target> {
        let targets = self.holders.iter().map(|holder| {
            let lost = matches!(holder.health.state(), State::Frozen | State::Lost);
            let availability = match (holder.grant_expired, holder.out_since.is_some()) {
                (true, _) => Availability::Lost,
                (_, true) if !self.policy.ignores_drains => Availability::Draining,
                _ if lost => Availability::Closed,
                _ => Availability::Accepting,
            };
            let weight = match lost || !self.policy.slow_start {
                true => 100,
                false => holder.health.capacity_percent(now),
            };
            (
                holder.name.clone(),
                Target {
                    weight,
                    availability,
                },
            )
        });
        targets.collect()
    }

    /// Returns the loads of hot keys and of keys assigned separately, in the unit of slice loads.
    fn key_loads(&self) -> BTreeMap<ragwortrill_core::key::Digest, u64> {
        let mut keys = BTreeMap::new();
        if !self.policy.hot_keys {
            return keys;
        }
        for holder in &self.holders {
            // The sketch halves its counts every two seconds, so that they cover the requests of
            // three seconds on average.
            for (key, count) in holder.sketch.heavy(20) {
                keys.insert(key, count.lower_bound() * 1_000 / 3);
            }
        }
        for key in self.planned.keys.keys() {
            keys.entry(*key).or_insert(0);
        }
        keys
    }

    fn make_forecast(&mut self, now: Instant) {
        let Some(error) = self.policy.forecast_error else {
            return;
        };
        let fresh = |(at, _): &(Instant, Vec<u64>)| now.since(*at) < FORECAST_INTERVAL;
        if self.scenario.keys_shift.is_none() || self.forecast.as_ref().is_some_and(fresh) {
            return;
        }
        let mut loads = self.load.expected(now + FORECAST_HORIZON);
        let mut random = Xoshiro256PlusPlus::seed_from_u64(self.seed ^ 0xf0ca);
        // Slices of the same initial target get the same error, because independent errors of a
        // hundred slices would cancel each other out.
        let units = (0..self.service.targets).map(|_| StandardNormal.sample(&mut random));
        let units: Vec<f64> = units.collect();
        for (slice, load) in loads.iter_mut().enumerate() {
            let error = units[slice % units.len()] * f64::from(error) / 100.0;
            *load = (*load as f64 * (1.0 + error).max(0.0)) as u64;
        }
        self.forecast = Some((now, loads));
    }

    /// Sends the load of all targets to all entries.
    fn send_views(&mut self, now: Instant) {
        let candidates = self.holders.iter().map(|holder| {
            let lost = matches!(holder.health.state(), State::Frozen | State::Lost);
            Candidate {
                in_flight: (holder.queue.running() + holder.queue.waiting()) as u32,
                limit: holder.queue.limit(),
                latency: holder.health.median().unwrap_or(self.service.service),
                factor_percent: match self.policy.hints {
                    true => holder.health.hint().factor_percent(now),
                    false => 100,
                },
                usable: holder.out_since.is_none() && !lost,
            }
        });
        let candidates: Vec<Candidate> = candidates.collect();
        self.views
            .iter_mut()
            .for_each(|view| view.clone_from(&candidates));
    }
}
