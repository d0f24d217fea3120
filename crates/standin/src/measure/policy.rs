//! Policies to compare: the core, the core without one of its parts, and baselines.

/// How a target is chosen in services whose targets serve all keys.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Selection {
    /// The core's choice between two random targets.
    Core,
    /// The target that the hash of the key selects.
    Hashing,
    /// The next target in turn.
    RoundRobin,
    /// A random target.
    Random,
    /// The target that reported the lowest load.
    LeastReported,
}

/// Parts of the core that are active, and rules that are broken on purpose.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Policy {
    /// Name on the command line.
    pub name: &'static str,
    /// How a target is chosen.
    pub selection: Selection,
    /// Requests are sent only while their target has a free slot.
    pub admission: bool,
    /// Requests that would miss their deadline are refused, and deadlines are sent to targets.
    pub deadlines: bool,
    /// Cold targets get fewer requests.
    pub slow_start: bool,
    /// Slow idempotent requests get a second copy.
    pub hedging: bool,
    /// Slices move to even out load.
    pub balance: bool,
    /// Hot keys are assigned to targets separately from their slice.
    pub hot_keys: bool,
    /// Load reports of targets are taken into account.
    pub hints: bool,
    /// Requests that crash targets are quarantined.
    pub quarantine: bool,
    /// The rate of moves is limited.
    pub pace: bool,
    /// Number of slots assumed in addition to the real ones. Breaks the slot limit on purpose.
    pub excess_slots: u32,
    /// Non-idempotent requests are retried. Breaks at-most-once on purpose.
    pub retries_all: bool,
    /// Planned restarts do not wait for running requests. Interrupts answers on purpose.
    pub interrupts_requests: bool,
    /// Targets that operators took out keep their slices. Sends them requests on purpose.
    pub ignores_drains: bool,
    /// Requests that broke while running are refused as not run. Makes refusals false on purpose.
    pub refuses_broken: bool,
    /// Error in per cent of the load forecast used to plan moves, or `None` to plan without one.
    pub forecast_error: Option<u32>,
}

impl Policy {
    /// Returns the core with all its parts active.
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
            interrupts_requests: false,
            ignores_drains: false,
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

    /// Returns the policies that `--compare` runs. The core is the first.
    pub fn compared() -> Vec<Self> {
        let core = Self::core;
        vec![
            core(),
            Self {
                admission: false,
                ..Self::baseline("hashing", Selection::Hashing)
            },
            Self::baseline("round-robin", Selection::RoundRobin),
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

    /// Returns the core with moves planned by a forecast, for several errors of the forecast.
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

    /// Returns variants of the core that break one rule each, to show that the counts of violations
    /// can exceed zero.
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
                interrupts_requests: true,
                ..core()
            },
            Self {
                name: "broken-drains",
                ignores_drains: true,
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
