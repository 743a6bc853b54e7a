//! Settings of the daemon.

pub mod daemon;
pub mod limit_check;
pub mod limits;
