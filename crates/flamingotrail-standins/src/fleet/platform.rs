//! Records that operators and runners write to the platform's store.

use std::net;

/// Tokens that one event of a model runner counts for.
pub const TOKENS_PER_EVENT: u64 = 8;

/// Returns the registry entry of a runner that is ready.
pub fn runner_entry(service: &str, address: net::SocketAddr) -> String {
    restarted_runner_entry(service, address, 0)
}

/// Returns the registry entry of a runner that is about to leave.
pub fn draining_runner_entry(service: &str, address: net::SocketAddr) -> String {
    runner_entry(service, address).replace("\"ready\"", "\"draining\"")
}

/// Returns the registry entry of a runner that is ready after `restarts` starts under the same id.
pub fn restarted_runner_entry(service: &str, address: net::SocketAddr, restarts: u64) -> String {
    const FIRST_START_MS: u64 = 1_700_000_000_000;
    const CLOCK_STEP_MS: u64 = 60_000;
    // The runner's clock has jumped back before each second start.
    let born = if restarts.is_multiple_of(2) {
        FIRST_START_MS + restarts
    } else {
        FIRST_START_MS - restarts * CLOCK_STEP_MS
    };
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"north-a\",\"slots\":8,\
         \"state\":\"ready\",\"sequence\":1,\"born\":{born}}}"
    )
}

/// Returns a configuration with the routes `/chat/` for turns with history, `/ask/` for those
/// without and `/resume/` for those that can be resumed, the routes `/look/` and `/book/` for tool
/// calls, and `extra` additional routes `/extra-1/`, `/extra-2/` and so on.
pub fn configuration(version: u64, extra: u64) -> String {
    configuration_with_retention(version, extra, 60)
}

/// Returns the same configuration, in which the history of turns is kept for `retention_s` seconds.
pub fn configuration_with_retention(version: u64, extra: u64, retention_s: u64) -> String {
    let history = format!(",\"retain\":true,\"retention_s\":{retention_s}");
    let mut routes = vec![
        route("chat", "streaming", "model", &history),
        route("ask", "streaming", "model", ""),
        route("resume", "streaming", "model", ",\"resumable\":true"),
        route("look", "safe", "plain", ""),
        route("book", "unsafe", "plain", ""),
    ];
    routes.extend((1..=extra).map(|number| route(&format!("extra-{number}"), "safe", "plain", "")));
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"model\",\
         \"engine\":{{\"event_stride\":{TOKENS_PER_EVENT}}}}},{{\"name\":\"plain\",\"health_path\":\"/health\"}}]}}",
        routes.join(",")
    )
}

fn route(name: &str, kind: &str, service: &str, options: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"hostname\":\"desk.example\",\"path_prefix\":\"/{name}/\",\
         \"route_type\":\"{kind}\",\"timeout_ms\":6000,\"target_latency_ms\":400,\"priority\":0,\
         \"service\":\"{service}\",\"max_attempts\":2{options}}}"
    )
}

/// Returns `configuration` with workspaces, each given by its name and its keys.
///
/// # Panics
///
/// Panics if `configuration` is not a JSON object.
pub fn with_workspaces(configuration: &str, workspaces: &[(&str, Vec<String>)]) -> String {
    let mut document: serde_json::Value =
        serde_json::from_str(configuration).expect("the configuration is JSON");
    let rows = workspaces.iter().map(|(name, keys)| {
        serde_json::json!({ "name": name, "api_keys": keys, "priority": 0, "rate_per_s": 0, "burst": 0 })
    });
    document["tenants"] = rows.collect();
    document.to_string()
}

/// Returns `configuration` with limits for callers' requests whose time-outs are so long that a test
/// ends before them.
///
/// # Panics
///
/// Panics if `configuration` is not a JSON object.
pub fn with_limits(configuration: &str, max_head_bytes: usize, max_body_bytes: usize) -> String {
    const TIMEOUT_MS: u64 = 120_000;
    let mut document: serde_json::Value =
        serde_json::from_str(configuration).expect("the configuration is JSON");
    document["limits"] = serde_json::json!({
        "max_header_bytes": max_head_bytes,
        "max_body_bytes": max_body_bytes,
        "header_timeout_ms": TIMEOUT_MS,
        "idle_timeout_ms": TIMEOUT_MS,
    });
    document.to_string()
}
