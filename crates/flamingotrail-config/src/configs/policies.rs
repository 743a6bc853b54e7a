//! `[deployment.policies]`.

use flamingotrail_core::objects;

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

impl From<&PoliciesConfig> for objects::Policies {
    fn from(config: &PoliciesConfig) -> Self {
        objects::Policies {
            queue: match config.queue {
                QueueConfig::Fifo => objects::QueuePolicy::Fifo,
                QueueConfig::LeastAttained => objects::QueuePolicy::LeastAttained,
            },
            placement: match config.placement {
                PlacementConfig::RoundRobin => objects::PlacementPolicy::RoundRobin,
                PlacementConfig::LeastOutstanding => objects::PlacementPolicy::LeastOutstanding,
                PlacementConfig::Affinity => objects::PlacementPolicy::Affinity,
                PlacementConfig::ExpectedCost => objects::PlacementPolicy::ExpectedCost,
            },
            retention: match config.retention {
                RetentionConfig::EngineOnly => objects::RetentionPolicy::EngineOnly,
                RetentionConfig::ExpectedWaste => objects::RetentionPolicy::ExpectedWaste,
            },
            admission: match config.admission {
                AdmissionConfig::Deadline => objects::AdmissionPolicy::Deadline,
                AdmissionConfig::Early => objects::AdmissionPolicy::Early,
            },
        }
    }
}
