//! Grants and moves of keys, as the host that leads orders them.
//!
//! Every change is written to the log before its first order. A range moves in three steps: the
//! change is written; each earlier owner releases the keys, or its last possible grant runs out;
//! the new owner gets its grant. A release carries an epoch above the earlier owner's grants, so
//! that a grant that is carried out late is refused.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use ragwortrill_core::{
    name,
    time::{Instant, Span},
};

use crate::{
    assignment::{Assignment, Key, PreviousOwner, Range, State},
    fleet::Fleet,
    plan,
    registration::Incarnation,
    traffic::Traffic,
};

/// Time after an answered grant at which it is renewed.
const RENEWAL_INTERVAL: Span = Span::from_millis(1_000);
/// Orders of one service that are sent at once. A host with a small share of a core can't handle
/// the answers of hundreds of targets in time.
const MAX_ORDERS_PER_TICK: usize = 24;
/// Time by which renewals differ, so that they don't fall together.
const RENEWAL_JITTER: Span = Span::from_millis(300);
/// Time after an unanswered order at which it is repeated.
const RETRY_BACKOFF: Span = Span::from_millis(300);
/// Orders in a row without an answer after which a target loses its keys.
const MAX_UNANSWERED: u32 = 3;
/// Time without a new target after which keys are assigned for the first time.
const DISCOVERY_IDLE: Span = Span::from_millis(1_500);
/// Longest time from the first target to the first assignment.
const MAX_DISCOVERY: Span = Span::from_millis(4_000);
/// Time between two looks at the balance.
const BALANCE_INTERVAL: Span = Span::from_millis(400);
/// Drift of a target's clock in percent.
const CLOCK_DRIFT_PERCENT: u64 = 2;
/// Longest time until a grant has arrived: 400 ms to connect and 400 ms until its connection is
/// reset, and a margin.
const MAX_GRANT_DELAY: Span = Span::from_millis(850);

/// What a target is ordered to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Operation {
    /// Own the keys for a time.
    Grant {
        /// Time from the arrival at the target.
        hold: Span,
        /// Token of the previous owner, with which the keys are not cold.
        handover: Option<String>,
    },
    /// Give the keys up.
    Release,
}

/// An order to a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// Service of the keys.
    pub service: name::Service,
    /// Epoch of the range that the order serves.
    pub range_epoch: u64,
    /// Target that gets the order.
    pub target: Incarnation,
    /// First key.
    pub first: Key,
    /// Last key.
    pub last: Key,
    /// Fencing token of the order.
    pub fence: u64,
    /// What is ordered.
    pub operation: Operation,
}

/// A target's answer to an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Response {
    /// It obeyed. A release may return a token for the next owner.
    Done(Option<String>),
    /// It knows a higher epoch.
    Refused,
    /// Another target has the address.
    Misdirected,
    /// No answer came. The order may be carried out later.
    Silent,
}

/// What the leader wants done.
#[derive(Clone, Debug)]
pub enum Action {
    /// Write the changed ranges of a service to the log, all or none.
    Write(name::Service, Vec<Range>),
    /// Send an order.
    Send(Order),
    /// Give up leadership: this host reaches hardly any target.
    Resign,
}

/// State of one tick.
pub struct Tick<'a> {
    /// The current moment.
    pub now: Instant,
    /// Known targets.
    pub fleet: &'a Fleet,
    /// How busy the keys are, by service.
    pub traffic: &'a BTreeMap<name::Service, Traffic>,
    /// Time that a target works on a request; only the proportions matter.
    pub work_time: &'a dyn Fn(&Incarnation) -> f64,
    /// Partitioned services.
    pub services: &'a [name::Service],
    /// Lifetime of grants.
    pub hold: Span,
    /// Whether the view of the targets is up to date. Without it, nothing is moved.
    pub is_current: bool,
}

/// The leader of all partitioned services.
#[derive(Clone, Debug)]
pub struct Leader {
    partitions: BTreeMap<name::Service, Partition>,
    /// When the last grant of an earlier leader has run out.
    earlier_grants_end: Instant,
}

