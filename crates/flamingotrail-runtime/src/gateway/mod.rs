//! The gateway's runtime: callers' connections, attempts on endpoints, the readers of the platform's
//! store, and the control thread that decides.
//!
//! One traffic thread carries all bytes; the control thread owns the world. Bodies and events go from
//! connection to connection on the traffic thread and are shared with the control thread by
//! reference count.

pub mod attempts;
pub mod callers;
pub mod control;
pub mod executor;
pub mod http1;
pub mod metrics;
pub mod monitoring;
pub mod peers;
pub mod pending_calls;
pub mod pool;
pub mod process;
pub mod watch;
