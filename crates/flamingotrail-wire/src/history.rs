//! Histories on the wire.

use flamingotrail_core::history;

use crate::ids;
use crate::work;

wire_enum!(
    /// Who wrote a message.
    Role, history::Role { System, User, Assistant, Tool, }
);
wire_struct!(
    /// A message of a chat.
    Message, history::Message { role: one Role, content: one String, }
);
wire_enum!(
    /// What a turn was.
    TurnKind, history::TurnKind { Model, Service { status: one u16, }, Doubtful, }
);
wire_struct!(
    /// A finished turn.
    TurnRecord, history::TurnRecord {
        turn: one u32,
        since: one u32,
        kind: one TurnKind,
        request: one ids::Digest,
        input: many Message,
        output: one String,
        finish: one work::FinishReason,
        usage: one work::Usage,
    }
);
wire_struct!(
    /// A continuation.
    Continuation, history::Continuation {
        conversation: one ids::ConversationId,
        program: one ids::ProgramId,
        root: one ids::ProgramId,
        workspace: one ids::Name,
        turn: one u32,
        digest: one ids::Digest,
        epoch: one ids::Number,
        journaled: one u32,
        tail: many TurnRecord,
        code: one ids::Digest,
    }
);
wire_enum!(
    /// Where earlier turns come from.
    HistorySource, history::HistorySource {
        Continuation(continuation: boxed Continuation),
        Full,
        Journal,
    }
);
