//! Effect of each step on the state.

use std::rc::Rc;

use ragwortrill_core::{
    number::{Epoch, Slice},
    process::Process,
    record::{self, Record, Share},
    time::Instant,
};

use super::{
    action::Action,
    log::Node,
    process::{Attempt, Daemon},
    rule::Rule,
    state::State,
    world::{World, data_centre, entry, owner, parse, process, request, started, table},
};

impl State {
    /// Returns the state after a step, or `None` if the step changes nothing.
    pub(crate) fn after(&self, world: &World, action: Action) -> Option<Self> {
        let mut next = self.clone();
        next.depth += 1;
        next.apply(world, action)?;
        for (daemon, before) in next.daemons.iter_mut().zip(&self.daemons) {
            if !Rc::ptr_eq(daemon, before) {
                *daemon = world.share(Daemon::clone(daemon));
            }
        }
        Some(next)
    }

    fn apply(&mut self, world: &World, action: Action) -> Option<()> {
        match action {
            Action::Rates(choice) => self.rates = Some(world.bounds.rates[choice]),
            Action::Tick => self.tick(world),
            Action::Read(p) => {
                let (seen, now) = (self.read_log(world, p), self.clock(p));
                self.daemon(p).read = Some((seen, now));
            }
            Action::ReadAnswer(p) => {
                let now = self.clock(p);
                let (seen, sent) = self.daemon(p).read.take()?;
                self.daemon(p).catch_up(world, &seen, sent, now);
            }
            Action::Sync(p) => {
                let (head, now) = (self.read_log(world, p), self.clock(p));
                self.daemon(p).catch_up(world, &head, now, now);
            }
            Action::Heartbeat(p, q) => {
                let (peer, promise) = self.promise(world, p, q)?;
                self.daemon(p).promises.insert(peer, promise);
            }
            Action::Promise(p, q) => {
                let host = self.daemons[q].process().host.clone();
                let mut promises = self.daemons[p].promises.iter();
                let (peer, promise) = promises.find(|(peer, _)| peer.host == host)?;
                let (peer, promise, now) = (peer.clone(), promise.clone(), self.clock(p));
                self.daemon(p).promises.remove(&peer);
                self.daemon(p).add_promise(world, &peer, &promise, now);
            }
            Action::Exchange(p, q) => {
                let (peer, promise) = self.promise(world, p, q)?;
                let now = self.clock(p);
                self.daemon(p).add_promise(world, &peer, &promise, now);
            }
            Action::Claim(p, target) => self.claim(world, p, target),
            Action::ChangeStandbys(p, target, other) => {
                self.change_standbys(world, p, target, other)?
            }
            Action::Release(p, target) => self.release(world, p, target)?,
            Action::Move(p, slice) => self.move_slice(world, p, slice)?,
            Action::Intent(p, id) => self.submit_intent(world, p, id)?,
            Action::Send(p, id) => self.send(world, p, id)?,
            Action::Refuse(p, id) => self.daemon(p).attempts[id] = Attempt::Refused,
            Action::Crash(_) | Action::Restart(_) | Action::AssertLost(_) => self.fail(action),
            Action::Table => self.change_table(),
            Action::State => self.change_state(),
            Action::Append(position) => self.append(world, position, false)?,
            Action::AppendRepeated(position) => self.append(world, position, true)?,
        }
        Some(())
    }

    /// Returns the log that a read by a process shows.
    fn read_log(&self, world: &World, reader: usize) -> Rc<Node> {
        let holds = !self.daemons[reader].ownership.held().is_empty();
        let misses = holds && world.omits(Rule::FRESH_READ);
        let earlier = self.head.previous.as_ref().filter(|_| misses);
        Rc::clone(earlier.unwrap_or(&self.head))
    }

    fn tick(&mut self, world: &World) {
        for index in 0..self.daemons.len() {
            let now = self.clock(index);
            let daemon = &self.daemons[index];
            let targets = 0..world.bounds.targets;
            let passes = targets.filter_map(|t| Some((t, daemon.epoch(world, t, now)?)));
            let checked = passes.collect();
            if daemon.checked != checked {
                self.daemon(index).checked = checked;
            }
        }
        self.now += 1;
    }

    /// Returns a standby's answer to a heartbeat, and the process that the holder attributes it to.
    fn promise(&self, world: &World, holder: usize, standby: usize) -> Option<(Process, Answer)> {
        let requested = self.daemons[holder].epochs();
        let peer = &self.daemons[standby];
        let withheld = peer.withheld(world, &requested);
        let mut name = peer.process().clone();
        if world.omits(Rule::INCARNATION) {
            let held = self.daemons[holder].ownership.held().values();
            let mut named = held.flat_map(|h| h.standbys().to_vec());
            name = named.find(|n| n.host == name.host).unwrap_or(name);
        }
        let gives = requested.iter().any(|epoch| !withheld.contains(epoch));
        gives.then(|| (name, (requested, withheld, self.clock(holder))))
    }

    fn claim(&mut self, world: &World, p: usize, target: usize) {
        self.budget.claims -= 1;
        let now = self.clock(p);
        let standbys = world.standbys(p, |other| self.daemons[other].process().clone());
        let name = world.targets[target].clone();
        let daemon = self.daemon(p);
        let previous = daemon.at.ledger.contracts().get(&name).map(|c| c.epoch);
        let targets = vec![(name, previous)];
        self.submit_tracked(p, |daemon, id| {
            daemon.claimed.insert(id, now);
            daemon
                .ownership
                .claim(id, targets.clone(), standbys.clone())
        });
    }

