//! Wire types and codecs: what crosses between processes, stands in the log, and is said to
//! callers, engines and the platform.
//!
//! Wire types are this crate's own, with `From` and `TryFrom` to the types of the decisions. Every
//! coded value carries a version; unknown newer fields are ignored, and an unknown newer kind of
//! message is an error that its reader skips.

#[macro_use]
mod macros;

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
pub mod platform;
pub mod state;
pub mod work;
