//! The whole path on one machine: stand-ins in this process, real daemons beside it on loopback,
//! and callers that run programs over HTTP.

pub mod caller;
pub mod cluster;
pub mod faults;
pub mod processes;
pub mod relay;
