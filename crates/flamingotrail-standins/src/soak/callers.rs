//! Callers that run agent programs through the gateways. Each caller has its own thread.

use std::collections;
use std::sync;
use std::sync::atomic;
use std::sync::mpsc;
use std::thread;
use std::time;

use rand_chacha::ChaCha8Rng;
use rand_core::SeedableRng as _;

use crate::soak::connection;
use crate::soak::directory;
use crate::soak::identity;
use crate::soak::keys;
use crate::soak::observations;
use crate::soak::plan;

/// Events in each response of the model runners.
pub const EVENTS_PER_RESPONSE: usize = 3;
/// Token limit of a turn, which every response of a model runner reaches.
pub const TOKENS_PER_TURN: u64 =
    EVENTS_PER_RESPONSE as u64 * crate::fleet::platform::TOKENS_PER_EVENT;
/// Maximum number of times that a turn is sent.
const MAX_SENDS: u32 = 3;
/// Maximum time to resume the last turn of a program. Some faults may still be active when callers
/// stop starting programs; they end well within this time.
const RESUME_TIMEOUT: time::Duration = time::Duration::from_secs(30);
/// Delay before a turn is retried.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(150);

/// A caller, which reports everything it observes to `observations`.
pub struct Caller {
    name: String,
    rng: ChaCha8Rng,
    keys: keys::KeyRing,
    /// Index of the caller's workspace.
    workspace: usize,
    directory: directory::Directory,
    observations: mpsc::Sender<observations::Observation>,
    connections: collections::BTreeMap<directory::Incarnation, connection::Connection>,
    request_count: u64,
}

/// A program run by a caller.
struct Program {
    id: String,
    budget: u64,
    /// Last turn with a complete response.
    last_turn: Option<String>,
}

impl Caller {
    /// Creates caller `number` of a run. `seed` is the seed of the run.
    pub fn new(
        seed: u64,
        number: usize,
        keys: keys::KeyRing,
        directory: directory::Directory,
        observations: mpsc::Sender<observations::Observation>,
    ) -> Self {
        let caller_seed = seed.wrapping_mul(1_000).wrapping_add(number as u64);
        Caller {
            name: format!("c{number}"),
            rng: ChaCha8Rng::seed_from_u64(caller_seed),
            keys,
            workspace: keys::workspace_of(number),
            directory,
            observations,
            connections: collections::BTreeMap::new(),
            request_count: 0,
        }
    }

    /// Runs programs until `stop` is set, then resumes the last turn of each.
    pub fn run(mut self, stop: &sync::Arc<atomic::AtomicBool>) {
        let mut programs = Vec::new();
        while !stop.load(atomic::Ordering::Relaxed) {
            let id = format!("{}-p{}", self.name, programs.len());
            let turns = 2 + plan::random_below(&mut self.rng, 6);
            // Some budgets run out before the last turn.
            let budget = TOKENS_PER_TURN * (1 + plan::random_below(&mut self.rng, 12));
            let mut program = Program { id, budget, last_turn: None };
            for _ in 0..turns {
                if stop.load(atomic::Ordering::Relaxed) || !self.run_step(&mut program) {
                    break;
                }
            }
            programs.push(program);
        }
        for program in programs {
            if let Some(last_turn) = program.last_turn {
                self.resume(&last_turn);
            }
        }
    }

    /// Runs a turn and a tool call. Returns whether the program continues.
    fn run_step(&mut self, program: &mut Program) -> bool {
        for _ in 0..MAX_SENDS {
            let previous = program.last_turn.clone();
            let (id, response) = self.send_turn(&program.id, program.budget, previous.as_deref());
            match response.status {
                Some(200) if response.is_complete => {
                    self.keys.record_turn(self.workspace, &id);
                    program.last_turn = Some(id);
                    self.send_stream(program);
                    self.call_tool();
                    self.try_identity();
                    return true;
                }
                Some(402 | 404) => return false,
                _ => thread::sleep(RETRY_DELAY),
            }
        }
        false
    }

