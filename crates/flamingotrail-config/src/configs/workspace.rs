//! `[workspace.NAME]`.

/// A workspace.
#[derive(Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceConfig {
    /// Digests of its bearer tokens, as `flamingotrail digest` prints them.
    pub key_digests: Vec<String>,
    /// Share of contended capacity, relative to other workspaces.
    #[serde(default = "weight")]
    pub weight: f64,
    /// Name of its priority class.
    pub priority: String,
    /// Name of the budget of each of its programs.
    pub budget: String,
    /// Names of the models that it may use.
    #[serde(default)]
    pub models: Vec<String>,
}

fn weight() -> f64 {
    1.0
}
