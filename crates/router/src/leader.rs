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
    assignment::{Assignment, Key, Previous, Range, State},
    fleet::Fleet,
    heat::Heat,
    plan,
    registration::Life,
};

/// Time after an answered grant at which it is renewed.
const RENEWAL: Span = Span::from_millis(1_000);
/// Orders of one service that are sent at once. A host with a small share of a core can't handle
/// the answers of hundreds of targets in time.
const MOST_ORDERS: usize = 24;
/// Time by which renewals differ, so that they don't fall together.
const SPREAD: Span = Span::from_millis(300);
/// Time after an unanswered order at which it is repeated.
const REPETITION: Span = Span::from_millis(300);
/// Orders in a row without an answer after which a target loses its keys.
const MOST_SILENT: u32 = 3;
/// Time without a new target after which keys are assigned for the first time.
const GATHERING: Span = Span::from_millis(1_500);
/// Longest time from the first target to the first assignment.
const MOST_GATHERING: Span = Span::from_millis(4_000);
/// Time between two looks at the balance.
const BALANCE_PAUSE: Span = Span::from_millis(400);
/// Drift of a target's clock in percent.
const DRIFT_PERCENT: u64 = 2;
/// Longest time until a grant has arrived: 400 ms to connect and 400 ms until its connection is
/// reset, and a margin.
const GRANT_MARGIN: Span = Span::from_millis(850);

/// What a target is ordered to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verb {
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
    pub range: u64,
    /// Target that gets the order.
    pub life: Life,
    /// First key.
    pub first: Key,
    /// Last key.
    pub last: Key,
    /// Fencing token of the order.
    pub fence: u64,
    /// What is ordered.
    pub verb: Verb,
}

/// A target's answer to an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answer {
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
    pub heat: &'a BTreeMap<name::Service, Heat>,
    /// Time that a target works on a request; only the proportions matter.
    pub work: &'a dyn Fn(&Life) -> f64,
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
    earlier_until: Instant,
}

/// Returns when a grant that is sent now has run out at its target.
pub fn expiry(now: Instant, hold: Span) -> Instant {
    now + hold.scale(100 + DRIFT_PERCENT, 100) + GRANT_MARGIN
}

impl Leader {
    /// Creates the leader from the assignments in the log. Grants of an earlier leader may be in
    /// force until `earlier_until`.
    pub fn new(assignments: &BTreeMap<name::Service, Assignment>, earlier_until: Instant) -> Self {
        let partition = |(service, assignment): (&name::Service, &Assignment)| {
            (service.clone(), Partition::new(assignment.clone()))
        };
        Self {
            partitions: assignments.iter().map(partition).collect(),
            earlier_until,
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
            partition.tick(service, tick, self.earlier_until, &mut actions);
        }
        actions
    }

    /// Notes that an assignment is in the log.
    pub fn written(&mut self, service: &name::Service) {
        if let Some(partition) = self.partitions.get_mut(service) {
            partition.written();
        }
    }

    /// Replaces an assignment by what the log holds after a write without an answer.
    pub fn reload(&mut self, service: &name::Service, assignment: Assignment) {
        let partition = self.partitions.entry(service.clone()).or_default();
        partition.durable = assignment;
        partition.draft = None;
    }

    /// Notes the answer to an order.
    pub fn answer(&mut self, now: Instant, order: &Order, answer: Answer) {
        if let Some(partition) = self.partitions.get_mut(&order.service) {
            partition.answer(now, order, answer);
        }
    }
}

/// How far the move of one range is.
#[derive(Clone, Debug, Default)]
struct Progress {
    /// Earlier owners that can't hold the keys any more.
    cleared: BTreeSet<Life>,
    /// Token of the last release, with which the keys are not cold.
    handover: Option<String>,
    /// Whether the new owner may have got its grant.
    is_granted: bool,
    /// Whether the new owner has answered its grant.
    is_confirmed: bool,
}

