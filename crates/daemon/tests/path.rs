//! The path of a request from a caller through one or two daemons to a target, and back.

mod harness;

use harness::{Builder, Call, row};

/// Guards against requests that some daemon does not serve, or that run at the wrong target.
#[ntex::test]
async fn a_request_is_answered_by_its_keys_owner_from_any_daemon() {
    let system = Builder::new().service("lookup", row(true), 4).start();
    for key in ["a", "b", "c", "d", "e", "f"] {
        let mut targets = Vec::new();
        for daemon in 0..3 {
            let call = Call::get("lookup", "/free", key);
            let reply = system.call_until_served(daemon, &call).await;
            let answer: ragwortrill_standin::target::Answer =
                serde_json::from_slice(&reply.body).expect("the target answers in JSON");
            assert_eq!(answer.key.as_deref(), Some(key));
            assert_eq!(answer.path, "/free");
            targets.push(answer.target);
        }
        targets.dedup();
        assert_eq!(targets.len(), 1, "key {key} was served by {targets:?}");
    }
}

/// Guards against a second run of a non-idempotent request that its caller repeats at another
/// daemon.
#[ntex::test]
async fn a_repeated_order_runs_once() {
    let system = Builder::new().service("orders", row(true), 3).start();
    let probe = Call::get("orders", "/ready", "k1");
    system.call_until_served(0, &probe).await;
    let call = Call::post("orders", "/new", "k1", "an order").header("idempotency-key", "o-1");
    let first = system.call(0, &call).await;
    assert_eq!(
        first.status,
        200,
        "{}",
        String::from_utf8_lossy(&first.body)
    );
    let second = system.call(1, &call).await;
    assert_eq!(
        second.status,
        200,
        "{}",
        String::from_utf8_lossy(&second.body)
    );
    assert_eq!(first.body, second.body);
    for target in system.targets.values() {
        assert_eq!(target.counts().repeated(), Vec::<&str>::new());
    }
}

/// Guards against bodies that are truncated or reordered when they pass through two daemons.
#[ntex::test]
async fn large_bodies_arrive_complete_in_both_directions() {
    let system = Builder::new().service("plans", row(true), 3).start();
    let size = 3_000_000;
    for daemon in 0..3 {
        let call = Call::get("plans", &format!("/stream/{size}"), "k2");
        let reply = system.call_until_served(daemon, &call).await;
        assert!(reply.complete);
        assert_eq!(reply.body.len(), size);
        let wrong = reply.body.iter().enumerate().find(|(offset, byte)| {
            **byte != ragwortrill_standin::target::byte_at(1, *offset as u64)
        });
        assert_eq!(wrong, None);
        let body = vec![7; size];
        let upload = Call::post("plans", "/upload", "k2", body);
        let reply = system.call(daemon, &upload).await;
        let answer: ragwortrill_standin::target::Answer =
            serde_json::from_slice(&reply.body).expect("the target answers in JSON");
        assert_eq!(answer.body_bytes, size as u64);
    }
}
