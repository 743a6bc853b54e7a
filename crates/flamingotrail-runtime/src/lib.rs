//! Runtime of the daemon: one control thread that owns the world, traffic threads that perform the
//! I/O, and bounded channels between them.
//!
//! The control thread sleeps until a command arrives or a timer is due. Text of running calls is
//! passed between traffic threads and never passes through the control thread.

pub mod address;
pub mod admin;
pub mod byte_budget;
pub mod callers;
pub mod clock;
pub mod configs;
pub mod connections;
pub mod control;
pub mod daemon;
pub mod executor;
pub mod gateway;
pub mod http1;
pub mod http_server;
pub mod links;
pub mod logging;
pub mod metrics;
pub mod parse;
pub mod relay;
pub mod response;
pub mod signals;
pub mod tls;