/// Targets that registered before the first assignment.
#[derive(Clone, Copy, Debug)]
struct Gathering {
    since: Instant,
    grown: Instant,
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
    busy: BTreeSet<u64>,
    /// When the last grant to a target has run out.
    until: BTreeMap<Life, Instant>,
    /// Orders in a row that a target has not answered.
    silent: BTreeMap<Life, u32>,
    /// Targets that can't hold keys any more.
    ended: BTreeSet<Life>,
    gathering: Option<Gathering>,
    /// When the balance was last looked at.
    balanced: Instant,
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
        let mut owners: BTreeSet<&Life> = self.durable.ranges.iter().map(|r| &r.owner).collect();
        let moving = self
            .durable
            .ranges
            .iter()
            .filter_map(|range| match &range.state {
                State::Held => None,
                State::Moving(previous) => Some(previous),
            });
        owners.extend(moving.flatten().map(|previous| &previous.life));
        let silent = |life: &&&Life| self.silent.get(**life).is_some_and(|n| *n >= MOST_SILENT);
        owners.len() >= 3 && owners.iter().filter(silent).count() * 2 > owners.len()
    }

    fn tick(
        &mut self,
        service: &name::Service,
        tick: &Tick<'_>,
        earlier_until: Instant,
        actions: &mut Vec<Action>,
    ) {
        self.order(service, tick, earlier_until, actions);
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
    fn order(
        &mut self,
        service: &name::Service,
        tick: &Tick<'_>,
        earlier_until: Instant,
        actions: &mut Vec<Action>,
    ) {
        let draft = self.draft.as_ref();
        let kept = draft.map(|draft| draft.ranges.iter().map(|range| range.epoch).collect());
        let kept: Option<BTreeSet<u64>> = kept;
        let is_due = |range: &&Range| {
            let due = self.due.get(&range.epoch);
            // The change that is being written does not count a grant that is sent meanwhile.
            let is_kept = kept.as_ref().is_none_or(|kept| kept.contains(&range.epoch));
            let is_busy = self.busy.contains(&range.epoch);
            is_kept && !is_busy && due.is_none_or(|due| *due <= tick.now)
        };
        let mut due: Vec<Range> = self.durable.ranges.iter().filter(is_due).cloned().collect();
        due.sort_by_key(|range| self.due.get(&range.epoch).copied());
        let mut sent = 0;
        for range in due {
            // Ranges that can't be ordered at this moment must not keep the others waiting.
            if sent == MOST_ORDERS {
                break;
            }
            let step = match &range.state {
                State::Held => self.renewal(&range, tick),
                State::Moving(previous) => self.advance(&range, previous, tick, earlier_until),
            };
            let Some((life, fence, verb)) = step else {
                continue;
            };
            if let Verb::Grant { hold, .. } = &verb {
                let until = self.until.entry(life.clone()).or_default();
                *until = (*until).max(expiry(tick.now, *hold));
            }
            sent += 1;
            self.busy.insert(range.epoch);
            actions.push(Action::Send(Order {
                service: service.clone(),
                range: range.epoch,
                life,
                first: range.first,
                last: range.last,
                fence,
                verb,
            }));
        }
    }

    fn renewal(&self, range: &Range, tick: &Tick<'_>) -> Option<(Life, u64, Verb)> {
        if tick.is_current && self.must_leave(range, tick.fleet) {
            return None;
        }
        Some((range.owner.clone(), range.epoch, grant(tick.hold, None)))
    }

    /// Returns the next order of a move: a release of an earlier owner, or the first grant.
    fn advance(
        &mut self,
        range: &Range,
        previous: &[Previous],
        tick: &Tick<'_>,
        earlier_until: Instant,
    ) -> Option<(Life, u64, Verb)> {
        for earlier in previous {
            let life = &earlier.life;
            let cleared = |progress: &Progress| progress.cleared.contains(life);
            if self.moves.get(&range.epoch).is_some_and(cleared) {
                continue;
            }
            if !self.can_hold(life, tick, earlier_until) {
                let progress = self.moves.entry(range.epoch).or_default();
                progress.cleared.insert(life.clone());
                continue;
            }
            return Some((life.clone(), earlier.fence, Verb::Release));
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
    fn can_hold(&self, life: &Life, tick: &Tick<'_>, earlier_until: Instant) -> bool {
        if self.ended.contains(life) || tick.is_current && is_replaced(life, tick.fleet) {
            return false;
        }
        let until = self.until.get(life).copied().unwrap_or_default();
        // A target that answers is asked for a release; that is faster and returns a token.
        !self.is_silent(life) || tick.now < until.max(earlier_until)
    }

    fn plan(&mut self, service: &name::Service, tick: &Tick<'_>) -> Option<Assignment> {
        if let Some(held) = self.held() {
            return Some(held);
        }
        let owners: Vec<plan::Owner> = tick
            .fleet
            .serving(service)
            .filter(|target| !self.is_silent(&target.registration.life))
            .map(|target| plan::Owner {
                life: target.registration.life.clone(),
                is_cold: target.cold_until > tick.now,
            })
            .collect();
        if owners.is_empty() {
            return None;
        }
        if self.durable.ranges.is_empty() && self.gathers(tick.now, owners.len()) {
            return None;
        }
        let unknown = Heat::default();
        let heat = tick.heat.get(service).unwrap_or(&unknown);
        let may_balance = tick.now.since(self.balanced) >= BALANCE_PAUSE;
        if may_balance {
            self.balanced = tick.now;
        }
        let input = plan::Input {
            owners: &owners,
            heat,
            work: tick.work,
            must_leave: &|range| {
                self.must_leave(range, tick.fleet) && !self.busy.contains(&range.epoch)
            },
            may_balance,
        };
        let mut planned = plan::next(&self.durable, &input)?;
        self.drop_cleared(&mut planned);
        Some(planned)
    }

    /// Tells whether further targets are awaited before the first assignment.
    fn gathers(&mut self, now: Instant, count: usize) -> bool {
        let first = Gathering {
            since: now,
            grown: now,
            count,
        };
        let gathering = self.gathering.get_or_insert(first);
        if count > gathering.count {
            gathering.count = count;
            gathering.grown = now;
        }
        now.since(gathering.grown) < GATHERING && now.since(gathering.since) < MOST_GATHERING
    }

    /// Drops the earlier owners that can't hold a range, and a last one that never got its grant.
    fn drop_cleared(&self, planned: &mut Assignment) {
        for range in &mut planned.ranges {
            let old = self.durable.range(range.first);
            let Some(old) = old.filter(|old| old.epoch != range.epoch && !old.is_held()) else {
                continue;
            };
            let progress = self.moves.get(&old.epoch).cloned().unwrap_or_default();
            if let State::Moving(previous) = &mut range.state {
                previous.retain(|earlier| match earlier.life == old.owner {
                    true => progress.is_granted,
                    false => !progress.cleared.contains(&earlier.life),
                });
            }
        }
    }

    /// Returns the assignment with the granted moves completed.
    fn held(&self) -> Option<Assignment> {
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
        let life = &range.owner;
        let known = fleet
            .get(&life.id)
            .filter(|target| &target.registration.life == life);
        let serves = known.is_some_and(|target| fleet.is_serving(target));
        !serves
            || self.is_silent(life)
            || self.ended.contains(life)
            || self.refused.contains(&range.epoch)
    }

    fn is_silent(&self, life: &Life) -> bool {
        self.silent
            .get(life)
            .is_some_and(|count| *count >= MOST_SILENT)
    }

    fn written(&mut self) {
        let Some(written) = self.draft.take() else {
            return;
        };
        self.durable = written;
        let epochs: BTreeSet<u64> = self.durable.ranges.iter().map(|r| r.epoch).collect();
        self.moves.retain(|epoch, _| epochs.contains(epoch));
        self.refused.retain(|epoch| epochs.contains(epoch));
        self.due.retain(|epoch, _| epochs.contains(epoch));
    }

    fn answer(&mut self, now: Instant, order: &Order, answer: Answer) {
        self.busy.remove(&order.range);
        match &answer {
            Answer::Silent => *self.silent.entry(order.life.clone()).or_default() += 1,
            _ => {
                self.silent.remove(&order.life);
            }
        }
        let pause = match &answer {
            Answer::Done(_) if order.verb != Verb::Release => RENEWAL + spread(order.range),
            Answer::Done(_) => Span::ZERO,
            _ => REPETITION,
        };
        self.due.insert(order.range, now + pause);
        match (answer, &order.verb) {
            (Answer::Misdirected, _) => {
                self.ended.insert(order.life.clone());
            }
            (Answer::Done(_), Verb::Grant { .. }) => {
                if let Some(progress) = self.moves.get_mut(&order.range) {
                    progress.is_confirmed = true;
                }
            }
            (Answer::Done(handover), Verb::Release) => {
                let progress = self.moves.entry(order.range).or_default();
                progress.cleared.insert(order.life.clone());
                progress.handover = handover.or(progress.handover.take());
            }
            (Answer::Refused, Verb::Grant { .. }) if self.is_current(order) => {
                self.refused.insert(order.range);
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
fn spread(epoch: u64) -> Span {
    Span(epoch.wrapping_mul(0x9e37_79b9_7f4a_7c15) % SPREAD.0)
}

fn grant(hold: Span, handover: Option<String>) -> Verb {
    Verb::Grant { hold, handover }
}

/// Tells whether a target's id or address belongs to a later life now, so that it has ended and
/// takes no grant any more.
///
/// An earlier life proves nothing: this host's view may be old. Nor does a later life with the same
/// id at the same address: it may have taken a grant that was meant for the earlier one, and
/// releases it when asked.
fn is_replaced(life: &Life, fleet: &Fleet) -> bool {
    let mut lives = fleet
        .targets()
        .values()
        .map(|target| &target.registration.life);
    lives.any(|other| {
        let shares_one = (other.id == life.id) != (other.address == life.address);
        shares_one && other.born > life.born && life.born > 0
    })
}

impl Order {
    /// Returns the address that the order goes to.
    pub fn address(&self) -> SocketAddr {
        self.life.address
    }
}
