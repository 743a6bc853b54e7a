//! What callers and runners have seen, and the promises checked over it.

use std::collections;
use std::time;

use crate::fleet::server;
use crate::soak::callers;
use crate::soak::connection;

/// Statuses that promise that a request did not run and never will.
const PROMISES: &[u16] = &[402, 408, 421, 429, 503];
/// Time after which a request that was sent whole counts as read.
const READ_SLACK: time::Duration = time::Duration::from_millis(200);

/// What may be repeated of a call of a tool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Any number of times.
    Idempotent,
    /// It runs at most once.
    AtMostOnce,
}

/// A turn and what came back.
#[derive(Clone, Debug)]
pub struct Turn {
    /// Its request.
    pub id: String,
    /// Its program.
    pub program: String,
    /// Tokens that the program may generate.
    pub budget: u64,
    /// The turn that it continues.
    pub previous: Option<String>,
    /// Its new input.
    pub input: String,
    /// What came back.
    pub response: connection::Response,
}

/// A call of a tool and what came back.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its request.
    pub id: String,
    /// What may be repeated.
    pub kind: CallKind,
    /// Whether its gateway was seen to know its route before.
    pub route_is_known: bool,
    /// What came back.
    pub response: connection::Response,
}

/// What a caller tells.
#[derive(Clone, Debug)]
pub enum Observation {
    /// A turn is over.
    Turn(Turn),
    /// A call of a tool is over.
    Call(Call),
    /// No gateway continued a turn after all faults were over.
    Unresumed(String),
}

/// Everything that was seen.
#[derive(Debug, Default)]
pub struct Observations {
    /// Turns by request.
    pub turns: collections::BTreeMap<String, Turn>,
    /// Calls of tools by request.
    pub calls: collections::BTreeMap<String, Call>,
    /// Turns that no gateway continued.
    pub unresumed_turns: Vec<String>,
    /// Graceful stops that failed.
    pub failed_shutdowns: Vec<String>,
}

/// What runners saw of a request.
type Runs<'a> = collections::BTreeMap<&'a str, Vec<&'a server::Request>>;

impl Observations {
    /// Takes a observation.
    pub fn record(&mut self, observation: Observation) {
        match observation {
            Observation::Turn(turn) => {
                self.turns.insert(turn.id.clone(), turn);
            }
            Observation::Call(call) => {
                self.calls.insert(call.id.clone(), call);
            }
            Observation::Unresumed(turn) => self.unresumed_turns.push(turn),
        }
    }

    /// Turns that were answered whole.
    pub fn completed_turns(&self) -> usize {
        self.turns.values().filter(|turn| is_served(&turn.response)).count()
    }

    /// The promises that were violations, a line each; `maintenance_only` where nothing but planned work happened.
    pub fn violations(&self, requests: &[server::Request], maintenance_only: bool) -> Vec<String> {
        let mut runs: Runs<'_> = collections::BTreeMap::new();
        for request in requests {
            runs.entry(request.header("request-id").unwrap_or_default()).or_default().push(request);
        }
        let mut violations = self.failed_shutdowns.clone();
        let lost = self.unresumed_turns.iter();
        violations.extend(lost.map(|turn| format!("lost: no gateway continues {turn}")));
        for turn in self.turns.values() {
            self.check_turn(turn, &runs, &mut violations);
            check_cut(&turn.id, &turn.response, &runs, maintenance_only, &mut violations);
        }
        for call in self.calls.values() {
            check_call(call, &runs, &mut violations);
            check_cut(&call.id, &call.response, &runs, maintenance_only, &mut violations);
        }
        self.check_budgets(&mut violations);
        violations
    }

