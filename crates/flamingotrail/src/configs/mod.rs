//! Settings of the client.

pub mod client;
