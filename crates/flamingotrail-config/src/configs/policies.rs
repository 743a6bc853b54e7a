//! The `[deployment.policies]` section.

use flamingotrail_core::config;

/// The selected scheduling policies.
#[derive(Debug, Default, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PoliciesConfig {
    /// Order of an endpoint's queue: `fifo` or `least-attained`.
    pub queue: QueueConfig,
    /// Selection of an endpoint for a call: `round-robin`, `least-outstanding`, `affinity` or
    /// `expected-cost`.
    pub placement: PlacementConfig,
    /// Retention of cached context while a program pauses: `engine-only` or `expected-waste`.
    pub retention: RetentionConfig,
    /// Refusal of calls under overload: `deadline` or `early`.
    pub admission: AdmissionConfig,
}

/// Which calls are refused under overload.
#[derive(Clone, Copy, Debug, Default, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AdmissionConfig {
    /// Calls that can't start before their deadline.
    Deadline,
    /// The same calls as [`AdmissionConfig::Deadline`], and the first call of a program while
    /// queues are long.
    #[default]
    Early,
}

/// Order in which an endpoint's queue is served.
#[derive(Clone, Copy, Debug, Default, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum QueueConfig {
    /// First come, first served.
    Fifo,
    /// Fair sharing between workspaces, then least attained service of the whole program tree.
    #[default]
    LeastAttained,
}

/// How an endpoint is selected for a call.
#[derive(Clone, Copy, Debug, Default, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlacementConfig {
    /// Round robin.
    RoundRobin,
    /// The endpoint with the fewest outstanding calls.
    LeastOutstanding,
    /// The endpoint given by a hash of the conversation id.
    Affinity,
    /// The endpoint with the lowest expected completion time.
    #[default]
    ExpectedCost,
}

/// Whether cached context is kept while a program pauses.
#[derive(Clone, Copy, Debug, Default, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RetentionConfig {
    /// Only the engine's own eviction policy applies.
    EngineOnly,
    /// Contexts are held or released so as to minimise the expected waste.
    #[default]
    ExpectedWaste,
}

impl From<&PoliciesConfig> for config::Policies {
    fn from(config: &PoliciesConfig) -> Self {
        config::Policies {
            queue: match config.queue {
                QueueConfig::Fifo => config::QueuePolicy::Fifo,
                QueueConfig::LeastAttained => config::QueuePolicy::LeastAttained,
            },
            placement: match config.placement {
                PlacementConfig::RoundRobin => config::PlacementPolicy::RoundRobin,
                PlacementConfig::LeastOutstanding => config::PlacementPolicy::LeastOutstanding,
                PlacementConfig::Affinity => config::PlacementPolicy::Affinity,
                PlacementConfig::ExpectedCost => config::PlacementPolicy::ExpectedCost,
            },
            retention: match config.retention {
                RetentionConfig::EngineOnly => config::RetentionPolicy::EngineOnly,
                RetentionConfig::ExpectedWaste => config::RetentionPolicy::ExpectedWaste,
            },
            admission: match config.admission {
                AdmissionConfig::Deadline => config::AdmissionPolicy::Deadline,
                AdmissionConfig::Early => config::AdmissionPolicy::Early,
            },
        }
    }
}
