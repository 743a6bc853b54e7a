//! Programs of the two users' kinds with seeded random shapes. docs/WORKLOADS.md describes them.

use std::time as std_time;

use flamingotrail_core::rng;

use crate::deployment;

/// One step of a program.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// A model call: the new message and the tokens that it asks for.
    Model {
        /// The message.
        text: String,
        /// Tokens to answer.
        tokens: u32,
    },
    /// A pause of the caller.
    Pause(std_time::Duration),
    /// A call to a plain service.
    Service {
        /// The service.
        service: String,
        /// The operation.
        operation: String,
        /// The body: unique where the call may not be repeated.
        body: String,
        /// Whether it may be repeated.
        repeatable: bool,
    },
    /// A sub-agent's program, run to its end.
    SubAgent(Vec<Step>),
}

/// A program.
#[derive(Clone, Debug, PartialEq)]
pub struct Program {
    /// Number within the workload.
    pub number: usize,
    /// Kind, for figures by kind.
    pub kind: &'static str,
    /// Its workspace.
    pub workspace: String,
    /// Region of its caller.
    pub region: String,
    /// When it starts, after the start of the workload.
    pub starts_at: std_time::Duration,
    /// Its steps.
    pub steps: Vec<Step>,
}

/// Shape of a kind of program.
struct Shape {
    kind: &'static str,
    workspace: usize,
    turns: (u64, u64),
    first_bytes: (u64, u64),
    bytes: (u64, u64),
    tokens: (u64, u64),
    pause_ms: (u64, u64),
    lookup_share: f64,
    effect_share: f64,
    sub_agent_share: f64,
    weight: f64,
}

/// Fjordhest's short chats, and its chains that plan a rest stop.
const FJORDHEST: &[Shape] = &[
    Shape {
        kind: "short",
        workspace: 0,
        turns: (1, 4),
        first_bytes: (400, 1600),
        bytes: (80, 400),
        tokens: (30, 120),
        pause_ms: (200, 2000),
        lookup_share: 0.2,
        effect_share: 0.05,
        sub_agent_share: 0.0,
        weight: 0.7,
    },
    Shape {
        kind: "chain",
        workspace: 1,
        turns: (6, 16),
        first_bytes: (2000, 8000),
        bytes: (200, 1200),
        tokens: (40, 200),
        pause_ms: (100, 3000),
        lookup_share: 0.5,
        effect_share: 0.2,
        sub_agent_share: 0.15,
        weight: 0.3,
    },
];

/// Wasadat's fitting chats, and its long chats with repair shops.
const WASADAT: &[Shape] = &[
    Shape {
        kind: "fitting",
        workspace: 0,
        turns: (2, 6),
        first_bytes: (600, 2400),
        bytes: (80, 400),
        tokens: (30, 120),
        pause_ms: (300, 3000),
        lookup_share: 0.4,
        effect_share: 0.1,
        sub_agent_share: 0.0,
        weight: 0.6,
    },
    Shape {
        kind: "shop",
        workspace: 1,
        turns: (8, 24),
        first_bytes: (8000, 32_000),
        bytes: (300, 1600),
        tokens: (40, 160),
        pause_ms: (500, 8000),
        lookup_share: 0.5,
        effect_share: 0.2,
        sub_agent_share: 0.05,
        weight: 0.4,
    },
];

/// Draws programs.
pub struct Workload<'a> {
    deployment: &'a deployment::Deployment,
    rng: rng::Rng,
    seed: u64,
    effects: u64,
}

fn between(rng: &mut rng::Rng, (low, high): (u64, u64)) -> u64 {
    low + rng.next_below(high - low + 1)
}

impl<'a> Workload<'a> {
    /// A workload of `deployment`'s kinds.
    pub fn new(deployment: &'a deployment::Deployment, seed: u64) -> Self {
        Workload { deployment, rng: rng::Rng::new(seed), seed, effects: 0 }
    }

