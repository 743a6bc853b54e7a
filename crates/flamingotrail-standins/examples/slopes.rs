//! Measures how memory, CPU time, messages and log appends grow with the number of programs, calls,
//! workspaces and so on. docs/CAPACITY.md is based on these figures.

use std::process;
use std::time;

use clap::Parser as _;
use flamingotrail_core::ids;
use flamingotrail_core::messages;
use flamingotrail_standins::bench;
use flamingotrail_standins::deployment;
use flamingotrail_standins::world_harness;
use flamingotrail_wire::codec;
use flamingotrail_wire::messages as wire;

/// Measure the cost of programs, calls, messages and publications.
#[derive(Debug, clap::Parser)]
struct Args {
    /// Numbers of stored programs to measure; the first must be the largest.
    ///
    /// CPU time is measured at each number, memory only at the first, since freed memory is not
    /// returned to the system.
    #[arg(long, default_values_t = [250_000, 10_000, 1_000])]
    programs: Vec<u64>,
    /// Measure only the memory of histories, in a process that hasn't freed any memory yet.
    #[arg(long)]
    history: bool,
    /// Size of each program's first message, in bytes.
    #[arg(long, default_value_t = 400)]
    bytes: usize,
}

/// Returns the resident memory of this process; assumes pages of 4 KiB.
fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

fn main() -> process::ExitCode {
    let args = Args::parse();
    if args.history {
        measure_history();
        return process::ExitCode::SUCCESS;
    }
    measure_calls(&args);
    measure_checkpoints();
    measure_messages();
    measure_publications();
    measure_load();
    process::ExitCode::SUCCESS
}

/// Measures the cost of a call and of idling by the number of stored programs.
fn measure_calls(args: &Args) {
    const CALLS: u64 = 2_000;
    for (index, stored) in args.programs.iter().enumerate() {
        let resident_before = resident_bytes();
        let mut harness = world_harness::WorldHarness::new();
        harness.start_programs(0, *stored, args.bytes);
        let memory_bytes = resident_bytes().saturating_sub(resident_before);
        let (tick_time, ticks, messages) =
            (harness.tick_time, harness.ticks, (harness.messages_sent, harness.message_bytes));
        let appends = (harness.appends, harness.append_bytes);
        for number in 0..CALLS {
            let call = harness.call_input(
                number % stored,
                2 + u32::try_from(number / stored).unwrap_or(0),
                args.bytes,
            );
            harness.run(vec![call]);
            harness.advance(time::Duration::from_millis(1));
        }
        harness.advance(time::Duration::from_secs(1));
        let call_us = (harness.tick_time - tick_time).as_secs_f64() * 1e6;
        println!(
            "slope=call stored_programs={stored} bytes_per_program={} us_per_call={:.1} \
             ticks_per_call={:.1} messages_per_call={:.1} control_bytes_per_call={:.0} \
             journal_bytes_per_call={:.0} done={} other={}",
            if index == 0 {
                (memory_bytes / stored).to_string()
            } else {
                "not_measured".to_owned()
            },
            call_us / CALLS as f64,
            (harness.ticks - ticks) as f64 / CALLS as f64,
            (harness.messages_sent - messages.0) as f64 / CALLS as f64,
            (harness.message_bytes - messages.1) as f64 / CALLS as f64,
            (harness.append_bytes - appends.1) as f64 / CALLS as f64,
            harness.replies.0,
            harness.replies.1,
        );
        let tick_time = harness.tick_time;
        let ticks = harness.ticks;
        harness.advance(time::Duration::from_secs(60));
        println!(
            "slope=idle stored_programs={stored} us_per_s={:.1} ticks_per_s={:.2}",
            (harness.tick_time - tick_time).as_secs_f64() * 1e6 / 60.0,
            (harness.ticks - ticks) as f64 / 60.0,
        );
    }
}

/// Measures the memory per byte of history.
fn measure_history() {
    const PROGRAMS: u64 = 200;
    const BYTES: usize = 400_000;
    let resident_before = resident_bytes();
    let mut harness = world_harness::WorldHarness::new();
    harness.start_programs(0, PROGRAMS, BYTES);
    let memory_bytes = resident_bytes().saturating_sub(resident_before);
    println!(
        "slope=history text_bytes={BYTES} resident_bytes_per_text_byte={:.2} us_per_call={:.1}",
        memory_bytes as f64 / (PROGRAMS as usize * BYTES) as f64,
        harness.tick_time.as_secs_f64() * 1e6 / PROGRAMS as f64,
    );
}

