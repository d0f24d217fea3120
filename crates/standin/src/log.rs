//! Stand-in of the log service: in memory, with faults that are set at run time.

mod faults;
mod handler;
mod server;
mod store;

pub use faults::Faults;
pub use server::Server;
