//! Load patterns: which programs are served when there is too little room. Each prints what callers
//! got (`--nocapture`).

use std::time;

use flamingotrail_gateway::input;
use flamingotrail_gateway::output;

use crate::engines;

/// Kinds of programs, with the steps for which a turn occupies a slot.
const SHORT: (&str, u64) = ("short", 20);
const LONG: (&str, u64) = ("long", 60);

fn is_refused_late(program: &engines::Program) -> bool {
    matches!(program.end, Some(engines::End::RefusedLate | engines::End::Lost))
}

/// Asserts what holds under every load: nothing is refused while half of the slots are free, refused
/// callers are told when to return, and few programs fail after work was done for them.
fn assert_promises(model: &engines::Model) {
    println!("{model}");
    let free = model.refused.iter().filter(|refused| refused.free_percent >= 50);
    assert_eq!(free.count(), 0, "refused while half of the slots were free");
    let unsent = model.refused.iter().filter(|r| r.refusal.reason == output::Reason::Unavailable);
    let untold = unsent.filter(|refused| refused.refusal.retry_after.is_none());
    assert_eq!(untold.count(), 0, "refused without a time to return");
    let unended = model.count(|program| program.end.is_none());
    assert_eq!(unended, 0, "programs that got no answer");
    let (late, begun) = (model.count(is_refused_late), model.count(|p| !p.waits.is_empty()));
    assert!(late * 20 <= begun, "{late} of {begun} begun programs failed");
}

// Guards against a burst that fills all queues, so that programs of all kinds fail after half of
// their turns, and against refusals that hit the larger programs of a kind.
#[test]
fn burst_of_one_kind_is_refused_early_and_begun_programs_end() {
    let mut model = engines::Model::new(4, 8, &[("calm", None)]);
    model.add(60, 12, LONG, "calm");
    model.run(4);
    model.add(200, 2, SHORT, "calm");

    model.run(30);

    assert_promises(&model);
    assert!(model.refused.iter().any(|refused| refused.is_first), "the burst exceeds the room");
    let short = model.served_percent(|program| program.kind == "short");
    let largest = model.served_percent(|program| program.kind == "short" && program.turns == 9);
    assert!(largest * 2 >= short, "{largest} % of the largest, {short} % of all");
    assert!(model.served_percent(|program| program.kind == "long") >= 50);
}

// Guards against a workspace that gets all the room because it asks for most, and against one that is
// refused everything.
#[test]
fn hot_workspace_is_refused_before_others_but_not_starved() {
    let workspaces = [("hot", Some(1)), ("calm", Some(1)), ("small", Some(1))];
    let mut model = engines::Model::new(4, 8, &workspaces);
    model.add(500, 20, SHORT, "hot");
    model.add(60, 20, SHORT, "calm");
    model.add(30, 20, SHORT, "small");

    model.run(32);

    assert_promises(&model);
    let served = |name| model.served_percent(|program| program.workspace == name);
    let (hot, calm, small) = (served("hot"), served("calm"), served("small"));
    assert!(hot > 10, "{hot} % of hot");
    assert!(calm >= 80 && small >= 80, "{calm} % of calm, {small} % of small, {hot} % of hot");
}

// Guards against an urgent workspace that is refused like the others when there is too little room.
#[test]
fn urgent_workspace_is_refused_last() {
    let mut model = engines::Model::new(4, 8, &[("clinic", Some(0)), ("batch", Some(2))]);
    model.add(140, 15, SHORT, "clinic");
    model.add(280, 15, SHORT, "batch");

    model.run(28);

    assert_promises(&model);
    let clinic = model.count(|p| p.workspace == "clinic" && p.end == Some(engines::End::InTime));
    let batch = model.served_percent(|program| program.workspace == "batch");
    assert!(clinic * 100 >= 140 * 95 && batch > 0, "{clinic} of clinic, {batch} % of batch");
}

// Guards against gateways that refuse what the shared engines have room for because their own zone has
// a peak.
#[test]
fn peaks_that_follow_each_other_by_zone_are_served() {
    let mut model = engines::Model::new(6, 10, &[("calm", None)]);

    for zone in 0..3 {
        let before = model.programs.len();
        model.add(45, 5, SHORT, "calm");
        for program in &mut model.programs[before..] {
            program.gateways = 2 * zone..2 * zone + 2;
        }
        model.run(5);
    }
    model.run(10);

    assert_promises(&model);
    assert!(model.served_percent(|_| true) >= 98, "{} %", model.served_percent(|_| true));
}

// Guards against first turns that are refused because of reports from before an outage, and against a
// service that stays closed after it.
#[test]
fn first_turns_are_served_after_an_outage_of_the_log() {
    let mut model = engines::Model::new(4, 8, &[("calm", None)]);
    model.add(60, 10, SHORT, "calm");
    model.run(5);
    model.log.error = Some(input::LogError::Refused);
    model.run(3);
    model.log.error = None;
    let end = model.now;

    model.run(2);
    model.add(50, 8, SHORT, "calm");
    model.run(18);

    println!("{model}");
    let after = |program: &engines::Program| program.begin > end + engines::STEPS_PER_S;
    let served = model.served_percent(after);
    assert!(served >= 95, "{served} % of those after the outage");
    assert!(model.refused.iter().all(|refused| refused.step < end + engines::STEPS_PER_S));
}

// Guards against gateways that refuse before they have seen anything, and against new gateways that
// admit everything for long.
#[test]
fn gateways_that_are_all_new_at_once_refuse_only_what_they_know_of() {
    let mut model = engines::Model::new(4, 8, &[("calm", None)]);
    model.add(400, 13, SHORT, "calm");
    model.run(5);
    let before = model.refused.len();

    model.replace_gateways(4);
    model.run(1);
    let at_start = model.refused.len() - before;
    model.run(24);

    assert_promises(&model);
    let offered = model.count(|program| (500..=600).contains(&program.begin));
    assert!(at_start < offered, "{at_start} refusals of {offered} programs in the first second");
}

// Guards against refused callers that return all at once, and against callers that return in vain
// although new ones are admitted.
#[test]
fn refused_callers_return_one_after_the_other_and_go_first() {
    let mut model = engines::Model::new(4, 8, &[("calm", None)]);
    model.add(40, 4, SHORT, "calm");
    model.run(3);
    model.first_tries.clear();
    model.add(150, 2, SHORT, "calm");

    model.run(25);

    assert_promises(&model);
    let delays: Vec<time::Duration> =
        model.refused.iter().filter_map(|refused| refused.refusal.retry_after).collect();
    let distinct: std::collections::BTreeSet<u128> =
        delays.iter().map(|delay| delay.as_millis() / 100).collect();
    assert!(delays.len() > 10, "the burst exceeds the room");
    assert!(distinct.len() >= 5, "{delays:?}");
    let refused_percent = |was_refused| {
        let (tries, refused) = model.first_tries.get(&was_refused).copied().unwrap_or_default();
        refused * 100 / tries.max(1)
    };
    let (new, returned) = (refused_percent(false), refused_percent(true));
    println!("tries {:?}", model.first_tries);
    assert!(returned < new, "{returned} % of the returned and {new} % of the new were refused");
}