/// Measures the cost of checkpoints: state is appended again before the log's retention expires it,
/// and a takeover reads it from there.
fn measure_checkpoints() {
    for stored in [1_000u64, 10_000] {
        let mut harness = world_harness::WorldHarness::new();
        harness.world.settings.program_idle_timeout = time::Duration::from_secs(30 * 24 * 3600);
        harness.start_programs(0, stored, 400);
        let (tick_time, appends, bytes) =
            (harness.tick_time, harness.appends, harness.append_bytes);
        harness.advance(time::Duration::from_secs(6 * 24 * 3600));
        println!(
            "slope=carry stored_programs={stored} us_per_program={:.2} appends={} \
             journal_bytes_per_program={:.0}",
            (harness.tick_time - tick_time).as_secs_f64() * 1e6 / stored as f64,
            harness.appends - appends,
            (harness.append_bytes - bytes) as f64 / stored as f64,
        );
    }
}

/// Measures the size of encoded messages on a link.
fn measure_messages() {
    let incarnation = ids::Incarnation(u64::MAX / 2);
    let version = ids::ConfigVersion(300_000);
    let load = messages::Load {
        running: 12,
        queued: 3,
        wait_s: 0.25,
        prefill_rate: 31_000.0,
        pressure: 0.7,
        leaving: false,
    };
    let partition = ids::Partition::new(&ids::RegionName::new("vestland"), 200);
    let request = ids::RequestId { entry: incarnation, number: 1_000_000 };
    let epoch = ids::Epoch(1_000_000);
    let samples = [
        messages::Message::Ack { number: 1_000_000 },
        messages::Message::Ping { incarnation, version },
        messages::Message::Pong { incarnation, version, load },
        messages::Message::Accepted { request, hop: 1, partition, epoch },
        messages::Message::Leaving { incarnation },
    ];
    for message in samples {
        let kind = message.kind();
        let envelope =
            messages::Envelope { from: incarnation, target: None, number: 1_000_000, message };
        let bytes = codec::encode(&wire::Envelope::from(envelope)).len();
        println!("slope=message kind={kind} bytes={bytes}");
    }
}

/// Measures the cost of a publication by the number of workspaces in the configuration.
fn measure_publications() {
    for workspaces in [10usize, 1_000, 10_000] {
        let mut deployment = deployment::fjordhest().with_regions(1).with_endpoints(1, 0);
        let template = deployment.workspaces[0].clone();
        for number in 0..workspaces {
            let mut workspace = template.clone();
            workspace.name = format!("w{number}");
            workspace.token = format!("token-{number}");
            deployment.workspaces.push(workspace);
        }
        let text = deployment.config_toml();
        let resident_before = resident_bytes();
        let mut harness = world_harness::WorldHarness::new();
        let tick_time = harness.tick_time;
        harness.publish(1, &text);
        harness.world.tables.configuration.reading = false;
        harness.advance(time::Duration::from_secs(1));
        let read = flamingotrail_core::input::Input::ReadCompleted {
            stream: ids::StreamName::new("config"),
            page: None,
        };
        harness.run(vec![read]);
        harness.advance(time::Duration::from_secs(2));
        println!(
            "slope=publication workspaces={workspaces} set_bytes={} version={} ms={:.1} \
             resident_bytes_per_workspace={}",
            text.len(),
            harness.world.tables.configuration.version(),
            (harness.tick_time - tick_time).as_secs_f64() * 1e3,
            resident_bytes().saturating_sub(resident_before) / workspaces as u64,
        );
    }
}

/// Measures messages, appends and tick times by load, with the benchmark.
fn measure_load() {
    for load in [0.25, 0.5, 1.0] {
        let config = bench::BenchConfig {
            deployment: deployment::fjordhest(),
            policy: "default".to_owned(),
            policies: flamingotrail_core::config::Policies::default(),
            load,
            seed: 1,
            arrival_duration: time::Duration::from_secs(20),
            burst: false,
            noisy_workspace: false,
            fault: bench::Fault::None,
        };
        let metrics = bench::run(&config);
        println!(
            "slope=load load={load} programs={} appends_per_s={:.1} messages_per_node_s={:.1} \
             tick_us_p50={:.1} tick_us_p99={:.1}",
            metrics.programs,
            metrics.appends_per_s,
            metrics.messages_per_node_s,
            metrics.tick_duration_us.0,
            metrics.tick_duration_us.1,
        );
    }
}
