//! Deployments of the two users, Fjordhest and Wasadat, at their current size: regions, endpoints
//! and configuration.

use std::time as std_time;

use flamingotrail_core::config;
use flamingotrail_core::digest;

/// An endpoint and its location.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointSpec {
    /// Endpoint name.
    pub name: String,
    /// Region in which it runs.
    pub region: String,
    /// Failure domain in which it runs.
    pub domain: String,
    /// Services that it runs; empty for an engine.
    pub services: Vec<String>,
}

/// A workspace.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkspaceSpec {
    /// Workspace name.
    pub name: String,
    /// Bearer token of its callers.
    pub token: String,
    /// Priority class.
    pub priority: String,
    /// Fair-share weight.
    pub weight: f64,
}

/// Description of a deployment, from which its configuration is generated.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Deployment name.
    pub name: String,
    /// Regions as (name, failure domain).
    pub regions: Vec<(String, String)>,
    /// Model served by the engines.
    pub model: String,
    /// Services as (name, whether calls are repeatable).
    pub services: Vec<(String, bool)>,
    /// Workspaces in the configuration.
    pub workspaces: Vec<WorkspaceSpec>,
    /// Engines and service runners.
    pub endpoints: Vec<EndpointSpec>,
    /// Number of partitions per region.
    pub partitions: u16,
    /// Concurrent calls per engine.
    pub slots: u32,
    /// Cache size of an engine, in tokens.
    pub cache_tokens: u64,
    /// Budget of a program, in cost units.
    pub budget: u64,
    /// One-way delay within a region.
    pub intra_region_delay: std_time::Duration,
    /// One-way delay between regions.
    pub inter_region_delay: std_time::Duration,
    /// One-way delay to clients.
    pub client_delay: std_time::Duration,
    /// Scheduling policies.
    pub policies: config::Policies,
}

fn workspace(name: &str, priority: &str) -> WorkspaceSpec {
    let token = format!("{name}-token");
    WorkspaceSpec { name: name.to_owned(), token, priority: priority.to_owned(), weight: 1.0 }
}

/// Creates `count` endpoints, assigned to the regions in round-robin order.
fn place_endpoints(
    kind: &str,
    count: usize,
    services: &[&str],
    regions: &[(String, String)],
) -> Vec<EndpointSpec> {
    let endpoint = |index: usize| {
        let (region, domain) = regions[index % regions.len()].clone();
        EndpointSpec {
            name: format!("{kind}-{}", index + 1),
            region,
            domain,
            services: services.iter().map(|service| (*service).to_owned()).collect(),
        }
    };
    (0..count).map(endpoint).collect()
}

fn regions(names: &[&str]) -> Vec<(String, String)> {
    names.iter().map(|name| ((*name).to_owned(), format!("{name}-a"))).collect()
}

/// Fjordhest: 9 stable-assistant engines and 7 ledger runners in three regions.
pub fn fjordhest() -> Deployment {
    let regions = regions(&["vestland", "trondelag", "ostland"]);
    let mut endpoints = place_endpoints("stable", 9, &[], &regions);
    endpoints.extend(place_endpoints("ledger", 7, &["ledger-lookup", "ledger-book"], &regions));
    Deployment {
        name: "fjordhest".to_owned(),
        regions,
        model: "stable-assistant".to_owned(),
        services: vec![("ledger-lookup".to_owned(), true), ("ledger-book".to_owned(), false)],
        workspaces: vec![workspace("desk", "normal"), workspace("booking", "normal")],
        endpoints,
        partitions: 6,
        slots: 16,
        cache_tokens: 100_000,
        budget: 4_000_000,
        intra_region_delay: std_time::Duration::from_micros(500),
        inter_region_delay: std_time::Duration::from_millis(30),
        client_delay: std_time::Duration::from_millis(3),
        policies: config::Policies::default(),
    }
}

/// Wasadat: 9 advisor engines and 6 storefront runners in three regions.
pub fn wasadat() -> Deployment {
    let regions = regions(&["cai", "alx", "giz"]);
    let mut endpoints = place_endpoints("advisor", 9, &[], &regions);
    endpoints.extend(place_endpoints("storefront", 6, &["stock", "order", "refund"], &regions));
    Deployment {
        name: "wasadat".to_owned(),
        regions,
        model: "advisor".to_owned(),
        services: vec![
            ("stock".to_owned(), true),
            ("order".to_owned(), false),
            ("refund".to_owned(), false),
        ],
        workspaces: vec![workspace("fitting", "normal"), workspace("bulk", "shops")],
        endpoints,
        partitions: 6,
        slots: 16,
        cache_tokens: 100_000,
        budget: 8_000_000,
        intra_region_delay: std_time::Duration::from_millis(1),
        inter_region_delay: std_time::Duration::from_millis(30),
        client_delay: std_time::Duration::from_millis(3),
        policies: config::Policies::default(),
    }
}

