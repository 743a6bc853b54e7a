//! The gateway's runtime: caller connections, attempts on endpoints, watchers of the platform's
//! store, and the control thread that makes the decisions.
//!
//! A single traffic thread performs all network I/O, and the control thread owns the world. Bodies
//! and events pass between connections on the traffic thread and are shared with the control thread
//! by reference counting.

pub mod attempts;
pub mod callers;
pub mod control;
pub mod event_lines;
pub mod executor;
pub mod health_checks;
pub mod metrics;
pub mod monitoring;
pub mod peers;
pub mod pending_calls;
pub mod pool;
pub mod process;
pub mod saved_crashes;
pub mod watch;
