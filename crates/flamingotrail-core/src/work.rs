//! The operation that a call requests, and its outcome.

use crate::errors;
use crate::history;
use crate::ids;

/// Cost in the deployment's cost units.
pub type Cost = u64;

/// The operation that a call requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Work {
    /// A model call.
    Model {
        /// The model.
        model: ids::ModelName,
        /// Maximum number of tokens to generate.
        max_tokens: u32,
        /// The whole conversation or only the messages since the last response, depending on the
        /// [history source](history::HistorySource).
        messages: Vec<history::Message>,
    },
    /// A call to a plain service.
    Service {
        /// The service.
        service: ids::ServiceName,
        /// Operation: the path below the service's base address.
        operation: String,
        /// Request body, passed through unchanged.
        body: String,
    },
    /// Ends the program with all its conversations, and releases its cached context.
    EndProgram,
}

impl Work {
    /// Size of the texts, in bytes.
    pub fn text_bytes(&self) -> usize {
        self.bytes_of(|messages| messages)
    }

    /// Size of the texts that are new in this call, in bytes: those after the last response.
    pub fn new_text_bytes(&self) -> usize {
        self.bytes_of(|messages| {
            let is_response = |message: &history::Message| message.role == history::Role::Assistant;
            let first = messages.iter().rposition(is_response).map_or(0, |index| index + 1);
            &messages[first..]
        })
    }

    fn bytes_of(&self, select: impl Fn(&[history::Message]) -> &[history::Message]) -> usize {
        match self {
            Work::Model { messages, .. } => {
                select(messages).iter().map(|message| message.content.len()).sum()
            }
            Work::Service { body, .. } => body.len(),
            Work::EndProgram => 0,
        }
    }

    /// Returns a digest of the content that is independent of the program that sends it.
    pub fn fingerprint(&self) -> crate::digest::Digest {
        let hasher = crate::digest::Hasher::new("fingerprint");
        match self {
            Work::Model { model, messages, .. } => {
                let mut hasher = hasher.with_bytes(model.as_str().as_bytes());
                // The newest message identifies the request; earlier messages have already run.
                if let Some(last) = messages.last() {
                    hasher.add(last.content.as_bytes());
                }
                hasher.finish()
            }
            Work::Service { service, operation, body } => hasher
                .with_bytes(service.as_str().as_bytes())
                .with_bytes(operation.as_bytes())
                .with_bytes(body.as_bytes())
                .finish(),
            Work::EndProgram => hasher.finish(),
        }
    }
}

/// Token usage of one attempt, as reported by the endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Number of prompt tokens found in the engine's cache.
    pub cached_tokens: u32,
    /// Number of generated tokens.
    pub completion_tokens: u32,
}

/// Why a complete response ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinishReason {
    /// The engine or service finished.
    Stop,
    /// The call's token limit was reached.
    Length,
    /// The program's budget was used up.
    Budget,
}

/// A complete response of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// Generated text, or the body of a service's response.
    pub text: String,
    /// HTTP status code of a service's response; 200 for models.
    pub status: u16,
    /// Token usage.
    pub usage: Usage,
    /// Why the response ended.
    pub finish: FinishReason,
}

/// Outcome of a call. Every call ends in exactly one of these.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The call ran and got a complete response.
    Done(Response),
    /// No byte of the call reached an endpoint, or the endpoint itself refused it; safe to retry.
    NotRun(errors::Refusal),
    /// The call may or may not have run.
    Unknown(errors::UnknownReason),
}

impl Outcome {
    /// Returns the stable identifier used in logs, metrics and on the wire.
    pub fn kind(&self) -> &'static str {
        match self {
            Outcome::Done(_) => "done",
            Outcome::NotRun(_) => "not_run",
            Outcome::Unknown(_) => "unknown",
        }
    }
}

/// Outcome of one attempt at an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The endpoint returned a complete response.
    Answered(Response),
    /// The attempt certainly did not run.
    NotRun(errors::Refusal),
    /// The attempt failed after it may have started; the text generated so far is kept.
    Broken {
        /// Text generated before the failure.
        partial: String,
        /// Whether the endpoint itself crashed.
        endpoint_crashed: bool,
    },
}
