//! Records of the log. Each gateway applies the records of a partition in their order.

use bytes::Bytes;

use crate::ids;

/// One record.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// A process asks for an allowance; stands in the program's partition.
    Start(Start),
    /// A turn has ended whole; stands in the turn's partition.
    End(End),
    /// Allowances are over; stands in the program's partition.
    Settle(Settle),
}

/// What an allowance that is over has used of its program's budget.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettledAllowance {
    /// The turn for which the allowance was asked.
    pub turn: ids::TurnId,
    /// Tokens that reached callers.
    pub tokens: u64,
}

/// A process asks for an allowance: a part of a program's budget on which its turns draw.
#[derive(Clone, Debug, PartialEq)]
pub struct Start {
    /// The turn for which it is asked; it names the allowance.
    pub turn: ids::TurnId,
    /// Its program.
    pub program: ids::ProgramId,
    /// Tokens that the allowance needs at least.
    pub min_tokens: u64,
    /// Tokens that it is to have where there is room.
    pub desired_tokens: u64,
    /// Tokens that the whole program may generate.
    pub budget: u64,
    /// Allowances of the program that are over; taken before the new one.
    pub settled: Vec<SettledAllowance>,
}

/// A turn has ended whole.
#[derive(Clone, Debug, PartialEq)]
pub struct End {
    /// The turn.
    pub turn: ids::TurnId,
    /// The turn that it continues.
    pub previous: Option<ids::TurnId>,
    /// Endpoint that ran it and has its context cached.
    pub endpoint: ids::EndpointId,
    /// New input of the turn.
    pub input: Bytes,
    /// Data of its events, each followed by a line feed.
    pub output: Bytes,
}

/// Allowances are over.
#[derive(Clone, Debug, PartialEq)]
pub struct Settle {
    /// Their program.
    pub program: ids::ProgramId,
    /// The allowances.
    pub settled: Vec<SettledAllowance>,
}

/// Name of a record that is the same in all its copies.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Key {
    /// The start of an allowance.
    Start(ids::TurnId),
    /// The end of a turn.
    End(ids::TurnId),
    /// Allowances that are over, by the first of them.
    Settle(ids::TurnId),
}

impl Record {
    /// The record's name; none where it says nothing.
    pub fn key(&self) -> Option<Key> {
        match self {
            Record::Start(start) => Some(Key::Start(start.turn.clone())),
            Record::End(end) => Some(Key::End(end.turn.clone())),
            Record::Settle(settle) => {
                settle.settled.first().map(|settled| Key::Settle(settled.turn.clone()))
            }
        }
    }

    /// The record's partition, among `count`.
    pub fn partition(&self, count: u16) -> ids::Partition {
        match self {
            Record::Start(start) => ids::Partition::of_program(&start.program, count),
            Record::End(end) => ids::Partition::of_turn(&end.turn, count),
            Record::Settle(settle) => ids::Partition::of_program(&settle.program, count),
        }
    }

    /// Bytes that the record's texts take.
    pub fn text_bytes(&self) -> usize {
        match self {
            Record::Start(_) | Record::Settle(_) => 0,
            Record::End(end) => end.input.len() + end.output.len(),
        }
    }
}
