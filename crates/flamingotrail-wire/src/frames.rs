//! What one stream of a link between two processes carries.

use crate::ids;
use crate::messages;

/// Largest frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// One frame.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Frame {
    /// A message for the control state.
    Control(messages::Envelope),
    /// Text of a running attempt; never passes the control state.
    Text(TextChunk),
}

/// A piece of the text of a running attempt.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct TextChunk {
    /// The attempt, from the process beside the endpoint to the owner.
    pub attempt: Option<ids::AttemptId>,
    /// The request, from the owner to the entry.
    pub request: Option<ids::RequestId>,
    /// Where the piece starts in the whole text, in bytes.
    pub at: u64,
    /// The piece.
    pub text: String,
}

/// The first frame of every stream: who sends.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Hello {
    /// Instance name of the sender.
    pub instance: ids::Name,
    /// Address at which the sender accepts links.
    pub address: String,
}
