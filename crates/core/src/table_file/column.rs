//! Columns of the table file, with their ranges, defaults and remedies.

use crate::time::Span;

/// A column of whole numbers.
#[derive(Clone, Copy, Debug)]
pub struct Number {
    /// Name of the column.
    pub name: &'static str,
    /// Smallest and largest accepted value.
    pub range: (u32, u32),
    /// Value of an absent column; `None` if the column is required.
    pub default: Option<u32>,
    /// What to do about a rejected value.
    pub remedy: &'static str,
}

/// A column of spans of time, written as texts such as `"250ms"`.
#[derive(Clone, Copy, Debug)]
pub struct Duration {
    /// Name of the column.
    pub name: &'static str,
    /// Smallest and largest accepted value.
    pub range: (Span, Span),
    /// Value of an absent column; `None` if the column is required.
    pub default: Option<Span>,
    /// What to do about a rejected value.
    pub remedy: &'static str,
}

/// A column of boolean values.
#[derive(Clone, Copy, Debug)]
pub struct Flag {
    /// Name of the column.
    pub name: &'static str,
    /// Value of an absent column; `None` if the column is required.
    pub default: Option<bool>,
    /// What to do about a rejected value.
    pub remedy: &'static str,
}

/// Safe methods (RFC 9110, section 9.2.1) apart from TRACE, which are idempotent by default.
pub(crate) const SAFE_METHODS: [&str; 3] = ["GET", "HEAD", "OPTIONS"];

const HOUR: Span = Span::from_secs(3_600);
const DAY: Span = Span::from_secs(86_400);

pub(crate) const SLOTS: Number = Number {
    name: "slots",
    range: (1, 10_000),
    default: None,
    remedy: "state how many requests a target runs at the same time",
};
pub(crate) const CONNECTIONS: Number = Number {
    name: "connections",
    range: (1, 100_000),
    default: None,
    remedy: "state how many connections a target accepts",
};
pub(crate) const QUEUE: Number = Number {
    name: "queue",
    range: (0, 1_000_000),
    default: Some(100),
    remedy: "state how many requests may wait for a target",
};
pub(crate) const DEADLINE: Duration = Duration {
    name: "deadline",
    range: (Span::from_millis(1), HOUR),
    default: None,
    remedy: "state the longest time that a request may take",
};
pub(crate) const DIVIDED_BY_KEY: Flag = Flag {
    name: "divided_by_key",
    default: None,
    remedy: "write true if each key belongs to one target, false if any target serves any key",
};
pub(crate) const SLICES: Number = Number {
    name: "slices",
    // The maximum limits the size of the assignment that each daemon keeps in memory per service.
    range: (1, 1_048_576),
    default: Some(1_024),
    remedy: "choose well above the number of targets; it is fixed once the service exists",
};
pub(crate) const RETRY_PERCENT: Number = Number {
    name: "retry_percent",
    range: (0, 100),
    default: Some(10),
    remedy: "state the retries allowed in per cent of requests",
};
pub(crate) const SLOW_START: Duration = Duration {
    name: "slow_start",
    range: (Span::ZERO, HOUR),
    default: Some(Span::from_secs(10)),
    remedy: "state the time in which a cold target reaches its slots",
};
pub(crate) const RESERVED_PERCENT: Number = Number {
    name: "reserved_percent",
    range: (0, 100),
    default: Some(0),
    remedy: "state the share of slots kept for non-idempotent requests",
};
pub(crate) const ID_WINDOW: Duration = Duration {
    name: "id_window",
    range: (Span::from_millis(1), DAY),
    default: Some(HOUR),
    remedy: "state how long request ids are remembered",
};
pub(crate) const MOVES_PER_MINUTE: Number = Number {
    name: "moves_per_minute",
    range: (1, 1_048_576),
    default: Some(600),
    remedy: "state how many slices may move in a minute",
};
pub(crate) const HOT_KEY_PERCENT: Number = Number {
    name: "hot_key_percent",
    range: (1, 100),
    default: Some(20),
    remedy: "state the share of a target's load from which a key is placed on its own",
};
pub(crate) const WEIGHT: Number = Number {
    name: "weight",
    range: (0, 1_000_000),
    default: Some(1),
    remedy: "state the target's share relative to the other targets",
};
pub(crate) const CHECKS_EPOCH: Flag = Flag {
    name: "checks_epoch",
    // A wrong `false` only makes moves wait longer; a wrong `true` breaks exclusive ownership.
    default: Some(false),
    remedy: "write true only if the target refuses requests with an old epoch",
};
