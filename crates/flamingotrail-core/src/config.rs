//! The operators' objects in the words of the decisions: one checked set in force at a time.

use std::collections;
use std::time;

use crate::digest;
use crate::ids;
use crate::work;

/// A workspace: who may call, with what share and limits.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Digests of the bearer tokens that it accepts.
    pub keys: Vec<digest::Digest>,
    /// Share of contended capacity, relative to other workspaces.
    pub weight: f64,
    /// Priority class of its calls.
    pub priority: ids::PriorityName,
    /// Budget of each of its programs.
    pub budget: ids::BudgetName,
    /// Models that it may use.
    pub models: collections::BTreeSet<ids::ModelName>,
}

/// A priority class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Priority {
    /// Rank: lower runs first.
    pub rank: u8,
    /// Longest wait in a queue before rank no longer counts.
    pub starvation_limit: time::Duration,
}

/// Limits of one program with all its sub-agents.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Cost units that a program may spend.
    pub limit: work::Cost,
    /// Cost units granted at a time.
    pub chunk: work::Cost,
    /// Turns that a program may take.
    pub max_turns: u32,
}

/// A model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Model {
    /// Cost units for each prompt token.
    pub prompt_price: work::Cost,
    /// Cost units for each generated token.
    pub completion_price: work::Cost,
    /// Tokens generated at most when the call names no limit.
    pub default_max_tokens: u32,
}

/// A plain service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Service {
    /// Whether its calls may be repeated.
    pub repeatable: bool,
    /// Cost units for each call.
    pub price: work::Cost,
    /// Longest run of one call.
    pub timeout: time::Duration,
}

/// What an endpoint serves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServedResources {
    /// Models, one engine.
    Models(collections::BTreeSet<ids::ModelName>),
    /// Plain services, one runner.
    Services(collections::BTreeSet<ids::ServiceName>),
}

/// An endpoint as configured.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// What it serves.
    pub serves: ServedResources,
    /// Calls that run on it at the same time.
    pub slots: u32,
    /// Whether it refuses orders that carry an old fencing number.
    pub fenced: bool,
    /// Cached context that it holds, in tokens; 0 where it keeps none.
    pub cache_tokens: u64,
}

/// A region.
#[derive(Clone, Debug, PartialEq)]
pub struct Region {
    /// Partitions of the region's programs.
    pub partitions: u16,
    /// Its failure domains.
    pub domains: collections::BTreeSet<ids::DomainName>,
    /// One-way delay to another region.
    pub remote_delay: time::Duration,
}

/// Which policies are in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Policies {
    /// Order of an endpoint's queue.
    pub queue: QueuePolicy,
    /// Choice of endpoint.
    pub placement: PlacementPolicy,
    /// Cached context while a program pauses.
    pub retention: RetentionPolicy,
    /// What is refused under overload.
    pub admission: AdmissionPolicy,
}

/// What is refused under overload.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AdmissionPolicy {
    /// Calls that can't start before their deadline.
    Deadline,
    /// Besides, the first call of a program while the wait is long, so that programs under way
    /// finish.
    #[default]
    Early,
}

/// Order of an endpoint's queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum QueuePolicy {
    /// First come, first served.
    Fifo,
    /// Fair shares of workspaces, then least attained service of the whole program.
    #[default]
    LeastAttained,
}

/// Choice of endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlacementPolicy {
    /// In turn.
    RoundRobin,
    /// Least outstanding calls.
    LeastOutstanding,
    /// By hash of the conversation alone.
    Affinity,
    /// Least expected seconds.
    #[default]
    ExpectedCost,
}

/// Cached context while a program pauses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RetentionPolicy {
    /// The engine's own eviction decides.
    EngineOnly,
    /// Hold by expected waste.
    #[default]
    ExpectedWaste,
}

/// The whole checked set.
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
    /// Policies.
    pub policies: Policies,
}

impl Config {
    /// The workspace that accepts a token with this digest.
    pub fn workspace_for_token(&self, key: &digest::Digest) -> Option<&ids::WorkspaceName> {
        let accepts =
            |workspace: &Workspace| workspace.keys.iter().any(|k| digest::constant_time_eq(k, key));
        self.workspaces.iter().find(|(_, workspace)| accepts(workspace)).map(|(name, _)| name)
    }

    /// Whether calls of `work` may run more than once.
    pub fn is_repeatable(&self, work: &work::Work) -> bool {
        match work {
            work::Work::Model { .. } | work::Work::EndProgram => true,
            work::Work::Service { service, .. } => {
                self.services.get(service).is_some_and(|service| service.repeatable)
            }
        }
    }

    /// Names of the endpoints that serve `work`.
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
