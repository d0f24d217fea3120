//! Interfaces to the platform: log service, host list and targets.
//!
//! Each module defines one HTTP interface and its client. The clients run on an ntex thread and
//! decide nothing.

pub mod error;
pub mod headers;
pub mod hosts;
pub(crate) mod http;
pub mod log;
pub mod target;
