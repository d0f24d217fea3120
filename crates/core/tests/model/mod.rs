//! Model of the ownership protocol over the core's own transition functions.

mod action;
mod bounds;
pub(crate) mod configuration;
mod effect;
pub(crate) mod invariant;
mod log;
mod process;
pub(crate) mod rule;
pub(crate) mod scenario;
pub(crate) mod search;
mod state;
mod step;
mod world;
