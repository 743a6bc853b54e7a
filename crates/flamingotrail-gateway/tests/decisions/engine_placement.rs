//! Placement on model engines. Each test prints the figures of the pattern, with those of the cost that
//! was used before.

use crate::engine_load;

/// Number of seeds of each pattern.
const SEEDS: u64 = 4;

/// Returns the reports of a pattern with the old cost and with the present one, and prints them.
fn compare(name: &str, pattern: &engine_load::Pattern) -> [engine_load::Report; 2] {
    [true, false].map(|has_old_policy| {
        let pattern = engine_load::Pattern { has_old_policy, ..*pattern };
        let report = engine_load::run_seeds(&pattern, SEEDS);
        println!("{}", report.summary(&format!("{name}, old={has_old_policy}")));
        report
    })
}

// Load pattern: engines whose memory holds about six long prompts and whose batches have eight slots.
// Guards against long prompts that are placed by the number of requests alone, so that engines preempt
// requests and read their prompts again while others have room.
#[test]
fn memory_pressure_preempts_fewer_requests() {
    let pattern =
        engine_load::Pattern { programs_per_s: 10.0, memory_tokens: 40_000, ..Default::default() };

    let [old, new] = compare("memory pressure", &pattern);

    assert!(new.preempted < old.preempted);
    assert!(new.tokens_read < old.tokens_read);
    assert!(new.served.len() >= old.served.len());
}
