//! Runs a scenario and checks its expectations.

use std::collections;
use std::time as std_time;

use flamingotrail_core::ids;

use crate::scenario::schema;
use crate::simulation;
use crate::simulation::callers;
use crate::simulation::checker;

/// A scenario could not be parsed or run.
#[derive(Clone, Debug, thiserror::Error, PartialEq, Eq)]
pub enum ScenarioError {
    /// The text does not match the scenario schema.
    #[error("the file is not a valid scenario: {0}; docs/SCENARIOS.md describes the format")]
    Parse(String),
    /// The scenario refers to an unknown name.
    #[error("unknown name `{0}`; docs/SCENARIOS.md lists the valid names")]
    UnknownName(String),
}

/// Result of a scenario run.
#[derive(Clone, Debug, Default)]
pub struct ScenarioReport {
    /// Name of the scenario.
    pub name: String,
    /// Violated invariants and unmet expectations.
    pub failures: Vec<String>,
    /// Event trace of the run.
    pub trace: Vec<String>,
    /// Number of actions performed, mostly faults.
    pub faults: u32,
    /// Number of attempts that started after they were superseded; see
    /// [`checker::Checker::superseded_starts`].
    pub superseded_starts: u32,
    /// Number of refusals by kind, over all programs.
    pub refusals: collections::BTreeMap<String, u32>,
    /// Latencies of non-repeatable calls, in microseconds.
    pub effect_times: Vec<u64>,
    /// Number of log appends.
    pub appends: u64,
}

/// Parses a scenario from TOML.
///
/// # Errors
///
/// Returns [`ScenarioError::Parse`] when the text does not match the schema.
pub fn parse(text: &str) -> Result<schema::Scenario, ScenarioError> {
    toml::from_str(text).map_err(|error| ScenarioError::Parse(error.to_string()))
}

/// Formats a scenario as TOML.
pub fn to_toml(scenario: &schema::Scenario) -> String {
    // A scenario holds only numbers, strings and lists, so serialization to TOML cannot fail.
    toml::to_string_pretty(scenario).unwrap_or_default()
}

/// State of a running scenario.
struct Run<'a> {
    scenario: &'a schema::Scenario,
    simulation: simulation::Simulation,
    /// Indices of steps whose trigger has not occurred yet.
    awaiting_trigger: collections::BTreeSet<usize>,
    /// Scheduled recoveries by event number.
    recoveries: collections::BTreeMap<usize, Recovery>,
    /// Partition claims observed so far.
    claims: usize,
    /// Engine crashes observed so far.
    crashes: u32,
    /// Actions performed so far.
    faults: u32,
}

/// Action that ends a temporary fault.
#[derive(Clone, Debug)]
enum Recovery {
    StartNode(String),
    ResumeNode(String),
    RestoreNetwork(String, String),
    RestoreLog,
    RestoreList,
}

/// Runs a scenario.
///
/// # Errors
///
/// Returns [`ScenarioError::UnknownName`] when the scenario refers to an unknown name.
pub fn run(scenario: &schema::Scenario) -> Result<ScenarioReport, ScenarioError> {
    let deployment = scenario.setup.deployment();
    let deployment =
        deployment.ok_or_else(|| ScenarioError::UnknownName(scenario.setup.deployment.clone()))?;
    let config = scenario.setup.simulation_config(deployment.clone(), scenario.seed);
    let mut simulation = simulation::Simulation::new(config);
    simulation.network.loss_rate = scenario.setup.loss;
    simulation.network.duplicate_rate = scenario.setup.repeats;
    simulation.network.max_jitter = std_time::Duration::from_millis(scenario.setup.jitter_ms);
    for (number, program) in scenario.programs.iter().enumerate() {
        let workload = program.to_workload(number, &deployment);
        let workspace =
            deployment.workspaces.iter().find(|workspace| workspace.name == workload.workspace);
        let workspace =
            workspace.ok_or_else(|| ScenarioError::UnknownName(workload.workspace.clone()))?;
        let caller_config = callers::CallerConfig {
            history: program.history,
            max_sends: program.sendings,
            deadline: std_time::Duration::from_millis(program.deadline_ms),
            ends_programs: program.ends,
            abandons_if_overloaded: false,
        };
        simulation.add_caller(&program.name, &workload, &workspace.token, caller_config);
    }
    let mut run = Run {
        scenario,
        simulation,
        awaiting_trigger: collections::BTreeSet::new(),
        recoveries: collections::BTreeMap::new(),
        claims: 0,
        crashes: 0,
        faults: 0,
    };
    run.schedule_steps();
    run.run_until_settled()?;
    Ok(run.finish())
}

/// First event number of recoveries; lower numbers are step indices.
const RECOVERY_EVENT_BASE: usize = 1_000_000;

