//! Settings of the command-line client.

pub mod client;
