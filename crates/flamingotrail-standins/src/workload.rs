//! Generates programs of the kinds that the users run, from a seed. docs/WORKLOADS.md describes
//! them.

use std::time as std_time;

use flamingotrail_core::rng;

use crate::deployment;

/// A step of a program.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// A model call.
    Model {
        /// Text of the new message.
        text: String,
        /// Number of completion tokens that it requests.
        tokens: u32,
    },
    /// The caller waits before the next step.
    Pause(std_time::Duration),
    /// A call to a plain service.
    Service {
        /// Service name.
        service: String,
        /// Operation name.
        operation: String,
        /// Request body; unique among non-repeatable calls, so that repeated executions show.
        body: String,
        /// Whether the call may be executed more than once.
        repeatable: bool,
    },
    /// The program of a sub-agent, which runs to completion before the next step.
    SubAgent(Vec<Step>),
}

/// A program to run against the scheduler.
#[derive(Clone, Debug, PartialEq)]
pub struct Program {
    /// Index within the workload.
    pub number: usize,
    /// Kind of program, for reports by kind.
    pub kind: &'static str,
    /// Workspace that it runs in.
    pub workspace: String,
    /// Region of the caller.
    pub region: String,
    /// Start time, relative to the start of the workload.
    pub starts_at: std_time::Duration,
    /// Steps in execution order.
    pub steps: Vec<Step>,
}

/// Parameters from which programs of one kind are generated. Ranges are inclusive.
struct ProgramKind {
    name: &'static str,
    /// Index into the workspaces of the deployment.
    workspace: usize,
    turns: (u64, u64),
    /// Size of the first message.
    first_bytes: (u64, u64),
    /// Size of the following messages.
    bytes: (u64, u64),
    tokens: (u64, u64),
    pause_ms: (u64, u64),
    /// Probability of a repeatable service call between two turns.
    lookup_probability: f64,
    /// Probability of a non-repeatable service call between two turns.
    effect_probability: f64,
    /// Probability of a sub-agent between two turns of a root program.
    sub_agent_probability: f64,
    /// Relative frequency of this kind.
    weight: f64,
}

/// Program kinds of Fjordhest: short chats, and chains that plan a rest stop.
const FJORDHEST: &[ProgramKind] = &[
    ProgramKind {
        name: "short",
        workspace: 0,
        turns: (1, 4),
        first_bytes: (400, 1600),
        bytes: (80, 400),
        tokens: (30, 120),
        pause_ms: (200, 2000),
        lookup_probability: 0.2,
        effect_probability: 0.05,
        sub_agent_probability: 0.0,
        weight: 0.7,
    },
    ProgramKind {
        name: "chain",
        workspace: 1,
        turns: (6, 16),
        first_bytes: (2000, 8000),
        bytes: (200, 1200),
        tokens: (40, 200),
        pause_ms: (100, 3000),
        lookup_probability: 0.5,
        effect_probability: 0.2,
        sub_agent_probability: 0.15,
        weight: 0.3,
    },
];

/// Program kinds of Wasadat: fitting chats, and long chats with repair shops.
const WASADAT: &[ProgramKind] = &[
    ProgramKind {
        name: "fitting",
        workspace: 0,
        turns: (2, 6),
        first_bytes: (600, 2400),
        bytes: (80, 400),
        tokens: (30, 120),
        pause_ms: (300, 3000),
        lookup_probability: 0.4,
        effect_probability: 0.1,
        sub_agent_probability: 0.0,
        weight: 0.6,
    },
    ProgramKind {
        name: "shop",
        workspace: 1,
        turns: (8, 24),
        first_bytes: (8000, 32_000),
        bytes: (300, 1600),
        tokens: (40, 160),
        pause_ms: (500, 8000),
        lookup_probability: 0.5,
        effect_probability: 0.2,
        sub_agent_probability: 0.05,
        weight: 0.4,
    },
];

/// Generator of programs.
pub struct Workload<'a> {
    deployment: &'a deployment::Deployment,
    rng: rng::Rng,
    seed: u64,
    /// Service calls generated so far; makes their bodies unique.
    service_calls: u64,
}

/// Draws an integer from an inclusive range.
fn uniform(rng: &mut rng::Rng, (low, high): (u64, u64)) -> u64 {
    low + rng.next_below(high - low + 1)
}

