use ragwortrill_core::number::Offset;

/// Reason why a request to the log service failed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The service no longer retains the record at the requested offset.
    #[error(
        "records before {first} have expired, including the requested offset {from}; \
         read a snapshot from {first}"
    )]
    Expired {
        /// The first offset that was requested.
        from: Offset,
        /// The first retained offset.
        first: Offset,
    },
    /// The log's timeline or end is not the one that the append names, so nothing was written.
    #[error("the log was restored, or has other records; read it and try again")]
    Conflict,
    /// The connection broke after the request was sent, or the service failed while it handled the
    /// request. An append may have taken effect.
    #[error(
        "the log service failed before its response was complete ({0}); \
         look for the entries' ids in the log"
    )]
    Lost(String),
    /// A body does not have the documented form.
    #[error(
        "malformed log data ({0}); check the address of the log service and the writer's version"
    )]
    Malformed(String),
    /// An entry has a newer format version than this program supports.
    #[error(
        "an entry has version {found}, but this program supports versions up to {supported}; \
         upgrade it"
    )]
    UnsupportedVersion {
        /// Version of the entry.
        found: u32,
        /// Highest version that this program supports.
        supported: u32,
    },
    /// The request had no effect: the service could not be reached or refused it.
    #[error("the log service refused the request ({0}); nothing was written, so retry later")]
    Refused(String),
    /// No response arrived in time. An append may have taken effect.
    #[error(
        "the log service did not answer within {millis} ms; look for the entries' ids in the log"
    )]
    TimedOut {
        /// Time allowed, in milliseconds.
        millis: u64,
    },
    /// A batch, entry or response exceeds its limit.
    #[error("{what} has {size}, more than {limit}; split it")]
    TooLarge {
        /// Subject of the message: the batch or the response.
        what: &'static str,
        /// Its size, with the unit.
        size: String,
        /// Largest accepted size.
        limit: usize,
    },
}

impl Error {
    /// Returns whether an append that failed with this error may be in the log.
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
