//! Nodes: simulated processes that can be killed, restarted, paused, resumed and drained.

use std::collections;

use flamingotrail_config::TomlConfigParser;
use flamingotrail_core::ids;
use flamingotrail_core::input;
use flamingotrail_core::journal;
use flamingotrail_core::output;
use flamingotrail_core::relay;
use flamingotrail_core::settings;
use flamingotrail_core::time;
use flamingotrail_core::world;

use crate::simulation;
use crate::simulation::checker;

/// One simulated process.
pub struct Node {
    /// Its entry in the platform's instance list.
    pub listed: input::ListedInstance,
    /// Its world; `None` while it is down.
    pub world: Option<world::World>,
    /// Its current or last incarnation.
    pub incarnation: ids::Incarnation,
    /// Inputs received while it is paused; `None` while it is not paused.
    pub held_inputs: Option<Vec<input::Input>>,
    /// Kind of output before which it pauses; see [`checker::output_kind`].
    pub pause_at: Option<String>,
    /// Outputs to process once it is resumed.
    pub held_outputs: Vec<output::Output>,
    /// Text of the attempts that it relays.
    pub attempt_texts: relay::AttemptTextBuffers,
    /// Text that its callers have received.
    pub caller_texts: relay::CallerTextBuffers,
    /// When it was told to drain.
    pub draining_since: Option<time::Timestamp>,
    /// Newest configuration version that it has used.
    pub config_version: ids::ConfigVersion,
    /// Time of its scheduled [`simulation::Event::Wake`].
    pub wake_at: Option<time::Timestamp>,
    /// Number of ticks.
    pub ticks: u64,
}

impl Node {
    /// Returns a node that is down.
    pub fn new(listed: input::ListedInstance) -> Self {
        Node {
            listed,
            world: None,
            incarnation: ids::Incarnation(0),
            held_inputs: None,
            pause_at: None,
            held_outputs: Vec::new(),
            attempt_texts: relay::AttemptTextBuffers::default(),
            caller_texts: relay::CallerTextBuffers::default(),
            draining_since: None,
            config_version: ids::ConfigVersion(0),
            wake_at: None,
            ticks: 0,
        }
    }

    /// Returns whether it is up.
    pub fn is_up(&self) -> bool {
        self.world.is_some()
    }
}

impl simulation::Simulation {
    /// Starts a node that is down.
    pub fn start_node(&mut self, name: &str) {
        self.last_incarnation += 1;
        let incarnation = ids::Incarnation(self.last_incarnation);
        let settings = self.settings();
        let seed = self.rng.next_u64();
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        let endpoint = node.listed.endpoint.clone();
        let role = match endpoint {
            Some(_) => settings::Role::Endpoint,
            None => settings::Role::Entry,
        };
        let identity = settings::Identity {
            peer: ids::Peer { instance: ids::InstanceName::new(name), incarnation },
            role,
            region: node.listed.region.clone(),
            domain: node.listed.domain.clone(),
            endpoint,
        };
        let parser = Box::new(TomlConfigParser::new());
        let listed = node.listed.clone();
        *node = Node::new(listed.clone());
        node.incarnation = incarnation;
        node.world = Some(world::World::new(identity, settings, parser, seed));
        self.list.update(self.now, |rows| {
            rows.insert(name.to_owned(), listed);
        });
        self.add_trace(|| format!("start {name} incarnation={incarnation}"));
        self.tick(name, Vec::new());
    }

    /// Kills a node. Its state, held inputs and held outputs are lost.
    pub fn kill_node(&mut self, name: &str) {
        self.add_trace(|| format!("kill {name}"));
        self.drop_calls_of(name);
        if let Some(node) = self.nodes.get_mut(name) {
            node.world = None;
            node.held_inputs = None;
            node.held_outputs.clear();
        }
        self.disconnect_callers(name);
    }

    /// Pauses a node. Inputs that arrive are held until it is resumed.
    pub fn pause_node(&mut self, name: &str) {
        self.add_trace(|| format!("pause {name}"));
        if let Some(node) = self.nodes.get_mut(name).filter(|node| node.is_up()) {
            node.held_inputs.get_or_insert_default();
        }
    }

    /// Resumes a paused node: it processes its held outputs, then its due timers, then the held
    /// inputs.
    pub fn resume_node(&mut self, name: &str) {
        self.add_trace(|| format!("resume {name}"));
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        node.pause_at = None;
        let inputs = node.held_inputs.take().unwrap_or_default();
        let outputs = std::mem::take(&mut node.held_outputs);
        self.process_outputs(name, outputs);
        self.tick(name, Vec::new());
        for input in inputs {
            self.tick(name, vec![input]);
        }
    }

