//! Clients for external systems: the platform's log, model engines, tool services and the instance
//! list. Each system has a trait, and an implementation of its published HTTP protocol with `awc`.
//!
//! Clients are confined to one thread; their futures are not `Send`.

pub mod endpoint;
pub mod engine;
pub mod http;
pub mod instance_list;
pub mod log_service;
pub mod service;