    fn shapes(&self) -> &'static [Shape] {
        match self.deployment.name.as_str() {
            "wasadat" => WASADAT,
            _ => FJORDHEST,
        }
    }

    /// `count` programs that start as a Poisson stream of `rate` a second.
    pub fn programs(&mut self, count: usize, rate: f64) -> Vec<Program> {
        let mut starts = 0.0;
        let mut programs = Vec::with_capacity(count);
        for number in 0..count {
            starts += -(1.0 - self.rng.next_f64()).ln() / rate;
            let starts = std_time::Duration::from_secs_f64(starts);
            programs.push(self.program(number, starts));
        }
        programs
    }

    fn program(&mut self, number: usize, starts: std_time::Duration) -> Program {
        let shape = self.draw_shape();
        let regions = &self.deployment.regions;
        let region = usize::try_from(self.rng.next_below(regions.len() as u64)).unwrap_or(0);
        let region = regions[region].0.clone();
        let steps = self.steps(shape, true);
        Program {
            number,
            kind: shape.kind,
            workspace: self.deployment.workspaces[shape.workspace].name.clone(),
            region,
            starts_at: starts,
            steps,
        }
    }

    fn draw_shape(&mut self) -> &'static Shape {
        let shapes = self.shapes();
        let mut left = self.rng.next_f64() * shapes.iter().map(|shape| shape.weight).sum::<f64>();
        for shape in shapes {
            left -= shape.weight;
            if left <= 0.0 {
                return shape;
            }
        }
        &shapes[shapes.len() - 1]
    }

    fn steps(&mut self, shape: &Shape, is_root: bool) -> Vec<Step> {
        let turns = between(&mut self.rng, shape.turns);
        let turns = if is_root { turns } else { turns.div_ceil(3) };
        let mut steps = Vec::new();
        for turn in 0..turns {
            let bytes = if turn == 0 { shape.first_bytes } else { shape.bytes };
            steps.push(self.model(bytes, shape.tokens));
            if turn + 1 == turns {
                break;
            }
            self.between_turns(shape, is_root, &mut steps);
        }
        steps
    }

    fn between_turns(&mut self, shape: &Shape, is_root: bool, steps: &mut Vec<Step>) {
        let draw = self.rng.next_f64();
        if is_root && draw < shape.sub_agent_share {
            let sub = self.steps(shape, false);
            steps.push(Step::SubAgent(sub));
            return;
        }
        let draw = self.rng.next_f64();
        if draw < shape.effect_share {
            steps.push(self.service(false));
        } else if draw < shape.effect_share + shape.lookup_share {
            steps.push(self.service(true));
        }
        let pause = between(&mut self.rng, shape.pause_ms);
        steps.push(Step::Pause(std_time::Duration::from_millis(pause)));
    }

    fn model(&mut self, bytes: (u64, u64), tokens: (u64, u64)) -> Step {
        let bytes = usize::try_from(between(&mut self.rng, bytes)).unwrap_or(0);
        let tokens = between(&mut self.rng, tokens);
        let mut text = String::with_capacity(bytes + 8);
        while text.len() < bytes {
            text.push_str(&format!("{:x} ", self.rng.next_u64()));
        }
        text.push_str(&format!("#{tokens}"));
        Step::Model { text, tokens: u32::try_from(tokens).unwrap_or(1) }
    }

    fn service(&mut self, repeatable: bool) -> Step {
        let all = &self.deployment.services;
        let of_kind: Vec<&String> =
            all.iter().filter(|(_, r)| *r == repeatable).map(|(name, _)| name).collect();
        let index = usize::try_from(self.rng.next_below(of_kind.len() as u64)).unwrap_or(0);
        let service = of_kind[index].clone();
        self.effects += 1;
        let body = format!("{{\"number\":\"{}-{}\"}}", self.seed, self.effects);
        let operation = if repeatable { "read" } else { "write" };
        Step::Service { service, operation: operation.to_owned(), body, repeatable }
    }
}
