//! Failures that are common to all clients of the platform.

/// Reason why a platform service gave no usable answer.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The connection broke after the request was sent, or the service failed while it handled the
    /// request. Whether the request took effect is unknown.
    #[error(
        "{peer} failed before its answer was complete ({reason}); \
         check whether the request took effect"
    )]
    Lost {
        /// Address of the service.
        peer: String,
        /// Error of the connection, or status and body of the answer.
        reason: String,
    },
    /// The answer does not have the documented form.
    #[error("{peer} gave a malformed answer ({reason}); check that its address is right")]
    Malformed {
        /// Address of the service.
        peer: String,
        /// What is wrong with the answer, such as an undefined status.
        reason: String,
    },
    /// The request had no effect: the service could not be reached or refused it.
    #[error(
        "{peer} could not be reached or refused the request ({reason}); \
         it had no effect, retry later"
    )]
    Refused {
        /// Address of the service.
        peer: String,
        /// Error of the connection, or status and body of the answer.
        reason: String,
    },
    /// No answer arrived in time. Whether the request took effect is unknown.
    #[error(
        "{peer} did not answer within {millis} ms; \
         check whether the request took effect, or allow more time"
    )]
    TimedOut {
        /// Address of the service.
        peer: String,
        /// Time allowed, in milliseconds.
        millis: u64,
    },
    /// The answer is larger than the client accepts.
    #[error("{peer} gave an answer of more than {limit} bytes; request less at a time")]
    TooLarge {
        /// Address of the service.
        peer: String,
        /// Largest accepted answer, in bytes.
        limit: usize,
    },
}

impl Error {
    /// Returns whether the request may have taken effect although it failed.
    pub fn may_have_taken_effect(&self) -> bool {
        !matches!(self, Self::Refused { .. })
    }
}
