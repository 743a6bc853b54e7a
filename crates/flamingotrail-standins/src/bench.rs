//! The load and experiment tool: the real worlds against stand-ins on the virtual clock, under a
//! policy and a load, with figures. docs/MEASUREMENTS.md defines each figure.

use std::collections;
use std::time as std_time;

use flamingotrail_core::config;

use crate::deployment;
use crate::engine;
use crate::simulation;
use crate::simulation::callers;
use crate::workload;

/// Slots of an engine in the bench.
const SLOTS: u32 = 8;
/// Cache of an engine in the bench, in tokens.
const CACHE_TOKENS: u64 = 60_000;
/// Time after the last arrival in which programs may still end.
const TAIL: std_time::Duration = std_time::Duration::from_secs(240);
/// Programs that estimate the capacity.
const SAMPLE: usize = 2000;

/// A fault in a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum Fault {
    /// None.
    #[default]
    None,
    /// An engine and the process beside it are lost for good at a third of the run.
    LostEndpoint,
    /// A region is cut off for a third of the run.
    LostRegion,
    /// The log is out for a third of the run.
    LogOutage,
}

/// One run.
#[derive(Clone, Debug)]
pub struct BenchConfig {
    /// The deployment.
    pub deployment: deployment::Deployment,
    /// Name of the policy, for the report.
    pub policy: String,
    /// The policies.
    pub policies: config::Policies,
    /// Load, as a share of the capacity.
    pub load: f64,
    /// Seed.
    pub seed: u64,
    /// Length of arrivals.
    pub span: std_time::Duration,
    /// Whether a burst of twice the load stands in the middle third.
    pub burst: bool,
    /// Whether the first workspace sends three times what it would alone, in addition.
    pub greedy: bool,
    /// A fault.
    pub fault: Fault,
}

/// Figures of one run.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Programs that started.
    pub programs: usize,
    /// Programs that were done.
    pub done: usize,
    /// Programs that were refused at their first call.
    pub refused: usize,
    /// Latencies of done programs without their pauses, in seconds, sorted.
    pub latencies: Vec<f64>,
    /// Mean over done programs of the time that they take at least: alone on an engine, everything
    /// earlier cached, no queue.
    pub bound_mean_s: f64,
    /// The same by workspace.
    pub by_workspace: collections::BTreeMap<String, Vec<f64>>,
    /// Time to first token, 95th percentile, in seconds.
    pub first_token_p95_s: f64,
    /// Time between tokens, 95th percentile, in milliseconds.
    pub inter_token_p95_ms: f64,
    /// Token-seconds held for programs that had ended.
    pub held_token_s: f64,
    /// Prompt tokens computed again.
    pub recomputed_tokens: u64,
    /// Share of prompt tokens found in a cache.
    pub cache_hit: f64,
    /// Bytes of text between regions.
    pub cross_region_bytes: u64,
    /// Programs that did not end within the run.
    pub starved: usize,
    /// Time to a refusal, 95th percentile, in milliseconds.
    pub refusal_p95_ms: f64,
    /// Tokens generated for programs that were done, a second, over what all engines can.
    pub goodput: f64,
    /// Length of ticks, in microseconds: median and 99th percentile.
    pub decisions_us: (f64, f64),
    /// What did not hold.
    pub violations: Vec<String>,
    /// Appends that the log took a second.
    pub appends_per_s: f64,
    /// Control messages a second for each node.
    pub messages_per_node_s: f64,
}

/// Named policies: three baselines, the default, and the default with one part of a baseline.
pub const POLICIES: &[&str] = &[
    "round-robin",
    "least-outstanding",
    "affinity",
    "default",
    "fifo-queue",
    "engine-retention",
    "hash-placement",
];

/// The policies called `name`.
pub fn policies(name: &str) -> Option<config::Policies> {
    let baseline = |placement| config::Policies {
        queue: config::QueuePolicy::Fifo,
        placement,
        retention: config::RetentionPolicy::EngineOnly,
        admission: config::AdmissionPolicy::Deadline,
    };
    let default = config::Policies::default();
    let policies = match name {
        "round-robin" => baseline(config::PlacementPolicy::RoundRobin),
        "least-outstanding" => baseline(config::PlacementPolicy::LeastOutstanding),
        "affinity" => baseline(config::PlacementPolicy::Affinity),
        "default" => default,
        "fifo-queue" => config::Policies { queue: config::QueuePolicy::Fifo, ..default },
        "engine-retention" => {
            config::Policies { retention: config::RetentionPolicy::EngineOnly, ..default }
        }
        "hash-placement" => {
            config::Policies { placement: config::PlacementPolicy::Affinity, ..default }
        }
        _ => return None,
    };
    Some(policies)
}

