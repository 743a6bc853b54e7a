//! Conversations of owned partitions and their histories.

use std::collections;

use crate::digest;
use crate::history;
use crate::ids;
use crate::time;

/// Conversations by id.
#[derive(Debug, Default)]
pub struct Conversations {
    /// Rows.
    pub rows: collections::BTreeMap<ids::ConversationId, Conversation>,
    /// Index: conversations of a program.
    pub by_program:
        collections::BTreeMap<ids::ProgramId, collections::BTreeSet<ids::ConversationId>>,
}

/// One conversation.
#[derive(Clone, Debug)]
pub struct Conversation {
    /// Its program.
    pub program: ids::ProgramId,
    /// Finished turns.
    pub turns: collections::BTreeMap<ids::Turn, Past>,
    /// Turns that were read from the log before one that they follow.
    pub early: collections::BTreeMap<ids::Turn, history::TurnRecord>,
    /// Last finished turn.
    pub last: ids::Turn,
    /// Last turn that the journal surely holds.
    pub journaled: ids::Turn,
    /// Calls under way, by turn.
    pub calls: collections::BTreeSet<ids::Turn>,
    /// Where its context was last.
    pub place: Option<Place>,
    /// When the last answer ended, for learning pauses.
    pub answered_at: Option<time::Timestamp>,
}

/// A finished turn with the chained digest after it.
#[derive(Clone, Debug)]
pub struct Past {
    /// The turn.
    pub record: history::TurnRecord,
    /// Chained digest after it.
    pub digest: digest::Digest,
}

/// Where a conversation's context was last.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// The endpoint.
    pub endpoint: ids::EndpointName,
    /// The process beside it.
    pub instance: ids::InstanceName,
    /// The hold on it.
    pub hold: Option<ids::HoldId>,
    /// Tokens of it.
    pub tokens: u32,
    /// When it was used.
    pub at: time::Timestamp,
}

impl Conversation {
    /// A conversation of `program` without turns.
    pub fn new(program: &ids::ProgramId) -> Self {
        Conversation {
            program: program.clone(),
            turns: collections::BTreeMap::new(),
            early: collections::BTreeMap::new(),
            last: 0,
            journaled: 0,
            calls: collections::BTreeSet::new(),
            place: None,
            answered_at: None,
        }
    }

    /// Chained digest after the last turn.
    pub fn digest(&self, id: &ids::ConversationId) -> digest::Digest {
        match self.turns.get(&self.last) {
            Some(past) => past.digest,
            None => history::initial_digest(id),
        }
    }

    /// Adds the turn that follows the last one.
    pub fn push(&mut self, id: &ids::ConversationId, record: history::TurnRecord) {
        let digest = record.chained_digest(&self.digest(id));
        self.last = record.turn;
        self.turns.insert(record.turn, Past { record, digest });
    }

    /// Adds a turn in any order, as the log may hold it. Turns that are there already are ignored.
    pub fn restore(&mut self, id: &ids::ConversationId, record: history::TurnRecord) {
        if record.turn <= self.last {
            return;
        }
        self.early.insert(record.turn, record);
        while let Some(entry) = self.early.first_entry() {
            if entry.get().since > self.last {
                return;
            }
            let record = entry.remove();
            if record.since == self.last {
                self.push(id, record);
            }
        }
    }

    /// Messages of the conversation's model turns so far, oldest first.
    pub fn messages(&self) -> Vec<history::Message> {
        let mut messages = Vec::new();
        for past in self.turns.values() {
            if past.record.kind != history::TurnKind::Model {
                continue;
            }
            messages.extend(past.record.input.iter().cloned());
            let answer = &past.record.output;
            messages.push(history::Message::new(history::Role::Assistant, answer.as_str()));
        }
        messages
    }
}

impl Conversations {
    /// Adds the row of `conversation` when there is none; maintains the index by program.
    pub fn ensure(
        &mut self,
        conversation: &ids::ConversationId,
        program: &ids::ProgramId,
    ) -> &mut Conversation {
        if !self.rows.contains_key(conversation) {
            self.by_program.entry(program.clone()).or_default().insert(conversation.clone());
            self.rows.insert(conversation.clone(), Conversation::new(program));
        }
        self.rows.get_mut(conversation).expect("the row was just made")
    }

    /// Removes the row of `conversation`; maintains the index by program.
    pub fn remove(&mut self, conversation: &ids::ConversationId) -> Option<Conversation> {
        let row = self.rows.remove(conversation)?;
        if let Some(set) = self.by_program.get_mut(&row.program) {
            set.remove(conversation);
            if set.is_empty() {
                self.by_program.remove(&row.program);
            }
        }
        Some(row)
    }
}
