//! Frames that daemons exchange, and their codec.

mod codec;
mod frame;
mod proof;

pub use codec::{Error, MAX_FRAME_BYTES, VERSION, decode, encode};
pub use frame::{
    Cause, Frame, Header, Hello, INITIAL_CREDIT_BYTES, Lookup, MAX_CHUNK_BYTES,
    MAX_STATE_PART_BYTES, Records, Refusal, Reject, Request, Response, State, Stream, credit_cost,
};
pub use proof::{Proof, Role};
