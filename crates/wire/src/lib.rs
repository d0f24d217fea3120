//! Frames between daemons and their codec.

mod codec;
mod frame;
mod proof;

pub use codec::{Error, MAX_FRAME_BYTES, VERSION, decode, encode};
pub use frame::{
    Answer, CHUNK_BYTES, Cause, Frame, Header, Hello, INITIAL_CREDIT_BYTES, Inquiry, Records,
    Refusal, Reject, Request, STATE_BYTES, State, Stream, cost,
};
pub use proof::{Proof, Role};
