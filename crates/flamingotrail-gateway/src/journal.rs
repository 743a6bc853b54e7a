//! Records of the log. Each gateway applies the records of a partition in their order.

use bytes::Bytes;

use crate::ids;

/// One record.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// A turn asks for its part of the program's budget.
    Start(Start),
    /// A turn has ended whole.
    End(End),
    /// A turn is over and does not count; its unused part of the budget is free again.
    Void(Void),
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

/// A turn is over and does not count.
#[derive(Clone, Debug, PartialEq)]
pub struct Void {
    /// The turn.
    pub turn: ids::TurnId,
    /// Its program.
    pub program: ids::ProgramId,
    /// Tokens that reached the caller all the same.
    pub tokens: u64,
}

impl Record {
    /// Bytes that the record's texts take.
    pub fn text_bytes(&self) -> usize {
        match self {
            Record::Start(_) | Record::Void(_) => 0,
            Record::End(end) => end.input.len() + end.output.len(),
        }
    }
}