impl Run<'_> {
    fn schedule_steps(&mut self) {
        for (number, step) in self.scenario.steps.iter().enumerate() {
            if step.on.is_some() {
                self.awaiting_trigger.insert(number);
            } else {
                let delay = std_time::Duration::from_millis(step.at_ms);
                self.simulation.schedule_after(delay, simulation::Event::ScenarioStep(number));
            }
        }
    }

    /// Runs until every program has ended and the settling time has passed, or the time limit is
    /// hit.
    fn run_until_settled(&mut self) -> Result<(), ScenarioError> {
        const MILLISECOND: std_time::Duration = std_time::Duration::from_millis(1);
        let limit =
            self.simulation.now.after(std_time::Duration::from_secs(self.scenario.setup.limit_s));
        let settle = std_time::Duration::from_secs(self.scenario.setup.settle_s);
        let mut settled_at = None;
        while self.simulation.now < limit {
            let all_ended =
                self.simulation.callers.rows.iter().all(|caller| caller.outcome.is_some());
            let is_idle = all_ended && self.recoveries.is_empty();
            let deadline = *settled_at.get_or_insert(self.simulation.now.after(settle));
            if !is_idle {
                settled_at = None;
            } else if self.simulation.now >= deadline {
                return Ok(());
            }
            // While steps wait for a trigger, observations are checked after every event.
            let until = match self.awaiting_trigger.is_empty() {
                true => self.simulation.now.after(std_time::Duration::from_millis(100)),
                false => {
                    let next = self.simulation.next_event().unwrap_or(self.simulation.now);
                    next.max(self.simulation.now.after(MILLISECOND / 1000))
                }
            };
            if let Some(number) = self.simulation.run_until(until.min(limit)) {
                self.perform_event(number)?;
            }
            self.process_observations();
        }
        Ok(())
    }

    /// Schedules the steps whose trigger has been observed.
    fn process_observations(&mut self) {
        while let Some(observation) = self.simulation.next_observation() {
            let trigger = self.trigger_of(&observation);
            let triggered: Vec<usize> = self
                .awaiting_trigger
                .iter()
                .copied()
                .filter(|number| self.scenario.steps[*number].on.as_deref() == Some(&trigger))
                .collect();
            for number in triggered {
                self.awaiting_trigger.remove(&number);
                let delay = std_time::Duration::from_millis(self.scenario.steps[number].at_ms);
                self.simulation.schedule_after(delay, simulation::Event::ScenarioStep(number));
            }
        }
    }

    /// Returns the name of the caller that runs `program`, or an empty string.
    fn caller_name(&self, program: &ids::ProgramId) -> String {
        let rows = self.simulation.callers.rows.iter();
        let mut found = rows.filter(|caller| caller.program.as_ref() == Some(program));
        found.next().map(|caller| caller.name.clone()).unwrap_or_default()
    }

    /// Returns the trigger that matches an observation, and updates the counters.
    fn trigger_of(&mut self, observation: &checker::Observation) -> String {
        match observation {
            checker::Observation::CallStarted { program, turn } => {
                format!("started:{}:{turn}", self.caller_name(program))
            }
            checker::Observation::IntentAppended { program } => {
                format!("intent:{}", self.caller_name(program))
            }
            checker::Observation::CallCompleted { caller, calls } => {
                format!("answered:{caller}:{calls}")
            }
            checker::Observation::ClaimAppended { .. } => {
                self.claims += 1;
                format!("claimed:{}", self.claims)
            }
            checker::Observation::EngineCrashed { .. } => {
                self.crashes += 1;
                format!("crashed:{}", self.crashes)
            }
        }
    }

    /// Resolves the target of a step to a node name. Returns `None` if the program has no such node
    /// at the moment.
    fn resolve_node(&self, step: &schema::Step) -> Result<Option<String>, ScenarioError> {
        let name = step.node.clone().unwrap_or_default();
        let unknown = || ScenarioError::UnknownName(name.clone());
        if self.simulation.nodes.contains_key(&name) {
            return Ok(Some(name));
        }
        let (role, caller_name) = name.split_once(':').ok_or_else(unknown)?;
        let rows = self.simulation.callers.rows.iter();
        let caller = rows.clone().find(|row| row.name == caller_name).ok_or_else(unknown)?;
        match role {
            "owner" => {
                let program = caller.program.as_ref();
                Ok(program.and_then(|program| self.simulation.owner_of(&program.home)))
            }
            "runner" => Ok(self.simulation.runner_of(caller)),
            "entry" => Ok(caller.entry()),
            _ => Err(unknown()),
        }
    }

    /// Performs the step or the recovery with this event number.
    fn perform_event(&mut self, number: usize) -> Result<(), ScenarioError> {
        if number >= RECOVERY_EVENT_BASE {
            if let Some(recovery) = self.recoveries.remove(&number) {
                self.recover(recovery);
            }
            return Ok(());
        }
        let mut step = self.scenario.steps[number].clone();
        if step.node.is_some() && !self.is_region(&step) {
            step.node = self.resolve_node(&step)?;
            if step.node.is_none() {
                self.simulation.add_trace(|| format!("step {} has no target", number + 1));
                return Ok(());
            }
        }
        self.faults += 1;
        let recovery = self.perform_action(&step)?;
        if let Some(recovery) = recovery.filter(|_| step.lasting_ms > 0) {
            let duration = std_time::Duration::from_millis(step.lasting_ms);
            self.recoveries.insert(RECOVERY_EVENT_BASE + number, recovery);
            self.simulation.schedule_after(
                duration,
                simulation::Event::ScenarioStep(RECOVERY_EVENT_BASE + number),
            );
        }
        Ok(())
    }

    /// Performs the action of a step. Returns the recovery that ends the fault, if there is one.
    fn perform_action(&mut self, step: &schema::Step) -> Result<Option<Recovery>, ScenarioError> {
        let recovery = match step.action.as_str() {
            "kill" => {
                let node = required_node(step)?;
                self.simulation.kill_node(&node);
                Some(Recovery::StartNode(node))
            }
            "pause" => {
                let node = required_node(step)?;
                match &step.before {
                    Some(kind) => self.simulation.pause_before(&node, kind),
                    None => self.simulation.pause_node(&node),
                }
                Some(Recovery::ResumeNode(node))
            }
            "drain" => {
                let node = required_node(step)?;
                self.simulation.drain_node(&node, false);
                Some(Recovery::StartNode(node))
            }
            "list-leaving" => {
                let node = required_node(step)?;
                self.simulation.drain_node(&node, true);
                None
            }
            "cut" => {
                let first = required_node(step)?;
                let second = step.with.clone().unwrap_or_else(|| "*".to_owned());
                self.simulation.network.set_cut(&first, &second, true);
                Some(Recovery::RestoreNetwork(first, second))
            }
            "log-outage" => {
                self.simulation.set_log_outage(true);
                Some(Recovery::RestoreLog)
            }
            "list-outage" => {
                self.simulation.list.unavailable = true;
                Some(Recovery::RestoreList)
            }
            "lose-answers" => {
                self.simulation.log.responses_to_drop = step.count.max(1);
                None
            }
            "late-appends" => {
                self.simulation.late_appends = step.count.max(1);
                None
            }
            "publish" => {
                let mut deployment = self.simulation.config.deployment.clone();
                if let Some(weight) = step.weight {
                    deployment.workspaces[0].weight = weight;
                }
                self.simulation.publish(step.base, &deployment.config_toml());
                None
            }
            "publish-invalid" => {
                self.simulation.publish(step.base, "[workspace.broken]\nweight = 0\n");
                None
            }
            "crash-engine" => {
                let node = required_node(step)?;
                let endpoint = node.trim_start_matches("at-").to_owned();
                self.simulation.crash_engine(&endpoint);
                None
            }
            other => return Err(ScenarioError::UnknownName(other.to_owned())),
        };
        Ok(recovery)
    }

    fn is_region(&self, step: &schema::Step) -> bool {
        let regions = &self.simulation.config.deployment.regions;
        regions.iter().any(|(region, _)| step.node.as_ref() == Some(region))
    }

    fn recover(&mut self, recovery: Recovery) {
        match recovery {
            Recovery::StartNode(node) => {
                if self.simulation.nodes.get(&node).is_some_and(simulation::node::Node::is_up) {
                    // The drain has not finished yet.
                    self.simulation.kill_node(&node);
                }
                self.simulation.start_node(&node);
            }
            Recovery::ResumeNode(node) => self.simulation.resume_node(&node),
            Recovery::RestoreNetwork(first, second) => {
                self.simulation.network.set_cut(&first, &second, false)
            }
            Recovery::RestoreLog => self.simulation.set_log_outage(false),
            Recovery::RestoreList => self.simulation.list.unavailable = false,
        }
    }

    fn finish(mut self) -> ScenarioReport {
        self.process_observations();
        self.simulation.check_quiescent();
        let mut failures = self.simulation.checker.violations.clone();
        for number in &self.awaiting_trigger {
            let on = self.scenario.steps[*number].on.clone().unwrap_or_default();
            failures
                .push(format!("step {} was not performed: trigger {on} did not occur", number + 1));
        }
        for caller in &self.simulation.callers.rows {
            if caller.outcome.is_none() {
                failures.push(format!("{} did not end", caller.name));
            }
        }
        for expect in &self.scenario.expectations {
            self.check_expectation(expect, &mut failures);
        }
        let mut refusals = collections::BTreeMap::new();
        for caller in &self.simulation.callers.rows {
            for (kind, count) in &caller.refusals {
                *refusals.entry((*kind).to_owned()).or_default() += count;
            }
        }
        ScenarioReport {
            name: self.scenario.name.clone(),
            failures,
            superseded_starts: self.simulation.checker.superseded_starts,
            effect_times: self.simulation.callers.effect_times.clone(),
            appends: self.simulation.log.appends,
            trace: self.simulation.trace,
            faults: self.faults,
            refusals,
        }
    }

    fn check_expectation(&self, expect: &schema::Expectation, failures: &mut Vec<String>) {
        if let Some(program) = &expect.program {
            let rows = self.simulation.callers.rows.iter();
            let matching: Vec<&callers::Caller> =
                rows.filter(|row| program == "*" || row.name == *program).collect();
            if matching.is_empty() {
                failures.push(format!("expected program {program}, which does not exist"));
            }
            for caller in matching {
                check_program(caller, expect, failures);
            }
        }
        if let Some(body) = &expect.body {
            let rows = self.simulation.service.executions.iter();
            let executions: u32 =
                rows.filter(|((_, b), _)| b == body).map(|(_, count)| count).sum();
            if expect.ran.is_some_and(|expected| expected != executions) {
                failures.push(format!("{body} ran {executions} times, expected {:?}", expect.ran));
            }
        }
        self.check_system(expect, failures);
    }

    /// Checks the expectations on nodes, engines and the log.
    fn check_system(&self, expect: &schema::Expectation, failures: &mut Vec<String>) {
        for (name, node) in self.simulation.nodes.iter().filter(|(_, node)| node.is_up()) {
            let Some(world) = &node.world else {
                continue;
            };
            let version = world.tables.configuration.version().0;
            if expect.config_version.is_some_and(|expected| expected != version) {
                failures.push(format!("{name} runs configuration version {version}"));
            }
            let config = world.tables.configuration.config();
            let weight = config
                .and_then(|config| config.workspaces.values().next())
                .map(|workspace| workspace.weight);
            let first_name = &self.simulation.config.deployment.workspaces[0].name;
            let weight_by_name = config
                .and_then(|config| {
                    config.workspaces.get(&ids::WorkspaceName::new(first_name.as_str()))
                })
                .map(|workspace| workspace.weight);
            let weight = weight_by_name.or(weight);
            if expect.config_weight.is_some_and(|expected| Some(expected) != weight) {
                failures.push(format!("{name} runs with weight {weight:?}"));
            }
        }
        let crashes: u32 = self.simulation.engines.values().map(|engine| engine.crashes).sum();
        if expect.max_crashes.is_some_and(|maximum| crashes > maximum) {
            failures.push(format!("{crashes} engine crashes exceed the maximum"));
        }
        if expect.max_claims.is_some_and(|maximum| self.claims > maximum) {
            failures.push(format!("{} partition claims exceed the maximum", self.claims));
        }
        let appends = self.simulation.log.appends;
        if expect.max_appends.is_some_and(|maximum| appends > maximum) {
            failures.push(format!("{appends} log appends exceed the maximum"));
        }
    }
}

