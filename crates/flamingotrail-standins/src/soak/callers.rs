//! Callers that run agent programs through the gateways, each on a thread of its own.

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
use crate::soak::observations;
use crate::soak::plan;

/// Events of each answer of the model runners.
pub const EVENTS_PER_RESPONSE: usize = 3;
/// Tokens that a turn may generate, which is what the model runners generate.
pub const TOKENS_PER_TURN: u64 =
    EVENTS_PER_RESPONSE as u64 * crate::fleet::platform::TOKENS_PER_EVENT;
/// Tries of a turn.
const TRIES: u32 = 3;
/// Time for a program's last turn to be continued after all faults are over.
const RECOVERY: time::Duration = time::Duration::from_secs(30);
/// Pause before a turn is tried again.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(150);

/// One caller.
pub struct Caller {
    name: String,
    rng: ChaCha8Rng,
    directory: directory::Directory,
    observations: mpsc::Sender<observations::Observation>,
    connections: collections::BTreeMap<directory::Incarnation, connection::Connection>,
    requests: u64,
}

/// A program of a caller.
struct Program {
    id: String,
    budget: u64,
    /// Its last turn that was answered whole.
    last: Option<String>,
}

impl Caller {
    /// Caller `number` of the run of `seed`.
    pub fn new(
        seed: u64,
        number: usize,
        directory: directory::Directory,
        observations: mpsc::Sender<observations::Observation>,
    ) -> Self {
        let stream = seed.wrapping_mul(1_000).wrapping_add(number as u64);
        Caller {
            name: format!("c{number}"),
            rng: ChaCha8Rng::seed_from_u64(stream),
            directory,
            observations,
            connections: collections::BTreeMap::new(),
            requests: 0,
        }
    }

    /// Runs programs until `stop` is set; then goes on from the last turn of each.
    pub fn run(mut self, stop: &sync::Arc<atomic::AtomicBool>) {
        let mut programs = Vec::new();
        while !stop.load(atomic::Ordering::Relaxed) {
            let id = format!("{}-p{}", self.name, programs.len());
            let turns = 2 + plan::random_below(&mut self.rng, 6);
            // Some budgets end within the program.
            let budget = TOKENS_PER_TURN * (1 + plan::random_below(&mut self.rng, 12));
            let mut program = Program { id, budget, last: None };
            for _ in 0..turns {
                if stop.load(atomic::Ordering::Relaxed) || !self.step(&mut program) {
                    break;
                }
            }
            programs.push(program);
        }
        for program in programs {
            if let Some(last) = program.last {
                self.recover(&last);
            }
        }
    }

    /// A turn and a call of a tool: whether the program goes on.
    fn step(&mut self, program: &mut Program) -> bool {
        for _ in 0..TRIES {
            let previous = program.last.clone();
            let (id, response) = self.turn(&program.id, program.budget, previous.as_deref());
            match response.status {
                Some(200) if response.is_complete => {
                    program.last = Some(id);
                    self.tool();
                    return true;
                }
                Some(402 | 404) => return false,
                _ => thread::sleep(RETRY_PAUSE),
            }
        }
        false
    }

    fn turn(
        &mut self,
        program: &str,
        budget: u64,
        previous: Option<&str>,
    ) -> (String, connection::Response) {
        let id = self.next_id("t");
        let (budget_text, usage) = (budget.to_string(), format!("100,{TOKENS_PER_TURN}"));
        let mut headers = vec![
            ("Request-Id", id.as_str()),
            ("Program-Id", program),
            ("Session-Id", program),
            ("Token-Budget", &budget_text),
            ("Token-Usage", &usage),
            ("Deadline-Ms", "4000"),
        ];
        headers.extend(previous.map(|previous| ("Previous-Turn", previous)));
        let input = format!("in {id};");
        let (_, response) = self.call("POST", "/chat/1", &headers, &input);
        self.tell(observations::Observation::Turn(observations::Turn {
            id: id.clone(),
            program: program.to_owned(),
            budget,
            previous: previous.map(str::to_owned),
            input,
            response: response.clone(),
        }));
        (id, response)
    }

    fn tool(&mut self) {
        let id = self.next_id("r");
        let published = self.directory.published_routes();
        let extra = published - plan::random_below(&mut self.rng, 2).min(published);
        let choice = plan::random_below(&mut self.rng, 3);
        let (method, path) = match choice {
            0 => ("POST", "/book/1".to_owned()),
            1 if extra > 0 => ("GET", format!("/extra-{extra}/1")),
            _ => ("GET", "/look/1".to_owned()),
        };
        let headers = [("Request-Id", id.as_str()), ("Deadline-Ms", "2500")];
        let extra = path.starts_with("/extra").then_some(extra);
        let incarnation = self.pick();
        let known =
            incarnation.map_or(0, |incarnation| self.directory.newest_served_route(incarnation));
        let (incarnation, response) = self.call_at(incarnation, method, &path, &headers, "");
        if let (Some(incarnation), Some(extra), Some(200)) = (incarnation, extra, response.status) {
            self.directory.record_served_route(incarnation, extra);
        }
        let route_is_known = extra.is_none_or(|extra| extra <= known);
        let kind = if choice == 0 {
            observations::CallKind::AtMostOnce
        } else {
            observations::CallKind::Idempotent
        };
        self.tell(observations::Observation::Call(observations::Call {
            id,
            kind,
            route_is_known,
            response,
        }));
    }

    /// Continues from a turn until that is served.
    fn recover(&mut self, last: &str) {
        let end = time::Instant::now() + RECOVERY;
        let program = format!("{last}-again");
        while time::Instant::now() < end {
            let (_, response) = self.turn(&program, 10 * TOKENS_PER_TURN, Some(last));
            match response.status {
                Some(200) if response.is_complete => return,
                // The check of the answer tells.
                Some(404) => return,
                _ => thread::sleep(RETRY_PAUSE),
            }
        }
        self.tell(observations::Observation::Unresumed(last.to_owned()));
    }

    fn next_id(&mut self, kind: &str) -> String {
        self.requests += 1;
        format!("{}-{kind}{}", self.name, self.requests)
    }

    fn pick(&mut self) -> Option<directory::Incarnation> {
        // Open connections are used until they are gone, also to a gateway that takes no new ones.
        let kept = self.connections.len() as u64;
        let point = plan::random_below(&mut self.rng, u64::MAX);
        if kept > 0 && point.is_multiple_of(2) {
            return self.connections.keys().nth((point / 2 % kept) as usize).copied();
        }
        self.directory.select(point / 2)
    }

    fn call(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> (Option<directory::Incarnation>, connection::Response) {
        let incarnation = self.pick();
        self.call_at(incarnation, method, path, headers, body)
    }

    fn call_at(
        &mut self,
        incarnation: Option<directory::Incarnation>,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> (Option<directory::Incarnation>, connection::Response) {
        let Some(incarnation) = incarnation else {
            thread::sleep(RETRY_PAUSE);
            return (None, connection::Response::default());
        };
        let kept = self.connections.remove(&incarnation);
        let connection = kept.map_or_else(|| connection::Connection::new(incarnation.address), Ok);
        let Ok(mut connection) = connection else {
            return (Some(incarnation), connection::Response::default());
        };
        let response = connection.call(method, path, headers, body);
        if response.is_reusable {
            self.connections.insert(incarnation, connection);
        }
        (Some(incarnation), response)
    }

    fn tell(&self, observation: observations::Observation) {
        if self.observations.send(observation).is_err() {
            eprintln!("event=soak_over caller={}", self.name);
        }
    }
}
