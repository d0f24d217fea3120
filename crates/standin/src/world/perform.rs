//! Execution of the nodes' actions.

use ragwortrill_core::{
    action::{Action, Dispatch},
    event::{self, Event, Finish, Grant, Message, Probe, Ticket},
    name,
    number::Offset,
    time::{Instant, Span},
};

use super::{Answer, Endpoint, ProcessId, World, process::Origin, settings::Policy};

/// Time after which a probe counts as not answered.
const PROBE_TIMEOUT: Span = Span::from_millis(250);
/// Port of the first target; the others follow.
const TARGET_PORT: u16 = 8_000;

impl World {
    pub(super) fn perform(&mut self, process: ProcessId, action: Action) {
        match action {
            Action::Append(entry) => self.append(process, entry),
            Action::Send { to, message } => self.send_message(process, &to, message),
            Action::Probe { target, address } => {
                self.probe(process, target, target_index(address));
            }
            Action::Grant {
                target,
                address,
                grant,
            } => self.grant(process, target, target_index(address), grant),
            Action::Dispatch(dispatch) => self.dispatch(process, dispatch),
            Action::Forward {
                ticket,
                to,
                deadline,
            } => self.forward(process, ticket, &to, deadline),
            Action::Refuse {
                ticket,
                refusal,
                offset,
                ..
            } => self.refuse(process, ticket, Finish::Refused { refusal, offset }),
            Action::Replay { ticket, status, .. } => self.answer(process, ticket, status),
            Action::Cancel(_) => {}
            Action::Unready => self.daemons[process.index].unready_at = Some(self.now),
            Action::Exit => self.end(process.index, true),
        }
    }

    fn send_message(&mut self, from: ProcessId, to: &event::Endpoint, message: Message) {
        let withheld = self.settings.policy == Policy::LogOnly;
        if withheld && matches!(message, Message::Promise { .. }) {
            return;
        }
        if let Some(observer) = &mut self.observer {
            let sender = self.daemons[from.index].process();
            observer(self.now, sender, &to.process, &message);
        }
        let Some(peer) = self.find_peer(to) else {
            return;
        };
        let (source, destination) = (Endpoint::Daemon(from.index), Endpoint::Daemon(peer.index));
        self.send(source, destination, move |world| {
            let job = move |world: &mut Self| world.receive_message(from, peer, message);
            world.run_on(peer, Box::new(job));
        });
    }

    fn receive_message(&mut self, from: ProcessId, process: ProcessId, message: Message) {
        let Message::Fetch { sent, offset } = message else {
            let from = self.daemons[from.index].process().clone();
            return self.handle(process, Event::Received { from, message });
        };
        let now = self.local_time(process.index);
        let read = self.daemons[process.index].read_for_peer(sent, offset, now);
        let (source, destination) = (
            Endpoint::Daemon(process.index),
            Endpoint::Daemon(from.index),
        );
        self.send(source, destination, move |world| {
            let job = move |world: &mut Self| world.handle(from, Event::Read(read));
            world.run_on(from, Box::new(job));
        });
    }

    /// Returns the process of an endpoint, or `None` if it is not its daemon's current process.
    fn find_peer(&self, peer: &event::Endpoint) -> Option<ProcessId> {
        let index = self
            .daemons
            .iter()
            .position(|daemon| *daemon.process() == peer.process)?;
        Some(self.process(index))
    }

    fn probe(&mut self, process: ProcessId, target: name::Target, target_index: usize) {
        let token = self.new_token(process);
        let probed_target = target.clone();
        self.schedule_on(PROBE_TIMEOUT, process, move |world| {
            world.complete_probe(process, token, probed_target, Probe::Silent);
        });
        let (source, destination) = (
            Endpoint::Daemon(process.index),
            Endpoint::Target(target_index),
        );
        self.send(source, destination, move |world| {
            if world.targets[target_index].refuses_connections() {
                return world.answer_probe(
                    process,
                    token,
                    target,
                    target_index,
                    Probe::Unreachable,
                );
            }
            let job = move |world: &mut Self| {
                let start_id = world.targets[target_index].start_id;
                let answer = Probe::Answered {
                    start_id,
                    load: 0,
                    clock_ms: Span(world.now.0).as_millis(),
                };
                world.answer_probe(process, token, target, target_index, answer);
            };
            world.run_on_target(target_index, Box::new(job));
        });
    }

    fn answer_probe(
        &mut self,
        process: ProcessId,
        token: u64,
        target: name::Target,
        target_index: usize,
        answer: Probe,
    ) {
        let (source, destination) = (
            Endpoint::Target(target_index),
            Endpoint::Daemon(process.index),
        );
        self.send(source, destination, move |world| {
            let job = move |world: &mut Self| world.complete_probe(process, token, target, answer);
            world.run_on(process, Box::new(job));
        });
    }

    fn complete_probe(
        &mut self,
        process: ProcessId,
        token: u64,
        target: name::Target,
        answer: Probe,
    ) {
        if self.take_token(process, token) {
            self.handle(process, Event::Probed { target, answer });
        }
    }

