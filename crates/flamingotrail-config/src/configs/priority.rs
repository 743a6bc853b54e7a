//! `[priority.NAME]` sections.

/// A priority class.
#[derive(Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PriorityConfig {
    /// Rank of the class; lower ranks run first.
    pub rank: u8,
    /// Time in milliseconds that a call waits in a queue before its rank is ignored, so that no
    /// call starves.
    #[serde(default = "starvation_limit_ms")]
    pub starvation_limit_ms: u64,
}

fn starvation_limit_ms() -> u64 {
    20_000
}
