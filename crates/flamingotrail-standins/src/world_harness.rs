//! A single world that owns a partition and runs its own calls, with a log and an endpoint that
//! respond immediately. It measures the cost of a scheduler process in isolation.

use std::time as std_time;

use flamingotrail_config::config_set;
use flamingotrail_config::TomlConfigParser;
use flamingotrail_core::digest;
use flamingotrail_core::history;
use flamingotrail_core::ids;
use flamingotrail_core::input;
use flamingotrail_core::journal;
use flamingotrail_core::messages;
use flamingotrail_core::output;
use flamingotrail_core::settings;
use flamingotrail_core::time;
use flamingotrail_core::work;
use flamingotrail_core::world;
use flamingotrail_wire::codec;
use flamingotrail_wire::messages as wire;

use crate::deployment;

/// A world together with the fakes that respond to its outputs.
pub struct WorldHarness {
    /// The world under test.
    pub world: world::World,
    /// Current virtual time.
    pub now: time::Timestamp,
    /// Wall-clock time spent in ticks.
    pub tick_time: std_time::Duration,
    /// Number of ticks.
    pub ticks: u64,
    /// Encoded size of the messages sent, in bytes.
    pub message_bytes: u64,
    /// Number of messages sent.
    pub messages_sent: u64,
    /// Number of log appends.
    pub appends: u64,
    /// Encoded size of the appended entries, in bytes.
    pub append_bytes: u64,
    /// Number of replies: (done, any other outcome).
    pub replies: (u64, u64),
    /// Number of attempts executed.
    pub executions: u64,
    /// Most recent reply.
    pub last_reply: Option<messages::Reply>,
    streams: std::collections::BTreeMap<ids::StreamName, Vec<journal::Entry>>,
    /// Last number used for a nonce or a request.
    last_number: u64,
}

/// Name of the simulated entry instance.
const ENTRY_INSTANCE: &str = "entry-1";

impl Default for WorldHarness {
    fn default() -> Self {
        WorldHarness::new()
    }
}

impl WorldHarness {
    /// Creates a world that runs a configuration and knows its own endpoint.
    pub fn new() -> Self {
        let mut deployment = deployment::fjordhest().with_regions(1).with_endpoints(1, 0);
        deployment.partitions = 1;
        deployment.slots = u32::MAX;
        let identity = settings::Identity {
            peer: ids::Peer {
                instance: ids::InstanceName::new("at-stable-1"),
                incarnation: ids::Incarnation(1),
            },
            role: settings::Role::Endpoint,
            region: ids::RegionName::new("vestland"),
            domain: ids::DomainName::new("vestland-a"),
            endpoint: Some(ids::EndpointName::new("stable-1")),
        };
        let settings = settings::Settings::new(digest::Digest::default());
        let world = world::World::new(identity, settings, Box::new(TomlConfigParser::new()), 1);
        let mut harness = WorldHarness {
            world,
            now: time::Timestamp::from_micros(1_000_000),
            tick_time: std_time::Duration::ZERO,
            ticks: 0,
            message_bytes: 0,
            messages_sent: 0,
            appends: 0,
            append_bytes: 0,
            replies: (0, 0),
            executions: 0,
            last_reply: None,
            streams: Default::default(),
            last_number: 0,
        };
        harness.publish(0, &deployment.config_toml());
        harness.run(Vec::new());
        harness.run(vec![input::Input::InstanceList(Some(vec![instance_entry()]))]);
        harness
    }

    /// Appends a configuration publication to the log.
    pub fn publish(&mut self, base: u64, config_toml: &str) {
        self.last_number += 1;
        let body = journal::Body::Publication {
            base: ids::ConfigVersion(base),
            author: String::new(),
            source: config_set::ConfigSet::new("objects.toml", config_toml).to_toml(),
        };
        let nonce = ids::Nonce(self.last_number);
        let entry = journal::Entry { nonce, writer: ids::Peer::default(), body };
        self.streams.entry(ids::StreamName::new("config")).or_default().push(entry);
    }

    /// Ticks the world with `inputs` and responds to its outputs until no response is left.
    pub fn run(&mut self, inputs: Vec<input::Input>) {
        let mut inputs = inputs;
        loop {
            self.now = self.now.after(std_time::Duration::from_micros(1));
            let start = std_time::Instant::now();
            let outputs = self.world.tick(self.now, inputs);
            self.tick_time += start.elapsed();
            self.ticks += 1;
            inputs = outputs.into_iter().filter_map(|output| self.handle_output(output)).collect();
            if inputs.is_empty() {
                return;
            }
        }
    }

    /// Advances the clock by `span` and ticks the world whenever something becomes due.
    pub fn advance(&mut self, span: std_time::Duration) {
        let until = self.now.after(span);
        while let Some(due) = self.world.next_due().filter(|due| *due <= until) {
            self.now = self.now.max(due);
            self.run(Vec::new());
        }
        self.now = until;
    }

