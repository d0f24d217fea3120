//! Admission: limits, fairness, reserved slots, deadlines, and refusals of requests that never run.

use std::collections::BTreeMap;

use proptest::{prelude::*, test_runner::Config};
use ragwortrill_core::{
    admission::{Admission, Caller, Decision, Queue, Request, Settings},
    key::Digest,
    request::{Id, Refusal, Run},
    time::{Instant, Span},
};

const SLOTS: u32 = 6;

fn id(number: u64) -> Id {
    Id {
        key: Digest(number),
        number,
    }
}

fn request(number: u64, caller: u64, deadline_ms: u64) -> Request {
    Request {
        id: id(number),
        caller: Caller(caller),
        deadline: Instant(deadline_ms * 1_000),
        idempotent: true,
        exclusive: false,
    }
}

fn at(millis: u64) -> Instant {
    Instant(millis * 1_000)
}

fn queue(settings: Settings) -> Queue {
    let limit = settings.slots;
    let mut queue = Queue::new(settings);
    queue.set_limit(at(0), limit, &mut Vec::new());
    queue
}

fn settings() -> Settings {
    Settings {
        slots: SLOTS,
        connections: 110,
        queue: 100,
        reserved_percent: 0,
    }
}

fn starts(decisions: &[Decision]) -> Vec<Request> {
    let start = |decision: &Decision| match decision {
        Decision::Start(request) => Some(*request),
        Decision::Refuse(..) => None,
    };
    decisions.iter().filter_map(start).collect()
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Offer(u64, bool, bool, u64),
    Finish(usize),
    Respond(usize),
    Release(usize),
    Cancel(u64),
    Expire,
    Limit(u32),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..4u64, any::<bool>(), prop::bool::weighted(0.1), 1..400u64)
            .prop_map(|(c, i, a, d)| Step::Offer(c, i, a, d)),
        3 => (0..8usize).prop_map(Step::Finish),
        1 => (0..8usize).prop_map(Step::Respond),
        1 => (0..8usize).prop_map(Step::Release),
        1 => (0..200u64).prop_map(Step::Cancel),
        1 => Just(Step::Expire),
        1 => (0..9u32).prop_map(Step::Limit),
    ]
}

/// State of each request, as the user of the queue tracks it.
#[derive(Default)]
struct Model {
    running: BTreeMap<Id, Request>,
    streaming: Vec<Id>,
    waiting: BTreeMap<Id, Request>,
    ended: Vec<Id>,
}

impl Model {
    fn start(&mut self, request: Request, queue: &Queue, limits: &Settings) {
        assert!(!self.ended.contains(&request.id), "a refused request ran");
        self.running.insert(request.id, request);
        assert!(
            self.running.len() <= queue.limit() as usize,
            "limit exceeded"
        );
        let connections = self.running.len() + self.streaming.len();
        assert!(
            connections <= limits.connections as usize,
            "connections exceeded"
        );
        let exclusive = self.running.values().any(|t| t.exclusive);
        assert!(
            !exclusive || self.running.len() == 1,
            "an exclusive request did not run alone"
        );
        let idempotent = self.running.values().filter(|t| t.idempotent).count();
        let reserved = (limits.slots * limits.reserved_percent).div_ceil(100);
        let idempotent_limit = queue.limit().saturating_sub(reserved).max(1) as usize;
        assert!(
            !request.idempotent || idempotent <= idempotent_limit,
            "reserved slot taken"
        );
    }

