//! Attempts: sending a call's request to an endpoint and reading its response.

use std::rc;
use std::time;

use actix_http::Request;
use bytes::Bytes;
use bytes::BytesMut;
use flamingotrail_adapter::connection;
use flamingotrail_adapter::requests;
use flamingotrail_adapter::responses;
use flamingotrail_adapter::sse;
use flamingotrail_gateway::input;
use flamingotrail_gateway::output;
use tokio::sync::oneshot;

use crate::byte_budget;
use crate::connections::body as body_buffer;
use crate::gateway::control;
use crate::gateway::pending_calls;
use crate::gateway::pool;

/// Timeout for connecting to an endpoint: two round trips between regions, and a lost packet.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(300);
/// Maximum size of a response that is not a stream.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// Maximum size of a stream as it is received, in bytes.
const MAX_STREAM_BYTES: usize = 8 << 20;
/// Maximum number of events that are read of one stream per second, comments included: far more than an
/// engine makes, and few enough that many streams of tiny events leave time for other calls.
const MAX_EVENTS_PER_S: u32 = 2_000;
/// Number of events that may exceed this rate.
const EVENT_BURST: u32 = 2_000;
/// Maximum size of a body that is dropped, so that its connection can be used again, in bytes.
const MAX_DISCARDED_BYTES: usize = 64 << 10;
/// Maximum time for reading such a body: the response is known without it.
const DISCARD_TIMEOUT: time::Duration = time::Duration::from_millis(50);
/// Maximum number of responses to earlier requests that are skipped on one connection.
const MAX_STALE_RESPONSES: usize = 4;
/// Time without a response after which a connection in use again may have gone silent.
const SILENCE_TIME: time::Duration = time::Duration::from_millis(400);
/// Error of a response for which there is no memory.
const TOO_MANY_BYTES: connection::ConnectionError =
    connection::ConnectionError::Malformed("the unfinished responses exceed the size limit");
/// Statuses that promise that a request did not run.
const NOT_RUN_STATUSES: &[u16] = &[408, 421, 429, 503];

/// Runs attempts. Clones share the connections and calls.
#[derive(Clone)]
pub struct AttemptRunner {
    /// Idle connections to endpoints.
    pub pool: pool::Pool,
    /// Calls whose callers wait for a response.
    pub calls: pending_calls::PendingCalls,
    /// Sends inputs to the control thread.
    pub inputs: control::InputSender,
    /// Memory for unfinished responses.
    pub buffers: byte_budget::ByteBudget,
}

/// How an attempt has ended.
enum AttemptEnd {
    /// Without a stream.
    Outcome(input::Outcome),
    /// With a stream, which may have broken off.
    Stream { complete: bool },
}

/// What an attempt has received.
struct Progress {
    /// When the request was sent on a connection in use again; `None` once a response has begun.
    unanswered_since: Option<time::Instant>,
    is_streaming: bool,
    event_count: u64,
    last_event: Option<u64>,
    output: body_buffer::BodyBuffer,
    /// Memory of the output, and of the events while they are received.
    buffered: byte_budget::HeldBytes,
    load: Option<input::Load>,
}

impl Progress {
    fn new(buffered: byte_budget::HeldBytes) -> Self {
        Progress {
            unanswered_since: None,
            is_streaming: false,
            event_count: 0,
            last_event: None,
            output: body_buffer::BodyBuffer::new(MAX_STREAM_BYTES),
            buffered,
            load: None,
        }
    }
}

/// Slows the reading of a stream that has more events than any engine makes.
struct EventPace {
    began_at: time::Instant,
    count: u32,
}

impl EventPace {
    fn new() -> Self {
        EventPace { began_at: time::Instant::now(), count: 0 }
    }

    /// Waits until `events` more may have been read.
    async fn wait(&mut self, events: usize) {
        self.count = self.count.saturating_add(u32::try_from(events).unwrap_or(u32::MAX));
        let excess = self.count.saturating_sub(EVENT_BURST);
        let due = time::Duration::from_secs(1) * excess / MAX_EVENTS_PER_S;
        let early = due.saturating_sub(self.began_at.elapsed());
        if !early.is_zero() {
            tokio::time::sleep(early).await;
        }
    }
}

impl AttemptRunner {
    /// Runs an attempt until it ends, or until `cancel` is signalled or its sender is dropped.
    pub async fn run(
        &self,
        dispatch: &output::Dispatch,
        request: rc::Rc<Request>,
        cancel: oneshot::Receiver<()>,
    ) -> input::Outcome {
        let mut progress = Progress::new(self.buffers.begin());
        let ended = tokio::select! {
            biased;
            outcome = self.attempt(dispatch, &request, &mut progress) => Some(outcome),
            _ = cancel => None,
        };
        if let Some(sent_at) = progress.unanswered_since {
            if sent_at.elapsed() >= SILENCE_TIME {
                self.pool.discredit(&dispatch.endpoint, sent_at);
            }
        }
        match ended {
            Some(AttemptEnd::Outcome(outcome)) => outcome,
            Some(AttemptEnd::Stream { complete }) => self.end_stream(dispatch, progress, complete),
            None if progress.is_streaming => self.end_stream(dispatch, progress, false),
            None => input::Outcome::Cancelled,
        }
    }

