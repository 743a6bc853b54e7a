//! Settings of the daemon.

pub mod daemon;
