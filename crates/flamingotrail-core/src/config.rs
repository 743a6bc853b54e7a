//! The configuration that operators publish, in the form that the decision logic uses.
//!
//! The configuration consists of named objects and is validated and replaced as a whole.

use std::collections;
use std::time;

use crate::digest;
use crate::ids;
use crate::work;

/// A workspace: its access keys, capacity share and limits.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Digests of the accepted bearer tokens.
    pub keys: Vec<digest::Digest>,
    /// Share of contended capacity relative to other workspaces.
    pub weight: f64,
    /// Priority class of the workspace's calls.
    pub priority: ids::PriorityName,
    /// Budget that applies to each of the workspace's programs.
    pub budget: ids::BudgetName,
    /// Models that the workspace may use.
    pub models: collections::BTreeSet<ids::ModelName>,
}

/// A priority class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Priority {
    /// Rank of the class; lower ranks run first.
    pub rank: u8,
    /// Time in a queue after which the rank is ignored, so that no call starves.
    pub starvation_limit: time::Duration,
}

/// Limits of one program including all its sub-agents.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Maximum cost of a program, in cost units.
    pub limit: work::Cost,
    /// Cost units granted at a time.
    pub chunk: work::Cost,
    /// Maximum number of turns of a program.
    pub max_turns: u32,
}

/// Prices and limits of a model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Model {
    /// Cost units per prompt token.
    pub prompt_price: work::Cost,
    /// Cost units per generated token.
    pub completion_price: work::Cost,
    /// Maximum number of generated tokens for a call that sets no limit.
    pub default_max_tokens: u32,
}

/// A plain service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Service {
    /// Whether calls are safe to run more than once.
    pub repeatable: bool,
    /// Cost units per call.
    pub price: work::Cost,
    /// Maximum run time of a call.
    pub timeout: time::Duration,
}

/// The models or services that an endpoint serves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServedResources {
    /// Models; the endpoint is an engine.
    Models(collections::BTreeSet<ids::ModelName>),
    /// Plain services; the endpoint is a runner.
    Services(collections::BTreeSet<ids::ServiceName>),
}

/// Configuration of an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The models or services that it serves.
    pub serves: ServedResources,
    /// Maximum number of concurrent calls.
    pub slots: u32,
    /// Whether the endpoint rejects requests with an outdated fencing token.
    pub fenced: bool,
    /// Capacity of its context cache in tokens; 0 if it has none.
    pub cache_tokens: u64,
}

/// Configuration of a region.
#[derive(Clone, Debug, PartialEq)]
pub struct Region {
    /// Number of partitions for the region's programs.
    pub partitions: u16,
    /// The region's failure domains.
    pub domains: collections::BTreeSet<ids::DomainName>,
    /// One-way network delay to other regions.
    pub remote_delay: time::Duration,
}

/// The selected scheduling policies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Policies {
    /// Order of an endpoint's queue.
    pub queue: QueuePolicy,
    /// Selection of an endpoint for a call.
    pub placement: PlacementPolicy,
    /// Retention of cached context while a program pauses.
    pub retention: RetentionPolicy,
    /// Refusal of calls under overload.
    pub admission: AdmissionPolicy,
}

/// Which calls are refused under overload.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AdmissionPolicy {
    /// Calls that can't start before their deadline.
    Deadline,
    /// As [`AdmissionPolicy::Deadline`], and also the first call of a program while queues are
    /// long, so that programs that already run can finish.
    #[default]
    Early,
}

/// Order in which an endpoint's queue is served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum QueuePolicy {
    /// First come, first served.
    Fifo,
    /// Fair sharing between workspaces, then least attained service of the whole program tree.
    #[default]
    LeastAttained,
}

/// How an endpoint is selected for a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlacementPolicy {
    /// Round robin.
    RoundRobin,
    /// The endpoint with the fewest outstanding calls.
    LeastOutstanding,
    /// The endpoint given by a hash of the conversation id alone.
    Affinity,
    /// The endpoint with the lowest expected completion time.
    #[default]
    ExpectedCost,
}

/// Whether cached context is kept while a program pauses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RetentionPolicy {
    /// Only the engine's own eviction policy applies.
    EngineOnly,
    /// Contexts are held or released so as to minimise the expected waste.
    #[default]
    ExpectedWaste,
}

/// A complete, validated configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Name of the deployment.
    pub deployment: String,
    /// Regions.
    pub regions: collections::BTreeMap<ids::RegionName, Region>,
    /// Workspaces.
    pub workspaces: collections::BTreeMap<ids::WorkspaceName, Workspace>,
    /// Priority classes.
    pub priorities: collections::BTreeMap<ids::PriorityName, Priority>,
    /// Budgets.
    pub budgets: collections::BTreeMap<ids::BudgetName, Budget>,
    /// Models.
    pub models: collections::BTreeMap<ids::ModelName, Model>,
    /// Plain services.
    pub services: collections::BTreeMap<ids::ServiceName, Service>,
    /// Endpoints.
    pub endpoints: collections::BTreeMap<ids::EndpointName, Endpoint>,
    /// Selected policies.
    pub policies: Policies,
}

impl Config {
    /// Returns the workspace that accepts the bearer token with this digest.
    pub fn workspace_for_token(&self, token: &digest::Digest) -> Option<&ids::WorkspaceName> {
        let accepts = |workspace: &Workspace| {
            workspace.keys.iter().any(|key| digest::constant_time_eq(key, token))
        };
        self.workspaces.iter().find(|(_, workspace)| accepts(workspace)).map(|(name, _)| name)
    }

    /// Returns whether `work` is safe to run more than once.
    pub fn is_repeatable(&self, work: &work::Work) -> bool {
        match work {
            work::Work::Model { .. } | work::Work::EndProgram => true,
            work::Work::Service { service, .. } => {
                self.services.get(service).is_some_and(|service| service.repeatable)
            }
        }
    }

    /// Returns the endpoints that serve `work`.
    pub fn endpoints_for<'a>(
        &'a self,
        work: &'a work::Work,
    ) -> impl Iterator<Item = (&'a ids::EndpointName, &'a Endpoint)> {
        self.endpoints.iter().filter(move |(_, endpoint)| match (&endpoint.serves, work) {
            (ServedResources::Models(models), work::Work::Model { model, .. }) => {
                models.contains(model)
            }
            (ServedResources::Services(services), work::Work::Service { service, .. }) => {
                services.contains(service)
            }
            _ => false,
        })
    }
}
