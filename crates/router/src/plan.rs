//! Planning of the next change of an assignment: which ranges move to which owner.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    assignment::{Assignment, KEY_COUNT, Key, PreviousOwner, Range, State},
    registration::Incarnation,
    traffic::{Segment, Traffic},
};

/// Maximum number of targets among which one range of a leaving owner is divided, and from which a
/// target without keys receives its share.
const MAX_RECEIVERS: u32 = 4;
/// Total request count, as decayed by [`Traffic`], below which the sample is too small to balance.
const MIN_REQUESTS: f64 = 100.0;
/// Excess of an owner's load over the mean, as a fraction of the mean, from which it gives keys
/// away.
const SURPLUS_THRESHOLD: f64 = 0.25;
/// Standard deviations of an owner's request count that are added to that excess, so that random
/// fluctuations move no keys.
const NOISE_DEVIATIONS: f64 = 2.2;
/// Minimum request count of the keys that a balancing move shifts.
const MIN_MOVED_REQUESTS: f64 = 4.0;
/// Maximum load that a balancing move shifts, as a fraction of the difference between the two
/// owners.
const MAX_MOVED_RATIO: f64 = 0.8;
/// Number of owners for each range that a balancing step may move.
const OWNERS_PER_MOVE: usize = 8;
/// Lower bound of the number of ranges that a balancing step may move.
const MIN_MOVES: usize = 3;
/// Upper bound of the number of ranges that a balancing step may move.
const MAX_MOVES: usize = 16;

/// A target that can own keys.
#[derive(Clone, Debug)]
pub struct Owner {
    /// Identity of the target.
    pub target: Incarnation,
    /// Whether the target is cold. It gets keys only if no target is warm.
    pub is_cold: bool,
    /// Whether the target limits the rate of its requests. It gets keys only if all others do too.
    pub is_limited: bool,
}

/// Input of one planning step.
pub struct Input<'a> {
    /// Targets that can own keys.
    pub owners: &'a [Owner],
    /// Request counts by key.
    pub traffic: &'a Traffic,
    /// Time that an owner takes to process a request. The unit is arbitrary: only ratios matter.
    pub work_time: &'a dyn Fn(&Incarnation) -> f64,
    /// Tells whether the owner of a range must release it.
    pub must_leave: &'a dyn Fn(&Range) -> bool,
    /// Tells whether no order about a range is outstanding. Other ranges do not move: a grant under way
    /// could arrive after its target has released the keys, restarted and forgotten the release.
    pub is_idle: &'a dyn Fn(&Range) -> bool,
    /// Tells whether the owner of a range may have been granted its keys.
    pub is_granted: &'a dyn Fn(&Range) -> bool,
    /// Returns the previous owners of a range that may still hold its keys.
    pub previous_owners: &'a dyn Fn(&Range) -> Vec<PreviousOwner>,
    /// Whether ranges may move to targets without keys.
    pub may_fill: bool,
    /// Whether ranges may move to balance the load.
    pub may_balance: bool,
}

/// Returns the assignment with the most urgent change applied, or `None` if no change is due.
pub fn next(assignment: &Assignment, input: &Input<'_>) -> Option<Assignment> {
    let receivers = receivers(input.owners);
    if receivers.is_empty() {
        return None;
    }
    if assignment.ranges.is_empty() {
        return Some(divide(assignment, &receivers));
    }
    let limited = input.owners.iter().filter(|owner| owner.is_limited);
    let limited = limited.map(|owner| owner.target.clone()).collect();
    let mut plan = Plan::new(assignment.clone(), receivers, limited, input);
    if plan.reassign() {
        return Some(plan.assignment);
    }
    let is_settled = assignment.ranges.iter().all(Range::is_held);
    if input.may_fill && is_settled && plan.fill() || input.may_balance && plan.balance() {
        return Some(plan.assignment);
    }
    None
}

fn receivers(owners: &[Owner]) -> Vec<Incarnation> {
    let warm: Vec<Incarnation> = owners
        .iter()
        .filter(|o| !o.is_cold)
        .map(|o| o.target.clone())
        .collect();
    match warm.is_empty() {
        true => owners.iter().map(|o| o.target.clone()).collect(),
        false => warm,
    }
}

/// Divides all keys evenly among targets. The ranges have no previous owners.
fn divide(assignment: &Assignment, receivers: &[Incarnation]) -> Assignment {
    let mut divided = Assignment {
        next_epoch: assignment.next_epoch,
        ranges: Vec::new(),
    };
    let count = receivers.len() as u32;
    for (index, owner) in receivers.iter().enumerate() {
        let index = index as u32;
        let epoch = divided.allocate_epoch();
        divided.ranges.push(Range {
            first: (KEY_COUNT * index / count) as Key,
            last: (KEY_COUNT * (index + 1) / count - 1) as Key,
            epoch,
            owner: owner.clone(),
            state: State::Moving(Vec::new()),
        });
    }
    divided
}

