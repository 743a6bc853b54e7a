//! Runs the whole path on this machine: stand-ins in this process, real daemons beside it, programs
//! of the users' kinds over HTTP, and faults on request. `scripts/local --help` tells the options.

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

/// Runs programs through real daemons on loopback.
#[derive(Debug, clap::Parser)]
#[command(name = "scripts/local")]
struct Args {
    /// `fjordhest` or `wasadat`.
    #[arg(long, default_value = "fjordhest")]
    deployment: String,
    /// Programs to run.
    #[arg(long, default_value_t = 40)]
    programs: usize,
    /// Programs that start in a second.
    #[arg(long, default_value_t = 4.0)]
    rate: f64,
    /// Seed of the programs and faults.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Regions.
    #[arg(long, default_value_t = 3)]
    regions: usize,
    /// Entry processes.
    #[arg(long, default_value_t = 2)]
    entries: usize,
    /// Engines, each with a process beside it.
    #[arg(long, default_value_t = 6)]
    engines: usize,
    /// Runners of plain services, each with a process beside it.
    #[arg(long, default_value_t = 3)]
    runners: usize,
    /// Faults to cause one after the other while programs run.
    #[arg(long, value_enum)]
    fault: Vec<faults::Fault>,
    /// Folder for keys and logs; a new one below the system's folder for temporary files where it
    /// is left out.
    #[arg(long)]
    folder: Option<path::PathBuf>,
    /// Keeps daemons and stand-ins running after the programs, until a line on standard input.
    #[arg(long)]
    stay: bool,
}

fn main() -> process::ExitCode {
    let args = Args::parse();
    match actix_rt::System::new().block_on(run(&args)) {
        Ok(true) => process::ExitCode::SUCCESS,
        Ok(false) => process::ExitCode::FAILURE,
        Err(error) => {
            eprintln!("the run could not be set up: {error}");
            process::ExitCode::FAILURE
        }
    }
}

async fn run(args: &Args) -> std::io::Result<bool> {
    let Some(deployment) = deployment::named(&args.deployment) else {
        return Err(std::io::Error::other("--deployment: give fjordhest or wasadat"));
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
    let running = start_programs(&caller, &cluster.deployment, programs);
    cause_faults(args, &mut cluster).await?;
    progress(&caller, args.programs, running).await;
    if args.stay {
        stay().await;
    }
    let wasted = cluster.sum_metric("flamingotrail_wasted_cache_tokens_total").await;
    let bad = cluster.daemons.stop_all().await;
    Ok(report(args, &caller.stats(), &cluster.fakes, wasted, &bad))
}

type Running = Vec<actix_rt::task::JoinHandle<()>>;

fn start_programs(
    caller: &caller::Caller,
    deployment: &deployment::Deployment,
    programs: Vec<workload::Program>,
) -> Running {
    let tokens: rc::Rc<collections::BTreeMap<String, String>> = rc::Rc::new(
        deployment.workspaces.iter().map(|w| (w.name.clone(), w.token.clone())).collect(),
    );
    programs
        .into_iter()
        .map(|program| {
            let (caller, tokens) = (caller.clone(), tokens.clone());
            actix_rt::spawn(async move {
                actix_rt::time::sleep(program.starts).await;
                caller.run_program(&program, &tokens[&program.workspace]).await;
            })
        })
        .collect()
}

async fn cause_faults(args: &Args, cluster: &mut cluster::Cluster) -> std::io::Result<()> {
    const BEFORE: time::Duration = time::Duration::from_secs(2);
    let beside: Vec<usize> = (0..cluster.daemons.rows.len())
        .filter(|index| cluster.daemons.rows[*index].endpoint.is_some())
        .collect();
    for (number, fault) in args.fault.iter().enumerate() {
        actix_rt::time::sleep(BEFORE).await;
        let chosen = (usize::try_from(args.seed).unwrap_or(0) + number) % beside.len();
        let index = beside[chosen];
        println!("fault={fault:?} process={}", cluster.daemons.rows[index].name);
        faults::inject(*fault, index, cluster).await?;
    }
    Ok(())
}

async fn progress(caller: &caller::Caller, programs: usize, running: Running) {
    const PAUSE: time::Duration = time::Duration::from_secs(2);
    while running.iter().any(|handle| !handle.is_finished()) {
        actix_rt::time::sleep(PAUSE).await;
        let stats = caller.stats();
        let ended = stats.done + stats.not_run + stats.unknown;
        println!("ended={ended}/{programs} done={} repeats={}", stats.done, stats.retries);
    }
}

async fn stay() {
    println!("the programs have ended; daemons and stand-ins run until a line on standard input");
    let (tx, rx) = tokio::sync::oneshot::channel();
    std::thread::spawn(move || {
        let mut line = String::new();
        let _ = std::io::stdin().read_line(&mut line);
        let _ = tx.send(());
    });
    let _ = rx.await;
}

fn percentile(sorted: &[f64], share: f64) -> f64 {
    if sorted.is_empty() {
        return 0.0;
    }
    let index = (sorted.len() as f64 * share).ceil() as usize;
    sorted[index.clamp(1, sorted.len()) - 1]
}

fn report(
    args: &Args,
    stats: &caller::ProgramStats,
    fakes: &http::FakeSystems,
    wasted: u64,
    bad: &[String],
) -> bool {
    for wrong in &stats.wrong_answers {
        println!("wrong_answer={wrong:?}");
    }
    for name in bad {
        println!("ended_badly={name}");
    }
    let repeated = fakes.repeated_executions_of("write");
    let mut latencies = stats.latencies.clone();
    latencies.sort_by(f64::total_cmp);
    println!(
        "programs={} done={} not_run={} unknown={} repeated_effects={repeated} \
         program_p50_s={:.3} program_p95_s={:.3} wasted_cache_tokens={wasted}",
        args.programs,
        stats.done,
        stats.not_run,
        stats.unknown,
        percentile(&latencies, 0.5),
        percentile(&latencies, 0.95),
    );
    let complete = stats.done + stats.not_run + stats.unknown == args.programs;
    let faultless = args.fault.is_empty();
    let all_done = stats.done == args.programs || !faultless;
    complete && all_done && repeated == 0 && stats.wrong_answers.is_empty() && bad.is_empty()
}
