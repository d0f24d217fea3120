//! Actions of nodes.

use ragwortrill_core::{
    action::{Action, Dispatch},
    event::{self, Event, Finish, Grant, Message, Probe, Ticket},
    name,
    number::Offset,
    time::{Instant, Span},
};

use super::{Answer, End, Ref, World, process::Origin, settings::Policy};

/// Time after which a probe or a grant counts as not answered.
const PROBE_TIMEOUT: Span = Span::from_millis(250);
/// First port of targets.
const TARGET_PORT: u16 = 8_000;

impl World {
    pub(super) fn perform(&mut self, process: Ref, action: Action) {
        match action {
            Action::Append(entry) => self.append(process, entry),
            Action::Send { to, message } => self.tell(process, &to, message),
            Action::Probe { target, address } => {
                self.probe(process, target, site(address));
            }
            Action::Grant {
                target,
                address,
                grant,
            } => self.grant(process, target, site(address), grant),
            Action::Dispatch(start) => self.start(process, start),
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
            Action::Unready => self.shells[process.index].unready_at = Some(self.now),
            Action::Exit => self.end(process.index, true),
        }
    }

    fn tell(&mut self, from: Ref, to: &event::Endpoint, message: Message) {
        let withheld = self.settings.policy == Policy::LogOnly;
        if withheld && matches!(message, Message::Promise { .. }) {
            return;
        }
        if let Some(tap) = &mut self.tap {
            let sender = self.shells[from.index].process();
            tap(self.now, sender, &to.process, &message);
        }
        let Some(peer) = self.find(to) else {
            return;
        };
        let (one, other) = (End::Daemon(from.index), End::Daemon(peer.index));
        self.send(one, other, move |world| {
            let job = move |world: &mut Self| world.hear(from, peer, message);
            world.on(peer, Box::new(job));
        });
    }

    fn hear(&mut self, from: Ref, process: Ref, message: Message) {
        let Message::Fetch { sent, offset } = message else {
            let from = self.shells[from.index].process().clone();
            return self.handle(process, Event::Received { from, message });
        };
        let now = self.local(process.index);
        let read = self.shells[process.index].records(sent, offset, now);
        let (one, other) = (End::Daemon(process.index), End::Daemon(from.index));
        self.send(one, other, move |world| {
            let job = move |world: &mut Self| world.handle(from, Event::Read(read));
            world.on(from, Box::new(job));
        });
    }

    /// Returns a peer's current run, unless it is a later one than named.
    fn find(&self, peer: &event::Endpoint) -> Option<Ref> {
        let index = self
            .shells
            .iter()
            .position(|shell| *shell.process() == peer.process)?;
        Some(self.process(index))
    }

    fn probe(&mut self, process: Ref, target: name::Target, site: usize) {
        let token = self.token(process);
        let silent = target.clone();
        self.on_after(PROBE_TIMEOUT, process, move |world| {
            world.probed(process, token, silent, Probe::Silent);
        });
        let (one, other) = (End::Daemon(process.index), End::Target(site));
        self.send(one, other, move |world| {
            if world.sites[site].refuses() {
                return world.answer_probe(process, token, target, site, Probe::Unreachable);
            }
            let job = move |world: &mut Self| {
                let start_id = world.sites[site].mark;
                let answer = Probe::Answered {
                    start_id,
                    load: 0,
                    clock_ms: Span(world.now.0).as_millis(),
                };
                world.answer_probe(process, token, target, site, answer);
            };
            world.at_site(site, Box::new(job));
        });
    }

    fn answer_probe(
        &mut self,
        process: Ref,
        token: u64,
        target: name::Target,
        site: usize,
        answer: Probe,
    ) {
        let (one, other) = (End::Target(site), End::Daemon(process.index));
        self.send(one, other, move |world| {
            let job = move |world: &mut Self| world.probed(process, token, target, answer);
            world.on(process, Box::new(job));
        });
    }

    fn probed(&mut self, process: Ref, token: u64, target: name::Target, answer: Probe) {
        if self.take(process, token) {
            self.handle(process, Event::Probed { target, answer });
        }
    }

    fn grant(&mut self, process: Ref, target: name::Target, site: usize, grant: Grant) {
        let (one, other) = (End::Daemon(process.index), End::Target(site));
        self.send(one, other, move |world| {
            let job = move |world: &mut Self| {
                let accepted = world.accept_grant(site, grant);
                let event = Event::Granted {
                    target,
                    epoch: grant.epoch,
                    accepted,
                };
                world.send(other, one, move |world| {
                    let job = move |world: &mut Self| world.handle(process, event);
                    world.on(process, Box::new(job));
                });
            };
            world.at_site(site, Box::new(job));
        });
    }

