//! The operators' HTTP interface of a daemon.
//!
//! All bodies are JSON; their types are in `ragwortrill_core::report` unless another one is named.
//! Changes need the header `Authorization: Bearer TOKEN`; reads need no token. A body larger than
//! [`MAX_BODY_BYTES`] is refused. The daemon sends no redirects.
//!
//! | Request | Response |
//! |---|---|
//! | `GET /v1/status` | 200 `Status` |
//! | `GET /v1/table` | 200 `TableVersion` |
//! | `GET /v1/table/history` | 200 list of `Revision`, oldest first |
//! | `GET /v1/table/history/{version}` | 200 `table::Table`; 404 if the version is no longer stored |
//! | `GET /v1/owners?service=&key=` | 200 list of `Owner`, one per target; with a key, only its owner; both parameters are optional, but a key needs a service |
//! | `GET /v1/audit?since=&service=&limit=` | 200 list of `Audit` with offsets above `since`, in order; all parameters are optional |
//! | `GET /v1/explain?service=&key=` | 200 `Explanation` |
//! | `GET /v1/requests/{id}` | 200 `Request`; 404 if the id is not known |
//! | `POST /v1/changes` with `Change` | see below |
//!
//! Responses to a change:
//!
//! | Status | Body | Meaning |
//! |---|---|---|
//! | 200 | `ChangeResult` | the record is in the log and had the stated effect: applied or duplicate |
//! | 400, 422 | `Problem` | not done: the change is malformed, or its effect was invalid |
//! | 401, 403 | `Problem` | not done: the token is missing or doesn't permit the change |
//! | 409 | `Conflict` | not done: the table has a later version than the change's base |
//! | 503 with `run` = `not-run` | `Problem` | the daemon did not append the record in this attempt; the change can be repeated |
//! | 503 with `run` = `unknown` | `Problem` | the log's response was lost; the record may be in the log |
//!
//! The daemon accepts the records `Table`, `DataCentre`, `Host`, `Target`, `Lost` and `Quarantine`.
//! A change whose id is already in the log is not appended again. The response is that of the
//! first attempt, also from another daemon and after later changes of the table. After a lost
//! connection or any other 5xx status the outcome is unknown. Other failures have a `Problem` as
//! body (RFC 9457, `application/problem+json`).

/// Maximum size of a body. A table with 16,000 targets takes about 2.5 MB.
pub const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

pub(crate) const STATUS: &str = "/v1/status";
pub(crate) const TABLE: &str = "/v1/table";
pub(crate) const HISTORY: &str = "/v1/table/history";
pub(crate) const OWNERS: &str = "/v1/owners";
pub(crate) const AUDIT: &str = "/v1/audit";
pub(crate) const EXPLAIN: &str = "/v1/explain";
pub(crate) const REQUESTS: &str = "/v1/requests";
pub(crate) const CHANGES: &str = "/v1/changes";
