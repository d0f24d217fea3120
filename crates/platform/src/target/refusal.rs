use std::{fmt, str::FromStr};

/// Reason why a target did not run a request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Refusal {
    /// The request was cancelled before it started.
    Cancelled,
    /// The target accepts no new requests because it is about to stop.
    Draining,
    /// All slots are busy and the target sheds load instead of queueing.
    Full,
    /// The deadline passed before a slot became free.
    Late,
    /// The target has no valid grant for the epoch of the request.
    NoGrant,
    /// The target has seen a higher epoch than the request's.
    Stale,
}

/// A text that is not one of the known refusal reasons.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{0:?} is not a known refusal reason; treat the request as one that may have run")]
pub struct UnknownRefusal(String);

impl Refusal {
    /// All reasons, each with its text in the header.
    pub const ALL: [(Self, &str); 6] = [
        (Self::Cancelled, "cancelled"),
        (Self::Draining, "draining"),
        (Self::Full, "full"),
        (Self::Late, "late"),
        (Self::NoGrant, "no-grant"),
        (Self::Stale, "stale"),
    ];

    /// Returns the HTTP status that a target answers with for this reason.
    pub fn status(self) -> u16 {
        match self {
            Self::Cancelled | Self::NoGrant | Self::Stale => 409,
            Self::Draining | Self::Full => 503,
            Self::Late => 504,
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let row = Self::ALL.iter().find(|row| row.0 == *self);
        f.write_str(row.map_or("", |row| row.1))
    }
}

impl FromStr for Refusal {
    type Err = UnknownRefusal;

    fn from_str(text: &str) -> Result<Self, UnknownRefusal> {
        let row = Self::ALL.iter().find(|row| row.1 == text);
        row.map(|row| row.0)
            .ok_or_else(|| UnknownRefusal(text.to_owned()))
    }
}
