//! Validates a configuration set and converts it into the configuration. Reports all errors in the
//! set at once.

use std::collections;
use std::ops;
use std::time;

use flamingotrail_core::config;
use flamingotrail_core::digest;
use flamingotrail_core::ids;

use crate::config_set;
use crate::configs;
use crate::configs::budget;
use crate::configs::endpoint;
use crate::configs::model;
use crate::configs::priority;
use crate::configs::region;
use crate::configs::service;
use crate::configs::workspace;
use crate::diagnostic;

/// Maximum number of partitions of a region.
const MAX_PARTITIONS: u16 = 4096;
/// Maximum length of an object's name in bytes.
const MAX_NAME_BYTES: usize = 64;
/// Number of chunks in a budget's limit, unless the budget sets `chunk`.
const DEFAULT_CHUNKS_PER_BUDGET: u64 = 10;

/// Location of an object in the set.
#[derive(Clone, Copy)]
struct Location<'a> {
    file: &'a config_set::ConfigFile,
    offset: usize,
}

/// Collects the objects of a set and the errors found in it.
struct Checker<'a> {
    config: config::Config,
    diagnostics: Vec<diagnostic::Diagnostic>,
    locations: collections::BTreeMap<(&'static str, String), Location<'a>>,
    deployment: Option<Location<'a>>,
}

/// Validates `set` and converts it into the configuration.
pub fn check(set: &config_set::ConfigSet) -> Result<config::Config, Vec<diagnostic::Diagnostic>> {
    let mut checker = Checker {
        config: config::Config::default(),
        diagnostics: Vec::new(),
        locations: collections::BTreeMap::new(),
        deployment: None,
    };
    for file in &set.files {
        checker.read_file(file);
    }
    checker.check_set(set);
    if checker.diagnostics.is_empty() {
        Ok(checker.config)
    } else {
        checker.diagnostics.sort_by(|a, b| (&a.file, a.line).cmp(&(&b.file, b.line)));
        Err(checker.diagnostics)
    }
}

/// Returns the line of a byte offset, starting at 1.
fn line_number(text: &str, offset: usize) -> usize {
    text.as_bytes()[..offset.min(text.len())].iter().filter(|byte| **byte == b'\n').count() + 1
}

/// Returns the byte range of each object in a file, split at the table headers, so that an error in
/// one object does not hide errors in others.
fn section_ranges(text: &str) -> Vec<ops::Range<usize>> {
    let mut starts = vec![0];
    let mut offset = 0;
    for line in text.split_inclusive('\n') {
        let header = line.trim_start().starts_with('[');
        let nested = line.trim_start().starts_with("[deployment.");
        if header && !nested && offset > 0 {
            starts.push(offset);
        }
        offset += line.len();
    }
    starts.push(text.len());
    starts.windows(2).map(|pair| pair[0]..pair[1]).collect()
}

impl<'a> Checker<'a> {
    fn report(&mut self, location: Location<'a>, message: String, help: &str) {
        self.diagnostics.push(diagnostic::Diagnostic {
            file: location.file.name.clone(),
            line: line_number(&location.file.text, location.offset),
            message,
            help: help.to_owned(),
        });
    }

    fn read_file(&mut self, file: &'a config_set::ConfigFile) {
        match toml::from_str::<configs::FileConfig>(&file.text) {
            Ok(config) => self.read_config(file, config, 0),
            Err(_) => self.read_sections(file),
        }
    }

    /// Reads an invalid file section by section, so that all of its errors are reported.
    fn read_sections(&mut self, file: &'a config_set::ConfigFile) {
        for section in section_ranges(&file.text) {
            let start = section.start;
            match toml::from_str::<configs::FileConfig>(&file.text[section]) {
                Ok(config) => self.read_config(file, config, start),
                Err(error) => {
                    let offset = start + error.span().map_or(0, |span| span.start);
                    let message = error.message().replace('\n', " ");
                    let help = "correct the object; see docs/OPERATIONS.md for its fields";
                    self.report(Location { file, offset }, message, help);
                }
            }
        }
    }

    fn read_config(
        &mut self,
        file: &'a config_set::ConfigFile,
        config: configs::FileConfig,
        start: usize,
    ) {
        if let Some(deployment) = config.deployment {
            let location = Location { file, offset: start + deployment.span().start };
            self.add_deployment(location, deployment.get_ref());
        }
        macro_rules! add_objects {
            ($kind:literal, $map:expr, $add:ident) => {
                for (name, value) in $map {
                    let location = Location { file, offset: start + value.span().start };
                    if self.register_name($kind, &name, location) {
                        self.$add(&name, location, value.get_ref());
                    }
                }
            };
        }
        add_objects!("region", config.region, add_region);
        add_objects!("workspace", config.workspace, add_workspace);
        add_objects!("priority", config.priority, add_priority);
        add_objects!("budget", config.budget, add_budget);
        add_objects!("model", config.model, add_model);
        add_objects!("service", config.service, add_service);
        add_objects!("endpoint", config.endpoint, add_endpoint);
    }

