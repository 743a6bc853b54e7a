//! Every scenario of the library, and random ones from fixed seeds.

use std::fs;
use std::path;

use flamingotrail_standins::scenario::random;
use flamingotrail_standins::scenario::run;
use flamingotrail_standins::scenario::schema;
use proptest::strategy::Strategy as _;
use proptest::test_runner;

/// Random scenarios in CI.
const RANDOM_CASES: u32 = 150;

fn library() -> Vec<path::PathBuf> {
    let folder = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    let entries = fs::read_dir(folder).expect("the folder of scenarios is there");
    let mut files: Vec<path::PathBuf> = entries.flatten().map(|entry| entry.path()).collect();
    files.retain(|file| file.extension().is_some_and(|extension| extension == "toml"));
    files.sort();
    files
}

/// Failures of one scenario, with the end of its trace.
fn failures(scenario: &schema::Scenario) -> Option<String> {
    let report = run::run(scenario).expect("every name in the scenario is known");
    if report.failures.is_empty() {
        return None;
    }
    let skip = report.trace.len().saturating_sub(40);
    let trace = report.trace[skip..].join("\n");
    Some(format!("{}:\n{}\n{trace}", report.name, report.failures.join("\n")))
}

#[test]
fn every_scenario_of_the_library_holds() {
    let files = library();

    let failed: Vec<String> = files
        .iter()
        .filter_map(|file| {
            let text = fs::read_to_string(file).expect("the file can be read");
            let scenario = run::parse(&text).expect("the file is a scenario");
            failures(&scenario).map(|failure| format!("{}: {failure}", file.display()))
        })
        .collect();

    assert!(files.len() >= 30, "the library holds only {} scenarios", files.len());
    assert!(failed.is_empty(), "{}", failed.join("\n\n"));
}

#[test]
fn random_programs_under_random_faults_keep_what_must_hold() {
    let config = test_runner::Config {
        cases: RANDOM_CASES,
        failure_persistence: None,
        ..test_runner::Config::default()
    };
    let rng = test_runner::TestRng::deterministic_rng(test_runner::RngAlgorithm::ChaCha);
    let mut runner = test_runner::TestRunner::new_with_rng(config, rng);

    let result = runner.run(&random::scenario(), |scenario| match failures(&scenario) {
        None => Ok(()),
        Some(failure) => {
            let text = run::to_toml(&scenario);
            Err(test_runner::TestCaseError::fail(format!("{failure}\n{text}")))
        }
    });

    assert!(result.is_ok(), "{}", result.err().map(|e| e.to_string()).unwrap_or_default());
}

#[test]
fn a_random_scenario_survives_being_written_and_read() {
    let mut runner = test_runner::TestRunner::deterministic();
    let tree = random::scenario().new_tree(&mut runner).expect("a scenario can be drawn");
    let scenario = proptest::strategy::ValueTree::current(&tree);

    let read = run::parse(&run::to_toml(&scenario));

    assert_eq!(read, Ok(scenario));
}