/// Returns when a grant that is sent now has run out at its target.
pub fn expiry(now: Instant, hold: Span) -> Instant {
    now + hold.scale(100 + CLOCK_DRIFT_PERCENT, 100) + MAX_GRANT_DELAY
}

impl Leader {
    /// Creates the leader from the assignments in the log. Grants of an earlier leader may be in
    /// force until `earlier_until`.
    pub fn new(
        assignments: &BTreeMap<name::Service, Assignment>,
        earlier_grants_end: Instant,
    ) -> Self {
        let partition = |(service, assignment): (&name::Service, &Assignment)| {
            (service.clone(), Partition::new(assignment.clone()))
        };
        Self {
            partitions: assignments.iter().map(partition).collect(),
            earlier_grants_end,
        }
    }

    /// Returns what is due.
    pub fn tick(&mut self, tick: &Tick<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        for service in tick.services {
            let partition = self.partitions.entry(service.clone()).or_default();
            if partition.is_isolated() {
                return vec![Action::Resign];
            }
            partition.tick(service, tick, self.earlier_grants_end, &mut actions);
        }
        actions
    }

    /// Notes that an assignment is in the log.
    pub fn confirm_write(&mut self, service: &name::Service) {
        if let Some(partition) = self.partitions.get_mut(service) {
            partition.confirm_write();
        }
    }

    /// Replaces an assignment by what the log holds after a write without an answer.
    pub fn reload(&mut self, service: &name::Service, assignment: Assignment) {
        let partition = self.partitions.entry(service.clone()).or_default();
        partition.durable = assignment;
        partition.draft = None;
    }

    /// Notes the answer to an order.
    pub fn record_response(&mut self, now: Instant, order: &Order, response: Response) {
        if let Some(partition) = self.partitions.get_mut(&order.service) {
            partition.record_response(now, order, response);
        }
    }
}

/// How far the move of one range is.
#[derive(Clone, Debug, Default)]
struct Progress {
    /// Earlier owners that can't hold the keys any more.
    cleared: BTreeSet<Incarnation>,
    /// Token of the last release, with which the keys are not cold.
    handover: Option<String>,
    /// Whether the new owner may have got its grant.
    is_granted: bool,
    /// Whether the new owner has answered its grant.
    is_confirmed: bool,
}

/// Targets that registered before the first assignment.
#[derive(Clone, Copy, Debug)]
struct Discovery {
    since: Instant,
    grown_at: Instant,
    count: usize,
}

/// State of one service. Ranges are identified by their epochs.
#[derive(Clone, Debug, Default)]
struct Partition {
    /// The ranges as they are written.
    durable: Assignment,
    /// The ranges as they are being written.
    draft: Option<Assignment>,
    moves: BTreeMap<u64, Progress>,
    /// Ranges whose owner knows a higher epoch.
    refused: BTreeSet<u64>,
    /// When the next order of a range is due.
    due: BTreeMap<u64, Instant>,
    /// Ranges with an order that is not answered yet.
    in_flight: BTreeSet<u64>,
    /// When the last grant to a target has run out.
    grants_end: BTreeMap<Incarnation, Instant>,
    /// Orders in a row that a target has not answered.
    unanswered: BTreeMap<Incarnation, u32>,
    /// Targets that can't hold keys any more.
    ended: BTreeSet<Incarnation>,
    discovery: Option<Discovery>,
    /// When the balance was last looked at.
    balanced_at: Instant,
}

impl Partition {
    fn new(durable: Assignment) -> Self {
        // An earlier leader may have granted the ranges that it moved.
        let moving = durable.ranges.iter().filter(|range| !range.is_held());
        let granted = |range: &Range| {
            let progress = Progress {
                is_granted: true,
                ..Progress::default()
            };
            (range.epoch, progress)
        };
        Self {
            moves: moving.map(granted).collect(),
            durable,
            ..Self::default()
        }
    }