    /// Records the name and location of an object. Returns `false` if the name is already taken.
    fn register_name(&mut self, kind: &'static str, name: &str, location: Location<'a>) -> bool {
        let valid = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-' || c == '.';
        if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(valid) {
            let message = format!("{kind} name `{name}` is not valid");
            let help = "use 1 to 64 lowercase letters, digits, `-` and `.`";
            self.report(location, message, help);
        }
        let key = (kind, name.to_owned());
        if self.locations.contains_key(&key) {
            let message = format!("{kind} `{name}` is defined twice");
            self.report(location, message, "remove one of the definitions");
            return false;
        }
        self.locations.insert(key, location);
        true
    }

    fn add_deployment(&mut self, location: Location<'a>, config: &configs::DeploymentConfig) {
        if self.deployment.is_some() {
            self.report(
                location,
                "the deployment is defined twice".into(),
                "remove one of the definitions",
            );
        }
        self.deployment = Some(location);
        self.config.deployment = config.name.clone();
        self.config.policies = config::Policies::from(&config.policies);
    }

    fn add_region(&mut self, name: &str, location: Location<'a>, config: &region::RegionConfig) {
        if config.partitions == 0 || config.partitions > MAX_PARTITIONS {
            let message = format!("region `{name}` has {} partitions", config.partitions);
            self.report(location, message, "set `partitions` to a value from 1 to 4096");
        }
        if config.domains.is_empty() {
            let message = format!("region `{name}` has no failure domain");
            self.report(location, message, "list at least one failure domain in `domains`");
        }
        let region = config::Region {
            partitions: config.partitions.max(1),
            domains: config.domains.iter().map(ids::DomainName::new).collect(),
            remote_delay: time::Duration::from_millis(config.remote_delay_ms),
        };
        self.config.regions.insert(ids::RegionName::new(name), region);
    }

    fn add_workspace(
        &mut self,
        name: &str,
        location: Location<'a>,
        config: &workspace::WorkspaceConfig,
    ) {
        if config.key_digests.is_empty() {
            let message = format!("workspace `{name}` has no key");
            self.report(
                location,
                message,
                "add the digest that `flamingotrail digest` prints to `key_digests`",
            );
        }
        if !config.weight.is_finite() || config.weight <= 0.0 {
            let message = format!("workspace `{name}` has an invalid weight of {}", config.weight);
            self.report(location, message, "set `weight` to a finite number above 0");
        }
        let mut keys = Vec::new();
        for text in &config.key_digests {
            match parse_digest(text) {
                Some(key) => keys.push(key),
                None => {
                    let message = format!("workspace `{name}`: `{text}` is not a digest");
                    self.report(
                        location,
                        message,
                        "replace it with the output of `flamingotrail digest`",
                    );
                }
            }
        }
        let workspace = config::Workspace {
            keys,
            weight: config.weight,
            priority: ids::PriorityName::new(config.priority.as_str()),
            budget: ids::BudgetName::new(config.budget.as_str()),
            models: config.models.iter().map(ids::ModelName::new).collect(),
        };
        self.config.workspaces.insert(ids::WorkspaceName::new(name), workspace);
    }

    fn add_priority(
        &mut self,
        name: &str,
        _location: Location<'a>,
        config: &priority::PriorityConfig,
    ) {
        let priority = config::Priority {
            rank: config.rank,
            starvation_limit: time::Duration::from_millis(config.starvation_limit_ms),
        };
        self.config.priorities.insert(ids::PriorityName::new(name), priority);
    }

    fn add_budget(&mut self, name: &str, location: Location<'a>, config: &budget::BudgetConfig) {
        let chunk = config.chunk.unwrap_or((config.limit / DEFAULT_CHUNKS_PER_BUDGET).max(1));
        if config.limit == 0 || config.max_turns == 0 {
            let message = format!("budget `{name}` allows no calls");
            self.report(location, message, "set `limit` and `max_turns` above 0");
        }
        if chunk == 0 || chunk > config.limit.max(1) {
            let message = format!("budget `{name}` has an invalid chunk of {chunk}");
            self.report(location, message, "set `chunk` to a value from 1 to the limit");
        }
        let budget = config::Budget { limit: config.limit, chunk, max_turns: config.max_turns };
        self.config.budgets.insert(ids::BudgetName::new(name), budget);
    }

