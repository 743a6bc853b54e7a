//! Checks a whole set: every object, every reference, every mistake at once.

use std::collections;
use std::ops;
use std::time;

use flamingotrail_core::config;
use flamingotrail_core::digest;
use flamingotrail_core::ids;

use crate::configs;
use crate::configs::budget;
use crate::configs::endpoint;
use crate::configs::model;
use crate::configs::priority;
use crate::configs::region;
use crate::configs::service;
use crate::configs::workspace;
use crate::mistake;
use crate::set;

/// Most partitions of a region.
const MAX_PARTITIONS: u16 = 4096;
/// Longest name, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// Part of a budget's limit that is granted at a time by default.
const DEFAULT_CHUNKS: u64 = 10;

/// Where an object stands.
#[derive(Clone, Copy)]
struct Place<'a> {
    file: &'a set::File,
    at: usize,
}

/// Objects read so far and the mistakes found.
struct Checker<'a> {
    objects: config::Config,
    mistakes: Vec<mistake::Mistake>,
    places: collections::BTreeMap<(&'static str, String), Place<'a>>,
    deployment: Option<Place<'a>>,
}

/// Reads and checks `set`.
pub fn check(set: &set::Set) -> Result<config::Config, Vec<mistake::Mistake>> {
    let mut checker = Checker {
        objects: config::Config::default(),
        mistakes: Vec::new(),
        places: collections::BTreeMap::new(),
        deployment: None,
    };
    for file in &set.files {
        checker.read_file(file);
    }
    checker.check_whole(set);
    if checker.mistakes.is_empty() {
        Ok(checker.objects)
    } else {
        checker.mistakes.sort_by(|a, b| (&a.file, a.line).cmp(&(&b.file, b.line)));
        Err(checker.mistakes)
    }
}

fn line_of(text: &str, at: usize) -> usize {
    text.as_bytes()[..at.min(text.len())].iter().filter(|byte| **byte == b'\n').count() + 1
}

/// Byte ranges of a file that hold one object each, split at table headers, so that a mistake in
/// one object does not hide those in the others.
fn sections(text: &str) -> Vec<ops::Range<usize>> {
    let mut starts = vec![0];
    let mut at = 0;
    for line in text.split_inclusive('\n') {
        let header = line.trim_start().starts_with('[');
        let nested = line.trim_start().starts_with("[deployment.");
        if header && !nested && at > 0 {
            starts.push(at);
        }
        at += line.len();
    }
    starts.push(text.len());
    starts.windows(2).map(|pair| pair[0]..pair[1]).collect()
}

impl<'a> Checker<'a> {
    fn mistake(&mut self, place: Place<'a>, problem: String, remedy: &str) {
        self.mistakes.push(mistake::Mistake {
            file: place.file.name.clone(),
            line: line_of(&place.file.text, place.at),
            problem,
            remedy: remedy.to_owned(),
        });
    }

    fn read_file(&mut self, file: &'a set::File) {
        match toml::from_str::<configs::FileConfig>(&file.text) {
            Ok(config) => self.read_config(file, config, 0),
            Err(_) => self.read_sections(file),
        }
    }

    /// Reads a file with mistakes section by section, to report all of them.
    fn read_sections(&mut self, file: &'a set::File) {
        for section in sections(&file.text) {
            let start = section.start;
            match toml::from_str::<configs::FileConfig>(&file.text[section]) {
                Ok(config) => self.read_config(file, config, start),
                Err(error) => {
                    let at = start + error.span().map_or(0, |span| span.start);
                    let problem = error.message().replace('\n', " ");
                    let remedy = "correct the object; docs/OPERATIONS.md lists the fields";
                    self.mistake(Place { file, at }, problem, remedy);
                }
            }
        }
    }

    fn read_config(&mut self, file: &'a set::File, config: configs::FileConfig, start: usize) {
        if let Some(deployment) = config.deployment {
            let place = Place { file, at: start + deployment.span().start };
            self.read_deployment(place, deployment.get_ref());
        }
        macro_rules! each {
            ($kind:literal, $map:expr, $read:ident) => {
                for (name, value) in $map {
                    let place = Place { file, at: start + value.span().start };
                    if self.note_name($kind, &name, place) {
                        self.$read(&name, place, value.get_ref());
                    }
                }
            };
        }
        each!("region", config.region, read_region);
        each!("workspace", config.workspace, read_workspace);
        each!("priority", config.priority, read_priority);
        each!("budget", config.budget, read_budget);
        each!("model", config.model, read_model);
        each!("service", config.service, read_service);
        each!("endpoint", config.endpoint, read_endpoint);
    }