    /// Returns the input that responds to an output, if there is one.
    fn handle_output(&mut self, output: output::Output) -> Option<input::Input> {
        match output {
            output::Output::Append { stream, entry } => {
                self.appends += 1;
                self.append_bytes += codec::encode_entry(&entry).len() as u64;
                let rows = self.streams.entry(stream.clone()).or_default();
                let nonce = entry.nonce;
                rows.push(without_records(entry));
                let offset = ids::Offset(rows.len() as u64 - 1);
                let result = input::AppendResult::Committed(offset);
                Some(input::Input::AppendCompleted { stream, nonce, result })
            }
            output::Output::Read { stream, from, wait } => self.read(stream, from, wait),
            output::Output::Execute { dispatch, .. } => {
                self.executions += 1;
                let attempt = dispatch.attempt.clone();
                let outcome = work::AttemptOutcome::Answered(response_to(&dispatch.job));
                Some(input::Input::AttemptEnded { attempt, outcome })
            }
            output::Output::Send { envelope, .. } => {
                self.messages_sent += 1;
                let wire = wire::Envelope::from(envelope.clone());
                self.message_bytes += codec::encode(&wire).len() as u64;
                if let messages::Message::Reply(reply) = &envelope.message {
                    match reply.outcome {
                        work::Outcome::Done(_) => self.replies.0 += 1,
                        _ => self.replies.1 += 1,
                    }
                    self.last_reply = Some((**reply).clone());
                }
                // The entry acknowledges numbered messages.
                (envelope.number > 0).then(|| {
                    self.message_from_entry(messages::Message::Ack { number: envelope.number })
                })
            }
            output::Output::ReleaseHold { hold, .. } => {
                Some(input::Input::ReleaseCompleted { hold, confirmed: true })
            }
            output::Output::FetchInstanceList => {
                Some(input::Input::InstanceList(Some(vec![instance_entry()])))
            }
            output::Output::FetchEndpointReport => Some(input::Input::EndpointReport(None)),
            _ => None,
        }
    }

    fn read(
        &mut self,
        stream: ids::StreamName,
        from: ids::Offset,
        wait: std_time::Duration,
    ) -> Option<input::Input> {
        let rows = self.streams.entry(stream.clone()).or_default();
        let end = ids::Offset(rows.len() as u64);
        if from >= end && !wait.is_zero() {
            // A long poll at the end of the stream: the harness never responds to it.
            return None;
        }
        let skip = usize::try_from(from.0).unwrap_or(usize::MAX);
        let entries = rows.iter().enumerate().skip(skip).map(|(index, entry)| input::StreamEntry {
            offset: ids::Offset(index as u64),
            age: std_time::Duration::ZERO,
            entry: Some(entry.clone()),
        });
        let page =
            input::StreamPage { start: ids::Offset(0), next: end, end, entries: entries.collect() };
        Some(input::Input::ReadCompleted { stream, page: Some(page) })
    }

    fn message_from_entry(&self, message: messages::Message) -> input::Input {
        let from = ids::Incarnation(2);
        let envelope = messages::Envelope { from, target: None, number: 0, message };
        input::Input::PeerMessage { from: ids::InstanceName::new(ENTRY_INSTANCE), envelope }
    }

    /// Returns the input for a model call of program `key` with a message of `bytes` bytes.
    pub fn call_input(&mut self, key: u64, turn: ids::Turn, bytes: usize) -> input::Input {
        self.last_number += 1;
        let home = ids::Partition::new(&ids::RegionName::new("vestland"), 0);
        let program = ids::ProgramId::new(&home, key);
        let text = "x".repeat(bytes);
        let is_first_turn = turn == 1;
        let submit = messages::Submit {
            request: ids::RequestId { entry: ids::Incarnation(2), number: self.last_number },
            hop: 1,
            workspace: ids::WorkspaceName::new("desk"),
            program,
            parent: None,
            origin: if is_first_turn {
                messages::ProgramOrigin::Fresh
            } else {
                messages::ProgramOrigin::Existing
            },
            conversation: ids::ConversationId::new(&home, key),
            turn: Some(turn),
            work: work::Work::Model {
                model: ids::ModelName::new("stable-assistant"),
                max_tokens: 16,
                messages: vec![history::Message::new(history::Role::User, text)],
            },
            history: history::HistorySource::Journal,
            time_left: std_time::Duration::from_secs(60),
            cost_bound: None,
            idempotency_key: None,
            delivered: String::new(),
            suspect: None,
        };
        self.message_from_entry(messages::Message::Submit(Box::new(submit)))
    }

    /// Runs one turn of each of `count` programs, whose keys start at `first`. The programs run in
    /// batches, and after each batch the journal gets time to store it.
    pub fn start_programs(&mut self, first: u64, count: u64, bytes: usize) {
        const BATCH_BYTES: u64 = 100_000;
        let batch_size = (BATCH_BYTES / (bytes as u64).max(1)).max(1);
        let mut next = first;
        while next < first + count {
            let batch_end = (next + batch_size).min(first + count);
            let calls = (next..batch_end).map(|key| self.call_input(key, 1, bytes)).collect();
            self.run(calls);
            self.advance(std_time::Duration::from_millis(50));
            next = batch_end;
        }
    }
}

/// Drops the records of an entry, since the owner that wrote it only looks for its nonce.
fn without_records(mut entry: journal::Entry) -> journal::Entry {
    if let journal::Body::Records { records, .. } = &mut entry.body {
        *records = Vec::new();
    }
    entry
}

fn instance_entry() -> input::ListedInstance {
    input::ListedInstance {
        instance: ids::InstanceName::new("at-stable-1"),
        region: ids::RegionName::new("vestland"),
        domain: ids::DomainName::new("vestland-a"),
        endpoint: Some(ids::EndpointName::new("stable-1")),
        address: "127.0.0.1:1".to_owned(),
        leaving: false,
    }
}

fn response_to(job: &messages::Job) -> work::Response {
    let prompt: usize = match job {
        messages::Job::Model { messages, .. } => messages.iter().map(|m| m.content.len() / 4).sum(),
        messages::Job::Service { .. } => 0,
    };
    let usage = work::Usage {
        prompt_tokens: u32::try_from(prompt).unwrap_or(u32::MAX),
        cached_tokens: 0,
        completion_tokens: 16,
    };
    work::Response { text: "word".repeat(16), status: 200, usage, finish: work::FinishReason::Stop }
}
