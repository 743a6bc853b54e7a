//! The form of a scenario file.

use std::time as std_time;

use crate::deployment;
use crate::simulation;
use crate::simulation::callers;
use crate::workload;

/// A scenario.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// What it shows.
    pub name: String,
    /// Seed of everything random.
    #[serde(default)]
    pub seed: u64,
    /// The set-up.
    #[serde(default)]
    pub setup: Setup,
    /// Programs.
    #[serde(default, rename = "program")]
    pub programs: Vec<Program>,
    /// Steps.
    #[serde(default, rename = "step")]
    pub steps: Vec<Step>,
    /// Expectations, besides what always holds.
    #[serde(default, rename = "expect")]
    pub expectations: Vec<Expect>,
}

/// The set-up. Every field has a default.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Setup {
    /// `fjordhest` or `wasadat`.
    pub deployment: String,
    /// Regions.
    pub regions: usize,
    /// Entries.
    pub entries: usize,
    /// Engines.
    pub engines: usize,
    /// Runners of plain services.
    pub runners: usize,
    /// Partitions of each region.
    pub partitions: u16,
    /// Slots of an engine.
    pub slots: u32,
    /// Cost units of a program.
    pub budget: u64,
    /// Length of a service call, in milliseconds.
    pub tool_ms: u64,
    /// Appends a second that the log takes.
    pub log_rate: f64,
    /// How long the log keeps entries, in seconds.
    pub retention_s: u64,
    /// Lag of the platform's list, in milliseconds.
    pub list_lag_ms: u64,
    /// How long an engine is down after a crash, in milliseconds.
    pub restart_ms: u64,
    /// Whether engines refuse orders with old fencing numbers.
    pub fenced: bool,
    /// Idle time after which a program counts as ended, in seconds.
    pub program_idle_s: u64,
    /// Share of messages that get lost.
    pub loss: f64,
    /// Share of messages that come twice.
    pub repeats: f64,
    /// Longest additional delay of a message, in milliseconds.
    pub jitter_ms: u64,
    /// How long the run goes on after its last program, in seconds.
    pub settle_s: u64,
    /// Longest run, in seconds.
    pub limit_s: u64,
}

impl Default for Setup {
    fn default() -> Self {
        Setup {
            deployment: "fjordhest".to_owned(),
            regions: 1,
            entries: 2,
            engines: 3,
            runners: 2,
            partitions: 2,
            slots: 8,
            budget: 1_000_000,
            tool_ms: 30,
            log_rate: 300.0,
            retention_s: 7 * 24 * 3600,
            list_lag_ms: 2000,
            restart_ms: 3000,
            fenced: false,
            program_idle_s: 600,
            loss: 0.0,
            repeats: 0.0,
            jitter_ms: 0,
            settle_s: 300,
            limit_s: 4000,
        }
    }
}

/// A program.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Program {
    /// Name.
    pub name: String,
    /// Its workspace; the deployment's first where it is left out.
    #[serde(default)]
    pub workspace: Option<String>,
    /// Region of its caller; the deployment's first where it is left out.
    #[serde(default)]
    pub region: Option<String>,
    /// When it starts, in milliseconds.
    #[serde(default = "default_start")]
    pub at_ms: u64,
    /// `carry`, `full` or `journal`.
    #[serde(default)]
    pub history: callers::HistoryMode,
    /// Deadline of each call, in milliseconds.
    #[serde(default = "default_deadline")]
    pub deadline_ms: u64,
    /// Sendings of one call at most.
    #[serde(default = "default_sendings")]
    pub sendings: u32,
    /// Whether its caller ends it; a caller that dies does not.
    #[serde(default = "default_ends")]
    pub ends: bool,
    /// Steps.
    pub steps: Vec<ProgramStep>,
}

fn default_start() -> u64 {
    3000
}

fn default_deadline() -> u64 {
    30_000
}

fn default_sendings() -> u32 {
    30
}

fn default_ends() -> bool {
    true
}

/// One step of a program.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum ProgramStep {
    /// A model call with this message.
    Model {
        /// The message; `crash!` in it crashes the engine.
        text: String,
        /// Tokens to answer.
        tokens: u32,
    },
    /// A pause, in milliseconds.
    Pause(u64),
    /// A service call.
    Service {
        /// The service.
        name: String,
        /// The body; `hang!` in it keeps the service from answering.
        body: String,
    },
    /// A sub-agent.
    Sub(Vec<ProgramStep>),
}

