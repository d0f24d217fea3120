//! Claims of contracts, choice of standbys, and release of contracts to better placed daemons.

use std::collections::BTreeMap;

use crate::{
    action::Action,
    contract::Contract,
    ledger::Peer,
    name,
    node::Node,
    placement,
    process::Process,
    record::{Record, State},
    time::{Instant, Span},
};

/// Number of standbys that a contract names.
const STANDBY_COUNT: usize = 2;

/// Time for which a daemon must have been responsive before live holders release contracts to it.
const MIN_RESPONSIVE_SPAN: Span = Span::from_secs(5);

/// Interval between releases of contracts by one holder, so that few keys pause at a time.
const YIELD_INTERVAL: Span = Span::from_millis(500);

/// Longest time that a holder waits for running requests before it releases a contract.
const YIELD_TIMEOUT: Span = Span::from_secs(1);

impl Node {
    /// Returns the processes that may hold contracts: responsive, in service, not shutting down, not
    /// declared lost.
    pub(crate) fn candidates(&self, now: Instant) -> Vec<&Peer> {
        let live = |p: &&Peer| match p.process == self.config.process {
            true => self.stopping.is_none(),
            false => self.may_claim(&p.process, now),
        };
        let in_service = |p: &&Peer| {
            self.ledger.host(&p.process.host) == State::In
                && self.ledger.data_centre(&p.data_centre) == State::In
                && !self.ledger.lost().contains(&p.process)
        };
        let peers = self.ledger.processes().values();
        peers.filter(live).filter(in_service).collect()
    }

    /// Returns whether another process is responsive and does not shut down.
    fn may_claim(&self, process: &Process, now: Instant) -> bool {
        self.is_responsive(process, now) && !self.stopping_peers.contains(process)
    }

    /// Ranks candidates for a target: those in its data centre first.
    fn ranked(&self, target: &name::Target, candidates: &[&Peer]) -> Vec<Process> {
        let row = self.ledger.table().target(target);
        let home = row.map(|(_, _, row)| &row.data_centre);
        let (near, far): (Vec<_>, Vec<_>) = candidates
            .iter()
            .partition(|peer| Some(&peer.data_centre) == home);
        let rank = |peers: Vec<&&Peer>| {
            let processes = peers.into_iter().map(|p| p.process.clone());
            placement::rank(target.as_str(), processes)
        };
        rank(near).into_iter().chain(rank(far)).collect()
    }

    /// Returns the standbys that this process would name now: in other data centres if possible.
    fn choose_standbys(&self, now: Instant) -> Vec<Process> {
        let candidates = self.candidates(now);
        let others = candidates
            .iter()
            .filter(|p| p.process != self.config.process);
        let places: BTreeMap<&Process, &name::DataCentre> =
            others.map(|p| (&p.process, &p.data_centre)).collect();
        let subject = self.config.process.to_string();
        let mut ranked = placement::rank(&subject, places.keys().map(|p| (*p).clone()));
        let mut used = vec![&self.config.data_centre];
        let mut chosen = Vec::new();
        while chosen.len() < STANDBY_COUNT && !ranked.is_empty() {
            let fresh = ranked.iter().position(|p| !used.contains(&places[p]));
            let process = ranked.remove(fresh.unwrap_or(0));
            used.push(places[&process]);
            chosen.push(process);
        }
        chosen
    }

    pub(crate) fn claim(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if !self.is_log_available(now) || !self.started || self.stopping.is_some() {
            return;
        }
        let (recent, responsive) = self.count_recent_peers(now);
        if responsive < recent / 2 {
            return self.claimable_since.clear();
        }
        let targets = self.targets_without_holder(now, recent);
        let candidates = self.candidates(now);
        let mut due = Vec::new();
        let mut claimable = BTreeMap::new();
        for target in targets {
            let contract = self.ledger.contracts().get(&target);
            if self.ownership.is_claiming(&target) {
                continue;
            }
            let since = *self.claimable_since.get(&target).unwrap_or(&now);
            claimable.insert(target.clone(), since);
            let Some(position) = self.claim_position(&target, contract, &candidates) else {
                continue;
            };
            let delay = Span(self.config.times.second_standby.0 * position);
            if now.since(since) >= delay {
                due.push((target, contract.map(|c| c.epoch)));
            }
        }
        self.claimable_since = claimable;
        if !due.is_empty() {
            let id = self.next_entry();
            let standbys = self.choose_standbys(now);
            let record = self.ownership.claim(id, due, standbys);
            self.append_as(id, "target has no live holder", record, actions);
        }
    }

    /// Counts the other processes that sent a message within the outsider's wait, and those of
    /// them that are responsive now.
    ///
    /// If fewer than half of them are responsive, this process is more likely cut off than the
    /// others are lost. Its claims would interrupt service by the others: no daemon could forward
    /// requests to it, and claims of contracts that it is no standby of start the outsider's wait.
    fn count_recent_peers(&self, now: Instant) -> (usize, usize) {
        let window = self.config.times.outsider_wait;
        let recent = self
            .peers()
            .filter(|p| self.detector.was_seen_within(&p.process, now, window));
        let recent: Vec<&Peer> = recent.collect();
        let responsive = recent
            .iter()
            .filter(|p| self.is_responsive(&p.process, now))
            .count();
        (recent.len(), responsive)
    }