    fn apply(&mut self, decisions: Vec<Decision>, queue: &Queue, limits: &Settings) {
        for decision in decisions {
            match decision {
                Decision::Start(request) => {
                    assert!(self.waiting.remove(&request.id).is_some());
                    self.start(request, queue, limits);
                }
                Decision::Refuse(request, refusal, _) => {
                    assert!(self.waiting.remove(&request.id).is_some());
                    assert_eq!(refusal.run(), Run::NotRun);
                    self.ended.push(request.id);
                }
            }
        }
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 300,
        rng_seed: prop::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against more running requests than slots or connections, against a request that runs
    /// after it was refused, and against a request that is lost: neither running, waiting nor
    /// refused.
    #[test]
    fn limits_hold_and_refused_requests_never_run(steps in prop::collection::vec(step(), 1..200)) {
        let limits = Settings { slots: SLOTS, connections: 8, queue: 10, reserved_percent: 20 };
        let mut queue = queue(limits.clone());
        let mut model = Model::default();
        let mut out = Vec::new();
        for (index, step) in steps.into_iter().enumerate() {
            let now = at(index as u64 * 7);
            let running = |n: usize, m: &Model| m.running.keys().nth(n).copied();
            match step {
                Step::Offer(caller, idempotent, exclusive, budget) => {
                    let deadline = now + Span::from_millis(budget);
                    let caller = Caller(caller);
                    let request = Request { id: id(index as u64), caller, deadline, idempotent, exclusive };
                    match queue.offer(now, request) {
                        Admission::Start => model.start(request, &queue, &limits),
                        Admission::Wait => { model.waiting.insert(request.id, request); }
                        Admission::Refuse(refusal, _) => {
                            prop_assert_eq!(refusal.run(), Run::NotRun);
                            model.ended.push(request.id);
                        }
                    }
                }
                Step::Finish(n) => if let Some(id) = running(n, &model) {
                    model.running.remove(&id);
                    queue.finish(now, id, &mut out);
                }
                Step::Respond(n) => if let Some(id) = running(n, &model) {
                    model.running.remove(&id);
                    model.streaming.push(id);
                    queue.respond(now, id, &mut out);
                }
                Step::Release(n) => {
                    let id = model.streaming.pop().or(running(n, &model)).unwrap_or_default();
                    model.running.remove(&id);
                    queue.release(now, id, &mut out);
                }
                Step::Cancel(number) => {
                    let waited = model.waiting.remove(&id(number)).is_some();
                    prop_assert_eq!(queue.cancel(id(number)), waited);
                    model.ended.extend(waited.then_some(id(number)));
                }
                Step::Expire => queue.expire(now, &mut out),
                Step::Limit(limit) => queue.set_limit(now, limit, &mut out),
            }
            model.apply(std::mem::take(&mut out), &queue, &limits);
            prop_assert_eq!(queue.running(), model.running.len());
            prop_assert_eq!(queue.waiting(), model.waiting.len());
            prop_assert!(queue.waiting() <= limits.queue as usize);
        }
    }
}

/// Guards against a caller with many waiting requests that delays the requests of other callers.
#[test]
fn callers_are_served_round_robin() {
    let mut queue = queue(settings());
    let mut out = Vec::new();
    for number in 0..60 {
        queue.offer(at(0), request(number, 1, 60_000));
    }
    for number in 100..103 {
        queue.offer(at(0), request(number, number, 60_000));
    }
    for number in 0..6 {
        queue.finish(at(1), id(number), &mut out);
    }
    let callers: Vec<u64> = starts(&out).iter().map(|t| t.caller.0).collect();
    assert_eq!(callers, [1, 100, 101, 102, 1, 1]);
}

/// Guards against non-idempotent requests without a slot while idempotent ones use all of them.
#[test]
fn reserved_slots_stay_free_for_non_idempotent_requests() {
    let mut queue = queue(Settings {
        reserved_percent: 20,
        ..settings()
    });
    for number in 0..4 {
        assert_eq!(
            queue.offer(at(0), request(number, 1, 1_000)),
            Admission::Start
        );
    }
    assert_eq!(queue.offer(at(0), request(4, 1, 1_000)), Admission::Wait);
    for number in 10..12 {
        let order = Request {
            idempotent: false,
            ..request(number, 2, 1_000)
        };
        assert_eq!(queue.offer(at(0), order), Admission::Start);
    }
}

struct Offer {
    name: &'static str,
    waiting: u64,
    budget_ms: u64,
    /// Time after which a retry is suggested, in milliseconds, if the request is refused.
    retry_ms: Option<std::ops::RangeInclusive<u64>>,
}

/// Guards against a request that is queued although its deadline would pass before it starts, and
/// against one that is refused although enough time is left.
#[test]
fn refuses_early_by_the_estimated_wait() {
    let cases = [
        Offer {
            name: "no wait",
            waiting: 0,
            budget_ms: 100,
            retry_ms: None,
        },
        // The service time is 60 ms, so one of six slots becomes free every 10 ms.
        Offer {
            name: "enough time for ten completions",
            waiting: 9,
            budget_ms: 200,
            retry_ms: None,
        },
        Offer {
            name: "too little time for thirty completions",
            waiting: 29,
            budget_ms: 200,
            retry_ms: Some(155..=165),
        },
    ];
    for case in cases {
        let mut queue = queue(settings());
        let mut out = Vec::new();
        for number in 0..60 {
            let start = number * 60;
            queue.offer(at(start), request(number, 1, 60_000));
            queue.finish(at(start + 60), id(number), &mut out);
        }
        for number in 100..106 + case.waiting {
            queue.offer(at(3_600), request(number, 1, 60_000));
        }
        let admission = queue.offer(at(3_600), request(1, 1, 3_600 + case.budget_ms));
        let retry = match admission {
            Admission::Refuse(Refusal::Late, retry) => Some(retry.as_millis()),
            _ => None,
        };
        let expected = match (&case.retry_ms, retry) {
            (None, None) => admission == Admission::Wait,
            (Some(range), Some(retry)) => range.contains(&retry),
            _ => false,
        };
        assert!(expected, "{}: {admission:?}", case.name);
    }
}

/// Guards against running a request whose deadline has passed, which no caller waits for.
#[test]
fn expired_requests_are_refused_before_they_run() {
    let mut queue = queue(settings());
    let mut out = Vec::new();
    for number in 0..8 {
        queue.offer(at(0), request(number, 1, 100));
    }
    assert_eq!(queue.next_deadline(), Some(at(100)));
    queue.expire(at(101), &mut out);
    assert_eq!(out.len(), 2);
    assert!(starts(&out).is_empty());
    assert_eq!(queue.waiting(), 0);
}

/// Guards against a queue that admits requests by the past rate while the target completes none.
#[test]
fn a_stall_lengthens_the_estimate() {
    let mut queue = queue(settings());
    let mut out = Vec::new();
    for number in 0..20 {
        queue.offer(at(number * 10), request(number, 1, 60_000));
        queue.finish(at(number * 10 + 10), id(number), &mut out);
    }
    for number in 100..110 {
        queue.offer(at(200), request(number, 1, 60_000));
    }
    let probe = request(1, 1, 60_000);
    let before = queue.estimated_wait(at(200), &probe);
    assert!(queue.estimated_wait(at(1_200), &probe) > Span(before.0 * 10));
}

/// Guards against a stall that is detected although no request runs. The queue of a new holder
/// starts nothing until the target answers a probe, and used to refuse all requests as late.
#[test]
fn an_idle_queue_estimates_no_stall() {
    let mut queue = Queue::new(settings());
    queue.set_limit(at(600_000), 0, &mut Vec::new());
    let admission = queue.offer(at(600_000), request(1, 1, 610_000));
    assert_eq!(admission, Admission::Wait);
}
