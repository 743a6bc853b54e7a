//! A randomized soak test with fault injection. It runs gateway processes on loopback between
//! callers with persistent connections, runners, and the stand-in for the platform's store. A
//! seeded plan injects faults from outside the processes, and the guarantees are checked against
//! what callers and runners observed.
//!
//! There are no clock or disk faults, since gateways use only monotonic clocks and have no disk.

pub mod announcements;
pub mod callers;
pub mod connection;
pub mod directory;
pub mod endpoints;
pub mod identity;
pub mod keys;
pub mod observations;
pub mod plan;
pub mod probe;
pub mod proxy;
pub mod publication;
pub mod run;
