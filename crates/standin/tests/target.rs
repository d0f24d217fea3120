//! Stand-in of a target: runs, slots, epochs and load.

mod common;

use common::{Answer, Caller, LONG_TIMEOUT, ONE_HOUR, run};
use ragwortrill_core::{number::Epoch, request, time::Span};
use ragwortrill_platform::{
    headers,
    target::{
        Cancellation, Client, DEADLINE_HEADER, EPOCH_HEADER, Error, Grant, Load, REFUSED_HEADER,
        REQUEST_HEADER, Refusal,
    },
};
use ragwortrill_standin::target::{self, ReportMode, Server, Settings};

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

fn holding() -> Settings {
    Settings {
        hold: true,
        ..permissive()
    }
}

fn grant(epoch: u64, ttl: Span) -> Grant {
    Grant {
        epoch: Epoch(epoch),
        ttl_ms: ttl.as_millis(),
        from_ms: u64::MAX / 2_000,
        start_id: None,
    }
}

type Pending = ntex::rt::JoinHandle<Answer>;

/// Sends a request in another task, which panics without an answer.
fn spawn(caller: &Caller, headers: &'static [(&'static str, &'static str)]) -> Pending {
    let caller = caller.clone();
    ntex::rt::spawn(async move { caller.send("POST", "/x", headers, b"").await.unwrap() })
}

fn parsed(answer: &Answer) -> target::Answer {
    serde_json::from_slice(answer.complete_body()).unwrap()
}

/// Guards against answers that do not state what ran, where and how often.
#[test]
fn answers_describe_the_run() {
    run(async {
        let server = start(permissive());
        let caller = Caller::new(server.address()).await;
        let headers = [(headers::KEY, "k1"), (REQUEST_HEADER, "r1")];
        let body = vec![2; 1 << 20];
        for runs in 1..=2 {
            let answer = caller
                .send("PUT", "/a/b?c=d", &headers, &body)
                .await
                .unwrap();
            assert_eq!(answer.status, 200);
            let expected = target::Answer {
                target: "t1".parse().unwrap(),
                start_id: server.start_id(),
                request: Some("r1".to_owned()),
                key: Some("k1".to_owned()),
                method: "PUT".to_owned(),
                path: "/a/b?c=d".to_owned(),
                runs,
                key_runs: runs,
                body_bytes: 1 << 20,
                body_sum: 2 << 20,
            };
            assert_eq!(parsed(&answer), expected);
        }
        caller
            .send("GET", "/", &[(REQUEST_HEADER, "r2")], b"")
            .await
            .unwrap();
        let counts = server.counts();
        assert_eq!(counts.repeated(), ["r1"]);
        assert_eq!((counts.received, counts.finished), (3, 3));
    });
}

struct Epochs {
    name: &'static str,
    checks: bool,
    grants: &'static [(u64, Span)],
    epoch: Option<&'static str>,
    refused: Option<Refusal>,
    stale: u64,
}

