//! Times for which a target wants nothing from this host.

use ragwortrill_core::time::{Instant, Span};
use ragwortrill_router::pause::{Pause, Time};

fn at(millis: u64) -> Instant {
    Instant(Span::from_secs(100).0) + Span::from_millis(millis)
}

struct Case {
    name: &'static str,
    /// When refusals state times, in milliseconds, and the times.
    stated: &'static [(u64, &'static str)],
    /// When the pause ends, in milliseconds; none if there was none.
    ends_at: Option<u64>,
}

/// Guards against a shorter statement that ends a longer one, and a statement that is read wrongly.
#[test]
fn longest_statement_counts() {
    let cases = [
        Case {
            name: "one",
            stated: &[(0, "2")],
            ends_at: Some(2_000),
        },
        Case {
            name: "a fraction",
            stated: &[(0, " 1.5 ")],
            ends_at: Some(1_500),
        },
        Case {
            name: "none",
            stated: &[(0, "0")],
            ends_at: None,
        },
        Case {
            name: "a longer one replaces a shorter one",
            stated: &[(0, "2"), (500, "3")],
            ends_at: Some(3_500),
        },
        Case {
            name: "a shorter one does not replace a longer one",
            stated: &[(0, "4"), (500, "1"), (600, "0")],
            ends_at: Some(4_000),
        },
        Case {
            name: "another one after the end of the first",
            stated: &[(0, "1"), (5_000, "1")],
            ends_at: Some(6_000),
        },
    ];
    for case in cases {
        let mut pause = Pause::default();
        for (millis, text) in case.stated {
            pause.record(at(*millis), text.parse().unwrap());
        }
        let last = case.stated.last().map_or(0, |(millis, _)| *millis);
        let left = case.ends_at.map(|end| Span::from_millis(end - last));
        assert_eq!(pause.left(at(last)), left, "{}", case.name);
        let end = at(case.ends_at.unwrap_or(last));
        assert_eq!(pause.left(end), None, "{}", case.name);
    }
}

/// Guards against texts that stop requests to a target for a time that it did not state.
#[test]
fn text_that_is_no_number_of_seconds_is_refused() {
    for text in [
        "",
        "soon",
        "-1",
        "NaN",
        "inf",
        "1s",
        "Fri, 31 Dec 1999 23:59:59 GMT",
    ] {
        assert!(text.parse::<Time>().is_err(), "{text:?}");
    }
}
