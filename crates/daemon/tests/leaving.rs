//! Tests of targets that state in their answers that they leave.

mod harness;

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use harness::{Builder, Call, System, TIMEOUT, name, row};
use ntex::time::{Millis, sleep};
use ragwortrill_core::name;

/// Time from the first statement after which no request may reach the target, if any target of its
/// service may take it: heartbeats tell it to all daemons.
const NOTICE: Duration = Duration::from_secs(1);
/// Time in which a target of a service that is divided by key gives its keys away.
const MOVE_TIME: Duration = Duration::from_secs(8);
/// Time after which a request is refused, if no target of its service takes requests.
const REFUSAL_TIME: Duration = Duration::from_secs(1);
/// Interval between two rounds of requests.
const INTERVAL: Millis = Millis(20);
/// Number of keys that are requested.
const KEYS: usize = 20;

struct Case {
    name: &'static str,
    divided_by_key: bool,
    call: fn(&str) -> Call,
    /// Time from the first statement after which no request may reach the target.
    notice: Duration,
    /// Whether the holder of the target crashes after `notice`.
    crashes: bool,
    load_time: Duration,
}

fn get(key: &str) -> Call {
    Call::get("orders", "/leaving", key)
}

fn post(key: &str) -> Call {
    Call::post("orders", "/leaving", key, "one crate")
}

/// Guards against requests that are sent to a target which has stated that it leaves, while others of
/// its service may take them.
#[ntex::test]
async fn no_request_is_sent_to_a_target_that_leaves() {
    let cases = [
        Case {
            name: "any target, idempotent",
            divided_by_key: false,
            call: get,
            notice: NOTICE,
            crashes: false,
            load_time: Duration::from_secs(4),
        },
        Case {
            name: "any target, non-idempotent",
            divided_by_key: false,
            call: post,
            notice: NOTICE,
            crashes: false,
            load_time: Duration::from_secs(4),
        },
        Case {
            name: "any target, another holder",
            divided_by_key: false,
            call: get,
            notice: NOTICE,
            crashes: true,
            load_time: Duration::from_secs(12),
        },
        Case {
            name: "divided by key",
            divided_by_key: true,
            call: get,
            notice: MOVE_TIME,
            crashes: false,
            load_time: Duration::from_secs(10),
        },
    ];
    for case in cases {
        check(&case).await;
    }
}

async fn check(case: &Case) {
    let mut system = start(case.divided_by_key, 3).await;
    let target: name::Target = name("orders-0");
    system.targets[&target].change(|settings| settings.is_leaving = true);
    let failed = Rc::new(RefCell::new(Vec::new()));
    let began = Instant::now();
    let mut known = None;
    let mut round = 0;
    while began.elapsed() < case.load_time {
        let received = system.targets[&target].counts().received;
        if began.elapsed() > case.notice && known.is_none() {
            known = Some(received);
            if case.crashes {
                system.crash_daemon(system.holder(&target));
            }
        }
        round += 1;
        let key = key(round);
        for daemon in 0..system.daemons.len() {
            if system.daemons[daemon].is_some() {
                send(&system, daemon, (case.call)(&key), failed.clone());
            }
        }
        sleep(INTERVAL).await;
    }
    let received = system.targets[&target].counts().received;
    let known = known.expect("the load lasts longer than the notice");
    assert!(known > 0, "{}: the target made no statement", case.name);
    assert_eq!(received - known, 0, "{}", case.name);
    let failed = failed.borrow();
    assert!(
        case.crashes || failed.is_empty(),
        "{}: {failed:?}",
        case.name
    );
}

/// Guards against a target that gets no requests after it has left and started again.
#[ntex::test]
async fn next_run_of_a_target_that_left_gets_requests() {
    let mut system = start(false, 2).await;
    let target: name::Target = name("orders-0");
    let settle = |system: &System| system.targets[&target].counts().received;
    system.targets[&target].change(|settings| settings.is_leaving = true);
    load(&system, NOTICE).await;
    let left = settle(&system);
    load(&system, NOTICE).await;
    assert_eq!(settle(&system), left, "the statement was not recorded");
    let server = system.targets.get_mut(&target).expect("the target exists");
    server.change(|settings| settings.is_leaving = false);
    server.restart().expect("the target starts again");
    let began = Instant::now();
    while settle(&system) == left {
        assert!(began.elapsed() < TIMEOUT, "the next run gets no requests");
        load(&system, Duration::from_millis(100)).await;
    }
}

/// Guards against requests that wait for their deadline, although no target of their service takes
/// requests any more.
#[ntex::test]
async fn request_is_refused_at_once_when_all_targets_of_its_service_leave() {
    let system = start(false, 2).await;
    for server in system.targets.values() {
        server.change(|settings| settings.is_leaving = true);
    }
    load(&system, NOTICE).await;
    for daemon in 0..system.daemons.len() {
        let sent = Instant::now();
        let reply = system.call(daemon, &get("k1")).await;
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        assert!(sent.elapsed() < REFUSAL_TIME, "{:?}", sent.elapsed());
        assert_eq!(reply.status, 503, "{text}");
        assert!(text.contains("no-target"), "{text}");
        assert!(reply.headers.contains_key("retry-after"), "{reply:?}");
    }
}

/// Starts three daemons and the targets of a service, which have served each key.
async fn start(divided_by_key: bool, targets: usize) -> System {
    let builder = Builder::new().service("orders", row(divided_by_key), targets);
    let system = builder.start();
    for daemon in 0..system.daemons.len() {
        for number in 0..KEYS {
            system.call_until_served(daemon, &get(&key(number))).await;
        }
    }
    system
}

fn key(number: usize) -> String {
    format!("k{}", number % KEYS)
}

/// Sends requests through all daemons, one after the other.
async fn load(system: &System, time: Duration) {
    let began = Instant::now();
    let mut number = 0;
    while began.elapsed() < time {
        number += 1;
        let daemon = number % system.daemons.len();
        let _ = system.call(daemon, &get(&key(number))).await;
        sleep(INTERVAL).await;
    }
}

/// Sends a request, and keeps the reply if it is no answer.
fn send(system: &System, daemon: usize, call: Call, failed: Rc<RefCell<Vec<harness::Reply>>>) {
    let address = system.address(daemon);
    ntex::rt::spawn(async move {
        let reply = harness::send(address, &call).await;
        if reply.status != 200 {
            failed.borrow_mut().push(reply);
        }
    });
}
