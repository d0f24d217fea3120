//! Tests of targets that state with a refusal for how long they want nothing.

mod harness;

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use harness::{
    Builder, Call, System, name, row,
    scripted::{Answer, Received, Server},
};
use ntex::time::{Millis, sleep};
use ragwortrill_core::name;

const KEY: &str = "k1";
/// Seconds for which the target wants nothing.
const STATED: &str = "4";
/// The same as a time.
const STATED_TIME: Duration = Duration::from_secs(4);
/// Time after a refusal in which requests that were under way may still arrive, and other daemons
/// learn of it.
const SLACK: Duration = Duration::from_millis(500);
/// Longest time for a refusal that needs no wait.
const AT_ONCE: Duration = Duration::from_millis(500);
/// Time before the end of a pause from which requests wait for it, and some slack.
const WAITING_TIME: Duration = Duration::from_millis(1_200);
/// Interval between two rounds of requests.
const INTERVAL: Millis = Millis(20);

struct Case {
    name: &'static str,
    divided_by_key: bool,
    call: fn() -> Call,
    /// Other targets of the service, which take requests.
    others: usize,
}

fn get() -> Call {
    Call::get("orders", "/paused", KEY)
}

fn get_in_time() -> Call {
    get().header("ragwortrill-deadline-ms", "2000")
}

fn post_in_time() -> Call {
    let call = Call::post("orders", "/paused", KEY, "one crate");
    call.header("ragwortrill-deadline-ms", "2000")
}

/// Guards against requests to a target within the time for which it wants nothing, and against
/// requests that wait for it though it will not take them in time.
#[ntex::test]
async fn target_gets_nothing_until_the_time_that_it_stated_is_over() {
    let cases = [
        Case {
            name: "owner of the requests' key",
            divided_by_key: true,
            call: get_in_time,
            others: 0,
        },
        Case {
            name: "owner of the orders' key",
            divided_by_key: true,
            call: post_in_time,
            others: 0,
        },
        Case {
            name: "the only target of a service",
            divided_by_key: false,
            call: get_in_time,
            others: 0,
        },
        Case {
            name: "one of two targets",
            divided_by_key: false,
            call: get_in_time,
            others: 1,
        },
        Case {
            name: "one of two targets for orders",
            divided_by_key: false,
            call: post_in_time,
            others: 1,
        },
    ];
    for case in cases {
        check(&case).await;
    }
}

async fn check(case: &Case) {
    let builder = Builder::new().service("orders", row(case.divided_by_key), 1 + case.others);
    let system = builder.start();
    for daemon in 0..system.daemons.len() {
        system.call_until_served(daemon, &get()).await;
    }
    let target: name::Target = name("orders-0");
    let counts = || system.targets[&target].counts();
    set_refusing(&system, &target, STATED);
    while counts().refused == 0 {
        send_to_all(&system, case.call);
        sleep(INTERVAL).await;
    }
    let stated_at = Instant::now();
    sleep(Millis(SLACK.as_millis() as u32)).await;
    set_serving(&system, &target);
    let early = counts().received;
    let mut round = 0;
    while stated_at.elapsed() < STATED_TIME - WAITING_TIME {
        send_to_all(&system, case.call);
        round += 1;
        let daemon = round % system.daemons.len();
        let began = Instant::now();
        let left = STATED_TIME - stated_at.elapsed();
        let reply = system.call(daemon, &(case.call)()).await;
        match case.others {
            0 => check_refusal(case, &reply, began.elapsed(), left),
            _ => assert_eq!(reply.status, 200, "{}: {reply:?}", case.name),
        }
        sleep(INTERVAL).await;
    }
    assert_eq!(counts().received - early, 0, "{}: requests", case.name);
    let before = counts().received;
    let is_due = || stated_at.elapsed() < STATED_TIME + SLACK;
    while is_due() && counts().received == before {
        send_to_all(&system, case.call);
        sleep(INTERVAL).await;
    }
    assert!(
        counts().received > before,
        "{}: no requests again",
        case.name
    );
}

