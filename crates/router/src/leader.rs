//! Ownership of keys as the leading host manages it: grants to targets and moves between them.
//!
//! Every change is written to the log before the first order that depends on it. A range moves in
//! three steps: the change is written; each previous owner releases the keys, or its last possible
//! grant expires; the new owner gets its grant. A release carries a higher epoch than the grants of
//! the previous owner, which therefore refuses a grant that arrives after the release.

mod partition;

use std::{collections::BTreeMap, net::SocketAddr};

use ragwortrill_core::{
    name,
    rate_limit::Rate,
    time::{Instant, Span},
};

use self::partition::Partition;
use crate::{
    assignment::{Assignment, Key, PreviousOwner, Range},
    fleet::Fleet,
    registration::Incarnation,
    traffic::Traffic,
};

/// Maximum drift of a target's clock, in percent.
const CLOCK_DRIFT_PERCENT: u64 = 2;
/// Maximum time from the plan of a grant until it arrives at its target: 400 ms until it is sent, 400 ms
/// until its connection is reset, and a margin.
pub const MAX_GRANT_DELAY: Span = Span::from_millis(850);

/// What an order requires its target to do with the keys.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Operation {
    /// Own the keys for a limited time.
    Grant {
        /// Lifetime of the grant, from its arrival at the target.
        hold: Span,
        /// Token from the previous owner's release; with it, the keys are not cold.
        handover: Option<String>,
    },
    /// Stop owning the keys.
    Release,
}

/// A command to a target about a range of keys.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// Service that the keys belong to.
    pub service: name::Service,
    /// Epoch that identifies the range for which the order is sent.
    pub range_epoch: u64,
    /// Target that the order is sent to.
    pub target: Incarnation,
    /// First key of the range.
    pub first: Key,
    /// Last key of the range, included.
    pub last: Key,
    /// Fencing token: the target refuses the order if it has seen a higher epoch.
    pub fence: u64,
    /// Whether the keys are granted or released.
    pub operation: Operation,
    /// Whether it renews a grant that the target has confirmed.
    pub is_renewal: bool,
    /// Whether keys may move to another target because of its answer: a release, or a grant that confirms
    /// a recovered range.
    pub is_decisive: bool,
}

/// A target's response to an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Response {
    /// The target carried out the order. A release may return a handover token for the next owner.
    Done(Option<String>),
    /// The target has seen a higher epoch.
    Refused,
    /// Another target uses the address.
    Misdirected,
    /// No response arrived. The target may still carry out the order later.
    Silent,
    /// A response arrived that may answer another order. The target may still carry out this one.
    Unattributed,
    /// No response arrived, since this host has lost its link to the target. Other hosts reach it.
    Unreached,
    /// The order was not sent, since it was too old or this host did not lead any more.
    Unsent,
}

/// Evidence that a previous owner can't hold the keys of a range any more.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Evidence {
    /// It answered the release.
    Released,
    /// Another process answered at its address.
    Ended,
    /// It does not answer, and its last possible grant has expired.
    Expired,
}

/// A previous owner that can't hold the keys of a moving range any more.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Clearance {
    /// Service that the keys belong to.
    pub service: name::Service,
    /// Epoch of the range.
    pub range_epoch: u64,
    /// First key of the range.
    pub first: Key,
    /// Last key of the range, included.
    pub last: Key,
    /// The previous owner.
    pub owner: PreviousOwner,
    /// Why it can't hold the keys.
    pub evidence: Evidence,
}

/// An effect that the leader requests from its host.
#[derive(Clone, Debug)]
pub enum Action {
    /// Log that a previous owner can't hold the keys of a range any more.
    Log(Clearance),
    /// Write the changed ranges of services to the log, atomically.
    Write(BTreeMap<name::Service, Vec<Range>>),
    /// Send an order to its target.
    Send(Order),
    /// Give up leadership, since most owners of keys do not respond to this host.
    Resign,
}