    /// Tells whether more than half of the owners answer nothing.
    fn is_isolated(&self) -> bool {
        let mut owners: BTreeSet<&Incarnation> =
            self.durable.ranges.iter().map(|r| &r.owner).collect();
        let moving = self
            .durable
            .ranges
            .iter()
            .filter_map(|range| match &range.state {
                State::Held => None,
                State::Moving(previous) => Some(previous),
            });
        owners.extend(moving.flatten().map(|previous| &previous.target));
        let unresponsive = |target: &&&Incarnation| {
            self.unanswered
                .get(**target)
                .is_some_and(|n| *n >= MAX_UNANSWERED)
        };
        owners.len() >= 3 && owners.iter().filter(unresponsive).count() * 2 > owners.len()
    }

    fn tick(
        &mut self,
        service: &name::Service,
        tick: &Tick<'_>,
        earlier_grants_end: Instant,
        actions: &mut Vec<Action>,
    ) {
        self.issue_orders(service, tick, earlier_grants_end, actions);
        if tick.is_current
            && self.draft.is_none()
            && let Some(draft) = self.plan(service, tick)
        {
            let changes = draft.changes(&self.durable).cloned().collect();
            actions.push(Action::Write(service.clone(), changes));
            self.draft = Some(draft);
        }
    }

    /// Orders what the written assignment needs.
    fn issue_orders(
        &mut self,
        service: &name::Service,
        tick: &Tick<'_>,
        earlier_grants_end: Instant,
        actions: &mut Vec<Action>,
    ) {
        let draft = self.draft.as_ref();
        let kept = draft.map(|draft| draft.ranges.iter().map(|range| range.epoch).collect());
        let kept: Option<BTreeSet<u64>> = kept;
        let is_due = |range: &&Range| {
            let due = self.due.get(&range.epoch);
            // The change that is being written does not count a grant that is sent meanwhile.
            let is_kept = kept.as_ref().is_none_or(|kept| kept.contains(&range.epoch));
            let is_in_flight = self.in_flight.contains(&range.epoch);
            is_kept && !is_in_flight && due.is_none_or(|due| *due <= tick.now)
        };
        let mut due: Vec<Range> = self.durable.ranges.iter().filter(is_due).cloned().collect();
        due.sort_by_key(|range| self.due.get(&range.epoch).copied());
        let mut sent = 0;
        for range in due {
            // Ranges that can't be ordered at this moment must not keep the others waiting.
            if sent == MAX_ORDERS_PER_TICK {
                break;
            }
            let step = match &range.state {
                State::Held => self.renew(&range, tick),
                State::Moving(previous) => self.advance(&range, previous, tick, earlier_grants_end),
            };
            let Some((target, fence, operation)) = step else {
                continue;
            };
            if let Operation::Grant { hold, .. } = &operation {
                let end = self.grants_end.entry(target.clone()).or_default();
                *end = (*end).max(expiry(tick.now, *hold));
            }
            sent += 1;
            self.in_flight.insert(range.epoch);
            actions.push(Action::Send(Order {
                service: service.clone(),
                range_epoch: range.epoch,
                target,
                first: range.first,
                last: range.last,
                fence,
                operation,
            }));
        }
    }

    fn renew(&self, range: &Range, tick: &Tick<'_>) -> Option<(Incarnation, u64, Operation)> {
        if tick.is_current && self.must_leave(range, tick.fleet) {
            return None;
        }
        Some((range.owner.clone(), range.epoch, grant(tick.hold, None)))
    }

