//! Tests of a log service that comes back from a copy, without its latest records.

mod harness;

use harness::{Builder, Call, System, name, row};
use ntex::time::{Millis, sleep};
use ragwortrill_platform::log::Row;
use ragwortrill_standin::target::Settings;

const KEY: &str = "k1";
/// Time for which the log service is down before it comes back, and between two looks at it.
const OUTAGE: Millis = Millis(500);
const INTERVAL: Millis = Millis(100);
/// Number of looks within which the lost records must be back: the daemons wait for 1 s.
const MAX_LOOKS: u32 = 150;

struct Case {
    name: &'static str,
    /// Whether the holder of the target crashes between copy and restore, so that a claim is lost.
    crashes: bool,
    /// Number of restores, one after the other.
    restores: u32,
}

/// Guards against records that are gone after a restore: claims, whose epochs are given out again,
/// and the ids of orders, which run again.
#[ntex::test]
async fn lost_records_are_appended_again() {
    let cases = [
        Case {
            name: "orders",
            crashes: false,
            restores: 1,
        },
        Case {
            name: "claim of a new holder",
            crashes: true,
            restores: 1,
        },
        Case {
            name: "two restores",
            crashes: false,
            restores: 2,
        },
    ];
    for case in cases {
        check(&case).await;
    }
}

async fn check(case: &Case) {
    let builder = Builder::new().daemons(3).service("orders", row(true), 1);
    let mut system = builder.target(Settings::default()).start();
    let ready = Call::get("orders", "/ready", KEY);
    system.call_until_served(0, &ready).await;
    system.log.save_copy();
    let target = name("orders-0");
    if case.crashes {
        // The holder names its standbys first.
        sleep(Millis(2_000)).await;
        let holder = system.holder(&target);
        system.crash_daemon(holder);
    }
    let daemon = (0..3).find(|daemon| system.daemons[*daemon].is_some());
    let daemon = daemon.expect("two daemons run");
    let order = Call::post("orders", "/order", KEY, "one crate").header("idempotency-key", "7");
    system.call_until_served(daemon, &order).await;
    for _ in 0..case.restores {
        // A record that no daemon has read yet need not get its offset again.
        sleep(OUTAGE).await;
        let before = system.log.rows();
        system.log.change(|faults| faults.down = true);
        sleep(OUTAGE).await;
        system.log.restore();
        system.log.change(|faults| faults.down = false);
        wait_for_records(&system, &before, case.name).await;
    }
    system.call_until_served(daemon, &ready).await;
    let repeated = system.call(daemon, &order).await;
    assert!(matches!(repeated.status, 200 | 409), "{}", case.name);
    let counts = system.targets[&target].counts();
    assert_eq!(counts.repeated(), Vec::<&str>::new(), "{}", case.name);
    assert_eq!(counts.stale, 0, "{}", case.name);
    assert_eq!(counts.stale_grants, 0, "{}", case.name);
}

/// Waits until the log has all records of before at their offsets, and one after them.
async fn wait_for_records(system: &System, before: &[Row], case: &str) {
    let mut rows = Vec::new();
    for _ in 0..MAX_LOOKS {
        rows = system.log.rows();
        if rows.len() > before.len() {
            break;
        }
        sleep(INTERVAL).await;
    }
    let kept = rows.iter().take(before.len());
    assert!(
        rows.len() > before.len() && kept.eq(before),
        "{case}: {} of {} records",
        rows.len(),
        before.len()
    );
}