/// Guards against a target that serves a holder whose contract has ended.
#[test]
fn epochs() {
    let cases = [
        Epochs {
            name: "granted",
            checks: true,
            grants: &[(5, ONE_HOUR)],
            epoch: Some("5"),
            refused: None,
            stale: 0,
        },
        Epochs {
            name: "no grant",
            checks: true,
            grants: &[],
            epoch: Some("5"),
            refused: Some(Refusal::NoGrant),
            stale: 0,
        },
        Epochs {
            name: "expired grant",
            checks: true,
            grants: &[(5, ONE_HOUR), (5, Span::ZERO)],
            epoch: Some("5"),
            refused: Some(Refusal::NoGrant),
            stale: 0,
        },
        Epochs {
            name: "lower than granted",
            checks: true,
            grants: &[(5, ONE_HOUR)],
            epoch: Some("4"),
            refused: Some(Refusal::Stale),
            stale: 1,
        },
        Epochs {
            name: "higher than granted",
            checks: true,
            grants: &[(5, ONE_HOUR)],
            epoch: Some("6"),
            refused: Some(Refusal::NoGrant),
            stale: 0,
        },
        Epochs {
            name: "no epoch",
            checks: true,
            grants: &[(5, ONE_HOUR)],
            epoch: None,
            refused: Some(Refusal::Stale),
            stale: 0,
        },
        Epochs {
            name: "unchecked lower epoch",
            checks: false,
            grants: &[(5, ONE_HOUR)],
            epoch: Some("4"),
            refused: None,
            stale: 1,
        },
        Epochs {
            name: "unchecked without a grant",
            checks: false,
            grants: &[],
            epoch: None,
            refused: None,
            stale: 0,
        },
    ];
    for case in cases {
        run(async move {
            let server = start(Settings {
                checks_epoch: case.checks,
                ..Settings::default()
            });
            let client = Client::new(server.address(), LONG_TIMEOUT).await;
            for (epoch, ttl) in case.grants {
                client.grant(grant(*epoch, *ttl)).await.unwrap();
            }
            let caller = Caller::new(server.address()).await;
            let headers: Vec<_> = case.epoch.map(|e| (EPOCH_HEADER, e)).into_iter().collect();
            let answer = caller.send("GET", "/", &headers, b"").await.unwrap();
            let status = case.refused.map_or(200, Refusal::status);
            assert_eq!(answer.status, status, "{}", case.name);
            let refused = answer.header(REFUSED_HEADER).parse().ok();
            assert_eq!(refused, case.refused, "{}", case.name);
            let counts = server.counts();
            assert_eq!(counts.stale, case.stale, "{}", case.name);
            let ran = u64::from(case.refused.is_none());
            assert_eq!(counts.stale_runs, case.stale * ran, "{}", case.name);
            assert_eq!(counts.started, ran, "{}", case.name);
        });
    }
}

/// Guards against a target that accepts a grant of an earlier holder.
#[test]
fn lower_grants_are_refused() {
    run(async {
        let server = start(Settings::default());
        let client = Client::new(server.address(), LONG_TIMEOUT).await;
        client.grant(grant(5, ONE_HOUR)).await.unwrap();
        let caller = Caller::new(server.address()).await;
        caller
            .send("GET", "/", &[(EPOCH_HEADER, "7")], b"")
            .await
            .unwrap();
        let stale = |granted, highest| Error::StaleEpoch {
            granted: Epoch(granted),
            highest: Epoch(highest),
        };
        let error = client.grant(grant(6, ONE_HOUR)).await.unwrap_err();
        assert_eq!(error, stale(6, 7), "a request's epoch counts as seen");
        client.grant(grant(7, ONE_HOUR)).await.unwrap();
        assert_eq!(server.counts().stale_grants, 1);
    });
}

/// Guards against an epoch that is checked on arrival only, not again when a waiting request runs.
#[test]
fn epochs_are_checked_again_after_the_wait() {
    run(async {
        let server = start(Settings {
            hold: true,
            slots: 1,
            ..Settings::default()
        });
        let client = Client::new(server.address(), LONG_TIMEOUT).await;
        let caller = Caller::new(server.address()).await;
        client.grant(grant(5, ONE_HOUR)).await.unwrap();
        let first = spawn(&caller, &[(EPOCH_HEADER, "5")]);
        server.until(|counts| counts.running == 1).await;
        let second = spawn(&caller, &[(EPOCH_HEADER, "5")]);
        server.until(|counts| counts.waiting == 1).await;
        client.grant(grant(6, ONE_HOUR)).await.unwrap();
        let answer = second.await.unwrap();
        assert_eq!(answer.header(REFUSED_HEADER), "stale");
        server.change(|settings| settings.hold = false);
        assert_eq!(
            first.await.unwrap().status,
            200,
            "a running request continues"
        );
    });
}

/// Guards against a stand-in that runs more requests than it has slots, or that does not count
/// the requests above them.
#[test]
fn requests_above_the_slots_wait() {
    run(async {
        let server = start(Settings {
            slots: 2,
            ..holding()
        });
        let caller = Caller::new(server.address()).await;
        let client = Client::new(server.address(), LONG_TIMEOUT).await;
        let pending: Vec<_> = (0..5).map(|_| spawn(&caller, &[])).collect();
        server
            .until(|counts| counts.running + counts.waiting == 5)
            .await;
        let load = client.load().await.unwrap();
        assert_eq!((load.running, load.waiting), (2, 3));
        assert_eq!(load.start_id, server.start_id());
        assert_eq!(server.counts().over_slots, 3);
        server.change(|settings| settings.hold = false);
        for answer in pending {
            assert_eq!(answer.await.unwrap().status, 200);
        }
        let counts = server.counts();
        assert_eq!((counts.running_peak, counts.waiting_peak), (2, 3));
        assert_eq!((counts.running, counts.waiting), (0, 0));
    });
}

