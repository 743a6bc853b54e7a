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

/// Each engine takes three times as long for 600 ms of every 4.8 s, one after the other.
fn turns_slow(engine: usize, now_ms: u64) -> (f64, Option<u32>) {
    let is_slow = (now_ms / 600) as usize % 8 == engine;
    (if is_slow { 3.0 } else { 1.0 }, None)
}

// Load pattern: engines that turn slow and are back within 600 ms. Guards against calls that are placed
// on a slow engine although it says so, and against engines that are avoided long after they are back.
#[test]
fn engines_that_turn_slow_are_avoided_while_they_are() {
    let pattern = engine_load::Pattern {
        gateways: 2,
        programs_per_s: 12.0,
        slowdown: turns_slow,
        ..Default::default()
    };

    let [old, new] = compare("slow and back", &pattern);

    let is_short = |served: &engine_load::Served| served.prompt_tokens < 3_000;
    assert!(new.began_ms(95, is_short) < old.began_ms(95, is_short));
    assert!(new.ended_ms(95, |_| true) * 20 <= old.ended_ms(95, |_| true) * 21);
    assert!(new.busiest_to_mean() < 1.5);
}

/// The first engine claims to be slow, the second reports an absurd figure, and the third is slow and
/// claims that it is not.
fn lies(engine: usize, _now_ms: u64) -> (f64, Option<u32>) {
    match engine {
        0 => (1.0, Some(300)),
        1 => (1.0, Some(u32::MAX)),
        2 => (2.0, Some(100)),
        _ => (1.0, None),
    }
}

// Load pattern: engines with false figures. Guards against an engine that keeps itself free by a figure
// that its times don't confirm, and against an absurd figure that decides alone.
#[test]
fn false_slowdowns_have_bounded_influence() {
    let pattern =
        engine_load::Pattern { programs_per_s: 12.0, slowdown: lies, ..Default::default() };

    let [old, new] = compare("false figures", &pattern);

    let arrivals =
        |engine: usize| -> u64 { new.arrivals.iter().skip(engine).step_by(pattern.engines).sum() };
    let fair = new.arrivals.iter().sum::<u64>() / pattern.engines as u64;
    assert!(arrivals(0) * 2 > fair, "{} of {fair}", arrivals(0));
    assert!(arrivals(1) * 2 > fair, "{} of {fair}", arrivals(1));
    assert!(arrivals(2) < fair, "{} of {fair}", arrivals(2));
    assert!(new.served.len() * 100 >= old.served.len() * 99);
}

// Load pattern: programs of up to 18 turns, whose prompts grow by a factor of ten, on engines that are
// busy. Guards against short prompts that wait behind long ones, and long ones that wait behind others.
#[test]
fn long_prompts_and_short_ones_begin_in_time() {
    let pattern = engine_load::Pattern { programs_per_s: 20.0, ..Default::default() };

    let [old, new] = compare("long beside short", &pattern);

    let is_short = |served: &engine_load::Served| served.prompt_tokens < 3_000;
    let is_largest = |served: &engine_load::Served| served.prompt_tokens > 7_000;
    assert!(new.began_ms(95, is_short) < old.began_ms(95, is_short));
    assert!(new.began_ms(95, is_largest) <= old.began_ms(95, is_largest));
    let share = |report: &engine_load::Report| {
        report.served.iter().filter(|served| is_largest(served)).count() * 1_000
            / report.served.len()
    };
    assert!(share(&new) * 2 > share(&old), "the largest are served less than half as often");
}