    fn check_turn(&self, turn: &Turn, runs: &Runs<'_>, violations: &mut Vec<String>) {
        check_once(&turn.id, &turn.response, runs, violations);
        check_origin(&turn.id, &turn.response, violations);
        let expected = self.body(turn);
        for run in runs.get(turn.id.as_str()).into_iter().flatten() {
            if run.body != expected.as_bytes() {
                let got = String::from_utf8_lossy(&run.body);
                violations.push(format!("history: {} ran as {got:?}, not {expected:?}", turn.id));
            }
        }
        let is_lost = matches!(turn.response.status, Some(404 | 410));
        let previous = turn.previous.as_ref().and_then(|previous| self.turns.get(previous));
        if is_lost && previous.is_none_or(|previous| is_served(&previous.response)) {
            violations
                .push(format!("lost: {} was told that {:?} is unknown", turn.id, turn.previous));
        }
        if is_served(&turn.response)
            && turn.response.body.matches("data:").count() != callers::EVENTS_PER_RESPONSE
        {
            violations.push(format!("mixed: events of {}: {:?}", turn.id, turn.response.body));
        }
    }

    /// What a runner has to get for a turn.
    fn body(&self, turn: &Turn) -> String {
        let mut texts = vec![turn.input.clone()];
        let mut next = turn.previous.as_ref();
        while let Some(previous) = next.and_then(|id| self.turns.get(id)) {
            let output: String =
                (1..=callers::EVENTS_PER_RESPONSE).map(|n| format!("w{n}\n")).collect();
            texts.push(format!("{}{output}", previous.input));
            next = previous.previous.as_ref();
        }
        texts.reverse();
        texts.concat()
    }

    fn check_budgets(&self, violations: &mut Vec<String>) {
        let mut spent: collections::BTreeMap<&str, (u64, u64)> = collections::BTreeMap::new();
        for turn in self.turns.values() {
            let events = turn.response.body.matches("data:").count() as u64;
            let row = spent.entry(&turn.program).or_default();
            row.0 += events * crate::fleet::platform::TOKENS_PER_EVENT;
            row.1 = turn.budget;
        }
        for (program, (tokens, budget)) in spent {
            if tokens > budget + callers::TOKENS_PER_TURN {
                violations.push(format!("budget: {program} got {tokens} of {budget} tokens"));
            }
        }
    }
}

fn is_served(response: &connection::Response) -> bool {
    response.status == Some(200) && response.is_complete
}

fn check_call(call: &Call, runs: &Runs<'_>, violations: &mut Vec<String>) {
    if call.kind == CallKind::AtMostOnce {
        check_once(&call.id, &call.response, runs, violations);
    }
    check_origin(&call.id, &call.response, violations);
    if is_served(&call.response) && call.response.body != format!("done {}", call.id) {
        violations.push(format!("mixed: body of {}: {:?}", call.id, call.response.body));
    }
    if call.response.status == Some(404) && call.route_is_known {
        violations.push(format!("configuration: {} was told that its route is unknown", call.id));
    }
}

/// A request runs at most once, and not at all where its caller was promised that.
fn check_once(
    id: &str,
    response: &connection::Response,
    runs: &Runs<'_>,
    violations: &mut Vec<String>,
) {
    let count = runs.get(id).map_or(0, Vec::len);
    if count > 1 {
        violations.push(format!("twice: {id} ran {count} times"));
    }
    let promised = response.status.is_some_and(|status| PROMISES.contains(&status));
    if promised && count > 0 {
        violations.push(format!("refused: {id} ran and was answered {:?}", response.status));
    }
}

/// A success is the runner's, for this request.
fn check_origin(id: &str, response: &connection::Response, violations: &mut Vec<String>) {
    if response.status != Some(200) {
        return;
    }
    let is_own = response.id.as_deref() == Some(id)
        && response.signature.as_deref() == Some(format!("s.{id}").as_str());
    if !is_own {
        let (of, signature) = (&response.id, &response.signature);
        violations
            .push(format!("mixed: {id} was answered for {of:?} with signature {signature:?}"));
    }
}

/// Planned work cuts no request off that was read or passed on.
fn check_cut(
    id: &str,
    response: &connection::Response,
    runs: &Runs<'_>,
    maintenance_only: bool,
    violations: &mut Vec<String>,
) {
    let was_read = runs.contains_key(id) || response.duration > READ_SLACK;
    if maintenance_only && !response.is_complete && was_read {
        violations.push(format!("cut: {id} after {} ms", response.duration.as_millis()));
    }
}
