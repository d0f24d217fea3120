//! One process of the model: its ledger, its `Ownership` and the messages in flight to it.

use std::{
    collections::{BTreeMap, BTreeSet},
    hash::Hash,
    rc::Rc,
};

use ragwortrill_core::{
    contract,
    number::Epoch,
    ownership::Ownership,
    process::Process,
    record::{Id, Record},
    time::{Instant, Span},
    times::Times,
};

use xxhash_rust::xxh3::Xxh3;

use super::{
    log::Node,
    rule::Rule,
    world::{World, owner, request},
};

/// Progress of one process with a request.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub(crate) enum Attempt {
    /// The process has done nothing for the request.
    #[default]
    None,
    /// The intent is submitted.
    Submitted(Id),
    /// The intent permits the request under an epoch of this process.
    Permitted(Epoch),
    /// The request was sent.
    Sent,
    /// The request was refused as not run.
    Refused,
    /// The request was answered as one whose outcome is unknown.
    Unknown,
}

/// State of one process.
#[derive(Clone)]
pub(crate) struct Daemon {
    pub(crate) index: usize,
    pub(crate) is_alive: bool,
    pub(crate) at: Rc<Node>,
    pub(crate) ownership: Ownership,
    pub(crate) serial: u32,
    /// Answer to a read in flight: the log at the time of the answer, and the read's send time.
    pub(crate) read: Option<(Rc<Node>, Instant)>,
    /// Promises in flight by standby: requested epochs, withheld epochs and the heartbeat's send
    /// time.
    pub(crate) promises: BTreeMap<Process, (Vec<Epoch>, Vec<Epoch>, Instant)>,
    /// Submission times of claims.
    pub(crate) claimed: BTreeMap<Id, Instant>,
    /// Slices that are not served because their move is submitted.
    pub(crate) moving: BTreeMap<Id, usize>,
    pub(crate) attempts: [Attempt; 2],
    /// Targets and epochs whose check passed at most one tick ago.
    pub(crate) checked: BTreeSet<(usize, Epoch)>,
    pub(crate) fault: Option<&'static str>,
    /// Hash of all other fields, set when the daemon is shared between states.
    pub(crate) key: u128,
}

impl Daemon {
    pub(crate) fn new(index: usize, process: Process, at: &Rc<Node>) -> Self {
        Self {
            index,
            is_alive: true,
            at: Rc::clone(at),
            ownership: Ownership::new(process),
            serial: 0,
            read: None,
            promises: BTreeMap::new(),
            claimed: BTreeMap::new(),
            moving: BTreeMap::new(),
            attempts: [Attempt::None; 2],
            checked: BTreeSet::new(),
            fault: None,
            key: 0,
        }
    }

    /// Returns the hash of all fields but the key.
    pub(crate) fn identity(&self) -> u128 {
        let mut hasher = Xxh3::new();
        let h = &mut hasher;
        (self.index, self.is_alive, self.serial).hash(h);
        (self.at.offset, self.at.ledger.hash()).hash(h);
        self.ownership.hash(h);
        let read = self.read.as_ref();
        read.map(|(node, sent)| (node.offset, node.ledger.hash(), *sent))
            .hash(h);
        (&self.promises, &self.claimed, &self.moving).hash(h);
        (self.attempts, &self.checked, self.fault).hash(h);
        hasher.digest128()
    }

    pub(crate) fn process(&self) -> &Process {
        self.ownership.process()
    }

    /// Returns the epoch under which this process may act on a target, by its own clock.
    pub(crate) fn epoch(&self, world: &World, target: usize, now: Instant) -> Option<Epoch> {
        if !self.is_alive {
            return None;
        }
        let name = &world.targets[target];
        if world.omits(Rule::LEASE_CHECK) {
            let held = self.ownership.held().get(name)?;
            return (held.active_from <= now && !held.stopped).then_some(held.epoch);
        }
        if world.omits(Rule::OUTSIDER_LIMIT) {
            let times = Times {
                outsider_wait: Span::from_secs(1),
                ..world.times.clone()
            };
            return self.ownership.epoch(name, now, &times);
        }
        self.ownership.epoch(name, now, &world.times)
    }

    /// Returns the epochs of a target under which a request may be sent now: those whose lease
    /// check passes, or passed at most one tick ago.
    pub(crate) fn sends(&self, world: &World, target: usize, now: Instant) -> BTreeSet<Epoch> {
        let checked = self.checked.iter().filter(|(t, _)| *t == target);
        let checked = checked.map(|(_, epoch)| *epoch);
        checked.chain(self.epoch(world, target, now)).collect()
    }

