//! Failures that are common to all clients of the platform.

/// Reason why a platform service gave no usable response.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The connection broke after the request was sent, or the service failed while it handled the
    /// request. Whether the request took effect is unknown.
    #[error(
        "{peer} failed before its response was complete ({reason}); \
         check whether the request took effect"
    )]
    Lost {
        /// Address of the service.
        peer: String,
        /// Error of the connection, or status and body of the response.
        reason: String,
    },
    /// The response does not have the documented form.
    #[error("{peer} gave a malformed response ({reason}); check that its address is right")]
    Malformed {
        /// Address of the service.
        peer: String,
        /// What is wrong with the response, such as an undefined status.
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
        /// Error of the connection, or status and body of the response.
        reason: String,
    },
    /// No response arrived in time. Whether the request took effect is unknown.
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
    /// The response is larger than the client accepts.
    #[error("{peer} gave a response of more than {limit} bytes; request less at a time")]
    TooLarge {
        /// Address of the service.
        peer: String,
        /// Largest accepted response, in bytes.
        limit: usize,
    },
}

impl Error {
    /// Returns whether the request may have taken effect although it failed.
    pub fn may_have_taken_effect(&self) -> bool {
        !matches!(self, Self::Refused { .. })
    }
}
