//! Runs scenario files and prints each failed expectation with the end of the trace.

use std::fs;
use std::path;
use std::process;

use clap::Parser as _;
use flamingotrail_standins::scenario::run;

/// Run scenario files.
#[derive(Debug, clap::Parser)]
struct Args {
    /// Scenario files, or folders that contain them.
    #[arg(required = true)]
    files: Vec<path::PathBuf>,
    /// Number of trace lines to print for a failed scenario, from the end; 0 prints all.
    #[arg(long, default_value_t = 60)]
    trace: usize,
    /// Also print the trace of scenarios that pass.
    #[arg(long)]
    verbose: bool,
}

fn main() -> process::ExitCode {
    let args = Args::parse();
    let mut failed = 0;
    let files = list_files(&args.files);
    for file in &files {
        if !run_file(&args, file) {
            failed += 1;
        }
    }
    println!("{} passed, {failed} failed", files.len() - failed);
    if failed == 0 {
        process::ExitCode::SUCCESS
    } else {
        process::ExitCode::FAILURE
    }
}

fn list_files(paths: &[path::PathBuf]) -> Vec<path::PathBuf> {
    let mut files = Vec::new();
    for path in paths {
        if !path.is_dir() {
            files.push(path.clone());
            continue;
        }
        let entries = fs::read_dir(path).into_iter().flatten().flatten();
        let mut scenarios: Vec<path::PathBuf> = entries.map(|entry| entry.path()).collect();
        scenarios.retain(|path| path.extension().is_some_and(|extension| extension == "toml"));
        scenarios.sort();
        files.extend(scenarios);
    }
    files
}

fn run_file(args: &Args, file: &path::Path) -> bool {
    let file_name = file.display();
    let text = match fs::read_to_string(file) {
        Ok(text) => text,
        Err(error) => {
            println!("FAILED {file_name}: {error}");
            return false;
        }
    };
    let report = match run::parse(&text).and_then(|scenario| run::run(&scenario)) {
        Ok(report) => report,
        Err(error) => {
            println!("FAILED {file_name}: {error}");
            return false;
        }
    };
    let passed = report.failures.is_empty();
    println!("{} {file_name}: {}", if passed { "ok" } else { "FAILED" }, report.name);
    if !passed || args.verbose {
        let first = match args.trace {
            0 => 0,
            lines => report.trace.len().saturating_sub(lines),
        };
        for line in &report.trace[first..] {
            println!("    {line}");
        }
    }
    for failure in &report.failures {
        println!("  - {failure}");
    }
    println!(
        "  faults={} stale_starts={} appends={} refusals={:?}",
        report.faults, report.superseded_starts, report.appends, report.refusals
    );
    passed
}
