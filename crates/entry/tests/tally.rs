//! Counts of the leader's exchanges, which it logs.

use ragwortrill_core::time::{Instant, Span};
use ragwortrill_entry::tally::{Count, LOG_INTERVAL, Tally};

const START: Instant = Instant(1_000_000);

struct Case {
    name: &'static str,
    /// Times after the start at which the counts are asked for. A report and an answer come right
    /// before each.
    asked_ms: &'static [u64],
    /// Reports in each line of the log.
    lines: &'static [u64],
}

/// Guards against a line of the log for each exchange, and against exchanges that no line counts or
/// two do.
#[test]
fn exchanges_are_logged_once_a_second_at_most() {
    let cases = [
        Case {
            name: "first second",
            asked_ms: &[10, 999],
            lines: &[],
        },
        Case {
            name: "one second",
            asked_ms: &[10, 1_000],
            lines: &[2],
        },
        Case {
            name: "two lines",
            asked_ms: &[500, 1_100, 1_200, 2_000, 2_100],
            lines: &[2, 3],
        },
        Case {
            name: "late event loop",
            asked_ms: &[5_000, 5_900, 6_000],
            lines: &[1, 2],
        },
    ];
    for case in cases {
        let tally = Tally::default();
        tally.add_report(7);
        tally.restart(START);
        let lines = case.asked_ms.iter().filter_map(|at| {
            tally.add_report(100);
            tally.add_answer(300);
            tally.take(START + Span::from_millis(*at))
        });
        let lines: Vec<_> = lines.collect();
        let is_apart = |(_, elapsed): &(Count, Span)| *elapsed >= LOG_INTERVAL;
        assert!(lines.iter().all(is_apart), "{}: {lines:?}", case.name);
        let counts: Vec<Count> = lines.into_iter().map(|(count, _)| count).collect();
        let expected = case.lines.iter().map(|reports| Count {
            reports: *reports,
            report_bytes: reports * 100,
            answers: *reports,
            answer_bytes: reports * 300,
        });
        assert_eq!(counts, expected.collect::<Vec<_>>(), "{}", case.name);
    }
}
