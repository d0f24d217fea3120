//! Choice of a target (power of two choices), and hedging.

use ragwortrill_core::{
    choice::{Candidate, Choice, Hedge},
    time::Span,
};

fn candidate(in_flight: u32, latency_ms: u64) -> Candidate {
    Candidate {
        in_flight,
        limit: 6,
        latency: Span::from_millis(latency_ms),
        factor_percent: 100,
        usable: true,
    }
}

struct Case {
    name: &'static str,
    candidates: Vec<Candidate>,
    except: Option<usize>,
    expected: Vec<usize>,
}

/// Guards against requests to an unusable, full or excluded target while another one has room.
#[test]
fn picks_only_targets_that_may_take_the_request() {
    let out = Candidate {
        usable: false,
        ..candidate(0, 1)
    };
    let cases = [
        Case {
            name: "none usable",
            candidates: vec![out, out],
            except: None,
            expected: vec![],
        },
        Case {
            name: "one usable",
            candidates: vec![out, candidate(9, 20), out],
            except: None,
            expected: vec![1],
        },
        Case {
            name: "room is found outside the samples",
            candidates: vec![
                candidate(6, 1),
                candidate(6, 1),
                candidate(6, 1),
                candidate(0, 90),
            ],
            except: None,
            expected: vec![3],
        },
        Case {
            name: "the faster of two is picked",
            candidates: vec![candidate(0, 100), candidate(0, 20)],
            except: None,
            expected: vec![1],
        },
        Case {
            name: "a hedge goes to another target",
            candidates: vec![candidate(0, 100), candidate(0, 20)],
            except: Some(1),
            expected: vec![0],
        },
    ];
    for case in cases {
        let mut choice = Choice::new(5);
        let mut seen: Vec<usize> = (0..100)
            .filter_map(|_| choice.pick(&case.candidates, case.except))
            .collect();
        seen.sort_unstable();
        seen.dedup();
        assert_eq!(seen, case.expected, "{}", case.name);
    }
}

/// Guards against choices that can't be reproduced from their seed.
#[test]
fn the_same_seed_picks_the_same() {
    let candidates = [candidate(1, 20); 9];
    let picks = |seed| {
        let mut choice = Choice::new(seed);
        let picks = (0..50).map(|_| choice.pick(&candidates, None));
        picks.collect::<Vec<_>>()
    };
    assert_eq!(picks(3), picks(3));
    assert_ne!(picks(3), picks(4));
}

/// Guards against hedges that add load to full targets or exceed their percentage of requests.
#[test]
fn hedges_are_few_and_only_where_there_is_room() {
    let mut hedge = Hedge::new(5);
    assert_eq!(hedge.delay(), None);
    for millis in 1..=100 {
        hedge.deposit();
        hedge.record(Span::from_millis(millis));
    }
    let delay = hedge.delay().expect("has samples").as_millis();
    assert!((88..=102).contains(&delay), "{delay}");
    assert!(!hedge.withdraw(&candidate(6, 20)));
    let sent = (0..100).filter(|_| hedge.withdraw(&candidate(0, 20)));
    assert_eq!(sent.count(), 5);
}