    /// Notes an object's name and place: whether it is the first of that name.
    fn note_name(&mut self, kind: &'static str, name: &str, place: Place<'a>) -> bool {
        let valid = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-' || c == '.';
        if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(valid) {
            let problem = format!("{kind} name `{name}` is not valid");
            let remedy = "use up to 64 lower-case letters, digits, `-` and `.`";
            self.mistake(place, problem, remedy);
        }
        let key = (kind, name.to_owned());
        if self.places.contains_key(&key) {
            let problem = format!("{kind} `{name}` is defined twice");
            self.mistake(place, problem, "keep one of the two");
            return false;
        }
        self.places.insert(key, place);
        true
    }

    fn read_deployment(&mut self, place: Place<'a>, config: &configs::DeploymentConfig) {
        if self.deployment.is_some() {
            self.mistake(place, "the deployment is defined twice".into(), "keep one of the two");
        }
        self.deployment = Some(place);
        self.objects.deployment = config.name.clone();
        self.objects.policies = config::Policies::from(&config.policies);
    }

    fn read_region(&mut self, name: &str, place: Place<'a>, config: &region::RegionConfig) {
        if config.partitions == 0 || config.partitions > MAX_PARTITIONS {
            let problem = format!("region `{name}` has {} partitions", config.partitions);
            self.mistake(place, problem, "give 1 to 4096");
        }
        if config.domains.is_empty() {
            let problem = format!("region `{name}` has no failure domain");
            self.mistake(place, problem, "name at least one in `domains`");
        }
        let region = config::Region {
            partitions: config.partitions.max(1),
            domains: config.domains.iter().map(ids::DomainName::new).collect(),
            remote_delay: time::Duration::from_millis(config.remote_delay_ms),
        };
        self.objects.regions.insert(ids::RegionName::new(name), region);
    }