    /// Returns all targets that have no live holder.
    ///
    /// Contracts are iterated without a copy, since most targets have a live holder. The table is
    /// searched only until all of its targets have contracts, since contracts are never removed.
    fn targets_without_holder(&mut self, now: Instant, recent: usize) -> Vec<name::Target> {
        let mut targets = self.unclaimed();
        let mut failed = BTreeMap::new();
        let contracts = self.ledger.contracts().iter();
        let claimable = contracts.filter(|(_, contract)| {
            let holder = &contract.holder;
            contract.released.is_some()
                || *failed
                    .entry(holder)
                    .or_insert_with(|| self.has_failed(now, holder, recent))
        });
        targets.extend(claimable.map(|(target, _)| target.clone()));
        targets
    }

    /// Returns the targets of the table that never had a contract.
    fn unclaimed(&mut self) -> Vec<name::Target> {
        if self.contracted_version == self.ledger.version() {
            return Vec::new();
        }
        let rows = self.ledger.table().services.values();
        let targets = rows.flat_map(|row| row.targets.keys());
        let contracts = self.ledger.contracts();
        let unclaimed = targets.filter(|target| !contracts.contains_key(*target));
        let unclaimed: Vec<name::Target> = unclaimed.cloned().collect();
        if unclaimed.is_empty() {
            self.contracted_version = self.ledger.version();
        }
        unclaimed
    }

    /// Returns whether a holder is declared lost or is not responsive. A process that received no
    /// message from any peer can't judge the latter.
    fn has_failed(&self, now: Instant, holder: &Process, recent: usize) -> bool {
        self.ledger.lost().contains(holder)
            || recent > 0 && *holder != self.config.process && !self.is_responsive(holder, now)
    }

    /// Returns how many other processes are to claim a target before this one, or `None` if this
    /// one is not to claim it.
    fn claim_position(
        &self,
        target: &name::Target,
        contract: Option<&Contract>,
        candidates: &[&Peer],
    ) -> Option<u64> {
        let ranked = self.ranked(target, candidates);
        let rank = ranked.iter().position(|p| *p == self.config.process)? as u64;
        let Some(contract) = contract.filter(|c| c.released.is_none()) else {
            return Some(rank);
        };
        let live = |process: &&Process| candidates.iter().any(|p| p.process == **process);
        let mut standbys = contract.standbys.iter().filter(live);
        match standbys.position(|standby| *standby == self.config.process) {
            Some(position) => Some(position as u64),
            None if contract.standbys.iter().any(|s| live(&s)) => None,
            None => Some(rank + STANDBY_COUNT as u64),
        }
    }

    /// Confirms contracts after their wait, and replaces standbys that would claim nothing. During a
    /// graceful shutdown it only confirms, since contracts can be released only then.
    pub(crate) fn confirm_contracts(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if !self.is_log_available(now) {
            return;
        }
        let stopping = self.stopping.is_some();
        let chosen = self.choose_standbys(now);
        let wants = |standbys: &[Process]| {
            standbys.len() < chosen.len() || standbys.iter().any(|s| !self.may_claim(s, now))
        };
        let held = self.ownership.held().iter();
        let targets: Vec<_> = held
            .filter(|(_, held)| {
                held.active_from <= now && !self.ownership.is_changing_standbys(held.epoch)
            })
            .filter(|(_, held)| !held.is_confirmed() || !stopping && wants(held.standbys()))
            .map(|(target, held)| (target.clone(), held.epoch))
            .collect();
        if targets.is_empty() {
            return;
        }
        let id = self.next_entry();
        let record = self.ownership.change_standbys(id, targets, chosen);
        self.append_as(id, "holder confirms and names standbys", record, actions);
    }

    /// Starts the release of one contract that another daemon is better placed to hold.
    pub(crate) fn yield_contracts(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.stopping.is_none() && self.is_log_current(now) && now >= self.next_yield {
            self.next_yield = now + YIELD_INTERVAL;
            if let Some(target) = self.misplaced(now) {
                self.stop_sending(now, &target, actions);
            }
        }
        self.release(now, actions);
    }

    /// Returns a target that another daemon is better placed to hold. Targets that do not answer
    /// probes stay: the next holder would have to detect the loss again.
    fn misplaced(&self, now: Instant) -> Option<name::Target> {
        let candidates = self.candidates(now);
        let held = self.ownership.held().iter();
        let idle = |target: &name::Target| {
            let state = self.target_states.get(target);
            state.is_some_and(|state| {
                state.handover.is_none() && state.yielding.is_none() && state.is_responding()
            })
        };
        let mut movable = held.filter(|(target, held)| held.is_confirmed() && idle(target));
        let better = movable.find(|(target, _)| {
            let best = self.ranked(target, &candidates).into_iter().next();
            best.is_some_and(|best| {
                best != self.config.process
                    && self.detector.responsive_for(&best, now) >= MIN_RESPONSIVE_SPAN
            })
        });
        better.map(|(target, _)| target.clone())
    }

    /// Ends admission to a target whose contract is to be released.
    pub(crate) fn stop_sending(
        &mut self,
        now: Instant,
        target: &name::Target,
        actions: &mut Vec<Action>,
    ) {
        self.ownership.stop(target);
        if let Some(state) = self.target_states.get_mut(target) {
            state.yielding = Some(now);
        }
        self.requeue(now, target, actions);
    }

    /// Releases contracts whose requests have ended or ran for [`YIELD_TIMEOUT`] since admission
    /// ended.
    fn release(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let ready = |since: Instant, running: usize| running == 0 || now >= since + YIELD_TIMEOUT;
        let mut targets = Vec::new();
        for (target, state) in &mut self.target_states {
            let running = state.queue.running();
            if state.yielding.is_some_and(|since| ready(since, running)) && !state.released {
                state.released = true;
                targets.push((target.clone(), state.epoch, running as u32));
            }
        }
        if !targets.is_empty() {
            let record = Record::Release { targets };
            self.append("another daemon takes over", record, actions);
        }
    }
}