/// Engine-seconds of steps: the mean over programs of what an engine spends on one when every
/// batch is full and every earlier turn is cached.
fn engine_seconds(steps: &[workload::Step], config: &engine::EngineConfig) -> f64 {
    let slots = f64::from(SLOTS);
    let per_token = config.step_per_token.as_secs_f64();
    let decode = config.step_base.as_secs_f64() / slots + per_token;
    let mut seconds = 0.0;
    for step in steps {
        seconds += match step {
            workload::Step::Model { text, tokens } => {
                text.len() as f64 / 4.0 * per_token + f64::from(*tokens) * decode
            }
            workload::Step::SubAgent(steps) => engine_seconds(steps, config),
            _ => 0.0,
        };
    }
    seconds
}

/// Seconds that a program takes at least, without its pauses: alone on an engine, everything
/// earlier cached, no queue, all in one region.
fn least_seconds(steps: &[workload::Step], config: &simulation::SimulationConfig) -> f64 {
    let engine = &config.engine;
    let per_token = engine.step_per_token.as_secs_f64();
    let step_s = engine.step_base.as_secs_f64() + per_token;
    let deployment = &config.deployment;
    let path = 2.0 * (deployment.client_delay + deployment.near_delay).as_secs_f64();
    let each = steps.iter().map(|step| match step {
        workload::Step::Model { text, tokens } => {
            text.len() as f64 / 4.0 * per_token + f64::from(*tokens) * step_s + path
        }
        workload::Step::Service { .. } => config.tool_latency.as_secs_f64() + path,
        workload::Step::Pause(_) => 0.0,
        workload::Step::SubAgent(steps) => least_seconds(steps, config),
    });
    each.sum()
}

fn tokens_of(steps: &[workload::Step]) -> u64 {
    let each = steps.iter().map(|step| match step {
        workload::Step::Model { tokens, .. } => u64::from(*tokens),
        workload::Step::SubAgent(steps) => tokens_of(steps),
        _ => 0,
    });
    each.sum()
}

/// Programs a second that the engines of `deployment` can run.
pub fn capacity(deployment: &deployment::Deployment, config: &engine::EngineConfig) -> f64 {
    const SEED: u64 = 99;
    let sample = workload::Workload::new(deployment, SEED).programs(SAMPLE, 1.0);
    let total: f64 = sample.iter().map(|program| engine_seconds(&program.steps, config)).sum();
    deployment.engines().count() as f64 * SAMPLE as f64 / total
}

/// Runs once.
pub fn run(bench: &BenchConfig) -> Figures {
    let mut deployment = bench.deployment.clone().with_policies(bench.policies);
    deployment.slots = SLOTS;
    deployment.cache_tokens = CACHE_TOKENS;
    let mut config = simulation::SimulationConfig::new(deployment.clone(), bench.seed);
    config.entries = deployment.regions.len();
    config.keep_trace = false;
    let rate = bench.load * capacity(&deployment, &config.engine);
    let programs = programs(bench, &deployment, rate);
    let mut rig = simulation::Simulation::new(config);
    rig.checker.records_ticks = true;
    rig.callers.records_token_times = true;
    let start = std_time::Duration::from_secs(3);
    rig.run_until(rig.now.after(start));
    let tokens: collections::BTreeMap<&str, &str> =
        deployment.workspaces.iter().map(|w| (w.name.as_str(), w.token.as_str())).collect();
    for program in &programs {
        let manner = callers::CallerConfig {
            max_sends: 6,
            deadline: std_time::Duration::from_secs(60),
            abandons_if_overloaded: true,
            ..callers::CallerConfig::default()
        };
        let name = format!("p{}", program.number);
        rig.add_caller(&name, program, tokens[program.workspace.as_str()], manner);
    }
    let held = drive(bench, &mut rig);
    figures(bench, &programs, rig, held)
}

