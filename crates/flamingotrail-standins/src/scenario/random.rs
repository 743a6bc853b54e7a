//! Proptest strategies, with shrinking, for random scenarios: programs combined with fault
//! schedules.

use proptest::prelude::*;

use crate::scenario::schema;
use crate::simulation::callers;

/// Maximum number of programs in a random scenario.
const MAX_PROGRAMS: usize = 5;
/// Maximum number of faults in a random scenario.
const MAX_FAULTS: usize = 4;
/// Upper bound on the start time of a fault, in milliseconds.
const MAX_FAULT_START_MS: u64 = 15_000;

/// Steps of a program; `depth` limits the nesting of sub-agents.
fn program_step(depth: u32, program: usize) -> BoxedStrategy<schema::ProgramStep> {
    let model =
        (1u32..60).prop_map(|tokens| schema::ProgramStep::Model { text: "say".to_owned(), tokens });
    let pause = (50u64..1500).prop_map(schema::ProgramStep::Pause);
    let service = (any::<bool>(), any::<u32>()).prop_map(move |(books, number)| {
        let service = if books { "ledger-book" } else { "ledger-lookup" };
        let body = format!("p{program}-{number}");
        schema::ProgramStep::Service { name: service.to_owned(), body }
    });
    if depth == 0 {
        return prop_oneof![3 => model, 1 => pause, 3 => service].boxed();
    }
    let sub = proptest::collection::vec(program_step(depth - 1, program), 1..4)
        .prop_map(schema::ProgramStep::Sub);
    prop_oneof![6 => model, 2 => pause, 6 => service, 1 => sub].boxed()
}

fn program(number: usize) -> impl Strategy<Value = schema::Program> {
    let history = prop_oneof![
        3 => Just(callers::HistoryMode::Carry),
        1 => Just(callers::HistoryMode::Full),
        1 => Just(callers::HistoryMode::Journal),
    ];
    let steps = proptest::collection::vec(program_step(1, number), 1..7);
    (3000u64..6000, history, steps, 0usize..3).prop_map(move |(at_ms, history, steps, region)| {
        let regions = ["vestland", "trondelag", "ostland"];
        // A sub-agent needs a parent program, which the first model call creates.
        let first = schema::ProgramStep::Model { text: "begin".to_owned(), tokens: 8 };
        schema::Program {
            name: format!("p{number}"),
            workspace: None,
            region: Some(regions[region].to_owned()),
            at_ms,
            history,
            deadline_ms: 20_000,
            sendings: 60,
            ends: true,
            steps: std::iter::once(first).chain(steps).collect(),
        }
    })
}

fn fault() -> impl Strategy<Value = schema::Step> {
    let nodes = prop_oneof![
        Just("owner:p0".to_owned()),
        Just("at-stable-1".to_owned()),
        Just("at-stable-2".to_owned()),
        Just("at-ledger-1".to_owned()),
        Just("at-ledger-2".to_owned()),
        Just("entry-1".to_owned()),
    ];
    let actions = prop_oneof![
        4 => Just("kill"),
        4 => Just("pause"),
        2 => Just("drain"),
        2 => Just("cut"),
        3 => Just("log-outage"),
        1 => Just("list-outage"),
        2 => Just("lose-answers"),
        1 => Just("late-appends"),
        1 => Just("crash-engine"),
    ];
    (actions, nodes, 4000u64..MAX_FAULT_START_MS, 200u64..6000, 1u32..4).prop_map(
        |(action, node, at_ms, lasting_ms, count)| {
            let needs_engine = action == "crash-engine";
            let node = if needs_engine { "at-stable-1".to_owned() } else { node };
            schema::Step {
                at_ms,
                action: action.to_owned(),
                node: Some(node),
                lasting_ms,
                count,
                ..schema::Step::default()
            }
        },
    )
}

/// Returns a strategy for random scenarios.
pub fn scenario() -> impl Strategy<Value = schema::Scenario> {
    let programs = (1..=MAX_PROGRAMS).prop_flat_map(|count| {
        let strategies: Vec<BoxedStrategy<schema::Program>> =
            (0..count).map(|number| program(number).boxed()).collect();
        strategies
    });
    let faults = proptest::collection::vec(fault(), 0..=MAX_FAULTS);
    let network_faults = prop_oneof![3 => Just((0.0, 0.0, 0)), 1 => Just((0.02, 0.05, 40))];
    (any::<u32>(), programs, faults, network_faults, 1usize..4).prop_map(
        |(seed, programs, steps, (loss, repeats, jitter_ms), regions)| schema::Scenario {
            name: format!("random {seed}"),
            seed: u64::from(seed),
            setup: schema::Setup {
                regions,
                engines: 2 * regions,
                runners: 2 * regions,
                loss,
                repeats,
                jitter_ms,
                ..schema::Setup::default()
            },
            programs: replace_missing_regions(programs, regions),
            steps: replace_missing_nodes(steps, regions),
            expectations: Vec::new(),
        },
    )
}

/// Moves programs from regions that do not exist to the default region.
fn replace_missing_regions(
    mut programs: Vec<schema::Program>,
    regions: usize,
) -> Vec<schema::Program> {
    let names = ["vestland", "trondelag", "ostland"];
    for program in &mut programs {
        let region_exists = program
            .region
            .as_ref()
            .is_some_and(|region| names[..regions].contains(&region.as_str()));
        if !region_exists {
            program.region = None;
        }
    }
    programs
}

/// Replaces fault targets that do not exist in a deployment with one region.
fn replace_missing_nodes(mut steps: Vec<schema::Step>, regions: usize) -> Vec<schema::Step> {
    for step in &mut steps {
        if regions == 1 {
            let node = step.node.take().unwrap_or_default();
            let node = node.replace("stable-2", "stable-4").replace("ledger-2", "ledger-4");
            step.node = Some(node);
        }
    }
    steps
}
