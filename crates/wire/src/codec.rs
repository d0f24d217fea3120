//! Encoding of frames.

use crate::frame::Frame;

/// Version of the frames that this build sends and accepts.
pub const VERSION: u16 = 1;

/// Maximum size of an encoded frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 64 * 1024;

/// Reason why a frame can't be sent or read.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The frame exceeds [`MAX_FRAME_BYTES`]. Holds its size in bytes.
    #[error("a frame has {0} bytes; send at most {MAX_FRAME_BYTES}")]
    TooLarge(usize),
    /// A frame can't be encoded, or bytes don't decode to a frame. Holds the codec's message.
    #[error("a frame is malformed ({0}); run daemons of compatible versions")]
    Malformed(String),
    /// The peer uses another version of the frames. Holds the peer's version.
    #[error(
        "the peer uses frame version {0}, this daemon version {VERSION}; upgrade the older one"
    )]
    Version(u16),
}

/// Encodes a frame as CBOR.
pub fn encode(frame: &Frame) -> Result<Vec<u8>, Error> {
    let mut bytes = Vec::with_capacity(256);
    ciborium::into_writer(frame, &mut bytes).map_err(|e| Error::Malformed(e.to_string()))?;
    match bytes.len() {
        length if length > MAX_FRAME_BYTES => Err(Error::TooLarge(length)),
        _ => Ok(bytes),
    }
}

/// Decodes a frame. A `Hello` of another version is an error, so a link ends before other frames of
/// that version are read.
pub fn decode(bytes: &[u8]) -> Result<Frame, Error> {
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(Error::TooLarge(bytes.len()));
    }
    let frame: Frame = ciborium::from_reader(bytes).map_err(|e| Error::Malformed(e.to_string()))?;
    match &frame {
        Frame::Hello(hello) if hello.version != VERSION => Err(Error::Version(hello.version)),
        _ => Ok(frame),
    }
}
