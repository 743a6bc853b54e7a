//! Chat completions in the format of the OpenAI API, as callers and engines use it.

use flamingotrail_core::history;
use flamingotrail_core::work;

/// A chat completion request.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Request {
    /// Name of the model.
    pub model: String,
    /// Messages of the conversation.
    pub messages: Vec<ChatMessage>,
    /// Maximum number of tokens to generate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// Whether to stream the response as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Tells an engine to continue the last message instead of starting a new one.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub continue_final_message: bool,
    /// Continuation, if the caller sends it in the body instead of a header.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub continuation: Option<String>,
}

/// A chat message.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ChatMessage {
    /// Author of the message: `system`, `user`, `assistant` or `tool`.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

/// The role of a message is not supported.
#[derive(Clone, Debug, thiserror::Error, PartialEq, Eq)]
#[error("unknown role `{0}`; use system, user, assistant or tool")]
pub struct UnknownRole(pub String);

impl From<&history::Message> for ChatMessage {
    fn from(message: &history::Message) -> Self {
        ChatMessage { role: message.role.as_str().to_owned(), content: message.content.clone() }
    }
}

impl TryFrom<ChatMessage> for history::Message {
    type Error = UnknownRole;

    fn try_from(message: ChatMessage) -> Result<Self, UnknownRole> {
        let roles = [
            history::Role::System,
            history::Role::User,
            history::Role::Assistant,
            history::Role::Tool,
        ];
        let role = roles.into_iter().find(|role| role.as_str() == message.role);
        let role = role.ok_or(UnknownRole(message.role))?;
        Ok(history::Message::new(role, message.content))
    }
}

/// A response that is not streamed.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Response {
    /// Id of the response.
    #[serde(default)]
    pub id: String,
    /// Object type, `chat.completion`.
    #[serde(default)]
    pub object: String,
    /// Name of the model.
    #[serde(default)]
    pub model: String,
    /// The choices; responses have exactly one.
    pub choices: Vec<Choice>,
    /// Token usage.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<ChatUsage>,
    /// Status of the call.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub flamingotrail: Option<Status>,
}

/// A choice of a response.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Choice {
    /// Index of the choice, always 0.
    pub index: u32,
    /// The generated message.
    pub message: ChatMessage,
    /// Reason why generation ended: `stop`, `length` or `budget`.
    pub finish_reason: Option<String>,
}

/// A chunk of a streamed response.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Chunk {
    /// Object type, `chat.completion.chunk`.
    #[serde(default)]
    pub object: String,
    /// The choices: exactly one, or none in the last chunk.
    #[serde(default)]
    pub choices: Vec<ChunkChoice>,
    /// Token usage, in the last chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<ChatUsage>,
    /// Status of the call, in the last chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub flamingotrail: Option<Status>,
}

/// A choice of a chunk.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ChunkChoice {
    /// Index of the choice, always 0.
    pub index: u32,
    /// Text that the chunk adds.
    pub delta: Delta,
    /// Reason why generation ended; set in the last chunk that has a choice.
    #[serde(default)]
    pub finish_reason: Option<String>,
}

/// The part of a message that a chunk adds.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Delta {
    /// Text to append to the message.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// Token usage of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ChatUsage {
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Number of generated tokens.
    pub completion_tokens: u32,
    /// Sum of prompt and generated tokens.
    pub total_tokens: u32,
    /// Number of prompt tokens found in the engine's cache.
    #[serde(default)]
    pub cached_tokens: u32,
}

impl From<work::Usage> for ChatUsage {
    fn from(usage: work::Usage) -> Self {
        ChatUsage {
            prompt_tokens: usage.prompt_tokens,
            completion_tokens: usage.completion_tokens,
            total_tokens: usage.prompt_tokens.saturating_add(usage.completion_tokens),
            cached_tokens: usage.cached_tokens,
        }
    }
}

impl From<ChatUsage> for work::Usage {
    fn from(usage: ChatUsage) -> Self {
        work::Usage {
            prompt_tokens: usage.prompt_tokens,
            cached_tokens: usage.cached_tokens,
            completion_tokens: usage.completion_tokens,
        }
    }
}

/// Status of a call, an extension of the response format.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Status {
    /// Outcome: `done`, `not_run` or `unknown`.
    pub outcome: String,
    /// Identifier of the reason, if the outcome is not `done`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
    /// Error message that tells how to resolve the problem, if the outcome is not `done`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub message: Option<String>,
    /// Id of the program.
    pub program: String,
    /// Id of the conversation.
    pub conversation: String,
    /// Turn number that the call used; 0 if it used none.
    pub turn: u32,
    /// Number of attempts made.
    pub attempts: u32,
    /// Continuation for the caller's next call.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub continuation: Option<String>,
}

/// An error response.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ErrorResponse {
    /// The error.
    pub error: ErrorBody,
    /// Status of the call.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub flamingotrail: Option<Status>,
}

/// Details of an error.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ErrorBody {
    /// Error message that tells how to resolve the problem.
    pub message: String,
    /// Stable identifier of the error.
    #[serde(rename = "type")]
    pub kind: String,
}

/// Returns the `finish_reason` for a response.
pub fn finish_reason(finish: work::FinishReason) -> &'static str {
    match finish {
        work::FinishReason::Stop => "stop",
        work::FinishReason::Length => "length",
        work::FinishReason::Budget => "budget",
    }
}
