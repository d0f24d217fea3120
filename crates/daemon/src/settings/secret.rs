//! Secrets, read from files so that the settings can be shown.

use std::{fs, path::Path};

use ragwortrill_core::table_file::Row;

/// Minimum length of a secret, in bytes. 128 bits can't be guessed.
const MIN_BYTES: usize = 16;

/// Maximum length of a secret, in bytes.
const MAX_BYTES: usize = 1_024;

/// Reads the secret from the file that a field names. No message quotes the secret.
pub(super) fn read(row: &Row, field: &'static str, directory: &Path) -> Option<String> {
    let range = format!("a file with {MIN_BYTES} to {MAX_BYTES} visible ASCII characters");
    let remedy = format!("create it with: head -c 24 /dev/urandom | base64 > {field}");
    let path: String = row.text(field, &range, "name the file with the secret")?;
    let text = match fs::read_to_string(directory.join(&path)) {
        Ok(text) => text.trim().to_owned(),
        Err(error) => {
            row.reject(field, &format!("{path:?} ({error})"), &range, &remedy);
            return None;
        }
    };
    let fits = (MIN_BYTES..=MAX_BYTES).contains(&text.len());
    if fits && text.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Some(text);
    }
    let value = match fits {
        true => format!("{path:?} with other characters"),
        false => format!("{path:?} with {} bytes", text.len()),
    };
    row.reject(field, &value, &range, &remedy);
    None
}
