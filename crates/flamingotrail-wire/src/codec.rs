//! Codecs for values between instances and in the log.
//!
//! A value is encoded as MessagePack together with a format version. Fields are encoded by name, so
//! that a decoder can skip fields that it does not know.

use base64::prelude::BASE64_STANDARD;
use base64::prelude::BASE64_URL_SAFE_NO_PAD;
use base64::Engine as _;
use flamingotrail_core::history;
use flamingotrail_core::journal;
use serde::de;

use crate::history as wire_history;
use crate::journal as wire_journal;

/// Format version that [`encode`] writes.
pub const FORMAT_VERSION: u16 = 1;

/// An encoded value that can't be decoded.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// The bytes have a different structure, or a variant that this version does not know.
    #[error("the value can't be decoded: {0}; use the same version on both sides")]
    MessagePack(#[from] rmp_serde::decode::Error),
    /// The text is not valid base64.
    #[error("the value is not valid base64: {0}; send it back unchanged")]
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

/// Encodes `value` with the format version.
pub fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    // Can't fail: wire types have string keys and finite depth.
    rmp_serde::to_vec_named(&Versioned { v: FORMAT_VERSION, body: value }).unwrap_or_default()
}

/// Decodes a value that [`encode`] wrote in this or a newer version.
///
/// # Errors
///
/// Returns an error if the bytes have a different structure or a variant that this version does
/// not know.
pub fn decode<T: de::DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    Ok(rmp_serde::from_slice::<VersionedOwned<T>>(bytes)?.body)
}

/// Encodes a continuation as text for the caller.
pub fn encode_continuation(continuation: &history::Continuation) -> String {
    let wire = wire_history::Continuation::from(continuation.clone());
    BASE64_URL_SAFE_NO_PAD.encode(encode(&wire))
}

/// Decodes a continuation that a caller sent. Does not verify its MAC.
///
/// # Errors
///
/// Returns an error if the text is not an encoded continuation.
pub fn decode_continuation(text: &str) -> Result<history::Continuation, DecodeError> {
    let bytes = BASE64_URL_SAFE_NO_PAD.decode(text)?;
    Ok(decode::<wire_history::Continuation>(&bytes)?.into())
}

/// Encodes an entry as text for the log.
pub fn encode_entry(entry: &journal::Entry) -> String {
    let wire = wire_journal::Entry::from(entry.clone());
    BASE64_STANDARD.encode(encode(&wire))
}

/// Decodes an entry read from the log.
///
/// # Errors
///
/// Returns an error if the text is not an encoded entry, or if this version does not know its
/// kind.
pub fn decode_entry(text: &str) -> Result<journal::Entry, DecodeError> {
    let bytes = BASE64_STANDARD.decode(text)?;
    Ok(decode::<wire_journal::Entry>(&bytes)?.into())
}
