//! Daemons that can't read the whole log: they restore a snapshot, or get the state from a peer.

mod harness;

use std::time::Instant;

use harness::{Builder, Call, System, TIMEOUT, name, row};
use ntex::time::{Millis, sleep};
use ragwortrill_core::{
    ledger::Ledger,
    number::{Offset, Version},
    record::{Entry, Id, Record, State},
    report::{Audit, Revision, Status, TableVersion},
    snapshot,
};
use ragwortrill_platform::{hosts, log::Batch};
use ragwortrill_standin::hosts as host_list;
use test_case::test_case;

/// Number of records after which the daemons of these tests write a snapshot.
const SNAPSHOT_RECORDS: u64 = 100;

async fn serving() -> System {
    let builder = Builder::new().service("lookup", row(true), 3);
    let builder = builder.settings(|settings| settings.snapshots.records = SNAPSHOT_RECORDS);
    let system = builder.start();
    let call = Call::get("lookup", "/free", "k");
    for daemon in 0..3 {
        system.call_until_served(daemon, &call).await;
    }
    system.wait_until_settled().await;
    system
}

/// Writes records that change the state of a host.
fn write_records(system: &mut System, count: u64) {
    for number in 0..count {
        let state = if number % 2 == 0 {
            State::Out
        } else {
            State::In
        };
        let name = name("host-9");
        // The highest offset, so that no earlier change counts as later than this one.
        let after = Offset(u64::MAX);
        system.write(Record::Host { name, state, after });
    }
}

/// Returns the offset of the latest complete snapshot's state.
fn latest_snapshot(system: &System) -> Option<Offset> {
    let rows = system.log.rows().into_iter().rev();
    let mut entries = rows.map(|row| row.entry().expect("the record is readable"));
    entries.find_map(|entry| match entry.record {
        Record::Snapshot {
            at, part, parts, ..
        } => (part + 1 == parts).then_some(at),
        _ => None,
    })
}

async fn until<T>(what: &str, mut condition: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(found) = condition() {
            return found;
        }
        assert!(start.elapsed() < TIMEOUT, "{what} did not happen");
        sleep(Millis(50)).await;
    }
}

/// Checks that a daemon has the state of the others and serves requests.
async fn check(system: &System, daemon: usize) {
    let end = system.log.bounds().end;
    for other in 0..system.daemons.len() {
        let operator = system.operator(other);
        operator
            .get_until::<Status>("/v1/status", |status| {
                status.offset >= end
                    && status.hosts.len() == system.daemons.len()
                    && status.hosts.iter().all(|host| host.alive && !host.differs)
                    && status.hosts.iter().all(|host| host.offset >= Some(end))
            })
            .await;
    }
    let operator = system.operator(daemon);
    let (_, edition) = operator.get::<TableVersion>("/v1/table").await;
    assert_eq!(
        (edition.version, &edition.table),
        (Version(1), &system.table)
    );
    let (_, history) = operator.get::<Vec<Revision>>("/v1/table/history").await;
    assert_eq!(history.len(), 1, "the snapshot carries the table's history");
    let (_, audit) = operator
        .get::<Vec<Audit>>("/v1/audit?since=0&limit=1")
        .await;
    assert_eq!(audit[0].offset, Offset(1), "the snapshot carries the audit");
    for key in ["a", "b", "c"] {
        let call = Call::get("lookup", "/free", key);
        system.call_until_served(daemon, &call).await;
    }
}

/// Guards against a daemon that can't start after the log has dropped its first records.
#[ntex::test]
async fn a_new_daemon_starts_from_a_snapshot() {
    let mut system = serving().await;
    write_records(&mut system, SNAPSHOT_RECORDS);
    let at = until("a snapshot", || latest_snapshot(&system)).await;
    assert!(at >= Offset(SNAPSHOT_RECORDS), "{at}");
    // The log drops old records as new ones arrive, so it retains some more than needed.
    let kept = system.log.bounds().end.0 - at.0 + SNAPSHOT_RECORDS / 2;
    system
        .log
        .change(|faults| faults.retained = Some(kept as usize));
    assert!(system.log.bounds().first > Offset(1));
    system.add_daemon(3);
    check(&system, 3).await;
}