struct Refusing {
    name: &'static str,
    change: fn(&mut Settings),
    refused: Refusal,
    healthy: bool,
}

/// Guards against a refusal that does not state that the request did not run.
#[test]
fn targets_that_refuse_work() {
    let cases = [
        Refusing {
            name: "shed",
            change: |settings| settings.sheds = true,
            refused: Refusal::Full,
            healthy: true,
        },
        Refusing {
            name: "draining",
            change: |settings| settings.draining = true,
            refused: Refusal::Draining,
            healthy: false,
        },
    ];
    for case in cases {
        run(async move {
            let server = start(Settings {
                slots: 1,
                ..holding()
            });
            let caller = Caller::new(server.address()).await;
            let client = Client::new(server.address(), LONG_TIMEOUT).await;
            let first = spawn(&caller, &[]);
            server.until(|counts| counts.running == 1).await;
            server.change(case.change);
            let answer = spawn(&caller, &[]).await.unwrap();
            assert_eq!(answer.status, 503, "{}", case.name);
            let refused = answer.header(REFUSED_HEADER).parse();
            assert_eq!(refused, Ok(case.refused), "{}", case.name);
            assert_eq!(answer.header(headers::RETRY_AFTER), "1", "{}", case.name);
            assert_eq!(client.health().await.is_ok(), case.healthy, "{}", case.name);
            server.change(|settings| settings.hold = false);
            assert_eq!(first.await.unwrap().status, 200, "{}", case.name);
            assert_eq!(server.counts().refused, 1, "{}", case.name);
        });
    }
}

struct Reported {
    name: &'static str,
    report_mode: ReportMode,
    running: u32,
}

/// Guards against report modes without effect: tests need load reports that lag or are wrong.
#[test]
fn load_reports() {
    let fixed = Load {
        running: 9,
        waiting: 9,
        start_id: 9,
        clock_ms: 0,
    };
    let cases = [
        Reported {
            name: "exact",
            report_mode: ReportMode::Exact,
            running: 1,
        },
        Reported {
            name: "fixed",
            report_mode: ReportMode::Fixed(fixed),
            running: 9,
        },
        Reported {
            name: "lagging",
            report_mode: ReportMode::Lagging(ONE_HOUR),
            running: 0,
        },
        Reported {
            name: "not lagging",
            report_mode: ReportMode::Lagging(Span::ZERO),
            running: 1,
        },
    ];
    run(async move {
        let server = start(holding());
        let caller = Caller::new(server.address()).await;
        let client = Client::new(server.address(), LONG_TIMEOUT).await;
        let pending = spawn(&caller, &[]);
        server.until(|counts| counts.running == 1).await;
        for case in cases {
            server.change(|settings| settings.report_mode = case.report_mode);
            let load = client.load().await.unwrap();
            assert_eq!(load.running, case.running, "{}", case.name);
        }
        server.change(|settings| settings.hold = false);
        pending.await.unwrap();
    });
}

/// Guards against cancellations that leave work running, or that state that a started request did
/// not run.
#[test]
fn cancellations() {
    const FIRST: &str = "0000000000000001-0000000000000001";
    const SECOND: &str = "0000000000000001-0000000000000002";
    run(async {
        let server = start(Settings {
            slots: 1,
            ..holding()
        });
        let caller = Caller::new(server.address()).await;
        let client = Client::new(server.address(), LONG_TIMEOUT).await;
        let first = spawn(&caller, &[(REQUEST_HEADER, FIRST)]);
        server.until(|counts| counts.running == 1).await;
        let second = spawn(&caller, &[(REQUEST_HEADER, SECOND)]);
        server.until(|counts| counts.waiting == 1).await;

        let id = |text: &str| text.parse::<request::Id>().unwrap();
        assert_eq!(client.cancel(id(SECOND)).await, Ok(Cancellation::Found));
        let answer = second.await.unwrap();
        assert_eq!(
            (answer.status, answer.header(REFUSED_HEADER)),
            (409, "cancelled")
        );
        assert_eq!(client.cancel(id(FIRST)).await, Ok(Cancellation::Found));
        let answer = first.await.unwrap();
        assert_eq!((answer.status, answer.header(REFUSED_HEADER)), (409, ""));
        assert_eq!(client.cancel(id(FIRST)).await, Ok(Cancellation::Unknown));
        let counts = server.counts();
        assert_eq!(
            (counts.running, counts.waiting, counts.cancelled),
            (0, 0, 2)
        );
    });
}

