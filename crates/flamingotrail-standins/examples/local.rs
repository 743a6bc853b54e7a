//! Runs a cluster on this machine: fakes of the external systems in this process, real daemons, a
//! workload of programs over HTTP, and optional faults. `scripts/local --help` lists the options.

use std::collections;
use std::path;
use std::process;
use std::rc;
use std::time;

use clap::Parser as _;
use flamingotrail_standins::deployment;
use flamingotrail_standins::http;
use flamingotrail_standins::local::caller;
use flamingotrail_standins::local::cluster;
use flamingotrail_standins::local::faults;
use flamingotrail_standins::workload;

/// Run programs through real daemons on loopback.
#[derive(Debug, clap::Parser)]
#[command(name = "scripts/local")]
struct Args {
    /// Deployment to run: fjordhest or wasadat.
    #[arg(long, default_value = "fjordhest")]
    deployment: String,
    /// Number of programs to run.
    #[arg(long, default_value_t = 40)]
    programs: usize,
    /// Programs started per second.
    #[arg(long, default_value_t = 4.0)]
    rate: f64,
    /// Seed of the workload and of the choice of processes for faults.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of regions.
    #[arg(long, default_value_t = 3)]
    regions: usize,
    /// Number of entry processes.
    #[arg(long, default_value_t = 2)]
    entries: usize,
    /// Number of engines, each with its own endpoint process.
    #[arg(long, default_value_t = 6)]
    engines: usize,
    /// Number of service endpoints, each with its own process.
    #[arg(long, default_value_t = 3)]
    runners: usize,
    /// Faults to inject, one after the other, while programs run.
    #[arg(long, value_enum)]
    fault: Vec<faults::Fault>,
    /// Folder for keys and log files [default: a folder in the system's temporary directory].
    #[arg(long)]
    folder: Option<path::PathBuf>,
    /// Keep the daemons and fakes running after the programs have ended, until Enter is pressed.
    #[arg(long)]
    stay: bool,
}

fn main() -> process::ExitCode {
    let args = Args::parse();
    match actix_rt::System::new().block_on(run(&args)) {
        Ok(true) => process::ExitCode::SUCCESS,
        Ok(false) => process::ExitCode::FAILURE,
        Err(error) => {
            eprintln!("the local run failed: {error}");
            process::ExitCode::FAILURE
        }
    }
}

async fn run(args: &Args) -> std::io::Result<bool> {
    let Some(deployment) = deployment::by_name(&args.deployment) else {
        return Err(std::io::Error::other("--deployment: unknown name; use fjordhest or wasadat"));
    };
    let deployment =
        deployment.with_regions(args.regions).with_endpoints(args.engines, args.runners);
    let folder = args.folder.clone().unwrap_or_else(|| {
        std::env::temp_dir().join(format!("flamingotrail-local-{}", process::id()))
    });
    let mut cluster = cluster::Cluster::start(deployment, args.entries, &folder).await?;
    println!("stand-ins={} folder={}", cluster.fakes_address, folder.display());
    for row in &cluster.daemons.rows {
        let listen = if row.endpoint.is_none() { row.listen.to_string() } else { String::new() };
        println!("process={} listen={listen} admin={}", row.name, row.admin);
    }

    let caller = caller::Caller::new(cluster.daemons.entry_addresses(), &cluster.deployment.model);
    let mut workload = workload::Workload::new(&cluster.deployment, args.seed);
    let programs = workload.programs(args.programs, args.rate);
    let tasks = spawn_programs(&caller, &cluster.deployment, programs);
    inject_faults(args, &mut cluster).await?;
    report_progress(&caller, args.programs, tasks).await;
    if args.stay {
        wait_for_input().await;
    }
    let wasted_tokens = cluster.sum_metric("flamingotrail_wasted_cache_tokens_total").await;
    let failed_daemons = cluster.daemons.stop_all().await;
    Ok(print_report(args, &caller.stats(), &cluster.fakes, wasted_tokens, &failed_daemons))
}

