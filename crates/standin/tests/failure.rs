//! Stand-in of a target: cold starts, freezes, crashes and connections.

mod common;

use common::{Caller, LONG_TIMEOUT, ONE_HOUR, run};
use ntex::rt;
use ragwortrill_core::{number::Epoch, time::Span};
use ragwortrill_platform::{
    headers,
    target::{Client, EPOCH_HEADER, Error, Grant, REFUSED_HEADER, REQUEST_HEADER},
};
use ragwortrill_standin::target::{Server, Settings};

/// Timeout for answers that must not arrive.
const SHORT_TIMEOUT: Span = Span::from_millis(200);

fn start(settings: Settings) -> Server {
    Server::start("t1".parse().unwrap(), settings).unwrap()
}

/// Settings of a target that runs all requests.
fn permissive() -> Settings {
    Settings {
        checks_epoch: false,
        ..Settings::default()
    }
}

/// Sends a request in another task, which returns whether the answer has status 200.
fn spawn(
    caller: &Caller,
    headers: &'static [(&'static str, &'static str)],
) -> rt::JoinHandle<bool> {
    let caller = caller.clone();
    rt::spawn(async move {
        let sent = caller.send("GET", "/", headers, b"").await;
        sent.is_ok_and(|answer| answer.status == 200 && answer.body.is_ok())
    })
}

struct Cold {
    name: &'static str,
    settings: Settings,
    /// Number of slow requests, after which the target is warm if it becomes warm.
    slow: usize,
    becomes_warm: bool,
}

/// Guards against a cold target that is as fast as a warm one.
#[test]
fn cold_starts() {
    let cases = [
        Cold {
            name: "warm at once",
            settings: permissive(),
            slow: 0,
            becomes_warm: true,
        },
        Cold {
            name: "cold for two requests",
            settings: Settings {
                cold_requests: 2,
                cold_service_time: ONE_HOUR,
                ..permissive()
            },
            slow: 2,
            becomes_warm: true,
        },
        Cold {
            name: "cold for a long time",
            settings: Settings {
                cold_span: ONE_HOUR,
                cold_service_time: ONE_HOUR,
                ..permissive()
            },
            slow: 3,
            becomes_warm: false,
        },
    ];
    for case in cases {
        run(async move {
            let server = start(case.settings);
            let caller = Caller::new(server.address()).await;
            let mut pending = Vec::new();
            for sent in 1..=case.slow {
                pending.push(spawn(&caller, &[]));
                server.until(|counts| counts.started == sent as u64).await;
            }
            if case.becomes_warm {
                assert!(spawn(&caller, &[]).await.unwrap(), "{}", case.name);
            }
            let finished = server.counts().finished;
            assert_eq!(finished, u64::from(case.becomes_warm), "{}", case.name);
            assert!(pending.iter().all(|p| !p.is_finished()), "{}", case.name);

            let before = server.start_id();
            server.make_cold();
            assert_ne!(server.start_id(), before, "{}", case.name);
        });
    }
}

/// Guards against a frozen target that answers, or that loses requests that arrive meanwhile.
#[test]
fn freezes() {
    run(async {
        let server = start(permissive());
        let caller = Caller::new(server.address()).await;
        server.change(|settings| settings.hold = true);
        let before = spawn(&caller, &[(REQUEST_HEADER, "r1")]);
        server.until(|counts| counts.running == 1).await;
        server.freeze();
        server.change(|settings| settings.hold = false);
        let during = spawn(&caller, &[(REQUEST_HEADER, "r2")]);
        let client = Client::new(server.address(), SHORT_TIMEOUT).await;
        client.load().await.unwrap_err();
        assert!(!before.is_finished() && !during.is_finished());
        let counts = server.counts();
        assert_eq!((counts.received, counts.finished, counts.probes), (1, 0, 0));

        server.resume();
        assert!(before.await.unwrap() && during.await.unwrap());
        assert_eq!(server.counts().runs.len(), 2);
    });
}

/// Guards against a resumed target that does not check the epochs of requests that arrived while
/// it was frozen.
#[test]
fn a_resumed_target_checks_epochs() {
    run(async {
        let server = start(Settings::default());
        let client = Client::new(server.address(), LONG_TIMEOUT).await;
        let caller = Caller::new(server.address()).await;
        let grant = |epoch, ttl: Span| Grant {
            epoch: Epoch(epoch),
            ttl_ms: ttl.as_millis(),
            from_ms: 0,
            start_id: None,
        };
        client.grant(grant(5, ONE_HOUR)).await.unwrap();
        client.grant(grant(5, Span::ZERO)).await.unwrap();
        server.freeze();
        let headers = [(EPOCH_HEADER, "5")];
        let sent = rt::spawn(async move { caller.send("GET", "/", &headers, b"").await });
        server.resume();
        let answer = sent.await.unwrap().unwrap();
        assert_eq!(answer.header(REFUSED_HEADER), "no-grant");
        assert_eq!(server.counts().started, 0);
    });
}