    /// Returns the next order of a move: a release of an earlier owner, or the first grant.
    fn advance(
        &mut self,
        range: &Range,
        previous: &[PreviousOwner],
        tick: &Tick<'_>,
        earlier_grants_end: Instant,
    ) -> Option<(Incarnation, u64, Operation)> {
        for earlier in previous {
            let target = &earlier.target;
            let cleared = |progress: &Progress| progress.cleared.contains(target);
            if self.moves.get(&range.epoch).is_some_and(cleared) {
                continue;
            }
            if !self.can_hold(target, tick, earlier_grants_end) {
                let progress = self.moves.entry(range.epoch).or_default();
                progress.cleared.insert(target.clone());
                continue;
            }
            return Some((target.clone(), earlier.fence, Operation::Release));
        }
        if self.must_leave(range, tick.fleet) {
            return None;
        }
        let progress = self.moves.entry(range.epoch).or_default();
        progress.is_granted = true;
        let handover = progress.handover.clone();
        Some((range.owner.clone(), range.epoch, grant(tick.hold, handover)))
    }

    /// Tells whether a target that has not released its keys may still hold them.
    fn can_hold(&self, target: &Incarnation, tick: &Tick<'_>, earlier_grants_end: Instant) -> bool {
        if self.ended.contains(target) || tick.is_current && is_replaced(target, tick.fleet) {
            return false;
        }
        let end = self.grants_end.get(target).copied().unwrap_or_default();
        // A target that answers is asked for a release; that is faster and returns a token.
        !self.is_unresponsive(target) || tick.now < end.max(earlier_grants_end)
    }

    fn plan(&mut self, service: &name::Service, tick: &Tick<'_>) -> Option<Assignment> {
        if let Some(confirmed) = self.confirmed() {
            return Some(confirmed);
        }
        let owners: Vec<plan::Owner> = tick
            .fleet
            .serving(service)
            .filter(|target| !self.is_unresponsive(&target.registration.incarnation))
            .map(|target| plan::Owner {
                target: target.registration.incarnation.clone(),
                is_cold: target.cold_until > tick.now,
            })
            .collect();
        if owners.is_empty() {
            return None;
        }
        if self.durable.ranges.is_empty() && self.awaits_targets(tick.now, owners.len()) {
            return None;
        }
        let none = Traffic::default();
        let traffic = tick.traffic.get(service).unwrap_or(&none);
        let may_balance = tick.now.since(self.balanced_at) >= BALANCE_INTERVAL;
        if may_balance {
            self.balanced_at = tick.now;
        }
        let input = plan::Input {
            owners: &owners,
            traffic,
            work_time: tick.work_time,
            must_leave: &|range| {
                self.must_leave(range, tick.fleet) && !self.in_flight.contains(&range.epoch)
            },
            may_balance,
        };
        let mut planned = plan::next(&self.durable, &input)?;
        self.drop_cleared_owners(&mut planned);
        Some(planned)
    }

    /// Tells whether further targets are awaited before the first assignment.
    fn awaits_targets(&mut self, now: Instant, count: usize) -> bool {
        let first = Discovery {
            since: now,
            grown_at: now,
            count,
        };
        let discovery = self.discovery.get_or_insert(first);
        if count > discovery.count {
            discovery.count = count;
            discovery.grown_at = now;
        }
        now.since(discovery.grown_at) < DISCOVERY_IDLE && now.since(discovery.since) < MAX_DISCOVERY
    }

    /// Drops the earlier owners that can't hold a range, and a last one that never got its grant.
    fn drop_cleared_owners(&self, planned: &mut Assignment) {
        for range in &mut planned.ranges {
            let old = self.durable.range(range.first);
            let Some(old) = old.filter(|old| old.epoch != range.epoch && !old.is_held()) else {
                continue;
            };
            let progress = self.moves.get(&old.epoch).cloned().unwrap_or_default();
            if let State::Moving(previous) = &mut range.state {
                previous.retain(|earlier| match earlier.target == old.owner {
                    true => progress.is_granted,
                    false => !progress.cleared.contains(&earlier.target),
                });
            }
        }
    }

    /// Returns the assignment with the granted moves completed.
    fn confirmed(&self) -> Option<Assignment> {
        let is_new = |range: &Range| {
            let progress = self.moves.get(&range.epoch);
            !range.is_held() && progress.is_some_and(|progress| progress.is_confirmed)
        };
        if !self.durable.ranges.iter().any(is_new) {
            return None;
        }
        let mut held = self.durable.clone();
        for range in held.ranges.iter_mut().filter(|range| is_new(range)) {
            range.state = State::Held;
        }
        Some(held)
    }

