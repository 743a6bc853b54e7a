//! Deterministic simulation: many instances and the stand-ins of external systems in one process,
//! driven by a virtual clock.
//!
//! Events are handled in order of time, then of scheduling, so that a run depends only on its
//! configuration and seed. The [`checker`] verifies invariants from what the stand-ins and callers
//! observe.

pub mod callers;
pub mod checker;
mod endpoints;
mod log_ops;
pub mod network;
pub mod node;
mod outputs;
mod replies;

use std::collections;
use std::time as std_time;

use flamingotrail_config::config_set;
use flamingotrail_core::ids;
use flamingotrail_core::input;
use flamingotrail_core::journal;
use flamingotrail_core::rng;
use flamingotrail_core::settings;
use flamingotrail_core::time;

use crate::deployment;
use crate::engine;
use crate::instance_list;
use crate::log;
use crate::service;

/// A scheduled event.
#[derive(Clone, Debug)]
pub enum Event {
    /// The next timer of a node is due.
    Wake {
        /// The node.
        node: String,
    },
    /// An input arrives at a node; dropped if that incarnation is gone.
    Deliver {
        /// The node.
        node: String,
        /// Incarnation of the node.
        incarnation: ids::Incarnation,
        /// The input.
        input: Box<input::Input>,
    },
    /// An append arrives at the log.
    Append {
        /// The node that sent it.
        node: String,
        /// Incarnation of the node.
        incarnation: ids::Incarnation,
        /// The stream.
        stream: ids::StreamName,
        /// The entry.
        entry: Box<journal::Entry>,
        /// Whether the node has already been told that the result is unknown.
        late: bool,
    },
    /// A read arrives at the log.
    Read(log_ops::Read),
    /// The pending read with this number is completed.
    CompleteRead(u64),
    /// The next event of an engine is due, such as the end of a step.
    AdvanceEngine {
        /// The endpoint.
        endpoint: String,
    },
    /// A service call arrives at its service.
    ServiceCall(endpoints::ServiceCall),
    /// A chunk of an attempt's text arrives at the owner.
    AttemptText {
        /// The owner of the partition.
        node: String,
        /// The attempt.
        attempt: ids::AttemptId,
        /// Byte offset of the chunk in the complete text.
        at: usize,
        /// The chunk.
        text: String,
    },
    /// A chunk of text arrives at an entry instance.
    EntryText {
        /// The entry instance.
        node: String,
        /// The request.
        request: ids::RequestId,
        /// Byte offset of the chunk in the complete text.
        at: usize,
        /// The chunk.
        text: String,
    },
    /// An event of a caller.
    Caller(callers::CallerEvent),
    /// The scenario step with this number is due.
    ScenarioStep(usize),
}

/// Configuration of a run.
#[derive(Clone, Debug)]
pub struct SimulationConfig {
    /// The deployment.
    pub deployment: deployment::Deployment,
    /// Number of entry instances, distributed over the regions.
    pub entries: usize,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Configuration of the engines; slots and cache size come from the deployment.
    pub engine: engine::EngineConfig,
    /// Duration of a service call.
    pub service_latency: std_time::Duration,
    /// Appends per second that the log accepts.
    pub log_rate: f64,
    /// Time for which the log retains entries.
    pub log_retention: std_time::Duration,
    /// One-way delay to the log.
    pub log_delay: std_time::Duration,
    /// Delay until a change shows in the platform's instance list.
    pub list_lag: std_time::Duration,
    /// Idle time after which a program is ended.
    pub program_idle: std_time::Duration,
    /// Whether to keep trace lines and observations.
    pub keep_trace: bool,
}

impl SimulationConfig {
    /// Returns the default configuration for `deployment`, with two entry instances.
    pub fn new(deployment: deployment::Deployment, seed: u64) -> Self {
        SimulationConfig {
            deployment,
            entries: 2,
            seed,
            engine: engine::EngineConfig::new(),
            service_latency: std_time::Duration::from_millis(30),
            log_rate: 300.0,
            log_retention: std_time::Duration::from_secs(7 * 24 * 3600),
            log_delay: std_time::Duration::from_millis(3),
            list_lag: std_time::Duration::from_secs(2),
            program_idle: std_time::Duration::from_secs(3600),
            keep_trace: true,
        }
    }
}

