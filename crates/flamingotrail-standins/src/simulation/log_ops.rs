//! Appends to and reads from the log by nodes.

use std::time as std_time;

use flamingotrail_core::ids;
use flamingotrail_core::input;
use flamingotrail_core::journal;
use flamingotrail_core::time;

use crate::log;
use crate::simulation;
use crate::simulation::checker;

/// Time after which a node learns that the result of an append is unknown.
const APPEND_TIMEOUT: std_time::Duration = std_time::Duration::from_secs(2);
/// Delay of a late append; longer than [`APPEND_TIMEOUT`], so that it takes effect after the node
/// has been told that the result is unknown.
const LATE_APPEND_DELAY: std_time::Duration = std_time::Duration::from_secs(3);

/// A read from the log by a node.
#[derive(Clone, Debug)]
pub struct Read {
    /// The node.
    pub node: String,
    /// Incarnation of the node.
    pub incarnation: ids::Incarnation,
    /// The stream.
    pub stream: ids::StreamName,
    /// Offset of the first entry to read.
    pub from: ids::Offset,
    /// When to stop waiting for an entry.
    pub until: time::Timestamp,
}

impl simulation::Simulation {
    pub(super) fn handle_append(
        &mut self,
        node: &str,
        incarnation: ids::Incarnation,
        stream: ids::StreamName,
        entry: journal::Entry,
        late: bool,
    ) {
        if !late && self.late_appends > 0 {
            self.late_appends -= 1;
            self.add_trace(|| format!("append by {node} to {stream} will take effect late"));
            let nonce = entry.nonce;
            let event = simulation::Event::Append {
                node: node.to_owned(),
                incarnation,
                stream: stream.clone(),
                entry: Box::new(entry),
                late: true,
            };
            self.schedule_after(LATE_APPEND_DELAY, event);
            self.complete_append(node, incarnation, stream, nonce, input::AppendResult::Unknown);
            return;
        }
        let nonce = entry.nonce;
        let appended = self.log.append(self.now, stream.as_str(), entry.clone());
        let (result, is_stored) = match appended {
            log::AppendOutcome::Committed(offset) => {
                (input::AppendResult::Committed(ids::Offset(offset)), true)
            }
            log::AppendOutcome::RateLimited => (input::AppendResult::RateLimited, false),
            log::AppendOutcome::ResponseLost(_) => (input::AppendResult::Unknown, true),
            log::AppendOutcome::Unavailable => (input::AppendResult::Unknown, false),
        };
        if is_stored {
            self.observe_entry(&stream, &entry);
            self.wake_pending_reads(stream.as_str());
        }
        if !late {
            self.complete_append(node, incarnation, stream, nonce, result);
        }
    }

    fn observe_entry(&mut self, stream: &ids::StreamName, entry: &journal::Entry) {
        let node = entry.writer.instance.to_string();
        self.add_trace(|| format!("log appended to {stream}: {}", body_summary(&entry.body)));
        match &entry.body {
            journal::Body::Claim => {
                self.observe(checker::Observation::ClaimAppended {
                    node,
                    stream: stream.to_string(),
                });
            }
            journal::Body::Records { records, .. } => {
                for record in records {
                    if let journal::Record::Intent { root, .. } = record {
                        self.observe(checker::Observation::IntentAppended {
                            program: root.clone(),
                        });
                    }
                }
            }
            _ => {}
        }
    }

    fn complete_append(
        &mut self,
        node: &str,
        incarnation: ids::Incarnation,
        stream: ids::StreamName,
        nonce: ids::Nonce,
        result: input::AppendResult,
    ) {
        let delay = match result {
            input::AppendResult::Unknown => APPEND_TIMEOUT,
            _ => self.config.log_delay,
        };
        let input = input::Input::AppendCompleted { stream, nonce, result };
        let event = simulation::Event::Deliver {
            node: node.to_owned(),
            incarnation,
            input: Box::new(input),
        };
        self.schedule_after(delay, event);
    }

