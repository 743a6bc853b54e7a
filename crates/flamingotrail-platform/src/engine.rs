//! Client for model engines: chat completions as server-sent events, and holds on cached context.
//!
//! `POST /v1/chat/completions` runs a call; with the headers `x-hold-id` and `x-hold-lease-ms` the
//! engine keeps the context cached. `DELETE /holds/{id}` releases a hold and is idempotent.
//! `GET /report` returns the load. Requests that run a call or release a hold carry a fencing
//! token; an engine that enforces fencing rejects an outdated token with status 409.

use std::cell;
use std::time;

use eventsource_stream::Eventsource as _;
use flamingotrail_core::errors;
use flamingotrail_core::ids;
use flamingotrail_core::messages;
use flamingotrail_core::work;
use flamingotrail_wire::chat;
use flamingotrail_wire::engine;
use flamingotrail_wire::headers;
use futures_util::StreamExt as _;

use crate::endpoint;
use crate::http;

/// Timeout for connecting to the co-located engine.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Timeout for releasing a hold and for fetching the load report.
const CONTROL_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Timeout of the HTTP client for a call; the deadline of the call expires earlier.
const RUN_TIMEOUT: time::Duration = time::Duration::from_secs(3600);
/// Maximum size of a stream, in bytes. An engine that sends more has failed.
const MAX_STREAM_BYTES: usize = 8 << 20;
/// Data of the event that marks the end of a stream.
const END_OF_STREAM: &str = "[DONE]";
/// Status (503) of an engine that has no capacity for a call.
const SERVICE_UNAVAILABLE: u16 = 503;

/// Model engine client over HTTP.
pub struct HttpEngine {
    client: awc::Client,
    base_url: String,
}

/// Contents of a response stream that have been received so far.
#[derive(Default)]
struct StreamState {
    text: String,
    usage: Option<chat::ChatUsage>,
    finish_reason: Option<String>,
    complete: bool,
}

impl HttpEngine {
    /// Creates a client for the engine at base URL `base_url`.
    pub fn new(base_url: &str) -> Self {
        let client = http::client(CONNECT_TIMEOUT, RUN_TIMEOUT);
        HttpEngine { client, base_url: base_url.trim_end_matches('/').to_owned() }
    }

    async fn stream_completion(
        &self,
        dispatch: &messages::Dispatch,
        fencing_token: Option<ids::FencingToken>,
        sink: endpoint::TextSink,
        state: &cell::RefCell<StreamState>,
    ) -> Result<(), http::HttpError> {
        let url = format!("{}/v1/chat/completions", self.base_url);
        let (body, hold) = completion_request(dispatch);
        let mut request = self.client.post(&url).force_close();
        if let Some(hold) = hold {
            let lease = hold.lease.as_millis().to_string();
            request = request.insert_header((engine::HOLD_ID, hold.id.0.to_string()));
            request = request.insert_header((engine::HOLD_LEASE_MS, lease));
        }
        if let Some(fencing_token) = fencing_token {
            request = request.insert_header((headers::FENCE, fencing_token.to_string()));
        }
        let result = request.send_json(&body).await;
        let mut response =
            result.map_err(|error| http::HttpError::from_send_error(&url, &error))?;
        if !response.status().is_success() {
            let status = response.status().as_u16();
            let body = response.body().limit(http::MAX_BODY_BYTES).await.unwrap_or_default();
            return Err(http::HttpError::from_status(&url, status, &body));
        }
        read_stream(&url, response, sink, state).await
    }
}

async fn read_stream<S, E>(
    url: &str,
    body: S,
    mut sink: endpoint::TextSink,
    state: &cell::RefCell<StreamState>,
) -> Result<(), http::HttpError>
where
    S: futures_util::Stream<Item = Result<bytes::Bytes, E>> + Unpin,
    E: std::fmt::Display,
{
    let mut received = 0;
    let body = body.map(move |bytes| {
        let bytes = bytes.map_err(|error| error.to_string())?;
        received += bytes.len();
        if received > MAX_STREAM_BYTES {
            return Err(format!("the stream exceeds {MAX_STREAM_BYTES} bytes"));
        }
        Ok(bytes)
    });
    let mut events = body.eventsource();
    while let Some(event) = events.next().await {
        let event = event.map_err(|error| http::HttpError::invalid_response(url, error))?;
        if event.data == END_OF_STREAM {
            state.borrow_mut().complete = true;
            return Ok(());
        }
        let chunk: chat::Chunk = serde_json::from_str(&event.data)
            .map_err(|error| http::HttpError::invalid_response(url, error))?;
        apply_chunk(chunk, &mut sink, &mut state.borrow_mut());
    }
    Err(http::HttpError::invalid_response(url, "the stream ended before the final event"))
}