    /// Returns the outcome of a stream. Its output counts as held until the call ends.
    fn end_stream(
        &self,
        dispatch: &output::Dispatch,
        progress: Progress,
        complete: bool,
    ) -> input::Outcome {
        let Progress { event_count, last_event, output, mut buffered, load, .. } = progress;
        let output = output.into_bytes();
        buffered.shrink_to(output.len());
        self.calls.hold_bytes(dispatch.call, buffered);
        input::Outcome::Streamed { complete, events: event_count, last_event, output, load }
    }

    async fn attempt(
        &self,
        dispatch: &output::Dispatch,
        request: &Request,
        progress: &mut Progress,
    ) -> AttemptEnd {
        // The connections of all endpoints may have gone silent at once, so another attempt uses only
        // one that has responded lately.
        let allows_long_idle = dispatch.repeatable && dispatch.attempt <= 1;
        let mut connection = match self.pool.take(&dispatch.endpoint, allows_long_idle) {
            Some(connection) => {
                progress.unanswered_since = Some(time::Instant::now());
                connection
            }
            None => {
                let timeout = CONNECT_TIMEOUT.min(dispatch.timeout);
                let start = time::Instant::now();
                match pool::connect(&dispatch.address, timeout).await {
                    Ok(connection) => {
                        let (endpoint, took) = (dispatch.endpoint.clone(), start.elapsed());
                        self.inputs.send(input::Input::Connected { endpoint, took });
                        connection
                    }
                    Err(error) => {
                        log::debug!("event=connect_failed error={:?}", error.to_string());
                        let outcome = input::Outcome::NotSent(input::Failure::Connect);
                        return AttemptEnd::Outcome(outcome);
                    }
                }
            }
        };
        let head = requests::encode_head(request.head(), dispatch);
        match self.send_and_receive(dispatch, request, &mut connection, &head, progress).await {
            Ok(end) => {
                self.pool.put(&dispatch.endpoint, connection);
                end
            }
            Err(_) if progress.is_streaming => AttemptEnd::Stream { complete: false },
            Err(error) => AttemptEnd::Outcome(input::Outcome::Lost(failure_kind(&error))),
        }
    }

    async fn send_and_receive(
        &self,
        dispatch: &output::Dispatch,
        request: &Request,
        connection: &mut connection::Connection,
        head: &[u8],
        progress: &mut Progress,
    ) -> Result<AttemptEnd, connection::ConnectionError> {
        let id = requests::request_id(request.head());
        let mut response = connection.exchange(head, &dispatch.body).await?;
        progress.unanswered_since = None;
        let mut stale_responses = 0;
        while !responses::matches_request_id(&response, id) {
            stale_responses += 1;
            if stale_responses > MAX_STALE_RESPONSES {
                return Err(connection::ConnectionError::Malformed("responses to other requests"));
            }
            connection.discard_body(MAX_RESPONSE_BYTES, dispatch.timeout).await;
            if !connection.has_read_response() {
                return Err(connection::ConnectionError::Malformed(
                    "the response to another request does not end",
                ));
            }
            response = connection.read_head().await?;
        }
        if !responses::names_request(&response) {
            if !connection.is_first_exchange() {
                // All responses so far named their requests, so this is no response to this one: it
                // says nothing of whether the request runs.
                return Err(connection::ConnectionError::Malformed(
                    "a response on a connection in use names no request",
                ));
            }
            // A late copy of this response could not be told from the response to a later request.
            connection.close_after_response();
        }
        let metadata = responses::metadata(&response);
        self.inputs.send(input::Input::ResponseBegan {
            call: dispatch.call,
            attempt: dispatch.attempt,
            notice: metadata.notice,
            load: metadata.load,
        });
        let status = response.status;
        if metadata.not_executed {
            connection.discard_body(MAX_DISCARDED_BYTES, DISCARD_TIMEOUT).await;
            let outcome = input::Outcome::Refused { status, load: metadata.load };
            return Ok(AttemptEnd::Outcome(outcome));
        }
        let is_success = (200..300).contains(&status);
        if is_success && !metadata.signed {
            return Err(connection::ConnectionError::Malformed(
                "successful response without a signature",
            ));
        }
        let is_stream = match metadata.media {
            responses::Media::EventStream => true,
            responses::Media::Unknown => dispatch.is_stream,
            responses::Media::Other => false,
        };
        if is_stream {
            progress.load = metadata.load;
            self.receive_stream(dispatch, connection, response, progress).await?;
            return Ok(AttemptEnd::Stream { complete: true });
        }
        let (body, buffered) = self.read_body(connection).await?;
        if NOT_RUN_STATUSES.contains(&status) {
            // Without the endpoint's own statement that the request did not run, this process must
            // not pass on a status that promises it.
            return Ok(AttemptEnd::Outcome(input::Outcome::Lost(input::Failure::Malformed)));
        }
        self.calls.hold_response(dispatch.call, response, body);
        self.calls.hold_bytes(dispatch.call, buffered);
        let (signed, load) = (metadata.signed, metadata.load);
        Ok(AttemptEnd::Outcome(input::Outcome::Answered { status, signed, load }))
    }

