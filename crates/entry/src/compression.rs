//! Compression of large records that the leader sends to other hosts.

use std::io::Read;

use anyhow::{Context, Result, ensure};
use bytes::Bytes;
use flate2::{
    Compression,
    read::{DeflateDecoder, DeflateEncoder},
};

/// Size from which a value is compressed.
pub(crate) const MIN_BYTES: usize = 4 * 1024;
/// Largest value after its decompression.
const MAX_BYTES: u64 = 16 * 1024 * 1024;

/// Compresses a value. Returns none if that saves less than half of it.
pub(crate) fn compress(value: &[u8]) -> Option<Bytes> {
    if value.len() < MIN_BYTES {
        return None;
    }
    let mut compressed = Vec::new();
    let mut encoder = DeflateEncoder::new(value, Compression::fast());
    encoder.read_to_end(&mut compressed).ok()?;
    (compressed.len() * 2 <= value.len()).then(|| Bytes::from(compressed))
}

/// Restores a value that was compressed.
pub(crate) fn decompress(compressed: &[u8]) -> Result<Bytes> {
    let mut value = Vec::new();
    let mut decoder = DeflateDecoder::new(compressed).take(MAX_BYTES + 1);
    decoder
        .read_to_end(&mut value)
        .context("a compressed record can't be restored")?;
    let length = value.len() as u64;
    ensure!(
        length <= MAX_BYTES,
        "a compressed record is larger than {MAX_BYTES} bytes"
    );
    Ok(Bytes::from(value))
}
