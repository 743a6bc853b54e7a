//! Many worlds, the stand-ins and a virtual clock in one process.
//!
//! Events are handled in order of time, then of arrival, so that a run is a function of its set-up
//! and seed. The [`checker`] checks what must always hold from what the stand-ins and callers saw.

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
use crate::list;
use crate::log;
use crate::tools;

/// Something that is to happen.
#[derive(Clone, Debug)]
pub enum Event {
    /// A node's next row is due.
    Wake {
        /// The node.
        node: String,
    },
    /// An input reaches a start of a node.
    Deliver {
        /// The node.
        node: String,
        /// Its start.
        incarnation: ids::Incarnation,
        /// The input.
        input: Box<input::Input>,
    },
    /// An append reaches the log.
    Append {
        /// The node that sent it.
        node: String,
        /// Its start.
        incarnation: ids::Incarnation,
        /// The stream.
        stream: ids::StreamName,
        /// The entry.
        entry: Box<journal::Entry>,
        /// Whether its answer was given up already.
        late: bool,
    },
    /// A read reaches the log.
    Read(log_ops::Read),
    /// A read that waits, by number, is answered.
    CompleteRead(u64),
    /// An engine's step ends.
    AdvanceEngine {
        /// The endpoint.
        endpoint: String,
    },
    /// A service call reaches its runner.
    ToolCall(endpoints::ToolCall),
    /// A piece of an attempt's text reaches its owner.
    AttemptText {
        /// The owner.
        node: String,
        /// The attempt.
        attempt: ids::AttemptId,
        /// Where it starts.
        at: usize,
        /// The piece.
        text: String,
    },
    /// A piece of text reaches an entry.
    EntryText {
        /// The entry.
        node: String,
        /// The request.
        request: ids::RequestId,
        /// Where it starts.
        at: usize,
        /// The piece.
        text: String,
    },
    /// A caller goes on.
    Caller(callers::CallerEvent),
    /// A step of the scenario, by number.
    ScenarioStep(usize),
}

/// Limits of a run.
#[derive(Clone, Debug)]
pub struct SimulationConfig {
    /// The deployment.
    pub deployment: deployment::Deployment,
    /// Entries, spread over the regions.
    pub entries: usize,
    /// Seed.
    pub seed: u64,
    /// What engines can do, besides slots and cache.
    pub engine: engine::EngineConfig,
    /// How long a service call takes.
    pub tool_latency: std_time::Duration,
    /// Appends a second that the log takes.
    pub log_rate: f64,
    /// How long the log keeps entries.
    pub log_retention: std_time::Duration,
    /// One-way delay to the log.
    pub log_delay: std_time::Duration,
    /// Lag of the platform's list.
    pub list_lag: std_time::Duration,
    /// Idle time after which a program counts as ended.
    pub program_idle: std_time::Duration,
    /// Whether callers' and engines' events are kept for traces.
    pub keep_trace: bool,
}

impl SimulationConfig {
    /// A run of `deployment` with two entries.
    pub fn new(deployment: deployment::Deployment, seed: u64) -> Self {
        SimulationConfig {
            deployment,
            entries: 2,
            seed,
            engine: engine::EngineConfig::new(),
            tool_latency: std_time::Duration::from_millis(30),
            log_rate: 300.0,
            log_retention: std_time::Duration::from_secs(7 * 24 * 3600),
            log_delay: std_time::Duration::from_millis(3),
            list_lag: std_time::Duration::from_secs(2),
            program_idle: std_time::Duration::from_secs(3600),
            keep_trace: true,
        }
    }
}

/// A run.
pub struct Simulation {
    /// Its limits.
    pub config: SimulationConfig,
    /// The time.
    pub now: time::Timestamp,
    /// Nodes by name.
    pub nodes: collections::BTreeMap<String, node::Node>,
    /// The platform's log.
    pub log: log::FakeLog<journal::Entry>,
    /// Appends to come that take effect only after their answer was given up.
    pub late_appends: u32,
    /// The platform's list.
    pub list: list::FakeList<input::ListedInstance>,
    /// Engines by endpoint.
    pub engines: collections::BTreeMap<String, engine::FakeEngine>,
    /// The services' common state.
    pub tools: tools::FakeTools,
    /// Links.
    pub network: network::Network,
    /// Callers.
    pub callers: callers::Callers,
    /// What must always hold.
    pub checker: checker::Checker,
    /// Lines of the trace.
    pub trace: Vec<String>,
    events: collections::BTreeMap<(time::Timestamp, u64), Event>,
    numbers: u64,
    readers: collections::BTreeMap<u64, log_ops::Read>,
    engine_calls: collections::BTreeMap<u64, endpoints::EngineCall>,
    tool_calls: collections::VecDeque<(ids::ProgramId, String)>,
    engine_due: collections::BTreeMap<String, time::Timestamp>,
    rng: rng::Rng,
    starts: u64,
    fired: collections::VecDeque<checker::Observation>,
    busy: u32,
}

/// Events at one point in time after which a run counts as stuck.
const MAX_EVENTS_AT_ONCE: u32 = 100_000;

