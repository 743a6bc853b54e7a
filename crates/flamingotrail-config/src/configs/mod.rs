//! File forms of the objects, one module for each kind. Fields that are left out take the defaults
//! given here; unknown fields are mistakes.

pub mod budget;
pub mod endpoint;
pub mod model;
pub mod policies;
pub mod priority;
pub mod region;
pub mod service;
pub mod workspace;

use std::collections;

/// One file: objects of any kinds, by name.
#[derive(Debug, Default, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FileConfig {
    /// The deployment.
    pub deployment: Option<toml::Spanned<DeploymentConfig>>,
    /// Regions.
    pub region: collections::BTreeMap<String, toml::Spanned<region::RegionConfig>>,
    /// Workspaces.
    pub workspace: collections::BTreeMap<String, toml::Spanned<workspace::WorkspaceConfig>>,
    /// Priority classes.
    pub priority: collections::BTreeMap<String, toml::Spanned<priority::PriorityConfig>>,
    /// Budgets.
    pub budget: collections::BTreeMap<String, toml::Spanned<budget::BudgetConfig>>,
    /// Models.
    pub model: collections::BTreeMap<String, toml::Spanned<model::ModelConfig>>,
    /// Plain services.
    pub service: collections::BTreeMap<String, toml::Spanned<service::ServiceConfig>>,
    /// Endpoints.
    pub endpoint: collections::BTreeMap<String, toml::Spanned<endpoint::EndpointConfig>>,
}

/// The deployment: its name and its policies.
#[derive(Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeploymentConfig {
    /// Name of the deployment.
    pub name: String,
    /// Policies.
    #[serde(default)]
    pub policies: policies::PoliciesConfig,
}
