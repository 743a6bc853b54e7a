//! A local cluster: fakes in this process, real daemons on loopback, and callers that run programs
//! over HTTP.

pub mod caller;
pub mod cluster;
pub mod faults;
pub mod processes;
pub mod relay;