fn apply_chunk(chunk: chat::Chunk, sink: &mut endpoint::TextSink, state: &mut StreamState) {
    for choice in chunk.choices {
        if let Some(text) = choice.delta.content {
            sink(&text);
            state.text.push_str(&text);
        }
        state.finish_reason = choice.finish_reason.or(state.finish_reason.take());
    }
    state.usage = chunk.usage.or(state.usage);
}

/// Builds the request body of a model call, and returns it with the hold to take. For other jobs,
/// the request is empty.
fn completion_request(
    dispatch: &messages::Dispatch,
) -> (chat::Request, Option<messages::HoldLease>) {
    let messages::Job::Model { model, messages, prefix, max_tokens, hold, .. } = &dispatch.job
    else {
        return (chat::Request::default(), None);
    };
    let mut chat_messages: Vec<chat::ChatMessage> =
        messages.iter().map(chat::ChatMessage::from).collect();
    if !prefix.is_empty() {
        chat_messages
            .push(chat::ChatMessage { role: "assistant".to_owned(), content: prefix.clone() });
    }
    let body = chat::Request {
        model: model.to_string(),
        messages: chat_messages,
        max_tokens: Some(*max_tokens),
        stream: true,
        continue_final_message: !prefix.is_empty(),
        continuation: None,
    };
    (body, *hold)
}

impl endpoint::Endpoint for HttpEngine {
    fn run<'a>(
        &'a self,
        dispatch: &'a messages::Dispatch,
        fencing_token: Option<ids::FencingToken>,
        sink: endpoint::TextSink,
    ) -> http::LocalFuture<'a, work::AttemptOutcome> {
        Box::pin(async move {
            let state = cell::RefCell::new(StreamState::default());
            let stream = self.stream_completion(dispatch, fencing_token, sink, &state);
            let result = match actix_rt::time::timeout(dispatch.time_left, stream).await {
                Ok(result) => result,
                Err(_) => Err(http::HttpError::invalid_response(
                    &self.base_url,
                    "the deadline of the call expired",
                )),
            };
            let outcome = attempt_outcome(result, state.into_inner());
            match outcome {
                work::AttemptOutcome::Broken { partial, .. } => work::AttemptOutcome::Broken {
                    partial,
                    endpoint_crashed: self.report().await.is_none(),
                },
                outcome => outcome,
            }
        })
    }

    fn release(
        &self,
        hold: ids::HoldId,
        fencing_token: Option<ids::FencingToken>,
    ) -> http::LocalFuture<'_, bool> {
        Box::pin(async move {
            let url = format!("{}/holds/{}", self.base_url, hold.0);
            let mut request = self.client.delete(&url).timeout(CONTROL_TIMEOUT);
            if let Some(fencing_token) = fencing_token {
                request = request.insert_header((headers::FENCE, fencing_token.to_string()));
            }
            request.send().await.is_ok_and(|response| response.status().is_success())
        })
    }

    fn report(&self) -> http::LocalFuture<'_, Option<engine::Report>> {
        Box::pin(async move {
            let url = format!("{}/report", self.base_url);
            let request = self.client.get(&url).force_close().timeout(CONTROL_TIMEOUT);
            request.send().await.ok()?.json::<engine::Report>().await.ok()
        })
    }
}

/// Derives the outcome of an attempt from the result of its request and the contents of its stream.
fn attempt_outcome(
    result: Result<(), http::HttpError>,
    state: StreamState,
) -> work::AttemptOutcome {
    let error = match result {
        Ok(()) if state.complete => {
            let usage = state.usage.unwrap_or_default().into();
            let finish = match state.finish_reason.as_deref() {
                Some("length") => work::FinishReason::Length,
                _ => work::FinishReason::Stop,
            };
            let response = work::Response { text: state.text, status: 200, usage, finish };
            return work::AttemptOutcome::Answered(response);
        }
        Ok(()) => return broken_attempt(state.text),
        Err(error) => error,
    };
    match error {
        http::HttpError::Unreachable { .. } => {
            work::AttemptOutcome::NotRun(errors::Refusal::NoEndpoint("engine".to_owned()))
        }
        http::HttpError::Status { status: SERVICE_UNAVAILABLE, .. } => {
            let retry_after = time::Duration::from_millis(200);
            work::AttemptOutcome::NotRun(errors::Refusal::Overloaded { retry_after })
        }
        http::HttpError::Status { status, detail, .. } if (400..500).contains(&status) => {
            work::AttemptOutcome::NotRun(errors::Refusal::EndpointRefused { detail })
        }
        _ => broken_attempt(state.text),
    }
}

fn broken_attempt(partial: String) -> work::AttemptOutcome {
    work::AttemptOutcome::Broken { partial, endpoint_crashed: false }
}