/// A step of the scenario: when, and what.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Step {
    /// Milliseconds from the start of the run, or from the trigger.
    pub at_ms: u64,
    /// Trigger: `started:PROGRAM:TURN`, `intent:PROGRAM`, `answered:PROGRAM:COUNT`,
    /// `claimed:COUNT`, `crashed:COUNT`.
    pub on: Option<String>,
    /// What to do; see docs/SCENARIOS.md.
    #[serde(rename = "do")]
    pub action: String,
    /// A node, `owner:PROGRAM`, `runner:PROGRAM`, `entry:PROGRAM`, or a region.
    pub node: Option<String>,
    /// The other side of a cut.
    pub with: Option<String>,
    /// How long it lasts, in milliseconds; for good where it is 0.
    pub lasting_ms: u64,
    /// A count.
    pub count: u32,
    /// Base version of a publication.
    pub base: u64,
    /// What a publication changes: the weight of the first workspace.
    pub weight: Option<f64>,
    /// Kind of output before which a node is paused.
    pub before: Option<String>,
}

/// An expectation.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Expect {
    /// A program by name, `*` for every one.
    pub program: Option<String>,
    /// `done`, `not_run`, `unknown`, or several with `|`.
    pub outcome: Option<String>,
    /// Calls of the program whose outcome stayed unknown, at most.
    pub max_unknown: Option<u32>,
    /// Longest time of the program without its pauses, in milliseconds.
    pub within_ms: Option<u64>,
    /// A kind of refusal that the program met.
    pub refused: Option<String>,
    /// A body that services ran.
    pub body: Option<String>,
    /// How often they ran it.
    pub ran: Option<u32>,
    /// Configuration that every node runs at the end.
    pub config_version: Option<u64>,
    /// Weight of the first workspace that every node runs at the end.
    pub config_weight: Option<f64>,
    /// Crashes of engines at most.
    pub max_crashes: Option<u32>,
    /// Claims of partitions at most.
    pub max_claims: Option<usize>,
    /// Appends that the log took at most.
    pub max_appends: Option<u64>,
}

impl Setup {
    /// The deployment of the set-up.
    pub fn deployment(&self) -> Option<deployment::Deployment> {
        let mut deployment = deployment::named(&self.deployment)?
            .with_regions(self.regions)
            .with_endpoints(self.engines, self.runners);
        deployment.partitions = self.partitions;
        deployment.slots = self.slots;
        deployment.budget = self.budget;
        Some(deployment)
    }

    /// Limits of the run.
    pub fn rig(
        &self,
        deployment: deployment::Deployment,
        seed: u64,
    ) -> simulation::SimulationConfig {
        let mut config = simulation::SimulationConfig::new(deployment, seed);
        config.entries = self.entries;
        config.tool_latency = std_time::Duration::from_millis(self.tool_ms);
        config.log_rate = self.log_rate;
        config.log_retention = std_time::Duration::from_secs(self.retention_s);
        config.list_lag = std_time::Duration::from_millis(self.list_lag_ms);
        config.engine.restart = std_time::Duration::from_millis(self.restart_ms);
        config.engine.fenced = self.fenced;
        config.program_idle = std_time::Duration::from_secs(self.program_idle_s);
        config
    }
}

impl Program {
    /// The program as callers run it.
    pub fn workload(
        &self,
        number: usize,
        deployment: &deployment::Deployment,
    ) -> workload::Program {
        let workspace = self.workspace.clone();
        let region = self.region.clone();
        workload::Program {
            number,
            kind: "scenario",
            workspace: workspace.unwrap_or_else(|| deployment.workspaces[0].name.clone()),
            region: region.unwrap_or_else(|| deployment.regions[0].0.clone()),
            starts: std_time::Duration::from_millis(self.at_ms),
            steps: self.steps.iter().map(|step| step.workload(deployment)).collect(),
        }
    }
}

impl ProgramStep {
    fn workload(&self, deployment: &deployment::Deployment) -> workload::Step {
        match self {
            ProgramStep::Model { text, tokens } => {
                workload::Step::Model { text: format!("{text} #{tokens}"), tokens: *tokens }
            }
            ProgramStep::Pause(millis) => {
                workload::Step::Pause(std_time::Duration::from_millis(*millis))
            }
            ProgramStep::Service { name, body } => {
                let known = deployment.services.iter().find(|(service, _)| service == name);
                let repeatable = known.is_some_and(|(_, repeatable)| *repeatable);
                workload::Step::Service {
                    service: name.clone(),
                    operation: if repeatable { "read" } else { "write" }.to_owned(),
                    body: body.clone(),
                    repeatable,
                }
            }
            ProgramStep::Sub(steps) => {
                let steps = steps.iter().map(|step| step.workload(deployment)).collect();
                workload::Step::SubAgent(steps)
            }
        }
    }
}
