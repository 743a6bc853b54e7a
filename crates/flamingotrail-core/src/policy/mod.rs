//! What changes from one deployment to another: order of the queue, choice of endpoint, cached
//! context during pauses. Each is a trait object picked from the configuration.

mod placement;
mod queue;
mod retention;

pub use placement::{Candidate, Placement, PlacementContext};
pub use queue::{QueueKey, QueueOrder, Queued};
pub use retention::{Pause, Retention};

use crate::config;

/// The policies in force.
pub struct Policies {
    /// Order of an endpoint's queue.
    pub queue: Box<dyn QueueOrder>,
    /// Choice of endpoint.
    pub placement: Box<dyn Placement>,
    /// Cached context during pauses.
    pub retention: Box<dyn Retention>,
}

impl Policies {
    /// The policies that a configuration names.
    pub fn new(named: config::Policies) -> Self {
        let queue: Box<dyn QueueOrder> = match named.queue {
            config::QueuePolicy::Fifo => Box::new(queue::Fifo),
            config::QueuePolicy::LeastAttained => Box::new(queue::LeastAttained),
        };
        let placement: Box<dyn Placement> = match named.placement {
            config::PlacementPolicy::RoundRobin => Box::new(placement::RoundRobin),
            config::PlacementPolicy::LeastOutstanding => Box::new(placement::LeastOutstanding),
            config::PlacementPolicy::Affinity => Box::new(placement::Affinity),
            config::PlacementPolicy::ExpectedCost => Box::new(placement::ExpectedCost),
        };
        let retention: Box<dyn Retention> = match named.retention {
            config::RetentionPolicy::EngineOnly => Box::new(retention::EngineOnly),
            config::RetentionPolicy::ExpectedWaste => Box::new(retention::ExpectedWaste),
        };
        Policies { queue, placement, retention }
    }
}
