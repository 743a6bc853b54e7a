//! Codecs: MessagePack with named fields, so that newer fields are skipped, behind a version.

use base64::prelude::BASE64_STANDARD;
use base64::prelude::BASE64_URL_SAFE_NO_PAD;
use base64::Engine as _;
use flamingotrail_core::history;
use flamingotrail_core::journal;
use serde::de;

use crate::history as wire_history;
use crate::journal as wire_journal;

/// Version of everything that this crate writes.
pub const FORMAT_VERSION: u16 = 1;

/// A coded value that can't be read.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// Not the expected form, or a kind that this version does not know.
    #[error("the value can't be read: {0}; send it with the same version of the system")]
    MessagePack(#[from] rmp_serde::decode::Error),
    /// Not base64.
    #[error("the value is not base64: {0}; send it back exactly as it was given")]
    Base64(#[from] base64::DecodeError),
}

#[derive(serde::Serialize)]
struct Versioned<'a, T> {
    v: u16,
    body: &'a T,
}

#[derive(serde::Deserialize)]
struct VersionedOwned<T> {
    #[allow(dead_code)]
    v: u16,
    body: T,
}

/// Codes `value` behind the version.
pub fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    // Wire types have string keys and finite depth, which MessagePack always takes.
    rmp_serde::to_vec_named(&Versioned { v: FORMAT_VERSION, body: value }).unwrap_or_default()
}

/// Reads a value that [`encode`] wrote, in this version or a newer one.
///
/// # Errors
///
/// Bytes of another form, or of a kind that this version does not know.
pub fn decode<T: de::DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    Ok(rmp_serde::from_slice::<VersionedOwned<T>>(bytes)?.body)
}

/// A continuation as the caller carries it.
pub fn encode_continuation(continuation: &history::Continuation) -> String {
    let wire = wire_history::Continuation::from(continuation.clone());
    BASE64_URL_SAFE_NO_PAD.encode(encode(&wire))
}

/// Reads a continuation that a caller carried.
///
/// # Errors
///
/// Text that is not one.
pub fn decode_continuation(text: &str) -> Result<history::Continuation, DecodeError> {
    let bytes = BASE64_URL_SAFE_NO_PAD.decode(text)?;
    Ok(decode::<wire_history::Continuation>(&bytes)?.into())
}

/// An entry as it stands in the log.
pub fn encode_entry(entry: &journal::Entry) -> String {
    let wire = wire_journal::Entry::from(entry.clone());
    BASE64_STANDARD.encode(encode(&wire))
}

/// Reads an entry of the log.
///
/// # Errors
///
/// Text that is not one, or one of a kind that this version does not know.
pub fn decode_entry(text: &str) -> Result<journal::Entry, DecodeError> {
    let bytes = BASE64_STANDARD.decode(text)?;
    Ok(decode::<wire_journal::Entry>(&bytes)?.into())
}
