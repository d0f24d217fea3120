//! The append-only log service.
//!
//! `POST /v1/records` appends a batch in order, all of it or nothing. `GET /v1/records` reads
//! from an offset and waits for records if there are none. Reads are linearizable: an answer
//! contains every record whose append was answered before the read was sent. Bodies are CBOR.
//!
//! Statuses: 200; 400 for a malformed request; 410 with [`Bounds`] for an expired offset; 413 for
//! a batch above its limits; 429 and 503 for a request that had no effect and may be retried. Any
//! other failure leaves the effect of an append unknown.

mod batch;
mod client;
mod codec;
mod error;
mod page;

pub use batch::Batch;
pub use client::Client;
pub use codec::{VERSION, decode, encode};
pub use error::Error;
pub use page::{Bounds, Page, Query, Receipt, Row};

/// Path of the records.
pub const PATH: &str = "/v1/records";
/// Media type of all bodies.
pub const MEDIA_TYPE: &str = "application/cbor";
/// Largest answer of the service, in bytes.
pub const MAX_ANSWER_BYTES: usize = 4 << 20;
/// Largest batch, in bytes of its entries. A quarter of an answer, so any record fits into one.
pub const MAX_BATCH_BYTES: usize = 1 << 20;
/// Largest number of entries in a batch.
pub const MAX_BATCH_ENTRIES: usize = 1_000;
/// Allowance for the encoding around an entry's bytes, in bytes.
pub const ROW_OVERHEAD_BYTES: usize = 96;
/// Longest time for which a read waits, in milliseconds.
pub const MAX_WAIT_MS: u64 = 60_000;