/// Returns the node or region of a step, which the action requires.
fn required_node(step: &schema::Step) -> Result<String, ScenarioError> {
    step.node
        .clone()
        .ok_or_else(|| ScenarioError::UnknownName(format!("{} without node", step.action)))
}

fn check_program(
    caller: &callers::Caller,
    expect: &schema::Expectation,
    failures: &mut Vec<String>,
) {
    let name = &caller.name;
    let outcome = match &caller.outcome {
        Some(callers::ProgramOutcome::Done) => "done",
        Some(callers::ProgramOutcome::NotRun(_)) => "not_run",
        Some(callers::ProgramOutcome::Unknown(_)) => "unknown",
        None => "none",
    };
    if let Some(expected) = &expect.outcome {
        if !expected.split('|').any(|one| one == outcome) {
            failures.push(format!(
                "{name} ended {outcome} ({:?}), expected {expected}",
                caller.outcome
            ));
        }
    }
    if expect.max_unknown.is_some_and(|maximum| caller.unknown > maximum) {
        failures.push(format!("{name} has {} unknown outcomes", caller.unknown));
    }
    if let Some(kind) = &expect.refused {
        if !caller.refusals.contains_key(kind.as_str()) {
            failures.push(format!("{name} did not receive refusal {kind}: {:?}", caller.refusals));
        }
    }
    if let (Some(within), Some(ended)) = (expect.within_ms, caller.ended_at) {
        let latency = ended.since(caller.started_at).saturating_sub(caller.paused);
        if latency > std_time::Duration::from_millis(within) {
            failures.push(format!("{name} took {} ms, more than expected", latency.as_millis()));
        }
    }
}
