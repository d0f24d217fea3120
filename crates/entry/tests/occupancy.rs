//! Levels of the connections of callers.

use ragwortrill_entry::occupancy::{Level, level};

struct Case {
    callers: u64,
    descriptors: u64,
    level: Level,
}

/// Guards against a host whose callers take the descriptors that its connections to targets need.
#[test]
fn callers_get_half_of_the_descriptors() {
    let cases = [
        (0, Level::Normal),
        (1_461, Level::Normal),
        (1_462, Level::Crowded),
        (1_949, Level::Crowded),
        (1_950, Level::Full),
        (2_436, Level::Full),
        (2_437, Level::Exhausted),
        (4_100, Level::Exhausted),
    ];
    let cases = cases.map(|(callers, level)| Case {
        callers,
        descriptors: 3_900,
        level,
    });
    for case in cases {
        let found = level(case.callers, case.descriptors);
        assert_eq!(found, case.level, "{} callers", case.callers);
    }
}
