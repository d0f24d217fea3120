//! Runs of requests at targets, and request routing under [`Policy::Hashing`].

use ragwortrill_core::{
    event::{Finish, Ticket},
    number::Epoch,
    request::Run,
    time::{Instant, Span},
};

use super::{Answer, Endpoint, ProcessId, World, settings::Policy};

/// Timeout of opening a connection to a target.
const CONNECT_TIMEOUT: Span = Span::from_millis(40);
/// Under [`Policy::Hashing`], interval of probes and delay before a failed request is repeated.
const HASHING_INTERVAL: Span = Span::from_millis(250);
/// Time between two runs of a key at one target below which they count as a violation if another
/// target ran the key in between.
const RETURN_WINDOW: Span = Span::from_secs(3);
/// Time until a target that a request crashed starts again.
const RESTART_TIME: Span = Span::from_millis(1_500);

impl World {
    pub(super) fn submit(
        &mut self,
        process: ProcessId,
        ticket: Ticket,
        token: u64,
        target_index: usize,
        epoch: Epoch,
        call: usize,
    ) {
        let (source, destination) = (
            Endpoint::Daemon(process.index),
            Endpoint::Target(target_index),
        );
        let unresponsive =
            !self.targets[target_index].alive && self.targets[target_index].host_lost;
        if unresponsive || !self.net.is_open(source, destination) {
            return self.schedule_on(CONNECT_TIMEOUT, process, move |world| {
                world.finish(process, ticket, token, Finish::Unsent { lapsed: false });
            });
        }
        self.send(source, destination, move |world| {
            if !world.targets[target_index].alive {
                let result = Finish::Unsent { lapsed: false };
                return world.send_result(process, ticket, token, target_index, result);
            }
            let job = move |world: &mut Self| {
                world.serve(process, ticket, token, target_index, epoch, call)
            };
            world.run_on_target(target_index, Box::new(job));
        });
    }

    fn send_result(
        &mut self,
        process: ProcessId,
        ticket: Ticket,
        token: u64,
        target_index: usize,
        result: Finish,
    ) {
        let (source, destination) = (
            Endpoint::Target(target_index),
            Endpoint::Daemon(process.index),
        );
        self.send(source, destination, move |world| {
            let job = move |world: &mut Self| world.finish(process, ticket, token, result);
            world.run_on(process, Box::new(job));
        });
    }

    fn serve(
        &mut self,
        process: ProcessId,
        ticket: Ticket,
        token: u64,
        target_index: usize,
        epoch: Epoch,
        call: usize,
    ) {
        let leased = self.settings.policy != Policy::Hashing;
        if leased && !self.targets[target_index].may_serve(epoch, self.now) {
            return self.send_result(process, ticket, token, target_index, Finish::Shed);
        }
        // The sender has closed the connection, so the target does not run the request.
        if !self.is_pending(process, token) {
            return;
        }
        self.count_run(target_index, epoch, call, leased);
        let start_id = self.targets[target_index].start_id;
        if self.calls[call].poison {
            self.crash_target(target_index);
        }
        let span = self.targets[target_index].service_time(self.settings.service_time, self.now);
        self.schedule(span, move |world| {
            if world.targets[target_index].start_id != start_id
                && world.targets[target_index].host_lost
            {
                return;
            }
            if world.targets[target_index].start_id != start_id {
                return world.send_result(process, ticket, token, target_index, Finish::Broken);
            }
            let job = move |world: &mut Self| {
                world.send_result(process, ticket, token, target_index, Finish::Answered(200));
            };
            world.run_on_target(target_index, Box::new(job));
        });
    }

    fn crash_target(&mut self, target_index: usize) {
        self.tally.crashes += 1;
        self.end_target(target_index, false);
        self.schedule(RESTART_TIME, move |world| {
            world.restart_target(target_index)
        });
    }