    pub(super) fn handle_read(&mut self, read: Read) {
        let page = self.log.read(self.now, read.stream.as_str(), read.from.0);
        let is_empty = page.as_ref().is_some_and(|page| page.entries.is_empty());
        if !is_empty || self.now >= read.until {
            self.deliver_page(read, page);
            return;
        }
        self.last_number += 1;
        let number = self.last_number;
        self.schedule(read.until, simulation::Event::CompleteRead(number));
        self.pending_reads.insert(number, read);
    }

    /// Completes a pending read with the entries that exist.
    pub(super) fn complete_read(&mut self, number: u64) {
        if let Some(read) = self.pending_reads.remove(&number) {
            let page = self.log.read(self.now, read.stream.as_str(), read.from.0);
            self.deliver_page(read, page);
        }
    }

    fn deliver_page(&mut self, read: Read, page: Option<log::Page<journal::Entry>>) {
        let page = page.map(stream_page);
        let input = input::Input::ReadCompleted { stream: read.stream, page };
        let event = simulation::Event::Deliver {
            node: read.node,
            incarnation: read.incarnation,
            input: Box::new(input),
        };
        self.schedule_after(self.config.log_delay, event);
    }

    /// Schedules the completion of the reads that wait for entries of `stream`.
    pub(super) fn wake_pending_reads(&mut self, stream: &str) {
        let waiting = self.pending_reads.iter().filter(|(_, read)| read.stream.as_str() == stream);
        let numbers: Vec<u64> = waiting.map(|(number, _)| *number).collect();
        for number in numbers {
            self.schedule(self.now, simulation::Event::CompleteRead(number));
        }
    }

    /// Starts or ends an outage of the log. An outage completes all pending reads.
    pub fn set_log_outage(&mut self, unavailable: bool) {
        self.add_trace(|| format!("log outage={unavailable}"));
        self.log.unavailable = unavailable;
        if unavailable {
            let numbers: Vec<u64> = self.pending_reads.keys().copied().collect();
            for number in numbers {
                self.schedule(self.now, simulation::Event::CompleteRead(number));
            }
        }
    }
}

fn stream_page(page: log::Page<journal::Entry>) -> input::StreamPage {
    let entries = page.entries.into_iter().map(|(offset, age, entry)| input::StreamEntry {
        offset: ids::Offset(offset),
        age,
        entry: Some(entry),
    });
    input::StreamPage {
        start: ids::Offset(page.start),
        next: ids::Offset(page.next),
        end: ids::Offset(page.end),
        entries: entries.collect(),
    }
}

/// Returns a short description of an entry's body for the trace.
fn body_summary(body: &journal::Body) -> String {
    match body {
        journal::Body::Records { epoch, records } => {
            let kinds: Vec<String> = records.iter().map(record_summary).collect();
            format!("epoch={epoch} {}", kinds.join(" "))
        }
        journal::Body::Claim => "claim".to_owned(),
        journal::Body::EndpointClaim { endpoint } => format!("endpoint claim {endpoint}"),
        journal::Body::Publication { base, .. } => format!("publication base={base}"),
        journal::Body::Carry { version, .. } => format!("carry version={version}"),
        journal::Body::Suspects { notices } => format!("suspects {}", notices.len()),
    }
}

fn record_summary(record: &journal::Record) -> String {
    match record {
        journal::Record::Reassert => "reassert".to_owned(),
        journal::Record::Program(row) => format!("program({:x})", row.program.key),
        journal::Record::Conversation { .. } => "conversation".to_owned(),
        journal::Record::TurnText { .. } => "text".to_owned(),
        journal::Record::Turn { conversation, record, .. } => {
            format!("turn({:x}/{})", conversation.key, record.turn)
        }
        journal::Record::Grant { root, granted } => format!("grant({:x},{granted})", root.key),
        journal::Record::Intent { key, .. } => format!("intent({key})"),
        journal::Record::Effect { key, end, .. } => format!("effect({key},{end:?})"),
        journal::Record::Ended { program } => format!("ended({:x})", program.key),
    }
}
