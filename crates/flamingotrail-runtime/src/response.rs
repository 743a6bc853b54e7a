//! Builds the HTTP responses to callers.

use actix_http::body;
use actix_http::header;
use actix_http::Response;
use actix_http::StatusCode;
use flamingotrail_core::errors;
use flamingotrail_core::ids;
use flamingotrail_core::messages;
use flamingotrail_core::work;
use flamingotrail_wire::chat;
use flamingotrail_wire::codec;
use flamingotrail_wire::headers;

/// Ids under which a request was admitted; empty for a request that was not.
#[derive(Clone, Debug, Default)]
pub struct RequestIds {
    /// The program.
    pub program: Option<ids::ProgramId>,
    /// The conversation.
    pub conversation: Option<ids::ConversationId>,
}

/// A complete or streamed response.
pub type BoxedResponse = Response<body::BoxBody>;

/// Returns the HTTP status of a refusal.
pub fn http_status(refusal: &errors::Refusal) -> StatusCode {
    match refusal {
        errors::Refusal::UnknownKey => StatusCode::UNAUTHORIZED,
        errors::Refusal::BadField { .. }
        | errors::Refusal::TurnNeeded
        | errors::Refusal::EndpointRefused { .. } => StatusCode::BAD_REQUEST,
        errors::Refusal::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
        errors::Refusal::UnknownModel(_)
        | errors::Refusal::UnknownService(_)
        | errors::Refusal::UnknownProgram(_) => StatusCode::NOT_FOUND,
        errors::Refusal::ForeignProgram(_) | errors::Refusal::BadContinuation(_) => {
            StatusCode::FORBIDDEN
        }
        errors::Refusal::ProgramEnded(_) => StatusCode::GONE,
        errors::Refusal::TurnTaken { .. }
        | errors::Refusal::KeyReused { .. }
        | errors::Refusal::HistoryContradicts(_)
        | errors::Refusal::HistoryIncomplete(_)
        | errors::Refusal::TurnMissing { .. } => StatusCode::CONFLICT,
        errors::Refusal::BudgetSpent { .. } | errors::Refusal::TurnLimit { .. } => {
            StatusCode::PAYMENT_REQUIRED
        }
        errors::Refusal::Overloaded { .. } => StatusCode::TOO_MANY_REQUESTS,
        errors::Refusal::Quarantined => StatusCode::UNPROCESSABLE_ENTITY,
        errors::Refusal::DeadlinePassed => StatusCode::REQUEST_TIMEOUT,
        errors::Refusal::NoConfiguration
        | errors::Refusal::NoEndpoint(_)
        | errors::Refusal::LogUnavailable { .. }
        | errors::Refusal::NoOwner { .. }
        | errors::Refusal::Draining
        | errors::Refusal::Cancelled => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Builds the status of a call, which accompanies its result in the response.
pub fn call_status(ids: &RequestIds, reply: &messages::Reply) -> chat::Status {
    let (reason, message) = match &reply.outcome {
        work::Outcome::Done(_) => (None, None),
        work::Outcome::NotRun(refusal) => (Some(refusal.kind()), Some(refusal.to_string())),
        work::Outcome::Unknown(reason) => (Some(reason.kind()), Some(reason.to_string())),
    };
    chat::Status {
        outcome: reply.outcome.kind().to_owned(),
        reason: reason.map(str::to_owned),
        message,
        program: ids.program.as_ref().map(ids::ProgramId::to_string).unwrap_or_default(),
        conversation: ids
            .conversation
            .as_ref()
            .map(ids::ConversationId::to_string)
            .unwrap_or_default(),
        turn: reply.turn,
        attempts: reply.attempts,
        continuation: reply.continuation.as_ref().map(codec::encode_continuation),
    }
}

/// Builds the response for a refusal that did not come from the call's owner.
pub fn refusal(ids: &RequestIds, refusal: errors::Refusal) -> BoxedResponse {
    let request = ids::RequestId::default();
    let outcome = work::Outcome::NotRun(refusal);
    let reply =
        messages::Reply { request, hop: 0, turn: 0, attempts: 0, outcome, continuation: None };
    complete(ids, &reply, "", true)
}

/// Builds a complete response: a chat completion, the service's own body, or an error.
pub fn complete(
    ids: &RequestIds,
    reply: &messages::Reply,
    model: &str,
    is_chat: bool,
) -> BoxedResponse {
    let status = call_status(ids, reply);
    let response = match &reply.outcome {
        work::Outcome::Done(response) => response,
        work::Outcome::NotRun(refusal) => {
            return error_response(http_status(refusal), refusal.retry_after(), status)
        }
        work::Outcome::Unknown(_) => return error_response(StatusCode::BAD_GATEWAY, None, status),
    };
    if !is_chat {
        let code = StatusCode::from_u16(response.status).unwrap_or(StatusCode::OK);
        let mut builder = Response::build(code);
        builder.insert_header((header::CONTENT_TYPE, "application/json"));
        add_headers(&mut builder, &status);
        return builder.body(response.text.clone()).map_into_boxed_body();
    }
    let mut builder = Response::build(StatusCode::OK);
    builder.insert_header((header::CONTENT_TYPE, "application/json"));
    add_headers(&mut builder, &status);
    let body = chat::Response {
        id: format!("{}/{}", status.conversation, status.turn),
        object: "chat.completion".to_owned(),
        model: model.to_owned(),
        choices: vec![chat::Choice {
            index: 0,
            message: chat::ChatMessage {
                role: "assistant".to_owned(),
                content: response.text.clone(),
            },
            finish_reason: Some(chat::finish_reason(response.finish).to_owned()),
        }],
        usage: Some(response.usage.into()),
        flamingotrail: Some(status),
    };
    builder.body(to_json(&body)).map_into_boxed_body()
}

fn error_response(
    code: StatusCode,
    retry_after: Option<std::time::Duration>,
    status: chat::Status,
) -> BoxedResponse {
    let mut builder = Response::build(code);
    builder.insert_header((header::CONTENT_TYPE, "application/json"));
    if let Some(wait) = retry_after {
        let seconds = wait.as_secs_f64().ceil().to_string();
        builder.insert_header((header::RETRY_AFTER, seconds));
    }
    add_headers(&mut builder, &status);
    let body = chat::ErrorResponse {
        error: chat::ErrorBody {
            message: status.message.clone().unwrap_or_default(),
            kind: status.reason.clone().unwrap_or_default(),
        },
        flamingotrail: Some(status),
    };
    builder.body(to_json(&body)).map_into_boxed_body()
}

/// Maximum length in bytes of a continuation that is also sent in a header.
const MAX_CONTINUATION_HEADER_BYTES: usize = 6 * 1024;

fn add_headers(builder: &mut actix_http::ResponseBuilder, status: &chat::Status) {
    builder.insert_header((headers::OUTCOME, status.outcome.as_str()));
    builder.insert_header((headers::PROGRAM, status.program.as_str()));
    builder.insert_header((headers::CONVERSATION, status.conversation.as_str()));
    builder.insert_header((headers::TURN, status.turn.to_string()));
    builder.insert_header((headers::ATTEMPTS, status.attempts.to_string()));
    if let Some(reason) = &status.reason {
        builder.insert_header((headers::REASON, reason.as_str()));
    }
    if let Some(continuation) =
        status.continuation.as_ref().filter(|c| c.len() <= MAX_CONTINUATION_HEADER_BYTES)
    {
        builder.insert_header((headers::CONTINUATION, continuation.as_str()));
    }
}

/// Serializes a value as JSON.
pub fn to_json<T: serde::Serialize>(value: &T) -> String {
    // The serialized types have string keys only, so serialization doesn't fail.
    serde_json::to_string(value).unwrap_or_default()
}

/// Builds a server-sent event.
pub fn sse_event(data: &str) -> bytes::Bytes {
    bytes::Bytes::from(format!("data: {data}\n\n"))
}

/// Builds the event for a chunk of a streamed response.
pub fn text_event(text: &str) -> bytes::Bytes {
    let chunk = chat::Chunk {
        object: "chat.completion.chunk".to_owned(),
        choices: vec![chat::ChunkChoice {
            index: 0,
            delta: chat::Delta { content: Some(text.to_owned()) },
            finish_reason: None,
        }],
        usage: None,
        flamingotrail: None,
    };
    sse_event(&to_json(&chunk))
}

/// Builds the final events of a streamed response: the text after `delivered`, the outcome and the
/// end marker.
pub fn final_events(
    ids: &RequestIds,
    reply: &messages::Reply,
    delivered: &str,
) -> Vec<bytes::Bytes> {
    let mut status = call_status(ids, reply);
    let mut events = Vec::new();
    let mut finish_reason = None;
    let mut usage = None;
    if let work::Outcome::Done(response) = &reply.outcome {
        match response.text.strip_prefix(delivered) {
            Some("") => {}
            Some(rest) => events.push(text_event(rest)),
            None => {
                // The streamed text is not a prefix of the response, so the caller must not rely on
                // it.
                status.outcome = "unknown".to_owned();
                status.reason = Some("stream_contradicts".to_owned());
                status.message = Some(
                    "the streamed text differs from the response; request the turn again"
                        .to_owned(),
                );
            }
        }
        finish_reason = Some(chat::finish_reason(response.finish).to_owned());
        usage = Some(response.usage.into());
    }
    let last = chat::Chunk {
        object: "chat.completion.chunk".to_owned(),
        choices: vec![chat::ChunkChoice { index: 0, delta: chat::Delta::default(), finish_reason }],
        usage,
        flamingotrail: Some(status),
    };
    events.push(sse_event(&to_json(&last)));
    events.push(sse_event("[DONE]"));
    events
}
