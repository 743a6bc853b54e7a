//! A caller that runs programs over HTTP, retries calls that were not run, and checks every
//! response against its own copy of the conversation.

use std::cell;
use std::net;
use std::rc;
use std::time;

use eventsource_stream::Eventsource as _;
use flamingotrail_wire::chat;
use flamingotrail_wire::headers;
use futures_util::future;
use futures_util::StreamExt as _;

use crate::engine;
use crate::workload;

/// Maximum number of times that a call is sent.
const MAX_SENDS: u32 = 40;
/// Delay before a retry.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(200);
/// Deadline of a call, in milliseconds.
const DEADLINE_MS: u64 = 30_000;
/// Timeout of a response; longer than the deadline of a call.
const RESPONSE_TIMEOUT: time::Duration = time::Duration::from_secs(40);

/// Results of the programs run so far.
#[derive(Clone, Debug, Default)]
pub struct ProgramStats {
    /// Programs that ran to completion.
    pub done: usize,
    /// Programs that stopped at a call that was not run.
    pub not_run: usize,
    /// Programs with a call whose outcome is unknown.
    pub unknown: usize,
    /// Responses that differ from the one expected from the caller's copy of the conversation.
    pub wrong_responses: Vec<String>,
    /// Latency of each completed program in seconds, including its pauses.
    pub latencies: Vec<f64>,
    /// Retries, counted over all calls.
    pub retries: usize,
}

/// A caller and the statistics of the programs it runs; clones share the statistics.
#[derive(Clone)]
pub struct Caller {
    entries: Vec<net::SocketAddr>,
    model: String,
    http: awc::Client,
    stats: rc::Rc<cell::RefCell<ProgramStats>>,
}

/// Outcome of a call as its program sees it.
#[derive(Clone, Debug, PartialEq)]
enum CallOutcome {
    Done(String),
    NotRun(String),
    Unknown,
}

/// State that a program keeps about one of its conversations.
#[derive(Clone, Debug, Default)]
struct Conversation {
    program_id: Option<String>,
    parent_id: Option<String>,
    conversation_id: Option<String>,
    continuation: Option<String>,
    turn: u32,
    messages: Vec<chat::ChatMessage>,
}

/// Response of an entry.
struct EntryResponse {
    status: Option<chat::Status>,
    text: String,
}

impl Caller {
    /// Creates a caller that sends to these entries in turn.
    pub fn new(entries: Vec<net::SocketAddr>, model: &str) -> Self {
        let http = awc::Client::builder().timeout(RESPONSE_TIMEOUT).finish();
        Caller { entries, model: model.to_owned(), http, stats: rc::Rc::default() }
    }

    /// Returns the results so far.
    pub fn stats(&self) -> ProgramStats {
        self.stats.borrow().clone()
    }

    /// Runs a program until it completes or a call can't be run, and ends it.
    pub async fn run_program(&self, program: &workload::Program, token: &str) {
        let start = time::Instant::now();
        let mut state = Conversation::default();
        let run = ProgramRun { caller: self, token, name: format!("p{}", program.number) };
        let result = run.run_steps(&program.steps, &mut state).await;
        run.end_program(&state).await;
        let mut stats = self.stats.borrow_mut();
        match result {
            Ok(false) => {
                stats.done += 1;
                stats.latencies.push(start.elapsed().as_secs_f64());
            }
            Ok(true) => stats.unknown += 1,
            Err(_) => stats.not_run += 1,
        }
    }
}

/// A running program.
struct ProgramRun<'a> {
    caller: &'a Caller,
    token: &'a str,
    name: String,
}

