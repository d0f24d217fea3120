//! Measures how memory, messages and processor time grow with the size of a system.
//!
//! Usage: `cargo run --release --example slopes [-- --json]`. It runs the real core, frames and
//! links at several sizes and fits a line to each quantity. It takes about a minute and 1 GB of
//! memory.

#[path = "slopes/fit.rs"]
mod fit;
#[path = "../tests/harness/mod.rs"]
mod harness;
#[path = "slopes/links.rs"]
mod links;
#[path = "slopes/memory.rs"]
mod memory;
#[path = "slopes/messages.rs"]
mod messages;
#[path = "slopes/process.rs"]
mod process;
#[path = "slopes/sample.rs"]
mod sample;
#[path = "slopes/time.rs"]
mod time;

use fit::Slope;

fn main() {
    let json = std::env::args().any(|argument| argument == "--json");
    let mut slopes = Vec::new();
    // Memory is measured first. Otherwise the allocator would reuse what other measurements have
    // freed, and the process would grow less than the measured state.
    slopes.extend(memory::measure());
    slopes.extend(messages::measure());
    slopes.extend(time::measure());
    slopes.extend(links::measure());
    if json {
        let lines = slopes.iter().map(Slope::to_json);
        println!("{}", serde_json::Value::Array(lines.collect()));
    } else {
        println!("quantity | per | slope | intercept | r2 | sizes: values");
        slopes.iter().for_each(|slope| println!("{slope}"));
    }
}
