//! Frames between daemons and their codec.

mod codec;
mod frame;

pub use codec::{Error, MAX_FRAME_BYTES, VERSION, decode, encode};
pub use frame::{
    Answer, CHUNK_BYTES, Cause, Frame, Header, Hello, INITIAL_CREDIT_BYTES, Inquiry, Records,
    Refusal, Request, Stream,
};