    fn must_leave(&self, range: &Range, fleet: &Fleet) -> bool {
        let owner = &range.owner;
        let known = fleet
            .get(&owner.id)
            .filter(|target| &target.registration.incarnation == owner);
        let serves = known.is_some_and(|target| fleet.is_serving(target));
        !serves
            || self.is_unresponsive(owner)
            || self.ended.contains(owner)
            || self.refused.contains(&range.epoch)
    }

    fn is_unresponsive(&self, target: &Incarnation) -> bool {
        self.unanswered
            .get(target)
            .is_some_and(|count| *count >= MAX_UNANSWERED)
    }

    fn confirm_write(&mut self) {
        let Some(written) = self.draft.take() else {
            return;
        };
        self.durable = written;
        let epochs: BTreeSet<u64> = self.durable.ranges.iter().map(|r| r.epoch).collect();
        self.moves.retain(|epoch, _| epochs.contains(epoch));
        self.refused.retain(|epoch| epochs.contains(epoch));
        self.due.retain(|epoch, _| epochs.contains(epoch));
    }

    fn record_response(&mut self, now: Instant, order: &Order, response: Response) {
        self.in_flight.remove(&order.range_epoch);
        match &response {
            Response::Silent => *self.unanswered.entry(order.target.clone()).or_default() += 1,
            _ => {
                self.unanswered.remove(&order.target);
            }
        }
        let delay = match &response {
            Response::Done(_) if order.operation != Operation::Release => {
                RENEWAL_INTERVAL + jitter(order.range_epoch)
            }
            Response::Done(_) => Span::ZERO,
            _ => RETRY_BACKOFF,
        };
        self.due.insert(order.range_epoch, now + delay);
        match (response, &order.operation) {
            (Response::Misdirected, _) => {
                self.ended.insert(order.target.clone());
            }
            (Response::Done(_), Operation::Grant { .. }) => {
                if let Some(progress) = self.moves.get_mut(&order.range_epoch) {
                    progress.is_confirmed = true;
                }
            }
            (Response::Done(handover), Operation::Release) => {
                let progress = self.moves.entry(order.range_epoch).or_default();
                progress.cleared.insert(order.target.clone());
                progress.handover = handover.or(progress.handover.take());
            }
            (Response::Refused, Operation::Grant { .. }) if self.is_current(order) => {
                self.refused.insert(order.range_epoch);
            }
            _ => {}
        }
    }
}

impl Partition {
    /// Tells whether an order is about a range as it is written now.
    fn is_current(&self, order: &Order) -> bool {
        let range = self.durable.range(order.first);
        range.is_some_and(|r| r.epoch == order.fence && r.last == order.last)
    }
}

/// Returns a part of the spread that differs between ranges.
fn jitter(epoch: u64) -> Span {
    Span(epoch.wrapping_mul(0x9e37_79b9_7f4a_7c15) % RENEWAL_JITTER.0)
}

fn grant(hold: Span, handover: Option<String>) -> Operation {
    Operation::Grant { hold, handover }
}

/// Tells whether a target's id or address belongs to a later life now, so that it has ended and
/// takes no grant any more.
///
/// An earlier life proves nothing: this host's view may be old. Nor does a later life with the same
/// id at the same address: it may have taken a grant that was meant for the earlier one, and
/// releases it when asked.
fn is_replaced(target: &Incarnation, fleet: &Fleet) -> bool {
    let mut registered = fleet
        .targets()
        .values()
        .map(|target| &target.registration.incarnation);
    registered.any(|other| {
        let shares_one = (other.id == target.id) != (other.address == target.address);
        shares_one && other.start_ms > target.start_ms && target.start_ms > 0
    })
}

impl Order {
    /// Returns the address that the order goes to.
    pub fn address(&self) -> SocketAddr {
        self.target.address
    }
}
