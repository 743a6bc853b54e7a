//! Clients of the outside systems behind traits: the platform's log, engines, tool services and
//! the list of instances. Each client speaks the system's published protocol by `awc`.
//!
//! Clients are used within one thread; their futures are not `Send`.

pub mod endpoint;
pub mod engine;
pub mod http;
pub mod instance_list;
pub mod log_service;
pub mod service;