/// Guards against a grant whose lifetime starts at the end of a freeze instead of at its time of
/// issue: by then its holder may have given the target's keys to others.
#[test]
fn grants_that_arrive_in_a_freeze() {
    struct Case {
        ttl: Span,
        status: u16,
    }
    let cases = [
        Case {
            ttl: ONE_HOUR,
            status: 200,
        },
        // Shorter than the freeze, which lasts longer than the client's timeout.
        Case {
            ttl: Span::from_millis(1),
            status: 409,
        },
    ];
    for Case { ttl, status } in cases {
        run(async move {
            let server = start(Settings::default());
            server.freeze();
            let client = Client::new(server.address(), LONG_TIMEOUT).await;
            let grant = Grant {
                epoch: Epoch(5),
                ttl_ms: ttl.as_millis(),
                from_ms: 0,
                start_id: None,
            };
            let sent = rt::spawn(async move { client.grant(grant).await });
            let short_client = Client::new(server.address(), SHORT_TIMEOUT).await;
            short_client.load().await.unwrap_err();
            assert!(!sent.is_finished());
            server.resume();
            sent.await.unwrap().unwrap();
            let caller = Caller::new(server.address()).await;
            let answer = caller
                .send("GET", "/", &[(EPOCH_HEADER, "5")], b"")
                .await
                .unwrap();
            assert_eq!(answer.status, status);
        });
    }
}

/// Guards against a crash that work, connections or the start id survive.
#[test]
fn crashes_and_restarts() {
    run(async {
        let mut server = start(Settings {
            hold: true,
            slots: 1,
            ..permissive()
        });
        let caller = Caller::new(server.address()).await;
        let running = spawn(&caller, &[(REQUEST_HEADER, "r1")]);
        server.until(|counts| counts.running == 1).await;
        let waiting = spawn(&caller, &[(REQUEST_HEADER, "r2")]);
        server.until(|counts| counts.waiting == 1).await;
        let before = server.start_id();
        server.crash();
        assert!(server.is_crashed());
        assert!(!running.await.unwrap() && !waiting.await.unwrap());
        assert!(
            !spawn(&caller, &[]).await.unwrap(),
            "the listener is closed"
        );
        let counts = server.counts();
        assert_eq!(
            (counts.running, counts.waiting, counts.connections),
            (0, 0, 0)
        );
        assert_eq!((counts.interrupted, counts.crashes), (1, 1));

        let address = server.address();
        server.change(|settings| settings.hold = false);
        server.restart().unwrap();
        assert_eq!(server.address(), address);
        assert_ne!(server.start_id(), before);
        assert!(spawn(&caller, &[(REQUEST_HEADER, "r1")]).await.unwrap());
        assert_eq!(
            server.counts().repeated(),
            ["r1"],
            "counters survive a crash"
        );
    });
}

/// Guards against a restart that fails because the target is frozen or still runs.
#[test]
fn restarts_from_any_state() {
    run(async {
        let mut server = start(permissive());
        let caller = Caller::new(server.address()).await;
        assert!(spawn(&caller, &[]).await.unwrap());
        server.restart().unwrap();
        assert!(!server.is_crashed());
        let caller = Caller::new(server.address()).await;
        assert!(spawn(&caller, &[]).await.unwrap());
        server.freeze();
        server.restart().unwrap();
        let caller = Caller::new(server.address()).await;
        assert!(spawn(&caller, &[]).await.unwrap());
        assert_eq!(server.counts().crashes, 2);
    });
}

struct Memory {
    persists_epoch: bool,
    accepted: bool,
}

/// Guards against a setting `persists_epoch` without effect, which tests of targets that lose
/// their epoch in a restart rely on.
#[test]
fn restarted_targets_may_forget_epochs() {
    let cases = [
        Memory {
            persists_epoch: false,
            accepted: true,
        },
        Memory {
            persists_epoch: true,
            accepted: false,
        },
    ];
    for case in cases {
        run(async move {
            let mut server = start(Settings {
                persists_epoch: case.persists_epoch,
                ..Settings::default()
            });
            let grant = |epoch| Grant {
                epoch: Epoch(epoch),
                ttl_ms: ONE_HOUR.as_millis(),
                from_ms: 0,
                start_id: None,
            };
            let client = Client::new(server.address(), LONG_TIMEOUT).await;
            client.grant(grant(5)).await.unwrap();
            server.restart().unwrap();
            let caller = Caller::new(server.address()).await;
            let answer = caller
                .send("GET", "/", &[(EPOCH_HEADER, "5")], b"")
                .await
                .unwrap();
            assert_eq!(
                answer.header(REFUSED_HEADER),
                "no-grant",
                "no grant survives"
            );
            // The request above had epoch 5, so only a target that lost it accepts a lower grant.
            server.restart().unwrap();
            let client = Client::new(server.address(), LONG_TIMEOUT).await;
            let granted = client.grant(grant(4)).await;
            assert_eq!(granted.is_ok(), case.accepted, "{granted:?}");
        });
    }
}

