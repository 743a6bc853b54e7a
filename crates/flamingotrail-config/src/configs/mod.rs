//! File format of the configuration, with one module per kind of object. Omitted fields take the
//! defaults given here; unknown fields are errors.

pub mod budget;
pub mod endpoint;
pub mod model;
pub mod policies;
pub mod priority;
pub mod region;
pub mod service;
pub mod workspace;

use std::collections;

/// Contents of a configuration file: objects of all kinds, by name.
#[derive(Debug, Default, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FileConfig {
    /// Deployment-wide settings; exactly one file of a set contains them.
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

/// Name and policies of the deployment.
#[derive(Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeploymentConfig {
    /// Name of the deployment.
    pub name: String,
    /// Scheduling policies.
    #[serde(default)]
    pub policies: policies::PoliciesConfig,
}
