//! Checks that the limits of a process fit together and its machine.

use flamingotrail_adapter::check;

use crate::configs::limits as settings;
use crate::connections::limits;

/// A limit in force: its flag, its value and its unit.
pub type LimitRow = (&'static str, usize, &'static str);

/// Limits of a gateway that are in force.
pub fn in_force(settings: &settings::LimitSettings) -> Vec<LimitRow> {
    let limits = settings.connection_limits();
    vec![
        ("max-connections", limits.callers, "connections"),
        ("max-peer-connections", limits.peers, "connections"),
        ("max-monitoring-connections", limits.monitoring, "connections"),
        ("max-request-memory", limits.request_bytes, "bytes"),
        ("max-response-memory", limits.response_bytes, "bytes"),
        ("max-buffer-memory", limits.buffer_bytes, "bytes"),
        ("max-history-memory", settings.max_history_bytes(), "bytes"),
        ("max-unlogged-memory", settings.max_unlogged_bytes(), "bytes"),
        ("max-look-ups", settings.max_lookups(), "look-ups"),
        ("max-service-percent", usize::from(settings.call_limits().service_percent), "percent"),
        ("receive-buffer", limits.receive_buffer_bytes, "bytes"),
        ("send-buffer", limits.send_buffer_bytes, "bytes"),
        ("max-body-time-s", limits.max_body_time.as_secs() as usize, "seconds"),
    ]
}

/// Returns what contradicts the machine or another limit.
pub fn check(settings: &settings::LimitSettings) -> Vec<check::Finding> {
    let limits = settings.connection_limits();
    let rules = [
        descriptors(settings, &limits),
        memory(settings, &limits),
        unlogged(settings),
        receive_buffer(&limits),
    ];
    rules.into_iter().flatten().collect()
}

/// Logs what [`check`] finds, when a process starts.
pub fn log_findings(settings: &settings::LimitSettings) {
    for finding in check(settings) {
        log::warn!(
            "event=limits_contradict rule={} text={:?}",
            finding.rule,
            format!("{}: {}; {}", finding.place, finding.message, finding.advice)
        );
    }
}

fn descriptors(
    settings: &settings::LimitSettings,
    limits: &limits::Limits,
) -> Option<check::Finding> {
    let (callers, surplus) =
        (limits.callers, limits.surplus_connections(limits::Listener::Callers));
    let needed = [callers, surplus, limits.peers, 2 * limits.monitoring];
    let needed = needed.into_iter().fold(0, usize::saturating_add);
    let available = settings.descriptors();
    (needed > available).then(|| {
        finding(
            check::Severity::Error,
            "connections_over_descriptors",
            "--max-connections",
            format!("connections may take {needed} of {available} descriptors"),
            "lower the limits of connections or raise --max-descriptors",
        )
    })
}

fn memory(settings: &settings::LimitSettings, limits: &limits::Limits) -> Option<check::Finding> {
    let parts = [
        limits.callers.saturating_mul(limits::CONNECTION_BYTES),
        limits.request_bytes,
        limits.response_bytes,
        limits.buffer_bytes,
        settings.max_history_bytes(),
    ];
    let needed = parts.into_iter().fold(0, usize::saturating_add);
    let available = settings.memory_bytes();
    (needed > available).then(|| {
        finding(
            check::Severity::Error,
            "limits_over_memory",
            "--memory-mb",
            format!("the limits together allow {needed} bytes, of {available}"),
            "lower --max-connections or the limits of memory",
        )
    })
}

fn unlogged(settings: &settings::LimitSettings) -> Option<check::Finding> {
    let (unlogged, history) = (settings.max_unlogged_bytes(), settings.max_history_bytes());
    (unlogged > history).then(|| {
        finding(
            check::Severity::Warning,
            "unlogged_over_history",
            "--max-unlogged-memory",
            format!("{unlogged} bytes are more than the histories may take ({history})"),
            "raise --max-history-memory or lower --max-unlogged-memory",
        )
    })
}

fn receive_buffer(limits: &limits::Limits) -> Option<check::Finding> {
    let (buffer, max) = (limits.ahead_bytes(), limits.request_bytes);
    (buffer > max).then(|| {
        finding(
            check::Severity::Warning,
            "receive_buffer_over_requests",
            "--receive-buffer",
            format!("one caller that sends ahead counts {buffer} bytes, of {max} for all"),
            "lower --receive-buffer or raise --max-request-memory",
        )
    })
}

fn finding(
    severity: check::Severity,
    rule: &'static str,
    flag: &str,
    message: String,
    advice: &str,
) -> check::Finding {
    check::Finding {
        severity,
        rule,
        place: flag.to_owned(),
        position: None,
        message,
        advice: advice.to_owned(),
    }
}