/// Guards against a grant that is late and reaches the next run of its target, whose clock may show less
/// than the start that the grant names: it would last longer than its holder counts on.
#[test]
fn grants_that_name_an_earlier_run_are_refused() {
    struct Case {
        name: &'static str,
        /// Which of the start identifiers before and after the restart the grant names.
        named: fn(u64, u64) -> Option<u64>,
        accepted: Result<(), Error>,
        status: u16,
    }
    let cases = [
        Case {
            name: "earlier run",
            named: |earlier, _| Some(earlier),
            accepted: Err(Error::EarlierRun),
            status: 409,
        },
        Case {
            name: "current run",
            named: |_, current| Some(current),
            accepted: Ok(()),
            status: 200,
        },
        Case {
            name: "holder of an earlier release",
            named: |_, _| None,
            accepted: Ok(()),
            status: 200,
        },
    ];
    for case in cases {
        run(async move {
            let mut server = start(Settings::default());
            let client = Client::new(server.address(), LONG_TIMEOUT).await;
            let earlier = client.load().await.unwrap();
            server.restart().unwrap();
            let grant = Grant {
                epoch: Epoch(5),
                ttl_ms: ONE_HOUR.as_millis(),
                from_ms: earlier.clock_ms,
                start_id: (case.named)(earlier.start_id, server.start_id()),
            };
            assert_eq!(client.grant(grant).await, case.accepted, "{}", case.name);
            let caller = Caller::new(server.address()).await;
            let headers = [(EPOCH_HEADER, "5")];
            let answer = caller.send("GET", "/", &headers, b"").await.unwrap();
            assert_eq!(answer.status, case.status, "{}", case.name);
        });
    }
}

/// Guards against a request with the fatal key that does not crash its target.
#[test]
fn fatal_requests() {
    run(async {
        let mut server = start(Settings {
            fatal_key: Some("bad".to_owned()),
            ..permissive()
        });
        let caller = Caller::new(server.address()).await;
        assert!(spawn(&caller, &[(headers::KEY, "good")]).await.unwrap());
        assert!(!spawn(&caller, &[(headers::KEY, "bad")]).await.unwrap());
        server.until_crashed().await;
        let counts = server.counts();
        assert_eq!((counts.started, counts.finished, counts.crashes), (2, 1, 1));
        server.restart().unwrap();
        let caller = Caller::new(server.address()).await;
        assert!(spawn(&caller, &[(headers::KEY, "good")]).await.unwrap());
        let counts = server.counts();
        assert_eq!(
            (counts.running, counts.crashes, counts.interrupted),
            (0, 1, 1)
        );
    });
}

/// Guards against a target that accepts more connections than its limit.
#[test]
fn connections_are_limited() {
    run(async {
        let server = start(Settings {
            connections: 1,
            hold: true,
            ..permissive()
        });
        let caller = Caller::new(server.address()).await;
        let first = spawn(&caller, &[]);
        server.until(|counts| counts.running == 1).await;
        assert!(!spawn(&caller, &[]).await.unwrap());
        let counts = server.counts();
        assert_eq!((counts.connections, counts.connections_refused), (1, 1));
        server.change(|settings| settings.connections = 2);
        let second = spawn(&caller, &[]);
        server.until(|counts| counts.running == 2).await;
        server.change(|settings| settings.hold = false);
        assert!(first.await.unwrap() && second.await.unwrap());
        assert_eq!(server.counts().connections_peak, 2);
    });
}

/// Guards against a run that ends when its caller disconnects. The design relies on runs that
/// continue until they are cancelled.
#[test]
fn runs_survive_their_caller() {
    run(async {
        let server = start(Settings {
            hold: true,
            ..permissive()
        });
        let caller = Caller::new(server.address()).await;
        let pending = spawn(&caller, &[]);
        server.until(|counts| counts.running == 1).await;
        pending.cancel();
        server.until(|counts| counts.connections == 0).await;
        assert_eq!(server.counts().running, 1);
        server.change(|settings| settings.hold = false);
        server.until(|counts| counts.finished == 1).await;
    });
}
