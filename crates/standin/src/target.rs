//! Stand-in of a target, with faults that are set at run time and counters for tests.
//!
//! Paths below `/control/` belong to the control interface, `/stream/{bytes}` is a download, and
//! any other path is a request.
//! A download takes the parameters `chunk` (bytes), `interval_ms` (between chunks), `break_at`
//! (bytes after which the connection breaks) and `chunked=1` (no announced length).

mod answer;
mod call;
mod control;
mod counts;
mod extent;
mod handler;
mod history;
mod server;
mod settings;
mod slot;
mod state;
mod stream;
mod work;

pub use answer::Answer;
pub use counts::Counts;
pub use server::Server;
pub use settings::{ReportMode, Settings};
pub use stream::byte_at;
