//! Benchmark of scheduling policies: runs real worlds and fakes on a virtual clock under a given
//! policy and load, and collects metrics. docs/MEASUREMENTS.md defines each metric.

use std::collections;
use std::time as std_time;

use flamingotrail_core::config;

use crate::deployment;
use crate::engine;
use crate::simulation;
use crate::simulation::callers;
use crate::workload;

/// Concurrent calls per engine in the benchmark.
const SLOTS: u32 = 8;
/// Cache size of an engine in the benchmark, in tokens.
const CACHE_TOKENS: u64 = 60_000;
/// Time after the last arrival in which programs may still complete.
const COMPLETION_TIMEOUT: std_time::Duration = std_time::Duration::from_secs(240);
/// Number of programs sampled to estimate the capacity.
const CAPACITY_SAMPLE: usize = 2000;

/// A fault injected during a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// An engine and its scheduler process are lost permanently after the first third of the
    /// arrivals.
    LostEndpoint,
    /// A region is partitioned from the others during the middle third of the arrivals.
    LostRegion,
    /// The log is down during the middle third of the arrivals.
    LogOutage,
}

/// Parameters of one run.
#[derive(Clone, Debug)]
pub struct BenchConfig {
    /// Deployment to simulate.
    pub deployment: deployment::Deployment,
    /// Policy name used in reports.
    pub policy: String,
    /// Policies under test.
    pub policies: config::Policies,
    /// Offered load, as a fraction of the capacity.
    pub load: f64,
    /// Seed of the workload and the simulator.
    pub seed: u64,
    /// Time during which programs arrive.
    pub arrival_duration: std_time::Duration,
    /// Whether the load doubles during the middle third of the arrivals.
    pub burst: bool,
    /// Whether the first workspace sends three times its usual load on top of it.
    pub noisy_workspace: bool,
    /// Fault to inject.
    pub fault: Fault,
}

/// Metrics of one run.
#[derive(Clone, Debug, Default)]
pub struct RunMetrics {
    /// Number of programs started.
    pub programs: usize,
    /// Number of programs that completed.
    pub done: usize,
    /// Number of programs whose first call was refused.
    pub refused: usize,
    /// Latencies of completed programs excluding pauses, in seconds, sorted.
    pub latencies: Vec<f64>,
    /// Mean lower bound on the latency of completed programs: alone on an engine, all earlier turns
    /// cached, no queueing.
    pub bound_mean_s: f64,
    /// Latencies of completed programs by workspace, in seconds, in program order.
    pub latencies_by_workspace: collections::BTreeMap<String, Vec<f64>>,
    /// Time to first token, 95th percentile, in seconds.
    pub first_token_p95_s: f64,
    /// Time between tokens, 95th percentile, in milliseconds.
    pub inter_token_p95_ms: f64,
    /// Token-seconds of cache occupied by programs that had already ended.
    pub held_token_s: f64,
    /// Prompt tokens that had to be recomputed.
    pub recomputed_tokens: u64,
    /// Fraction of prompt tokens found in a prefix cache.
    pub cache_hit: f64,
    /// Bytes of text sent between regions.
    pub cross_region_bytes: u64,
    /// Number of programs that had not ended when the run did.
    pub unfinished: usize,
    /// Time to a refusal, 95th percentile, in milliseconds.
    pub refusal_p95_ms: f64,
    /// Decode throughput for completed programs, as a fraction of what all engines can deliver.
    pub goodput: f64,
    /// Tick duration in microseconds: median and 99th percentile.
    pub tick_duration_us: (f64, f64),
    /// Violated invariants.
    pub violations: Vec<String>,
    /// Log appends per second.
    pub appends_per_s: f64,
    /// Control messages per second and node.
    pub messages_per_node_s: f64,
}

/// Policy names: three baselines, the default, and variants of the default with one baseline part.
pub const POLICIES: &[&str] = &[
    "round-robin",
    "least-outstanding",
    "affinity",
    "default",
    "fifo-queue",
    "engine-retention",
    "hash-placement",
];

