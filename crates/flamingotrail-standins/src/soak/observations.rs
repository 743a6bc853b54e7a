//! Observations of callers. The guarantees are checked against them and against the requests that
//! runners received.

use std::collections;
use std::time;

use crate::fleet::server;
use crate::soak::callers;
use crate::soak::connection;
use crate::soak::identity;

/// Status codes which guarantee that a request has not been executed and never will be.
const NOT_EXECUTED_STATUSES: &[u16] = &[401, 402, 408, 421, 429, 503];
/// Time after which the gateway is assumed to have read a request that was sent completely.
const READ_ALLOWANCE: time::Duration = time::Duration::from_millis(200);

/// How often a tool call may be executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Any number of times.
    Idempotent,
    /// At most once.
    AtMostOnce,
}

/// A turn and its response.
#[derive(Clone, Debug)]
pub struct Turn {
    /// Request id.
    pub id: String,
    /// Id of the program.
    pub program: String,
    /// Token budget of the program.
    pub budget: u64,
    /// The turn that this one continues.
    pub previous: Option<String>,
    /// Input of this turn, without the history.
    pub input: String,
    /// The response.
    pub response: connection::Response,
}

/// A turn without history and its response.
#[derive(Clone, Debug)]
pub struct Stream {
    /// The turn.
    pub turn: Turn,
    /// Whether its stream may be resumed.
    pub is_resumable: bool,
    /// Id of the event after which the caller resumed it; 0 for its beginning.
    pub resume_after: u64,
}

/// A tool call and its response.
#[derive(Clone, Debug)]
pub struct Call {
    /// Request id.
    pub id: String,
    /// How often it may be executed.
    pub kind: CallKind,
    /// Whether its gateway had served the route before, if the route was published during the run.
    pub route_is_known: bool,
    /// The response.
    pub response: connection::Response,
}

/// One observation of a caller.
#[derive(Clone, Debug)]
pub enum Observation {
    /// A turn has ended.
    Turn(Turn),
    /// A turn without history has ended.
    Stream(Stream),
    /// A tool call has ended.
    Call(Call),
    /// A request that shows who may run what has ended.
    Trial(identity::Trial),
    /// No gateway resumed the turn with this id within the time limit at the end of the run.
    Unresumed(String),
}

/// All observations of a run.
#[derive(Debug, Default)]
pub struct Observations {
    /// Turns by request id.
    pub turns: collections::BTreeMap<String, Turn>,
    /// Turns without history.
    pub streams: Vec<Stream>,
    /// Tool calls by request id.
    pub calls: collections::BTreeMap<String, Call>,
    /// Requests that show who may run what.
    pub trials: Vec<identity::Trial>,
    /// Ids of turns that could not be resumed.
    pub unresumed_turns: Vec<String>,
    /// Unexpected exits and failed graceful shutdowns, one message each.
    pub failed_shutdowns: Vec<String>,
}

/// Requests that runners received, by request id.
type Executions<'a> = collections::BTreeMap<&'a str, Vec<&'a server::Request>>;

impl Observations {
    /// Adds an observation.
    pub fn record(&mut self, observation: Observation) {
        match observation {
            Observation::Turn(turn) => {
                self.turns.insert(turn.id.clone(), turn);
            }
            Observation::Stream(stream) => self.streams.push(stream),
            Observation::Call(call) => {
                self.calls.insert(call.id.clone(), call);
            }
            Observation::Trial(trial) => self.trials.push(trial),
            Observation::Unresumed(turn) => self.unresumed_turns.push(turn),
        }
    }

    /// Number of turns with a complete successful response.
    pub fn completed_turns(&self) -> usize {
        self.turns.values().filter(|turn| is_successful(&turn.response)).count()
    }

    /// Checks all guarantees and returns one message for each violation. `requests` are those that
    /// runners received. `maintenance_only` says that the plan had no faults other than planned
    /// maintenance.
    pub fn violations(&self, requests: &[server::Request], maintenance_only: bool) -> Vec<String> {
        let mut executions: Executions<'_> = collections::BTreeMap::new();
        for request in requests {
            executions
                .entry(request.header("request-id").unwrap_or_default())
                .or_default()
                .push(request);
        }
        let mut violations = self.failed_shutdowns.clone();
        let unresumed = self.unresumed_turns.iter();
        violations.extend(
            unresumed.map(|turn| format!("lost: {turn} could not be resumed at any gateway")),
        );
        for turn in self.turns.values() {
            self.check_turn(turn, &executions, &mut violations);
            check_interruption(
                &turn.id,
                &turn.response,
                &executions,
                maintenance_only,
                &mut violations,
            );
        }
        for stream in &self.streams {
            check_stream(stream, &executions, &mut violations);
        }
        for call in self.calls.values() {
            check_call(call, &executions, &mut violations);
            check_interruption(
                &call.id,
                &call.response,
                &executions,
                maintenance_only,
                &mut violations,
            );
        }
        self.check_budgets(&mut violations);
        violations
    }

    fn check_turn(&self, turn: &Turn, executions: &Executions<'_>, violations: &mut Vec<String>) {
        check_execution_count(&turn.id, &turn.response, executions, violations);
        check_origin(&turn.id, &turn.response, violations);
        let expected = self.expected_body(turn);
        for execution in executions.get(turn.id.as_str()).into_iter().flatten() {
            if execution.body != expected.as_bytes() {
                let actual = String::from_utf8_lossy(&execution.body);
                violations.push(format!(
                    "history: {} was executed with {actual:?}, expected {expected:?}",
                    turn.id
                ));
            }
        }
        let is_rejected_as_unknown = matches!(turn.response.status, Some(404 | 410));
        let previous = turn.previous.as_ref().and_then(|previous| self.turns.get(previous));
        if is_rejected_as_unknown
            && previous.is_none_or(|previous| is_successful(&previous.response))
        {
            violations.push(format!(
                "lost: {} was rejected since turn {:?} is unknown",
                turn.id, turn.previous
            ));
        }
        if is_successful(&turn.response)
            && turn.response.body.matches("data:").count() != callers::EVENTS_PER_RESPONSE
        {
            violations.push(format!(
                "mixed: {} got unexpected events: {:?}",
                turn.id, turn.response.body
            ));
        }
    }