struct Plan<'a> {
    assignment: Assignment,
    widths: BTreeMap<Incarnation, u32>,
    /// Targets that limit the rate of their requests.
    limited: BTreeSet<Incarnation>,
    input: &'a Input<'a>,
}

impl<'a> Plan<'a> {
    fn new(
        assignment: Assignment,
        receivers: Vec<Incarnation>,
        limited: BTreeSet<Incarnation>,
        input: &'a Input<'a>,
    ) -> Self {
        let mut widths: BTreeMap<Incarnation, u32> =
            receivers.into_iter().map(|l| (l, 0)).collect();
        for range in &assignment.ranges {
            if let Some(width) = widths.get_mut(&range.owner) {
                *width += range.width();
            }
        }
        Self {
            assignment,
            widths,
            limited,
            input,
        }
    }

    /// Divides the ranges of leaving owners among the targets with the fewest keys.
    fn reassign(&mut self) -> bool {
        let ranges = self.assignment.ranges.iter();
        let leaving =
            ranges.filter(|range| (self.input.must_leave)(range) && (self.input.is_idle)(range));
        let leaving: Vec<Range> = leaving.cloned().collect();
        for range in &leaving {
            let fair = KEY_COUNT / self.widths.len().max(1) as u32;
            let parts = (range.width() * MAX_RECEIVERS)
                .div_ceil(fair.max(1))
                .clamp(1, MAX_RECEIVERS);
            let parts = parts.min(self.widths.len() as u32).min(range.width());
            self.split(range, parts);
        }
        !leaving.is_empty()
    }

    fn split(&mut self, range: &Range, parts: u32) {
        let mut pieces = Vec::new();
        let first = u32::from(range.first);
        for part in 0..parts {
            let begin = first + range.width() * part / parts;
            let end = first + range.width() * (part + 1) / parts - 1;
            let receiver = self.narrowest(&range.owner);
            pieces.push(self.reassigned(range, begin as Key, end as Key, receiver));
        }
        self.assignment.replace(range.epoch, pieces);
    }

    /// Returns a part of a range that moves to a new owner.
    fn reassigned(&mut self, range: &Range, first: Key, last: Key, owner: Incarnation) -> Range {
        let fence = self.assignment.allocate_epoch();
        let epoch = self.assignment.allocate_epoch();
        let target = range.owner.clone();
        if let Some(width) = self.widths.get_mut(&owner) {
            *width += u32::from(last) - u32::from(first) + 1;
        }
        let mut previous = (self.input.previous_owners)(range);
        if (self.input.is_granted)(range) {
            // The release of the latest grant also fences the earlier ones of the same target.
            previous.retain(|earlier| earlier.target != target);
            previous.push(PreviousOwner { target, fence });
        }
        Range {
            first,
            last,
            epoch,
            owner,
            state: State::Moving(previous),
        }
    }

    fn narrowest(&self, except: &Incarnation) -> Incarnation {
        let others = self.widths.iter().filter(|(target, _)| *target != except);
        let narrowest =
            others.min_by_key(|(target, width)| (self.limited.contains(*target), **width));
        narrowest.map_or(except, |(target, _)| target).clone()
    }

    /// Moves keys from the targets with the most to a target that has none. Targets with few keys
    /// get none this way, since the owner of busy keys has few of them: they are left to balancing.
    /// Returns whether any keys move.
    fn fill(&mut self) -> bool {
        let fair = KEY_COUNT / self.widths.len().max(1) as u32;
        let may_receive = |(target, _): &(&Incarnation, &u32)| !self.limited.contains(*target);
        let receivers = self.widths.iter().filter(may_receive);
        let empty = receivers.min_by_key(|(_, width)| **width);
        let Some((empty, width)) = empty.map(|(target, width)| (target.clone(), *width)) else {
            return false;
        };
        if width > 0 {
            return false;
        }
        let mut missing = fair;
        for _ in 0..MAX_RECEIVERS {
            let widest_owner = self.widths.iter().max_by_key(|(_, width)| **width);
            let Some((owner, width)) = widest_owner.map(|(target, width)| (target.clone(), *width))
            else {
                break;
            };
            let held = self
                .assignment
                .ranges
                .iter()
                .filter(|r| r.owner == owner && r.is_held() && (self.input.is_idle)(r));
            let widest = held.max_by_key(|range| range.width()).cloned();
            let (Some(widest), true) = (widest, width > fair / 2 && missing > 0) else {
                break;
            };
            let wanted = missing
                .min(fair / MAX_RECEIVERS + 1)
                .min(widest.width() / 2);
            if wanted == 0 {
                break;
            }
            let segment = Segment {
                first: (u32::from(widest.last) - wanted + 1) as Key,
                last: widest.last,
                requests: 0.0,
            };
            self.move_segment(&widest, segment, &empty);
            *self.widths.entry(owner).or_default() -= wanted;
            missing -= wanted;
        }
        missing < fair
    }