/// Returns the policies with this name.
pub fn policies_by_name(name: &str) -> Option<config::Policies> {
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

/// Returns the average engine time that a program with these steps takes, in seconds, when every
/// batch is full and every earlier turn is cached.
fn engine_time_s(steps: &[workload::Step], config: &engine::EngineConfig) -> f64 {
    let slots = f64::from(SLOTS);
    let per_token = config.step_per_token.as_secs_f64();
    let decode_s = config.step_base.as_secs_f64() / slots + per_token;
    let mut seconds = 0.0;
    for step in steps {
        seconds += match step {
            workload::Step::Model { text, tokens } => {
                text.len() as f64 / 4.0 * per_token + f64::from(*tokens) * decode_s
            }
            workload::Step::SubAgent(steps) => engine_time_s(steps, config),
            _ => 0.0,
        };
    }
    seconds
}

/// Returns a lower bound on the latency of a program in seconds, excluding pauses. It assumes that
/// the program is alone on an engine, that all earlier turns are cached, that nothing is queued,
/// and that everything is in one region.
fn minimum_latency_s(steps: &[workload::Step], config: &simulation::SimulationConfig) -> f64 {
    let engine = &config.engine;
    let per_token = engine.step_per_token.as_secs_f64();
    let step_s = engine.step_base.as_secs_f64() + per_token;
    let deployment = &config.deployment;
    let round_trip_s =
        2.0 * (deployment.client_delay + deployment.intra_region_delay).as_secs_f64();
    let per_step = steps.iter().map(|step| match step {
        workload::Step::Model { text, tokens } => {
            text.len() as f64 / 4.0 * per_token + f64::from(*tokens) * step_s + round_trip_s
        }
        workload::Step::Service { .. } => config.service_latency.as_secs_f64() + round_trip_s,
        workload::Step::Pause(_) => 0.0,
        workload::Step::SubAgent(steps) => minimum_latency_s(steps, config),
    });
    per_step.sum()
}

/// Returns the number of completion tokens that the steps request.
fn completion_tokens(steps: &[workload::Step]) -> u64 {
    let per_step = steps.iter().map(|step| match step {
        workload::Step::Model { tokens, .. } => u64::from(*tokens),
        workload::Step::SubAgent(steps) => completion_tokens(steps),
        _ => 0,
    });
    per_step.sum()
}

/// Estimates how many programs per second the engines of `deployment` can run.
pub fn capacity(deployment: &deployment::Deployment, config: &engine::EngineConfig) -> f64 {
    const SEED: u64 = 99;
    let sample = workload::Workload::new(deployment, SEED).programs(CAPACITY_SAMPLE, 1.0);
    let total: f64 = sample.iter().map(|program| engine_time_s(&program.steps, config)).sum();
    deployment.engines().count() as f64 * CAPACITY_SAMPLE as f64 / total
}

/// Runs the benchmark once.
pub fn run(bench: &BenchConfig) -> RunMetrics {
    let mut deployment = bench.deployment.clone().with_policies(bench.policies);
    deployment.slots = SLOTS;
    deployment.cache_tokens = CACHE_TOKENS;
    let mut config = simulation::SimulationConfig::new(deployment.clone(), bench.seed);
    config.entries = deployment.regions.len();
    config.keep_trace = false;
    let rate = bench.load * capacity(&deployment, &config.engine);
    let programs = programs(bench, &deployment, rate);
    let mut simulation = simulation::Simulation::new(config);
    simulation.checker.records_ticks = true;
    simulation.callers.records_token_times = true;
    let start = std_time::Duration::from_secs(3);
    simulation.run_until(simulation.now.after(start));
    let tokens: collections::BTreeMap<&str, &str> =
        deployment.workspaces.iter().map(|w| (w.name.as_str(), w.token.as_str())).collect();
    for program in &programs {
        let caller_config = callers::CallerConfig {
            max_sends: 6,
            deadline: std_time::Duration::from_secs(60),
            abandons_if_overloaded: true,
            ..callers::CallerConfig::default()
        };
        let name = format!("p{}", program.number);
        simulation.add_caller(&name, program, tokens[program.workspace.as_str()], caller_config);
    }
    let held_token_s = run_to_end(bench, &mut simulation);
    collect_metrics(bench, &programs, simulation, held_token_s)
}

/// Generates the programs of a run, including those of a burst and of the noisy workspace.
fn programs(
    bench: &BenchConfig,
    deployment: &deployment::Deployment,
    rate: f64,
) -> Vec<workload::Program> {
    let arrival_s = bench.arrival_duration.as_secs_f64();
    let mut workload = workload::Workload::new(deployment, bench.seed);
    let mut programs = workload.programs((rate * arrival_s) as usize, rate);
    if bench.burst {
        let extra = workload.programs((rate * arrival_s / 3.0) as usize, rate);
        programs.extend(extra.into_iter().map(|mut program| {
            program.starts_at += bench.arrival_duration / 3;
            program
        }));
    }
    if bench.noisy_workspace {
        let first = deployment.workspaces[0].name.clone();
        let extra = workload.programs((3.0 * rate * arrival_s) as usize, 3.0 * rate);
        programs.extend(extra.into_iter().filter(|program| program.workspace == first));
    }
    for (number, program) in programs.iter_mut().enumerate() {
        program.number = number;
    }
    programs
}

/// Runs until all programs have ended or the time limit is reached, and injects the fault. Returns
/// the token-seconds of cache occupied by programs that had already ended.
fn run_to_end(bench: &BenchConfig, simulation: &mut simulation::Simulation) -> f64 {
    const INTERVAL: std_time::Duration = std_time::Duration::from_millis(500);
    let started_at = simulation.now;
    let end = started_at.after(bench.arrival_duration + COMPLETION_TIMEOUT);
    let mut held_token_s = 0.0;
    // Third of the arrivals that the run is in, counted from 0.
    let mut current_third = 0;
    while simulation.now < end {
        let elapsed = simulation.now.since(started_at);
        if current_third == 0 && elapsed >= bench.arrival_duration / 3 {
            current_third = 1;
            inject_fault(bench, simulation);
        }
        if current_third == 1 && elapsed >= bench.arrival_duration * 2 / 3 {
            current_third = 2;
            clear_fault(bench, simulation);
        }
        simulation.run_until(simulation.now.after(INTERVAL));
        held_token_s += tokens_of_ended_programs(simulation) * INTERVAL.as_secs_f64();
        if simulation.callers.rows.iter().all(|caller| caller.outcome.is_some()) {
            break;
        }
    }
    held_token_s
}

fn inject_fault(bench: &BenchConfig, simulation: &mut simulation::Simulation) {
    let engine = bench.deployment.engines().next().map(|endpoint| endpoint.name.clone());
    match (bench.fault, engine) {
        (Fault::LostEndpoint, Some(name)) => {
            simulation.kill_node(&format!("at-{name}"));
            simulation.crash_engine(&name);
        }
        (Fault::LostRegion, _) => {
            let region = bench.deployment.regions[0].0.clone();
            for (other, _) in bench.deployment.regions.iter().skip(1) {
                simulation.network.set_cut(&region, other, true);
            }
        }
        (Fault::LogOutage, _) => simulation.set_log_outage(true),
        _ => {}
    }
}

fn clear_fault(bench: &BenchConfig, simulation: &mut simulation::Simulation) {
    match bench.fault {
        Fault::LostRegion => simulation.network.set_cut("*", "*", false),
        Fault::LogOutage => simulation.set_log_outage(false),
        _ => {}
    }
}

/// Returns the number of cached tokens that belong to ended programs.
fn tokens_of_ended_programs(simulation: &simulation::Simulation) -> f64 {
    let ended: collections::BTreeSet<u64> = simulation
        .callers
        .rows
        .iter()
        .filter(|caller| caller.outcome.is_some())
        .filter_map(|caller| caller.program.as_ref())
        .map(|program| program.key)
        .collect();
    let mut held_tokens = 0;
    for engine in simulation.engines.values() {
        let tags = engine.cache().tokens_by_tag();
        held_tokens +=
            tags.filter(|(tag, _)| ended.contains(tag)).map(|(_, tokens)| tokens).sum::<u64>();
    }
    held_tokens as f64
}

/// Returns the nearest-rank percentile of sorted values; `fraction` is in 0..=1. Returns 0 if
/// empty.
pub fn percentile(sorted: &[f64], fraction: f64) -> f64 {
    if sorted.is_empty() {
        return 0.0;
    }
    let index = (sorted.len() as f64 * fraction).ceil() as usize;
    sorted[index.clamp(1, sorted.len()) - 1]
}

fn sorted(mut values: Vec<f64>) -> Vec<f64> {
    values.sort_by(f64::total_cmp);
    values
}

/// Returns the mean, or 0 if empty.
pub fn mean(values: &[f64]) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    values.iter().sum::<f64>() / values.len() as f64
}