/// Returns the deployment with this name.
pub fn by_name(name: &str) -> Option<Deployment> {
    match name {
        "fjordhest" => Some(fjordhest()),
        "wasadat" => Some(wasadat()),
        _ => None,
    }
}

impl Deployment {
    /// Keeps only the first `engines` engines and the first `runners` runners.
    pub fn with_endpoints(mut self, engines: usize, runners: usize) -> Self {
        let mut selected = Vec::new();
        let (mut engines_remaining, mut runners_remaining) = (engines, runners);
        for endpoint in self.endpoints {
            let remaining = match endpoint.services.is_empty() {
                true => &mut engines_remaining,
                false => &mut runners_remaining,
            };
            if *remaining > 0 {
                *remaining -= 1;
                selected.push(endpoint);
            }
        }
        self.endpoints = selected;
        self
    }

    /// Keeps only the first `count` regions, at least one, and the endpoints in them.
    pub fn with_regions(mut self, count: usize) -> Self {
        self.regions.truncate(count.max(1));
        let names: Vec<String> = self.regions.iter().map(|(name, _)| name.clone()).collect();
        self.endpoints.retain(|endpoint| names.contains(&endpoint.region));
        self
    }

    /// Replaces the policies.
    pub fn with_policies(mut self, policies: config::Policies) -> Self {
        self.policies = policies;
        self
    }

    /// Returns the endpoints that are engines.
    pub fn engines(&self) -> impl Iterator<Item = &EndpointSpec> {
        self.endpoints.iter().filter(|endpoint| endpoint.services.is_empty())
    }

    /// Returns the configuration in the TOML format that operators publish.
    pub fn config_toml(&self) -> String {
        let mut text = format!("[deployment]\nname = \"{}\"\n\n", self.name);
        text.push_str(&policies_toml(&self.policies));
        for (region, domain) in &self.regions {
            let delay = self.inter_region_delay.as_millis();
            text.push_str(&format!(
                "[region.{region}]\ndomains = [\"{domain}\"]\npartitions = {}\nremote_delay_ms = {delay}\n\n",
                self.partitions
            ));
        }
        text.push_str("[priority.normal]\nrank = 1\n\n[priority.shops]\nrank = 0\n\n");
        text.push_str(&format!(
            "[budget.program]\nlimit = {}\nchunk = {}\nmax_turns = 400\n\n",
            self.budget,
            self.budget / 4
        ));
        text.push_str(&format!("[model.{}]\ndefault_max_tokens = 256\n\n", self.model));
        for (service, repeatable) in &self.services {
            text.push_str(&format!(
                "[service.{service}]\nrepeatable = {repeatable}\nprice = 10\ntimeout_ms = 10000\n\n"
            ));
        }
        for workspace in &self.workspaces {
            text.push_str(&format!(
                "[workspace.{}]\nkey_digests = [\"{}\"]\nweight = {:?}\npriority = \"{}\"\nbudget = \"program\"\nmodels = [\"{}\"]\n\n",
                workspace.name,
                digest::hash_token(&workspace.token),
                workspace.weight,
                workspace.priority,
                self.model
            ));
        }
        for endpoint in &self.endpoints {
            text.push_str(&self.endpoint_toml(endpoint));
        }
        text
    }

    fn endpoint_toml(&self, endpoint: &EndpointSpec) -> String {
        if endpoint.services.is_empty() {
            return format!(
                "[endpoint.{}]\nmodels = [\"{}\"]\nslots = {}\ncache_tokens = {}\n\n",
                endpoint.name, self.model, self.slots, self.cache_tokens
            );
        }
        let services: Vec<String> =
            endpoint.services.iter().map(|service| format!("\"{service}\"")).collect();
        let services = services.join(", ");
        format!("[endpoint.{}]\nservices = [{services}]\nslots = 32\n\n", endpoint.name)
    }
}

fn policies_toml(policies: &config::Policies) -> String {
    let queue = match policies.queue {
        config::QueuePolicy::Fifo => "fifo",
        config::QueuePolicy::LeastAttained => "least-attained",
    };
    let placement = match policies.placement {
        config::PlacementPolicy::RoundRobin => "round-robin",
        config::PlacementPolicy::LeastOutstanding => "least-outstanding",
        config::PlacementPolicy::Affinity => "affinity",
        config::PlacementPolicy::ExpectedCost => "expected-cost",
    };
    let retention = match policies.retention {
        config::RetentionPolicy::EngineOnly => "engine-only",
        config::RetentionPolicy::ExpectedWaste => "expected-waste",
    };
    let admission = match policies.admission {
        config::AdmissionPolicy::Deadline => "deadline",
        config::AdmissionPolicy::Early => "early",
    };
    format!(
        "[deployment.policies]\nadmission = \"{admission}\"\nqueue = \"{queue}\"\nplacement = \"{placement}\"\nretention = \"{retention}\"\n\n"
    )
}
