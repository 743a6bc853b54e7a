//! Conversations of owned partitions and their histories.

use std::collections;

use crate::digest;
use crate::history;
use crate::ids;
use crate::time;

/// Conversations by id.
#[derive(Debug, Default)]
pub struct Conversations {
    /// Conversations.
    pub rows: collections::BTreeMap<ids::ConversationId, Conversation>,
    /// Index: conversations of each program.
    pub by_program:
        collections::BTreeMap<ids::ProgramId, collections::BTreeSet<ids::ConversationId>>,
    /// Size of the texts of all finished turns, in bytes.
    pub text_bytes: usize,
}

/// A conversation.
#[derive(Clone, Debug)]
pub struct Conversation {
    /// The program that it belongs to.
    pub program: ids::ProgramId,
    /// Size of the texts of the finished turns, in bytes.
    text_bytes: usize,
    /// Finished turns.
    pub turns: collections::BTreeMap<ids::Turn, FinishedTurn>,
    /// Turns read from the log before the turn that they follow.
    pub out_of_order: collections::BTreeMap<ids::Turn, history::TurnRecord>,
    /// Last finished turn.
    pub last_turn: ids::Turn,
    /// Last turn known to be in the journal.
    pub journaled_turn: ids::Turn,
    /// Turns whose calls are in progress.
    pub active_turns: collections::BTreeSet<ids::Turn>,
    /// Where the conversation's context was last cached.
    pub context_location: Option<ContextLocation>,
    /// When the last response ended.
    pub last_response_at: Option<time::Timestamp>,
}

/// A finished turn and the chained digest after it.
#[derive(Clone, Debug)]
pub struct FinishedTurn {
    /// The turn.
    pub record: history::TurnRecord,
    /// Chained digest of all turns up to and including this one.
    pub digest: digest::Digest,
}

/// Where a conversation's context was last cached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ContextLocation {
    /// Endpoint that has the context.
    pub endpoint: ids::EndpointName,
    /// Instance that runs calls on that endpoint.
    pub instance: ids::InstanceName,
    /// Hold that keeps the context cached, if any.
    pub hold: Option<ids::HoldId>,
    /// Size of the context in tokens.
    pub tokens: u32,
    /// When the context was last used.
    pub used_at: time::Timestamp,
}

impl Conversation {
    /// Returns a conversation of `program` without turns.
    pub fn new(program: &ids::ProgramId) -> Self {
        Conversation {
            program: program.clone(),
            text_bytes: 0,
            turns: collections::BTreeMap::new(),
            out_of_order: collections::BTreeMap::new(),
            last_turn: 0,
            journaled_turn: 0,
            active_turns: collections::BTreeSet::new(),
            context_location: None,
            last_response_at: None,
        }
    }

    /// Size of the texts of the finished turns, in bytes.
    pub fn text_bytes(&self) -> usize {
        self.text_bytes
    }

    /// Returns the chained digest after the last turn.
    pub fn digest(&self, id: &ids::ConversationId) -> digest::Digest {
        match self.turns.get(&self.last_turn) {
            Some(finished) => finished.digest,
            None => history::initial_digest(id),
        }
    }

    /// Appends the turn that follows the last one.
    pub fn push_turn(&mut self, id: &ids::ConversationId, record: history::TurnRecord) {
        let digest = record.chained_digest(&self.digest(id));
        self.last_turn = record.turn;
        self.text_bytes += record.text_bytes();
        self.turns.insert(record.turn, FinishedTurn { record, digest });
    }

    /// Adds a turn read from the log, in any order. Turns that are already present are ignored.
    pub fn restore_turn(&mut self, id: &ids::ConversationId, record: history::TurnRecord) {
        if record.turn <= self.last_turn {
            return;
        }
        self.out_of_order.insert(record.turn, record);
        while let Some(entry) = self.out_of_order.first_entry() {
            if entry.get().since > self.last_turn {
                return;
            }
            let record = entry.remove();
            if record.since == self.last_turn {
                self.push_turn(id, record);
            }
        }
    }

    /// Returns the messages of the finished model turns, oldest first.
    pub fn messages(&self) -> Vec<history::Message> {
        let mut messages = Vec::new();
        for finished in self.turns.values() {
            if finished.record.kind != history::TurnKind::Model {
                continue;
            }
            messages.extend(finished.record.input.iter().cloned());
            let response = &finished.record.output;
            messages.push(history::Message::new(history::Role::Assistant, response.as_str()));
        }
        messages
    }
}

impl Conversations {
    /// Returns the row of `conversation`, inserting it if absent, and updates the index by program.
    pub fn get_or_insert(
        &mut self,
        conversation: &ids::ConversationId,
        program: &ids::ProgramId,
    ) -> &mut Conversation {
        if !self.rows.contains_key(conversation) {
            self.by_program.entry(program.clone()).or_default().insert(conversation.clone());
            self.rows.insert(conversation.clone(), Conversation::new(program));
        }
        self.rows.get_mut(conversation).expect("the row was just inserted")
    }

    /// Appends the turn that follows the last one of `conversation`. Returns its row.
    pub fn push_turn(
        &mut self,
        conversation: &ids::ConversationId,
        record: history::TurnRecord,
    ) -> Option<&mut Conversation> {
        self.change_texts(conversation, |row| row.push_turn(conversation, record))
    }

    /// Adds a turn of `conversation` that was read from the log, in any order. Returns its row.
    pub fn restore_turn(
        &mut self,
        conversation: &ids::ConversationId,
        record: history::TurnRecord,
    ) -> Option<&mut Conversation> {
        self.change_texts(conversation, |row| row.restore_turn(conversation, record))
    }

    fn change_texts(
        &mut self,
        conversation: &ids::ConversationId,
        change: impl FnOnce(&mut Conversation),
    ) -> Option<&mut Conversation> {
        let row = self.rows.get_mut(conversation)?;
        self.text_bytes -= row.text_bytes;
        change(row);
        self.text_bytes += row.text_bytes;
        Some(row)
    }

    /// Removes the row of `conversation` and updates the index by program.
    pub fn remove(&mut self, conversation: &ids::ConversationId) -> Option<Conversation> {
        let row = self.rows.remove(conversation)?;
        self.text_bytes -= row.text_bytes;
        if let Some(set) = self.by_program.get_mut(&row.program) {
            set.remove(conversation);
            if set.is_empty() {
                self.by_program.remove(&row.program);
            }
        }
        Some(row)
    }
}
