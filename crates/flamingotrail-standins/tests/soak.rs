//! A short run of the fault soak: seeds that failed before, and a few more.

use std::env;
use std::path;
use std::process;
use std::time;

use flamingotrail_standins::soak::plan;
use flamingotrail_standins::soak::run;

/// How long callers start new programs.
const LOAD_DURATION: time::Duration = time::Duration::from_secs(5);

fn run_soak(seed: u64) -> run::Report {
    let plan = plan::Plan::new(seed, 3, 6, LOAD_DURATION);
    let program =
        path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../target/release/flamingotraild");
    let folder = env::temp_dir().join(format!("flamingotrail-soak-{}-{seed}", process::id()));
    run::run(&plan, &program, &folder)
        .expect("the soak did not start; scripts/test builds the program")
}

#[test]
fn guarantees_hold_under_random_faults() {
    for seed in [1, 2, 3] {
        let report = run_soak(seed);

        assert!(report.violations.is_empty(), "seed {seed}: {:#?}", report.violations);
        assert!(report.turns > 0, "seed {seed} completed no turn");
    }
}

#[test]
fn planned_maintenance_interrupts_no_request() {
    let report = run_soak(4);

    assert!(report.violations.is_empty(), "{:#?}", report.violations);
    assert!(report.turns > 0);
}
