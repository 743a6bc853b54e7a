//! Wire types and codecs for messages between instances, for log entries, and for the HTTP
//! interfaces of callers, engines and the platform.
//!
//! Wire types are separate from the types of the decision logic and convert with `From` and
//! `TryFrom`. Decoders ignore unknown fields, which newer versions may add. An unknown kind of
//! message is a decoding error, and the receiver skips the message. [`codec`] also writes a format
//! version with every value.

#[macro_use]
mod macros;

pub mod allowances;
pub mod chat;
pub mod codec;
pub mod engine;
pub mod errors;
pub mod frames;
pub mod gateway;
pub mod headers;
pub mod history;
pub mod ids;
pub mod journal;
pub mod messages;
pub mod paths;
pub mod platform;
pub mod state;
pub mod work;
