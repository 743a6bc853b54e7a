//! Model engines: chat completions as a stream of server-sent events, holds by headers.
//!
//! `POST /v1/chat/completions` runs a call; `x-hold-id` and `x-hold-lease-ms` keep its context.
//! `DELETE /holds/{id}` lets go of it and may be repeated. `GET /report` tells the load. Orders
//! carry the fencing number; an engine that enforces it answers 409 to an old one.

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

/// How long a connection to the engine beside this process may take.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// How long a report or an order may take.
const ORDER_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Longest run of a call; its deadline ends it earlier.
const RUN_TIMEOUT: time::Duration = time::Duration::from_secs(3600);
/// Data of the event that ends a stream.
const DONE: &str = "[DONE]";
/// Status by which an engine says that it is full.
const BUSY: u16 = 503;

/// An engine over HTTP.
pub struct HttpEngine {
    client: awc::Client,
    base: String,
}

/// How a stream went so far.
#[derive(Default)]
struct Progress {
    text: String,
    usage: Option<chat::ChatUsage>,
    finish: Option<String>,
    complete: bool,
}

impl HttpEngine {
    /// The engine at `base`.
    pub fn new(base: &str) -> Self {
        let client = http::client(CONNECT_TIMEOUT, RUN_TIMEOUT);
        HttpEngine { client, base: base.trim_end_matches('/').to_owned() }
    }

    async fn stream(
        &self,
        dispatch: &messages::Dispatch,
        fence: Option<ids::FencingToken>,
        sink: endpoint::TextSink,
        progress: &cell::RefCell<Progress>,
    ) -> Result<(), http::HttpError> {
        let url = format!("{}/v1/chat/completions", self.base);
        let (body, hold) = request(dispatch);
        let mut request = self.client.post(&url).force_close();
        if let Some(hold) = hold {
            let lease = hold.lease.as_millis().to_string();
            request = request.insert_header((engine::HOLD, hold.id.0.to_string()));
            request = request.insert_header((engine::HOLD_LEASE_MS, lease));
        }
        if let Some(fence) = fence {
            request = request.insert_header((headers::FENCE, fence.to_string()));
        }
        let sent = request.send_json(&body).await;
        let mut response = sent.map_err(|error| http::HttpError::from_send(&url, &error))?;
        if !response.status().is_success() {
            let status = response.status().as_u16();
            let body = response.body().limit(http::MAX_BODY_BYTES).await.unwrap_or_default();
            return Err(http::HttpError::status(&url, status, &body));
        }
        read_events(&url, response, sink, progress).await
    }
}

async fn read_events<S, E>(
    url: &str,
    body: S,
    mut sink: endpoint::TextSink,
    progress: &cell::RefCell<Progress>,
) -> Result<(), http::HttpError>
where
    S: futures_util::Stream<Item = Result<bytes::Bytes, E>> + Unpin,
    E: std::fmt::Display,
{
    let mut events = body.eventsource();
    while let Some(event) = events.next().await {
        let event = event.map_err(|error| http::HttpError::broken(url, error))?;
        if event.data == DONE {
            progress.borrow_mut().complete = true;
            return Ok(());
        }
        let chunk: chat::Chunk = serde_json::from_str(&event.data)
            .map_err(|error| http::HttpError::broken(url, error))?;
        take_chunk(chunk, &mut sink, &mut progress.borrow_mut());
    }
    Err(http::HttpError::broken(url, "the stream ended early"))
}

fn take_chunk(chunk: chat::Chunk, sink: &mut endpoint::TextSink, progress: &mut Progress) {
    for choice in chunk.choices {
        if let Some(text) = choice.delta.content {
            sink(&text);
            progress.text.push_str(&text);
        }
        progress.finish = choice.finish_reason.or(progress.finish.take());
    }
    progress.usage = chunk.usage.or(progress.usage);
}

/// The request body of a job and the terms of its hold.
fn request(dispatch: &messages::Dispatch) -> (chat::Request, Option<messages::HoldLease>) {
    let messages::Job::Model { model, messages, prefix, max_tokens, hold, .. } = &dispatch.job
    else {
        return (chat::Request::default(), None);
    };
    let mut all: Vec<chat::ChatMessage> = messages.iter().map(chat::ChatMessage::from).collect();
    if !prefix.is_empty() {
        all.push(chat::ChatMessage { role: "assistant".to_owned(), content: prefix.clone() });
    }
    let body = chat::Request {
        model: model.to_string(),
        messages: all,
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
        fence: Option<ids::FencingToken>,
        sink: endpoint::TextSink,
    ) -> http::Local<'a, work::AttemptOutcome> {
        Box::pin(async move {
            let progress = cell::RefCell::new(Progress::default());
            let run = self.stream(dispatch, fence, sink, &progress);
            let result = match actix_rt::time::timeout(dispatch.time_left, run).await {
                Ok(result) => result,
                Err(_) => Err(http::HttpError::broken(&self.base, "the deadline passed")),
            };
            let end = end(result, progress.into_inner());
            match end {
                work::AttemptOutcome::Broken { partial, .. } => work::AttemptOutcome::Broken {
                    partial,
                    endpoint_crashed: self.report().await.is_none(),
                },
                end => end,
            }
        })
    }

    fn release(
        &self,
        hold: ids::HoldId,
        fence: Option<ids::FencingToken>,
    ) -> http::Local<'_, bool> {
        Box::pin(async move {
            let url = format!("{}/holds/{}", self.base, hold.0);
            let mut request = self.client.delete(&url).timeout(ORDER_TIMEOUT);
            if let Some(fence) = fence {
                request = request.insert_header((headers::FENCE, fence.to_string()));
            }
            request.send().await.is_ok_and(|response| response.status().is_success())
        })
    }

    fn report(&self) -> http::Local<'_, Option<engine::Report>> {
        Box::pin(async move {
            let url = format!("{}/report", self.base);
            let request = self.client.get(&url).force_close().timeout(ORDER_TIMEOUT);
            request.send().await.ok()?.json::<engine::Report>().await.ok()
        })
    }
}

/// How an attempt ended, by what is known of its stream.
fn end(result: Result<(), http::HttpError>, progress: Progress) -> work::AttemptOutcome {
    let error = match result {
        Ok(()) if progress.complete => {
            let usage = progress.usage.unwrap_or_default().into();
            let finish = match progress.finish.as_deref() {
                Some("length") => work::FinishReason::Length,
                _ => work::FinishReason::Stop,
            };
            let answer = work::Response { text: progress.text, status: 200, usage, finish };
            return work::AttemptOutcome::Answered(answer);
        }
        Ok(()) => return broken(progress.text),
        Err(error) => error,
    };
    match error {
        http::HttpError::Unreachable { .. } => {
            work::AttemptOutcome::NotRun(errors::Refusal::NoEndpoint("engine".to_owned()))
        }
        http::HttpError::Status { status: BUSY, .. } => {
            let retry_after = time::Duration::from_millis(200);
            work::AttemptOutcome::NotRun(errors::Refusal::Overloaded { retry_after })
        }
        http::HttpError::Status { status, detail, .. } if (400..500).contains(&status) => {
            work::AttemptOutcome::NotRun(errors::Refusal::EndpointRefused { detail })
        }
        _ => broken(progress.text),
    }
}

fn broken(partial: String) -> work::AttemptOutcome {
    work::AttemptOutcome::Broken { partial, endpoint_crashed: false }
}
