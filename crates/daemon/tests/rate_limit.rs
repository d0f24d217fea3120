//! Tests of targets that state how many requests a second they take.

mod harness;

use std::time::{Duration, Instant};

use harness::{Builder, Call, System, name, row};
use ntex::time::{Millis, sleep};
use ragwortrill_standin::target::Settings;

const KEY: &str = "k1";
/// Requests per second that the target states.
const STATED: &str = "4";
/// Requests that a target with this limit may get in any window: 1.5 times its limit, and 5 more.
const ALLOWED: u64 = 29;
/// Time within which the requests to a target are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time from a target's first statement after which its limit is checked.
const NOTICE: Duration = Duration::from_secs(3);
/// Interval between two rounds of requests, and between two counts.
const INTERVAL: Millis = Millis(50);

struct Case {
    name: &'static str,
    call: fn() -> Call,
    sheds: bool,
    /// Whether the holder of the target crashes after the first statement.
    crashes: bool,
    load_time: Duration,
}

/// Guards against daemons that send a target more requests than it states.
#[ntex::test]
async fn daemons_keep_to_the_rate_that_a_target_states() {
    let cases = [
        Case {
            name: "idempotent",
            call: || Call::get("orders", "/limited", KEY),
            sheds: false,
            crashes: false,
            load_time: Duration::from_secs(8),
        },
        Case {
            name: "non-idempotent",
            call: || Call::post("orders", "/limited", KEY, "one crate"),
            sheds: false,
            crashes: false,
            load_time: Duration::from_secs(8),
        },
        Case {
            name: "refused by the target",
            call: || Call::get("orders", "/limited", KEY),
            sheds: true,
            crashes: false,
            load_time: Duration::from_secs(8),
        },
        Case {
            name: "another holder",
            call: || Call::get("orders", "/limited", KEY),
            sheds: false,
            crashes: true,
            load_time: Duration::from_secs(14),
        },
    ];
    for case in cases {
        check(&case).await;
    }
}

async fn check(case: &Case) {
    let builder = Builder::new().daemons(3).service("orders", row(true), 1);
    let mut system = builder.target(Settings::default()).start();
    let first = Call::get("orders", "/ready", KEY);
    system.call_until_served(0, &first).await;
    let target = name("orders-0");
    system.targets[&target].change(|settings| {
        settings.rate_limit = Some(STATED.to_owned());
        settings.sheds = case.sheds;
        settings.slots = if case.sheds { 0 } else { settings.slots };
    });
    let began = Instant::now();
    let mut counts = Vec::new();
    while began.elapsed() < case.load_time {
        let is_due = began.elapsed() > NOTICE && case.crashes;
        if is_due && system.daemons.iter().all(Option::is_some) {
            let holder = system.holder(&target);
            system.crash_daemon(holder);
        }
        for daemon in 0..system.daemons.len() {
            if system.daemons[daemon].is_some() {
                send(&system, daemon, (case.call)());
            }
        }
        sleep(INTERVAL).await;
        counts.push((began.elapsed(), system.targets[&target].counts().received));
    }
    let most = most_in_window(&counts);
    assert!(most <= ALLOWED, "{}: {most} of {ALLOWED}", case.name);
    assert!(most > 0, "{}: no requests", case.name);
}

/// Sends a request and ignores the reply.
fn send(system: &System, daemon: usize, call: Call) {
    let address = system.address(daemon);
    let reply = async move { harness::send(address, &call).await };
    ntex::rt::spawn(reply);
}

/// Returns the largest number of requests in a window, from `NOTICE` on.
fn most_in_window(counts: &[(Duration, u64)]) -> u64 {
    let counted = counts.iter().filter(|(at, _)| *at >= NOTICE);
    let in_window = |(first, before): &(Duration, u64)| {
        let inside = counts.iter().filter(|(at, _)| *at < *first + WINDOW);
        inside
            .map(|(_, count)| count - before.min(count))
            .max()
            .unwrap_or_default()
    };
    counted.map(in_window).max().unwrap_or_default()
}
