//! Scenarios: the rate of requests over time, faults of targets and actions of operators.

use rand::{RngExt, SeedableRng, rngs::Xoshiro256PlusPlus};

use ragwortrill_core::time::{Instant, Span};

use crate::virtual_target::ReportMode;

/// Event of a scenario.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// A target scales its service time to a percentage, for a span.
    Slow(usize, u64, Span),
    /// A target is suspended for a span.
    Freeze(usize, Span),
    /// A target crashes and is down for a span.
    Crash(usize, Span),
    /// A target becomes cold without a restart.
    MakeCold(usize),
    /// A target changes how it reports its load.
    Report(usize, ReportMode),
    /// Operators take a target out.
    Drain(usize),
    /// Operators return a target.
    Return(usize),
    /// Operators restart a target once its requests have ended.
    Restart(usize),
    /// Operators take out all targets of a data centre.
    DataCentreOut(usize),
    /// Operators return all targets of a data centre.
    DataCentreBack(usize),
    /// Another key becomes hot.
    HotKey(u32),
}

/// Load and events of a run.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Name on the command line.
    pub name: &'static str,
    /// Length of the run.
    pub length: Span,
    /// Request rate as points of time and share of the capacity, interpolated linearly.
    pub rate: Vec<(Instant, f64)>,
    /// Events in order of time.
    pub actions: Vec<(Instant, Action)>,
    /// Share of requests for the hot key, in per cent, while there is one.
    pub hot_percent: f64,
    /// Start and end of the time in which the month-end keys gradually replace the usual ones.
    pub keys_shift: Option<(Instant, Instant)>,
    /// Times at which a request that crashes its target is sent.
    pub poison: Vec<Instant>,
}

fn at(secs: u64) -> Instant {
    Instant(secs * 1_000_000)
}

const fn secs(secs: u64) -> Span {
    Span::from_secs(secs)
}

impl Scenario {
    /// Names of all scenarios, in the order in which the argument `all` runs them.
    pub const NAMES: [&str; 11] = [
        "steady",
        "month-end",
        "stragglers",
        "cold-start",
        "hot-key-moves",
        "dc-out-and-back",
        "target-churn",
        "rolling-restart",
        "poison",
        "overload",
        "misleading-reports",
    ];

    /// Creates the scenario with this name for a service with `targets` targets.
    pub fn new(name: &str, targets: usize, seed: u64) -> Option<Self> {
        let name = Self::NAMES.into_iter().find(|known| *known == name)?;
        let base = Self {
            name,
            length: secs(90),
            rate: vec![(at(0), 0.5)],
            actions: Vec::new(),
            hot_percent: 0.0,
            keys_shift: None,
            poison: Vec::new(),
        };
        let random = &mut Xoshiro256PlusPlus::seed_from_u64(seed ^ 0x5ce0);
        Some(match name {
            "month-end" => base.month_end(targets, random),
            "stragglers" => base.stragglers(targets, random),
            "cold-start" => base.cold_start(),
            "hot-key-moves" => base.hot_key_moves(random),
            "dc-out-and-back" => base.data_centre(),
            "target-churn" => base.churn(targets, random),
            "rolling-restart" => base.rolling_restart(targets),
            "poison" => base.poison(),
            "overload" => Self {
                rate: vec![(at(10), 0.5), (at(15), 2.0), (at(60), 2.0), (at(62), 0.5)],
                ..base
            },
            "misleading-reports" => base.misleading(targets),
            _ => base,
        })
    }

    /// Returns the request rate at a moment, as a share of the capacity.
    pub fn share(&self, now: Instant) -> f64 {
        let after = self.rate.iter().position(|(at, _)| *at > now);
        match after {
            None => self.rate.last().map_or(0.0, |(_, share)| *share),
            Some(0) => self.rate[0].1,
            Some(next) => {
                let ((t0, a), (t1, b)) = (self.rate[next - 1], self.rate[next]);
                let part = now.since(t0).0 as f64 / t1.since(t0).0 as f64;
                a + (b - a) * part
            }
        }
    }

