use ragwortrill_core::record::Entry;
use serde::{Deserialize, Serialize, de::IgnoredAny};

use super::Error;

/// Version of the entry format that this program writes. Raise it for a change that an older reader
/// must not ignore; a new field that it may ignore needs no new version.
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
struct Content {
    entry: Entry,
}

/// Encodes an entry as CBOR, together with the format version.
pub fn encode(entry: &Entry) -> Vec<u8> {
    let version = VERSION;
    to_cbor(&Envelope { version, entry })
}

/// Decodes an entry. Unknown fields are ignored; an entry of a newer version is an error.
pub fn decode(bytes: &[u8]) -> Result<Entry, Error> {
    let head: Head = from_cbor(bytes)?;
    if head.version > VERSION {
        return Err(Error::UnsupportedVersion {
            found: head.version,
            supported: VERSION,
        });
    }
    from_cbor::<Content>(bytes).map(|content| content.entry)
}

pub(crate) fn to_cbor<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("writing to a vector can't fail");
    bytes
}

pub(crate) fn from_cbor<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    let mut rest = bytes;
    let value =
        ciborium::from_reader(&mut rest).map_err(|error| Error::Malformed(error.to_string()))?;
    match rest.len() {
        0 => Ok(value),
        trailing => Err(Error::Malformed(format!(
            "{trailing} bytes follow the value"
        ))),
    }
}
