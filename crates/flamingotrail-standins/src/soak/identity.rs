//! Checks that runners get what the keys of callers allow, and nothing of the keys.

use std::collections;

use crate::fleet::server;
use crate::soak::connection;
use crate::soak::keys;

/// What a request with an unusual key, or for an unusual turn, is to show.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Attempt {
    /// The key never was valid.
    UnknownKey,
    /// The key was valid for a time.
    TemporaryKey(String),
    /// The request continues a turn of another workspace.
    ForeignTurn,
}

/// Such a request and its response.
#[derive(Clone, Debug)]
pub struct Trial {
    /// Request id.
    pub id: String,
    /// What it is to show.
    pub attempt: Attempt,
    /// The response.
    pub response: connection::Response,
}

/// Returns one message for each violation. `requests` are those that runners received.
pub fn violations(
    ring: &keys::KeyRing,
    trials: &[Trial],
    requests: &[server::Request],
) -> Vec<String> {
    let mut violations: Vec<String> = requests.iter().filter_map(check_request).collect();
    let mut executions: collections::BTreeMap<&str, Vec<&server::Request>> =
        collections::BTreeMap::new();
    for request in requests {
        let id = request.header("request-id").unwrap_or_default();
        executions.entry(id).or_default().push(request);
    }
    for trial in trials {
        let executions = executions.get(trial.id.as_str()).map_or(&[][..], Vec::as_slice);
        violations.extend(check_trial(ring, trial, executions));
    }
    violations
}

/// Checks that a request names the workspace of its caller once, and contains no key.
fn check_request(request: &server::Request) -> Option<String> {
    let id = request.header("request-id").unwrap_or_default();
    let named: Vec<_> =
        request.headers.iter().filter(|(name, _)| name == "tenant").map(|(_, v)| v).collect();
    let number = id.strip_prefix('c').and_then(|rest| rest.split('-').next()?.parse().ok());
    let expected = number.map(|number| keys::WORKSPACES[keys::workspace_of(number)]);
    if named.len() != 1 || expected.is_none_or(|expected| named[0] != expected) {
        return Some(format!("identity: {id} was executed for {named:?}, expected {expected:?}"));
    }
    let is_shown = |text: &str| text.contains(keys::KEY_PREFIX);
    let shows_key = request.headers.iter().any(|(name, value)| is_shown(name) || is_shown(value))
        || is_shown(&request.target)
        || is_shown(&String::from_utf8_lossy(&request.body));
    shows_key.then(|| format!("identity: the runner of {id} has seen a key"))
}

fn check_trial(
    ring: &keys::KeyRing,
    trial: &Trial,
    executions: &[&server::Request],
) -> Option<String> {
    let (id, status) = (&trial.id, trial.response.status);
    match &trial.attempt {
        Attempt::UnknownKey | Attempt::ForeignTurn => {
            let is_refused = !matches!(status, Some(200..300));
            (!executions.is_empty() || !is_refused).then(|| {
                format!(
                    "identity: {id} ({:?}) was executed {} times and got {status:?}",
                    trial.attempt,
                    executions.len()
                )
            })
        }
        Attempt::TemporaryKey(text) => {
            if status == Some(401) && !executions.is_empty() {
                return Some(format!("identity: {id} got 401 and was executed"));
            }
            let key = ring.all().into_iter().find(|key| key.text == *text)?;
            let removed_at = key.removed_at?;
            let late = executions.iter().find(|request| {
                request.received_at > removed_at + keys::REMOVAL_BOUND
                    && !ring.was_disturbed(removed_at, request.received_at)
            })?;
            let after_ms = late.received_at.duration_since(removed_at).as_millis();
            Some(format!("identity: {id} was executed {after_ms} ms after its key was removed"))
        }
    }
}
