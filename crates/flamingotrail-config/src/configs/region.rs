//! `[region.NAME]` sections.

/// Failure domains and partitions of a region.
#[derive(Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RegionConfig {
    /// Names of the region's failure domains.
    pub domains: Vec<String>,
    /// Number of partitions for the region's programs, from 1 to 4096. Must not change once
    /// programs have run.
    #[serde(default = "partitions")]
    pub partitions: u16,
    /// One-way network delay to other regions, in milliseconds.
    #[serde(default = "remote_delay_ms")]
    pub remote_delay_ms: u64,
}

fn partitions() -> u16 {
    8
}

fn remote_delay_ms() -> u64 {
    30
}