    /// The rate rises tenfold within two minutes while other keys take over, with slowdowns.
    fn month_end(self, targets: usize, random: &mut Xoshiro256PlusPlus) -> Self {
        let length = secs(240);
        Self {
            length,
            rate: vec![(at(30), 0.075), (at(150), 0.75)],
            keys_shift: Some((at(30), at(150))),
            actions: slowdowns(targets, length, random),
            ..self
        }
    }

    fn stragglers(self, targets: usize, random: &mut Xoshiro256PlusPlus) -> Self {
        let length = secs(120);
        let mut actions = slowdowns(targets, length, random);
        actions.push((at(30), Action::Slow(targets / 2, 300, secs(60))));
        actions.sort_by_key(|(at, _)| *at);
        Self {
            length,
            actions,
            ..self
        }
    }

    fn cold_start(self) -> Self {
        let actions = vec![
            (at(20), Action::Crash(1, Span::from_millis(600))),
            (at(30), Action::Crash(2, secs(3))),
            (at(50), Action::MakeCold(3)),
        ];
        Self { actions, ..self }
    }

    fn hot_key_moves(self, random: &mut Xoshiro256PlusPlus) -> Self {
        let hot = |time: u64, random: &mut Xoshiro256PlusPlus| {
            (at(time), Action::HotKey(random.random_range(0..1_000_000)))
        };
        Self {
            length: secs(200),
            actions: [10, 55, 100, 145].map(|time| hot(time, random)).to_vec(),
            hot_percent: 4.0,
            ..self
        }
    }

    fn data_centre(self) -> Self {
        Self {
            length: secs(180),
            actions: vec![
                (at(30), Action::DataCentreOut(1)),
                (at(90), Action::DataCentreBack(1)),
            ],
            ..self
        }
    }

    fn churn(self, targets: usize, random: &mut Xoshiro256PlusPlus) -> Self {
        let mut actions = Vec::new();
        for turn in 0..6 {
            let target = random.random_range(0..targets);
            let start = 20 + turn * 25;
            match turn % 3 {
                0 => actions.push((at(start), Action::Crash(target, secs(15)))),
                1 => actions.push((at(start), Action::Freeze(target, secs(10)))),
                _ => {
                    actions.push((at(start), Action::Drain(target)));
                    actions.push((at(start + 15), Action::Return(target)));
                }
            }
        }
        Self {
            length: secs(190),
            actions,
            ..self
        }
    }

    fn rolling_restart(self, targets: usize) -> Self {
        let mut actions = Vec::new();
        for turn in 0..targets.min(5) {
            let start = 15 + turn as u64 * 30;
            actions.push((at(start), Action::Drain(turn)));
            actions.push((at(start + 6), Action::Restart(turn)));
            actions.push((at(start + 9), Action::Return(turn)));
        }
        Self {
            length: secs(180),
            actions,
            ..self
        }
    }

    fn poison(self) -> Self {
        let resent = (0..16).map(|turn| Instant(30_000_000 + turn * 1_500_000));
        Self {
            poison: resent.collect(),
            ..self
        }
    }

    /// A third of the targets is slow and reports no load; the others report full load.
    fn misleading(self, targets: usize) -> Self {
        let mut actions = Vec::new();
        for target in 0..targets {
            let slow = target % 3 == 0;
            let percent = if slow { 0 } else { 100 };
            actions.push((at(1), Action::Report(target, ReportMode::Constant(percent))));
            if slow {
                actions.push((at(1), Action::Slow(target, 200, secs(1_000))));
            }
        }
        Self { actions, ..self }
    }
}

/// Returns random slowdowns: about once a minute, each target is five times as slow for 2 to 6 s.
fn slowdowns(
    targets: usize,
    length: Span,
    random: &mut Xoshiro256PlusPlus,
) -> Vec<(Instant, Action)> {
    let mut actions = Vec::new();
    let end = length.0 / 1_000_000;
    for target in 0..targets {
        let mut time = random.random_range(10..60u64);
        while time < end {
            let span = secs(random.random_range(2..=6));
            actions.push((at(time), Action::Slow(target, 500, span)));
            time += random.random_range(30..90u64);
        }
    }
    actions.sort_by_key(|(at, _)| *at);
    actions
}