    fn send_turn(
        &mut self,
        program: &str,
        budget: u64,
        previous: Option<&str>,
    ) -> (String, connection::Response) {
        let id = self.next_id("t");
        let (token_budget, token_usage) = (budget.to_string(), format!("100,{TOKENS_PER_TURN}"));
        let mut headers = vec![
            ("Request-Id", id.as_str()),
            ("Program-Id", program),
            ("Session-Id", program),
            ("Token-Budget", &token_budget),
            ("Token-Usage", &token_usage),
            ("Deadline-Ms", "4000"),
        ];
        headers.extend(previous.map(|previous| ("Previous-Turn", previous)));
        let input = format!("in {id};");
        let (_, response) = self.send("POST", "/chat/1", &headers, &input);
        self.report(observations::Observation::Turn(observations::Turn {
            id: id.clone(),
            program: program.to_owned(),
            budget,
            previous: previous.map(str::to_owned),
            input,
            response: response.clone(),
        }));
        (id, response)
    }

    /// Sends a turn without history, which counts towards the same budget; resumes it at any gateway
    /// while it breaks off on a route where that is allowed.
    fn send_stream(&mut self, program: &Program) {
        let is_resumable = match plan::random_below(&mut self.rng, 3) {
            0 => return,
            choice => choice == 1,
        };
        let path = if is_resumable { "/resume/1" } else { "/ask/1" };
        let (budget, usage) = (program.budget.to_string(), format!("100,{TOKENS_PER_TURN}"));
        let mut received = 0;
        for _ in 0..MAX_SENDS {
            let id = self.next_id("s");
            let resume_after = (received > 0).then_some(received);
            let position = received.to_string();
            let mut headers = vec![
                ("Request-Id", id.as_str()),
                ("Program-Id", &program.id),
                ("Token-Budget", &budget),
                ("Token-Usage", &usage),
                ("Deadline-Ms", "4000"),
            ];
            headers.extend(resume_after.map(|_| ("Last-Event-Id", position.as_str())));
            let input = format!("in {id};");
            let (_, response) = self.send("POST", path, &headers, &input);
            let events = response.body.matches("data:").count() as u64;
            self.report(observations::Observation::Stream(observations::Stream {
                turn: observations::Turn {
                    id: id.clone(),
                    program: program.id.clone(),
                    budget: program.budget,
                    previous: None,
                    input,
                    response: response.clone(),
                },
                is_resumable,
                resume_after: resume_after.unwrap_or(0),
            }));
            received += events;
            if !is_resumable || response.status != Some(200) || response.is_complete {
                return;
            }
        }
    }

    fn call_tool(&mut self) {
        let id = self.next_id("r");
        let published_routes = self.directory.published_routes();
        let extra = published_routes - plan::random_below(&mut self.rng, 2).min(published_routes);
        let choice = plan::random_below(&mut self.rng, 3);
        let (method, path) = match choice {
            0 => ("POST", "/book/1".to_owned()),
            1 if extra > 0 => ("GET", format!("/extra-{extra}/1")),
            _ => ("GET", "/look/1".to_owned()),
        };
        let headers = [("Request-Id", id.as_str()), ("Deadline-Ms", "2500")];
        let extra = path.starts_with("/extra").then_some(extra);
        let incarnation = self.select_gateway();
        let newest_served =
            incarnation.map_or(0, |incarnation| self.directory.newest_served_route(incarnation));
        let (incarnation, response) = self.send_to(incarnation, method, &path, &headers, "");
        if let (Some(incarnation), Some(extra), Some(200)) = (incarnation, extra, response.status) {
            self.directory.record_served_route(incarnation, extra);
        }
        let route_is_known = extra.is_none_or(|extra| extra <= newest_served);
        let kind = if choice == 0 {
            observations::CallKind::AtMostOnce
        } else {
            observations::CallKind::Idempotent
        };
        self.report(observations::Observation::Call(observations::Call {
            id,
            kind,
            route_is_known,
            response,
        }));
    }

