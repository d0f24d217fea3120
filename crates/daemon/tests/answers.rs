//! Tests of responses that break off, arrive late, or whose caller has left.

mod harness;

use harness::{Builder, Call, Reply, System, TIMEOUT, row, send_and_disconnect};
use ragwortrill_core::name;
use ragwortrill_standin::target::{Answer, Counts, Server, Settings, byte_at};
use test_case::test_case;

const KEY: &str = "k1";
/// Time in which a request reaches its queue, and the end of its connection the daemon.
const PAUSE: std::time::Duration = std::time::Duration::from_millis(300);

/// Starts a system with one target, so that two of three daemons forward to the third.
async fn system(settings: Settings) -> System {
    let builder = Builder::new().service("plans", row(true), 1);
    let system = builder.target(settings).start();
    for daemon in 0..3 {
        let call = Call::get("plans", "/ready", KEY);
        system.call_until_served(daemon, &call).await;
    }
    system
}

fn target(system: &System) -> &Server {
    let name: name::Target = harness::name("plans-0");
    &system.targets[&name]
}

/// Waits until the target's counters meet a condition, and fails after [`TIMEOUT`].
async fn until(target: &Server, what: &str, holds: impl FnMut(&Counts) -> bool) {
    let reached = tokio::time::timeout(TIMEOUT, target.until(holds)).await;
    assert!(
        reached.is_ok(),
        "no request {what} in time: {:?}",
        target.counts()
    );
}

fn body(reply: &Reply) -> String {
    String::from_utf8_lossy(&reply.body).into_owned()
}

/// Guards against a download that breaks off but looks complete to its caller.
#[test_case(""; "with a length")]
#[test_case("&chunked=1"; "without a length")]
fn a_download_that_breaks_off_is_visibly_incomplete(option: &'static str) {
    run(async move {
        let system = system(Settings::default()).await;
        for daemon in 0..3 {
            let path = format!("/stream/300000?break_at=1000{option}");
            let reply = system.call(daemon, &Call::get("plans", &path, KEY)).await;
            assert_eq!(reply.status, 200);
            assert!(!reply.complete, "{} bytes of 300000", reply.body.len());
        }
    });
}

/// Guards against a response to HEAD that counts as truncated because it announces a length but has
/// no body.
#[ntex::test]
async fn a_response_to_head_keeps_its_length() {
    let settings = Settings {
        checks_epoch: false,
        ..Settings::default()
    };
    let system = system(settings).await;
    let call = Call::head_request("plans", "/stream/5000", KEY);
    let path = Call::direct(ntex::http::Method::HEAD, "/stream/5000");
    let direct = harness::send(target(&system).address(), &path).await;
    assert_eq!(direct.headers["content-length"], "5000");
    for daemon in 0..3 {
        let reply = system.call(daemon, &call).await;
        assert_eq!((reply.status, reply.complete), (200, true));
        assert_eq!(reply.headers["content-length"], "5000");
    }
}

/// Guards against targets that work on an idempotent request after its caller has left.
#[test_case("/work"; "before the response")]
#[test_case("/stream/300000"; "during the response")]
fn idempotent_work_is_cancelled_when_its_caller_leaves(path: &'static str) {
    run(async move {
        let system = system(Settings::default()).await;
        let target = target(&system);
        target.change(|settings| settings.hold = true);
        for daemon in 0..3 {
            let before = target.counts();
            let has_started = until(target, "starts", |now| now.started > before.started);
            let call = Call::get("plans", path, KEY);
            send_and_disconnect(system.address(daemon), &call, has_started).await;
            let ended = |now: &Counts| {
                now.interrupted > before.interrupted || {
                    now.cancelled > before.cancelled && now.running == 0
                }
            };
            until(target, "is cancelled", ended).await;
        }
    });
}