fn programs(
    bench: &BenchConfig,
    deployment: &deployment::Deployment,
    rate: f64,
) -> Vec<workload::Program> {
    let span = bench.span.as_secs_f64();
    let mut workload = workload::Workload::new(deployment, bench.seed);
    let mut programs = workload.programs((rate * span) as usize, rate);
    if bench.burst {
        let extra = workload.programs((rate * span / 3.0) as usize, rate);
        programs.extend(extra.into_iter().map(|mut program| {
            program.starts += bench.span / 3;
            program
        }));
    }
    if bench.greedy {
        let first = deployment.workspaces[0].name.clone();
        let extra = workload.programs((3.0 * rate * span) as usize, 3.0 * rate);
        programs.extend(extra.into_iter().filter(|program| program.workspace == first));
    }
    for (number, program) in programs.iter_mut().enumerate() {
        program.number = number;
    }
    programs
}

/// Runs to the end; returns the token-seconds held for programs that had ended.
fn drive(bench: &BenchConfig, rig: &mut simulation::Simulation) -> f64 {
    const SAMPLE: std_time::Duration = std_time::Duration::from_millis(500);
    let begin = rig.now;
    let end = begin.after(bench.span + TAIL);
    let mut held = 0.0;
    let mut stage = 0;
    while rig.now < end {
        let elapsed = rig.now.since(begin);
        if stage == 0 && elapsed >= bench.span / 3 {
            stage = 1;
            begin_fault(bench, rig);
        }
        if stage == 1 && elapsed >= bench.span * 2 / 3 {
            stage = 2;
            end_fault(bench, rig);
        }
        rig.run_until(rig.now.after(SAMPLE));
        held += held_tokens(rig) * SAMPLE.as_secs_f64();
        if rig.callers.rows.iter().all(|caller| caller.outcome.is_some()) {
            break;
        }
    }
    held
}

fn begin_fault(bench: &BenchConfig, rig: &mut simulation::Simulation) {
    let first = bench.deployment.engines().next().map(|endpoint| endpoint.name.clone());
    match (bench.fault, first) {
        (Fault::LostEndpoint, Some(name)) => {
            rig.kill_node(&format!("at-{name}"));
            rig.crash_engine(&name);
        }
        (Fault::LostRegion, _) => {
            let region = bench.deployment.regions[0].0.clone();
            for (other, _) in bench.deployment.regions.iter().skip(1) {
                rig.network.set_cut(&region, other, true);
            }
        }
        (Fault::LogOutage, _) => rig.set_log_outage(true),
        _ => {}
    }
}

fn end_fault(bench: &BenchConfig, rig: &mut simulation::Simulation) {
    match bench.fault {
        Fault::LostRegion => rig.network.set_cut("*", "*", false),
        Fault::LogOutage => rig.set_log_outage(false),
        _ => {}
    }
}

/// Tokens that engines keep for programs that have ended.
fn held_tokens(rig: &simulation::Simulation) -> f64 {
    let ended: collections::BTreeSet<u64> = rig
        .callers
        .rows
        .iter()
        .filter(|caller| caller.outcome.is_some())
        .filter_map(|caller| caller.program.as_ref())
        .map(|program| program.key)
        .collect();
    let mut held = 0;
    for engine in rig.engines.values() {
        let tags = engine.cache().tokens_by_tag();
        held += tags.filter(|(tag, _)| ended.contains(tag)).map(|(_, tokens)| tokens).sum::<u64>();
    }
    held as f64
}

/// Value at `share` of sorted numbers; 0 where there are none.
pub fn percentile(sorted: &[f64], share: f64) -> f64 {
    if sorted.is_empty() {
        return 0.0;
    }
    let index = (sorted.len() as f64 * share).ceil() as usize;
    sorted[index.clamp(1, sorted.len()) - 1]
}

fn sorted(mut values: Vec<f64>) -> Vec<f64> {
    values.sort_by(f64::total_cmp);
    values
}

/// Mean; 0 where there are none.
pub fn mean(values: &[f64]) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    values.iter().sum::<f64>() / values.len() as f64
}

