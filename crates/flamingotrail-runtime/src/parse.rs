//! Parses the requests of callers.

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

/// Maximum length of an idempotency key in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;

/// A parsed request.
#[derive(Debug)]
pub struct ParsedRequest {
    /// The request to pass to the control thread.
    pub request: input::CallerRequest,
    /// Whether the response is to be streamed.
    pub stream: bool,
}

fn bad_field(field: &str, detail: impl ToString) -> errors::Refusal {
    errors::Refusal::BadField { field: field.to_owned(), detail: detail.to_string() }
}

fn header_text<'a>(
    header_map: &'a header::HeaderMap,
    name: &str,
) -> Result<Option<&'a str>, errors::Refusal> {
    match header_map.get(name) {
        None => Ok(None),
        Some(value) => {
            let text = value
                .to_str()
                .map_err(|_| bad_field(name, "the value must be visible ASCII text"))?;
            Ok(Some(text.trim()))
        }
    }
}

fn parse_header<T: str::FromStr>(
    header_map: &header::HeaderMap,
    name: &str,
) -> Result<Option<T>, errors::Refusal>
where
    T::Err: ToString,
{
    let parse =
        |text: &str| text.parse().map_err(|error: T::Err| bad_field(name, error.to_string()));
    header_text(header_map, name)?.map(parse).transpose()
}

/// Returns the digest of the request's bearer token, or `None` if there is no valid one.
pub fn token_digest(header_map: &header::HeaderMap) -> Option<digest::Digest> {
    let value = header_map.get(header::AUTHORIZATION)?.to_str().ok()?;
    let token = value.strip_prefix("Bearer ")?;
    Some(digest::hash_token(token.trim()))
}

/// Builds a request from its work and the headers that are common to all kinds of work.
fn build_request(
    header_map: &header::HeaderMap,
    request: ids::RequestId,
    work: work::Work,
    continuation: Option<&str>,
) -> Result<input::CallerRequest, errors::Refusal> {
    let idempotency_key = header_text(header_map, headers::IDEMPOTENCY_KEY)?.map(str::to_owned);
    if idempotency_key
        .as_ref()
        .is_some_and(|key| key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES)
    {
        return Err(bad_field(headers::IDEMPOTENCY_KEY, "the key must have 1 to 256 bytes"));
    }
    let turn: Option<ids::Turn> = parse_header(header_map, headers::TURN)?;
    if turn == Some(0) {
        return Err(bad_field(headers::TURN, "turn numbers start at 1"));
    }
    let deadline_ms: Option<u64> = parse_header(header_map, headers::DEADLINE_MS)?;
    let history = history_source(header_map, continuation)?;
    let mut request = input::CallerRequest {
        request,
        token_digest: token_digest(header_map),
        program: parse_header(header_map, headers::PROGRAM)?,
        parent: parse_header(header_map, headers::PARENT)?,
        conversation: parse_header(header_map, headers::CONVERSATION)?,
        turn,
        work,
        history,
        time_left: deadline_ms.map(time::Duration::from_millis),
        cost_bound: parse_header(header_map, headers::COST_BOUND)?,
        idempotency_key,
    };
    if let history::HistorySource::Continuation(continuation) = &request.history {
        // Program and conversation default to those of the continuation; headers take precedence.
        request.program.get_or_insert_with(|| continuation.program.clone());
        request.conversation.get_or_insert_with(|| continuation.conversation.clone());
    }
    Ok(request)
}

fn history_source(
    header_map: &header::HeaderMap,
    continuation: Option<&str>,
) -> Result<history::HistorySource, errors::Refusal> {
    let from_header = header_text(header_map, headers::CONTINUATION)?;
    if let Some(encoded) = from_header.or(continuation).filter(|encoded| !encoded.is_empty()) {
        let decoded = codec::decode_continuation(encoded);
        let decoded = decoded.map_err(|error| bad_field(headers::CONTINUATION, error))?;
        return Ok(history::HistorySource::Continuation(Box::new(decoded)));
    }
    match header_text(header_map, headers::HISTORY)? {
        None | Some("full") => Ok(history::HistorySource::Full),
        Some("journal") => Ok(history::HistorySource::Journal),
        Some(_) => Err(bad_field(headers::HISTORY, "the value must be `full` or `journal`")),
    }
}

/// Parses a chat completion request.
///
/// # Errors
///
/// Returns a refusal if the body or a header is invalid.
pub fn chat_completion(
    header_map: &header::HeaderMap,
    request: ids::RequestId,
    body: &[u8],
) -> Result<ParsedRequest, errors::Refusal> {
    let body: chat::Request =
        serde_json::from_slice(body).map_err(|error| bad_field("body", error))?;
    let stream = body.stream;
    if body.max_tokens == Some(0) {
        return Err(bad_field(
            "max_tokens",
            "the value must be greater than 0; omit the field to use the default",
        ));
    }
    let messages: Result<Vec<history::Message>, chat::UnknownRole> =
        body.messages.into_iter().map(history::Message::try_from).collect();
    let work = work::Work::Model {
        model: ids::ModelName::new(body.model),
        max_tokens: body.max_tokens.unwrap_or(0),
        messages: messages.map_err(|error| bad_field("messages", error))?,
    };
    let request = build_request(header_map, request, work, body.continuation.as_deref())?;
    Ok(ParsedRequest { request, stream })
}

/// Parses a service call, where `path` is `{service}/{operation}`.
///
/// # Errors
///
/// Returns a refusal if the body or a header is invalid.
pub fn service_call(
    header_map: &header::HeaderMap,
    request: ids::RequestId,
    path: &str,
    body: &[u8],
) -> Result<ParsedRequest, errors::Refusal> {
    let (service, operation) = path.split_once('/').unwrap_or((path, ""));
    let body =
        str::from_utf8(body).map_err(|_| bad_field("body", "the body is not valid UTF-8"))?;
    let work = work::Work::Service {
        service: ids::ServiceName::new(service),
        operation: operation.to_owned(),
        body: body.to_owned(),
    };
    let request = build_request(header_map, request, work, None)?;
    Ok(ParsedRequest { request, stream: false })
}

/// Parses a request to end the program whose id is `path`.
///
/// # Errors
///
/// Returns a refusal if the id or a header is invalid.
pub fn end_program(
    header_map: &header::HeaderMap,
    request: ids::RequestId,
    path: &str,
) -> Result<ParsedRequest, errors::Refusal> {
    let program = path.parse().map_err(|error| bad_field("program", error))?;
    let mut request = build_request(header_map, request, work::Work::EndProgram, None)?;
    request.program = Some(program);
    request.conversation = None;
    Ok(ParsedRequest { request, stream: false })
}