impl Simulation {
    /// A run with all nodes started and the first configuration published.
    pub fn new(config: SimulationConfig) -> Self {
        let deployment = config.deployment.clone();
        let engine_of = |endpoint: &deployment::EndpointSpec| {
            let engine = engine::EngineConfig {
                slots: usize::try_from(deployment.slots).unwrap_or(1),
                cache_tokens: deployment.cache_tokens,
                ..config.engine.clone()
            };
            (endpoint.name.clone(), engine::FakeEngine::new(engine))
        };
        let mut rig = Simulation {
            now: time::Timestamp::from_micros(1_000_000),
            nodes: collections::BTreeMap::new(),
            log: log::FakeLog::new(config.log_rate, config.log_retention),
            late_appends: 0,
            list: list::FakeList::new(config.list_lag),
            engines: deployment.engines().map(engine_of).collect(),
            tools: tools::FakeTools::new(config.tool_latency),
            network: network::Network::new(&deployment),
            callers: callers::Callers::default(),
            checker: checker::Checker::new(&deployment),
            trace: Vec::new(),
            events: collections::BTreeMap::new(),
            numbers: 0,
            readers: collections::BTreeMap::new(),
            engine_calls: collections::BTreeMap::new(),
            engine_due: collections::BTreeMap::new(),
            tool_calls: collections::VecDeque::new(),
            rng: rng::Rng::new(config.seed),
            starts: 0,
            fired: collections::VecDeque::new(),
            busy: 0,
            config,
        };
        rig.publish(0, &deployment.objects_toml());
        rig.add_nodes(&deployment);
        rig
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
        // The first list is there from the start: only changes lag.
        self.list.change(time::Timestamp::ZERO, |rows| {
            rows.insert(name.to_owned(), listed);
        });
        self.start_node(name);
    }

    /// Appends a publication with this base, as an operator does.
    pub fn publish(&mut self, base: u64, objects: &str) {
        let source = config_set::ConfigSet::new("objects.toml", objects).to_toml();
        let nonce = ids::Nonce(self.rng.next_u64());
        let writer = ids::Peer {
            instance: ids::InstanceName::new("operator"),
            incarnation: ids::Incarnation(nonce.0),
        };
        let base = ids::ConfigVersion(base);
        let body = journal::Body::Publication { base, author: "operator".to_owned(), source };
        let entry = journal::Entry { nonce, writer, body };
        self.log.append(self.now, "config", entry);
        self.answer_readers("config");
    }

    /// Settings of every node.
    pub fn settings(&self) -> settings::Settings {
        let key = flamingotrail_core::digest::Hasher::new("rig").finish();
        let mut settings = settings::Settings::new(key);
        settings.log_retention = self.config.log_retention;
        settings.program_idle_timeout = self.config.program_idle;
        settings.list_interval = std_time::Duration::from_secs(2);
        settings
    }

    /// Adds a line to the trace.
    pub fn add_trace(&mut self, line: impl FnOnce() -> String) {
        if self.config.keep_trace {
            let at = self.now.as_micros() / 1000;
            self.trace.push(format!("{at:>9} {}", line()));
        }
    }

    /// Schedules an event.
    pub fn schedule(&mut self, at: time::Timestamp, event: Event) {
        self.numbers += 1;
        self.events.insert((at.max(self.now), self.numbers), event);
    }

    /// Schedules an event after a span.
    pub fn schedule_after(&mut self, span: std_time::Duration, event: Event) {
        self.schedule(self.now.after(span), event);
    }

    /// Handles events until `until`, or until there are none. Returns the numbers of scenario steps
    /// that were met, in order, and stops at each.
    pub fn run_until(&mut self, until: time::Timestamp) -> Option<usize> {
        while let Some(((at, _), _)) = self.events.first_key_value() {
            if *at > until {
                break;
            }
            let Some(((at, _), event)) = self.events.pop_first() else {
                break;
            };
            self.busy = if at == self.now { self.busy + 1 } else { 0 };
            self.now = at;
            if self.busy > MAX_EVENTS_AT_ONCE {
                // Something acts again and again without waiting.
                self.add_violation(format!("time stands still with {event:?}"));
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

    /// Time of the next event.
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
                self.take_append(&node, incarnation, stream, *entry, late);
            }
            Event::Read(read) => self.take_read(read),
            Event::CompleteRead(number) => self.end_read(number),
            Event::AdvanceEngine { endpoint } => self.advance_engine(&endpoint),
            Event::ToolCall(call) => self.take_tool_call(call),
            Event::AttemptText { node, attempt, at, text } => {
                self.take_attempt_text(&node, &attempt, at, &text);
            }
            Event::EntryText { node, request, at, text } => {
                self.take_entry_text(&node, request, at, &text);
            }
            Event::Caller(event) => self.take_caller_event(event),
            Event::ScenarioStep(_) => {}
        }
    }

    /// Takes the next thing that was seen, for triggers of scenarios.
    pub fn next_observation(&mut self) -> Option<checker::Observation> {
        self.fired.pop_front()
    }

    pub(crate) fn observe(&mut self, sight: checker::Observation) {
        if self.config.keep_trace {
            self.add_trace(|| format!("saw {sight:?}"));
            self.fired.push_back(sight);
        }
    }

    /// Fails the run with what was seen.
    pub(crate) fn add_violation(&mut self, text: String) {
        self.add_trace(|| format!("VIOLATION {text}"));
        let at = self.now.as_micros() / 1000;
        self.checker.violations.push(format!("at {at} ms: {text}"));
    }
}
