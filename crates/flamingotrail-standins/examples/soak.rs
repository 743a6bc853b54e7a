//! Runs the fault soak over seeds and prints a line for each; the exit code tells whether all promises held.

use std::env;
use std::path;
use std::process;
use std::time;

use clap::Parser as _;
use flamingotrail_standins::soak::plan;
use flamingotrail_standins::soak::run;

/// Runs real gateways under random faults and checks the promises.
#[derive(Debug, clap::Parser)]
struct Args {
    /// First seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Seeds, one after the other.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Time for which callers start programs, in seconds.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Gateways.
    #[arg(long, default_value_t = 3)]
    gateways: usize,
    /// Callers.
    #[arg(long, default_value_t = 8)]
    callers: usize,
    /// The daemon.
    #[arg(long, default_value = "target/release/flamingotraild")]
    program: path::PathBuf,
    /// Prints each plan.
    #[arg(long)]
    plan: bool,
}

fn main() -> process::ExitCode {
    let args = Args::parse();
    let mut failed = 0;
    for seed in args.seed..args.seed + args.seeds {
        let length = time::Duration::from_secs(args.seconds);
        let plan = plan::Plan::new(seed, args.gateways, args.callers, length);
        if args.plan {
            plan.faults.iter().for_each(|entry| println!("{entry:?}"));
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
            Err(error) => vec![format!("not run: {error}")],
        };
        violations.iter().for_each(|line| println!("  {line}"));
        failed += u64::from(!violations.is_empty());
        println!("  logs={}", folder.display());
    }
    println!("seeds={} failed={failed}", args.seeds);
    process::ExitCode::from(u8::from(failed > 0))
}
