use ragwortrill_core::number::Offset;

/// Reason why the log service did not do what it was asked.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// Records from the offset on have been dropped by the service.
    #[error("records before {first} have expired, {from} among them; read a snapshot from {first}")]
    Expired {
        /// The first offset that was asked for.
        from: Offset,
        /// The first retained offset.
        first: Offset,
    },
    /// The connection broke after the request was sent, so an append may have taken effect.
    #[error("the log service closed the connection ({0}); read the log for the records' ids")]
    Lost(String),
    /// A body is not of the documented form.
    #[error("malformed log data ({0}); check the address and the writer's version")]
    Malformed(String),
    /// An entry was written by a newer version.
    #[error("an entry has version {found}, this program reads up to {supported}; upgrade it")]
    UnsupportedVersion {
        /// Version of the entry.
        found: u32,
        /// Highest version that this program reads.
        supported: u32,
    },
    /// The request had no effect.
    #[error("the log service refused the request ({0}); nothing was written, so retry later")]
    Refused(String),
    /// No answer arrived in time, so an append may have taken effect.
    #[error("the log service gave no answer in {millis} ms; read the log for the records' ids")]
    TimedOut {
        /// Time allowed, in milliseconds.
        millis: u64,
    },
    /// A batch, entry or answer exceeds its limit.
    #[error("{what} has {size}, more than {limit}; split it")]
    TooLarge {
        /// What is too large.
        what: &'static str,
        /// Its size, with the unit.
        size: String,
        /// The limit.
        limit: usize,
    },
}

impl Error {
    /// Tells whether an append that failed this way may be in the log.
    pub fn may_have_taken_effect(&self) -> bool {
        matches!(
            self,
            Self::Lost(_) | Self::Malformed(_) | Self::TimedOut { .. }
        )
    }
}

impl From<crate::error::Error> for Error {
    fn from(error: crate::error::Error) -> Self {
        use crate::error::Error as Common;
        match error {
            Common::Lost { reason, .. } => Self::Lost(reason),
            Common::Malformed { reason, .. } => Self::Malformed(reason),
            Common::Refused { reason, .. } => Self::Refused(reason),
            Common::TimedOut { millis, .. } => Self::TimedOut { millis },
            Common::TooLarge { limit, .. } => Self::TooLarge {
                what: "the answer",
                size: "more bytes".to_owned(),
                limit,
            },
        }
    }
}
