//! Records of the log. Every gateway applies the records of a partition in log order.

use std::time;

use bytes::Bytes;

use crate::ids;

/// A record of the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// Requests an allowance; stored in the program's partition.
    Start(Start),
    /// Stores a completed turn; stored in the turn's partition.
    End(End),
    /// Stores a part of the texts of a turn that is too long for one record; stored in the turn's
    /// partition.
    Part(Part),
    /// Stores a completed turn whose texts are in `Part` records; stored in the turn's partition.
    LongEnd(LongEnd),
    /// Settles closed allowances; stored in the program's partition.
    Settle(Settle),
}

/// What a closed allowance has used of its program's budget.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettledAllowance {
    /// Turn for which the allowance was requested; identifies the allowance.
    pub turn: ids::TurnId,
    /// Number of tokens that were delivered to callers.
    pub tokens: u64,
}

/// An allowance that was granted and is not settled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenAllowance {
    /// Turn for which the allowance was requested; identifies the allowance.
    pub turn: ids::TurnId,
    /// Granted size in tokens.
    pub tokens: u64,
}

/// A gateway's request for an allowance: a part of a program's budget that is reserved for the
/// turns that this gateway runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Start {
    /// Turn for which the allowance is requested; identifies the allowance.
    pub turn: ids::TurnId,
    /// Program that the budget belongs to.
    pub program: ids::ProgramId,
    /// Minimum size of the allowance, in tokens.
    pub min_tokens: u64,
    /// Size of the allowance if the budget has room for it, in tokens.
    pub desired_tokens: u64,
    /// Maximum number of tokens that the whole program may generate.
    pub budget: u64,
    /// Closed allowances of the program; settled before the new allowance is granted.
    pub settled: Vec<SettledAllowance>,
    /// Time since the record was stored, as far as known.
    pub age: time::Duration,
}

/// A completed turn.
#[derive(Clone, Debug, PartialEq)]
pub struct End {
    /// Id of the turn.
    pub turn: ids::TurnId,
    /// Turn that it continues.
    pub previous: Option<ids::TurnId>,
    /// Endpoint that ran the turn and has its context cached.
    pub endpoint: ids::EndpointId,
    /// Input that the turn adds to those that it continues.
    pub input: Bytes,
    /// Data of the turn's events, each followed by a line feed.
    pub output: Bytes,
    /// Time since the record was stored, as far as known.
    pub age: time::Duration,
}

/// A part of the texts of a long turn: of its input, followed by its output.
#[derive(Clone, Debug, PartialEq)]
pub struct Part {
    /// Id of the turn.
    pub turn: ids::TurnId,
    /// Position among the turn's parts, from 0.
    pub number: u32,
    /// The text.
    pub text: Bytes,
}

/// A completed turn whose texts are in parts. Its parts may be stored before or after it.
#[derive(Clone, Debug, PartialEq)]
pub struct LongEnd {
    /// The turn, without its texts.
    pub end: End,
    /// Size of the input in bytes.
    pub input_bytes: u64,
    /// Number of parts.
    pub parts: u32,
}

impl LongEnd {
    /// Joins the texts of all `parts`, in order, to the turn's record.
    pub fn join(&self, parts: &[Bytes]) -> End {
        let mut input = Bytes::from(parts.concat());
        let input_bytes = usize::try_from(self.input_bytes).unwrap_or(usize::MAX);
        let output = input.split_off(input_bytes.min(input.len()));
        End { input, output, ..self.end.clone() }
    }
}

impl End {
    /// Splits the record of a turn into parts of at most `max_bytes` and a record without texts.
    pub fn split(&self, max_bytes: usize) -> (Vec<Part>, LongEnd) {
        let texts = Bytes::from([&self.input[..], &self.output[..]].concat());
        let chunks = texts.chunks(max_bytes.max(1)).map(|chunk| texts.slice_ref(chunk));
        let parts: Vec<Part> = (0..)
            .zip(chunks)
            .map(|(number, text)| Part { turn: self.turn.clone(), number, text })
            .collect();
        let end = End { input: Bytes::new(), output: Bytes::new(), ..self.clone() };
        let count = u32::try_from(parts.len()).unwrap_or(u32::MAX);
        (parts, LongEnd { end, input_bytes: self.input.len() as u64, parts: count })
    }
}

/// Settles closed allowances of a program, or carries along its allowances whose records the log will
/// soon drop.
#[derive(Clone, Debug, PartialEq)]
pub struct Settle {
    /// Program that the allowances belong to.
    pub program: ids::ProgramId,
    /// Allowances to settle, or that are settled.
    pub settled: Vec<SettledAllowance>,
    /// Allowances that were granted and are not settled.
    pub open: Vec<OpenAllowance>,
    /// Time since the record was stored, as far as known.
    pub age: time::Duration,
}

/// Identifies a record; all copies of a record in the log have the same key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Key {
    /// A `Start` record, by the turn for which it requests the allowance.
    Start(ids::TurnId),
    /// An `End` or `LongEnd` record, by its turn.
    End(ids::TurnId),
    /// A `Part` record, by its turn and its number.
    Part(ids::TurnId, u32),
    /// A `Settle` record, by the first of its allowances.
    Settle(ids::TurnId),
}

impl Record {
    /// Returns the record's key; `None` for a `Settle` record without allowances.
    pub fn key(&self) -> Option<Key> {
        match self {
            Record::Start(start) => Some(Key::Start(start.turn.clone())),
            Record::End(end) => Some(Key::End(end.turn.clone())),
            Record::LongEnd(long) => Some(Key::End(long.end.turn.clone())),
            Record::Part(part) => Some(Key::Part(part.turn.clone(), part.number)),
            Record::Settle(settle) => {
                let settled = settle.settled.iter().map(|settled| &settled.turn);
                let mut turns = settled.chain(settle.open.iter().map(|open| &open.turn));
                turns.next().cloned().map(Key::Settle)
            }
        }
    }

    /// Returns the record's partition, out of `count`.
    pub fn partition(&self, count: u16) -> ids::Partition {
        match self {
            Record::Start(start) => ids::Partition::of_program(&start.program, count),
            Record::End(end) => ids::Partition::of_turn(&end.turn, count),
            Record::LongEnd(long) => ids::Partition::of_turn(&long.end.turn, count),
            Record::Part(part) => ids::Partition::of_turn(&part.turn, count),
            Record::Settle(settle) => ids::Partition::of_program(&settle.program, count),
        }
    }

    /// Returns the size of the record's texts in bytes.
    pub fn text_bytes(&self) -> usize {
        match self {
            Record::Start(_) | Record::Settle(_) | Record::LongEnd(_) => 0,
            Record::Part(part) => part.text.len(),
            Record::End(end) => end.input.len() + end.output.len(),
        }
    }
}
