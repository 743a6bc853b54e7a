//! The tables of a gateway: rows are plain data keyed by typed ids.

use flamingotrail_core::tables::timers as core_timers;

pub mod append_rate;
pub mod calls;
pub mod dirty;
pub mod endpoints;
pub mod inbox;
pub mod partitions;
pub mod peers;
pub mod programs;
pub mod relay;
pub mod routes;
pub mod timers;
pub mod turns;

/// All tables of one gateway.
#[derive(Debug, Default)]
pub struct Tables {
    /// Routes and services in force.
    pub routes: routes::Routes,
    /// Endpoints.
    pub endpoints: endpoints::Endpoints,
    /// Calls under way.
    pub calls: calls::Calls,
    /// Budgets of programs.
    pub programs: programs::Programs,
    /// Turns that count.
    pub turns: turns::Turns,
    /// Other gateways.
    pub peers: peers::Peers,
    /// Records and lookups that go to the log by another gateway's hand.
    pub relay: relay::Relay,
    /// Partitions of the log.
    pub partitions: partitions::Partitions,
    /// Pace of appends.
    pub append_rate: append_rate::AppendRateLimiter,
    /// Timers.
    pub timers: core_timers::Timers<timers::Timer>,
    /// Rows that systems still have to look at.
    pub dirty: dirty::Dirty,
    /// Inputs sorted by the system that takes them.
    pub inbox: inbox::Inbox,
}
