//! `[service.NAME]` sections.

/// A plain service.
#[derive(Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceConfig {
    /// Whether calls are safe to run more than once. There is no default, because a wrong default
    /// would let a call take effect twice.
    pub repeatable: bool,
    /// Cost units per call.
    #[serde(default)]
    pub price: u64,
    /// Maximum run time of a call, in milliseconds.
    #[serde(default = "timeout_ms")]
    pub timeout_ms: u64,
}

fn timeout_ms() -> u64 {
    30_000
}
