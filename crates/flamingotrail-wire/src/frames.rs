//! Frames on the streams of a link between two instances.

use crate::ids;
use crate::messages;

/// Maximum size of a frame in bytes.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// A frame on a stream.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Frame {
    /// A message for the control thread.
    Control(messages::Envelope),
    /// Text of a running attempt; forwarded without passing through the control thread.
    Text(TextChunk),
}

/// A chunk of the text that a running attempt generates.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct TextChunk {
    /// The attempt; set from the endpoint's instance to the owner.
    pub attempt: Option<ids::AttemptId>,
    /// The request; set from the owner to the entry instance.
    pub request: Option<ids::RequestId>,
    /// Offset of the chunk in the complete text, in bytes.
    pub at: u64,
    /// Text of the chunk.
    pub text: String,
}

/// The first frame of every stream; identifies the sender.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Hello {
    /// Instance name of the sender.
    pub instance: ids::Name,
    /// Address on which the sender accepts links.
    pub address: String,
}