    fn count_run(&mut self, target_index: usize, epoch: Epoch, number: usize, leased: bool) {
        self.runs += 1;
        let now = self.now;
        let call = &mut self.calls[number];
        call.runs.push((now, target_index));
        let refused =
            matches!(call.answer, Some((_, Answer::Refused(r))) if r.run() == Run::NotRun);
        self.tally.false_refusals += u64::from(refused && call.attempts == 1);
        self.tally.double_runs += u64::from(!call.idempotent && call.runs.len() > 1);
        let (service, key) = (call.service.clone(), call.key);
        let target = &mut self.targets[target_index];
        self.tally.stale_runs += u64::from(epoch < target.highest_epoch_ever);
        target.highest_epoch_ever = target.highest_epoch_ever.max(epoch);
        let ledger = self.log.ledger();
        let name = &self.targets[target_index].name;
        let by_key = ledger.table().services.get(&service);
        if by_key.is_some_and(|row| row.divided_by_key) {
            let wrong_owner = ledger.owner(&service, key) != Some(name);
            self.tally.wrong_owner_runs += u64::from(wrong_owner && leased);
            // With leases, a key may move back within the window, which is no violation. Runs at a
            // wrong owner are counted instead.
            if !leased {
                self.count_return(target_index, key, now);
            }
        }
    }

    /// Counts a key's runs at targets A, B, A: target A still ran it after B had taken over.
    fn count_return(
        &mut self,
        target_index: usize,
        key: ragwortrill_core::key::Digest,
        now: Instant,
    ) {
        let last = self.last_runs.entry(key).or_default();
        let moved_away = last.iter().any(|(at, other, moved_away)| {
            *other == target_index && *moved_away && now.since(*at) < RETURN_WINDOW
        });
        self.tally.returned_runs += u64::from(moved_away);
        last.retain(|(at, other, _)| now.since(*at) < RETURN_WINDOW && *other != target_index);
        last.iter_mut()
            .for_each(|(_, _, moved_away)| *moved_away = true);
        last.push((now, target_index, false));
    }

    /// Probes all targets from an entry, periodically.
    pub(super) fn probe_all(&mut self, process: ProcessId) {
        for target_index in 0..self.targets.len() {
            let (source, destination) = (
                Endpoint::Daemon(process.index),
                Endpoint::Target(target_index),
            );
            self.send(source, destination, move |world| {
                let job = move |world: &mut Self| {
                    world.send(destination, source, move |world| {
                        let now = world.now;
                        let job = move |world: &mut Self| {
                            world.daemons[process.index]
                                .last_probe_answer
                                .insert(target_index, now);
                        };
                        world.run_on(process, Box::new(job));
                    });
                };
                world.run_on_target(target_index, Box::new(job));
            });
        }
        self.schedule_on(HASHING_INTERVAL, process, move |world| {
            world.probe_all(process)
        });
    }

    /// Sends a request to the target that its key hashes to, among those that answer probes.
    pub(super) fn submit_by_hash(&mut self, process: ProcessId, ticket: Ticket) {
        let Some((number, _)) = self.daemons[process.index].tickets.get(&ticket).copied() else {
            return;
        };
        let call = &self.calls[number];
        if self.now.since(call.first_sent) >= self.settings.deadline {
            return self.break_connection(process, ticket);
        }
        let range = match call.idempotent {
            true => 0..self.settings.lookups,
            false => self.settings.lookups..self.targets.len(),
        };
        let last_probe_answer = &self.daemons[process.index].last_probe_answer;
        let lost = self.settings.times.target_lost;
        let live = |target_index: &usize| {
            let name = &self.targets[*target_index].name;
            let answers_probes = last_probe_answer
                .get(target_index)
                .is_some_and(|at| self.now.since(*at) < lost);
            answers_probes && self.log.ledger().is_in_service(name)
        };
        let live: Vec<usize> = range.filter(live).collect();
        let key = call.key.0 as usize;
        let token = self.new_token(process);
        match live.get(key % live.len().max(1)) {
            Some(target_index) => {
                self.submit(process, ticket, token, *target_index, Epoch(0), number)
            }
            None => self.finish_deferred(process, ticket, token, Finish::Unsent { lapsed: false }),
        }
    }

    pub(super) fn finish_hashed(&mut self, process: ProcessId, ticket: Ticket, result: Finish) {
        let Some((number, _)) = self.daemons[process.index].tickets.get(&ticket).copied() else {
            return;
        };
        let idempotent = self.calls[number].idempotent;
        match result {
            Finish::Answered(status) => self.answer(process, ticket, status),
            Finish::Broken if !idempotent => self.break_connection(process, ticket),
            _ => self.schedule_on(HASHING_INTERVAL, process, move |world| {
                world.submit_by_hash(process, ticket)
            }),
        }
    }

    fn break_connection(&mut self, process: ProcessId, ticket: Ticket) {
        if let Some((number, _)) = self.daemons[process.index].tickets.remove(&ticket) {
            self.answer_caller(number, Answer::Broken);
        }
    }
}
