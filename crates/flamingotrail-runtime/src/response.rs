//! Writes answers to callers.

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

/// Ids under which a request runs.
#[derive(Clone, Debug, Default)]
pub struct RequestIds {
    /// The program.
    pub program: Option<ids::ProgramId>,
    /// The conversation.
    pub conversation: Option<ids::ConversationId>,
}

/// A response of either kind.
pub type BoxedResponse = Response<body::BoxBody>;

/// HTTP status of a refusal.
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

/// What the system says of a call.
pub fn call_status(ids: &RequestIds, reply: &messages::Reply) -> chat::Status {
    let (reason, message) = match &reply.outcome {
        work::Outcome::Done(_) => (None, None),
        work::Outcome::NotRun(refusal) => (Some(refusal.kind()), Some(refusal.to_string())),
        work::Outcome::Unknown(doubt) => (Some(doubt.kind()), Some(doubt.to_string())),
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

/// A refusal that no owner saw.
pub fn refusal(ids: &RequestIds, refusal: errors::Refusal) -> BoxedResponse {
    let request = ids::RequestId::default();
    let outcome = work::Outcome::NotRun(refusal);
    let reply =
        messages::Reply { request, hop: 0, turn: 0, attempts: 0, outcome, continuation: None };
    complete(ids, &reply, "", true)
}

/// A whole answer: a chat completion, or a service's own body.
pub fn complete(
    ids: &RequestIds,
    reply: &messages::Reply,
    model: &str,
    is_chat: bool,
) -> BoxedResponse {
    let status = call_status(ids, reply);
    let answer = match &reply.outcome {
        work::Outcome::Done(answer) => answer,
        work::Outcome::NotRun(refusal) => {
            return error(http_status(refusal), refusal.retry_after(), status)
        }
        work::Outcome::Unknown(_) => return error(StatusCode::BAD_GATEWAY, None, status),
    };
    if !is_chat {
        let code = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
        let mut response = Response::build(code);
        response.insert_header((header::CONTENT_TYPE, "application/json"));
        add_headers(&mut response, &status);
        return response.body(answer.text.clone()).map_into_boxed_body();
    }
    let mut response = Response::build(StatusCode::OK);
    response.insert_header((header::CONTENT_TYPE, "application/json"));
    add_headers(&mut response, &status);
    let body = chat::Response {
        id: format!("{}/{}", status.conversation, status.turn),
        object: "chat.completion".to_owned(),
        model: model.to_owned(),
        choices: vec![chat::Choice {
            index: 0,
            message: chat::ChatMessage {
                role: "assistant".to_owned(),
                content: answer.text.clone(),
            },
            finish_reason: Some(chat::finish_reason(answer.finish).to_owned()),
        }],
        usage: Some(answer.usage.into()),
        flamingotrail: Some(status),
    };
    response.body(to_json(&body)).map_into_boxed_body()
}

fn error(
    code: StatusCode,
    retry_after: Option<std::time::Duration>,
    status: chat::Status,
) -> BoxedResponse {
    let mut response = Response::build(code);
    response.insert_header((header::CONTENT_TYPE, "application/json"));
    if let Some(wait) = retry_after {
        let seconds = wait.as_secs_f64().ceil().to_string();
        response.insert_header((header::RETRY_AFTER, seconds));
    }
    add_headers(&mut response, &status);
    let body = chat::ErrorResponse {
        error: chat::ErrorBody {
            message: status.message.clone().unwrap_or_default(),
            kind: status.reason.clone().unwrap_or_default(),
        },
        flamingotrail: Some(status),
    };
    response.body(to_json(&body)).map_into_boxed_body()
}

/// Longest continuation that goes into a header as well, in bytes.
const MAX_HEADER_BYTES: usize = 6 * 1024;

fn add_headers(response: &mut actix_http::ResponseBuilder, status: &chat::Status) {
    response.insert_header((headers::OUTCOME, status.outcome.as_str()));
    response.insert_header((headers::PROGRAM, status.program.as_str()));
    response.insert_header((headers::CONVERSATION, status.conversation.as_str()));
    response.insert_header((headers::TURN, status.turn.to_string()));
    response.insert_header((headers::ATTEMPTS, status.attempts.to_string()));
    if let Some(reason) = &status.reason {
        response.insert_header((headers::REASON, reason.as_str()));
    }
    if let Some(carried) = status.continuation.as_ref().filter(|c| c.len() <= MAX_HEADER_BYTES) {
        response.insert_header((headers::CONTINUATION, carried.as_str()));
    }
}

/// Codes a value of our own as JSON.
pub fn to_json<T: serde::Serialize>(value: &T) -> String {
    // Our own types have string keys only, which JSON always takes.
    serde_json::to_string(value).unwrap_or_default()
}

/// One server-sent event.
pub fn sse_event(data: &str) -> bytes::Bytes {
    bytes::Bytes::from(format!("data: {data}\n\n"))
}

/// A piece of a streamed answer.
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

/// The end of a streamed answer: what is left of the text, the outcome, and the mark of the end.
pub fn final_events(
    ids: &RequestIds,
    reply: &messages::Reply,
    delivered: &str,
) -> Vec<bytes::Bytes> {
    let mut status = call_status(ids, reply);
    let mut events = Vec::new();
    let mut finish_reason = None;
    let mut usage = None;
    if let work::Outcome::Done(answer) = &reply.outcome {
        match answer.text.strip_prefix(delivered) {
            Some("") => {}
            Some(rest) => events.push(text_event(rest)),
            None => {
                // What was streamed is not a prefix of the answer: the caller must not trust it.
                status.outcome = "unknown".to_owned();
                status.reason = Some("stream_contradicts".to_owned());
                status.message =
                    Some("the streamed text is not complete; ask for the turn again".to_owned());
            }
        }
        finish_reason = Some(chat::finish_reason(answer.finish).to_owned());
        usage = Some(answer.usage.into());
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
