//! `[workspace.NAME]` sections.

/// Access keys, capacity share and limits of a workspace.
#[derive(Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceConfig {
    /// Digests of the accepted bearer tokens, as printed by `flamingotrail digest`.
    pub key_digests: Vec<String>,
    /// Share of contended capacity relative to other workspaces.
    #[serde(default = "weight")]
    pub weight: f64,
    /// Name of the priority class of the workspace's calls.
    pub priority: String,
    /// Name of the budget that applies to each program of the workspace.
    pub budget: String,
    /// Names of the models that the workspace may use.
    #[serde(default)]
    pub models: Vec<String>,
}

fn weight() -> f64 {
    1.0
}
