//! Monotonic time of one process, in microseconds, and spans of it.

use std::{
    fmt,
    ops::{Add, Sub},
    str::FromStr,
};

use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};

/// A time on a process's own monotonic clock, in microseconds from an arbitrary start.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Instant(pub u64);

/// A length of time, in microseconds. Its text form has a unit: `250ms`, `1500us`, `4s`, `1h`.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    DeserializeFromStr,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    SerializeDisplay,
)]
pub struct Span(pub u64);

/// Reason why a text is not a span of time.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{0:?} is not a span of time; write a whole number and a unit: us, ms, s, m or h")]
pub struct Error(String);

const UNITS: [(&str, u64); 5] = [
    ("h", 3_600_000_000),
    ("m", 60_000_000),
    ("s", 1_000_000),
    ("ms", 1_000),
    ("us", 1),
];

impl Span {
    /// The empty span.
    pub const ZERO: Self = Self(0);

    /// Creates a span from microseconds.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates a span from milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Creates a span from seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * 1_000_000)
    }

    /// Creates a span from seconds, rounded up to microseconds.
    pub fn from_secs_f64(secs: f64) -> Self {
        Self((secs * 1e6).ceil() as u64)
    }

    /// Returns the span in whole milliseconds.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the span in seconds.
    pub const fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Returns the span as the standard library's type.
    pub const fn as_duration(self) -> std::time::Duration {
        std::time::Duration::from_micros(self.0)
    }

    /// Returns the span times `numerator / denominator`, rounded up.
    pub const fn scale(self, numerator: u64, denominator: u64) -> Self {
        Self((self.0 as u128 * numerator as u128).div_ceil(denominator as u128) as u64)
    }
}

impl Instant {
    /// Returns the span since `earlier`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Span> for Instant {
    type Output = Self;

    fn add(self, span: Span) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Instant {
    type Output = Self;

    fn sub(self, span: Span) -> Self {
        Self(self.0.saturating_sub(span.0))
    }
}

impl Add for Span {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl Sub for Span {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let unit = UNITS
            .iter()
            .find(|(_, micros)| self.0 >= *micros && self.0.is_multiple_of(*micros))
            .unwrap_or(&("us", 1));
        write!(f, "{}{}", self.0 / unit.1, unit.0)
    }
}

impl FromStr for Span {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let digits = text.len() - text.trim_start_matches(|c: char| c.is_ascii_digit()).len();
        let (number, unit) = text.split_at(digits);
        let micros = UNITS.iter().find(|(name, _)| *name == unit).map(|u| u.1);
        let number: Option<u64> = number.parse().ok();
        number
            .zip(micros)
            .and_then(|(n, m)| n.checked_mul(m))
            .map(Self)
            .ok_or_else(|| Error(text.to_owned()))
    }
}
