//! Runs the fault soak for a range of seeds and prints a summary of each run. The exit code is
//! nonzero if a run violated a guarantee or could not be completed.

use std::env;
use std::path;
use std::process;
use std::time;

use clap::Parser as _;
use flamingotrail_standins::soak::plan;
use flamingotrail_standins::soak::run;

/// Run gateway processes under random faults and check the guarantees.
#[derive(Debug, clap::Parser)]
struct Args {
    /// First seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of consecutive seeds to run.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Time during which callers start new programs, in seconds.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Number of gateways.
    #[arg(long, default_value_t = 3)]
    gateways: usize,
    /// Number of callers.
    #[arg(long, default_value_t = 8)]
    callers: usize,
    /// Path of the flamingotraild binary.
    #[arg(long, default_value = "target/release/flamingotraild")]
    program: path::PathBuf,
    /// Print each fault plan.
    #[arg(long)]
    plan: bool,
}

fn main() -> process::ExitCode {
    let args = Args::parse();
    let mut failed = 0;
    for seed in args.seed..args.seed + args.seeds {
        let load_duration = time::Duration::from_secs(args.seconds);
        let plan = plan::Plan::new(seed, args.gateways, args.callers, load_duration);
        if args.plan {
            plan.faults.iter().for_each(|fault| println!("{fault:?}"));
        }
        let folder = env::temp_dir().join(format!("flamingotrail-soak-{}-{seed}", process::id()));
        let violations = match run::run(&plan, &args.program, &folder) {
            Ok(report) => {
                println!(
                    "seed={seed} planned={} faults={} turns={} calls={} broken={}",
                    plan.maintenance_only,
                    report.faults,
                    report.turns,
                    report.calls,
                    report.violations.len()
                );
                report.violations
            }
            Err(error) => vec![format!("run failed: {error}")],
        };
        violations.iter().for_each(|line| println!("  {line}"));
        failed += u64::from(!violations.is_empty());
        println!("  logs={}", folder.display());
    }
    println!("seeds={} failed={failed}", args.seeds);
    process::ExitCode::from(u8::from(failed > 0))
}