    fn read_workspace(
        &mut self,
        name: &str,
        place: Place<'a>,
        config: &workspace::WorkspaceConfig,
    ) {
        if config.key_digests.is_empty() {
            let problem = format!("workspace `{name}` accepts no key");
            self.mistake(place, problem, "add a digest from `flamingotrail digest`");
        }
        if !config.weight.is_finite() || config.weight <= 0.0 {
            let problem = format!("workspace `{name}` has weight {}", config.weight);
            self.mistake(place, problem, "give a number above 0");
        }
        let mut keys = Vec::new();
        for text in &config.key_digests {
            match parse_digest(text) {
                Some(key) => keys.push(key),
                None => {
                    let problem = format!("workspace `{name}`: `{text}` is not a digest");
                    self.mistake(place, problem, "use what `flamingotrail digest` prints");
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
        self.objects.workspaces.insert(ids::WorkspaceName::new(name), workspace);
    }

    fn read_priority(&mut self, name: &str, _place: Place<'a>, config: &priority::PriorityConfig) {
        let priority = config::Priority {
            rank: config.rank,
            starvation_limit: time::Duration::from_millis(config.starvation_limit_ms),
        };
        self.objects.priorities.insert(ids::PriorityName::new(name), priority);
    }

    fn read_budget(&mut self, name: &str, place: Place<'a>, config: &budget::BudgetConfig) {
        let chunk = config.chunk.unwrap_or((config.limit / DEFAULT_CHUNKS).max(1));
        if config.limit == 0 || config.max_turns == 0 {
            let problem = format!("budget `{name}` lets no call run");
            self.mistake(place, problem, "give `limit` and `max_turns` above 0");
        }
        if chunk == 0 || chunk > config.limit.max(1) {
            let problem = format!("budget `{name}` has chunk {chunk}");
            self.mistake(place, problem, "give a chunk from 1 to the limit");
        }
        let budget = config::Budget { limit: config.limit, chunk, max_turns: config.max_turns };
        self.objects.budgets.insert(ids::BudgetName::new(name), budget);
    }

    fn read_model(&mut self, name: &str, place: Place<'a>, config: &model::ModelConfig) {
        if config.default_max_tokens == 0 {
            let problem = format!("model `{name}` generates no token by default");
            self.mistake(place, problem, "give `default_max_tokens` above 0");
        }
        let model = config::Model {
            prompt_price: config.prompt_price,
            completion_price: config.completion_price,
            default_max_tokens: config.default_max_tokens,
        };
        self.objects.models.insert(ids::ModelName::new(name), model);
    }

    fn read_service(&mut self, name: &str, place: Place<'a>, config: &service::ServiceConfig) {
        if config.timeout_ms == 0 {
            let problem = format!("service `{name}` has no time to answer");
            self.mistake(place, problem, "give `timeout_ms` above 0");
        }
        let service = config::Service {
            repeatable: config.repeatable,
            price: config.price,
            timeout: time::Duration::from_millis(config.timeout_ms),
        };
        self.objects.services.insert(ids::ServiceName::new(name), service);
    }

    fn read_endpoint(&mut self, name: &str, place: Place<'a>, config: &endpoint::EndpointConfig) {
        if config.slots == 0 {
            let problem = format!("endpoint `{name}` has no slot");
            self.mistake(place, problem, "give `slots` above 0");
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
                let problem = format!("endpoint `{name}` needs either `models` or `services`");
                self.mistake(place, problem, "give exactly one of the two");
                return;
            }
        };
        let endpoint = config::Endpoint {
            serves,
            slots: config.slots,
            fenced: config.fenced,
            cache_tokens: config.cache_tokens,
        };
        self.objects.endpoints.insert(ids::EndpointName::new(name), endpoint);
    }

    /// Checks references and what the set as a whole must have.
    fn check_whole(&mut self, set: &'a set::Set) {
        let Some(first) = set.files.first() else {
            return;
        };
        let top = Place { file: first, at: 0 };
        if self.deployment.is_none() && self.mistakes.is_empty() {
            let problem = "the set has no deployment".to_owned();
            self.mistake(top, problem, "add `[deployment]` with a `name`");
        }
        if !self.places.keys().any(|(kind, _)| *kind == "region") {
            self.mistake(top, "the set has no region".into(), "add a `[region.NAME]`");
        }
        self.check_workspaces();
        self.check_endpoints();
    }

    fn has(&self, kind: &'static str, name: &str) -> bool {
        self.places.contains_key(&(kind, name.to_owned()))
    }

    fn missing(&mut self, from: (&'static str, String), kind: &'static str, name: &str) {
        if self.has(kind, name) {
            return;
        }
        let Some(place) = self.places.get(&from).copied() else {
            return;
        };
        let problem =
            format!("{} `{}` refers to {kind} `{name}`, which is not there", from.0, from.1);
        let remedy = format!("add `[{kind}.{name}]` or correct the name");
        self.mistake(place, problem, &remedy);
    }

    fn check_workspaces(&mut self) {
        let mut owners: collections::BTreeMap<digest::Digest, ids::WorkspaceName> =
            collections::BTreeMap::new();
        for (name, workspace) in self.objects.workspaces.clone() {
            let from = ("workspace", name.to_string());
            self.missing(from.clone(), "priority", workspace.priority.as_str());
            self.missing(from.clone(), "budget", workspace.budget.as_str());
            for model in &workspace.models {
                self.missing(from.clone(), "model", model.as_str());
            }
            for key in workspace.keys {
                if let Some(other) = owners.insert(key, name.clone()) {
                    let problem = format!("workspaces `{other}` and `{name}` share a key");
                    let place = self.places[&from];
                    self.mistake(place, problem, "give each workspace a key of its own");
                }
            }
        }
    }

    fn check_endpoints(&mut self) {
        for (name, endpoint) in self.objects.endpoints.clone() {
            let from = ("endpoint", name.to_string());
            match &endpoint.serves {
                config::ServedResources::Models(models) => {
                    for model in models {
                        self.missing(from.clone(), "model", model.as_str());
                    }
                }
                config::ServedResources::Services(services) => {
                    for service in services {
                        self.missing(from.clone(), "service", service.as_str());
                    }
                }
            }
        }
    }
}

/// Reads 64 hexadecimal digits.
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