    /// Moves busy keys from the owners with the highest load to those with the lowest.
    fn balance(&mut self) -> bool {
        let max_moves = (self.widths.len() / OWNERS_PER_MOVE).clamp(MIN_MOVES, MAX_MOVES);
        let moves = (0..max_moves).take_while(|_| self.relieve_busiest());
        moves.count() > 0
    }

    /// Moves keys from the busiest owner for which a useful move exists.
    fn relieve_busiest(&mut self) -> bool {
        let mut loads = self.loads();
        let total: f64 = loads.iter().map(|load| load.requests).sum();
        let mean = loads.iter().map(|load| load.work).sum::<f64>() / loads.len().max(1) as f64;
        loads.sort_by(|a, b| b.work.total_cmp(&a.work));
        let may_receive = |load: &&Load| !self.limited.contains(&load.target);
        let idlest = loads.iter().rfind(may_receive);
        let Some(idlest) = idlest.filter(|_| total >= MIN_REQUESTS) else {
            return false;
        };
        let busy = loads
            .iter()
            .take_while(|load| load.work > mean * (1.0 + SURPLUS_THRESHOLD));
        for load in busy.filter(|load| load.is_significant(mean)) {
            if let Some((range, segment)) = self.best_segment(load, idlest, mean) {
                let receiver = idlest.target.clone();
                self.move_segment(&range, segment, &receiver);
                return true;
            }
        }
        false
    }

    fn loads(&self) -> Vec<Load> {
        let input = self.input;
        let mut by_owner: BTreeMap<&Incarnation, f64> =
            self.widths.keys().map(|l| (l, 0.0)).collect();
        for range in &self.assignment.ranges {
            if let Some(requests) = by_owner.get_mut(&range.owner) {
                *requests += input.traffic.requests(range.first, range.last);
            }
        }
        let load = |(target, requests): (&Incarnation, f64)| Load {
            target: target.clone(),
            requests,
            work: requests * (input.work_time)(target),
        };
        by_owner.into_iter().map(load).collect()
    }

    /// Returns the part of a busy owner's keys whose move comes closest to equalizing the two
    /// loads, or to lowering the busy one to the mean if that takes fewer requests.
    fn best_segment(&self, busy: &Load, idle: &Load, mean: f64) -> Option<(Range, Segment)> {
        let input = self.input;
        let work_time = (input.work_time)(&busy.target);
        let surplus = ((busy.work - idle.work) / 2.0).min(busy.work - mean) / work_time;
        let max_requests = (busy.work - idle.work) / (input.work_time)(&idle.target).max(work_time)
            * MAX_MOVED_RATIO;
        let owned = self.assignment.ranges.iter();
        let owned = owned.filter(|range| range.owner == busy.target && range.is_held());
        let owned = owned.filter(|range| (input.is_idle)(range));
        let segments = owned.flat_map(|range| {
            let whole = Segment {
                first: range.first,
                last: range.last,
                requests: input.traffic.requests(range.first, range.last),
            };
            let segments = input.traffic.segments(range.first, range.last);
            segments.chain([whole]).map(move |segment| (range, segment))
        });
        let useful = segments.filter(|(_, segment)| {
            segment.requests >= MIN_MOVED_REQUESTS && segment.requests < max_requests
        });
        let deviation = |segment: &Segment| (segment.requests - surplus).abs();
        let best = useful.min_by(|a, b| deviation(&a.1).total_cmp(&deviation(&b.1)));
        best.map(|(range, segment)| (range.clone(), segment))
    }

    /// Moves a part at either end of a range, or the whole range, to another owner.
    fn move_segment(&mut self, range: &Range, segment: Segment, receiver: &Incarnation) {
        let moved = self.reassigned(range, segment.first, segment.last, receiver.clone());
        let mut pieces = vec![moved];
        if segment.first > range.first {
            let mut kept = range.clone();
            kept.last = segment.first - 1;
            pieces.insert(0, kept);
        } else if segment.last < range.last {
            let mut kept = range.clone();
            kept.first = segment.last + 1;
            pieces.push(kept);
        }
        self.assignment.replace(range.epoch, pieces);
    }
}

/// Load of one owner.
struct Load {
    target: Incarnation,
    requests: f64,
    /// Request count times the time to process a request.
    work: f64,
}

impl Load {
    /// Tells whether the load exceeds the mean by more than random fluctuations of the count.
    fn is_significant(&self, mean: f64) -> bool {
        let noise = NOISE_DEVIATIONS / self.requests.max(1.0).sqrt();
        self.work > mean * (1.0 + SURPLUS_THRESHOLD + noise)
    }
}
