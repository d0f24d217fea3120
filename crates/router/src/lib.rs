//! Routing decisions of an entry host that sends requests to targets itself. The crate does no I/O
//! and reads no clock: callers pass in events and the current time.

pub mod assignment;
pub mod breaker;
pub mod choice;
pub mod config;
pub mod crash;
pub mod fallback;
pub mod fleet;
pub mod leader;
pub mod leaving;
pub mod links;
pub mod load;
pub mod pace;
pub mod plan;
pub mod queue;
pub mod registration;
pub mod restart;
pub mod retention;
pub mod retry;
pub mod share;
pub mod survey;
pub mod traffic;
pub mod tree;
pub mod update;