    /// The request body expected at the runner: the history, followed by the input of the turn.
    fn expected_body(&self, turn: &Turn) -> String {
        let mut texts = vec![turn.input.clone()];
        let mut next_id = turn.previous.as_ref();
        while let Some(previous) = next_id.and_then(|id| self.turns.get(id)) {
            let output: String =
                (1..=callers::EVENTS_PER_RESPONSE).map(|number| format!("w{number}\n")).collect();
            texts.push(format!("{}{output}", previous.input));
            next_id = previous.previous.as_ref();
        }
        texts.reverse();
        texts.concat()
    }

    fn check_budgets(&self, violations: &mut Vec<String>) {
        let mut usage: collections::BTreeMap<&str, (u64, u64)> = collections::BTreeMap::new();
        let streams = self.streams.iter().map(|stream| &stream.turn);
        for turn in self.turns.values().chain(streams) {
            let events = turn.response.body.matches("data:").count() as u64;
            let row = usage.entry(&turn.program).or_default();
            row.0 += events * crate::fleet::platform::TOKENS_PER_EVENT;
            row.1 = turn.budget;
        }
        for (program, (tokens, budget)) in usage {
            if tokens > budget + callers::TOKENS_PER_TURN {
                violations.push(format!(
                    "budget: {program} received {tokens} tokens with a budget of {budget}"
                ));
            }
        }
    }
}

fn is_successful(response: &connection::Response) -> bool {
    response.status == Some(200) && response.is_complete
}

/// Checks that a stream has each event once and in order, from where its caller resumed it, and that
/// one that can't be resumed is executed at most once.
fn check_stream(stream: &Stream, executions: &Executions<'_>, violations: &mut Vec<String>) {
    let turn = &stream.turn;
    check_origin(&turn.id, &turn.response, violations);
    if !stream.is_resumable {
        check_execution_count(&turn.id, &turn.response, executions, violations);
    }
    let events = turn.response.body.lines().filter_map(|line| line.strip_prefix("id: "));
    let events: Vec<u64> = events.filter_map(|id| id.parse().ok()).collect();
    let expected = stream.resume_after + 1..;
    if !expected.zip(&events).all(|(expected, event)| expected == *event) {
        violations.push(format!(
            "order: {} got the events {events:?} after event {}",
            turn.id, stream.resume_after
        ));
    }
    let last = stream.resume_after + events.len() as u64;
    if is_successful(&turn.response) && last != callers::EVENTS_PER_RESPONSE as u64 {
        violations.push(format!("order: {} ended as complete after event {last}", turn.id));
    }
    for execution in executions.get(turn.id.as_str()).into_iter().flatten() {
        if execution.body != turn.input.as_bytes() {
            violations.push(format!("history: {} was executed with another body", turn.id));
        }
    }
}

fn check_call(call: &Call, executions: &Executions<'_>, violations: &mut Vec<String>) {
    if call.kind == CallKind::AtMostOnce {
        check_execution_count(&call.id, &call.response, executions, violations);
    }
    check_origin(&call.id, &call.response, violations);
    if is_successful(&call.response) && call.response.body != format!("done {}", call.id) {
        violations
            .push(format!("mixed: {} got an unexpected body: {:?}", call.id, call.response.body));
    }
    if call.response.status == Some(404) && call.route_is_known {
        violations.push(format!(
            "configuration: {} got 404 for a route that its gateway had served before",
            call.id
        ));
    }
}

/// Checks that a request is executed at most once. If its status guarantees that it was not
/// executed, checks that it never was.
fn check_execution_count(
    id: &str,
    response: &connection::Response,
    executions: &Executions<'_>,
    violations: &mut Vec<String>,
) {
    let count = executions.get(id).map_or(0, Vec::len);
    if count > 1 {
        violations.push(format!("twice: {id} was executed {count} times"));
    }
    let is_guaranteed =
        response.status.is_some_and(|status| NOT_EXECUTED_STATUSES.contains(&status));
    if is_guaranteed && count > 0 {
        violations
            .push(format!("refused: {id} was executed, but got status {:?}", response.status));
    }
}

/// Checks that a successful response comes from a runner and belongs to this request.
fn check_origin(id: &str, response: &connection::Response, violations: &mut Vec<String>) {
    if response.status == Some(401) {
        violations.push(format!("identity: {id} got 401 for a valid key"));
    }
    if response.status != Some(200) {
        return;
    }
    let is_own_response = response.request_id.as_deref() == Some(id)
        && response.signature.as_deref() == Some(format!("s.{id}").as_str());
    if !is_own_response {
        let (response_id, signature) = (&response.request_id, &response.signature);
        violations.push(format!(
            "mixed: {id} got the response of {response_id:?} with signature {signature:?}"
        ));
    }
}

/// Checks that planned maintenance interrupts no request that was read or forwarded.
fn check_interruption(
    id: &str,
    response: &connection::Response,
    executions: &Executions<'_>,
    maintenance_only: bool,
    violations: &mut Vec<String>,
) {
    let was_read = executions.contains_key(id) || response.duration > READ_ALLOWANCE;
    if maintenance_only && !response.is_complete && was_read {
        violations
            .push(format!("cut: {id} was interrupted after {} ms", response.duration.as_millis()));
    }
}
