//! What stands in the streams of the platform's log.

use crate::digest;
use crate::history;
use crate::ids;
use crate::work;

/// Longest text in one record, in bytes; longer turns are split.
pub const MAX_TEXT_BYTES: usize = 64 * 1024;
/// Records of one entry stop at this size, in bytes, so that the log accepts it.
pub const MAX_ENTRY_BYTES: usize = 256 * 1024;

/// One entry of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Marks copies of one append: the first copy in the stream counts.
    pub nonce: ids::Nonce,
    /// Who wrote it.
    pub writer: ids::Peer,
    /// What it says.
    pub body: Body,
}

/// What an entry says; each stream uses its own variants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    /// Partition stream: the writer takes ownership; the entry's offset is the new epoch.
    Claim,
    /// Partition stream: records of the owner with this epoch. Void behind a newer claim.
    Records {
        /// Epoch of the writer.
        epoch: ids::Epoch,
        /// The records, in order.
        records: Vec<Record>,
    },
    /// Endpoint claims of a region: the writer is the process beside the endpoint.
    EndpointClaim {
        /// The endpoint.
        endpoint: ids::EndpointName,
    },
    /// Configuration stream: a new set, based on the version `base`.
    Publication {
        /// Version that the set was based on.
        base: ids::ConfigVersion,
        /// Who published it.
        author: String,
        /// The set's text.
        source: String,
    },
    /// Configuration stream: an accepted set, carried forward unchanged before the log forgets it.
    Carry {
        /// Its version.
        version: ids::ConfigVersion,
        /// The set's text.
        source: String,
    },
    /// Suspects of a region: what is known of content that was in flight when an endpoint crashed.
    Suspects {
        /// One notice for each fingerprint.
        notices: Vec<SuspectNotice>,
    },
}

/// What is known of one content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspectNotice {
    /// Fingerprint of the content.
    pub fingerprint: digest::Digest,
    /// What was seen.
    pub verdict: Verdict,
}

/// Standing of a content that was in flight when an endpoint crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// Ran to its end alone.
    Cleared,
    /// Was in flight when an endpoint crashed.
    Suspected,
    /// Ran alone when an endpoint crashed.
    Convicted,
}

/// One record of a partition's owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// The owner's epoch, carried forward before the log forgets its claim.
    Reassert,
    /// A program's whole row.
    Program(ProgramRecord),
    /// Where a conversation stands, without its turns' texts.
    Conversation {
        /// The conversation.
        conversation: ids::ConversationId,
        /// Its program.
        program: ids::ProgramId,
    },
    /// A piece of a long text of the turn that follows.
    TurnText {
        /// The call.
        call: ids::CallKey,
        /// Which text: 0 is the output, `n` the input message `n - 1`.
        field: u32,
        /// The piece.
        text: String,
    },
    /// A finished turn; pieces of its texts stand before it.
    Turn {
        /// The conversation.
        conversation: ids::ConversationId,
        /// Its program.
        program: ids::ProgramId,
        /// The turn.
        record: history::TurnRecord,
    },
    /// Cost units granted to a root program so far.
    Grant {
        /// The root program.
        root: ids::ProgramId,
        /// Total of all grants.
        granted: work::Cost,
    },
    /// A call that may not be repeated is about to run.
    Intent {
        /// The root program.
        root: ids::ProgramId,
        /// Key of the effect within it.
        key: String,
        /// The call.
        call: ids::CallKey,
        /// Fingerprint of its content.
        fingerprint: digest::Digest,
    },
    /// A call that may not be repeated has ended.
    Effect {
        /// The root program.
        root: ids::ProgramId,
        /// Key of the effect within it.
        key: String,
        /// How it ended.
        end: EffectOutcome,
    },
    /// A program has ended.
    Ended {
        /// The program; sub-agents' programs end with their root.
        program: ids::ProgramId,
    },
}

/// How a call that may not be repeated ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EffectOutcome {
    /// It ran; its answer.
    Done {
        /// Status of the service's answer.
        status: u16,
        /// Body of the service's answer.
        text: String,
    },
    /// It surely did not run: the intent is withdrawn.
    NotRun,
    /// It may have run.
    Unknown,
}

/// A program as it stands in the journal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProgramRecord {
    /// The program.
    pub program: ids::ProgramId,
    /// Its root program; itself for a root.
    pub root: ids::ProgramId,
    /// Its workspace.
    pub workspace: ids::WorkspaceName,
    /// Cost units granted so far; 0 for a sub-agent's program.
    pub granted: work::Cost,
    /// Cost units surely left of the grant; set only by an owner with nothing in flight.
    pub unspent: work::Cost,
    /// Turns taken by the whole tree.
    pub turns: u32,
    /// Service attained by the whole tree, in cost units.
    pub attained: work::Cost,
}

/// Splits a turn into records whose texts are no longer than [`MAX_TEXT_BYTES`].
pub fn split_turn(
    conversation: &ids::ConversationId,
    program: &ids::ProgramId,
    record: &history::TurnRecord,
) -> Vec<Record> {
    let mut records = Vec::new();
    let mut short = record.clone();
    let call = ids::CallKey { conversation: conversation.clone(), turn: record.turn };
    let mut cut = |field: u32, text: &mut String| {
        if text.len() <= MAX_TEXT_BYTES {
            return;
        }
        for piece in split_text(text) {
            let text = piece.to_owned();
            records.push(Record::TurnText { call: call.clone(), field, text });
        }
        text.clear();
    };
    cut(0, &mut short.output);
    for (index, message) in short.input.iter_mut().enumerate() {
        let field = u32::try_from(index + 1).unwrap_or(u32::MAX);
        cut(field, &mut message.content);
    }
    records.push(Record::Turn {
        conversation: conversation.clone(),
        program: program.clone(),
        record: short,
    });
    records
}

fn split_text(text: &str) -> Vec<&str> {
    let mut pieces = Vec::new();
    let mut rest = text;
    while rest.len() > MAX_TEXT_BYTES {
        let mut end = MAX_TEXT_BYTES;
        while !rest.is_char_boundary(end) {
            end -= 1;
        }
        let (piece, tail) = rest.split_at(end);
        pieces.push(piece);
        rest = tail;
    }
    pieces.push(rest);
    pieces
}

impl Record {
    /// Approximate size in the log, in bytes.
    pub fn approximate_bytes(&self) -> usize {
        const FIXED_BYTES: usize = 160;
        let texts = match self {
            Record::TurnText { text, .. } => text.len(),
            Record::Turn { record, .. } => {
                let input: usize = record.input.iter().map(|m| m.content.len() + 16).sum();
                input + record.output.len()
            }
            Record::Effect { end: EffectOutcome::Done { text, .. }, .. } => text.len(),
            Record::Intent { key, .. } => key.len(),
            _ => 0,
        };
        FIXED_BYTES + texts
    }
}
