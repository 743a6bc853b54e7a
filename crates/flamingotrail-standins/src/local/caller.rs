//! A caller that runs programs over HTTP, repeats what was not run, and checks every answer
//! against its own view of the conversation.

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

/// Sendings of one call at most.
const MAX_SENDINGS: u32 = 40;
/// Delay before a call is sent again.
const RETRY: time::Duration = time::Duration::from_millis(200);
/// Deadline of a call, in milliseconds.
const DEADLINE_MS: u64 = 30_000;
/// How long an entry may take to answer.
const TIMEOUT: time::Duration = time::Duration::from_secs(40);

/// What became of programs.
#[derive(Clone, Debug, Default)]
pub struct ProgramStats {
    /// Programs that ran to their end.
    pub done: usize,
    /// Programs that stopped at a call that was never run.
    pub not_run: usize,
    /// Programs with a call whose outcome is unknown.
    pub unknown: usize,
    /// Answers that do not follow from the caller's own view.
    pub wrong_answers: Vec<String>,
    /// Latency of each program that was done, in seconds, pauses included.
    pub latencies: Vec<f64>,
    /// Calls sent again.
    pub retries: usize,
}

/// A caller of one workload.
#[derive(Clone)]
pub struct Caller {
    entries: Vec<net::SocketAddr>,
    model: String,
    http: awc::Client,
    stats: rc::Rc<cell::RefCell<ProgramStats>>,
}

/// How one call ended for its program.
#[derive(Clone, Debug, PartialEq)]
enum CallEnd {
    Done(String),
    NotRun(String),
    Unknown,
}

/// One conversation as its program sees it.
#[derive(Clone, Debug, Default)]
struct Talk {
    program: Option<String>,
    parent: Option<String>,
    conversation: Option<String>,
    continuation: Option<String>,
    turn: u32,
    messages: Vec<chat::ChatMessage>,
}

/// An answer of an entry.
struct Answer {
    status: Option<chat::Status>,
    text: String,
}

impl Caller {
    /// A caller that uses these entries in turn.
    pub fn new(entries: Vec<net::SocketAddr>, model: &str) -> Self {
        let http = awc::Client::builder().timeout(TIMEOUT).finish();
        Caller { entries, model: model.to_owned(), http, stats: rc::Rc::default() }
    }

    /// What became of the programs so far.
    pub fn stats(&self) -> ProgramStats {
        self.stats.borrow().clone()
    }

    /// Runs one program to its end.
    pub async fn run_program(&self, program: &workload::Program, token: &str) {
        let start = time::Instant::now();
        let mut talk = Talk::default();
        let run = Run { caller: self, token, name: format!("p{}", program.number) };
        let end = run.steps(&program.steps, &mut talk).await;
        run.end_program(&talk).await;
        let mut stats = self.stats.borrow_mut();
        match end {
            Ok(false) => {
                stats.done += 1;
                stats.latencies.push(start.elapsed().as_secs_f64());
            }
            Ok(true) => stats.unknown += 1,
            Err(_) => stats.not_run += 1,
        }
    }
}

/// One program under way.
struct Run<'a> {
    caller: &'a Caller,
    token: &'a str,
    name: String,
}

