//! The tables of a world. Rows are plain data keyed by typed ids; each secondary index is kept in
//! step with its table by a single function.

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
pub mod text_limit;
pub mod timers;

/// All tables of one world.
#[derive(Debug, Default)]
pub struct Tables {
    /// The active configuration.
    pub configuration: configuration::Configuration,
    /// Known instances.
    pub instances: instances::Instances,
    /// Known state of endpoints.
    pub endpoints: endpoints::Endpoints,
    /// Partitions that this instance owns, is claiming or is resolving the owner of.
    pub partitions: partitions::Partitions,
    /// Programs of owned partitions.
    pub programs: programs::Programs,
    /// Conversations of owned partitions.
    pub conversations: conversations::Conversations,
    /// Calls in progress.
    pub calls: calls::Calls,
    /// Calls refused at the limit of the programs' texts.
    pub text_limit: text_limit::TextLimit,
    /// Effects: calls that are not repeatable.
    pub effects: effects::Effects,
    /// Attempts on the local endpoint.
    pub runs: runs::Runs,
    /// Cached context held on the local endpoint.
    pub holds: holds::Holds,
    /// Content that was in flight when an endpoint crashed.
    pub suspects: suspects::Suspects,
    /// Callers' requests, at an entry instance.
    pub requests: requests::Requests,
    /// Messages that the receiver has not acknowledged yet.
    pub outbox: outbox::Outbox,
    /// Scheduled timers.
    pub timers: timers::Timers,
    /// Recent decisions, for the explain view.
    pub decisions: decisions::Decisions,
    /// Rows that changed and that systems still have to process.
    pub dirty: dirty::Dirty,
    /// Inputs, queued by the system that processes them.
    pub inbox: inbox::Inbox,
}
