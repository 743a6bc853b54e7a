//! Settings of the daemon.

pub mod daemon;
pub mod limits;
