//! Tests of reports on the progress of requests, and of requests of several callers.

mod harness;

use harness::{Builder, Call, Reply, System, TIMEOUT, row};
use ntex::http::Method;
use ragwortrill_standin::target::{Answer, Settings};

const KEY: &str = "k1";

async fn system() -> System {
    let builder = Builder::new().service("orders", row(true), 1);
    let system = builder.target(Settings::default()).start();
    for daemon in 0..3 {
        let call = Call::get("orders", "/ready", KEY);
        system.call_until_served(daemon, &call).await;
    }
    system
}

fn order(caller: &str) -> Call {
    let call = Call::post("orders", "/new", KEY, caller.to_owned());
    let call = call.header("idempotency-key", "same");
    call.header("ragwortrill-caller", caller)
}

async fn show(system: &System, daemon: usize, id: &str, caller: &str) -> (u16, serde_json::Value) {
    let call = Call::direct(Method::GET, &format!("/requests/orders/{id}"));
    let call = call.header("ragwortrill-caller", caller);
    let reply = system.call(daemon, &call).await;
    let page = serde_json::from_slice(&reply.body).unwrap_or_default();
    (reply.status, page)
}

fn id(reply: &Reply) -> &str {
    &reply.headers["ragwortrill-request"]
}

/// Guards against a response that goes to another caller with the same idempotency key.
#[ntex::test]
async fn callers_with_the_same_idempotency_key_get_their_own_responses() {
    let system = system().await;
    let (first, second) = (
        system.call(0, &order("a")).await,
        system.call(1, &order("bcd")).await,
    );
    for (reply, bytes) in [(&first, 1), (&second, 3)] {
        let answer: Answer = serde_json::from_slice(&reply.body).expect("an answer");
        assert_eq!((answer.body_bytes, answer.runs), (bytes, 1));
        assert_eq!(answer.request.as_deref(), Some(id(reply)));
    }
    assert_ne!(id(&first), id(&second));
}

/// Guards against a daemon that can't report the progress of a request, and against a response that
/// is shown to another caller.
#[ntex::test]
async fn the_progress_of_an_order_is_shown_at_every_daemon() {
    let system = system().await;
    let target = &system.targets[&harness::name("orders-0")];
    target.change(|settings| settings.hold = true);
    let short_deadline = order("a").header("ragwortrill-deadline-ms", "500");
    target.change(|settings| settings.enforces_deadlines = false);
    let reply = system.call(0, &short_deadline).await;
    assert_eq!(reply.status, 504);
    for daemon in 0..3 {
        let (status, page) = show(&system, daemon, id(&reply), "a").await;
        assert_eq!(
            (status, &page["progress"]),
            (200, &"running".into()),
            "{page}"
        );
        assert!(page.get("answer").is_none(), "{page}");
    }
    target.change(|settings| settings.hold = false);
    let start = std::time::Instant::now();
    while show(&system, 0, id(&reply), "a").await.1["progress"] != "answered" {
        assert!(start.elapsed() < TIMEOUT, "the order does not end");
    }
    for daemon in 0..3 {
        let (_, page) = show(&system, daemon, id(&reply), "a").await;
        assert_eq!(page["status"], 200, "{page}");
        let body = page["answer"]["body"]
            .as_str()
            .expect("the cached response");
        let answer: Answer = serde_json::from_str(body).expect("an answer");
        assert_eq!(answer.request.as_deref(), Some(id(&reply)));
        let (_, page) = show(&system, daemon, id(&reply), "b").await;
        assert!(page.get("answer").is_none(), "{page}");
    }
    let unknown = "0000000000000001-0000000000000002";
    assert_eq!(show(&system, 0, unknown, "a").await.0, 404);
}

/// Guards against requests that are too large for one frame between daemons.
#[ntex::test]
async fn a_request_that_is_too_large_is_refused() {
    let system = system().await;
    let call = Call::get("orders", "/ready", KEY).header("x-large", &"x".repeat(25_000));
    let reply = system.call(0, &call).await;
    assert_eq!(reply.status, 431);
}
