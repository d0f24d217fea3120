//! The operators' port: reports, changes, conflicts and repeated changes.

mod harness;

use harness::{Builder, Call, Operator, System, TIMEOUT, change, name, row};
use ragwortrill_core::{
    ledger::Effect,
    number::{Offset, Version},
    record::{Record, State},
    report::{
        Audit, ChangeResult, Conflict, Explanation, Owner, Problem, Progress, Request, Revision,
        Status, TableVersion,
    },
    request::Run,
    table::Table,
};
use test_case::test_case;

async fn serving() -> System {
    let system = Builder::new().service("lookup", row(true), 3).start();
    let call = Call::get("lookup", "/free", "k");
    for daemon in 0..3 {
        system.call_until_served(daemon, &call).await;
    }
    system
}

/// Returns the table with another queue limit.
fn edited(system: &System, queue: u32) -> Table {
    let mut table = system.table.clone();
    let row = table.services.get_mut(&name("lookup"));
    row.expect("the table has the service").queue = queue;
    table
}

/// A path, and the status and the type of the problem that it is answered with.
struct InvalidRead {
    path: &'static str,
    status: u16,
    kind: &'static str,
}

/// Guards against invalid requests that are answered as if they were valid, or without a remedy.
#[ntex::test]
async fn invalid_reads_get_a_problem() {
    let system = serving().await;
    let invalid = |path, status, kind| InvalidRead { path, status, kind };
    let cases = [
        invalid("/v1/nothing", 404, "not-found"),
        invalid("/v1/owners?key=k", 400, "malformed"),
        invalid("/v1/owners?service=none", 404, "not-found"),
        invalid("/v1/owners?servise=lookup", 400, "malformed"),
        invalid("/v1/audit?since=x", 400, "malformed"),
        invalid("/v1/explain?service=lookup", 400, "malformed"),
        invalid("/v1/explain?service=none&key=k", 404, "not-found"),
        invalid("/v1/requests/12", 400, "malformed"),
        invalid(
            "/v1/requests/0000000000000000-0000000000000000",
            404,
            "not-found",
        ),
        invalid("/v1/table/history/x", 400, "malformed"),
        invalid("/v1/table/history/9", 404, "not-found"),
    ];
    for case in cases {
        let (status, problem) = system.operator(0).get::<Problem>(case.path).await;
        assert_eq!(status, case.status, "{}", case.path);
        let kind = format!("urn:ragwortrill:problem:{}", case.kind);
        assert_eq!(problem.r#type, kind, "{}", case.path);
        assert!(!problem.remedy.is_empty(), "{}", case.path);
    }
}

/// Guards against a status report without the hosts, targets, holders or the state of the log.
#[ntex::test]
async fn status_shows_hosts_and_targets() {
    let system = serving().await;
    let operator = system.operator(0);
    let (_, status) = operator
        .get_until::<Status>("/v1/status", |status| {
            status.hosts.len() == 3
                && status.hosts.iter().all(|h| h.alive && h.offset.is_some())
                && status.targets.iter().all(|t| t.contract.is_some())
                && status.warnings.is_empty()
        })
        .await;
    assert_eq!(status.version, Version(1));
    assert_eq!(status.targets.len(), 3);
    assert!(status.proof_age.is_some());
    assert!(status.hosts.iter().all(|host| !host.differs));
    let holders = status.targets.iter().flat_map(|t| &t.contract);
    let own = holders.filter(|c| c.holder == status.process).count();
    let with_load = status.targets.iter().filter(|t| t.load.is_some()).count();
    assert_eq!(
        own, with_load,
        "a daemon reports the load of exactly the targets that it holds"
    );
}

/// Guards against owners and explanations that contradict routing.
#[ntex::test]
async fn owners_and_explanations_agree_with_routing() {
    let system = serving().await;
    let operator = system.operator(1);
    let (_, owners) = operator.get::<Vec<Owner>>("/v1/owners").await;
    assert_eq!(owners.iter().map(|owner| owner.slices).sum::<u32>(), 64);
    for key in ["a", "b", "c"] {
        let call = Call::get("lookup", "/free", key);
        let reply = system.call_until_served(2, &call).await;
        let answer: ragwortrill_standin::target::Answer =
            serde_json::from_slice(&reply.body).expect("the target answers in JSON");
        let path = format!("/v1/owners?service=lookup&key={key}");
        let (_, owner) = operator.get::<Vec<Owner>>(&path).await;
        assert_eq!(owner.len(), 1);
        assert_eq!(owner[0].target, answer.target);
        let path = format!("/v1/explain?service=lookup&key={key}");
        let (_, explanation) = operator.get::<Explanation>(&path).await;
        assert_eq!(explanation.target, answer.target);
        assert!(explanation.holder.is_some());
        assert!(explanation.why.len() >= 2, "{:?}", explanation.why);
    }
}

/// Guards against a request whose id a daemon does not find, and against a report without the
/// status of the response.
#[ntex::test]
async fn a_request_is_found_by_its_id() {
    let system = serving().await;
    let call = Call::post("lookup", "/new", "k", "an order").header("idempotency-key", "o-1");
    let reply = system.call(0, &call).await;
    assert_eq!(reply.status, 200);
    let path = format!("/v1/requests/{}", reply.headers["ragwortrill-request"]);
    for daemon in 0..3 {
        let (_, request) = system
            .operator(daemon)
            .get_until::<Request>(&path, |request| request.status.is_some())
            .await;
        assert_eq!(request.progress, Progress::Answered);
        assert_eq!(request.status, Some(200));
        assert!(request.epoch.is_some());
    }
}

/// Guards against changes by clients that reach the port but don't have the token.
#[test_case(None; "no token")]
#[test_case(Some("Bearer a-wrong-token"); "a wrong token")]
#[test_case(Some("Basic a-token-for-tests"); "another scheme")]
#[test_case(Some("Bearer a-token-for-test"); "a shorter token")]
#[ntex::test]
async fn a_change_needs_the_token(authorization: Option<&str>) {
    let system = serving().await;
    let record = Record::Host {
        name: name("host-1"),
        state: State::Out,
        after: Default::default(),
    };
    let operator = system.operator(0).authorization(authorization);
    let (status, problem) = operator.post::<Problem>(&change(1, record)).await;
    assert_eq!(status, 401);
    assert_eq!(problem.run, Some(Run::NotRun));
    let (_, audit) = operator.get::<Vec<Audit>>("/v1/audit").await;
    assert!(audit.iter().all(|row| !row.text.starts_with("host ")));
}

/// Guards against an accepted change that some daemon does not apply, or that routing ignores.
#[ntex::test]
async fn a_drained_target_gets_no_work_anywhere() {
    let system = serving().await;
    let record = Record::Target {
        name: name("lookup-0"),
        state: State::Out,
        after: Default::default(),
    };
    let outcome = system
        .operator(1)
        .post_until_effective(&change(1, record))
        .await;
    assert_eq!(outcome.effect, Effect::Applied);
    for daemon in 0..3 {
        let (_, state) = system.operator(daemon).get::<Status>("/v1/status").await;
        assert!(state.offset >= outcome.offset);
    }
    let (_, owners) = system
        .operator(0)
        .get_until::<Vec<Owner>>("/v1/owners", |owners| {
            owners
                .iter()
                .all(|o| (o.slices == 0) == (o.target.as_str() == "lookup-0"))
        })
        .await;
    assert_eq!(owners.len(), 3);
    let before = system.targets[&name("lookup-0")].counts();
    for number in 0..30 {
        let call = Call::get("lookup", "/free", &format!("k-{number}"));
        system.call_until_served(number % 3, &call).await;
    }
    let after = system.targets[&name("lookup-0")].counts();
    assert_eq!(before.started, after.started);
}

/// Guards against two concurrent table changes of which the second undoes the first.
#[ntex::test]
async fn the_second_of_two_concurrent_changes_gets_a_conflict() {
    let system = serving().await;
    let base = Version(1);
    let submit = |daemon: usize, queue: u32| {
        let table = edited(&system, queue);
        let record = Record::Table { base, table };
        let operator = system.operator(daemon);
        async move { operator.post_raw(&change(u128::from(queue), record)).await }
    };
    let (first, second) = futures_util::join!(submit(0, 50), submit(1, 60));
    let statuses = [first.status, second.status];
    assert!(
        statuses == [200, 409] || statuses == [409, 200],
        "{statuses:?}"
    );
    let (winner, loser, queue) = match statuses[0] {
        200 => (first, second, 50),
        _ => (second, first, 60),
    };
    let outcome: ChangeResult = winner.json();
    assert_eq!(outcome.version, Version(2));
    let conflict: Conflict = loser.json();
    assert_eq!(conflict.version, Version(2));
    assert_eq!(conflict.table, edited(&system, queue));
    for daemon in 0..3 {
        let (_, edition) = system
            .operator(daemon)
            .get_until::<TableVersion>("/v1/table", |edition| edition.version == Version(2))
            .await;
        assert_eq!(edition.table, conflict.table);
    }
    let operator = system.operator(2);
    let (_, revisions) = operator.get::<Vec<Revision>>("/v1/table/history").await;
    let versions: Vec<u64> = revisions.iter().map(|r| r.version.0).collect();
    assert_eq!(versions, [1, 2]);
    let (_, table) = operator.get::<Table>("/v1/table/history/1").await;
    assert_eq!(table, system.table);
}

/// An invalid change, and the title and remedy of its refusal. All are submitted to the same
/// system.
struct InvalidChange {
    record: Record,
    title: &'static str,
    remedy: &'static str,
}

/// Guards against invalid changes that are appended to the log, and refusals without a remedy.
#[ntex::test]
async fn an_invalid_change_is_not_appended() {
    let system = serving().await;
    let end = system.log.bounds().end;
    let mut slices = edited(&system, 50);
    slices.services.values_mut().for_each(|row| row.slices = 32);
    let mut weights = edited(&system, 50);
    let rows = weights
        .services
        .values_mut()
        .flat_map(|row| row.targets.values_mut());
    rows.for_each(|target| target.weight = 0);
    let base = Version(1);
    let cases = [
        InvalidChange {
            record: Record::Table {
                base,
                table: slices,
            },
            title: "services[lookup].slices: got 32, expected 64, which is fixed",
            remedy: "restore the number of slices, or add a service with another name",
        },
        InvalidChange {
            record: Record::Table {
                base,
                table: weights,
            },
            title: "services[lookup].targets: got weights that sum to 0, expected at least one \
                    target with a weight above 0; add a target or raise a weight",
            remedy: "run 'ragwortrill table check FILE' and correct the file",
        },
        InvalidChange {
            record: Record::Target {
                name: name("lokup-0"),
                state: State::Out,
                after: Default::default(),
            },
            title: "the table has no target \"lokup-0\"",
            remedy: "did you mean \"lookup-0\"?",
        },
        InvalidChange {
            record: Record::DataCentre {
                name: name("nort"),
                state: State::Out,
                after: Default::default(),
            },
            title: "the table has no data centre \"nort\"",
            remedy: "did you mean \"north\"?",
        },
        InvalidChange {
            record: Record::Forget { before: Offset(1) },
            title: "the record is of a kind that only daemons write",
            remedy: "submit a table, data centre, host, target, lost process or quarantine",
        },
    ];
    for (number, case) in cases.into_iter().enumerate() {
        let change = change(number as u128 + 1, case.record);
        let (status, problem) = system.operator(0).post::<Problem>(&change).await;
        assert_eq!(status, 422);
        assert_eq!(problem.title, case.title);
        assert_eq!(problem.remedy, case.remedy);
        assert_eq!(problem.run, Some(Run::NotRun));
    }
    let rows = system.log.rows();
    let new = rows.iter().filter(|row| row.offset > end);
    let mut entries = new.map(|row| row.entry().expect("the record is readable"));
    assert!(entries.all(|entry| entry.actor != "robin"));
}

/// Guards against a change that takes effect twice, or that gets another answer than that of its
/// first append, because the log's response to the append was lost.
#[ntex::test]
async fn a_lost_response_of_the_log_does_not_lose_the_change() {
    let system = serving().await;
    system.wait_until_settled().await;
    system.log.change(|faults| faults.lost_answers = 1);
    let table = edited(&system, 50);
    let record = Record::Table {
        base: Version(1),
        table,
    };
    let (status, outcome) = system
        .operator(0)
        .post::<ChangeResult>(&change(7, record))
        .await;
    assert_eq!(status, 200);
    assert_eq!(outcome.effect, Effect::Applied);
    assert_eq!(outcome.version, Version(2));
    assert_eq!(
        system.log.faults().lost_answers,
        0,
        "the log lost no response"
    );
}

/// Guards against a repeated change that is applied again after later changes, or that gets another
/// answer at another daemon.
#[ntex::test]
async fn a_repeated_change_is_answered_as_the_first_time() {
    let system = serving().await;
    let table = |queue| edited(&system, queue);
    let first = change(
        1,
        Record::Table {
            base: Version(1),
            table: table(50),
        },
    );
    let (_, done) = system.operator(0).post::<ChangeResult>(&first).await;
    let refused = change(
        2,
        Record::Table {
            base: Version(1),
            table: table(60),
        },
    );
    assert_eq!(system.operator(1).post_raw(&refused).await.status, 409);
    let later = change(
        3,
        Record::Table {
            base: Version(2),
            table: table(70),
        },
    );
    assert_eq!(system.operator(1).post_raw(&later).await.status, 200);
    let out = change(
        4,
        Record::Host {
            name: name("host-9"),
            state: State::Out,
            after: Default::default(),
        },
    );
    let back = change(
        5,
        Record::Host {
            name: name("host-9"),
            state: State::In,
            after: Default::default(),
        },
    );
    assert_eq!(system.operator(1).post_raw(&out).await.status, 200);
    assert_eq!(system.operator(1).post_raw(&back).await.status, 200);
    for daemon in 0..3 {
        let operator = system.operator(daemon);
        let (_, again) = operator.post::<ChangeResult>(&first).await;
        assert_eq!(
            (again.offset, again.effect, again.version),
            (done.offset, done.effect, done.version)
        );
        assert_eq!(operator.post_raw(&refused).await.status, 409);
        assert_eq!(operator.post_raw(&out).await.status, 200);
    }
    let (_, edition) = system.operator(2).get::<TableVersion>("/v1/table").await;
    assert_eq!(edition.version, Version(3));
    assert_eq!(edition.table, table(70));
    let (_, audit) = system
        .operator(2)
        .get::<Vec<Audit>>("/v1/audit?since=1")
        .await;
    let mut hosts = audit.iter().filter(|row| row.text == "host host-9 out");
    assert_eq!(hosts.next().map(|row| row.effect), Some(Effect::Applied));
    assert_eq!(hosts.next(), None);
}

/// Guards against a late copy of a change in the log that undoes the changes after the first copy.
#[ntex::test]
async fn a_late_copy_in_the_log_has_no_effect() {
    let system = serving().await;
    let out = change(
        1,
        Record::Host {
            name: name("host-9"),
            state: State::Out,
            after: Default::default(),
        },
    );
    let back = change(
        2,
        Record::Host {
            name: name("host-9"),
            state: State::In,
            after: Default::default(),
        },
    );
    assert_eq!(system.operator(0).post_raw(&out).await.status, 200);
    assert_eq!(system.operator(0).post_raw(&back).await.status, 200);
    system.append_copy(&out);
    let (_, audit) = system
        .operator(0)
        .get_until::<Vec<Audit>>("/v1/audit", |audit| {
            audit
                .iter()
                .filter(|row| row.text == "host host-9 out")
                .count()
                == 2
        })
        .await;
    let copies = audit.iter().filter(|row| row.text == "host host-9 out");
    let effects: Vec<Effect> = copies.map(|row| row.effect).collect();
    assert_eq!(effects, [Effect::Applied, Effect::Duplicate]);
}

/// Guards against a change that is accepted while the log is down, or refused without the statement
/// that it did not run, and against one that stays refused afterwards.
#[ntex::test]
async fn without_the_log_a_change_is_refused_as_not_run() {
    let system = serving().await;
    system.log.change(|faults| faults.down = true);
    let record = Record::Host {
        name: name("host-1"),
        state: State::Out,
        after: Default::default(),
    };
    let (status, problem) = system
        .operator(0)
        .post::<Problem>(&change(1, record.clone()))
        .await;
    assert_eq!(status, 503);
    assert_eq!(problem.run, Some(Run::NotRun));
    system.log.change(|faults| faults.down = false);
    let start = std::time::Instant::now();
    while system
        .operator(0)
        .post_raw(&change(1, record.clone()))
        .await
        .status
        != 200
    {
        assert!(start.elapsed() < TIMEOUT, "the change is not accepted");
    }
}

/// An audit query, and the texts of the records that it lists.
struct AuditCase {
    query: &'static str,
    texts: &'static [&'static str],
}