    /// Drains a node. The instance list marks it as leaving, with the usual lag; the node itself
    /// is told at once unless `by_list_only` is set.
    pub fn drain_node(&mut self, name: &str, by_list_only: bool) {
        self.add_trace(|| format!("drain {name} by_list_only={by_list_only}"));
        self.list.update(self.now, |rows| {
            if let Some(row) = rows.get_mut(name) {
                row.leaving = true;
            }
        });
        let now = self.now;
        if let Some(node) = self.nodes.get_mut(name) {
            node.draining_since = Some(now);
        }
        if !by_list_only {
            self.deliver_now(name, input::Input::Drain);
        }
    }

    pub(super) fn wake_node(&mut self, name: &str) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        if node.wake_at.is_none_or(|at| at > now) {
            return;
        }
        node.wake_at = None;
        if node.held_inputs.is_none() {
            self.tick(name, Vec::new());
        }
    }

    pub(super) fn deliver(
        &mut self,
        name: &str,
        incarnation: ids::Incarnation,
        input: input::Input,
    ) {
        let current = self.nodes.get(name).map(|node| node.incarnation);
        if current == Some(incarnation) {
            self.deliver_now(name, input);
        }
    }

    /// Delivers an input to the current incarnation of a node.
    pub(super) fn deliver_now(&mut self, name: &str, input: input::Input) {
        let Some(node) = self.nodes.get_mut(name).filter(|node| node.is_up()) else {
            return;
        };
        match &mut node.held_inputs {
            Some(inputs) => inputs.push(input),
            None => self.tick(name, vec![input]),
        }
    }

    /// Runs a tick of a node and processes its outputs.
    pub(super) fn tick(&mut self, name: &str, inputs: Vec<input::Input>) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        let Some(world) = &mut node.world else {
            return;
        };
        node.ticks += 1;
        let start = std::time::Instant::now();
        let outputs = world.tick(now, inputs);
        self.checker.record_tick(start.elapsed());
        let version = world.tables.configuration.version();
        let has_reverted = version < node.config_version;
        node.config_version = node.config_version.max(version);
        if has_reverted {
            self.add_violation(format!("{name} reverted to configuration version {version}"));
        }
        self.pause_or_process_outputs(name, outputs);
        self.schedule_wake(name);
    }

    fn pause_or_process_outputs(&mut self, name: &str, outputs: Vec<output::Output>) {
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        let must_pause = node
            .pause_at
            .as_ref()
            .is_some_and(|kind| outputs.iter().any(|output| checker::output_kind(output) == kind));
        if must_pause {
            node.pause_at = None;
            node.held_inputs = Some(Vec::new());
            node.held_outputs = outputs;
            self.add_trace(|| format!("pause {name}, holding its outputs"));
            return;
        }
        self.process_outputs(name, outputs);
    }

    fn schedule_wake(&mut self, name: &str) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        let Some(due) = node.world.as_ref().and_then(world::World::next_due) else {
            return;
        };
        let due = due.max(now);
        if node.wake_at.is_some_and(|at| at <= due && at > now) {
            return;
        }
        node.wake_at = Some(due);
        self.schedule(due, simulation::Event::Wake { node: name.to_owned() });
    }

    /// Returns the name of the node that owns `partition` according to the log.
    pub fn owner_of(&self, partition: &ids::Partition) -> Option<String> {
        let entries = self.log.entries(partition.stream().as_str());
        let epochs = entries.iter().filter_map(|(offset, entry)| match &entry.body {
            journal::Body::Claim => Some((*offset, entry)),
            journal::Body::Records { epoch, .. } => Some((epoch.0, entry)),
            _ => None,
        });
        // Retention may have removed the claim itself; records written under it name its epoch.
        let newest = epochs.max_by_key(|(epoch, _)| *epoch);
        newest.map(|(_, entry)| entry.writer.instance.to_string())
    }

    /// Returns the names of all nodes.
    pub fn node_names(&self) -> collections::BTreeSet<String> {
        self.nodes.keys().cloned().collect()
    }
}

impl simulation::Simulation {
    /// Pauses a node, holding its outputs, the next time that a tick yields an output of `kind`.
    pub fn pause_before(&mut self, name: &str, kind: &str) {
        self.add_trace(|| format!("{name} will pause before {kind}"));
        if let Some(node) = self.nodes.get_mut(name).filter(|node| node.is_up()) {
            node.pause_at = Some(kind.to_owned());
        }
    }
}