    fn grant(
        &mut self,
        process: ProcessId,
        target: name::Target,
        target_index: usize,
        grant: Grant,
    ) {
        let (source, destination) = (
            Endpoint::Daemon(process.index),
            Endpoint::Target(target_index),
        );
        self.send(source, destination, move |world| {
            let job = move |world: &mut Self| {
                let accepted = world.accept_grant(target_index, grant);
                let event = Event::Granted {
                    target,
                    epoch: grant.epoch,
                    accepted,
                };
                world.send(destination, source, move |world| {
                    let job = move |world: &mut Self| world.handle(process, event);
                    world.run_on(process, Box::new(job));
                });
            };
            world.run_on_target(target_index, Box::new(job));
        });
    }

    fn accept_grant(&mut self, target_index: usize, grant: Grant) -> bool {
        let now = self.now;
        let target = &mut self.targets[target_index];
        let accepted = grant.epoch >= target.epoch && grant.start_id == target.start_id;
        if accepted {
            target.epoch = grant.epoch;
            target.highest_epoch_ever = target.highest_epoch_ever.max(grant.epoch);
            let from = Instant(Span::from_millis(grant.from_ms).0).min(now);
            target.granted_until = from + grant.ttl;
        }
        accepted
    }

    fn dispatch(&mut self, process: ProcessId, dispatch: Dispatch) {
        let now = self.local_time(process.index);
        let token = self.new_token(process);
        let ticket = dispatch.ticket;
        if now >= dispatch.lease_end {
            return self.finish_deferred(process, ticket, token, Finish::Unsent { lapsed: true });
        }
        self.count_owners(process.index);
        let Some((call, _)) = self.daemons[process.index].tickets.get(&ticket).copied() else {
            return;
        };
        let limit = dispatch.deadline.since(now);
        self.schedule_on(limit, process, move |world| {
            world.finish(process, ticket, token, Finish::Broken);
        });
        let target_index = target_index(dispatch.address);
        self.submit(process, ticket, token, target_index, dispatch.epoch, call);
    }

    /// Finishes a request at its sender once the current event is handled.
    pub(super) fn finish_deferred(
        &mut self,
        process: ProcessId,
        ticket: Ticket,
        token: u64,
        result: Finish,
    ) {
        self.schedule_on(Span::ZERO, process, move |world| {
            world.finish(process, ticket, token, result);
        });
    }

    pub(super) fn finish(
        &mut self,
        process: ProcessId,
        ticket: Ticket,
        token: u64,
        result: Finish,
    ) {
        if !self.take_token(process, token) {
            return;
        }
        if self.settings.policy == Policy::Hashing {
            return self.finish_hashed(process, ticket, result);
        }
        if let Finish::Answered(status) = result {
            self.answer(process, ticket, status);
        }
        self.handle(process, Event::Finish { ticket, result });
    }

    pub(super) fn answer(&mut self, process: ProcessId, ticket: Ticket, status: u16) {
        let Some((call, origin)) = self.daemons[process.index].tickets.remove(&ticket) else {
            return;
        };
        match origin {
            Origin::Caller => self.answer_caller(call, Answer::Status(status)),
            Origin::Peer(..) => self.answer_peer(process, origin, Finish::Answered(status)),
        }
    }

    fn refuse(&mut self, process: ProcessId, ticket: Ticket, result: Finish) {
        let Some((call, origin)) = self.daemons[process.index].tickets.remove(&ticket) else {
            return;
        };
        match (origin, result) {
            (Origin::Caller, Finish::Refused { refusal, .. }) => {
                self.answer_caller(call, Answer::Refused(refusal));
            }
            _ => self.answer_peer(process, origin, result),
        }
    }

    fn answer_peer(&mut self, process: ProcessId, origin: Origin, result: Finish) {
        let Origin::Peer(entry, ticket, token) = origin else {
            return;
        };
        let (source, destination) = (
            Endpoint::Daemon(process.index),
            Endpoint::Daemon(entry.index),
        );
        self.send(source, destination, move |world| {
            let job = move |world: &mut Self| world.finish(entry, ticket, token, result);
            world.run_on(entry, Box::new(job));
        });
    }

    fn forward(
        &mut self,
        process: ProcessId,
        ticket: Ticket,
        to: &event::Endpoint,
        deadline: Instant,
    ) {
        let token = self.new_token(process);
        let Some(peer) = self
            .find_peer(to)
            .filter(|peer| self.daemons[peer.index].alive)
        else {
            return self.finish_deferred(process, ticket, token, Finish::LinkBroken);
        };
        let Some((call, _)) = self.daemons[process.index].tickets.get(&ticket).copied() else {
            return;
        };
        let daemon = &mut self.daemons[process.index];
        daemon.forwards.insert(token, (ticket, peer));
        let known_offset: Offset = daemon.node.ledger().offset();
        let remaining = deadline.since(self.local_time(process.index));
        self.schedule_on(remaining, process, move |world| {
            world.finish(process, ticket, token, Finish::LinkBroken);
        });
        let (source, destination) = (
            Endpoint::Daemon(process.index),
            Endpoint::Daemon(peer.index),
        );
        self.send(source, destination, move |world| {
            let job = move |world: &mut Self| {
                let origin = Origin::Peer(process, ticket, token);
                let ticket = world.issue_ticket(peer, call, origin);
                world.arrive(peer, ticket, known_offset, Some(remaining));
            };
            world.run_on(peer, Box::new(job));
        });
    }
}

fn target_index(address: std::net::SocketAddr) -> usize {
    usize::from(address.port() - TARGET_PORT)
}
