//! Stand-ins for the platform around gateways in tests: store, runners and callers. They speak the
//! platform's published protocol and use one blocking thread per connection.

pub mod caller;
pub mod crowd;
pub mod gateways;
pub mod handshakes;
pub mod platform;
pub mod runner;
pub mod server;
pub mod small;
pub mod store;
