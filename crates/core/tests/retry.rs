//! Retry budgets.

use ragwortrill_core::retry::Budget;

struct Case {
    percent: u32,
    burst: u32,
    requests: u32,
    expected: u32,
}

/// Guards against retries that amplify an overload.
#[test]
fn retries_stay_within_their_percentage() {
    let case = |percent, burst, requests, expected| Case {
        percent,
        burst,
        requests,
        expected,
    };
    let cases = [
        case(10, 1_000, 0, 0),
        case(10, 1_000, 9, 0),
        case(10, 1_000, 10, 1),
        case(10, 1_000, 1_005, 100),
        case(10, 20, 1_005, 20),
        case(0, 20, 1_005, 0),
        case(100, 20, 7, 7),
    ];
    for case in cases {
        let mut budget = Budget::new(case.percent, case.burst);
        (0..case.requests).for_each(|_| budget.deposit());
        let allowed = (0..2_000).filter(|_| budget.withdraw()).count();
        assert_eq!(allowed, case.expected as usize);
    }
}
