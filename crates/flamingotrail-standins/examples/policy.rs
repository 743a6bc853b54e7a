//! Benchmarks scheduling policies under load. Prints a line of metrics for each policy and seed and
//! the medians over the seeds, and optionally draws plots.

use std::collections;
use std::path;
use std::process;
use std::sync;
use std::thread;
use std::time;

use clap::Parser as _;
use flamingotrail_standins::bench;
use flamingotrail_standins::deployment;
use flamingotrail_standins::plot;

/// Benchmark scheduling policies under load.
#[derive(Clone, Debug, clap::Parser)]
struct Args {
    /// Deployment to run: fjordhest or wasadat.
    #[arg(long, default_value = "fjordhest")]
    deployment: String,
    /// Policies to run [default: the three baselines and the default policy].
    #[arg(long)]
    policy: Vec<String>,
    /// Loads to run, as fractions of the capacity.
    #[arg(long, default_values_t = [0.8])]
    load: Vec<f64>,
    /// First seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of seeds.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Time during which programs arrive, in seconds.
    #[arg(long, default_value_t = 30)]
    span: u64,
    /// Double the load in the middle third of the arrivals.
    #[arg(long)]
    burst: bool,
    /// Let the first workspace send three times its usual load in addition.
    #[arg(long)]
    greedy: bool,
    /// Fault to inject.
    #[arg(long, value_enum, default_value_t)]
    fault: bench::Fault,
    /// Number of threads that run benchmarks in parallel.
    #[arg(long, default_value_t = 4)]
    threads: usize,
    /// Folder to write plots to.
    #[arg(long)]
    report: Option<path::PathBuf>,
}

type Results = Vec<(bench::BenchConfig, bench::RunMetrics)>;

fn main() -> process::ExitCode {
    let args = Args::parse();
    let Some(deployment) = deployment::by_name(&args.deployment) else {
        eprintln!("--deployment: unknown name; use fjordhest or wasadat");
        return process::ExitCode::FAILURE;
    };
    let Some(runs) = plan_runs(&args, &deployment) else {
        eprintln!("--policy: unknown policy; use one of {}", bench::POLICIES.join(", "));
        return process::ExitCode::FAILURE;
    };
    let results = run_all(runs, args.threads);
    for (config, metrics) in &results {
        println!("{}", metrics.to_line(config));
        for violation in metrics.violations.iter().take(3) {
            println!("violation={violation:?}");
        }
    }
    print_medians(&results);
    if let Some(folder) = &args.report {
        if let Err(error) = plot::write_plots(folder, &results) {
            eprintln!("could not write the plots: {error}; check the folder given by --report");
            return process::ExitCode::FAILURE;
        }
    }
    let all_passed = results.iter().all(|(_, metrics)| metrics.violations.is_empty());
    if all_passed {
        process::ExitCode::SUCCESS
    } else {
        process::ExitCode::FAILURE
    }
}

fn plan_runs(args: &Args, deployment: &deployment::Deployment) -> Option<Vec<bench::BenchConfig>> {
    let names: Vec<String> = match args.policy.is_empty() {
        true => bench::POLICIES[..4].iter().map(|name| (*name).to_owned()).collect(),
        false => args.policy.clone(),
    };
    let mut runs = Vec::new();
    for load in &args.load {
        for policy in &names {
            for seed in args.seed..args.seed + args.seeds {
                runs.push(bench::BenchConfig {
                    deployment: deployment.clone(),
                    policy: policy.clone(),
                    policies: bench::policies_by_name(policy)?,
                    load: *load,
                    seed,
                    arrival_duration: time::Duration::from_secs(args.span),
                    burst: args.burst,
                    noisy_workspace: args.greedy,
                    fault: args.fault,
                });
            }
        }
    }
    Some(runs)
}

fn run_all(runs: Vec<bench::BenchConfig>, threads: usize) -> Results {
    let count = runs.len();
    let queue = sync::Mutex::new(runs.into_iter().enumerate());
    let results = sync::Mutex::new(Vec::with_capacity(count));
    thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| loop {
                let next = queue.lock().ok().and_then(|mut queue| queue.next());
                let Some((number, config)) = next else {
                    return;
                };
                let metrics = bench::run(&config);
                if let Ok(mut results) = results.lock() {
                    results.push((number, config, metrics));
                }
            });
        }
    });
    let mut results = results.into_inner().unwrap_or_default();
    results.sort_by_key(|(number, _, _)| *number);
    results.into_iter().map(|(_, config, metrics)| (config, metrics)).collect()
}

fn print_medians(results: &Results) {
    let mut groups: collections::BTreeMap<(String, String), Vec<&bench::RunMetrics>> =
        collections::BTreeMap::new();
    for (config, metrics) in results {
        let key = (format!("{:.2}", config.load), config.policy.clone());
        groups.entry(key).or_default().push(metrics);
    }
    for ((load, policy), rows) in groups {
        let median = |value: &dyn Fn(&bench::RunMetrics) -> f64| {
            let mut values: Vec<f64> = rows.iter().map(|metrics| value(metrics)).collect();
            values.sort_by(f64::total_cmp);
            bench::percentile(&values, 0.5)
        };
        println!(
            "median policy={policy} load={load} seeds={} program_mean_s={:.3} bound_mean_s={:.3} \
             program_p95_s={:.3} \
             first_token_p95_s={:.3} inter_token_p95_ms={:.2} wasted_cache_tokens={:.0} \
             held_token_s={:.0} recomputed_tokens={:.0} cache_hit={:.3} refused={:.0} goodput={:.3} \
             refusal_p95_ms={:.1} cross_region_bytes={:.0} fairness={:.3} starved={:.0}",
            rows.len(),
            median(&|m| bench::mean(&m.latencies)),
            median(&|m| m.bound_mean_s),
            median(&|m| bench::percentile(&m.latencies, 0.95)),
            median(&|m| m.first_token_p95_s),
            median(&|m| m.inter_token_p95_ms),
            median(&bench::RunMetrics::wasted_cache_tokens),
            median(&|m| m.held_token_s),
            median(&|m| m.recomputed_tokens as f64),
            median(&|m| m.cache_hit),
            median(&|m| m.refused as f64),
            median(&|m| m.goodput),
            median(&|m| m.refusal_p95_ms),
            median(&|m| m.cross_region_bytes as f64),
            median(&bench::RunMetrics::fairness),
            median(&|m| m.unfinished as f64),
        );
        print_workspaces(&policy, &load, &rows);
    }
}

fn print_workspaces(policy: &str, load: &str, rows: &[&bench::RunMetrics]) {
    let names: collections::BTreeSet<&String> =
        rows.iter().flat_map(|metrics| metrics.latencies_by_workspace.keys()).collect();
    for name in names {
        let mut means: Vec<f64> = rows
            .iter()
            .filter_map(|metrics| metrics.latencies_by_workspace.get(name))
            .map(|row| bench::mean(row))
            .collect();
        means.sort_by(f64::total_cmp);
        let median = bench::percentile(&means, 0.5);
        println!("  workspace={name} policy={policy} load={load} program_mean_s={median:.3}");
    }
}