impl ProgramRun<'_> {
    /// Runs steps and returns whether an outcome was unknown, or the reason for stopping.
    fn run_steps<'a>(
        &'a self,
        steps: &'a [workload::Step],
        state: &'a mut Conversation,
    ) -> future::LocalBoxFuture<'a, Result<bool, String>> {
        Box::pin(async move {
            let mut any_unknown = false;
            for step in steps {
                match step {
                    workload::Step::Pause(pause) => actix_rt::time::sleep(*pause).await,
                    workload::Step::Model { text, tokens } => {
                        any_unknown |= self.call_model(state, text, *tokens).await?;
                    }
                    workload::Step::Service { service, operation, body, .. } => {
                        any_unknown |= self.call_service(state, service, operation, body).await?;
                    }
                    workload::Step::SubAgent(steps) => {
                        let parent_id = state.program_id.clone();
                        let mut child = Conversation { parent_id, ..Conversation::default() };
                        any_unknown |= self.run_steps(steps, &mut child).await?;
                        self.end_program(&child).await;
                    }
                }
            }
            Ok(any_unknown)
        })
    }

    async fn call_model(
        &self,
        state: &mut Conversation,
        text: &str,
        tokens: u32,
    ) -> Result<bool, String> {
        let message = chat::ChatMessage { role: "user".to_owned(), content: text.to_owned() };
        state.messages.push(message.clone());
        let has_continuation = state.continuation.is_some();
        let body = chat::Request {
            model: self.caller.model.clone(),
            messages: if has_continuation { vec![message] } else { state.messages.clone() },
            max_tokens: Some(tokens + 8),
            stream: true,
            continue_final_message: false,
            continuation: state.continuation.clone(),
        };
        let body = serde_json::to_string(&body).unwrap_or_default();
        let outcome = self.call_with_retries(state, "/v1/chat/completions", &body).await;
        match outcome {
            CallOutcome::Done(response) => {
                self.check_response(state, &response, tokens);
                state
                    .messages
                    .push(chat::ChatMessage { role: "assistant".to_owned(), content: response });
                Ok(false)
            }
            CallOutcome::NotRun(reason) => Err(reason),
            CallOutcome::Unknown => Err("the outcome of a model call is unknown".to_owned()),
        }
    }

    /// Compares a response with the one that an engine gives to the program's copy of the
    /// conversation.
    fn check_response(&self, state: &Conversation, response: &str, tokens: u32) {
        let pairs = state.messages.iter().map(|m| (m.role.as_str(), m.content.as_str()));
        let tokens = usize::try_from(tokens).unwrap_or(0);
        let expected = engine::expected_response(&engine::prompt_text(pairs), tokens);
        if expected != response {
            let text = format!(
                "{} turn {}: unexpected response of {} bytes",
                self.name,
                state.turn,
                response.len()
            );
            self.caller.stats.borrow_mut().wrong_responses.push(text);
        }
    }

    async fn call_service(
        &self,
        state: &mut Conversation,
        service: &str,
        operation: &str,
        body: &str,
    ) -> Result<bool, String> {
        let path = format!("/v1/services/{service}/{operation}");
        match self.call_with_retries(state, &path, body).await {
            CallOutcome::Done(_) => Ok(false),
            CallOutcome::Unknown => Ok(true),
            CallOutcome::NotRun(reason) => Err(reason),
        }
    }

    /// Sends a call until it is done or has been sent [`MAX_SENDS`] times; a service call also ends
    /// when its outcome is unknown.
    async fn call_with_retries(
        &self,
        state: &mut Conversation,
        path: &str,
        body: &str,
    ) -> CallOutcome {
        let turn = state.turn + 1;
        let idempotency_key =
            format!("{}-{}-{turn}", self.name, state.parent_id.as_deref().unwrap_or("root"));
        let is_chat = path.ends_with("completions");
        let mut last_error = String::new();
        for sends in 0..MAX_SENDS {
            if sends > 0 {
                self.caller.stats.borrow_mut().retries += 1;
                actix_rt::time::sleep(RETRY_DELAY).await;
            }
            let entry = usize::try_from(sends).unwrap_or(0) + usize::try_from(turn).unwrap_or(0);
            let response = self.send_call(state, path, body, &idempotency_key, turn, entry).await;
            let Some(EntryResponse { status: Some(status), text }) = response else {
                last_error = "no response".to_owned();
                continue;
            };
            if !status.program.is_empty() && status.outcome != "not_run" {
                state.program_id = Some(status.program.clone());
                state.conversation_id = Some(status.conversation.clone());
            }
            match status.outcome.as_str() {
                "done" => {
                    state.turn = turn;
                    state.continuation = status.continuation;
                    return CallOutcome::Done(text);
                }
                "unknown" if !is_chat => {
                    // Unknown outcome of a call that may not be repeated; its turn is consumed.
                    state.turn = turn;
                    state.continuation = status.continuation.or(state.continuation.take());
                    return CallOutcome::Unknown;
                }
                _ => {
                    last_error =
                        format!("{}: {}", status.outcome, status.reason.unwrap_or_default())
                }
            }
        }
        CallOutcome::NotRun(last_error)
    }

    async fn send_call(
        &self,
        state: &Conversation,
        path: &str,
        body: &str,
        idempotency_key: &str,
        turn: u32,
        entry: usize,
    ) -> Option<EntryResponse> {
        let entries = &self.caller.entries;
        let url = format!("http://{}{path}", entries[entry % entries.len()]);
        let mut request = self
            .caller
            .http
            .post(&url)
            .insert_header(("authorization", format!("Bearer {}", self.token)))
            .insert_header(("content-type", "application/json"))
            .insert_header((headers::DEADLINE_MS, DEADLINE_MS.to_string()))
            .insert_header((headers::TURN, turn.to_string()));
        if !path.ends_with("completions") {
            request = request.insert_header((headers::IDEMPOTENCY_KEY, idempotency_key));
        }
        for (name, value) in [
            (headers::PROGRAM, &state.program_id),
            (headers::PARENT, &state.parent_id),
            (headers::CONVERSATION, &state.conversation_id),
        ] {
            if let Some(value) = value {
                request = request.insert_header((name, value.as_str()));
            }
        }
        if !path.ends_with("completions") {
            if let Some(continuation) = &state.continuation {
                request = request.insert_header((headers::CONTINUATION, continuation.as_str()));
            }
        }
        let response = request.send_body(body.to_owned()).await.ok()?;
        read_response(response).await
    }

    async fn end_program(&self, state: &Conversation) {
        let Some(program) = &state.program_id else {
            return;
        };
        for sends in 0..MAX_SENDS {
            let entries = &self.caller.entries;
            let entry = entries[usize::try_from(sends).unwrap_or(0) % entries.len()];
            let url = format!("http://{entry}/v1/programs/{program}");
            let response = self
                .caller
                .http
                .delete(&url)
                .insert_header(("authorization", format!("Bearer {}", self.token)))
                .send()
                .await;
            if response.is_ok_and(|response| response.status().is_success()) {
                return;
            }
            actix_rt::time::sleep(RETRY_DELAY).await;
        }
    }
}