/// A simulation run.
pub struct Simulation {
    /// Its configuration.
    pub config: SimulationConfig,
    /// Current virtual time.
    pub now: time::Timestamp,
    /// Nodes by name.
    pub nodes: collections::BTreeMap<String, node::Node>,
    /// The platform's log.
    pub log: log::FakeLog<journal::Entry>,
    /// Number of upcoming appends that take effect only after the node has been told that the
    /// result is unknown.
    pub late_appends: u32,
    /// The platform's instance list.
    pub list: instance_list::FakeInstanceList<input::ListedInstance>,
    /// Engines by endpoint.
    pub engines: collections::BTreeMap<String, engine::FakeEngine>,
    /// The fake of all plain services.
    pub service: service::FakeService,
    /// Network between nodes.
    pub network: network::Network,
    /// Callers and their measurements.
    pub callers: callers::Callers,
    /// Invariant checks and measurements.
    pub checker: checker::Checker,
    /// Trace lines.
    pub trace: Vec<String>,
    events: collections::BTreeMap<(time::Timestamp, u64), Event>,
    last_number: u64,
    pending_reads: collections::BTreeMap<u64, log_ops::Read>,
    engine_calls: collections::BTreeMap<u64, endpoints::EngineCall>,
    recent_service_calls: collections::VecDeque<(ids::ProgramId, String)>,
    engine_due: collections::BTreeMap<String, time::Timestamp>,
    rng: rng::Rng,
    last_incarnation: u64,
    observations: collections::VecDeque<checker::Observation>,
    events_at_now: u32,
}

/// Number of consecutive events at one virtual time after which a run is considered stuck.
const MAX_EVENTS_AT_ONCE: u32 = 100_000;

impl Simulation {
    /// Creates a run with all nodes started and the initial configuration published.
    pub fn new(config: SimulationConfig) -> Self {
        let deployment = config.deployment.clone();
        let new_engine = |endpoint: &deployment::EndpointSpec| {
            let engine = engine::EngineConfig {
                slots: usize::try_from(deployment.slots).unwrap_or(1),
                cache_tokens: deployment.cache_tokens,
                ..config.engine.clone()
            };
            (endpoint.name.clone(), engine::FakeEngine::new(engine))
        };
        let mut simulation = Simulation {
            now: time::Timestamp::from_micros(1_000_000),
            nodes: collections::BTreeMap::new(),
            log: log::FakeLog::new(config.log_rate, config.log_retention),
            late_appends: 0,
            list: instance_list::FakeInstanceList::new(config.list_lag),
            engines: deployment.engines().map(new_engine).collect(),
            service: service::FakeService::new(config.service_latency),
            network: network::Network::new(&deployment),
            callers: callers::Callers::default(),
            checker: checker::Checker::new(&deployment),
            trace: Vec::new(),
            events: collections::BTreeMap::new(),
            last_number: 0,
            pending_reads: collections::BTreeMap::new(),
            engine_calls: collections::BTreeMap::new(),
            engine_due: collections::BTreeMap::new(),
            recent_service_calls: collections::VecDeque::new(),
            rng: rng::Rng::new(config.seed),
            last_incarnation: 0,
            observations: collections::VecDeque::new(),
            events_at_now: 0,
            config,
        };
        simulation.publish(0, &deployment.config_toml());
        simulation.add_nodes(&deployment);
        simulation
    }

    fn add_nodes(&mut self, deployment: &deployment::Deployment) {
        for index in 0..self.config.entries {
            let (region, domain) = &deployment.regions[index % deployment.regions.len()];
            self.add_node(&format!("entry-{}", index + 1), region, domain, None);
        }
        for endpoint in &deployment.endpoints {
            let name = format!("at-{}", endpoint.name);
            self.add_node(&name, &endpoint.region, &endpoint.domain, Some(&endpoint.name));
        }
    }

    fn add_node(&mut self, name: &str, region: &str, domain: &str, endpoint: Option<&str>) {
        let listed = input::ListedInstance {
            instance: ids::InstanceName::new(name),
            region: ids::RegionName::new(region),
            domain: ids::DomainName::new(domain),
            endpoint: endpoint.map(ids::EndpointName::new),
            address: name.to_owned(),
            leaving: false,
        };
        self.network.add_node(name, region);
        self.nodes.insert(name.to_owned(), node::Node::new(listed.clone()));
        // Dated at time zero so that the initial list is visible at once; only changes lag.
        self.list.update(time::Timestamp::ZERO, |rows| {
            rows.insert(name.to_owned(), listed);
        });
        self.start_node(name);
    }

