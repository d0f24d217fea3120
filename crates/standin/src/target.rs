//! Fake of a target, with faults that are set at run time and counters for tests.
//!
//! Any path is a request, but for `/control/` (the control side) and `/stream/{bytes}` (a download).
//! A download takes the parameters `chunk` (bytes), `interval_ms` (between chunks), `break_at`
//! (bytes after which the connection breaks) and `chunked=1` (no announced length).

mod answer;
mod call;
mod control;
mod counts;
mod extent;
mod history;
mod server;
mod settings;
mod site;
mod slot;
mod state;
mod stream;
mod work;

pub use answer::Answer;
pub use counts::Counts;
pub use server::Server;
pub use settings::{Report, Settings};
pub use stream::byte_at;
