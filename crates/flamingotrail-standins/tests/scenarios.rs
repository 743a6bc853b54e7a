//! Runs every scenario in the `scenarios` folder, and random scenarios from a fixed seed.

use std::fs;
use std::path;

use flamingotrail_standins::scenario::random;
use flamingotrail_standins::scenario::run;
use flamingotrail_standins::scenario::schema;
use proptest::strategy::Strategy as _;
use proptest::test_runner;

/// Number of random scenarios per run.
const RANDOM_CASES: u32 = 150;

/// Paths of the scenario files, sorted.
fn scenario_files() -> Vec<path::PathBuf> {
    let folder = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    let entries = fs::read_dir(folder).expect("the scenarios folder exists");
    let mut files: Vec<path::PathBuf> = entries.flatten().map(|entry| entry.path()).collect();
    files.retain(|file| file.extension().is_some_and(|extension| extension == "toml"));
    files.sort();
    files
}

/// Returns the failures of a scenario with the last lines of its trace, or `None` if it passes.
fn failure_report(scenario: &schema::Scenario) -> Option<String> {
    let report = run::run(scenario).expect("the scenario refers only to known names");
    if report.failures.is_empty() {
        return None;
    }
    let skip = report.trace.len().saturating_sub(40);
    let trace = report.trace[skip..].join("\n");
    Some(format!("{}:\n{}\n{trace}", report.name, report.failures.join("\n")))
}

#[test]
fn all_scenario_files_pass() {
    let files = scenario_files();

    let failed: Vec<String> = files
        .iter()
        .filter_map(|file| {
            let text = fs::read_to_string(file).expect("the scenario file is readable");
            let scenario = run::parse(&text).expect("the file is a valid scenario");
            failure_report(&scenario).map(|failure| format!("{}: {failure}", file.display()))
        })
        .collect();

    assert!(files.len() >= 30, "found only {} scenarios", files.len());
    assert!(failed.is_empty(), "{}", failed.join("\n\n"));
}

#[test]
fn invariants_hold_for_random_programs_and_faults() {
    let config = test_runner::Config {
        cases: RANDOM_CASES,
        failure_persistence: None,
        ..test_runner::Config::default()
    };
    let rng = test_runner::TestRng::deterministic_rng(test_runner::RngAlgorithm::ChaCha);
    let mut runner = test_runner::TestRunner::new_with_rng(config, rng);

    let result = runner.run(&random::scenario(), |scenario| match failure_report(&scenario) {
        None => Ok(()),
        Some(failure) => {
            let toml = run::to_toml(&scenario);
            Err(test_runner::TestCaseError::fail(format!("{failure}\n{toml}")))
        }
    });

    assert!(result.is_ok(), "{}", result.err().map(|e| e.to_string()).unwrap_or_default());
}

#[test]
fn random_scenario_round_trips_through_toml() {
    let mut runner = test_runner::TestRunner::deterministic();
    let tree = random::scenario().new_tree(&mut runner).expect("the strategy generates a scenario");
    let scenario = proptest::strategy::ValueTree::current(&tree);

    let parsed = run::parse(&run::to_toml(&scenario));

    assert_eq!(parsed, Ok(scenario));
}
