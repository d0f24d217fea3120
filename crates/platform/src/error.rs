//! Failures that all clients of the platform share.

/// Reason why a platform service gave no usable answer.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The connection broke after the request was sent, so its effect is unknown.
    #[error("{peer} closed the connection before its answer ended ({reason}); check the effect")]
    Lost {
        /// Address of the service.
        peer: String,
        /// What the connection reported.
        reason: String,
    },
    /// The answer is not of the documented form.
    #[error("{peer} gave a malformed answer ({reason}); check that the address is right")]
    Malformed {
        /// Address of the service.
        peer: String,
        /// What is wrong with the answer.
        reason: String,
    },
    /// The request had no effect: the service could not be reached or declined it.
    #[error("{peer} refused the request ({reason}); nothing was done, so retry after a while")]
    Refused {
        /// Address of the service.
        peer: String,
        /// Why the request was refused.
        reason: String,
    },
    /// No answer arrived in time, so the effect of the request is unknown.
    #[error("{peer} gave no answer within {millis} ms; check the effect or allow more time")]
    TimedOut {
        /// Address of the service.
        peer: String,
        /// Time allowed, in milliseconds.
        millis: u64,
    },
    /// The answer is larger than the client accepts.
    #[error("{peer} gave an answer of more than {limit} bytes; ask for less at a time")]
    TooLarge {
        /// Address of the service.
        peer: String,
        /// Largest accepted answer, in bytes.
        limit: usize,
    },
}

impl Error {
    /// Tells whether the request may have taken effect although no answer arrived.
    pub fn may_have_taken_effect(&self) -> bool {
        !matches!(self, Self::Refused { .. })
    }
}