    /// Publishes a configuration based on version `base`, as an operator does.
    pub fn publish(&mut self, base: u64, config_toml: &str) {
        let source = config_set::ConfigSet::new("objects.toml", config_toml).to_toml();
        let nonce = ids::Nonce(self.rng.next_u64());
        let writer = ids::Peer {
            instance: ids::InstanceName::new("operator"),
            incarnation: ids::Incarnation(nonce.0),
        };
        let base = ids::ConfigVersion(base);
        let body = journal::Body::Publication { base, author: "operator".to_owned(), source };
        let entry = journal::Entry { nonce, writer, body };
        self.log.append(self.now, "config", entry);
        self.wake_pending_reads("config");
    }

    /// Returns the settings used by every node.
    pub fn settings(&self) -> settings::Settings {
        let key = flamingotrail_core::digest::Hasher::new("rig").finish();
        let mut settings = settings::Settings::new(key);
        settings.log_retention = self.config.log_retention;
        settings.program_idle_timeout = self.config.program_idle;
        settings.list_interval = std_time::Duration::from_secs(2);
        settings
    }

    /// Adds a line with the current time to the trace, if the trace is kept.
    pub fn add_trace(&mut self, line: impl FnOnce() -> String) {
        if self.config.keep_trace {
            let at = self.now.as_micros() / 1000;
            self.trace.push(format!("{at:>9} {}", line()));
        }
    }

    /// Schedules an event at a time, or now if the time has passed.
    pub fn schedule(&mut self, at: time::Timestamp, event: Event) {
        self.last_number += 1;
        self.events.insert((at.max(self.now), self.last_number), event);
    }

    /// Schedules an event after a delay.
    pub fn schedule_after(&mut self, delay: std_time::Duration, event: Event) {
        self.schedule(self.now.after(delay), event);
    }

    /// Handles events until `until` or until none are left. Stops early at a scenario step and
    /// returns its number.
    pub fn run_until(&mut self, until: time::Timestamp) -> Option<usize> {
        while let Some(((at, _), _)) = self.events.first_key_value() {
            if *at > until {
                break;
            }
            let Some(((at, _), event)) = self.events.pop_first() else {
                break;
            };
            self.events_at_now = if at == self.now { self.events_at_now + 1 } else { 0 };
            self.now = at;
            if self.events_at_now > MAX_EVENTS_AT_ONCE {
                // Some component reschedules itself without any delay.
                self.add_violation(format!("virtual time does not advance; last event: {event:?}"));
                self.events.clear();
                return None;
            }
            if let Event::ScenarioStep(number) = event {
                return Some(number);
            }
            self.handle(event);
        }
        self.now = self.now.max(until);
        None
    }

    /// Returns the time of the next event.
    pub fn next_event(&self) -> Option<time::Timestamp> {
        self.events.first_key_value().map(|((at, _), _)| *at)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Wake { node } => self.wake_node(&node),
            Event::Deliver { node, incarnation, input } => {
                self.deliver(&node, incarnation, *input);
            }
            Event::Append { node, incarnation, stream, entry, late } => {
                self.handle_append(&node, incarnation, stream, *entry, late);
            }
            Event::Read(read) => self.handle_read(read),
            Event::CompleteRead(number) => self.complete_read(number),
            Event::AdvanceEngine { endpoint } => self.advance_engine(&endpoint),
            Event::ServiceCall(call) => self.run_service_call(call),
            Event::AttemptText { node, attempt, at, text } => {
                self.handle_attempt_text(&node, &attempt, at, &text);
            }
            Event::EntryText { node, request, at, text } => {
                self.handle_entry_text(&node, request, at, &text);
            }
            Event::Caller(event) => self.handle_caller_event(event),
            Event::ScenarioStep(_) => {}
        }
    }

    /// Removes and returns the oldest observation; scenarios use them as triggers.
    pub fn next_observation(&mut self) -> Option<checker::Observation> {
        self.observations.pop_front()
    }

    pub(crate) fn observe(&mut self, observation: checker::Observation) {
        if self.config.keep_trace {
            self.add_trace(|| format!("observed {observation:?}"));
            self.observations.push_back(observation);
        }
    }

    /// Records a violated invariant, which fails the run.
    pub(crate) fn add_violation(&mut self, text: String) {
        self.add_trace(|| format!("VIOLATION {text}"));
        let at = self.now.as_micros() / 1000;
        self.checker.violations.push(format!("at {at} ms: {text}"));
    }
}
