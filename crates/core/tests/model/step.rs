//! Steps that a state allows.

use ragwortrill_core::process::Process;

use super::{
    action::Action,
    process::{Attempt, Daemon},
    rule::Rule,
    state::State,
    world::{World, request},
};

impl State {
    /// Returns the steps that may come next.
    pub(crate) fn actions(&self, world: &World) -> Vec<Action> {
        if self.depth >= world.bounds.depth {
            return Vec::new();
        }
        if self.rates.is_none() {
            return (0..world.bounds.rates.len()).map(Action::Rates).collect();
        }
        let mut actions = Vec::new();
        if self.now < world.bounds.ticks {
            actions.push(Action::Tick);
        }
        for position in 0..self.flight.len() {
            actions.push(Action::Append(position));
            if self.budget.repeats > 0 {
                actions.push(Action::AppendRepeated(position));
            }
        }
        for daemon in &self.daemons {
            if daemon.is_alive {
                self.add_messages(world, daemon, &mut actions);
                self.add_records(world, daemon, &mut actions);
                self.add_requests(world, daemon, &mut actions);
                if self.budget.crashes > 0 && world.bounds.crashers.contains(&daemon.index) {
                    actions.push(Action::Crash(daemon.index));
                }
            } else {
                actions.push(Action::Restart(daemon.index));
            }
            let may_assert = !daemon.is_alive || world.omits(Rule::LOST_TRUE);
            if self.budget.assertions > 0 && may_assert {
                actions.push(Action::AssertLost(daemon.index));
            }
        }
        if self.budget.tables > 0 {
            actions.push(Action::Table);
        }
        if self.budget.states > 0 {
            actions.push(Action::State);
        }
        actions
    }

    fn add_messages(&self, world: &World, daemon: &Daemon, actions: &mut Vec<Action>) {
        let index = daemon.index;
        let now = self.clock(index);
        let holds = !daemon.ownership.held().is_empty();
        let is_behind = daemon.at.offset < self.head.offset;
        if is_behind || holds && daemon.ownership.lease().proof() < Some(now) {
            actions.push(match world.bounds.late_reads {
                true => Action::Read(index),
                false => Action::Sync(index),
            });
        }
        if daemon.read.is_some() {
            actions.push(Action::ReadAnswer(index));
        }
        // A promise extends the lease only if it is newer than the log proof, so none is requested
        // at the time of the proof.
        let lasts = daemon.ownership.lease().proof() < Some(now);
        if world.bounds.heartbeats && holds && lasts {
            let others = (0..self.daemons.len()).filter(|other| *other != index);
            for other in others.filter(|other| self.sends_heartbeats(daemon, *other)) {
                actions.push(match world.bounds.late_promises {
                    true => Action::Heartbeat(index, other),
                    false => Action::Exchange(index, other),
                });
            }
        }
        let peers = daemon.promises.keys();
        let position = |peer: &Process| self.position(peer);
        actions.extend(
            peers
                .filter_map(position)
                .map(|p| Action::Promise(index, p)),
        );
    }

    /// Returns whether a process sends heartbeats to another one: it does to its standbys, and to
    /// any process while it changes them.
    fn sends_heartbeats(&self, daemon: &Daemon, other: usize) -> bool {
        let host = &self.daemons[other].process().host;
        let mut held = daemon.ownership.held().values();
        self.daemons[other].is_alive
            && held.any(|h| {
                let named = h.standbys().iter().any(|peer| peer.host == *host);
                named || daemon.ownership.is_changing_standbys(h.epoch)
            })
    }

    fn position(&self, peer: &Process) -> Option<usize> {
        let mut daemons = self.daemons.iter();
        daemons.position(|daemon| daemon.process().host == peer.host)
    }

    fn add_records(&self, world: &World, daemon: &Daemon, actions: &mut Vec<Action>) {
        let index = daemon.index;
        for target in 0..world.bounds.targets {
            let name = &world.targets[target];
            let contract = daemon.at.ledger.contracts().get(name);
            let is_own = contract.is_some_and(|c| c.holder == *daemon.process());
            let may_claim = world.bounds.claimers.contains(&index) && self.budget.claims > 0;
            if may_claim && !is_own && !daemon.ownership.is_claiming(name) {
                actions.push(Action::Claim(index, target));
            }
            let Some(held) = daemon.ownership.held().get(name) else {
                continue;
            };
            let waited =
                held.active_from <= self.clock(index) || world.omits(Rule::CONFIRM_AFTER_WAIT);
            let may_rename = world.bounds.renamers.contains(&index) && self.budget.renames > 0;
            let renames = may_rename && !daemon.ownership.is_changing_standbys(held.epoch);
            if renames && waited && !held.stopped {
                let others = (0..self.daemons.len()).filter(|other| *other != index);
                actions.extend(others.map(|other| Action::ChangeStandbys(index, target, other)));
            }
            if self.budget.releases > 0 && !held.stopped {
                actions.push(Action::Release(index, target));
            }
        }
        let slices = if self.budget.moves > 0 { 0..1 } else { 0..0 };
        let serves = |slice: &usize| daemon.serves(world, *slice, self.clock(index)).is_some();
        let idle = daemon.moving.is_empty();
        let slices = slices.filter(|slice| idle && serves(slice));
        actions.extend(slices.map(|slice| Action::Move(index, slice)));
    }

    fn add_requests(&self, world: &World, daemon: &Daemon, actions: &mut Vec<Action>) {
        let index = daemon.index;
        for id in 0..world.bounds.requests {
            let known = daemon.at.ledger.intent(&request(id)).is_some();
            let serves = daemon.serves(world, id, self.clock(index)).is_some();
            match daemon.attempts[id] {
                Attempt::None if serves && !known => actions.push(Action::Intent(index, id)),
                Attempt::Submitted(_) => actions.push(Action::Refuse(index, id)),
                Attempt::Permitted(_) => {
                    actions.push(Action::Refuse(index, id));
                    actions.push(Action::Send(index, id));
                }
                Attempt::Refused if known && serves && world.omits(Rule::REFUSAL_FINAL) => {
                    actions.push(Action::Send(index, id));
                }
                _ => {}
            }
        }
    }
}
