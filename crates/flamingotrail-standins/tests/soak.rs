//! The fault soak, short: seeds that failed once, and a few more.

use std::env;
use std::path;
use std::process;
use std::time;

use flamingotrail_standins::soak::plan;
use flamingotrail_standins::soak::run;

/// Time for which callers start programs.
const LENGTH: time::Duration = time::Duration::from_secs(5);

fn soak(seed: u64) -> run::Report {
    let plan = plan::Plan::new(seed, 3, 6, LENGTH);
    let program =
        path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../target/release/flamingotraild");
    let folder = env::temp_dir().join(format!("flamingotrail-soak-{}-{seed}", process::id()));
    run::run(&plan, &program, &folder).expect("the set-up starts; scripts/test builds the programs")
}

#[test]
fn promises_hold_under_random_faults() {
    for seed in [1, 2, 3] {
        let report = soak(seed);

        assert!(report.violations.is_empty(), "seed {seed}: {:#?}", report.violations);
        assert!(report.turns > 0, "seed {seed} served nothing");
    }
}

#[test]
fn planned_work_cuts_nothing_off() {
    let report = soak(4);

    assert!(report.violations.is_empty(), "{:#?}", report.violations);
    assert!(report.turns > 0);
}