    /// Returns the target at which this process serves a slice, if it does.
    pub(crate) fn serves(&self, world: &World, slice: usize, now: Instant) -> Option<usize> {
        let owner = owner(&self.at.ledger, slice)?;
        let target = world.targets.iter().position(|name| name == owner)?;
        let moving = self.moving.values().any(|moving| *moving == slice);
        self.epoch(world, target, now).filter(|_| !moving)?;
        Some(target)
    }

    /// Returns all epochs that this process holds.
    pub(crate) fn epochs(&self) -> Vec<Epoch> {
        self.ownership.held().values().map(|h| h.epoch).collect()
    }

    /// Returns the requested epochs that this process gives no promise for.
    pub(crate) fn withheld(&self, world: &World, requested: &[Epoch]) -> Vec<Epoch> {
        if world.omits(Rule::WITHHELD) {
            return Vec::new();
        }
        let mut withheld = self.ownership.withheld(requested);
        if world.omits(Rule::TAKEN) && !world.targets.iter().any(|t| self.ownership.is_claiming(t))
        {
            withheld.clear();
        }
        withheld
    }

    /// Handles the answer to a read of the log.
    pub(crate) fn catch_up(&mut self, world: &World, head: &Rc<Node>, sent: Instant, now: Instant) {
        for node in head.since(self.at.offset) {
            self.follow(world, &node, now);
        }
        let proof = if world.omits(Rule::PROOF_TIME) {
            now
        } else {
            sent
        };
        self.ownership.add_proof(proof);
    }

    fn follow(&mut self, world: &World, node: &Rc<Node>, now: Instant) {
        let entry = &node.entry;
        let mut ledger = self.at.ledger.clone();
        ledger.apply(node.offset, entry);
        if ledger.hash() != node.ledger.hash() || ledger != node.ledger {
            self.fault = Some("two processes at the same offset have different ledgers");
        }
        let submitted = self.claimed.remove(&entry.id);
        let submitted = submitted.filter(|_| world.omits(Rule::WAIT_START));
        let times = self.wait_times(world, node);
        let wait_start = submitted.unwrap_or(now);
        self.ownership
            .apply(wait_start, node.offset, entry, &ledger, &times);
        self.moving.remove(&entry.id);
        self.apply_intent(world, node);
        self.at = Rc::clone(node);
    }

    fn apply_intent(&mut self, world: &World, node: &Node) {
        let Record::Intent { epoch, .. } = &node.entry.record else {
            return;
        };
        for (index, attempt) in self.attempts.iter_mut().enumerate() {
            if *attempt != Attempt::Submitted(node.entry.id) {
                continue;
            }
            let intent = node.ledger.intent(&request(index));
            let created = intent.is_some_and(|intent| intent.offset == node.offset);
            *attempt = match created || world.omits(Rule::INTENT_ONCE) {
                true => Attempt::Permitted(*epoch),
                false => Attempt::Unknown,
            };
        }
    }

    /// Returns the time limits for the wait after a claim, without the part of a left-out rule.
    fn wait_times(&self, world: &World, node: &Node) -> Times {
        let mut times = world.times.clone();
        if world.omits(Rule::TAKEOVER_WAIT) {
            (times.lease, times.margin) = (Span::ZERO, Span::ZERO);
        } else if world.omits(Rule::OUTSIDER_WAIT) {
            times.outsider_wait = times.short_wait();
        } else if world.omits(Rule::DRIFT) {
            times.drift_ppm = 0;
        } else if world.omits(Rule::MARGIN) {
            times.margin = Span::ZERO;
        } else if world.omits(Rule::INHERITED_WAIT)
            && let Record::Claim { targets, .. } = &node.entry.record
        {
            let ledger = &self.at.ledger;
            let mut previous = ledger.contracts().get(&targets[0].0).cloned();
            previous.iter_mut().for_each(|c| c.confirmed = true);
            let lost = previous
                .as_ref()
                .is_some_and(|c| ledger.lost().contains(&c.holder));
            let wait = contract::wait(previous.as_ref(), self.process(), lost);
            let span = wait.span(&times);
            (times.outsider_wait, times.lease, times.margin) = (span, span, Span::ZERO);
            times.drift_ppm = 0;
        }
        times
    }

    /// Handles a promise of a standby.
    pub(crate) fn add_promise(
        &mut self,
        world: &World,
        peer: &Process,
        (requested, withheld, sent): &(Vec<Epoch>, Vec<Epoch>, Instant),
        now: Instant,
    ) {
        let sent = if world.omits(Rule::PROMISE_TIME) {
            now
        } else {
            *sent
        };
        let mut peers = vec![peer.clone()];
        if world.omits(Rule::UNANIMOUS) {
            let held = self.ownership.held().values();
            peers = held.flat_map(|h| h.standbys().to_vec()).collect();
        }
        for peer in &peers {
            self.ownership.add_promise(peer, sent, requested, withheld);
        }
    }
}
