//! Rate of the leader's answers to the reports of other hosts, and of its planning.

use ragwortrill_core::time::{Instant, Span};
use ragwortrill_router::pace::{ANSWER_INTERVAL, Pace, planning_pause, round};

/// Delay between an answer and the host's next report.
const REPORT_DELAY: Span = Span::from_millis(50);
const RUN_TIME: Span = Span::from_secs(10);

/// Answers of a leader whose hosts report again after each answer, and each event of a storm makes
/// every report due at once.
struct Storm {
    hosts: usize,
}

impl Storm {
    /// Returns the times of the answers to each host.
    fn answers(&self) -> Vec<Vec<Instant>> {
        let start = Instant(Span::from_secs(100).0);
        let mut pace = Pace::default();
        let mut answers = vec![Vec::new(); self.hosts];
        let mut reports: Vec<(Instant, usize)> =
            (0..self.hosts).map(|host| (start, host)).collect();
        while let Some((at, host)) = reports.iter().min().copied() {
            if at.since(start) >= RUN_TIME {
                break;
            }
            reports.retain(|(_, other)| *other != host);
            let answered_at = pace.allot(at);
            answers[host].push(answered_at);
            reports.push((answered_at + REPORT_DELAY, host));
        }
        answers
    }
}

/// Guards against a leader that is busy with other hosts alone: events lift the rate of its answers
/// without a bound, or a host waits longer than a round.
#[test]
fn storm_does_not_lift_the_answers_above_their_rate() {
    let second = Span::from_secs(1);
    for hosts in [1, 10, 82, 150] {
        let answers = Storm { hosts }.answers();
        let mut all: Vec<Instant> = answers.iter().flatten().copied().collect();
        all.sort_unstable();
        let most = all.iter().enumerate().map(|(index, at)| {
            let in_second = all[index..].iter().take_while(|t| t.since(*at) < second);
            in_second.count() as u64
        });
        let bound = second.0 / ANSWER_INTERVAL.0;
        assert!(
            most.max() <= Some(bound),
            "{hosts} hosts: over {bound} a second"
        );
        let gaps = answers.iter().flat_map(|times| times.windows(2));
        let longest = gaps.map(|pair| pair[1].since(pair[0])).max();
        let allowed = round(hosts) + REPORT_DELAY;
        assert!(
            longest <= Some(allowed),
            "{hosts} hosts: {longest:?} without an answer"
        );
    }
}

struct Step {
    name: &'static str,
    elapsed_ms: u64,
    pause_ms: u64,
}

/// Guards against a leader that plans without a pause, so that its callers wait, and against one that
/// renews no grants for seconds since its process was paused during a step: grants last 4 s.
#[test]
fn leader_pauses_after_a_planning_step_by_its_time_within_bounds() {
    let steps = [
        Step {
            name: "no time",
            elapsed_ms: 0,
            pause_ms: 10,
        },
        Step {
            name: "short step",
            elapsed_ms: 2,
            pause_ms: 10,
        },
        Step {
            name: "usual step",
            elapsed_ms: 20,
            pause_ms: 80,
        },
        Step {
            name: "step at the bound",
            elapsed_ms: 50,
            pause_ms: 200,
        },
        Step {
            name: "step during which the process was paused",
            elapsed_ms: 3_000,
            pause_ms: 200,
        },
    ];
    for step in steps {
        let pause = planning_pause(Span::from_millis(step.elapsed_ms));
        assert_eq!(pause, Span::from_millis(step.pause_ms), "{}", step.name);
    }
}
