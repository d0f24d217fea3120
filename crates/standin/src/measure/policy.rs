//! Policies that are compared: the core, the core with a part switched off, and baselines.

/// How a target is chosen where any target serves any key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Selection {
    /// The core's choice between two samples.
    Core,
    /// The target that the key's hash names.
    Hashing,
    /// Each target in turn.
    Turns,
    /// A random target.
    Random,
    /// The target that reported the least load.
    LeastReported,
}

/// A policy: which parts of the core decide.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Policy {
    /// Name on the command line.
    pub name: &'static str,
    /// How a target is chosen.
    pub selection: Selection,
    /// Slots are counted before requests are sent.
    pub admission: bool,
    /// Requests that would be late are refused, and deadlines are sent to targets.
    pub deadlines: bool,
    /// Cold targets get less.
    pub slow_start: bool,
    /// Slow idempotent requests get a second copy.
    pub hedging: bool,
    /// Slices move to even out load.
    pub balance: bool,
    /// Hot keys are placed apart.
    pub hot_keys: bool,
    /// Load reports count.
    pub hints: bool,
    /// Crashing requests are barred.
    pub quarantine: bool,
    /// Moves are paced.
    pub pace: bool,
    /// Slots assumed above the true number. Breaks the limits on purpose.
    pub excess_slots: u32,
    /// Non-idempotent requests are retried. Breaks at-most-once on purpose.
    pub retries_all: bool,
    /// Planned restarts do not wait for running requests. Cuts answers on purpose.
    pub impatient: bool,
    /// Targets that operators took out are not emptied. Sends them work on purpose.
    pub keeps_drained: bool,
    /// Broken requests are refused as not run. Makes refusals untrue on purpose.
    pub refuses_broken: bool,
    /// Error of the forecast that moves are planned by, in per cent, if there is one.
    pub forecast_error: Option<u32>,
}

impl Policy {
    /// Returns the core with all its parts.
    pub fn core() -> Self {
        Self {
            name: "core",
            selection: Selection::Core,
            admission: true,
            deadlines: true,
            slow_start: true,
            hedging: true,
            balance: true,
            hot_keys: true,
            hints: true,
            quarantine: true,
            pace: true,
            excess_slots: 0,
            retries_all: false,
            impatient: false,
            keeps_drained: false,
            refuses_broken: false,
            forecast_error: None,
        }
    }

    fn baseline(name: &'static str, selection: Selection) -> Self {
        Self {
            name,
            selection,
            deadlines: false,
            slow_start: false,
            hedging: false,
            balance: false,
            hot_keys: false,
            hints: false,
            quarantine: false,
            pace: false,
            ..Self::core()
        }
    }

    /// Returns the policies that `--compare` runs, the core first.
    pub fn compared() -> Vec<Self> {
        let core = Self::core;
        vec![
            core(),
            Self {
                admission: false,
                ..Self::baseline("hashing", Selection::Hashing)
            },
            Self::baseline("round-robin", Selection::Turns),
            Self::baseline("random", Selection::Random),
            Self::baseline("least-reported", Selection::LeastReported),
            Self {
                name: "no-deadlines",
                deadlines: false,
                ..core()
            },
            Self {
                name: "no-slow-start",
                slow_start: false,
                ..core()
            },
            Self {
                name: "no-hedging",
                hedging: false,
                ..core()
            },
            Self {
                name: "no-balance",
                balance: false,
                ..core()
            },
            Self {
                name: "no-hot-keys",
                hot_keys: false,
                ..core()
            },
            Self {
                name: "no-hints",
                hints: false,
                ..core()
            },
            Self {
                name: "no-quarantine",
                quarantine: false,
                ..core()
            },
            Self {
                name: "no-pace",
                pace: false,
                ..core()
            },
        ]
    }

    /// Returns the core with moves planned by a forecast.
    pub fn forecasts() -> Vec<Self> {
        let forecast = |name, error| Self {
            name,
            forecast_error: Some(error),
            ..Self::core()
        };
        vec![
            forecast("forecast-0", 0),
            forecast("forecast-10", 10),
            forecast("forecast-20", 20),
        ]
    }

    /// Returns the core broken on purpose, to show that the zero cells can be non-zero.
    pub fn broken() -> Vec<Self> {
        let core = Self::core;
        vec![
            Self {
                name: "broken-slots",
                excess_slots: 2,
                ..core()
            },
            Self {
                name: "broken-retries",
                retries_all: true,
                ..core()
            },
            Self {
                name: "broken-restarts",
                impatient: true,
                ..core()
            },
            Self {
                name: "broken-drains",
                keeps_drained: true,
                ..core()
            },
            Self {
                name: "broken-refusals",
                refuses_broken: true,
                ..core()
            },
        ]
    }

    /// Finds a policy by name.
    pub fn named(name: &str) -> Option<Self> {
        let all = [Self::compared(), Self::forecasts(), Self::broken()];
        all.into_iter().flatten().find(|policy| policy.name == name)
    }
}