fn check_refusal(case: &Case, reply: &harness::Reply, elapsed: Duration, left: Duration) {
    let text = String::from_utf8_lossy(&reply.body);
    assert_eq!(reply.status, 503, "{}: {text}", case.name);
    assert!(elapsed < AT_ONCE, "{}: {elapsed:?}", case.name);
    let stated: u64 = reply.headers["retry-after"].parse().expect("whole seconds");
    let stated = Duration::from_secs(stated);
    // It is rounded up to a second, and as old as the latest heartbeat of the holder.
    let is_true = stated + SLACK > left && stated < left + Duration::from_secs(1) + SLACK;
    assert!(is_true, "{}: {stated:?} of {left:?}", case.name);
}

fn set_refusing(system: &System, target: &name::Target, stated: &str) {
    system.targets[target].change(|settings| {
        settings.retry_after = stated.to_owned();
        settings.sheds = true;
        settings.slots = 0;
    });
}

fn set_serving(system: &System, target: &name::Target) {
    system.targets[target].change(|settings| {
        settings.sheds = false;
        settings.slots = 6;
    });
}

/// Sends a request through each daemon and ignores the replies.
fn send_to_all(system: &System, call: fn() -> Call) {
    for daemon in 0..system.daemons.len() {
        let address = system.address(daemon);
        ntex::rt::spawn(async move { harness::send(address, &call()).await });
    }
}

/// Guards against a request that is refused although its target takes it again in time, and against
/// one that is sent to it too early.
#[ntex::test]
async fn request_waits_for_a_target_that_takes_it_in_time() {
    struct Case {
        stated: &'static str,
        waits: bool,
    }
    let cases = [("2", true), ("soon", false)];
    let cases = cases.map(|(stated, waits)| Case { stated, waits });
    for case in cases {
        let system = Builder::new().service("orders", row(true), 1).start();
        system.call_until_served(0, &get()).await;
        let target: name::Target = name("orders-0");
        set_refusing(&system, &target, case.stated);
        let call = get();
        let first = harness::send(system.address(0), &call);
        let began = Instant::now();
        let (first, ()) = futures_util::join!(first, async {
            while system.targets[&target].counts().refused == 0 {
                sleep(INTERVAL).await;
            }
            set_serving(&system, &target);
        });
        assert_eq!(first.status, 200, "{}: {first:?}", case.stated);
        let has_waited = began.elapsed() > Duration::from_millis(1_900);
        assert_eq!(
            has_waited,
            case.waits,
            "{}: {:?}",
            case.stated,
            began.elapsed()
        );
    }
}

/// Guards against the answer of a target, which may have run the request, that is replaced by a
/// refusal, and against requests that follow it too early.
#[ntex::test]
async fn answer_with_status_503_is_passed_on_and_keeps_its_time() {
    let target = Server::start();
    let builder = Builder::new().daemons(2);
    let system = builder.remote("plans", row(true), target.address()).start();
    let ready = Call::get("plans", "/ready", KEY);
    for daemon in 0..2 {
        system.call_until_served(daemon, &ready).await;
    }
    let arrived = Arc::new(AtomicU64::new(0));
    let count = arrived.clone();
    target.set(move |_: &Received| {
        count.fetch_add(1, Ordering::Relaxed);
        let answer = "HTTP/1.1 503 -\r\nRetry-After: 60\r\nContent-Length: 4\r\n\r\nbusy";
        Answer {
            bytes: answer.as_bytes().to_vec(),
            ..Answer::default()
        }
    });
    let call = || Call::post("plans", "/work", KEY, "one crate");
    let reply = system.call(0, &call()).await;
    assert_eq!((reply.status, &reply.body[..]), (503, &b"busy"[..]));
    assert_eq!(reply.headers["retry-after"], "60");
    for daemon in 0..2 {
        let reply = system.call(daemon, &call()).await;
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        assert_eq!(reply.status, 503, "{text}");
        assert!(text.contains("not-run"), "{text}");
        assert!(
            matches!(&*reply.headers["retry-after"], "59" | "60"),
            "{reply:?}"
        );
    }
    assert_eq!(arrived.load(Ordering::Relaxed), 1);
}
