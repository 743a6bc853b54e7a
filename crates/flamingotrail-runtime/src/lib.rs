//! The daemon's runtime: one control thread that owns the world, traffic threads that carry bytes,
//! and bounded channels between them.
//!
//! The control thread sleeps on its inbox or until the next row is due. Text of running calls goes
//! from traffic thread to traffic thread; it never passes the control thread.

pub mod address;
pub mod admin;
pub mod callers;
pub mod clock;
pub mod configs;
pub mod control;
pub mod daemon;
pub mod executor;
pub mod gateway;
pub mod links;
pub mod logging;
pub mod metrics;
pub mod parse;
pub mod relay;
pub mod response;
pub mod tls;
