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
pub enum Kind {
    /// Any number of times.
    Idempotent,
    /// It runs at most once.
    Once,
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
    pub received: connection::Received,
}

/// A call of a tool and what came back.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its request.
    pub id: String,
    /// What may be repeated.
    pub kind: Kind,
    /// Whether its gateway was seen to know its route before.
    pub is_known: bool,
    /// What came back.
    pub received: connection::Received,
}

/// What a caller tells.
#[derive(Clone, Debug)]
pub enum Fact {
    /// A turn is over.
    Turn(Turn),
    /// A call of a tool is over.
    Call(Call),
    /// No gateway continued a turn after all faults were over.
    Unrecovered(String),
}

/// Everything that was seen.
#[derive(Debug, Default)]
pub struct Facts {
    /// Turns by request.
    pub turns: collections::BTreeMap<String, Turn>,
    /// Calls of tools by request.
    pub calls: collections::BTreeMap<String, Call>,
    /// Turns that no gateway continued.
    pub unrecovered: Vec<String>,
    /// Graceful stops that failed.
    pub bad_stops: Vec<String>,
}

/// What runners saw of a request.
type Runs<'a> = collections::BTreeMap<&'a str, Vec<&'a server::Request>>;

impl Facts {
    /// Takes a fact.
    pub fn take(&mut self, fact: Fact) {
        match fact {
            Fact::Turn(turn) => {
                self.turns.insert(turn.id.clone(), turn);
            }
            Fact::Call(call) => {
                self.calls.insert(call.id.clone(), call);
            }
            Fact::Unrecovered(turn) => self.unrecovered.push(turn),
        }
    }

    /// Turns that were answered whole.
    pub fn whole_turns(&self) -> usize {
        self.turns.values().filter(|turn| is_served(&turn.received)).count()
    }

    /// The promises that were broken, a line each; `is_planned` where nothing but planned work happened.
    pub fn broken(&self, requests: &[server::Request], is_planned: bool) -> Vec<String> {
        let mut runs: Runs<'_> = collections::BTreeMap::new();
        for request in requests {
            runs.entry(request.header("request-id").unwrap_or_default()).or_default().push(request);
        }
        let mut broken = self.bad_stops.clone();
        let lost = self.unrecovered.iter();
        broken.extend(lost.map(|turn| format!("lost: no gateway continues {turn}")));
        for turn in self.turns.values() {
            self.check_turn(turn, &runs, &mut broken);
            check_cut(&turn.id, &turn.received, &runs, is_planned, &mut broken);
        }
        for call in self.calls.values() {
            check_call(call, &runs, &mut broken);
            check_cut(&call.id, &call.received, &runs, is_planned, &mut broken);
        }
        self.check_budgets(&mut broken);
        broken
    }

    fn check_turn(&self, turn: &Turn, runs: &Runs<'_>, broken: &mut Vec<String>) {
        check_once(&turn.id, &turn.received, runs, broken);
        check_origin(&turn.id, &turn.received, broken);
        let expected = self.body(turn);
        for run in runs.get(turn.id.as_str()).into_iter().flatten() {
            if run.body != expected.as_bytes() {
                let got = String::from_utf8_lossy(&run.body);
                broken.push(format!("history: {} ran as {got:?}, not {expected:?}", turn.id));
            }
        }
        let is_lost = matches!(turn.received.status, Some(404 | 410));
        let previous = turn.previous.as_ref().and_then(|previous| self.turns.get(previous));
        if is_lost && previous.is_none_or(|previous| is_served(&previous.received)) {
            broken.push(format!("lost: {} was told that {:?} is unknown", turn.id, turn.previous));
        }
        if is_served(&turn.received)
            && turn.received.body.matches("data:").count() != callers::EVENTS
        {
            broken.push(format!("mixed: events of {}: {:?}", turn.id, turn.received.body));
        }
    }

    /// What a runner has to get for a turn.
    fn body(&self, turn: &Turn) -> String {
        let mut texts = vec![turn.input.clone()];
        let mut next = turn.previous.as_ref();
        while let Some(previous) = next.and_then(|id| self.turns.get(id)) {
            let output: String = (1..=callers::EVENTS).map(|n| format!("w{n}\n")).collect();
            texts.push(format!("{}{output}", previous.input));
            next = previous.previous.as_ref();
        }
        texts.reverse();
        texts.concat()
    }

    fn check_budgets(&self, broken: &mut Vec<String>) {
        let mut spent: collections::BTreeMap<&str, (u64, u64)> = collections::BTreeMap::new();
        for turn in self.turns.values() {
            let events = turn.received.body.matches("data:").count() as u64;
            let row = spent.entry(&turn.program).or_default();
            row.0 += events * crate::fleet::platform::TOKENS_PER_EVENT;
            row.1 = turn.budget;
        }
        for (program, (tokens, budget)) in spent {
            if tokens > budget + callers::TURN_TOKENS {
                broken.push(format!("budget: {program} got {tokens} of {budget} tokens"));
            }
        }
    }
}

fn is_served(received: &connection::Received) -> bool {
    received.status == Some(200) && received.is_whole
}

fn check_call(call: &Call, runs: &Runs<'_>, broken: &mut Vec<String>) {
    if call.kind == Kind::Once {
        check_once(&call.id, &call.received, runs, broken);
    }
    check_origin(&call.id, &call.received, broken);
    if is_served(&call.received) && call.received.body != format!("done {}", call.id) {
        broken.push(format!("mixed: body of {}: {:?}", call.id, call.received.body));
    }
    if call.received.status == Some(404) && call.is_known {
        broken.push(format!("configuration: {} was told that its route is unknown", call.id));
    }
}

/// A request runs at most once, and not at all where its caller was promised that.
fn check_once(
    id: &str,
    received: &connection::Received,
    runs: &Runs<'_>,
    broken: &mut Vec<String>,
) {
    let count = runs.get(id).map_or(0, Vec::len);
    if count > 1 {
        broken.push(format!("twice: {id} ran {count} times"));
    }
    let promised = received.status.is_some_and(|status| PROMISES.contains(&status));
    if promised && count > 0 {
        broken.push(format!("refused: {id} ran and was answered {:?}", received.status));
    }
}

/// A success is the runner's, for this request.
fn check_origin(id: &str, received: &connection::Received, broken: &mut Vec<String>) {
    if received.status != Some(200) {
        return;
    }
    let is_own = received.id.as_deref() == Some(id)
        && received.signature.as_deref() == Some(format!("s.{id}").as_str());
    if !is_own {
        let (of, signature) = (&received.id, &received.signature);
        broken.push(format!("mixed: {id} was answered for {of:?} with signature {signature:?}"));
    }
}

/// Planned work cuts no request off that was read or passed on.
fn check_cut(
    id: &str,
    received: &connection::Received,
    runs: &Runs<'_>,
    is_planned: bool,
    broken: &mut Vec<String>,
) {
    let was_read = runs.contains_key(id) || received.took > READ_SLACK;
    if is_planned && !received.is_whole && was_read {
        broken.push(format!("cut: {id} after {} ms", received.took.as_millis()));
    }
}