    fn change_standbys(
        &mut self,
        world: &World,
        p: usize,
        target: usize,
        other: usize,
    ) -> Option<()> {
        self.budget.renames -= 1;
        let standbys = vec![self.daemons[other].process().clone()];
        let name = world.targets[target].clone();
        let held = self.daemons[p].ownership.held().get(&name)?;
        let targets = vec![(name, held.epoch)];
        let untracked = world.omits(Rule::UNION);
        self.submit_tracked(p, |daemon, id| {
            let mut scratch = daemon.ownership.clone();
            let ownership = if untracked {
                &mut scratch
            } else {
                &mut daemon.ownership
            };
            ownership.change_standbys(id, targets.clone(), standbys.clone())
        });
        Some(())
    }

    /// Submits a record that `Ownership` stores under the entry's id. The id depends on the record,
    /// so the record is first built on a copy of the daemon to compute the id.
    fn submit_tracked(&mut self, p: usize, build: impl Fn(&mut Daemon, record::Id) -> Record) {
        let mut scratch = Daemon::clone(&self.daemons[p]);
        let record = build(&mut scratch, record::Id(0));
        let id = self.submit(p, record);
        build(self.daemon(p), id);
    }

    fn release(&mut self, world: &World, p: usize, target: usize) -> Option<()> {
        self.budget.releases -= 1;
        let name = world.targets[target].clone();
        let daemon = self.daemon(p);
        let epoch = daemon.ownership.held().get(&name)?.epoch;
        if !world.omits(Rule::STOP_BEFORE_RELEASE) {
            daemon.ownership.stop(&name);
            daemon.checked.retain(|(checked, _)| *checked != target);
        }
        let targets = vec![(name, epoch, 0)];
        self.submit(p, Record::Release { targets });
        Some(())
    }

    fn move_slice(&mut self, world: &World, p: usize, slice: usize) -> Option<()> {
        self.budget.moves -= 1;
        let now = self.clock(p);
        let daemon = &self.daemons[p];
        let from = daemon.serves(world, slice, now)?;
        let epoch = daemon.epoch(world, from, now)?;
        let to = world.targets[1 - from].clone();
        let record = Record::Move {
            service: parse("orders"),
            from: world.targets[from].clone(),
            epoch,
            shares: vec![(Share::Slice(Slice(slice as u32)), to)],
            after: daemon.at.offset,
        };
        let id = self.submit(p, record);
        if !world.omits(Rule::MOVE_STOP) {
            self.daemon(p).moving.insert(id, slice);
        }
        Some(())
    }

    fn submit_intent(&mut self, world: &World, p: usize, id: usize) -> Option<()> {
        let now = self.clock(p);
        let target = self.daemons[p].serves(world, id, now)?;
        let record = Record::Intent {
            target: world.targets[target].clone(),
            epoch: self.daemons[p].epoch(world, target, now)?,
            requests: vec![request(id)],
        };
        let entry = self.submit(p, record);
        self.daemon(p).attempts[id] = Attempt::Submitted(entry);
        Some(())
    }

    fn send(&mut self, world: &World, p: usize, id: usize) -> Option<()> {
        let now = self.clock(p);
        let daemon = &self.daemons[p];
        let name = owner(&daemon.at.ledger, id)?;
        let target = world.targets.iter().position(|t| t == name)?;
        let may_send = daemon.sends(world, target, now);
        match daemon.attempts[id] {
            Attempt::Permitted(epoch) if may_send.contains(&epoch) => {}
            Attempt::Refused => self.fault = Some("a request refused as not run was sent"),
            _ => return None,
        }
        self.daemon(p).attempts[id] = Attempt::Sent;
        self.runs[id] += 1;
        Some(())
    }

    fn fail(&mut self, action: Action) {
        match action {
            Action::Crash(p) => {
                self.budget.crashes -= 1;
                self.daemon(p).is_alive = false;
            }
            Action::Restart(p) => {
                let ended = self.daemons[p].process().incarnation;
                let new = process(p, ended + 1);
                self.daemons[p] = Rc::new(Daemon::new(p, new, &self.head));
                let after = self.head.offset;
                self.submit(p, started(p, ended + 1, after));
            }
            Action::AssertLost(p) => {
                self.budget.assertions -= 1;
                let process = self.daemons[p].process().clone();
                let record = Record::Lost { process };
                self.put(entry("operator".into(), String::new(), 0, record));
            }
            _ => {}
        }
    }

    fn change_table(&mut self) {
        self.budget.tables -= 1;
        let serial = u32::from(self.budget.tables);
        let base = self.head.ledger.version();
        let table = table(1 + serial);
        let record = Record::Table { base, table };
        self.put(entry("operator".into(), base.to_string(), serial, record));
    }

    fn change_state(&mut self) {
        self.budget.states -= 1;
        let serial = u32::from(self.budget.states);
        let ledger = &self.head.ledger;
        let name = data_centre();
        let state = match ledger.data_centre(&name) {
            record::State::In => record::State::Out,
            record::State::Out => record::State::In,
        };
        let after = self.head.offset;
        let record = Record::DataCentre { name, state, after };
        self.put(entry("operator".into(), String::new(), serial, record));
    }

    fn append(&mut self, world: &World, position: usize, repeated: bool) -> Option<()> {
        let entry = Rc::clone(self.flight.get(position)?);
        self.head = world.append(&self.head, &entry);
        if repeated {
            self.budget.repeats -= 1;
        } else {
            self.flight.remove(position);
        }
        Some(())
    }
}

/// Requested epochs, withheld epochs, and the send time of the heartbeat on the holder's clock.
type Answer = (Vec<Epoch>, Vec<Epoch>, Instant);
