//! Runs a scenario and checks what it expects.

use std::collections;
use std::time as std_time;

use flamingotrail_core::ids;

use crate::scenario::file;
use crate::simulation;
use crate::simulation::callers;
use crate::simulation::checker;

/// A scenario that can't be run.
#[derive(Clone, Debug, thiserror::Error, PartialEq, Eq)]
pub enum ScenarioError {
    /// Text of another form.
    #[error("the file is not a scenario: {0}; docs/SCENARIOS.md describes the form")]
    Form(String),
    /// A name that means nothing here.
    #[error("`{0}` is not known; docs/SCENARIOS.md lists what can be named")]
    Unknown(String),
}

/// What came of a scenario.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Name of the scenario.
    pub name: String,
    /// What did not hold, or was expected and did not happen.
    pub failures: Vec<String>,
    /// The trace.
    pub trace: Vec<String>,
    /// Faults that were caused.
    pub faults: u32,
    /// Starts of attempts by former owners.
    pub stale_starts: u32,
    /// Refusals by kind, over all programs.
    pub refusals: collections::BTreeMap<String, u32>,
    /// Times of calls that may not be repeated, in microseconds.
    pub effect_times: Vec<u64>,
    /// Appends that the log took.
    pub appends: u64,
}

/// Reads a scenario.
///
/// # Errors
///
/// Text of another form.
pub fn read(text: &str) -> Result<file::Scenario, ScenarioError> {
    toml::from_str(text).map_err(|error| ScenarioError::Form(error.to_string()))
}

/// Writes a scenario.
pub fn write(scenario: &file::Scenario) -> String {
    // Scenarios are plain numbers, strings and lists, which always have a TOML form.
    toml::to_string_pretty(scenario).unwrap_or_default()
}

/// A scenario under way.
struct Run<'a> {
    scenario: &'a file::Scenario,
    rig: simulation::Simulation,
    waiting: collections::BTreeSet<usize>,
    undo: collections::BTreeMap<usize, Undo>,
    claims: usize,
    crashes: u32,
    faults: u32,
}

/// What ends a fault that lasts.
#[derive(Clone, Debug)]
enum Undo {
    Start(String),
    Wake(String),
    Join(String, String),
    LogBack,
    ListBack,
}

/// Runs a scenario.
///
/// # Errors
///
/// A name in it that means nothing.
pub fn run(scenario: &file::Scenario) -> Result<Report, ScenarioError> {
    let deployment = scenario.setup.deployment();
    let deployment =
        deployment.ok_or_else(|| ScenarioError::Unknown(scenario.setup.deployment.clone()))?;
    let config = scenario.setup.rig(deployment.clone(), scenario.seed);
    let mut rig = simulation::Simulation::new(config);
    rig.network.loss_rate = scenario.setup.loss;
    rig.network.duplicate_rate = scenario.setup.repeats;
    rig.network.max_jitter = std_time::Duration::from_millis(scenario.setup.jitter_ms);
    for (number, program) in scenario.programs.iter().enumerate() {
        let workload = program.workload(number, &deployment);
        let workspace = deployment.workspaces.iter().find(|w| w.name == workload.workspace);
        let workspace =
            workspace.ok_or_else(|| ScenarioError::Unknown(workload.workspace.clone()))?;
        let manner = callers::CallerConfig {
            history: program.history,
            max_sends: program.sendings,
            deadline: std_time::Duration::from_millis(program.deadline_ms),
            ends_programs: program.ends,
            abandons_if_overloaded: false,
        };
        rig.add_caller(&program.name, &workload, &workspace.token, manner);
    }
    let mut run = Run {
        scenario,
        rig,
        waiting: collections::BTreeSet::new(),
        undo: collections::BTreeMap::new(),
        claims: 0,
        crashes: 0,
        faults: 0,
    };
    run.schedule_steps();
    run.go()?;
    Ok(run.finish())
}

/// Numbers of scheduled ends of faults start here.
const UNDO: usize = 1_000_000;

