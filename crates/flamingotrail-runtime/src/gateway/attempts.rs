//! One attempt on an endpoint.

use std::rc;
use std::time;

use actix_http::Request;
use bytes::BytesMut;
use flamingotrail_adapter::connection;
use flamingotrail_adapter::requests;
use flamingotrail_adapter::responses;
use flamingotrail_adapter::sse;
use flamingotrail_gateway::input;
use flamingotrail_gateway::output;
use tokio::sync::oneshot;

use crate::gateway::pending_calls;
use crate::gateway::pool;

/// Time for a connection to an endpoint: two round trips between regions, and a lost packet.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(300);
/// Bytes of an answer that is not a stream at most.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Answers to earlier requests that are passed over on one connection at most.
const MAX_STALE: usize = 4;
/// Statuses that promise that a request did not run.
const PROMISES: &[u16] = &[408, 421, 429, 503];

/// What attempts share.
#[derive(Clone)]
pub struct AttemptRunner {
    /// Idle connections.
    pub pool: pool::Pool,
    /// Calls.
    pub calls: pending_calls::PendingCalls,
}

/// What an attempt has passed on so far.
#[derive(Default)]
struct Progress {
    streaming: bool,
    events: u64,
    output: BytesMut,
    load: Option<input::Load>,
}

impl AttemptRunner {
    /// Makes an attempt until its end or the signal of `cancel`.
    pub async fn run(
        &self,
        dispatch: &output::Dispatch,
        request: rc::Rc<Request>,
        cancel: oneshot::Receiver<()>,
    ) -> input::Outcome {
        let mut progress = Progress::default();
        let ended = tokio::select! {
            biased;
            outcome = self.attempt(dispatch, &request, &mut progress) => Some(outcome),
            _ = cancel => None,
        };
        match ended {
            Some(outcome) => outcome,
            None if progress.streaming => streamed(progress, false),
            None => input::Outcome::Cancelled,
        }
    }

    async fn attempt(
        &self,
        dispatch: &output::Dispatch,
        request: &Request,
        progress: &mut Progress,
    ) -> input::Outcome {
        let mut channel = match self.pool.take(&dispatch.endpoint, dispatch.repeatable) {
            Some(channel) => channel,
            None => {
                let within = CONNECT_TIMEOUT.min(dispatch.timeout);
                match pool::connect(&dispatch.address, within).await {
                    Ok(channel) => channel,
                    Err(error) => {
                        log::debug!("event=connect_failed error={:?}", error.to_string());
                        return input::Outcome::NotSent(input::Failure::Connect);
                    }
                }
            }
        };
        let head = requests::encode_head(request.head(), dispatch);
        match self.answer(dispatch, request, &mut channel, &head, progress).await {
            Ok(outcome) => {
                self.pool.put(&dispatch.endpoint, channel);
                outcome
            }
            Err(_) if progress.streaming => streamed(std::mem::take(progress), false),
            Err(error) => input::Outcome::Lost(failure(&error)),
        }
    }

    async fn answer(
        &self,
        dispatch: &output::Dispatch,
        request: &Request,
        channel: &mut connection::Connection,
        head: &[u8],
        progress: &mut Progress,
    ) -> Result<input::Outcome, connection::ConnectionError> {
        let id = requests::request_id(request.head());
        let mut answer = channel.exchange(head, &dispatch.body).await?;
        let mut stale = 0;
        while !responses::matches_request_id(&answer, id) {
            stale += 1;
            if stale > MAX_STALE {
                return Err(connection::ConnectionError::Malformed("answers to other requests"));
            }
            channel.read_full_body(MAX_ANSWER_BYTES).await?;
            answer = channel.read_head().await?;
        }
        let verdict = responses::metadata(&answer);
        let status = answer.status;
        if verdict.not_executed {
            channel.read_full_body(MAX_ANSWER_BYTES).await?;
            return Ok(input::Outcome::Refused { status, load: verdict.load });
        }
        let is_success = (200..300).contains(&status);
        if is_success && !verdict.signed {
            return Err(connection::ConnectionError::Malformed("a success without a signature"));
        }
        if verdict.is_stream {
            progress.load = verdict.load;
            return self.stream(dispatch, channel, answer, progress).await;
        }
        let body = channel.read_full_body(MAX_ANSWER_BYTES).await?;
        if PROMISES.contains(&status) {
            // The endpoint does not say that it left the request alone, so neither may this process.
            return Ok(input::Outcome::Lost(input::Failure::Malformed));
        }
        self.calls.hold_response(dispatch.call, answer, body);
        Ok(input::Outcome::Answered { status, signed: verdict.signed, load: verdict.load })
    }

    async fn stream(
        &self,
        dispatch: &output::Dispatch,
        channel: &mut connection::Connection,
        head: connection::ResponseHead,
        progress: &mut Progress,
    ) -> Result<input::Outcome, connection::ConnectionError> {
        progress.streaming = true;
        let mut splitter = sse::EventParser::new();
        let mut head = Some(head);
        while let Some(bytes) = channel.read_body().await? {
            let events = splitter
                .push(&bytes)
                .map_err(|_| connection::ConnectionError::Malformed("an event is too long"))?;
            for event in events {
                if let Some(head) = head.take() {
                    self.calls.push_stream_part(
                        dispatch.call,
                        pending_calls::ResponsePart::StreamHead(head),
                    );
                }
                progress.events += 1;
                progress.output.extend_from_slice(&event.data);
                self.calls.push_stream_part(
                    dispatch.call,
                    pending_calls::ResponsePart::StreamData(event.raw),
                );
            }
        }
        if splitter.has_partial_event() {
            return Err(connection::ConnectionError::Malformed("the stream ends within an event"));
        }
        if let Some(head) = head.take() {
            self.calls
                .push_stream_part(dispatch.call, pending_calls::ResponsePart::StreamHead(head));
        }
        Ok(streamed(std::mem::take(progress), true))
    }
}

fn streamed(progress: Progress, complete: bool) -> input::Outcome {
    input::Outcome::Streamed {
        complete,
        events: progress.events,
        output: progress.output.freeze(),
        load: progress.load,
    }
}

fn failure(error: &connection::ConnectionError) -> input::Failure {
    match error {
        connection::ConnectionError::Connect { .. } => input::Failure::Connect,
        connection::ConnectionError::Io(_) | connection::ConnectionError::Closed => {
            input::Failure::Closed
        }
        connection::ConnectionError::Malformed(_) => input::Failure::Malformed,
    }
}
