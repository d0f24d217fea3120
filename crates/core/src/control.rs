//! Control of a node: heartbeats, claims, standbys, probes, grants, moves and shutdown.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    action::Action,
    contract::Contract,
    desk::Desk,
    event::{Grant, Message},
    handover::Handover,
    ledger::{Effect, Peer},
    name,
    node::{Node, Phase},
    number::{Epoch, Slice},
    placement,
    process::Process,
    record::{self, Record, Share, State},
    time::{Instant, Span},
};

/// Standbys that a contract names.
const STANDBYS: usize = 2;

/// Time between two ticks from which this process counts as paused.
const PAUSE: Span = Span::from_millis(500);

/// Time for which a stopping daemon still takes requests, so that the balancer can notice.
pub const DRAIN_NOTICE: Span = Span::from_secs(2);

impl Node {
    pub(crate) fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.detect_pause(now);
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + self.config.times.heartbeat;
            self.send_heartbeats(now, actions);
            self.claim(now, actions);
            self.rename(now, actions);
            self.snapshot(now, actions);
        }
        self.watch_targets(now, actions);
        self.hand_over(now, actions);
        self.expire(now, actions);
        self.route_waiting(now, actions);
        self.shut_down(now, actions);
    }

    /// Restarts all timeouts after a pause of this process: peers and targets could not be heard.
    fn detect_pause(&mut self, now: Instant) {
        if now.since(self.ticked) > PAUSE {
            self.view.restart(now);
            self.desks.values_mut().for_each(|desk| desk.restart(now));
            self.claimable.clear();
        }
        self.ticked = now;
    }

    fn send_heartbeats(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let times = &self.config.times;
        let desks = self.desks.iter();
        let lost: Vec<_> = desks
            .filter(|(_, desk)| desk.is_lost(now, times))
            .map(|(target, _)| target.clone())
            .collect();
        let peers: Vec<Process> = self.peers().map(|peer| peer.process.clone()).collect();
        for peer in peers {
            let message = Message::Heartbeat {
                sent: now,
                offset: self.ledger.offset(),
                hash: self.ledger.hash(),
                epochs: self.epochs_with_standby(&peer),
                lost: lost.clone(),
            };
            self.tell(&peer, message, actions);
        }
    }

    fn epochs_with_standby(&self, peer: &Process) -> Vec<Epoch> {
        let held = self.ownership.held().values();
        let named =
            held.filter(|h| h.standbys().contains(peer) || self.ownership.is_renaming(h.epoch));
        let epochs: BTreeSet<Epoch> = named.map(|h| h.epoch).collect();
        epochs.into_iter().collect()
    }

    fn peers(&self) -> impl Iterator<Item = &Peer> {
        let peers = self.ledger.processes().values();
        peers.filter(|p| {
            p.process != self.config.process && !self.ledger.lost().contains(&p.process)
        })
    }

    /// Returns the processes that may hold contracts: heard, in service, not known to be lost.
    pub(crate) fn candidates(&self, now: Instant) -> Vec<&Peer> {
        let live = |p: &&Peer| {
            p.process == self.config.process && self.stopping.is_none()
                || self.hears(&p.process, now)
        };
        let in_service = |p: &&Peer| {
            self.ledger.host(&p.process.host) == State::In
                && self.ledger.data_centre(&p.data_centre) == State::In
                && !self.ledger.lost().contains(&p.process)
        };
        let peers = self.ledger.processes().values();
        peers.filter(live).filter(in_service).collect()
    }

    /// Returns this process's rank among the candidates for a target, best first, from 0.
    fn rank(&self, target: &name::Target, candidates: &[&Peer]) -> Option<u64> {
        let row = self.ledger.table().target(target);
        let home = row.map(|(_, _, row)| &row.data_centre);
        let (near, far): (Vec<_>, Vec<_>) = candidates
            .iter()
            .partition(|peer| Some(&peer.data_centre) == home);
        let ranked = |peers: Vec<&&Peer>| {
            placement::rank(
                target.as_str(),
                peers.into_iter().map(|p| p.process.clone()),
            )
        };
        let mut order = ranked(near).into_iter().chain(ranked(far));
        order
            .position(|process| process == self.config.process)
            .map(|rank| rank as u64)
    }

    /// Returns the standbys that this process would name now: in other data centres if possible.
    fn choose_standbys(&self, now: Instant) -> Vec<Process> {
        let candidates = self.candidates(now);
        let others = candidates
            .iter()
            .filter(|p| p.process != self.config.process);
        let zones: BTreeMap<&Process, &name::DataCentre> =
            others.map(|p| (&p.process, &p.data_centre)).collect();
        let subject = self.config.process.to_string();
        let mut ranked = placement::rank(&subject, zones.keys().map(|p| (*p).clone()));
        let mut used = vec![&self.config.data_centre];
        let mut chosen = Vec::new();
        while chosen.len() < STANDBYS && !ranked.is_empty() {
            let fresh = ranked.iter().position(|p| !used.contains(&zones[p]));
            let process = ranked.remove(fresh.unwrap_or(0));
            used.push(zones[&process]);
            chosen.push(process);
        }
        chosen
    }

    fn claim(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if !self.is_reading(now) || !self.started || self.stopping.is_some() {
            return;
        }
        let candidates = self.candidates(now);
        let mut due = Vec::new();
        let mut claimable = BTreeMap::new();
        for target in self.subjects() {
            let contract = self.ledger.contracts().get(&target);
            if self.ownership.is_claiming(&target) || !self.is_claimable(now, contract) {
                continue;
            }
            let since = *self.claimable.get(&target).unwrap_or(&now);
            claimable.insert(target.clone(), since);
            let Some(turn) = self.turn(&target, contract, &candidates) else {
                continue;
            };
            let delay = Span(self.config.times.second_standby.0 * turn);
            if now.since(since) >= delay {
                due.push((target, contract.map(|c| c.epoch)));
            }
        }
        self.claimable = claimable;
        if !due.is_empty() {
            let id = self.next_entry();
            let standbys = self.choose_standbys(now);
            let record = self.ownership.claim(id, due, standbys);
            self.append_as(id, "target has no live holder", record, actions);
        }
    }

    /// Returns all targets that need a holder.
    fn subjects(&self) -> BTreeSet<name::Target> {
        let rows = self.ledger.table().services.values();
        let named = rows.flat_map(|row| row.targets.keys());
        named
            .chain(self.ledger.contracts().keys())
            .cloned()
            .collect()
    }

    fn is_claimable(&self, now: Instant, contract: Option<&Contract>) -> bool {
        contract.is_none_or(|contract| {
            contract.released.is_some()
                || self.ledger.lost().contains(&contract.holder)
                || contract.holder != self.config.process && !self.hears(&contract.holder, now)
        })
    }

    /// Returns how many others go before this process in claiming a target.
    fn turn(
        &self,
        target: &name::Target,
        contract: Option<&Contract>,
        candidates: &[&Peer],
    ) -> Option<u64> {
        let rank = self.rank(target, candidates)?;
        let Some(contract) = contract.filter(|c| c.released.is_none()) else {
            return Some(rank);
        };
        let live = |process: &&Process| candidates.iter().any(|p| p.process == **process);
        let mut standbys = contract.standbys.iter().filter(live);
        match standbys.position(|standby| *standby == self.config.process) {
            Some(turn) => Some(turn as u64),
            None if contract.standbys.iter().any(|s| live(&s)) => None,
            None => Some(rank + STANDBYS as u64),
        }
    }

    fn rename(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if !self.is_reading(now) || self.stopping.is_some() {
            return;
        }
        let chosen = self.choose_standbys(now);
        let wants = |standbys: &[Process]| {
            standbys.len() < chosen.len() || standbys.iter().any(|s| !self.hears(s, now))
        };
        let held = self.ownership.held().iter();
        let targets: Vec<_> = held
            .filter(|(_, held)| held.from <= now && !self.ownership.is_renaming(held.epoch))
            .filter(|(_, held)| !held.is_confirmed() || wants(held.standbys()))
            .map(|(target, held)| (target.clone(), held.epoch))
            .collect();
        if targets.is_empty() {
            return;
        }
        let id = self.next_entry();
        let record = self.ownership.rename(id, targets, chosen);
        self.append_as(id, "holder confirms and names standbys", record, actions);
    }

    /// Opens a desk for each target that this process holds, and closes the others.
    pub(crate) fn reconcile(&mut self, now: Instant) {
        let held = self.ownership.held();
        let closed = |target: &name::Target, desk: &Desk| {
            let current = held.get(target);
            current.is_none_or(|held| held.epoch != desk.epoch)
        };
        let desks = self.desks.iter();
        let gone: Vec<_> = desks
            .filter(|(target, desk)| closed(target, desk))
            .map(|(target, _)| target.clone())
            .collect();
        for target in gone {
            self.close_desk(&target);
        }
        for (target, held) in self.ownership.held() {
            let open = || Desk::new(held.epoch, now);
            self.desks.entry(target.clone()).or_insert_with(open);
        }
    }

    fn close_desk(&mut self, target: &name::Target) {
        let Some(desk) = self.desks.remove(target) else {
            return;
        };
        for ticket in desk.queue {
            if let Some(held) = self.tickets.get_mut(&ticket) {
                held.phase = Phase::Waiting;
            }
        }
    }

    fn watch_targets(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let times = &self.config.times;
        for (target, desk) in &mut self.desks {
            let Some((_, _, row)) = self.ledger.table().target(target) else {
                continue;
            };
            let address = row.address;
            let active = self.ownership.epoch(target, now, times).is_some();
            let target = target.clone();
            if desk.probe(now, times) {
                let target = target.clone();
                actions.push(Action::Probe { target, address });
            }
            if row.checks_epoch && active && desk.grant(now, times) {
                let grant = Grant {
                    epoch: desk.epoch,
                    life: times.grant,
                };
                actions.push(Action::Grant {
                    target,
                    address,
                    grant,
                });
            }
        }
    }

    pub(crate) fn probed(&mut self, now: Instant, target: &name::Target, answer: Option<u64>) {
        if let Some((desk, mark)) = self.desks.get_mut(target).zip(answer) {
            desk.answer(now, mark);
        }
    }

    pub(crate) fn granted(
        &mut self,
        now: Instant,
        target: &name::Target,
        epoch: Epoch,
        accepted: bool,
        actions: &mut Vec<Action>,
    ) {
        let desk = self.desks.get_mut(target);
        if let Some(desk) = desk.filter(|desk| desk.epoch == epoch) {
            desk.accepted = accepted;
            self.start_queued(now, target, actions);
        }
    }

    /// Moves slices away from targets that are out of service or lost.
    fn hand_over(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let targets: Vec<_> = self.desks.keys().cloned().collect();
        for target in targets {
            if self
                .ownership
                .epoch(&target, now, &self.config.times)
                .is_none()
            {
                continue;
            }
            self.plan_handover(now, &target);
            self.submit_handover(now, &target, actions);
        }
    }

    fn plan_handover(&mut self, now: Instant, target: &name::Target) {
        let times = &self.config.times;
        let lost = self.desks[target].is_lost(now, times);
        if self.desks[target].handover.is_some() || !lost && self.ledger.has_work(target) {
            return;
        }
        let shares = self.shares_to_move(now, target);
        if shares.is_empty() {
            return;
        }
        let handover = Handover {
            shares,
            submitted: None,
        };
        if let Some(desk) = self.desks.get_mut(target) {
            desk.handover = Some(handover);
        }
        self.requeue(target);
    }

    /// Sends requests that wait for a moving share back to routing.
    fn requeue(&mut self, target: &name::Target) {
        let Some(desk) = self.desks.get_mut(target) else {
            return;
        };
        for ticket in std::mem::take(&mut desk.queue) {
            if let Some(held) = self.tickets.get_mut(&ticket) {
                held.phase = Phase::Waiting;
            }
        }
    }

    fn shares_to_move(&self, now: Instant, from: &name::Target) -> Vec<(Share, name::Target)> {
        let assignments = self.ledger.assignments().iter();
        let owned = assignments.map(|(service, a)| (service, a.shares(from)));
        let Some((service, shares)) = owned.into_iter().find(|(_, shares)| !shares.is_empty())
        else {
            return Vec::new();
        };
        let receivers = self.receivers(now, service, from);
        let total: u32 = receivers.values().sum();
        if total == 0 {
            return Vec::new();
        }
        let owners = placement::distribute(shares.len() as u32, &receivers);
        shares.into_iter().zip(owners).collect()
    }

    fn receivers(
        &self,
        now: Instant,
        service: &name::Service,
        from: &name::Target,
    ) -> BTreeMap<name::Target, u32> {
        let rows = self.ledger.table().services.get(service);
        let rows = rows.into_iter().flat_map(|row| &row.targets);
        rows.filter(|(name, _)| *name != from && self.is_usable(now, name))
            .map(|(name, row)| (name.clone(), row.weight))
            .collect()
    }

    /// Tells whether a target may get work, as far as this process knows.
    pub(crate) fn is_usable(&self, now: Instant, target: &name::Target) -> bool {
        let own = self.desks.get(target);
        let lost = own.is_some_and(|desk| desk.is_lost(now, &self.config.times));
        let mut peers = self.peers_lost.values();
        self.ledger.has_work(target) && !lost && !peers.any(|lost| lost.contains(target))
    }

    fn submit_handover(&mut self, now: Instant, target: &name::Target, actions: &mut Vec<Action>) {
        let times = &self.config.times;
        let Some(desk) = self.desks.get(target) else {
            return;
        };
        let Some(handover) = desk.handover.as_ref().filter(|h| h.submitted.is_none()) else {
            return;
        };
        let idle = desk.running.is_empty();
        let checks = self
            .ledger
            .table()
            .target(target)
            .is_some_and(|(_, _, t)| t.checks_epoch);
        let ended = match checks {
            true => now >= desk.grant_end(times),
            false => {
                now >= desk.last_deadline() && now >= desk.since + self.longest_deadline(target)
            }
        };
        let lost = desk.is_lost(now, times);
        if lost && !ended || !lost && !idle {
            return;
        }
        let shares = handover.shares.clone();
        let Some(service) = self.service_of(&shares, target) else {
            return;
        };
        let id = self.next_entry();
        let record = Record::Move {
            service,
            from: target.clone(),
            epoch: self.desks[target].epoch,
            shares,
        };
        if let Some(handover) = self.desks.get_mut(target).and_then(|d| d.handover.as_mut()) {
            handover.submitted = Some(id);
        }
        self.append_as(id, "target leaves or is lost", record, actions);
    }

    fn longest_deadline(&self, target: &name::Target) -> Span {
        let row = self.ledger.table().target(target);
        row.map(|(_, service, _)| service.deadline)
            .unwrap_or_default()
    }

    fn service_of(
        &self,
        shares: &[(Share, name::Target)],
        from: &name::Target,
    ) -> Option<name::Service> {
        let (_, to) = shares.first()?;
        let mut assignments = self.ledger.assignments().iter();
        let row = self.ledger.table().target(to);
        let named = row.map(|(service, _, _)| service.clone());
        named.or_else(|| {
            let owner = assignments.find(|(_, a)| a.slices.contains(from));
            owner.map(|(service, _)| service.clone())
        })
    }

    pub(crate) fn moved(&mut self, from: &name::Target, id: record::Id, _effect: Effect) {
        if let Some(desk) = self.desks.get_mut(from) {
            desk.handover.take_if(|h| h.submitted == Some(id));
        }
    }

    pub(crate) fn stop(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.stopping.is_none() {
            self.stopping = Some(now);
            actions.push(Action::Unready);
        }
    }

    /// Gives contracts up once the balancer had time to notice, and ends when nothing runs.
    fn shut_down(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.stopping.is_none_or(|since| now < since + DRAIN_NOTICE) {
            return;
        }
        let held = self.ownership.held().iter();
        let due: Vec<_> = held
            .filter(|(_, held)| held.is_confirmed() && !held.stopped)
            .map(|(target, held)| (target.clone(), held.epoch))
            .collect();
        let mut targets = Vec::new();
        for (target, epoch) in due {
            self.ownership.stop(&target);
            let running = self.desks.get(&target).map_or(0, |d| d.running.len());
            targets.push((target, epoch, running as u32));
        }
        if !targets.is_empty() {
            self.append("daemon stops", Record::Release { targets }, actions);
        }
        if self.ownership.held().is_empty() && self.tickets.is_empty() {
            actions.push(Action::Exit);
        }
    }
}

impl crate::ledger::Assignment {
    /// Returns all shares that a target owns.
    fn shares(&self, target: &name::Target) -> Vec<Share> {
        let slices = self.slices.iter().enumerate();
        let slices = slices.filter(|(_, owner)| *owner == target);
        let slices = slices.map(|(number, _)| Share::Slice(Slice(number as u32)));
        let keys = self.keys.iter().filter(|(_, owner)| *owner == target);
        slices
            .chain(keys.map(|(key, _)| Share::Key(*key)))
            .collect()
    }
}
