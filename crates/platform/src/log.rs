//! Interface and client of the append-only log service.
//!
//! `POST /v1/records` appends a batch in order, all of it or nothing. `GET /v1/records` reads from
//! an offset; if there are no records yet, it waits for some. Reads are linearizable: a response
//! contains every record whose append was answered before the read was sent. Bodies are CBOR.
//!
//! A response to a read has the log's timeline, which rises each time that the service is restored
//! from an older copy. An append may name the timeline and the offset after which it is to be
//! written (`timeline`, `after`); if they differ from the log's, nothing is written (412).
//!
//! Statuses: 200; 400 for a malformed request; 410 with [`Bounds`] for an expired offset; 413 for
//! a batch above its limits; 429 and 503 for a request that had no effect and may be retried. After
//! any other failure it is unknown whether an append took effect.

mod batch;
mod client;
mod codec;
mod error;
mod page;

pub use batch::Batch;
pub use client::Client;
pub use codec::{VERSION, decode, encode};
pub use error::Error;
pub use page::{Bounds, Condition, Page, Query, Receipt, Row};

/// Path to which batches are appended and from which records are read.
pub const PATH: &str = "/v1/records";
/// Media type of all request and response bodies.
pub const MEDIA_TYPE: &str = "application/cbor";
/// Largest response of the service, in bytes. The client rejects a larger one.
pub const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// Largest batch, in bytes of its encoded entries. It is a quarter of [`MAX_RESPONSE_BYTES`], so
/// that any record fits into a response.
pub const MAX_BATCH_BYTES: usize = 1 << 20;
/// Largest number of entries in a batch.
pub const MAX_BATCH_ENTRIES: usize = 1_000;
/// Allowance for the CBOR encoding around the bytes of one entry or record, in bytes.
pub const ROW_OVERHEAD_BYTES: usize = 96;
/// Longest time for which a read waits for records, in milliseconds.
pub const MAX_WAIT_MS: u64 = 60_000;