type ProgramTasks = Vec<actix_rt::task::JoinHandle<()>>;

fn spawn_programs(
    caller: &caller::Caller,
    deployment: &deployment::Deployment,
    programs: Vec<workload::Program>,
) -> ProgramTasks {
    let tokens: rc::Rc<collections::BTreeMap<String, String>> = rc::Rc::new(
        deployment.workspaces.iter().map(|w| (w.name.clone(), w.token.clone())).collect(),
    );
    programs
        .into_iter()
        .map(|program| {
            let (caller, tokens) = (caller.clone(), tokens.clone());
            actix_rt::spawn(async move {
                actix_rt::time::sleep(program.starts_at).await;
                caller.run_program(&program, &tokens[&program.workspace]).await;
            })
        })
        .collect()
}

async fn inject_faults(args: &Args, cluster: &mut cluster::Cluster) -> std::io::Result<()> {
    const DELAY: time::Duration = time::Duration::from_secs(2);
    let endpoint_daemons: Vec<usize> = (0..cluster.daemons.rows.len())
        .filter(|index| cluster.daemons.rows[*index].endpoint.is_some())
        .collect();
    for (number, fault) in args.fault.iter().enumerate() {
        actix_rt::time::sleep(DELAY).await;
        let position = (usize::try_from(args.seed).unwrap_or(0) + number) % endpoint_daemons.len();
        let index = endpoint_daemons[position];
        println!("fault={fault:?} process={}", cluster.daemons.rows[index].name);
        faults::inject(*fault, index, cluster).await?;
    }
    Ok(())
}

async fn report_progress(caller: &caller::Caller, programs: usize, tasks: ProgramTasks) {
    const INTERVAL: time::Duration = time::Duration::from_secs(2);
    while tasks.iter().any(|handle| !handle.is_finished()) {
        actix_rt::time::sleep(INTERVAL).await;
        let stats = caller.stats();
        let ended = stats.done + stats.not_run + stats.unknown;
        println!("ended={ended}/{programs} done={} repeats={}", stats.done, stats.retries);
    }
}

async fn wait_for_input() {
    println!("all programs have ended; press Enter to stop the daemons and the fakes");
    let (tx, rx) = tokio::sync::oneshot::channel();
    std::thread::spawn(move || {
        let mut line = String::new();
        let _ = std::io::stdin().read_line(&mut line);
        let _ = tx.send(());
    });
    let _ = rx.await;
}

fn percentile(sorted: &[f64], fraction: f64) -> f64 {
    if sorted.is_empty() {
        return 0.0;
    }
    let index = (sorted.len() as f64 * fraction).ceil() as usize;
    sorted[index.clamp(1, sorted.len()) - 1]
}

fn print_report(
    args: &Args,
    stats: &caller::ProgramStats,
    fakes: &http::FakeSystems,
    wasted_tokens: u64,
    failed_daemons: &[String],
) -> bool {
    for description in &stats.wrong_responses {
        println!("wrong_answer={description:?}");
    }
    for name in failed_daemons {
        println!("ended_badly={name}");
    }
    let repeated = fakes.repeated_executions_of("write");
    let mut latencies = stats.latencies.clone();
    latencies.sort_by(f64::total_cmp);
    println!(
        "programs={} done={} not_run={} unknown={} repeated_effects={repeated} \
         program_p50_s={:.3} program_p95_s={:.3} wasted_cache_tokens={wasted_tokens}",
        args.programs,
        stats.done,
        stats.not_run,
        stats.unknown,
        percentile(&latencies, 0.5),
        percentile(&latencies, 0.95),
    );
    let all_ended = stats.done + stats.not_run + stats.unknown == args.programs;
    let without_faults = args.fault.is_empty();
    let all_done = stats.done == args.programs || !without_faults;
    all_ended
        && all_done
        && repeated == 0
        && stats.wrong_responses.is_empty()
        && failed_daemons.is_empty()
}