impl Run<'_> {
    /// Runs steps: whether an outcome was unknown, or why it stopped.
    fn steps<'a>(
        &'a self,
        steps: &'a [workload::Step],
        talk: &'a mut Talk,
    ) -> future::LocalBoxFuture<'a, Result<bool, String>> {
        Box::pin(async move {
            let mut doubtful = false;
            for step in steps {
                match step {
                    workload::Step::Pause(pause) => actix_rt::time::sleep(*pause).await,
                    workload::Step::Model { text, tokens } => {
                        doubtful |= self.model(talk, text, *tokens).await?;
                    }
                    workload::Step::Service { service, operation, body, .. } => {
                        doubtful |= self.service(talk, service, operation, body).await?;
                    }
                    workload::Step::SubAgent(steps) => {
                        let parent = talk.program.clone();
                        let mut sub = Talk { parent, ..Talk::default() };
                        doubtful |= self.steps(steps, &mut sub).await?;
                        self.end_program(&sub).await;
                    }
                }
            }
            Ok(doubtful)
        })
    }

    async fn model(&self, talk: &mut Talk, text: &str, tokens: u32) -> Result<bool, String> {
        let message = chat::ChatMessage { role: "user".to_owned(), content: text.to_owned() };
        talk.messages.push(message.clone());
        let carries = talk.continuation.is_some();
        let body = chat::Request {
            model: self.caller.model.clone(),
            messages: if carries { vec![message] } else { talk.messages.clone() },
            max_tokens: Some(tokens + 8),
            stream: true,
            continue_final_message: false,
            continuation: talk.continuation.clone(),
        };
        let body = serde_json::to_string(&body).unwrap_or_default();
        let end = self.call(talk, "/v1/chat/completions", &body).await;
        match end {
            CallEnd::Done(answer) => {
                self.check_answer(talk, &answer, tokens);
                talk.messages
                    .push(chat::ChatMessage { role: "assistant".to_owned(), content: answer });
                Ok(false)
            }
            CallEnd::NotRun(reason) => Err(reason),
            CallEnd::Unknown => Err("a model call stayed unknown".to_owned()),
        }
    }

    /// Compares an answer with the one that an engine gives to the program's own view.
    fn check_answer(&self, talk: &Talk, answer: &str, tokens: u32) {
        let pairs = talk.messages.iter().map(|m| (m.role.as_str(), m.content.as_str()));
        let tokens = usize::try_from(tokens).unwrap_or(0);
        let expected = engine::answer_to(&engine::prompt_text(pairs), tokens);
        if expected != answer {
            let text = format!("{} turn {}: got {} bytes", self.name, talk.turn, answer.len());
            self.caller.stats.borrow_mut().wrong_answers.push(text);
        }
    }

    async fn service(
        &self,
        talk: &mut Talk,
        service: &str,
        operation: &str,
        body: &str,
    ) -> Result<bool, String> {
        let path = format!("/v1/services/{service}/{operation}");
        match self.call(talk, &path, body).await {
            CallEnd::Done(_) => Ok(false),
            CallEnd::Unknown => Ok(true),
            CallEnd::NotRun(reason) => Err(reason),
        }
    }

    /// Sends one call until it is done, in doubt, or was refused for good.
    async fn call(&self, talk: &mut Talk, path: &str, body: &str) -> CallEnd {
        let turn = talk.turn + 1;
        let key = format!("{}-{}-{turn}", self.name, talk.parent.as_deref().unwrap_or("root"));
        let is_chat = path.ends_with("completions");
        let mut last = String::new();
        for sending in 0..MAX_SENDINGS {
            if sending > 0 {
                self.caller.stats.borrow_mut().retries += 1;
                actix_rt::time::sleep(RETRY).await;
            }
            let entry = usize::try_from(sending).unwrap_or(0) + usize::try_from(turn).unwrap_or(0);
            let answer = self.send(talk, path, body, &key, turn, entry).await;
            let Some(Answer { status: Some(status), text }) = answer else {
                last = "no answer".to_owned();
                continue;
            };
            if !status.program.is_empty() && status.outcome != "not_run" {
                talk.program = Some(status.program.clone());
                talk.conversation = Some(status.conversation.clone());
            }
            match status.outcome.as_str() {
                "done" => {
                    talk.turn = turn;
                    talk.continuation = status.continuation;
                    return CallEnd::Done(text);
                }
                "unknown" if !is_chat => {
                    // The outcome of a call that may not be repeated; its turn is used up.
                    talk.turn = turn;
                    talk.continuation = status.continuation.or(talk.continuation.take());
                    return CallEnd::Unknown;
                }
                _ => last = format!("{}: {}", status.outcome, status.reason.unwrap_or_default()),
            }
        }
        CallEnd::NotRun(last)
    }

    async fn send(
        &self,
        talk: &Talk,
        path: &str,
        body: &str,
        key: &str,
        turn: u32,
        entry: usize,
    ) -> Option<Answer> {
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
            request = request.insert_header((headers::IDEMPOTENCY_KEY, key));
        }
        for (name, value) in [
            (headers::PROGRAM, &talk.program),
            (headers::PARENT, &talk.parent),
            (headers::CONVERSATION, &talk.conversation),
        ] {
            if let Some(value) = value {
                request = request.insert_header((name, value.as_str()));
            }
        }
        if !path.ends_with("completions") {
            if let Some(carried) = &talk.continuation {
                request = request.insert_header((headers::CONTINUATION, carried.as_str()));
            }
        }
        let response = request.send_body(body.to_owned()).await.ok()?;
        read_answer(response).await
    }

    async fn end_program(&self, talk: &Talk) {
        let Some(program) = &talk.program else {
            return;
        };
        for sending in 0..MAX_SENDINGS {
            let entries = &self.caller.entries;
            let entry = entries[usize::try_from(sending).unwrap_or(0) % entries.len()];
            let url = format!("http://{entry}/v1/programs/{program}");
            let sent = self
                .caller
                .http
                .delete(&url)
                .insert_header(("authorization", format!("Bearer {}", self.token)))
                .send()
                .await;
            if sent.is_ok_and(|response| response.status().is_success()) {
                return;
            }
            actix_rt::time::sleep(RETRY).await;
        }
    }
}

type Response<S> = awc::ClientResponse<S>;

async fn read_answer<S>(mut response: Response<S>) -> Option<Answer>
where
    S: futures_util::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>>
        + Unpin
        + 'static,
{
    let header = |name: &str| {
        let value = response.headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    let kind = header("content-type").unwrap_or_default();
    if kind.starts_with("text/event-stream") {
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
    Some(Answer { status: Some(status), text })
}

async fn read_stream<S>(response: Response<S>) -> Option<Answer>
where
    S: futures_util::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>>
        + Unpin
        + 'static,
{
    let mut answer = Answer { status: None, text: String::new() };
    let mut events = response.eventsource();
    while let Some(event) = events.next().await {
        let event = event.ok()?;
        if event.data == "[DONE]" {
            return Some(answer);
        }
        let chunk: chat::Chunk = serde_json::from_str(&event.data).ok()?;
        for choice in chunk.choices {
            answer.text.push_str(&choice.delta.content.unwrap_or_default());
        }
        answer.status = chunk.flamingotrail.or(answer.status);
    }
    None
}
