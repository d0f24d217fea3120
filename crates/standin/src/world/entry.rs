//! Models of callers and of the platform's load balancer.

use rand::RngExt;

use ragwortrill_core::{
    event::{Arrival, Event, Head, Ticket},
    key::Digest,
    number::Offset,
    request::{Fingerprint, Id, Refusal, Run},
    time::Span,
};

use super::{Answer, Call, ProcessId, World, process::Origin, settings::Policy, table};

/// Time until the load balancer detects that a daemon is paused or not ready.
const BALANCER_DETECTION_TIME: Span = Span::from_secs(1);
/// Delay before a caller resends a request whose outcome is unknown.
const RESEND_DELAY: Span = Span::from_millis(500);
/// Maximum number of times that a caller sends a request.
const MAX_ATTEMPTS: u32 = 3;

impl World {
    /// Sends a request through an entry that the load balancer chooses. Lookups are idempotent
    /// and orders are not. Returns the request's index.
    pub fn call(&mut self, service: &str, key: u64) -> usize {
        self.call_with(service, key, false)
    }

    /// Sends a request like [`World::call`] that crashes each target that runs it.
    pub fn call_poison(&mut self, service: &str, key: u64) -> usize {
        self.call_with(service, key, true)
    }

    fn call_with(&mut self, service: &str, key: u64, poison: bool) -> usize {
        let number = self.calls.len();
        let name = table::parse(service);
        let digest = Digest::new(&name, &key.to_le_bytes());
        let call = Call {
            request: Id {
                key: digest,
                number: number as u64,
            },
            key: digest,
            idempotent: service == "lookup",
            service: name,
            poison,
            first_sent: self.now,
            answer: None,
            runs: Vec::new(),
            attempts: 0,
        };
        self.calls.push(call);
        self.resend(number);
        number
    }

    /// Sends a request, with the same identifier in each attempt.
    pub fn resend(&mut self, number: usize) {
        self.calls[number].attempts += 1;
        let Some(entry) = self.choose_entry() else {
            return self.answer_caller(number, Answer::Broken);
        };
        let ticket = self.issue_ticket(entry, number, Origin::Caller);
        let process = entry;
        self.run_on(
            process,
            Box::new(move |world| match world.settings.policy {
                Policy::Hashing => world.submit_by_hash(process, ticket),
                _ => world.arrive(process, ticket, Offset(0), None),
            }),
        );
    }

    pub(super) fn issue_ticket(
        &mut self,
        process: ProcessId,
        call: usize,
        origin: Origin,
    ) -> Ticket {
        let daemon = &mut self.daemons[process.index];
        daemon.last_ticket += 1;
        let ticket = Ticket(daemon.last_ticket);
        daemon.tickets.insert(ticket, (call, origin));
        ticket
    }

    pub(super) fn arrive(
        &mut self,
        process: ProcessId,
        ticket: Ticket,
        known_offset: Offset,
        remaining: Option<Span>,
    ) {
        let Some((number, _)) = self.daemons[process.index].tickets.get(&ticket).copied() else {
            return;
        };
        let call = &self.calls[number];
        let head = Head {
            request: call.request,
            service: call.service.clone(),
            key: Some(call.key),
            idempotent: call.idempotent,
            fingerprint: Fingerprint(if call.poison { u64::MAX } else { number as u64 }),
            caller: number as u64 % 7,
        };
        let span = remaining.unwrap_or(self.settings.deadline);
        let arrival = Arrival {
            ticket,
            head,
            deadline: self.local_time(process.index) + span,
            forwarded: remaining.is_some(),
            min_offset: known_offset,
        };
        self.handle(process, Event::Arrive(arrival));
    }

    /// Chooses a random daemon among those that the load balancer considers ready.
    fn choose_entry(&mut self) -> Option<ProcessId> {
        let now = self.now;
        let ready = |index: &usize| {
            let daemon = &self.daemons[*index];
            let unready = daemon
                .unready_at
                .filter(|at| now.since(*at) >= BALANCER_DETECTION_TIME);
            let paused = daemon.paused && now.since(daemon.paused_at) >= BALANCER_DETECTION_TIME;
            daemon.alive && unready.is_none() && !paused
        };
        let ready: Vec<usize> = (0..self.daemons.len()).filter(ready).collect();
        let choice = self.random.random_range(0..ready.len().max(1));
        ready.get(choice).map(|index| self.process(*index))
    }

    /// Delivers the result of a request to its caller.
    pub(super) fn answer_caller(&mut self, number: usize, answer: Answer) {
        let call = &mut self.calls[number];
        if call.is_served() {
            return;
        }
        call.answer = Some((self.now, answer));
        let refused = matches!(answer, Answer::Refused(r) if r.run() == Run::NotRun);
        // A refusal applies to the refused attempt only: an earlier attempt may have run.
        if refused && call.attempts == 1 && !call.runs.is_empty() {
            self.tally.false_refusals += 1;
        }
        let again = match answer {
            Answer::Broken | Answer::Refused(Refusal::Broken) => call.attempts < MAX_ATTEMPTS,
            _ => false,
        };
        if again {
            self.schedule(RESEND_DELAY, move |world| world.resend(number));
        }
    }
}
