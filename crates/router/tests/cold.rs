//! Limit on the requests that all hosts together send to a cold target.

use ragwortrill_core::{
    bucket::Bucket,
    name,
    time::{Instant, Span},
};
use ragwortrill_router::share::ColdLimit;

struct Case {
    name: &'static str,
    hosts: usize,
    cold: ColdLimit,
}

/// Guards against exceeding the limit of a cold target within one second although each host stays
/// within its share of the rate: all hosts may send one request at the same time (seen with 65
/// hosts and 5.3 requests per second).
#[test]
fn hosts_together_stay_within_the_limit_of_a_cold_target() {
    let cases = [
        Case {
            name: "8 hosts",
            hosts: 8,
            cold: ColdLimit {
                rate: 19.0,
                overage: 1.5,
                slack: 5.0,
            },
        },
        Case {
            name: "65 hosts",
            hosts: 65,
            cold: ColdLimit {
                rate: 5.3,
                overage: 1.5,
                slack: 8.0,
            },
        },
        Case {
            name: "300 hosts and no slack",
            hosts: 300,
            cold: ColdLimit {
                rate: 2.0,
                overage: 1.5,
                slack: 0.0,
            },
        },
    ];
    let target: name::Target = "a".parse().unwrap();
    for case in cases {
        let names: Vec<String> = (0..case.hosts)
            .map(|index| format!("host-{index}"))
            .collect();
        let hosts: Vec<&str> = names.iter().map(String::as_str).collect();
        let start = Instant(Span::from_secs(100).0);
        let rates = hosts
            .iter()
            .map(|host| case.cold.host_rate(&target, host, &hosts));
        let mut senders: Vec<(f64, Bucket)> = rates
            .flatten()
            .map(|rate| (rate, Bucket::new(start, 1.0)))
            .collect();
        assert!(!senders.is_empty(), "{}", case.name);
        let mut sent = Vec::new();
        for tick in 0..500 {
            let now = start + Span::from_millis(10 * tick);
            for (rate, bucket) in &mut senders {
                if bucket.take(now, *rate, 1.0) {
                    sent.push(now);
                }
            }
        }
        let allowed = case.cold.rate * case.cold.overage + case.cold.slack;
        let in_second = |from: &Instant| {
            let window = sent
                .iter()
                .filter(|at| *at >= from && at.since(*from) < Span::from_secs(1));
            window.count() as f64
        };
        let most = sent.iter().map(in_second).fold(0.0, f64::max);
        assert!(most <= allowed, "{}: {most} of {allowed}", case.name);
        assert!(most >= 1.0, "{}", case.name);
    }
}
