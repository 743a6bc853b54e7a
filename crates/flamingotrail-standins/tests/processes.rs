//! Tests with real processes on loopback: requests from end to end, and one test for each fault
//! that the simulation can't inject into a process. The assertions don't depend on timing: programs
//! end, responses match the conversation, and no call that may not be repeated runs twice.

use std::path;

use flamingotrail_standins::deployment;
use flamingotrail_standins::local::caller;
use flamingotrail_standins::local::cluster;
use flamingotrail_standins::local::faults;
use flamingotrail_standins::local::processes;
use flamingotrail_standins::workload;

fn test_deployment() -> deployment::Deployment {
    deployment::fjordhest().with_regions(1).with_endpoints(3, 2)
}

fn empty_folder(name: &str) -> path::PathBuf {
    let path =
        std::env::temp_dir().join(format!("flamingotrail-test-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    path
}

async fn start_cluster(name: &str) -> cluster::Cluster {
    let cluster = cluster::Cluster::start(test_deployment(), 2, &empty_folder(name)).await;
    cluster.expect("the cluster starts; scripts/test builds the binaries")
}

fn model_step(text: &str, tokens: u32) -> workload::Step {
    workload::Step::Model { text: format!("{text} #{tokens}"), tokens }
}

fn booking_step(body: &str) -> workload::Step {
    workload::Step::Service {
        service: "ledger-book".to_owned(),
        operation: "write".to_owned(),
        body: format!("{{\"booking\":\"{body}\"}}"),
        repeatable: false,
    }
}

/// A program that takes a few seconds and makes bookings, which may not be repeated.
fn program(number: usize) -> workload::Program {
    let pause = workload::Step::Pause(std::time::Duration::from_millis(300));
    let mut steps = vec![model_step("begin", 20)];
    for turn in 0..5 {
        steps.push(pause.clone());
        steps.push(booking_step(&format!("{number}-{turn}")));
        steps.push(model_step("go on", 80));
    }
    steps.push(workload::Step::SubAgent(vec![
        model_step("sub", 20),
        booking_step(&format!("{number}-sub")),
    ]));
    workload::Program {
        number,
        kind: "test",
        workspace: "desk".to_owned(),
        region: "vestland".to_owned(),
        starts_at: std::time::Duration::ZERO,
        steps,
    }
}

/// Runs programs and meanwhile injects `fault` into the first daemon that serves an endpoint.
async fn run_programs(
    cluster: &mut cluster::Cluster,
    fault: Option<faults::Fault>,
) -> caller::ProgramStats {
    let caller = caller::Caller::new(cluster.daemons.entry_addresses(), &cluster.deployment.model);
    let tasks: Vec<_> = (0..6)
        .map(|number| {
            let caller = caller.clone();
            actix_rt::spawn(async move { caller.run_program(&program(number), "desk-token").await })
        })
        .collect();
    let first_endpoint_daemon = 2; // The daemons 0 and 1 are the entries.
    if let Some(fault) = fault {
        actix_rt::time::sleep(std::time::Duration::from_millis(800)).await;
        faults::inject(fault, first_endpoint_daemon, cluster)
            .await
            .expect("the fault can be injected");
    }
    for handle in tasks {
        handle.await.expect("the program's task doesn't panic");
    }
    caller.stats()
}

fn assert_consistent(cluster: &cluster::Cluster, stats: &caller::ProgramStats) {
    assert_eq!(stats.wrong_responses, Vec::<String>::new());
    assert_eq!(cluster.fakes.repeated_executions_of("write"), 0);
    assert_eq!(stats.done + stats.unknown, 6, "not run: {}", stats.not_run);
}

fn run_with_fault(name: &str, fault: Option<faults::Fault>) {
    actix_rt::System::new().block_on(async {
        let mut cluster = start_cluster(name).await;

        let stats = run_programs(&mut cluster, fault).await;
        let failed_daemons = cluster.daemons.stop_all().await;

        assert_consistent(&cluster, &stats);
        assert_eq!(failed_daemons, Vec::<String>::new());
    });
}

#[test]
fn programs_run_through_separate_processes() {
    actix_rt::System::new().block_on(async {
        let mut cluster = start_cluster("plain").await;

        let stats = run_programs(&mut cluster, None).await;
        let failed_daemons = cluster.daemons.stop_all().await;

        assert_consistent(&cluster, &stats);
        assert_eq!(stats.done, 6);
        assert_eq!(failed_daemons, Vec::<String>::new());
    });
}

#[test]
fn a_killed_process_loses_no_program() {
    run_with_fault("kill", Some(faults::Fault::Kill));
}

#[test]
fn a_suspended_process_that_resumes_repeats_nothing() {
    run_with_fault("freeze", Some(faults::Fault::Freeze));
}

#[test]
fn a_process_whose_links_are_cut_repeats_nothing() {
    run_with_fault("cut", Some(faults::Fault::Cut));
}

#[test]
fn a_log_outage_loses_no_program() {
    run_with_fault("outage", Some(faults::Fault::Outage));
}

#[test]
fn a_graceful_stop_interrupts_no_program() {
    actix_rt::System::new().block_on(async {
        let mut cluster = start_cluster("drain").await;

        let stats = run_programs(&mut cluster, Some(faults::Fault::Drain)).await;
        let failed_daemons = cluster.daemons.stop_all().await;

        assert_consistent(&cluster, &stats);
        assert_eq!(stats.done, 6, "unknown: {}", stats.unknown);
        assert_eq!(failed_daemons, Vec::<String>::new());
    });
}

#[test]
fn one_of_two_concurrent_publications_is_accepted_and_the_other_gets_an_error() {
    actix_rt::System::new().block_on(async {
        let mut cluster = start_cluster("race").await;
        let config_toml = cluster.deployment.config_toml();
        let first_config = config_toml.replace("max_turns = 400", "max_turns = 300");
        let second_config = config_toml.replace("max_turns = 400", "max_turns = 200");

        let flags = ["--base", "1", "--author"];
        let (first_result, second_result) = futures_util::future::join(
            cluster.publish(&first_config, "first.toml", &[flags[0], flags[1], flags[2], "ola"]),
            cluster.publish(&second_config, "second.toml", &[flags[0], flags[1], flags[2], "kari"]),
        )
        .await;
        cluster.wait_for_version(2).await.expect("every daemon runs the accepted configuration");
        cluster.daemons.stop_all().await;

        let results =
            [first_result.expect("the client runs"), second_result.expect("the client runs")];
        let accepted_count = results.iter().filter(|(accepted, _)| *accepted).count();
        assert_eq!(accepted_count, 1, "{results:?}");
        let rejection =
            results.iter().find(|(accepted, _)| !accepted).map(|(_, text)| text.clone());
        assert!(rejection.unwrap_or_default().contains("--base 2"), "{results:?}");
    });
}

#[test]
fn invalid_requests_are_refused_and_have_no_effect() {
    actix_rt::System::new().block_on(async {
        let mut cluster = start_cluster("invalid").await;
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

        let mut responses = Vec::new();
        for (token, path, body, program, _, _) in cases {
            let mut request = http
                .post(format!("http://{entry}{path}"))
                .insert_header(("authorization", format!("Bearer {token}")));
            if !program.is_empty() {
                request = request.insert_header(("x-flamingotrail-program", program));
            }
            let response = request.send_body(body.to_owned()).await.expect("the entry responds");
            let header = |name: &str| {
                let value = response.headers().get(name).and_then(|value| value.to_str().ok());
                value.unwrap_or_default().to_owned()
            };
            responses.push((
                response.status().as_u16(),
                header("x-flamingotrail-reason"),
                header("x-flamingotrail-outcome"),
            ));
        }
        cluster.daemons.stop_all().await;

        for (case, (status, reason, outcome)) in cases.iter().zip(responses) {
            assert_eq!((status, reason.as_str()), (case.4, case.5), "{case:?}");
            assert_eq!(outcome, "not_run", "{case:?}");
        }
        let executed = cluster.fakes.services["all"].lock().expect("not poisoned").executions.len();
        assert_eq!(executed, 0);
    });
}

#[test]
fn all_invalid_settings_are_reported_at_once() {
    let binary_dir = cluster::binary_dir().expect("scripts/test builds the binaries");

    let mut command = std::process::Command::new(binary_dir.join("flamingotraild"));
    command.args(["--role", "guest", "--listen", "nowhere", "--drain-timeout", "soon"]).env_clear();
    let output = processes::run_to_exit(&mut command).expect("the daemon can be run");

    let stderr = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2));
    for flag in ["--role", "--listen", "--drain-timeout", "--instance", "--log-url", "--tls-cert"] {
        assert!(stderr.contains(flag), "{flag} is not in: {stderr}");
    }
}

#[test]
fn a_check_reports_every_error_in_a_configuration() {
    let binary_dir = cluster::binary_dir().expect("scripts/test builds the binaries");
    let folder = empty_folder("config-errors");
    std::fs::create_dir_all(&folder).expect("the folder can be created");
    let file = folder.join("objects.toml");
    let text = "[region.a]\ndomains = []\n[workspace.w]\nkey_digests = [\"x\"]\npriority = \"p\"\nbudget = \"b\"\n";
    std::fs::write(&file, text).expect("the file can be written");

    let mut command = std::process::Command::new(binary_dir.join("flamingotrail"));
    command.arg("check").arg(&file);
    let output = processes::run_to_exit(&mut command).expect("the client can be run");

    let stdout = String::from_utf8_lossy(&output.stdout);
    assert!(!output.status.success());
    for expected in ["no failure domain", "not a digest", "priority `p`", "budget `b`", "toml:"] {
        assert!(stdout.contains(expected), "{expected} is not in: {stdout}");
    }
}
