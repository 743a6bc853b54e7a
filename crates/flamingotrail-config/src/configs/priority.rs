//! `[priority.NAME]` sections.

/// A priority class.
#[derive(Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PriorityConfig {
    /// Rank of the class; lower ranks run first.
    pub rank: u8,
    /// Time in a queue after which the rank is ignored, so that no call starves, in milliseconds.
    #[serde(default = "starvation_limit_ms")]
    pub starvation_limit_ms: u64,
}

fn starvation_limit_ms() -> u64 {
    20_000
}
