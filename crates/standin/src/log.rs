//! Fake of the log service: in memory, with faults that are set at run time.

mod faults;
mod server;
mod site;
mod store;

pub use faults::Faults;
pub use server::Server;
