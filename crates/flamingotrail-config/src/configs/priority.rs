//! `[priority.NAME]`.

/// A priority class.
#[derive(Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PriorityConfig {
    /// Rank: lower runs first.
    pub rank: u8,
    /// Longest wait in a queue before rank no longer counts, in milliseconds.
    #[serde(default = "starvation_limit_ms")]
    pub starvation_limit_ms: u64,
}

fn starvation_limit_ms() -> u64 {
    20_000
}