/// Guards against a target that works on a request after its deadline.
#[test]
fn deadlines() {
    run(async {
        let server = start(Settings {
            slots: 1,
            ..holding()
        });
        let caller = Caller::new(server.address()).await;
        let answer = spawn(&caller, &[(DEADLINE_HEADER, "20")]).await.unwrap();
        // On a busy machine the deadline may pass before the run starts.
        let refused = ["late", ""][server.counts().started as usize];
        assert_eq!(
            (answer.status, answer.header(REFUSED_HEADER)),
            (504, refused)
        );

        let before = server.counts().started;
        let first = spawn(&caller, &[]);
        server.until(|counts| counts.running == 1).await;
        let answer = spawn(&caller, &[(DEADLINE_HEADER, "1")]).await.unwrap();
        assert_eq!(
            (answer.status, answer.header(REFUSED_HEADER)),
            (504, "late")
        );
        assert_eq!(server.counts().started, before + 1);

        server.change(|settings| settings.enforces_deadlines = false);
        let late = spawn(&caller, &[(DEADLINE_HEADER, "0")]);
        server.until(|counts| counts.waiting == 1).await;
        server.change(|settings| settings.hold = false);
        assert_eq!(late.await.unwrap().status, 200);
        assert_eq!(first.await.unwrap().status, 200);
    });
}

/// Guards against wrong counts of requests whose key another target owns.
#[test]
fn requests_for_keys_of_other_targets() {
    run(async {
        let server = start(permissive());
        let caller = Caller::new(server.address()).await;
        server.set_owner(|key| match key {
            "mine" => Some("t1".parse().unwrap()),
            "other" => Some("t2".parse().unwrap()),
            _ => None,
        });
        for key in ["mine", "other", "nobody"] {
            let answer = caller
                .send("GET", "/", &[(headers::KEY, key)], b"")
                .await
                .unwrap();
            assert_eq!(answer.status, 200);
        }
        let counts = server.counts();
        assert_eq!((counts.wrong_owner, counts.wrong_owner_runs), (1, 1));
        assert_eq!(counts.key_runs.len(), 3);
    });
}

struct Malformed {
    method: &'static str,
    path: &'static str,
    headers: &'static [(&'static str, &'static str)],
    body: &'static [u8],
    status: u16,
}

/// Guards against a malformed request that runs, or that changes the target's state.
#[test]
fn malformed_requests_are_refused() {
    let case = |method, path, headers, body, status| Malformed {
        method,
        path,
        headers,
        body,
        status,
    };
    let cases = [
        case("PUT", "/control/grant", &[], b"{", 400),
        case(
            "PUT",
            "/control/grant",
            &[],
            b"{\"epoch\": -1, \"ttl_ms\": 1}",
            400,
        ),
        case("PUT", "/control/grant", &[], b"{\"epoch\": 1}", 400),
        case("GET", "/control/grant", &[], b"", 404),
        case("GET", "/control/unknown", &[], b"", 404),
        case("GET", "/", &[(EPOCH_HEADER, "x")], b"", 400),
        case("GET", "/", &[(DEADLINE_HEADER, "-1")], b"", 400),
        case("GET", "/stream/many", &[], b"", 400),
    ];
    run(async move {
        let server = start(permissive());
        let caller = Caller::new(server.address()).await;
        for Malformed {
            method,
            path,
            headers,
            body,
            status,
        } in cases
        {
            let answer = caller.send(method, path, headers, body).await.unwrap();
            assert_eq!(answer.status, status, "{method} {path} {headers:?}");
        }
        let counts = server.counts();
        assert_eq!((counts.started, counts.grants), (0, 0));
    });
}
