//! Runs scenario files: prints each failed expectation with the trace that led there.

use std::fs;
use std::path;
use std::process;

use clap::Parser as _;
use flamingotrail_standins::scenario::run;

/// Runs scenario files.
#[derive(Debug, clap::Parser)]
struct Args {
    /// Files or folders of files.
    #[arg(required = true)]
    files: Vec<path::PathBuf>,
    /// Lines of the trace that are shown of a failed scenario; 0 shows all.
    #[arg(long, default_value_t = 60)]
    trace: usize,
    /// Shows the trace of scenarios that passed as well.
    #[arg(long)]
    verbose: bool,
}

fn main() -> process::ExitCode {
    let args = Args::parse();
    let mut failed = 0;
    let files = expand(&args.files);
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

fn expand(paths: &[path::PathBuf]) -> Vec<path::PathBuf> {
    let mut files = Vec::new();
    for path in paths {
        if !path.is_dir() {
            files.push(path.clone());
            continue;
        }
        let entries = fs::read_dir(path).into_iter().flatten().flatten();
        let mut found: Vec<path::PathBuf> = entries.map(|entry| entry.path()).collect();
        found.retain(|path| path.extension().is_some_and(|extension| extension == "toml"));
        found.sort();
        files.extend(found);
    }
    files
}

fn run_file(args: &Args, file: &path::Path) -> bool {
    let shown = file.display();
    let text = match fs::read_to_string(file) {
        Ok(text) => text,
        Err(error) => {
            println!("FAILED {shown}: {error}");
            return false;
        }
    };
    let report = match run::parse(&text).and_then(|scenario| run::run(&scenario)) {
        Ok(report) => report,
        Err(error) => {
            println!("FAILED {shown}: {error}");
            return false;
        }
    };
    let passed = report.failures.is_empty();
    println!("{} {shown}: {}", if passed { "ok" } else { "FAILED" }, report.name);
    if !passed || args.verbose {
        let skip = match args.trace {
            0 => 0,
            lines => report.trace.len().saturating_sub(lines),
        };
        for line in &report.trace[skip..] {
            println!("    {line}");
        }
    }
    for failure in &report.failures {
        println!("  - {failure}");
    }
    println!(
        "  faults={} stale_starts={} appends={} refusals={:?}",
        report.faults, report.stale_starts, report.appends, report.refusals
    );
    passed
}
