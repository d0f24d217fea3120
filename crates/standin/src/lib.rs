//! Stand-ins of the platform for tests and examples, and simulations in virtual time.

pub mod hosts;
pub mod log;
pub mod measure;
pub mod recovery;
pub(crate) mod reply;
pub(crate) mod server;
pub mod target;
pub mod virtual_target;
pub(crate) mod watched;
pub mod world;
