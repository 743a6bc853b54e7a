//! `[deployment.policies]`.

use flamingotrail_core::config;

/// Policies by name.
#[derive(Debug, Default, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PoliciesConfig {
    /// `fifo` or `least-attained`.
    pub queue: QueueConfig,
    /// `round-robin`, `least-outstanding`, `affinity` or `expected-cost`.
    pub placement: PlacementConfig,
    /// `engine-only` or `expected-waste`.
    pub retention: RetentionConfig,
    /// `deadline` or `early`.
    pub admission: AdmissionConfig,
}

/// What is refused under overload.
#[derive(Clone, Copy, Debug, Default, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AdmissionConfig {
    /// What can't start before its deadline.
    Deadline,
    /// Besides, new programs while the wait is long.
    #[default]
    Early,
}

/// Order of an endpoint's queue.
#[derive(Clone, Copy, Debug, Default, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum QueueConfig {
    /// First come, first served.
    Fifo,
    /// Fair shares, then least attained service.
    #[default]
    LeastAttained,
}

/// Choice of endpoint.
#[derive(Clone, Copy, Debug, Default, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlacementConfig {
    /// In turn.
    RoundRobin,
    /// Least outstanding calls.
    LeastOutstanding,
    /// By hash of the conversation.
    Affinity,
    /// Least expected seconds.
    #[default]
    ExpectedCost,
}

/// Cached context during pauses.
#[derive(Clone, Copy, Debug, Default, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RetentionConfig {
    /// The engine decides.
    EngineOnly,
    /// Hold by expected waste.
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