    fn add_model(&mut self, name: &str, location: Location<'a>, config: &model::ModelConfig) {
        if config.default_max_tokens == 0 {
            let message = format!("model `{name}` has a default limit of 0 tokens");
            self.report(location, message, "set `default_max_tokens` above 0");
        }
        let model = config::Model {
            prompt_price: config.prompt_price,
            completion_price: config.completion_price,
            default_max_tokens: config.default_max_tokens,
        };
        self.config.models.insert(ids::ModelName::new(name), model);
    }

    fn add_service(&mut self, name: &str, location: Location<'a>, config: &service::ServiceConfig) {
        if config.timeout_ms == 0 {
            let message = format!("service `{name}` has a timeout of 0 ms");
            self.report(location, message, "set `timeout_ms` above 0");
        }
        let service = config::Service {
            repeatable: config.repeatable,
            price: config.price,
            timeout: time::Duration::from_millis(config.timeout_ms),
        };
        self.config.services.insert(ids::ServiceName::new(name), service);
    }

    fn add_endpoint(
        &mut self,
        name: &str,
        location: Location<'a>,
        config: &endpoint::EndpointConfig,
    ) {
        if config.slots == 0 {
            let message = format!("endpoint `{name}` has no slots");
            self.report(location, message, "set `slots` above 0");
        }
        let serves = match (config.services.is_empty(), config.models.is_empty()) {
            (false, true) => {
                let services = config.services.iter().map(ids::ServiceName::new);
                config::ServedResources::Services(services.collect())
            }
            (true, false) => config::ServedResources::Models(
                config.models.iter().map(ids::ModelName::new).collect(),
            ),
            _ => {
                let message = format!("endpoint `{name}` must have either `models` or `services`");
                self.report(location, message, "set either `models` or `services`, but not both");
                return;
            }
        };
        let endpoint = config::Endpoint {
            serves,
            slots: config.slots,
            fenced: config.fenced,
            cache_tokens: config.cache_tokens,
        };
        self.config.endpoints.insert(ids::EndpointName::new(name), endpoint);
    }

    /// Checks required objects and the references between objects.
    fn check_set(&mut self, set: &'a config_set::ConfigSet) {
        let Some(first) = set.files.first() else {
            return;
        };
        let start = Location { file: first, offset: 0 };
        if self.deployment.is_none() && self.diagnostics.is_empty() {
            let message = "the configuration has no deployment".to_owned();
            self.report(start, message, "add `[deployment]` with a `name`");
        }
        if !self.locations.keys().any(|(kind, _)| *kind == "region") {
            self.report(start, "the configuration has no region".into(), "add a `[region.NAME]`");
        }
        self.check_workspaces();
        self.check_endpoints();
    }

    fn is_defined(&self, kind: &'static str, name: &str) -> bool {
        self.locations.contains_key(&(kind, name.to_owned()))
    }

    /// Reports an error at the object `from` if the object that it refers to is not defined.
    fn check_reference(&mut self, from: (&'static str, String), kind: &'static str, name: &str) {
        if self.is_defined(kind, name) {
            return;
        }
        let Some(location) = self.locations.get(&from).copied() else {
            return;
        };
        let message =
            format!("{} `{}` refers to {kind} `{name}`, which is not defined", from.0, from.1);
        let help = format!("define `[{kind}.{name}]` or correct the name");
        self.report(location, message, &help);
    }

    fn check_workspaces(&mut self) {
        let mut key_owners: collections::BTreeMap<digest::Digest, ids::WorkspaceName> =
            collections::BTreeMap::new();
        for (name, workspace) in self.config.workspaces.clone() {
            let from = ("workspace", name.to_string());
            self.check_reference(from.clone(), "priority", workspace.priority.as_str());
            self.check_reference(from.clone(), "budget", workspace.budget.as_str());
            for model in &workspace.models {
                self.check_reference(from.clone(), "model", model.as_str());
            }
            for key in workspace.keys {
                if let Some(other) = key_owners.insert(key, name.clone()) {
                    let message = format!("workspaces `{other}` and `{name}` share a key");
                    let location = self.locations[&from];
                    self.report(location, message, "give each workspace its own key");
                }
            }
        }
    }

    fn check_endpoints(&mut self) {
        for (name, endpoint) in self.config.endpoints.clone() {
            let from = ("endpoint", name.to_string());
            match &endpoint.serves {
                config::ServedResources::Models(models) => {
                    for model in models {
                        self.check_reference(from.clone(), "model", model.as_str());
                    }
                }
                config::ServedResources::Services(services) => {
                    for service in services {
                        self.check_reference(from.clone(), "service", service.as_str());
                    }
                }
            }
        }
    }
}

/// Parses a digest from 64 hexadecimal digits.
pub fn parse_digest(text: &str) -> Option<digest::Digest> {
    let mut bytes = [0; digest::DIGEST_BYTES];
    if text.len() != 2 * digest::DIGEST_BYTES || !text.is_ascii() {
        return None;
    }
    for (index, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(digest::Digest(bytes))
}
