//! Runs random scenarios for many seeds and writes the shrunk form of each failure to a file.

use std::cell;
use std::fs;
use std::path;
use std::process;
use std::time;

use clap::Parser as _;
use flamingotrail_standins::scenario::random;
use flamingotrail_standins::scenario::run;
use proptest::test_runner;

/// Run random scenarios and save those that fail.
#[derive(Debug, clap::Parser)]
struct Args {
    /// First seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Time to search, in seconds.
    #[arg(long, default_value_t = 60)]
    seconds: u64,
    /// Number of scenarios to run per seed.
    #[arg(long, default_value_t = 200)]
    cases: u32,
    /// Folder for the scenarios that fail.
    #[arg(long, default_value = "target/hunt")]
    out: path::PathBuf,
}

fn main() -> process::ExitCode {
    let args = Args::parse();
    let deadline = time::Instant::now() + time::Duration::from_secs(args.seconds);
    let (mut seed, mut failed_seeds) = (args.seed, 0);
    let (cases, faults) = (cell::Cell::new(0u64), cell::Cell::new(0u64));
    while time::Instant::now() < deadline {
        let config = test_runner::Config {
            cases: args.cases,
            failure_persistence: None,
            max_shrink_iters: 400,
            ..test_runner::Config::default()
        };
        let mut bytes = [0; 32];
        bytes[..8].copy_from_slice(&seed.to_le_bytes());
        let rng = test_runner::TestRng::from_seed(test_runner::RngAlgorithm::ChaCha, &bytes);
        let mut runner = test_runner::TestRunner::new_with_rng(config, rng);
        let result = runner.run(&random::scenario(), |scenario| {
            let report = run::run(&scenario);
            let report = report.map_err(|e| test_runner::TestCaseError::fail(e.to_string()))?;
            cases.set(cases.get() + 1);
            faults.set(faults.get() + u64::from(report.faults));
            match report.failures.first() {
                None => Ok(()),
                Some(failure) => Err(test_runner::TestCaseError::fail(failure.clone())),
            }
        });
        if let Err(test_runner::TestError::Fail(reason, scenario)) = result {
            failed_seeds += 1;
            let file = args.out.join(format!("seed-{seed}.toml"));
            let _ = fs::create_dir_all(&args.out);
            let _ = fs::write(&file, run::to_toml(&scenario));
            println!("seed={seed} failed: {reason} file={}", file.display());
        }
        seed += 1;
    }
    println!(
        "seeds={} cases={} faults={} failed_seeds={failed_seeds}",
        seed - args.seed,
        cases.get(),
        faults.get()
    );
    if failed_seeds == 0 {
        process::ExitCode::SUCCESS
    } else {
        process::ExitCode::FAILURE
    }
}
