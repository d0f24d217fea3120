use ragwortrill_core::record::Entry;
use serde::{Deserialize, Serialize, de::IgnoredAny};

use super::Error;

/// Version of entries that this program writes. Raise it when older readers must not skip a
/// change; a field that they may ignore needs no new version.
pub const VERSION: u32 = 1;

#[derive(Serialize)]
struct Envelope<'a> {
    version: u32,
    entry: &'a Entry,
}

#[derive(Deserialize)]
struct Head {
    version: u32,
    #[serde(rename = "entry")]
    _entry: IgnoredAny,
}

#[derive(Deserialize)]
struct Body {
    entry: Entry,
}

/// Encodes an entry as CBOR, with the version of its form.
pub fn encode(entry: &Entry) -> Vec<u8> {
    let version = VERSION;
    to_cbor(&Envelope { version, entry })
}

/// Decodes an entry. Unknown fields are ignored; an entry of a newer version is refused.
pub fn decode(bytes: &[u8]) -> Result<Entry, Error> {
    let head: Head = from_cbor(bytes)?;
    if head.version > VERSION {
        return Err(Error::UnsupportedVersion {
            found: head.version,
            supported: VERSION,
        });
    }
    from_cbor::<Body>(bytes).map(|body| body.entry)
}

pub(crate) fn to_cbor<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("writing to memory can't fail");
    bytes
}

pub(crate) fn from_cbor<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    let mut rest = bytes;
    let value =
        ciborium::from_reader(&mut rest).map_err(|error| Error::Malformed(error.to_string()))?;
    match rest.len() {
        0 => Ok(value),
        left => Err(Error::Malformed(format!("{left} bytes after the end"))),
    }
}