/// Guards against an audit that omits records, or lists records of other services.
#[ntex::test]
async fn the_audit_can_be_filtered() {
    let builder = Builder::new().service("lookup", row(true), 1);
    let system = builder.service("plans", row(false), 1).start();
    for daemon in 0..3 {
        system
            .call_until_served(daemon, &Call::get("lookup", "/free", "k"))
            .await;
        system
            .call_until_served(daemon, &Call::get("plans", "/free", "k"))
            .await;
    }
    let target = |target, state| Record::Target {
        name: name(target),
        state,
        after: Default::default(),
    };
    let records = [
        target("lookup-0", State::Out),
        target("plans-0", State::Out),
        Record::Host {
            name: name("host-9"),
            state: State::Out,
            after: Default::default(),
        },
        target("lookup-0", State::In),
    ];
    let mut since = Offset(0);
    for (number, record) in records.into_iter().enumerate() {
        let change = change(number as u128 + 1, record);
        let (_, outcome) = system.operator(0).post::<ChangeResult>(&change).await;
        since = match number {
            0 => Offset(outcome.offset.0 - 1),
            _ => since,
        };
    }
    let cases = [
        AuditCase {
            query: "",
            texts: &[
                "target lookup-0 out",
                "target plans-0 out",
                "host host-9 out",
                "target lookup-0 in",
            ],
        },
        AuditCase {
            query: "&service=plans",
            texts: &["target plans-0 out", "host host-9 out"],
        },
        AuditCase {
            query: "&limit=1&service=plans",
            texts: &["target plans-0 out"],
        },
    ];
    for case in cases {
        let path = format!("/v1/audit?since={since}{}", case.query);
        let (_, audit) = system.operator(2).get::<Vec<Audit>>(&path).await;
        let own = audit.iter().filter(|row| row.actor == "robin");
        let texts: Vec<&str> = own.map(|row| row.text.as_str()).collect();
        assert_eq!(texts, case.texts, "{}", case.query);
    }
    let path = "/v1/audit?limit=1";
    let (_, audit) = system.operator(2).get::<Vec<Audit>>(path).await;
    assert_eq!(audit.len(), 1);
}

/// Guards against a serving daemon that does not report health or readiness, or lacks metrics.
#[ntex::test]
async fn health_readiness_and_metrics_are_served() {
    let system = serving().await;
    let operator: Operator = system.operator(0);
    assert_eq!(operator.get_raw("/healthz").await.status, 200);
    assert_eq!(operator.get_raw("/readyz").await.status, 200);
    let metrics = operator.get_raw("/metrics").await;
    let text = String::from_utf8_lossy(&metrics.body).into_owned();
    assert!(text.contains("http_server_request_duration"), "{text}");
}
