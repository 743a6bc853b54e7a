//! Records of the log. Each gateway applies the records of a partition in their order.

use bytes::Bytes;

use crate::ids;

/// One record.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// A turn asks for its part of the program's budget; stands in the program's partition.
    Start(Start),
    /// A turn has ended whole; stands in the turn's partition.
    End(End),
    /// Turns are over, whether they count or not; stands in the program's partition.
    Settle(Settle),
}

/// What a turn that is over has used of its program's budget.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settled {
    /// The turn.
    pub turn: ids::TurnId,
    /// Tokens that reached the caller.
    pub tokens: u64,
}

/// A turn asks for its part of the program's budget.
#[derive(Clone, Debug, PartialEq)]
pub struct Start {
    /// The turn.
    pub turn: ids::TurnId,
    /// Its program.
    pub program: ids::ProgramId,
    /// Tokens that the turn generates at most.
    pub max_tokens: u64,
    /// Tokens that the whole program may generate.
    pub budget: u64,
    /// Turns of the program that are over; taken before the start.
    pub settled: Vec<Settled>,
}

/// A turn has ended whole.
#[derive(Clone, Debug, PartialEq)]
pub struct End {
    /// The turn.
    pub turn: ids::TurnId,
    /// Its program.
    pub program: ids::ProgramId,
    /// The turn that it continues.
    pub previous: Option<ids::TurnId>,
    /// Tokens that it generated.
    pub tokens: u64,
    /// Endpoint that ran it and has its context cached.
    pub endpoint: ids::EndpointId,
    /// New input of the turn.
    pub input: Bytes,
    /// Data of its events, each followed by a line feed.
    pub output: Bytes,
}

/// Turns are over.
#[derive(Clone, Debug, PartialEq)]
pub struct Settle {
    /// Their program.
    pub program: ids::ProgramId,
    /// The turns.
    pub settled: Vec<Settled>,
}

impl Record {
    /// Bytes that the record's texts take.
    pub fn text_bytes(&self) -> usize {
        match self {
            Record::Start(_) | Record::Settle(_) => 0,
            Record::End(end) => end.input.len() + end.output.len(),
        }
    }
}
