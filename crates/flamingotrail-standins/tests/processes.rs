//! Real processes on loopback: the path, and one test for each fault that the rig can't cause to a
//! process. Verdicts do not depend on timing: programs end, answers follow from the programs' own
//! view, and nothing that may not be repeated runs twice.

use std::path;

use flamingotrail_standins::deployment;
use flamingotrail_standins::local::caller;
use flamingotrail_standins::local::cluster;
use flamingotrail_standins::local::faults;
use flamingotrail_standins::local::processes;
use flamingotrail_standins::workload;

fn small_deployment() -> deployment::Deployment {
    deployment::fjordhest().with_regions(1).with_endpoints(3, 2)
}

fn folder(name: &str) -> path::PathBuf {
    let path =
        std::env::temp_dir().join(format!("flamingotrail-test-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    path
}

async fn start(name: &str) -> cluster::Cluster {
    let started = cluster::Cluster::start(small_deployment(), 2, &folder(name)).await;
    started.expect("the set-up starts; scripts/test builds the programs")
}

fn model(text: &str, tokens: u32) -> workload::Step {
    workload::Step::Model { text: format!("{text} #{tokens}"), tokens }
}

fn booking(body: &str) -> workload::Step {
    workload::Step::Service {
        service: "ledger-book".to_owned(),
        operation: "write".to_owned(),
        body: format!("{{\"booking\":\"{body}\"}}"),
        repeatable: false,
    }
}

/// A program that takes a few seconds, with bookings on the way.
fn program(number: usize) -> workload::Program {
    let pause = workload::Step::Pause(std::time::Duration::from_millis(300));
    let mut steps = vec![model("begin", 20)];
    for turn in 0..5 {
        steps.push(pause.clone());
        steps.push(booking(&format!("{number}-{turn}")));
        steps.push(model("go on", 80));
    }
    steps.push(workload::Step::SubAgent(vec![model("sub", 20), booking(&format!("{number}-sub"))]));
    workload::Program {
        number,
        kind: "test",
        workspace: "desk".to_owned(),
        region: "vestland".to_owned(),
        starts: std::time::Duration::ZERO,
        steps,
    }
}

/// Runs programs while `fault` hits the processes beside endpoints one after the other.
async fn run_under(
    cluster: &mut cluster::Cluster,
    fault: Option<faults::Fault>,
) -> caller::ProgramStats {
    let caller = caller::Caller::new(cluster.daemons.entry_addresses(), &cluster.deployment.model);
    let running: Vec<_> = (0..6)
        .map(|number| {
            let caller = caller.clone();
            actix_rt::spawn(async move { caller.run_program(&program(number), "desk-token").await })
        })
        .collect();
    let first_beside = 2;
    if let Some(fault) = fault {
        actix_rt::time::sleep(std::time::Duration::from_millis(800)).await;
        faults::inject(fault, first_beside, cluster).await.expect("the fault can be caused");
    }
    for handle in running {
        handle.await.expect("the program's task ends");
    }
    caller.stats()
}

fn check(cluster: &cluster::Cluster, stats: &caller::ProgramStats) {
    assert_eq!(stats.wrong_answers, Vec::<String>::new());
    assert_eq!(cluster.fakes.repeated_executions_of("write"), 0);
    assert_eq!(stats.done + stats.unknown, 6, "not run: {}", stats.not_run);
}

fn under(name: &str, fault: Option<faults::Fault>) {
    actix_rt::System::new().block_on(async {
        let mut cluster = start(name).await;

        let stats = run_under(&mut cluster, fault).await;
        let ended_badly = cluster.daemons.stop_all().await;

        check(&cluster, &stats);
        assert_eq!(ended_badly, Vec::<String>::new());
    });
}

#[test]
fn programs_run_through_separate_processes() {
    actix_rt::System::new().block_on(async {
        let mut cluster = start("plain").await;

        let stats = run_under(&mut cluster, None).await;
        let ended_badly = cluster.daemons.stop_all().await;

        check(&cluster, &stats);
        assert_eq!(stats.done, 6);
        assert_eq!(ended_badly, Vec::<String>::new());
    });
}

#[test]
fn a_killed_process_loses_no_program() {
    under("kill", Some(faults::Fault::Kill));
}

#[test]
fn a_frozen_process_that_wakes_repeats_nothing() {
    under("freeze", Some(faults::Fault::Freeze));
}

#[test]
fn a_process_whose_links_are_cut_repeats_nothing() {
    under("cut", Some(faults::Fault::Cut));
}

#[test]
fn an_outage_of_the_log_loses_no_program() {
    under("outage", Some(faults::Fault::Outage));
}

#[test]
fn a_process_that_is_stopped_cuts_nothing_off() {
    actix_rt::System::new().block_on(async {
        let mut cluster = start("drain").await;

        let stats = run_under(&mut cluster, Some(faults::Fault::Drain)).await;
        let ended_badly = cluster.daemons.stop_all().await;

        check(&cluster, &stats);
        assert_eq!(stats.done, 6, "unknown: {}", stats.unknown);
        assert_eq!(ended_badly, Vec::<String>::new());
    });
}

#[test]
fn of_two_operators_that_race_one_wins_and_the_other_is_told() {
    actix_rt::System::new().block_on(async {
        let mut cluster = start("race").await;
        let objects = cluster.deployment.objects_toml();
        let first = objects.replace("max_turns = 400", "max_turns = 300");
        let second = objects.replace("max_turns = 400", "max_turns = 200");

        let flags = ["--base", "1", "--author"];
        let (a, b) = futures_util::future::join(
            cluster.publish(&first, "first.toml", &[flags[0], flags[1], flags[2], "ola"]),
            cluster.publish(&second, "second.toml", &[flags[0], flags[1], flags[2], "kari"]),
        )
        .await;
        cluster.wait_for_version(2).await.expect("the winner's set comes into force");
        cluster.daemons.stop_all().await;

        let answers = [a.expect("the client runs"), b.expect("the client runs")];
        let winners = answers.iter().filter(|(good, _)| *good).count();
        assert_eq!(winners, 1, "{answers:?}");
        let loser = answers.iter().find(|(good, _)| !good).map(|(_, text)| text.clone());
        assert!(loser.unwrap_or_default().contains("--base 2"), "{answers:?}");
    });
}

#[test]
fn wrong_requests_are_refused_with_a_remedy_and_change_nothing() {
    actix_rt::System::new().block_on(async {
        let mut cluster = start("wrong").await;
        let entry = cluster.daemons.entry_addresses()[0];
        let http = awc::Client::default();
        let chat =
            "{\"model\":\"stable-assistant\",\"messages\":[{\"role\":\"user\",\"content\":\"a\"}]}";
        let cases = [
            ("desk-token", "/v1/chat/completions", "{", "", 400, "bad_field"),
            ("no-such-token", "/v1/chat/completions", chat, "", 401, "unknown_key"),
            ("desk-token", "/v1/nothing", chat, "", 400, "bad_field"),
            ("desk-token", "/v1/services/nothing/x", "{}", "", 404, "unknown_service"),
            ("desk-token", "/v1/services/ledger-book/write", "{}", "", 400, "bad_field"),
            (
                "desk-token",
                "/v1/chat/completions",
                chat,
                "prg.vestland.0.00000000000000ff",
                404,
                "unknown_program",
            ),
            ("desk-token", "/v1/chat/completions", chat, "prg.nothing", 400, "bad_field"),
        ];

        let mut seen = Vec::new();
        for (token, path, body, program, _, _) in cases {
            let mut request = http
                .post(format!("http://{entry}{path}"))
                .insert_header(("authorization", format!("Bearer {token}")));
            if !program.is_empty() {
                request = request.insert_header(("x-flamingotrail-program", program));
            }
            let response = request.send_body(body.to_owned()).await.expect("the entry answers");
            let header = |name: &str| {
                let value = response.headers().get(name).and_then(|value| value.to_str().ok());
                value.unwrap_or_default().to_owned()
            };
            seen.push((
                response.status().as_u16(),
                header("x-flamingotrail-reason"),
                header("x-flamingotrail-outcome"),
            ));
        }
        cluster.daemons.stop_all().await;

        for (case, (status, reason, outcome)) in cases.iter().zip(seen) {
            assert_eq!((status, reason.as_str()), (case.4, case.5), "{case:?}");
            assert_eq!(outcome, "not_run", "{case:?}");
        }
        let ran = cluster.fakes.services["all"].lock().expect("not poisoned").executions.len();
        assert_eq!(ran, 0);
    });
}

#[test]
fn wrong_settings_are_reported_all_at_once() {
    let daemon = cluster::binary_dir().expect("scripts/test builds the programs");

    let mut command = std::process::Command::new(daemon.join("flamingotraild"));
    command.args(["--role", "guest", "--listen", "nowhere", "--drain-timeout", "soon"]).env_clear();
    let output = processes::run_to_exit(&mut command).expect("the daemon can be run");

    let text = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2));
    for flag in ["--role", "--listen", "--drain-timeout", "--instance", "--log-url", "--tls-cert"] {
        assert!(text.contains(flag), "{flag} is not in: {text}");
    }
}

#[test]
fn a_set_with_mistakes_is_refused_with_every_mistake() {
    let programs = cluster::binary_dir().expect("scripts/test builds the programs");
    let folder = folder("mistakes");
    std::fs::create_dir_all(&folder).expect("the folder can be made");
    let file = folder.join("objects.toml");
    let text = "[region.a]\ndomains = []\n[workspace.w]\nkey_digests = [\"x\"]\npriority = \"p\"\nbudget = \"b\"\n";
    std::fs::write(&file, text).expect("the file can be written");

    let mut command = std::process::Command::new(programs.join("flamingotrail"));
    command.arg("check").arg(&file);
    let output = processes::run_to_exit(&mut command).expect("the client can be run");

    let said = String::from_utf8_lossy(&output.stdout);
    assert!(!output.status.success());
    for wanted in ["no failure domain", "not a digest", "priority `p`", "budget `b`", "toml:"] {
        assert!(said.contains(wanted), "{wanted} is not in: {said}");
    }
}