/// Guards against a non-idempotent request that is cut because its caller left, or that runs again
/// when the caller repeats it.
#[ntex::test]
async fn an_order_runs_to_its_end_when_its_caller_leaves() {
    let system = system(Settings::default()).await;
    let target = target(&system);
    for daemon in 0..3 {
        target.change(|settings| settings.hold = true);
        let before = target.counts();
        let id = format!("order-{daemon}");
        let call = Call::post("plans", "/new", KEY, "").header("idempotency-key", &id);
        let has_started = until(target, "starts", |now| now.started > before.started);
        send_and_disconnect(system.address(daemon), &call, has_started).await;
        target.change(|settings| settings.hold = false);
        until(target, "ends", |now| now.finished > before.finished).await;
        let call = Call::post("plans", "/new", KEY, "").header("idempotency-key", &id);
        let reply = repeat(&system, (daemon + 1) % 3, &call).await;
        let answer: Answer =
            serde_json::from_slice(&reply.body).expect("the response of the first run");
        assert_eq!(answer.runs, 1);
    }
    assert_eq!(target.counts().repeated(), Vec::<&str>::new());
}

/// Guards against an order that waits on in the queue of its holder after its caller has left, and is
/// sent later.
#[ntex::test]
async fn a_queued_order_is_not_sent_after_its_caller_has_left() {
    let mut limits = row(true);
    limits.slots = 1;
    let builder = Builder::new().service("plans", limits, 1);
    let system = builder.target(Settings::default()).start();
    let target = target(&system);
    for daemon in 0..3 {
        let ready = Call::get("plans", "/ready", KEY);
        system.call_until_served(daemon, &ready).await;
        target.change(|settings| settings.hold = true);
        let before = target.counts();
        let order = |name: &str| {
            let id = format!("{name}-{daemon}");
            Call::post("plans", "/new", KEY, "").header("idempotency-key", &id)
        };
        let address = system.address(daemon);
        let has_started = until(target, "starts", |now| now.started > before.started);
        send_and_disconnect(address, &order("first"), has_started).await;
        send_and_disconnect(address, &order("abandoned"), tokio::time::sleep(PAUSE)).await;
        tokio::time::sleep(PAUSE).await;
        target.change(|settings| settings.hold = false);
        system.call_until_served(daemon, &order("last")).await;
        let started = target.counts().started - before.started;
        assert_eq!(started, 2, "daemon {daemon}: the first and the last order");
    }
}

