//! HTTP interfaces to the platform: log service, host list and targets.
//!
//! Each module defines one interface and its client. A client sends requests and decodes responses;
//! retries and all other decisions are left to its caller. Clients run on an ntex thread.

pub mod error;
pub mod headers;
pub mod hosts;
pub(crate) mod http;
pub mod log;
pub mod target;