fn collect_metrics(
    bench: &BenchConfig,
    programs: &[workload::Program],
    simulation: simulation::Simulation,
    held_token_s: f64,
) -> RunMetrics {
    let mut latencies = Vec::new();
    let mut by_workspace: collections::BTreeMap<String, Vec<f64>> = Default::default();
    let (mut done, mut refused, mut unfinished, mut done_tokens) = (0, 0, 0, 0);
    let mut latency_bounds = Vec::new();
    for (caller, program) in simulation.callers.rows.iter().zip(programs) {
        match &caller.outcome {
            Some(callers::ProgramOutcome::Done) => {
                done += 1;
                done_tokens += completion_tokens(&program.steps);
                latency_bounds.push(minimum_latency_s(&program.steps, &simulation.config));
                let ended = caller.ended_at.unwrap_or(caller.started_at);
                let latency = ended.since(caller.started_at).saturating_sub(caller.paused);
                latencies.push(latency.as_secs_f64());
                let workspace_latencies = by_workspace.entry(caller.workspace.clone()).or_default();
                workspace_latencies.push(latency.as_secs_f64());
            }
            Some(callers::ProgramOutcome::NotRun(_)) if caller.completed_calls == 0 => refused += 1,
            Some(_) => {}
            None => unfinished += 1,
        }
    }
    let to_sorted = |values: &[u64]| sorted(values.iter().map(|v| *v as f64).collect());
    let gaps = sorted(simulation.callers.inter_token_gaps.iter().map(|v| f64::from(*v)).collect());
    let ticks =
        sorted(simulation.checker.tick_times.iter().map(|v| f64::from(*v) / 1000.0).collect());
    let (prompt_tokens, cached_tokens) = simulation.checker.prompt_tokens;
    let elapsed = simulation.now.as_micros() as f64 / 1e6;
    let engines = bench.deployment.engines().count() as f64;
    let config = &simulation.config.engine;
    let decode_s =
        config.step_base.as_secs_f64() / f64::from(SLOTS) + config.step_per_token.as_secs_f64();
    RunMetrics {
        programs: programs.len(),
        done,
        refused,
        latencies: sorted(latencies),
        bound_mean_s: mean(&latency_bounds),
        latencies_by_workspace: by_workspace,
        first_token_p95_s: percentile(&to_sorted(&simulation.callers.first_token_times), 0.95)
            / 1e6,
        inter_token_p95_ms: percentile(&gaps, 0.95) / 1e3,
        held_token_s,
        recomputed_tokens: simulation.checker.recomputed_tokens,
        cache_hit: cached_tokens as f64 / (prompt_tokens as f64).max(1.0),
        cross_region_bytes: simulation.network.cross_region_bytes,
        unfinished,
        refusal_p95_ms: percentile(&to_sorted(&simulation.callers.refusal_times), 0.95) / 1e3,
        goodput: done_tokens as f64 * decode_s / engines / bench.arrival_duration.as_secs_f64(),
        tick_duration_us: (percentile(&ticks, 0.5), percentile(&ticks, 0.99)),
        violations: simulation.checker.violations.clone(),
        appends_per_s: simulation.log.appends as f64 / elapsed,
        messages_per_node_s: simulation.network.messages_sent as f64
            / elapsed
            / simulation.nodes.len() as f64,
    }
}