/// Input of one tick.
pub struct Tick<'a> {
    /// Current time.
    pub now: Instant,
    /// Targets known to this host.
    pub fleet: &'a Fleet,
    /// Request counts by key, per service.
    pub traffic: &'a BTreeMap<name::Service, Traffic>,
    /// Time that a target takes to process a request, in microseconds.
    pub work_time: &'a dyn Fn(&Incarnation) -> f64,
    /// Requests per second that a target states as its limit.
    pub rate_limit: &'a dyn Fn(&Incarnation) -> Option<Rate>,
    /// Services whose keys are assigned to targets.
    pub services: &'a [name::Service],
    /// Lifetime of the grants that are sent.
    pub hold: Span,
    /// Whether the view of the targets is up to date. If it is not, no move is started.
    pub is_current: bool,
    /// Lowest epoch that may be allocated.
    pub min_epoch: u64,
}

/// State machine that manages the keys of all partitioned services.
#[derive(Clone, Debug)]
pub struct Leader {
    partitions: BTreeMap<name::Service, Partition>,
    /// Time at which the last grant of an earlier leader expires.
    earlier_grants_end: Instant,
    /// Whether no order is sent until the view of the targets is up to date.
    awaits_targets: bool,
}

/// Returns the latest time at which a grant that is sent now expires at its target.
pub fn expiry(now: Instant, hold: Span) -> Instant {
    now + hold.scale(100 + CLOCK_DRIFT_PERCENT, 100) + MAX_GRANT_DELAY
}

impl Leader {
    /// Creates the leader from the assignments in the log. Grants of an earlier leader may be valid
    /// until `earlier_grants_end`.
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
            awaits_targets: false,
        }
    }

    /// Makes the leader wait for an up-to-date view of the targets before its first order.
    ///
    /// Assignments that hosts remembered may be older than the last grants. An owner that released
    /// its keys since refuses their renewal, but not if it has restarted.
    ///
    /// Unless the assignments are known to be complete, a range whose owner does not confirm it may
    /// belong to an unknown target until every earlier grant has ended.
    #[must_use]
    pub fn recovered(mut self, is_complete: bool) -> Self {
        self.awaits_targets = true;
        if !is_complete {
            let partitions = self.partitions.values_mut();
            partitions.for_each(Partition::distrust);
        }
        self
    }

    /// Returns the actions that are due.
    pub fn tick(&mut self, tick: &Tick<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.awaits_targets &= !tick.is_current;
        if self.awaits_targets {
            return actions;
        }
        for service in tick.services {
            let partition = self.partitions.entry(service.clone()).or_default();
            if partition.is_isolated(tick) {
                return vec![Action::Resign];
            }
            partition.issue_orders(service, tick, self.earlier_grants_end, &mut actions);
            actions.extend(partition.take_clearances());
        }
        let changes = self.plan(tick);
        if !changes.is_empty() {
            actions.push(Action::Write(changes));
        }
        actions
    }

    /// Plans the next change of each service. While a change is being written nothing is planned, since
    /// each write is conditional on the end of the log.
    fn plan(&mut self, tick: &Tick<'_>) -> BTreeMap<name::Service, Vec<Range>> {
        let mut changes = BTreeMap::new();
        if !tick.is_current || self.partitions.values().any(Partition::is_writing) {
            return changes;
        }
        for service in tick.services {
            let partition = self.partitions.entry(service.clone()).or_default();
            let changed = partition.draft_change(service, tick, self.earlier_grants_end);
            if let Some(changed) = changed {
                changes.insert(service.clone(), changed);
            }
        }
        changes
    }

    /// Records that the ranges of the last [`Action::Write`] are in the log.
    pub fn confirm_write(&mut self) {
        self.partitions
            .values_mut()
            .for_each(Partition::confirm_write);
    }

    /// Replaces all assignments by the contents of the log, after a write that failed or whose
    /// outcome is unknown. The write must not be executed any more: the next changes count on the
    /// orders that were sent by these assignments.
    pub fn reload(&mut self, assignments: &BTreeMap<name::Service, Assignment>) {
        for (service, partition) in &mut self.partitions {
            let assignment = assignments.get(service).cloned().unwrap_or_default();
            partition.reload(assignment);
        }
    }

    /// Records the response to an order.
    pub fn record_response(&mut self, now: Instant, order: &Order, response: Response) {
        if let Some(partition) = self.partitions.get_mut(&order.service) {
            partition.record_response(now, order, response);
        }
    }
}

impl Order {
    /// Returns the address that the order is sent to.
    pub fn address(&self) -> SocketAddr {
        self.target.address
    }
}