    /// Sends a request with a key that is not, or may no longer be valid, or for a turn of another
    /// workspace.
    fn try_identity(&mut self) {
        let id = self.next_id("i");
        let random = plan::random_below(&mut self.rng, u64::MAX / 4);
        let other = self.keys.newest_turn(keys::workspace_of(self.workspace + 1));
        match (random % 4, other) {
            (0, _) => {
                let header = ("Authorization", "Token unknown");
                self.try_with(identity::Attempt::UnknownKey, id, "/look/1", header);
            }
            (1, Some(turn)) => {
                let header = ("Previous-Turn", turn.as_str());
                self.try_with(identity::Attempt::ForeignTurn, id, "/chat/1", header);
            }
            _ => {
                let key = self.keys.temporary(self.workspace, random / 4);
                let credential = format!("Token {key}");
                let attempt = identity::Attempt::TemporaryKey(key);
                self.try_with(attempt, id, "/look/1", ("Authorization", &credential));
            }
        }
    }

    fn try_with(
        &mut self,
        attempt: identity::Attempt,
        id: String,
        path: &str,
        header: (&str, &str),
    ) {
        let headers = [("Request-Id", id.as_str()), ("Deadline-Ms", "2500"), header];
        let (_, response) = self.send("POST", path, &headers, "");
        self.report(observations::Observation::Trial(identity::Trial { id, attempt, response }));
    }

    /// Retries a turn that continues `last_turn` until it succeeds or `RESUME_TIMEOUT` has passed.
    fn resume(&mut self, last_turn: &str) {
        let deadline = time::Instant::now() + RESUME_TIMEOUT;
        let program = format!("{last_turn}-again");
        while time::Instant::now() < deadline {
            let (_, response) = self.send_turn(&program, 10 * TOKENS_PER_TURN, Some(last_turn));
            match response.status {
                Some(200) if response.is_complete => return,
                // The checks report a turn that was lost.
                Some(404) => return,
                _ => thread::sleep(RETRY_DELAY),
            }
        }
        self.report(observations::Observation::Unresumed(last_turn.to_owned()));
    }

    fn next_id(&mut self, kind: &str) -> String {
        self.request_count += 1;
        format!("{}-{kind}{}", self.name, self.request_count)
    }

    fn select_gateway(&mut self) -> Option<directory::Incarnation> {
        // Open connections stay in use until they fail, also to a gateway that gets no new ones.
        let open_count = self.connections.len() as u64;
        let random = plan::random_below(&mut self.rng, u64::MAX);
        if open_count > 0 && random.is_multiple_of(2) {
            return self.connections.keys().nth((random / 2 % open_count) as usize).copied();
        }
        self.directory.select(random / 2)
    }

    fn send(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> (Option<directory::Incarnation>, connection::Response) {
        let incarnation = self.select_gateway();
        self.send_to(incarnation, method, path, headers, body)
    }

    fn send_to(
        &mut self,
        incarnation: Option<directory::Incarnation>,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> (Option<directory::Incarnation>, connection::Response) {
        let Some(incarnation) = incarnation else {
            thread::sleep(RETRY_DELAY);
            return (None, connection::Response::default());
        };
        let open_connection = self.connections.remove(&incarnation);
        let connection =
            open_connection.map_or_else(|| connection::Connection::new(incarnation.address), Ok);
        let Ok(mut connection) = connection else {
            return (Some(incarnation), connection::Response::default());
        };
        let key = self.keys.permanent(self.workspace);
        let credential = format!("Token {key}");
        // Gateways have to drop what callers say of their workspace.
        let other = keys::WORKSPACES[keys::workspace_of(self.workspace + 1)];
        let mut headers = headers.to_vec();
        headers.push(("Tenant", other));
        if !headers.iter().any(|(name, _)| *name == "Authorization") {
            headers.push(("Authorization", &credential));
        }
        let response = connection.call(method, path, &headers, body);
        if response.is_reusable {
            self.connections.insert(incarnation, connection);
        }
        (Some(incarnation), response)
    }

    fn report(&self, observation: observations::Observation) {
        if self.observations.send(observation).is_err() {
            eprintln!("event=observation_not_delivered caller={}", self.name);
        }
    }
}