    fn accept_grant(&mut self, site: usize, grant: Grant) -> bool {
        let now = self.now;
        let target = &mut self.sites[site];
        let accepted = grant.epoch >= target.epoch;
        if accepted {
            target.epoch = grant.epoch;
            target.commanded = target.commanded.max(grant.epoch);
            let from = Instant(Span::from_millis(grant.from_ms).0).min(now);
            target.granted_until = from + grant.ttl;
        }
        accepted
    }

    fn start(&mut self, process: Ref, start: Dispatch) {
        let now = self.local(process.index);
        let token = self.token(process);
        let ticket = start.ticket;
        if now >= start.lease_end {
            return self.fail(process, ticket, token, Finish::Unsent { lapsed: true });
        }
        self.count_owners(process.index);
        let Some((call, _)) = self.shells[process.index].tickets.get(&ticket).copied() else {
            return;
        };
        let limit = start.deadline.since(now);
        self.on_after(limit, process, move |world| {
            world.finish(process, ticket, token, Finish::Broken);
        });
        let site = site(start.address);
        self.submit(process, ticket, token, site, start.epoch, call);
    }

    /// Ends a request at its sender after the current event.
    pub(super) fn fail(&mut self, process: Ref, ticket: Ticket, token: u64, result: Finish) {
        self.on_after(Span::ZERO, process, move |world| {
            world.finish(process, ticket, token, result);
        });
    }

    pub(super) fn finish(&mut self, process: Ref, ticket: Ticket, token: u64, result: Finish) {
        if !self.take(process, token) {
            return;
        }
        if self.settings.policy == Policy::Hashing {
            return self.hashed(process, ticket, result);
        }
        if let Finish::Answered(status) = result {
            self.answer(process, ticket, status);
        }
        self.handle(process, Event::Finish { ticket, result });
    }

    pub(super) fn answer(&mut self, process: Ref, ticket: Ticket, status: u16) {
        let Some((call, origin)) = self.shells[process.index].tickets.remove(&ticket) else {
            return;
        };
        match origin {
            Origin::Caller => self.tell_caller(call, Answer::Status(status)),
            Origin::Peer(..) => self.reply(process, origin, Finish::Answered(status)),
        }
    }

    fn refuse(&mut self, process: Ref, ticket: Ticket, result: Finish) {
        let Some((call, origin)) = self.shells[process.index].tickets.remove(&ticket) else {
            return;
        };
        match (origin, result) {
            (Origin::Caller, Finish::Refused { refusal, .. }) => {
                self.tell_caller(call, Answer::Refused(refusal));
            }
            _ => self.reply(process, origin, result),
        }
    }

    fn reply(&mut self, process: Ref, origin: Origin, result: Finish) {
        let Origin::Peer(entry, ticket, token) = origin else {
            return;
        };
        let (one, other) = (End::Daemon(process.index), End::Daemon(entry.index));
        self.send(one, other, move |world| {
            let job = move |world: &mut Self| world.finish(entry, ticket, token, result);
            world.on(entry, Box::new(job));
        });
    }

    fn forward(&mut self, process: Ref, ticket: Ticket, to: &event::Endpoint, deadline: Instant) {
        let token = self.token(process);
        let Some(peer) = self.find(to).filter(|peer| self.shells[peer.index].alive) else {
            return self.fail(process, ticket, token, Finish::LinkBroken);
        };
        let Some((call, _)) = self.shells[process.index].tickets.get(&ticket).copied() else {
            return;
        };
        let shell = &mut self.shells[process.index];
        shell.forwards.insert(token, (ticket, peer));
        let known: Offset = shell.node.ledger().offset();
        let remaining = deadline.since(self.local(process.index));
        self.on_after(remaining, process, move |world| {
            world.finish(process, ticket, token, Finish::LinkBroken);
        });
        let (one, other) = (End::Daemon(process.index), End::Daemon(peer.index));
        self.send(one, other, move |world| {
            let job = move |world: &mut Self| {
                let origin = Origin::Peer(process, ticket, token);
                let ticket = world.admit(peer, call, origin);
                world.arrive(peer, ticket, known, Some(remaining));
            };
            world.on(peer, Box::new(job));
        });
    }
}

fn site(address: std::net::SocketAddr) -> usize {
    usize::from(address.port() - TARGET_PORT)
}