impl RunMetrics {
    /// Returns the wasted cache: token-seconds occupied by ended programs plus recomputed tokens.
    pub fn wasted_cache_tokens(&self) -> f64 {
        self.held_token_s + self.recomputed_tokens as f64
    }

    /// Returns Jain's fairness index over the mean latencies of the workspaces.
    pub fn fairness(&self) -> f64 {
        let means: Vec<f64> = self.latencies_by_workspace.values().map(|row| mean(row)).collect();
        let sum: f64 = means.iter().sum();
        let squares: f64 = means.iter().map(|m| m * m).sum();
        if squares == 0.0 {
            return 1.0;
        }
        sum * sum / (means.len() as f64 * squares)
    }

    /// Formats the metrics as one line of key=value pairs.
    pub fn to_line(&self, bench: &BenchConfig) -> String {
        let latencies = &self.latencies;
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
            mean(latencies),
            self.bound_mean_s,
            percentile(latencies, 0.5),
            percentile(latencies, 0.95),
            percentile(latencies, 0.99),
            self.first_token_p95_s,
            self.inter_token_p95_ms,
            self.wasted_cache_tokens(),
            self.held_token_s,
            self.recomputed_tokens,
            self.cache_hit,
            self.cross_region_bytes,
            self.fairness(),
            self.unfinished,
            self.refusal_p95_ms,
            self.goodput,
            self.tick_duration_us.0,
            self.tick_duration_us.1,
            self.violations.len(),
        )
    }
}