impl Run<'_> {
    fn schedule_steps(&mut self) {
        for (number, step) in self.scenario.steps.iter().enumerate() {
            if step.on.is_some() {
                self.waiting.insert(number);
            } else {
                let wait = std_time::Duration::from_millis(step.at_ms);
                self.rig.schedule_after(wait, simulation::Event::ScenarioStep(number));
            }
        }
    }

    /// Runs until every program has ended and the settling time is over.
    fn go(&mut self) -> Result<(), ScenarioError> {
        const SLICE: std_time::Duration = std_time::Duration::from_millis(1);
        let limit = self.rig.now.after(std_time::Duration::from_secs(self.scenario.setup.limit_s));
        let settle = std_time::Duration::from_secs(self.scenario.setup.settle_s);
        let mut quiet_at = None;
        while self.rig.now < limit {
            let all_ended = self.rig.callers.rows.iter().all(|caller| caller.outcome.is_some());
            let done = all_ended && self.undo.is_empty();
            let quiet = *quiet_at.get_or_insert(self.rig.now.after(settle));
            if !done {
                quiet_at = None;
            } else if self.rig.now >= quiet {
                return Ok(());
            }
            // Steps hang on what is seen: look after each event while some wait for it.
            let until = match self.waiting.is_empty() {
                true => self.rig.now.after(std_time::Duration::from_millis(100)),
                false => {
                    let next = self.rig.next_event().unwrap_or(self.rig.now);
                    next.max(self.rig.now.after(SLICE / 1000))
                }
            };
            if let Some(number) = self.rig.run_until(until.min(limit)) {
                self.step(number)?;
            }
            self.take_sights();
        }
        Ok(())
    }

    fn take_sights(&mut self) {
        while let Some(sight) = self.rig.next_observation() {
            let label = self.label(&sight);
            let met: Vec<usize> = self
                .waiting
                .iter()
                .copied()
                .filter(|number| self.scenario.steps[*number].on.as_deref() == Some(&label))
                .collect();
            for number in met {
                self.waiting.remove(&number);
                let wait = std_time::Duration::from_millis(self.scenario.steps[number].at_ms);
                self.rig.schedule_after(wait, simulation::Event::ScenarioStep(number));
            }
        }
    }

    fn caller_of(&self, program: &ids::ProgramId) -> String {
        let rows = self.rig.callers.rows.iter();
        let mut found = rows.filter(|caller| caller.program.as_ref() == Some(program));
        found.next().map(|caller| caller.name.clone()).unwrap_or_default()
    }

    fn label(&mut self, sight: &checker::Observation) -> String {
        match sight {
            checker::Observation::CallStarted { program, turn } => {
                format!("started:{}:{turn}", self.caller_of(program))
            }
            checker::Observation::IntentAppended { program } => {
                format!("intent:{}", self.caller_of(program))
            }
            checker::Observation::CallAnswered { caller, calls } => {
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

    /// The node that a step names. None where a program has no such node at the moment.
    fn node(&self, step: &file::Step) -> Result<Option<String>, ScenarioError> {
        let name = step.node.clone().unwrap_or_default();
        let unknown = || ScenarioError::Unknown(name.clone());
        if self.rig.nodes.contains_key(&name) {
            return Ok(Some(name));
        }
        let (role, caller) = name.split_once(':').ok_or_else(unknown)?;
        let rows = self.rig.callers.rows.iter();
        let caller = rows.clone().find(|row| row.name == caller).ok_or_else(unknown)?;
        match role {
            "owner" => {
                let program = caller.program.as_ref();
                Ok(program.and_then(|program| self.rig.owner_of(&program.home)))
            }
            "runner" => Ok(self.rig.runner_of(caller)),
            "entry" => Ok(caller.entry()),
            _ => Err(unknown()),
        }
    }

    fn step(&mut self, number: usize) -> Result<(), ScenarioError> {
        if number >= UNDO {
            if let Some(undo) = self.undo.remove(&number) {
                self.undo_fault(undo);
            }
            return Ok(());
        }
        let mut step = self.scenario.steps[number].clone();
        if step.node.is_some() && !self.is_region(&step) {
            step.node = self.node(&step)?;
            if step.node.is_none() {
                self.rig.add_trace(|| format!("step {} hits nobody", number + 1));
                return Ok(());
            }
        }
        self.faults += 1;
        let undo = self.act(&step)?;
        if let Some(undo) = undo.filter(|_| step.lasting_ms > 0) {
            let lasting = std_time::Duration::from_millis(step.lasting_ms);
            self.undo.insert(UNDO + number, undo);
            self.rig.schedule_after(lasting, simulation::Event::ScenarioStep(UNDO + number));
        }
        Ok(())
    }

    fn act(&mut self, step: &file::Step) -> Result<Option<Undo>, ScenarioError> {
        let undo = match step.action.as_str() {
            "kill" => {
                let node = named(step)?;
                self.rig.kill_node(&node);
                Some(Undo::Start(node))
            }
            "pause" => {
                let node = named(step)?;
                match &step.before {
                    Some(kind) => self.rig.pause_before(&node, kind),
                    None => self.rig.pause_node(&node),
                }
                Some(Undo::Wake(node))
            }
            "drain" => {
                let node = named(step)?;
                self.rig.drain_node(&node, false);
                Some(Undo::Start(node))
            }
            "list-leaving" => {
                let node = named(step)?;
                self.rig.drain_node(&node, true);
                None
            }
            "cut" => {
                let a = named(step)?;
                let b = step.with.clone().unwrap_or_else(|| "*".to_owned());
                self.rig.network.set_cut(&a, &b, true);
                Some(Undo::Join(a, b))
            }
            "log-outage" => {
                self.rig.set_log_outage(true);
                Some(Undo::LogBack)
            }
            "list-outage" => {
                self.rig.list.out = true;
                Some(Undo::ListBack)
            }
            "lose-answers" => {
                self.rig.log.lose_answers = step.count.max(1);
                None
            }
            "late-appends" => {
                self.rig.late_appends = step.count.max(1);
                None
            }
            "publish" => {
                let mut deployment = self.rig.config.deployment.clone();
                if let Some(weight) = step.weight {
                    deployment.workspaces[0].weight = weight;
                }
                self.rig.publish(step.base, &deployment.objects_toml());
                None
            }
            "publish-invalid" => {
                self.rig.publish(step.base, "[workspace.broken]\nweight = 0\n");
                None
            }
            "crash-engine" => {
                let node = named(step)?;
                let endpoint = node.trim_start_matches("at-").to_owned();
                self.rig.crash_engine(&endpoint);
                None
            }
            other => return Err(ScenarioError::Unknown(other.to_owned())),
        };
        Ok(undo)
    }

    fn is_region(&self, step: &file::Step) -> bool {
        let regions = &self.rig.config.deployment.regions;
        regions.iter().any(|(region, _)| step.node.as_ref() == Some(region))
    }

    fn undo_fault(&mut self, undo: Undo) {
        match undo {
            Undo::Start(node) => {
                if self.rig.nodes.get(&node).is_some_and(simulation::node::Node::is_up) {
                    // A drain that has not finished yet.
                    self.rig.kill_node(&node);
                }
                self.rig.start_node(&node);
            }
            Undo::Wake(node) => self.rig.resume_node(&node),
            Undo::Join(a, b) => self.rig.network.set_cut(&a, &b, false),
            Undo::LogBack => self.rig.set_log_outage(false),
            Undo::ListBack => self.rig.list.out = false,
        }
    }

    fn finish(mut self) -> Report {
        self.take_sights();
        self.rig.check_quiescent();
        let mut failures = self.rig.checker.violations.clone();
        for number in &self.waiting {
            let on = self.scenario.steps[*number].on.clone().unwrap_or_default();
            failures.push(format!("step {} never happened: {on} was not seen", number + 1));
        }
        for caller in &self.rig.callers.rows {
            if caller.outcome.is_none() {
                failures.push(format!("{} never ended", caller.name));
            }
        }
        for expect in &self.scenario.expectations {
            self.check(expect, &mut failures);
        }
        let mut refusals = collections::BTreeMap::new();
        for caller in &self.rig.callers.rows {
            for (kind, count) in &caller.refusals {
                *refusals.entry((*kind).to_owned()).or_default() += count;
            }
        }
        Report {
            name: self.scenario.name.clone(),
            failures,
            stale_starts: self.rig.checker.stale_starts,
            effect_times: self.rig.callers.effect_times.clone(),
            appends: self.rig.log.appends,
            trace: self.rig.trace,
            faults: self.faults,
            refusals,
        }
    }

    fn check(&self, expect: &file::Expect, failures: &mut Vec<String>) {
        if let Some(program) = &expect.program {
            let rows = self.rig.callers.rows.iter();
            let wanted: Vec<&callers::Caller> =
                rows.filter(|row| program == "*" || row.name == *program).collect();
            if wanted.is_empty() {
                failures.push(format!("expected program {program}, which is not there"));
            }
            for caller in wanted {
                check_program(caller, expect, failures);
            }
        }
        if let Some(body) = &expect.body {
            let rows = self.rig.tools.executions.iter();
            let ran: u32 = rows.filter(|((_, b), _)| b == body).map(|(_, count)| count).sum();
            if expect.ran.is_some_and(|expected| expected != ran) {
                failures.push(format!("{body} ran {ran} times, expected {:?}", expect.ran));
            }
        }
        self.check_whole(expect, failures);
    }

    fn check_whole(&self, expect: &file::Expect, failures: &mut Vec<String>) {
        for (name, node) in self.rig.nodes.iter().filter(|(_, node)| node.is_up()) {
            let Some(world) = &node.world else {
                continue;
            };
            let version = world.tables.configuration.version().0;
            if expect.config_version.is_some_and(|expected| expected != version) {
                failures.push(format!("{name} runs configuration {version}"));
            }
            let objects = world.tables.configuration.objects();
            let weight = objects.and_then(|o| o.workspaces.values().next()).map(|w| w.weight);
            let first = &self.rig.config.deployment.workspaces[0].name;
            let named = objects
                .and_then(|o| o.workspaces.get(&ids::WorkspaceName::new(first.as_str())))
                .map(|w| w.weight);
            let weight = named.or(weight);
            if expect.config_weight.is_some_and(|expected| Some(expected) != weight) {
                failures.push(format!("{name} runs weight {weight:?}"));
            }
        }
        let crashes: u32 = self.rig.engines.values().map(|engine| engine.crashes).sum();
        if expect.max_crashes.is_some_and(|most| crashes > most) {
            failures.push(format!("{crashes} crashes of engines"));
        }
        if expect.max_claims.is_some_and(|most| self.claims > most) {
            failures.push(format!("{} claims", self.claims));
        }
        let appends = self.rig.log.appends;
        if expect.max_appends.is_some_and(|most| appends > most) {
            failures.push(format!("{appends} appends"));
        }
    }
}

/// The node or region that a step names.
fn named(step: &file::Step) -> Result<String, ScenarioError> {
    step.node.clone().ok_or_else(|| ScenarioError::Unknown(format!("{} without node", step.action)))
}

fn check_program(caller: &callers::Caller, expect: &file::Expect, failures: &mut Vec<String>) {
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
    if expect.max_unknown.is_some_and(|most| caller.unknown > most) {
        failures.push(format!("{name} has {} unknown outcomes", caller.unknown));
    }
    if let Some(kind) = &expect.refused {
        if !caller.refusals.contains_key(kind.as_str()) {
            failures.push(format!("{name} never met {kind}: {:?}", caller.refusals));
        }
    }
    if let (Some(within), Some(ended)) = (expect.within_ms, caller.ended_at) {
        let took = ended.since(caller.started_at).saturating_sub(caller.paused);
        if took > std_time::Duration::from_millis(within) {
            failures.push(format!("{name} took {} ms", took.as_millis()));
        }
    }
}