fn figures(
    bench: &BenchConfig,
    programs: &[workload::Program],
    rig: simulation::Simulation,
    held_token_s: f64,
) -> Figures {
    let mut latencies = Vec::new();
    let mut by_workspace: collections::BTreeMap<String, Vec<f64>> = Default::default();
    let (mut done, mut refused, mut starved, mut done_tokens) = (0, 0, 0, 0);
    let mut bounds = Vec::new();
    for (caller, program) in rig.callers.rows.iter().zip(programs) {
        match &caller.outcome {
            Some(callers::ProgramOutcome::Done) => {
                done += 1;
                done_tokens += tokens_of(&program.steps);
                bounds.push(least_seconds(&program.steps, &rig.config));
                let ended = caller.ended_at.unwrap_or(caller.started_at);
                let took = ended.since(caller.started_at).saturating_sub(caller.paused);
                latencies.push(took.as_secs_f64());
                let row = by_workspace.entry(caller.workspace.clone()).or_default();
                row.push(took.as_secs_f64());
            }
            Some(callers::ProgramOutcome::NotRun(_)) if caller.answered == 0 => refused += 1,
            Some(_) => {}
            None => starved += 1,
        }
    }
    let micros = |values: &[u64]| sorted(values.iter().map(|v| *v as f64).collect());
    let gaps = sorted(rig.callers.inter_token_gaps.iter().map(|v| f64::from(*v)).collect());
    let ticks = sorted(rig.checker.tick_times.iter().map(|v| f64::from(*v) / 1000.0).collect());
    let (prompt, cached) = rig.checker.prompt_tokens;
    let elapsed = rig.now.as_micros() as f64 / 1e6;
    let engines = bench.deployment.engines().count() as f64;
    let config = &rig.config.engine;
    let decode =
        config.step_base.as_secs_f64() / f64::from(SLOTS) + config.step_per_token.as_secs_f64();
    Figures {
        programs: programs.len(),
        done,
        refused,
        latencies: sorted(latencies),
        bound_mean_s: mean(&bounds),
        by_workspace,
        first_token_p95_s: percentile(&micros(&rig.callers.first_token_times), 0.95) / 1e6,
        inter_token_p95_ms: percentile(&gaps, 0.95) / 1e3,
        held_token_s,
        recomputed_tokens: rig.checker.recomputed_tokens,
        cache_hit: cached as f64 / (prompt as f64).max(1.0),
        cross_region_bytes: rig.network.cross_region_bytes,
        starved,
        refusal_p95_ms: percentile(&micros(&rig.callers.refusal_times), 0.95) / 1e3,
        goodput: done_tokens as f64 * decode / engines / bench.span.as_secs_f64(),
        decisions_us: (percentile(&ticks, 0.5), percentile(&ticks, 0.99)),
        violations: rig.checker.violations.clone(),
        appends_per_s: rig.log.appends as f64 / elapsed,
        messages_per_node_s: rig.network.messages_sent as f64 / elapsed / rig.nodes.len() as f64,
    }
}

impl Figures {
    /// Wasted cache: token-seconds held for ended programs, and tokens computed again.
    pub fn wasted_cache_tokens(&self) -> f64 {
        self.held_token_s + self.recomputed_tokens as f64
    }

    /// Jain's index of fairness over the mean latencies of workspaces.
    pub fn fairness(&self) -> f64 {
        let means: Vec<f64> = self.by_workspace.values().map(|row| mean(row)).collect();
        let sum: f64 = means.iter().sum();
        let squares: f64 = means.iter().map(|m| m * m).sum();
        if squares == 0.0 {
            return 1.0;
        }
        sum * sum / (means.len() as f64 * squares)
    }

    /// The figures as one line of key=value pairs.
    pub fn line(&self, bench: &BenchConfig) -> String {
        let l = &self.latencies;
        format!(
            "policy={} load={} seed={} programs={} done={} refused={} program_mean_s={:.3} bound_mean_s={:.3} \
             program_p50_s={:.3} program_p95_s={:.3} program_p99_s={:.3} first_token_p95_s={:.3} \
             inter_token_p95_ms={:.2} wasted_cache_tokens={:.0} held_token_s={:.0} \
             recomputed_tokens={} cache_hit={:.3} cross_region_bytes={} fairness={:.3} starved={} \
             refusal_p95_ms={:.1} goodput={:.3} decisions_us_p50={:.1} decisions_us_p99={:.1} \
             violations={}",
            bench.policy,
            bench.load,
            bench.seed,
            self.programs,
            self.done,
            self.refused,
            mean(l),
            self.bound_mean_s,
            percentile(l, 0.5),
            percentile(l, 0.95),
            percentile(l, 0.99),
            self.first_token_p95_s,
            self.inter_token_p95_ms,
            self.wasted_cache_tokens(),
            self.held_token_s,
            self.recomputed_tokens,
            self.cache_hit,
            self.cross_region_bytes,
            self.fairness(),
            self.starved,
            self.refusal_p95_ms,
            self.goodput,
            self.decisions_us.0,
            self.decisions_us.1,
            self.violations.len(),
        )
    }
}