/// Guards against a second snapshot too soon after the first, and against none after it.
#[ntex::test]
async fn snapshots_are_written_at_the_configured_distance() {
    let mut system = serving().await;
    write_records(&mut system, SNAPSHOT_RECORDS);
    let first = until("the first snapshot", || latest_snapshot(&system)).await;
    write_records(&mut system, SNAPSHOT_RECORDS);
    let later = || latest_snapshot(&system).filter(|at| *at > first);
    let second = until("the second snapshot", later).await;
    assert!(second.0 >= first.0 + SNAPSHOT_RECORDS, "{first} {second}");
}

/// Guards against a daemon that stays behind, or acts on old state, because the log has dropped the
/// records that it has to read next.
#[ntex::test]
async fn daemons_that_fell_behind_restore_a_snapshot() {
    let mut system = serving().await;
    system.log.change(|faults| faults.down = true);
    write_records(&mut system, 60);
    let mut ledger = Ledger::default();
    for row in system.log.rows() {
        ledger.apply(row.offset, &row.entry().expect("the record is readable"));
    }
    let mut batch = Batch::new();
    let records = snapshot::records(&ledger).expect("the state can be encoded");
    for (number, record) in records.into_iter().enumerate() {
        let entry = Entry {
            id: Id((1 << 100) + number as u128),
            actor: "test".to_owned(),
            reason: "test".to_owned(),
            written_ms: 1,
            record,
        };
        batch.push(&entry).expect("the entry fits");
    }
    system.log.append(&batch);
    system.log.change(|faults| {
        faults.retained = Some(batch.len() + 5);
        faults.down = false;
    });
    for daemon in 0..3 {
        check(&system, daemon).await;
    }
    let restored = system.operator(0).get_raw("/metrics").await;
    let text = String::from_utf8_lossy(&restored.body).into_owned();
    assert!(
        text.contains("ragwortrill_snapshots_restored_total"),
        "{text}"
    );
}

/// Guards against a daemon that starts without state while the log is down, that holds a contract
/// without a log proof, or that reports readiness although it can't serve requests.
#[test_case(true; "named in the settings")]
#[test_case(false; "named by the host list")]
#[ntex::test]
async fn without_the_log_a_peer_sends_the_state(seeds: bool) {
    let mut system = serving().await;
    let peer = system.daemons[0]
        .as_ref()
        .expect("the daemon runs")
        .addresses()
        .peers;
    let server = host_list::Server::start(vec![hosts::Host {
        host: name("host-0"),
        address: peer,
        data_centre: name("east"),
        state: hosts::State::Live,
    }]);
    let server = server.expect("the host list starts");
    system.log.change(|faults| faults.down = true);
    let hosts = server.address();
    system.add_daemon_with(3, move |settings| match seeds {
        true => settings.bootstrap.seeds = vec![peer],
        false => settings.bootstrap.hosts = Some(hosts),
    });
    let operator = system.operator(3);
    let (_, expected) = system.operator(0).get::<Status>("/v1/status").await;
    let (_, status) = operator
        .get_until::<Status>("/v1/status", |status| status.offset == expected.offset)
        .await;
    assert_eq!(status.hash, expected.hash);
    assert_eq!(status.version, Version(1));
    let holders = status.targets.iter().flat_map(|target| &target.contract);
    assert!(holders.clone().count() > 0);
    assert!(
        holders
            .clone()
            .all(|contract| contract.holder != status.process)
    );
    let start = Instant::now();
    while operator.get_raw("/readyz").await.status != 503 {
        assert!(
            start.elapsed() < TIMEOUT,
            "a daemon without the log and peers is ready"
        );
    }
    system.log.change(|faults| faults.down = false);
    check(&system, 3).await;
    assert_eq!(operator.get_raw("/readyz").await.status, 200);
}
