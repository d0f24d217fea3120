//! How many of a host's descriptors the connections of callers take.
//!
//! Callers that retry on new connections leave most of them idle: 3,600 were open in an overload, of
//! which 260 had a request. A host whose descriptors are all in use can't accept connections, whose
//! requests then wait unread, nor connect to targets. So callers' connections have a limit below
//! that. Idle ones are closed before it is reached, and requests beyond it are refused at once.

use crate::reply::Problem;

/// Part of the descriptors that connections of callers may take, in percent. A request at a target
/// takes up to two more: one for the connection, and another one to give that up.
const CALLERS_PERCENT: u64 = 50;
/// Part of that limit from which idle connections are closed, in percent.
const CROWDED_PERCENT: u64 = 75;
/// Multiple of that limit, in percent, up to which further connections are read, so that their
/// requests are refused with a reply.
const EXHAUSTED_PERCENT: u64 = 125;
/// Time after which a caller may retry at a host whose connections are all taken.
const RETRY_AFTER_MS: u64 = 300;

/// Refusal of a request on a connection beyond the limit.
pub(crate) const FULL: Problem = Problem::refusal(
    "the host has as many connections as it can serve",
    RETRY_AFTER_MS,
);

/// Level of the connections of callers.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Level {
    /// All connections are served and kept.
    Normal,
    /// Connections are closed when they are idle.
    Crowded,
    /// Requests of new connections are refused.
    Full,
    /// New connections are closed unread.
    Exhausted,
}

/// Returns the level of a host that has a number of callers' connections and may open a number of
/// descriptors for connections.
pub fn level(callers: u64, descriptors: u64) -> Level {
    let limit = descriptors.saturating_mul(CALLERS_PERCENT) / 100;
    let part = |percent| limit.saturating_mul(percent) / 100;
    match callers {
        _ if callers >= part(EXHAUSTED_PERCENT) => Level::Exhausted,
        _ if callers >= limit => Level::Full,
        _ if callers >= part(CROWDED_PERCENT) => Level::Crowded,
        _ => Level::Normal,
    }
}
