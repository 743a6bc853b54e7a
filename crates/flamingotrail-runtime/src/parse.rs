//! Reads callers' requests.

use std::str;
use std::time;

use actix_http::header;
use flamingotrail_core::digest;
use flamingotrail_core::errors;
use flamingotrail_core::history;
use flamingotrail_core::ids;
use flamingotrail_core::input;
use flamingotrail_core::work;
use flamingotrail_wire::chat;
use flamingotrail_wire::codec;
use flamingotrail_wire::headers;

/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// A request that was read, and whether it wants a stream.
#[derive(Debug)]
pub struct ParsedRequest {
    /// The request.
    pub request: input::CallerRequest,
    /// Whether to answer as a stream.
    pub stream: bool,
}

fn bad(field: &str, detail: impl ToString) -> errors::Refusal {
    errors::Refusal::BadField { field: field.to_owned(), detail: detail.to_string() }
}

fn text<'a>(map: &'a header::HeaderMap, name: &str) -> Result<Option<&'a str>, errors::Refusal> {
    match map.get(name) {
        None => Ok(None),
        Some(value) => {
            let text = value.to_str().map_err(|_| bad(name, "it is not plain text"))?;
            Ok(Some(text.trim()))
        }
    }
}

fn parsed<T: str::FromStr>(
    map: &header::HeaderMap,
    name: &str,
) -> Result<Option<T>, errors::Refusal>
where
    T::Err: ToString,
{
    let read = |text: &str| text.parse().map_err(|error: T::Err| bad(name, error.to_string()));
    text(map, name)?.map(read).transpose()
}

/// Digest of the bearer token.
pub fn token_digest(map: &header::HeaderMap) -> Option<digest::Digest> {
    let value = map.get(header::AUTHORIZATION)?.to_str().ok()?;
    let token = value.strip_prefix("Bearer ")?;
    Some(digest::hash_token(token.trim()))
}

/// Reads the headers that every call may carry.
fn with_headers(
    map: &header::HeaderMap,
    request: ids::RequestId,
    work: work::Work,
    continuation: Option<&str>,
) -> Result<input::CallerRequest, errors::Refusal> {
    let idempotency_key = text(map, headers::IDEMPOTENCY_KEY)?.map(str::to_owned);
    if idempotency_key.as_ref().is_some_and(|key| key.is_empty() || key.len() > MAX_KEY_BYTES) {
        return Err(bad(headers::IDEMPOTENCY_KEY, "give 1 to 256 bytes"));
    }
    let turn: Option<ids::Turn> = parsed(map, headers::TURN)?;
    if turn == Some(0) {
        return Err(bad(headers::TURN, "turns count from 1"));
    }
    let deadline: Option<u64> = parsed(map, headers::DEADLINE_MS)?;
    let history = history(map, continuation)?;
    let mut request = input::CallerRequest {
        request,
        token_digest: token_digest(map),
        program: parsed(map, headers::PROGRAM)?,
        parent: parsed(map, headers::PARENT)?,
        conversation: parsed(map, headers::CONVERSATION)?,
        turn,
        work,
        history,
        time_left: deadline.map(time::Duration::from_millis),
        cost_bound: parsed(map, headers::COST_BOUND)?,
        idempotency_key,
    };
    if let history::HistorySource::Continuation(carried) = &request.history {
        // A continuation speaks for its program and conversation.
        request.program.get_or_insert_with(|| carried.program.clone());
        request.conversation.get_or_insert_with(|| carried.conversation.clone());
    }
    Ok(request)
}

fn history(
    map: &header::HeaderMap,
    continuation: Option<&str>,
) -> Result<history::HistorySource, errors::Refusal> {
    let header = text(map, headers::CONTINUATION)?;
    if let Some(carried) = header.or(continuation).filter(|carried| !carried.is_empty()) {
        let read = codec::decode_continuation(carried);
        let read = read.map_err(|error| bad(headers::CONTINUATION, error))?;
        return Ok(history::HistorySource::Continuation(Box::new(read)));
    }
    match text(map, headers::HISTORY)? {
        None | Some("full") => Ok(history::HistorySource::Full),
        Some("journal") => Ok(history::HistorySource::Journal),
        Some(_) => Err(bad(headers::HISTORY, "give `full` or `journal`")),
    }
}

/// Reads a chat completion.
///
/// # Errors
///
/// A body or header that is not valid.
pub fn chat_completion(
    map: &header::HeaderMap,
    request: ids::RequestId,
    body: &[u8],
) -> Result<ParsedRequest, errors::Refusal> {
    let body: chat::Request = serde_json::from_slice(body).map_err(|error| bad("body", error))?;
    let stream = body.stream;
    if body.max_tokens == Some(0) {
        return Err(bad("max_tokens", "give a number above 0, or leave it out"));
    }
    let messages: Result<Vec<history::Message>, chat::UnknownRole> =
        body.messages.into_iter().map(history::Message::try_from).collect();
    let work = work::Work::Model {
        model: ids::ModelName::new(body.model),
        max_tokens: body.max_tokens.unwrap_or(0),
        messages: messages.map_err(|error| bad("messages", error))?,
    };
    let request = with_headers(map, request, work, body.continuation.as_deref())?;
    Ok(ParsedRequest { request, stream })
}

/// Reads a service call: `path` is `{service}/{operation}`.
///
/// # Errors
///
/// A path, body or header that is not valid.
pub fn service_call(
    map: &header::HeaderMap,
    request: ids::RequestId,
    path: &str,
    body: &[u8],
) -> Result<ParsedRequest, errors::Refusal> {
    let (service, operation) = path.split_once('/').unwrap_or((path, ""));
    let body = str::from_utf8(body).map_err(|_| bad("body", "it is not UTF-8"))?;
    let work = work::Work::Service {
        service: ids::ServiceName::new(service),
        operation: operation.to_owned(),
        body: body.to_owned(),
    };
    let request = with_headers(map, request, work, None)?;
    Ok(ParsedRequest { request, stream: false })
}

/// Reads the end of a program: `path` is its id.
///
/// # Errors
///
/// A path or header that is not valid.
pub fn end_program(
    map: &header::HeaderMap,
    request: ids::RequestId,
    path: &str,
) -> Result<ParsedRequest, errors::Refusal> {
    let program = path.parse().map_err(|error| bad("program", error))?;
    let mut request = with_headers(map, request, work::Work::EndProgram, None)?;
    request.program = Some(program);
    request.conversation = None;
    Ok(ParsedRequest { request, stream: false })
}
