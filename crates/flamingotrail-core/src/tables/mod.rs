//! The tables of a world: rows are plain data keyed by typed ids, and secondary indexes are tables
//! that one function maintains each.

pub mod calls;
pub mod configuration;
pub mod conversations;
pub mod decisions;
pub mod dirty;
pub mod effects;
pub mod endpoints;
pub mod holds;
pub mod inbox;
pub mod instances;
pub mod outbox;
pub mod partitions;
pub mod programs;
pub mod requests;
pub mod runs;
pub mod suspects;
pub mod timers;

/// All tables of one world.
#[derive(Debug, Default)]
pub struct Tables {
    /// The configuration in force.
    pub configuration: configuration::Configuration,
    /// Known instances.
    pub instances: instances::Instances,
    /// What is known of endpoints.
    pub endpoints: endpoints::Endpoints,
    /// Partitions that this process owns, claims or asks about.
    pub partitions: partitions::Partitions,
    /// Programs of owned partitions.
    pub programs: programs::Programs,
    /// Conversations of owned partitions.
    pub conversations: conversations::Conversations,
    /// Calls under way.
    pub calls: calls::Calls,
    /// Calls that may not be repeated.
    pub effects: effects::Effects,
    /// Attempts on the own endpoint.
    pub runs: runs::Runs,
    /// Cached context held at the own endpoint.
    pub holds: holds::Holds,
    /// Content that was in flight when an endpoint crashed.
    pub suspects: suspects::Suspects,
    /// Callers' requests at an entry.
    pub requests: requests::Requests,
    /// Messages until they are confirmed.
    pub outbox: outbox::Outbox,
    /// Timers.
    pub timers: timers::Timers,
    /// Latest decisions, for explanations.
    pub decisions: decisions::Decisions,
    /// Rows that systems still have to look at.
    pub dirty: dirty::Dirty,
    /// Inputs sorted by the system that takes them.
    pub inbox: inbox::Inbox,
}