type Response<S> = awc::ClientResponse<S>;

async fn read_response<S>(mut response: Response<S>) -> Option<EntryResponse>
where
    S: futures_util::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>>
        + Unpin
        + 'static,
{
    let header = |name: &str| {
        let value = response.headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    let content_type = header("content-type").unwrap_or_default();
    if content_type.starts_with("text/event-stream") {
        return read_stream(response).await;
    }
    let status = chat::Status {
        outcome: header(headers::OUTCOME)?,
        reason: header(headers::REASON),
        message: None,
        program: header(headers::PROGRAM).unwrap_or_default(),
        conversation: header(headers::CONVERSATION).unwrap_or_default(),
        turn: 0,
        attempts: 0,
        continuation: header(headers::CONTINUATION),
    };
    let body = response.body().await.ok()?;
    let text = String::from_utf8_lossy(&body).into_owned();
    Some(EntryResponse { status: Some(status), text })
}

async fn read_stream<S>(response: Response<S>) -> Option<EntryResponse>
where
    S: futures_util::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>>
        + Unpin
        + 'static,
{
    let mut received = EntryResponse { status: None, text: String::new() };
    let mut events = response.eventsource();
    while let Some(event) = events.next().await {
        let event = event.ok()?;
        if event.data == "[DONE]" {
            return Some(received);
        }
        let chunk: chat::Chunk = serde_json::from_str(&event.data).ok()?;
        for choice in chunk.choices {
            received.text.push_str(&choice.delta.content.unwrap_or_default());
        }
        received.status = chunk.flamingotrail.or(received.status);
    }
    None
}
