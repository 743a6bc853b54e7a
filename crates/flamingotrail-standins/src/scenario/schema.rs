//! Schema of a scenario file.

use std::time as std_time;

use crate::deployment;
use crate::simulation;
use crate::simulation::callers;
use crate::workload;

/// A scenario.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name that says which behaviour the scenario tests.
    pub name: String,
    /// Seed of the simulator's random numbers.
    #[serde(default)]
    pub seed: u64,
    /// Deployment and simulator settings.
    #[serde(default)]
    pub setup: Setup,
    /// Programs to run.
    #[serde(default, rename = "program")]
    pub programs: Vec<Program>,
    /// Faults and other actions during the run.
    #[serde(default, rename = "step")]
    pub steps: Vec<Step>,
    /// Expectations, in addition to the invariants that every run checks.
    #[serde(default, rename = "expect")]
    pub expectations: Vec<Expectation>,
}

/// Deployment and simulator settings. Every field has a default.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Setup {
    /// Name of the deployment: `fjordhest` or `wasadat`.
    pub deployment: String,
    /// Number of regions.
    pub regions: usize,
    /// Number of entry nodes.
    pub entries: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of runners of plain services.
    pub runners: usize,
    /// Number of partitions per region.
    pub partitions: u16,
    /// Concurrent calls per engine.
    pub slots: u32,
    /// Budget of a program, in cost units.
    pub budget: u64,
    /// Latency of a service call, in milliseconds.
    pub tool_ms: u64,
    /// Rate limit of the log, in appends per second.
    pub log_rate: f64,
    /// Retention time of the log, in seconds.
    pub retention_s: u64,
    /// Delay before the instance list shows a change, in milliseconds.
    pub list_lag_ms: u64,
    /// Downtime of an engine after a crash, in milliseconds.
    pub restart_ms: u64,
    /// Whether engines reject releases with outdated fencing tokens.
    pub fenced: bool,
    /// Idle time after which a program is considered ended, in seconds.
    pub program_idle_s: u64,
    /// Probability that a message is lost.
    pub loss: f64,
    /// Probability that a message is delivered twice.
    pub repeats: f64,
    /// Maximum additional delay of a message, in milliseconds.
    pub jitter_ms: u64,
    /// How long the run continues after the last program has ended, in seconds.
    pub settle_s: u64,
    /// Maximum duration of the run, in seconds.
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

/// A program of a scenario.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Program {
    /// Name that steps and expectations refer to.
    pub name: String,
    /// Workspace; defaults to the first one of the deployment.
    #[serde(default)]
    pub workspace: Option<String>,
    /// Region of the caller; defaults to the first one of the deployment.
    #[serde(default)]
    pub region: Option<String>,
    /// Start time, in milliseconds.
    #[serde(default = "default_start")]
    pub at_ms: u64,
    /// How the caller supplies the conversation history: `carry`, `full` or `journal`.
    #[serde(default)]
    pub history: callers::HistoryMode,
    /// Deadline of each call, in milliseconds.
    #[serde(default = "default_deadline")]
    pub deadline_ms: u64,
    /// Maximum number of times that the caller sends a call.
    #[serde(default = "default_sendings")]
    pub sendings: u32,
    /// Whether the caller ends the program; false simulates a caller that crashes.
    #[serde(default = "default_ends")]
    pub ends: bool,
    /// Steps in execution order.
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

/// A step of a program.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum ProgramStep {
    /// A model call.
    Model {
        /// Text of the message; `crash!` in it crashes the engine.
        text: String,
        /// Number of completion tokens that it requests.
        tokens: u32,
    },
    /// The caller waits this many milliseconds.
    Pause(u64),
    /// A call to a plain service.
    Service {
        /// Service name.
        name: String,
        /// Request body; with `hang!` in it, the service executes the call but does not respond.
        body: String,
    },
    /// The program of a sub-agent.
    Sub(Vec<ProgramStep>),
}

/// An action at a point in time or after a trigger.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Step {
    /// Delay from the start of the run or from the trigger, in milliseconds.
    pub at_ms: u64,
    /// Trigger: `started:PROGRAM:TURN`, `intent:PROGRAM`, `answered:PROGRAM:COUNT`,
    /// `claimed:COUNT`, `crashed:COUNT`.
    pub on: Option<String>,
    /// Action to perform; see docs/SCENARIOS.md.
    #[serde(rename = "do")]
    pub action: String,
    /// Target: a node name, `owner:PROGRAM`, `runner:PROGRAM`, `entry:PROGRAM`, or a region.
    pub node: Option<String>,
    /// The other side of a network cut.
    pub with: Option<String>,
    /// Duration of the fault, in milliseconds; 0 means permanent.
    pub lasting_ms: u64,
    /// Number of appends that the action affects.
    pub count: u32,
    /// Base version of a configuration publication.
    pub base: u64,
    /// Weight that a publication sets for the first workspace.
    pub weight: Option<f64>,
    /// Kind of output before which the node is paused.
    pub before: Option<String>,
}

/// A condition that is checked at the end of the run.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Expectation {
    /// Program name, or `*` for all programs.
    pub program: Option<String>,
    /// Expected outcome: `done`, `not_run` or `unknown`; alternatives are separated by `|`.
    pub outcome: Option<String>,
    /// Maximum number of calls of the program whose outcome remains unknown.
    pub max_unknown: Option<u32>,
    /// Maximum latency of the program excluding pauses, in milliseconds.
    pub within_ms: Option<u64>,
    /// Kind of refusal that the program must have received.
    pub refused: Option<String>,
    /// Request body whose service executions are counted.
    pub body: Option<String>,
    /// Expected number of executions of that body.
    pub ran: Option<u32>,
    /// Configuration version that every node runs at the end.
    pub config_version: Option<u64>,
    /// Weight of the first workspace in the configuration of every node at the end.
    pub config_weight: Option<f64>,
    /// Maximum number of engine crashes.
    pub max_crashes: Option<u32>,
    /// Maximum number of partition claims.
    pub max_claims: Option<usize>,
    /// Maximum number of log appends.
    pub max_appends: Option<u64>,
}

impl Setup {
    /// Returns the deployment, or `None` if its name is unknown.
    pub fn deployment(&self) -> Option<deployment::Deployment> {
        let mut deployment = deployment::by_name(&self.deployment)?
            .with_regions(self.regions)
            .with_endpoints(self.engines, self.runners);
        deployment.partitions = self.partitions;
        deployment.slots = self.slots;
        deployment.budget = self.budget;
        Some(deployment)
    }

    /// Returns the configuration of the simulator.
    pub fn rig_config(
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
        config.engine.restart_delay = std_time::Duration::from_millis(self.restart_ms);
        config.engine.enforces_fencing = self.fenced;
        config.program_idle = std_time::Duration::from_secs(self.program_idle_s);
        config
    }
}

impl Program {
    /// Converts the program to the form that simulated callers run.
    pub fn to_workload(
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
            starts_at: std_time::Duration::from_millis(self.at_ms),
            steps: self.steps.iter().map(|step| step.to_workload(deployment)).collect(),
        }
    }
}

impl ProgramStep {
    fn to_workload(&self, deployment: &deployment::Deployment) -> workload::Step {
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
                let steps = steps.iter().map(|step| step.to_workload(deployment)).collect();
                workload::Step::SubAgent(steps)
            }
        }
    }
}