/// Guards against a non-idempotent request whose caller waits beyond the deadline, or gets a
/// response that states that the request did not run although it still runs.
#[ntex::test]
async fn a_late_order_has_an_unknown_outcome_and_its_response_is_cached() {
    let settings = Settings {
        enforces_deadlines: false,
        ..Settings::default()
    };
    let system = system(settings).await;
    let target = target(&system);
    for daemon in 0..3 {
        target.change(|settings| settings.hold = true);
        let id = format!("late-{daemon}");
        let call = Call::post("plans", "/new", KEY, "an order").header("idempotency-key", &id);
        let short_deadline = call.clone().header("ragwortrill-deadline-ms", "500");
        let before = target.counts();
        let reply = system.call(daemon, &short_deadline).await;
        assert_eq!(reply.status, 504, "{}", body(&reply));
        assert!(
            body(&reply).contains(r#""run":"unknown""#),
            "{}",
            body(&reply)
        );
        let request = &reply.headers["ragwortrill-request"];
        assert!(body(&reply).contains(request.as_str()));
        target.change(|settings| settings.hold = false);
        until(target, "ends", |now| now.finished > before.finished).await;
        let reply = repeat(&system, (daemon + 1) % 3, &call).await;
        let answer: Answer =
            serde_json::from_slice(&reply.body).expect("the response of the first run");
        assert_eq!((answer.runs, answer.body_bytes), (1, 8));
    }
}

/// Repeats a request until it gets the response of its first run.
async fn repeat(system: &System, daemon: usize, call: &Call) -> Reply {
    let start = std::time::Instant::now();
    loop {
        let reply = system.call(daemon, call).await;
        if reply.status == 200 {
            return reply;
        }
        assert!(start.elapsed() < TIMEOUT, "{}", body(&reply));
        ntex::time::sleep(ntex::time::Millis(20)).await;
    }
}

/// Guards against threads that together open more connections to a target than its limit.
#[ntex::test]
async fn the_connection_limit_holds_over_all_threads() {
    for connections in [20, 40] {
        let mut limits = row(true);
        limits.connections = connections;
        let settings = Settings {
            connections: connections as usize,
            ..Settings::default()
        };
        let builder = Builder::new().service("plans", limits, 1).workers(4);
        let system = builder.target(settings).start();
        let call = Call::get("plans", "/ready", KEY);
        system.call_until_served(0, &call).await;
        for _ in 0..5 {
            let calls = (0..60).map(|number| system.call(number % 3, &call));
            for reply in futures_util::future::join_all(calls).await {
                assert_eq!(reply.status, 200, "{}", body(&reply));
            }
        }
        let counts = target(&system).counts();
        assert_eq!(counts.connections_refused, 0);
        assert!(
            counts.connections_peak <= connections as usize,
            "{counts:?}"
        );
        assert!(counts.running_peak <= 6, "{counts:?}");
    }
}

/// Guards against a resumed download with missing bytes or bytes of another version.
#[test_case(""; "with a length")]
#[test_case("&chunked=1"; "without a length")]
fn a_download_that_breaks_off_is_resumed(option: &'static str) {
    run(async move {
        let system = system(Settings::default()).await;
        for daemon in 0..3 {
            let path = format!("/stream/300000?break_at=120000{option}");
            let reply = system.call(daemon, &Call::get("plans", &path, KEY)).await;
            assert!(reply.complete, "{} bytes of 300000", reply.body.len());
            assert_eq!(reply.body.len(), 300_000);
            let mut bytes = reply.body.iter().enumerate();
            assert!(bytes.all(|(offset, byte)| *byte == byte_at(1, offset as u64)));
        }
    });
}

/// Guards against a body that is combined from two versions of a resource, because the version
/// changes before the download is resumed.
#[ntex::test]
async fn a_download_whose_version_changes_is_visibly_incomplete() {
    let system = system(Settings::default()).await;
    let target = target(&system);
    for daemon in 0..3 {
        let before = target.counts();
        target.change(|settings| settings.hold = true);
        let change_content = async {
            until(target, "starts", |now| now.started > before.started).await;
            target.change(|settings| {
                settings.content_version += 1;
                settings.hold = false;
            });
        };
        let call = Call::get("plans", "/stream/300000?break_at=120000", KEY);
        let (reply, ()) =
            futures_util::future::join(system.call(daemon, &call), change_content).await;
        assert_eq!((reply.status, reply.complete), (200, false));
        assert!(reply.body.len() <= 120_000, "{}", reply.body.len());
    }
}

/// Guards against a download that is cut or has missing bytes because the daemon that holds its
/// target fails during it.
#[ntex::test]
async fn a_download_whose_holder_is_lost_is_resumed() {
    let mut system = system(Settings::default()).await;
    let holder = system.holder(&harness::name("plans-0"));
    let entry = system.address((holder + 1) % 3);
    let before = target(&system).counts();
    target(&system).change(|settings| settings.hold = true);
    let call = Call::get("plans", "/stream/300000", KEY);
    let crash = async {
        let started = |now: &Counts| now.started > before.started;
        until(target(&system), "starts", started).await;
        system.crash_daemon(holder);
        target(&system).change(|settings| settings.hold = false);
    };
    let (reply, ()) = futures_util::future::join(harness::send(entry, &call), crash).await;
    assert!(reply.complete, "{} bytes of 300000", reply.body.len());
    assert_eq!(reply.body.len(), 300_000);
    let mut bytes = reply.body.iter().enumerate();
    assert!(bytes.all(|(offset, byte)| *byte == byte_at(1, offset as u64)));
}

fn run(test: impl Future<Output = ()> + 'static) {
    ntex::rt::System::new("test", ntex::rt::DefaultRuntime).block_on(test);
}
