//! Configurations that are explored with all rules in effect.

use super::{
    bounds::{BASE, Bounds, Budget, Late, NONE},
    rule::Rule,
    scenario::scenario,
};

const ALL_RATES: &[&[u8]] = &[&[1, 1, 1], &[1, 2, 2], &[2, 1, 1], &[2, 2, 2]];

/// Returns the configurations that the `model` example explores.
pub(crate) fn full() -> Vec<Bounds> {
    let mut all = small();
    let depths = [12, 11, 11, 9, 12, 10, 10, 10, 11];
    for (bounds, depth) in all.iter_mut().zip(depths) {
        bounds.depth = depth;
        if bounds.name == "pair" {
            bounds.rates = ALL_RATES;
        }
    }
    all.extend(complete());
    all
}

/// Returns configurations limited to a depth that a debug build explores in seconds.
pub(crate) fn small() -> Vec<Bounds> {
    let depth = 7;
    let pair = |name, budget| Bounds {
        name,
        budget,
        depth,
        ..BASE
    };
    let claims = |claims| Budget { claims, ..NONE };
    vec![
        Bounds {
            late_promises: true,
            late_reads: true,
            ..pair(
                "pair",
                Budget {
                    releases: 1,
                    ..claims(2)
                },
            )
        },
        Bounds {
            candidates: 3,
            ..pair(
                "trio",
                Budget {
                    releases: 1,
                    ..claims(3)
                },
            )
        },
        Bounds {
            outsider: true,
            ticks: 6,
            ..pair(
                "outsider",
                Budget {
                    renames: 1,
                    ..claims(3)
                },
            )
        },
        Bounds {
            candidates: 3,
            late: Late::Standbys,
            ..pair(
                "renaming",
                Budget {
                    renames: 2,
                    repeats: 1,
                    ..claims(2)
                },
            )
        },
        pair(
            "restart",
            Budget {
                crashes: 1,
                releases: 1,
                ..claims(2)
            },
        ),
        Bounds {
            outsider: true,
            late: Late::Started,
            ..pair(
                "late start",
                Budget {
                    assertions: 1,
                    crashes: 1,
                    ..claims(2)
                },
            )
        },
        Bounds {
            targets: 2,
            late: Late::Move,
            ..pair(
                "moves",
                Budget {
                    moves: 2,
                    repeats: 1,
                    ..claims(1)
                },
            )
        },
        Bounds {
            requests: 2,
            ..pair(
                "requests",
                Budget {
                    repeats: 1,
                    releases: 1,
                    ..claims(1)
                },
            )
        },
        Bounds {
            candidates: 1,
            ticks: 1,
            ..pair(
                "table",
                Budget {
                    tables: 3,
                    states: 3,
                    repeats: 2,
                    ..NONE
                },
            )
        },
    ]
}

/// Returns configurations that are explored exhaustively: the distinct scenarios of the rules, and
/// some histories that need more steps than the depth limits of the others allow.
fn complete() -> Vec<Bounds> {
    let mut all: Vec<Bounds> = Vec::new();
    for bounds in Rule::ALL.iter().map(|rule| scenario(*rule)) {
        let is_known = |known: &Bounds| known.to_string() == bounds.to_string();
        if !all.iter().any(is_known) {
            all.push(bounds);
        }
    }
    let outsider = Bounds {
        name: "claims in a row",
        outsider: true,
        claimers: &[1, 2],
        ticks: 4,
        depth: 15,
        budget: Budget { claims: 3, ..NONE },
        ..BASE
    };
    let releases = Bounds {
        name: "releases in a row",
        depth: 14,
        budget: Budget {
            claims: 3,
            releases: 2,
            ..NONE
        },
        heartbeats: false,
        ..outsider.clone()
    };
    let alone = Bounds {
        name: "no standbys",
        candidates: 1,
        claimers: &[0, 1],
        ticks: 6,
        depth: 18,
        rates: ALL_RATES,
        ..outsider.clone()
    };
    all.extend([outsider, releases, alone]);
    all
}