impl<'a> Workload<'a> {
    /// Creates a generator for the program kinds of `deployment`.
    pub fn new(deployment: &'a deployment::Deployment, seed: u64) -> Self {
        Workload { deployment, rng: rng::Rng::new(seed), seed, service_calls: 0 }
    }

    fn kinds(&self) -> &'static [ProgramKind] {
        match self.deployment.name.as_str() {
            "wasadat" => WASADAT,
            _ => FJORDHEST,
        }
    }

    /// Generates `count` programs whose starts form a Poisson process of `rate` programs per
    /// second.
    pub fn programs(&mut self, count: usize, rate: f64) -> Vec<Program> {
        let mut start_s = 0.0;
        let mut programs = Vec::with_capacity(count);
        for number in 0..count {
            start_s += -(1.0 - self.rng.next_f64()).ln() / rate;
            let starts_at = std_time::Duration::from_secs_f64(start_s);
            programs.push(self.generate_program(number, starts_at));
        }
        programs
    }

    fn generate_program(&mut self, number: usize, starts_at: std_time::Duration) -> Program {
        let kind = self.draw_kind();
        let regions = &self.deployment.regions;
        let region = usize::try_from(self.rng.next_below(regions.len() as u64)).unwrap_or(0);
        let region = regions[region].0.clone();
        let steps = self.generate_steps(kind, true);
        Program {
            number,
            kind: kind.name,
            workspace: self.deployment.workspaces[kind.workspace].name.clone(),
            region,
            starts_at,
            steps,
        }
    }

    fn draw_kind(&mut self) -> &'static ProgramKind {
        let kinds = self.kinds();
        let mut remaining_weight =
            self.rng.next_f64() * kinds.iter().map(|kind| kind.weight).sum::<f64>();
        for kind in kinds {
            remaining_weight -= kind.weight;
            if remaining_weight <= 0.0 {
                return kind;
            }
        }
        &kinds[kinds.len() - 1]
    }

    fn generate_steps(&mut self, kind: &ProgramKind, is_root: bool) -> Vec<Step> {
        let turns = uniform(&mut self.rng, kind.turns);
        let turns = if is_root { turns } else { turns.div_ceil(3) };
        let mut steps = Vec::new();
        for turn in 0..turns {
            let bytes = if turn == 0 { kind.first_bytes } else { kind.bytes };
            steps.push(self.model_step(bytes, kind.tokens));
            if turn + 1 == turns {
                break;
            }
            self.push_steps_between_turns(kind, is_root, &mut steps);
        }
        steps
    }

    fn push_steps_between_turns(
        &mut self,
        kind: &ProgramKind,
        is_root: bool,
        steps: &mut Vec<Step>,
    ) {
        let draw = self.rng.next_f64();
        if is_root && draw < kind.sub_agent_probability {
            let sub = self.generate_steps(kind, false);
            steps.push(Step::SubAgent(sub));
            return;
        }
        let draw = self.rng.next_f64();
        if draw < kind.effect_probability {
            steps.push(self.service_step(false));
        } else if draw < kind.effect_probability + kind.lookup_probability {
            steps.push(self.service_step(true));
        }
        let pause = uniform(&mut self.rng, kind.pause_ms);
        steps.push(Step::Pause(std_time::Duration::from_millis(pause)));
    }

    fn model_step(&mut self, bytes: (u64, u64), tokens: (u64, u64)) -> Step {
        let bytes = usize::try_from(uniform(&mut self.rng, bytes)).unwrap_or(0);
        let tokens = uniform(&mut self.rng, tokens);
        let mut text = String::with_capacity(bytes + 8);
        while text.len() < bytes {
            text.push_str(&format!("{:x} ", self.rng.next_u64()));
        }
        text.push_str(&format!("#{tokens}"));
        Step::Model { text, tokens: u32::try_from(tokens).unwrap_or(1) }
    }

    fn service_step(&mut self, repeatable: bool) -> Step {
        let services = &self.deployment.services;
        let candidates: Vec<&String> = services
            .iter()
            .filter(|(_, is_repeatable)| *is_repeatable == repeatable)
            .map(|(name, _)| name)
            .collect();
        let index = usize::try_from(self.rng.next_below(candidates.len() as u64)).unwrap_or(0);
        let service = candidates[index].clone();
        self.service_calls += 1;
        let body = format!("{{\"number\":\"{}-{}\"}}", self.seed, self.service_calls);
        let operation = if repeatable { "read" } else { "write" };
        Step::Service { service, operation: operation.to_owned(), body, repeatable }
    }
}