    /// Reads a complete body within the limits of its own size and of the process's memory. Returns it
    /// with the memory that it takes.
    async fn read_body(
        &self,
        connection: &mut connection::Connection,
    ) -> Result<(Bytes, byte_budget::HeldBytes), connection::ConnectionError> {
        let mut buffered = self.buffers.begin();
        let mut body = body_buffer::BodyBuffer::new(MAX_RESPONSE_BYTES);
        while let Some(data) = connection.read_body().await? {
            extend(&mut body, &data, &mut buffered)?;
        }
        let body = body.into_bytes();
        buffered.shrink_to(body.len());
        Ok((body, buffered))
    }

    async fn receive_stream(
        &self,
        dispatch: &output::Dispatch,
        connection: &mut connection::Connection,
        head: connection::ResponseHead,
        progress: &mut Progress,
    ) -> Result<(), connection::ConnectionError> {
        progress.is_streaming = true;
        let ends_with_connection = head.ends_with_connection;
        let mut parser = sse::EventParser::new();
        let mut head = Some(head);
        let mut leading_comments = BytesMut::new();
        let mut stream_bytes = 0;
        let mut event_pace = EventPace::new();
        while let Some(bytes) = connection.read_body().await? {
            stream_bytes += bytes.len();
            if stream_bytes > MAX_STREAM_BYTES {
                return Err(connection::ConnectionError::Malformed("the stream is too long"));
            }
            progress.buffered.add(bytes.len()).map_err(|_| TOO_MANY_BYTES)?;
            let events = parser
                .push(&bytes)
                .map_err(|_| connection::ConnectionError::Malformed("event is too long"))?;
            event_pace.wait(events.len()).await;
            for event in events {
                if event.data.is_empty() {
                    // A comment or a stray blank line, which keeps the connection open.
                    if head.is_none() {
                        self.push_stream_data(dispatch, event.raw);
                    } else {
                        // The head is held until the first event: without one, the call may be retried.
                        leading_comments.extend_from_slice(&event.raw);
                    }
                    continue;
                }
                if dispatch.max_events.is_some_and(|max| progress.event_count >= max) {
                    return Err(connection::ConnectionError::Malformed(
                        "the stream has more events than the request allows",
                    ));
                }
                if event.id.is_some() && event.id <= dispatch.resume_after {
                    // The caller has this event: the endpoint began earlier than it was asked to.
                    continue;
                }
                if let Some(head) = head.take() {
                    self.calls.push_stream_part(
                        dispatch.call,
                        pending_calls::ResponsePart::StreamHead(head),
                    );
                }
                progress.event_count += 1;
                progress.last_event = event.id;
                if dispatch.keeps_output {
                    extend(&mut progress.output, &event.data, &mut progress.buffered)?;
                }
                // In one part, since the events of a paced stream are counted by parts.
                let data = if leading_comments.is_empty() {
                    event.raw
                } else {
                    leading_comments.extend_from_slice(&event.raw);
                    leading_comments.split().freeze()
                };
                self.push_stream_data(dispatch, data);
            }
        }
        if parser.has_partial_event() {
            return Err(connection::ConnectionError::Malformed("stream ended within an event"));
        }
        if ends_with_connection && progress.event_count == 0 {
            // An engine that crashes before its first event closes its connection as well.
            return Err(connection::ConnectionError::Malformed(
                "stream ended before its first event",
            ));
        }
        if let Some(head) = head.take() {
            self.calls
                .push_stream_part(dispatch.call, pending_calls::ResponsePart::StreamHead(head));
            if !leading_comments.is_empty() {
                self.push_stream_data(dispatch, leading_comments.freeze());
            }
        }
        Ok(())
    }

    fn push_stream_data(&self, dispatch: &output::Dispatch, data: Bytes) {
        let part = pending_calls::ResponsePart::StreamData(data);
        self.calls.push_stream_part(dispatch.call, part);
    }
}

/// Adds `data` to a buffer within the memory for unfinished responses.
fn extend(
    buf: &mut body_buffer::BodyBuffer,
    data: &[u8],
    buffered: &mut byte_budget::HeldBytes,
) -> Result<(), connection::ConnectionError> {
    let too_long = connection::ConnectionError::Malformed("the body exceeds the size limit");
    let capacity = buf.capacity_with(data.len()).ok_or(too_long)?;
    buffered.add(capacity - buf.capacity()).map_err(|_| TOO_MANY_BYTES)?;
    buf.extend(data);
    Ok(())
}

fn failure_kind(error: &connection::ConnectionError) -> input::Failure {
    match error {
        connection::ConnectionError::Connect { .. } => input::Failure::Connect,
        connection::ConnectionError::Io(_) | connection::ConnectionError::Closed => {
            input::Failure::Closed
        }
        connection::ConnectionError::Malformed(_) => input::Failure::Malformed,
    }
}
