//! For each rule, the configuration that has a counterexample without it.

use super::{
    bounds::{BASE, Bounds, Budget, Late, NONE},
    rule::Rule,
};

const TAKEOVER: Budget = Budget { claims: 1, ..NONE };

/// Returns a configuration that violates an invariant without this rule, and none with all rules.
pub(crate) fn scenario(rule: Rule) -> Bounds {
    let name = rule.name;
    let budget = TAKEOVER;
    let pair = Bounds {
        name,
        budget,
        claimers: &[1],
        ..BASE
    };
    let outsider = Bounds {
        outsider: true,
        ticks: 3,
        claimers: &[2],
        ..pair.clone()
    };
    match rule {
        Rule::PROOF_TIME => Bounds {
            late_reads: true,
            heartbeats: false,
            ..pair
        },
        Rule::PROMISE_TIME => Bounds {
            late_promises: true,
            ..pair
        },
        Rule::OUTSIDER_WAIT | Rule::OUTSIDER_LIMIT => Bounds {
            ticks: 4,
            ..outsider
        },
        Rule::INHERITED_WAIT => Bounds {
            ticks: 0,
            claimers: &[1, 2],
            budget: Budget {
                claims: 2,
                releases: 1,
                ..NONE
            },
            ..outsider
        },
        Rule::CONFIRM_AFTER_WAIT => Bounds {
            ticks: 0,
            claimers: &[1, 2],
            renamers: &[2],
            budget: Budget {
                claims: 2,
                renames: 1,
                releases: 1,
                ..NONE
            },
            ..outsider
        },
        Rule::UNANIMOUS => Bounds {
            candidates: 3,
            ..pair
        },
        Rule::UNION => Bounds {
            renamers: &[0],
            budget: Budget {
                renames: 1,
                ..TAKEOVER
            },
            ..outsider
        },
        Rule::STANDBYS_ONCE => Bounds {
            candidates: 3,
            ticks: 3,
            claimers: &[2],
            late: Late::Standbys,
            ..pair
        },
        Rule::INCARNATION => Bounds {
            ticks: 3,
            crashers: &[1],
            budget: Budget {
                claims: 2,
                crashes: 1,
                ..NONE
            },
            ..pair
        },
        Rule::STARTED_ONCE => Bounds {
            late: Late::Started,
            ..outsider
        },
        Rule::LOST_TRUE => Bounds {
            budget: Budget {
                assertions: 1,
                ..TAKEOVER
            },
            ..outsider
        },
        Rule::COMPARE_AND_SET => Bounds {
            is_claimed: false,
            claimers: &[0, 1],
            budget: Budget { claims: 2, ..NONE },
            ..pair
        },
        Rule::STOP_BEFORE_RELEASE => Bounds {
            budget: Budget {
                releases: 1,
                ..TAKEOVER
            },
            ..pair
        },
        Rule::MOVE_STOP => Bounds {
            targets: 2,
            budget: Budget { moves: 1, ..NONE },
            ..pair
        },
        Rule::MOVE_ONCE => Bounds {
            targets: 2,
            late: Late::Move,
            budget: Budget { moves: 1, ..NONE },
            ..pair
        },
        Rule::INTENT_EPOCH | Rule::INTENT_ONCE | Rule::REFUSAL_FINAL => Bounds {
            requests: 1,
            heartbeats: false,
            ..pair
        },
        Rule::TABLE_VERSION | Rule::STATE_ONCE => Bounds {
            candidates: 1,
            ticks: 0,
            budget: Budget {
                tables: 2,
                states: 2,
                repeats: 2,
                ..NONE
            },
            ..pair
        },
        _ => pair,
    }
}
