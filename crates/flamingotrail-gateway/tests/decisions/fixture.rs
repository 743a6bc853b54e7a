//! Fixtures: an in-memory log, gateways that use it, and builders for their requests and outcomes.

use std::collections;
use std::time;

use bytes::Bytes;
use flamingotrail_core::time as core_time;
use flamingotrail_gateway::ids;
use flamingotrail_gateway::input;
use flamingotrail_gateway::journal;
use flamingotrail_gateway::output;
use flamingotrail_gateway::settings;
use flamingotrail_gateway::tables::peers;
use flamingotrail_gateway::world;

/// Number of partitions of the log.
pub const PARTITIONS: u16 = 8;
/// Tokens per event of the engines.
pub const TOKENS_PER_EVENT: u64 = 8;

/// Maximum size of a record.
pub const MAX_RECORD_BYTES: usize = 10_000;
/// Time after which the log drops a record.
pub const LOG_RETENTION: time::Duration = time::Duration::from_secs(300);

/// An in-memory log.
#[derive(Default)]
pub struct MemoryLog {
    pub records: collections::BTreeMap<ids::Partition, Vec<journal::Record>>,
    /// Error that all appends and reads return during an outage.
    pub error: Option<input::LogError>,
    /// Whether appended records are stored although `error` is returned.
    pub stores_on_error: bool,
    /// Offsets of the oldest records that were not dropped, where some were.
    pub first: collections::BTreeMap<ids::Partition, u64>,
    /// Current time; records that are older than the log's retention are dropped.
    pub now: core_time::Timestamp,
    /// When each record was stored.
    pub stored_at: collections::BTreeMap<(ids::Partition, u64), core_time::Timestamp>,
    /// Maximum size of a record's texts; `None` is that of the settings.
    pub max_text_bytes: Option<usize>,
    /// Maximum number of records of a read; `None` returns all.
    pub max_page_records: Option<usize>,
    pub appends: usize,
    pub reads: usize,
}

/// A gateway and the outputs that it has emitted.
pub struct Gateway {
    pub world: world::World,
    pub now: core_time::Timestamp,
    pub sent: Vec<output::Dispatch>,
    pub released: Vec<ids::CallId>,
    pub finished: Vec<ids::CallId>,
    pub refused: Vec<(ids::CallId, output::Refusal)>,
    pub aborted: Vec<ids::CallId>,
    pub cancelled: Vec<ids::CallId>,
    pub relayed_records: Vec<(String, journal::Record)>,
    pub told_crashes: Vec<(ids::InstanceName, Vec<input::PeerCrash>)>,
    pub crash_responses: Vec<Vec<input::PeerCrash>>,
    pub told_survivals: Vec<(ids::InstanceName, Vec<ids::Fingerprint>)>,
    /// What was saved last, and when.
    pub saved_crashes: Option<(core_time::Timestamp, input::CrashRecord)>,
    pub asked_crashes: Vec<ids::InstanceName>,
    pub lookup_responses: Vec<input::LookupResponse>,
    pub looked_up: Vec<(ids::CallId, ids::TurnId)>,
    pub relay_responses: Vec<input::RelayResponse>,
    pub asked: Vec<ids::InstanceName>,
    pub notice_responses: Vec<Vec<input::PeerNotice>>,
    pub checked: Vec<ids::EndpointId>,
    pub told: Vec<(ids::InstanceName, Vec<input::PeerNotice>)>,
    pub probed: Vec<ids::InstanceName>,
    pub removed: Vec<ids::InstanceName>,
    pub ready: Option<bool>,
    pub stopped: bool,
    pub event_intervals: Vec<Option<time::Duration>>,
    pub events: Vec<output::Event>,
    pub counts: collections::BTreeMap<&'static str, usize>,
    pending_log_calls: Vec<output::Output>,
}

pub fn identity(name: &str) -> settings::Identity {
    let domain = ids::DomainName::new("north-a");
    let region = ids::RegionName::new("north");
    settings::Identity {
        instance: ids::InstanceName::new(name),
        regions: collections::BTreeMap::from([
            (domain.clone(), region.clone()),
            (ids::DomainName::new("south-a"), ids::RegionName::new("south")),
        ]),
        domain,
        region,
    }
}

pub fn settings() -> settings::Settings {
    settings::Settings {
        partitions: PARTITIONS,
        max_appends_per_s: 1000.0,
        max_record_bytes: MAX_RECORD_BYTES,
        max_append_bytes: 100_000,
        log_retention: LOG_RETENTION,
        grace_period: time::Duration::from_secs(8),
        allowance_tolerance: settings::AllowanceTolerance {
            window: time::Duration::from_secs(5),
            overage: 0.1,
            slack: 20.0,
        },
        max_history_bytes: usize::MAX,
        max_unlogged_bytes: usize::MAX,
        max_lookups: 16,
        call_limits: settings::CallLimits {
            max_calls: usize::MAX,
            ordinary_bytes: 16 << 10,
            max_large_bytes: usize::MAX,
            service_percent: 100,
        },
    }
}

pub fn route(prefix: &str, kind: input::RouteKind, service: &str) -> input::Route {
    input::Route {
        name: format!("route{prefix}"),
        host: "desk.example".to_owned(),
        path_prefix: prefix.to_owned(),
        kind,
        timeout: time::Duration::from_secs(4),
        target_latency: time::Duration::from_millis(400),
        max_silence: time::Duration::from_secs(2),
        priority: 0,
        traffic_split: vec![(ids::ServiceName::new(service), 1)],
        max_attempts: 2,
        retention: None,
        is_public: false,
        is_sticky: false,
    }
}

fn service(engine: Option<input::Engine>) -> input::Service {
    input::Service { engine, health_path: Some("/health".to_owned()) }
}

pub fn configuration(version: u64) -> input::Configuration {
    let mut chat = route("/chat/", input::RouteKind::Stream, "engine");
    chat.retention = Some(time::Duration::from_secs(60));
    let engine = input::Engine { tokens_per_event: TOKENS_PER_EVENT, memory_tokens: None };
    input::Configuration {
        version,
        routes: vec![
            chat,
            route("/look/", input::RouteKind::Idempotent, "ledger"),
            route("/book/", input::RouteKind::AtMostOnce, "ledger"),
            route("/ask/", input::RouteKind::Stream, "engine"),
            route("/resume/", input::RouteKind::ResumableStream, "engine"),
        ],
        services: collections::BTreeMap::from([
            (ids::ServiceName::new("engine"), service(Some(engine))),
            (ids::ServiceName::new("ledger"), service(None)),
        ]),
        workspaces: None,
    }
}

/// A configuration whose callers need one of `keys`, each given with its workspace.
pub fn configuration_with_keys(version: u64, keys: &[(&str, &str)]) -> input::Configuration {
    let mut workspaces = input::Workspaces::default();
    for (key, workspace) in keys {
        let name = ids::WorkspaceName::new(workspace);
        workspaces.rows.insert(name.clone(), input::Workspace::default());
        workspaces.by_key.insert(ids::KeyDigest::of(key.as_bytes()), name);
    }
    input::Configuration { workspaces: Some(workspaces), ..configuration(version) }
}

/// The request of a caller that has `key`.
pub fn with_key(key: &str, request: input::Arrival) -> input::Arrival {
    let credential = input::Credential::Key(ids::KeyDigest::of(key.as_bytes()));
    input::Arrival { credential, ..request }
}

/// Workspaces with their priorities and no allowances. The key of each is its name.
pub fn workspaces(rows: &[(&str, Option<u8>)]) -> input::Workspaces {
    let row = |priority| input::Workspace { priority, allowance: None };
    let named = |name: &str| ids::WorkspaceName::new(name);
    let keys = rows.iter().map(|(name, _)| (ids::KeyDigest::of(name.as_bytes()), named(name)));
    input::Workspaces {
        rows: rows.iter().map(|(name, priority)| (named(name), row(*priority))).collect(),
        by_key: keys.collect(),
    }
}

pub fn endpoint(service: &str, domain: &str) -> input::Endpoint {
    input::Endpoint {
        service: ids::ServiceName::new(service),
        address: "127.0.0.1:1".to_owned(),
        domain: ids::DomainName::new(domain),
        slots: 4,
        draining: false,
        cold_start_remaining: time::Duration::ZERO,
        started_at_ms: None,
    }
}

pub fn membership(endpoints: &[(&str, input::Endpoint)]) -> input::Membership {
    let rows = endpoints.iter().map(|(id, row)| (ids::EndpointId::new(id), row.clone()));
    input::Membership { endpoints: rows.collect() }
}

pub fn endpoints() -> input::Membership {
    membership(&[
        ("engine-1", endpoint("engine", "north-a")),
        ("engine-2", endpoint("engine", "south-a")),
        ("ledger-1", endpoint("ledger", "north-a")),
        ("ledger-2", endpoint("ledger", "north-a")),
    ])
}

pub fn peer(name: &str, region: &str) -> (ids::InstanceName, peers::Peer) {
    let row = peers::Peer {
        address: format!("{name}:7"),
        domain: ids::DomainName::new(format!("{region}-a")),
        region: ids::RegionName::new(region),
    };
    (ids::InstanceName::new(name), row)
}

pub fn request(call: u64, id: &str, path: &str) -> input::Arrival {
    input::Arrival {
        call: ids::CallId(call),
        id: ids::TurnId::new(id),
        host: "desk.example".to_owned(),
        path: path.to_owned(),
        method_and_query: "POST ".to_owned(),
        received: core_time::Timestamp::ZERO,
        timeout: Some(time::Duration::from_secs(4)),
        credential: input::Credential::Absent,
        affinity: None,
        program: None,
        usage: None,
        previous: None,
        resume_after: None,
        prompt: Vec::new(),
        body: Bytes::from(format!("input of {id};")),
    }
}

pub fn turn_request(
    call: u64,
    id: &str,
    program: &str,
    previous: Option<&str>,
    budget: u64,
) -> input::Arrival {
    let mut request = request(call, id, "/chat/1");
    request.program =
        Some(input::ProgramHeader { id: ids::ProgramId::new(program), budget: Some(budget) });
    request.usage = Some(input::Usage { prompt: 100, max_output: 80 });
    request.previous = previous.map(ids::TurnId::new);
    request
}

/// A turn on a route that keeps no history: its body is the whole prompt.
pub fn historyless_turn_request(
    call: u64,
    id: &str,
    program: &str,
    budget: Option<u64>,
) -> input::Arrival {
    let mut request = turn_request(call, id, program, None, budget.unwrap_or(0));
    request.path = "/ask/1".to_owned();
    if let Some(header) = request.program.as_mut() {
        header.budget = budget;
    }
    request
}

/// The record of a turn of one event.
pub fn end_record(turn: &str, previous: Option<&str>) -> journal::Record {
    journal::Record::End(journal::End {
        turn: ids::TurnId::new(turn),
        previous: previous.map(ids::TurnId::new),
        endpoint: ids::EndpointId::new("engine-1"),
        input: Bytes::from(format!("input of {turn};")),
        output: Bytes::from("word\n"),
        age: time::Duration::ZERO,
    })
}

pub fn stream_outcome(events: u64) -> input::Outcome {
    let output = Bytes::from("word\n".repeat(events as usize));
    input::Outcome::Streamed {
        complete: true,
        events,
        last_event: Some(events),
        output,
        load: None,
    }
}

pub fn limit_notice(max_requests_per_s: Option<f64>) -> input::Notice {
    input::Notice { max_requests_per_s, ..input::Notice::default() }
}

pub fn response_outcome(status: u16) -> input::Outcome {
    input::Outcome::Answered { status, signed: true, load: None }
}

impl Gateway {
    /// Returns a gateway with a configuration and endpoints.
    pub fn new(name: &str) -> Self {
        let mut gateway = Gateway::unconfigured(name);
        gateway.tick(vec![
            input::Input::Configuration(Box::new(configuration(1))),
            input::Input::Endpoints(endpoints()),
        ]);
        gateway
    }

    /// Returns a gateway without a configuration or endpoints.
    pub fn unconfigured(name: &str) -> Self {
        Gateway {
            world: world::World::new(identity(name), settings()),
            now: core_time::Timestamp::from_micros(1),
            sent: Vec::new(),
            released: Vec::new(),
            finished: Vec::new(),
            refused: Vec::new(),
            aborted: Vec::new(),
            cancelled: Vec::new(),
            relayed_records: Vec::new(),
            told_crashes: Vec::new(),
            crash_responses: Vec::new(),
            told_survivals: Vec::new(),
            saved_crashes: None,
            asked_crashes: Vec::new(),
            lookup_responses: Vec::new(),
            looked_up: Vec::new(),
            relay_responses: Vec::new(),
            asked: Vec::new(),
            notice_responses: Vec::new(),
            checked: Vec::new(),
            told: Vec::new(),
            probed: Vec::new(),
            removed: Vec::new(),
            ready: None,
            stopped: false,
            event_intervals: Vec::new(),
            events: Vec::new(),
            counts: collections::BTreeMap::new(),
            pending_log_calls: Vec::new(),
        }
    }

    pub fn tick(&mut self, inputs: Vec<input::Input>) {
        for output in self.world.tick(self.now, inputs) {
            match output {
                output::Output::Send(dispatch) => self.sent.push(*dispatch),
                output::Output::ReleaseEvents(call) => self.released.push(call),
                output::Output::Finish(call) => self.finished.push(call),
                output::Output::Refuse(call, refusal) => self.refused.push((call, refusal)),
                output::Output::Abort(call) => self.aborted.push(call),
                output::Output::Cancel(call) => self.cancelled.push(call),
                output::Output::RelayRecord { address, record, .. } => {
                    self.relayed_records.push((address, *record));
                }
                output::Output::RespondToLookup(_, response) => {
                    self.lookup_responses.push(response);
                }
                output::Output::LookUpTurn { call, turn, .. } => self.looked_up.push((call, turn)),
                output::Output::TellCrashes { peer, crashes, .. } => {
                    self.told_crashes.push((peer, crashes));
                }
                output::Output::TellSurvivals { peer, survivals, .. } => {
                    self.told_survivals.push((peer, survivals));
                }
                output::Output::SaveCrashes(record) => {
                    self.saved_crashes = Some((self.now, record));
                }
                output::Output::AskCrashes { peer, .. } => self.asked_crashes.push(peer),
                output::Output::RespondToCrashes(_, crashes) => self.crash_responses.push(crashes),
                output::Output::RespondToRelay(_, response) => self.relay_responses.push(response),
                output::Output::TellNotices { peer, notices, .. } => {
                    self.told.push((peer, notices));
                }
                output::Output::CheckEndpoint { endpoint, .. } => self.checked.push(endpoint),
                output::Output::AskNotices { peer, .. } => self.asked.push(peer),
                output::Output::RespondToNotices(_, notices) => {
                    self.notice_responses.push(notices);
                }
                output::Output::ProbePeer { peer, .. } => self.probed.push(peer),
                output::Output::RemovePeer(peer) => self.removed.push(peer),
                output::Output::Ready(ready) => self.ready = Some(ready),
                output::Output::SetEventInterval(interval) => self.event_intervals.push(interval),
                output::Output::Event(event) => self.events.push(event),
                output::Output::Count(name) => *self.counts.entry(name).or_default() += 1,
                output::Output::Stopped { .. } => self.stopped = true,
                output::Output::Append { .. } | output::Output::Read { .. } => {
                    self.pending_log_calls.push(output);
                }
                _ => {}
            }
        }
    }

    pub fn receive(&mut self, mut request: input::Arrival) {
        request.received = self.now;
        self.tick(vec![input::Input::Arrived(Box::new(request))]);
    }

    /// Begins the response to the newest attempt of `call`, whose endpoint announces `notice`.
    pub fn begin_response(&mut self, call: u64, notice: input::Notice) {
        let call = ids::CallId(call);
        let attempt = self.newest_attempt(call);
        self.tick(vec![input::Input::ResponseBegan { call, attempt, notice, load: None }]);
    }

    /// Begins the response to the newest attempt of `call`, whose endpoint reports `load`.
    pub fn begin_loaded_response(&mut self, call: u64, load: input::Load) {
        let call = ids::CallId(call);
        let attempt = self.newest_attempt(call);
        let notice = input::Notice::default();
        self.tick(vec![input::Input::ResponseBegan { call, attempt, notice, load: Some(load) }]);
    }

    fn newest_attempt(&self, call: ids::CallId) -> u32 {
        self.sent.iter().rfind(|sent| sent.call == call).expect("sent").attempt
    }

    /// Ends the newest attempt of `call` with `outcome`.
    pub fn end_attempt(&mut self, call: u64, outcome: input::Outcome) {
        let call = ids::CallId(call);
        let attempt = self.newest_attempt(call);
        self.tick(vec![input::Input::Outcome { call, attempt, outcome }]);
    }

    /// Advances the clock by `duration`, runs all timers that expire, and lets `log` execute all
    /// pending calls.
    pub fn advance(&mut self, duration: time::Duration, log: &mut MemoryLog) {
        self.complete_log_calls(log);
        let end = self.now.after(duration);
        while let Some(due) = self.world.next_due().filter(|due| *due <= end) {
            self.now = self.now.max(due);
            self.tick(Vec::new());
            self.complete_log_calls(log);
        }
        self.now = end;
        self.tick(Vec::new());
        self.complete_log_calls(log);
    }

    /// Lets `log` execute all pending calls and those that result from them.
    pub fn complete_log_calls(&mut self, log: &mut MemoryLog) {
        log.now = log.now.max(self.now);
        while !self.pending_log_calls.is_empty() {
            let calls = std::mem::take(&mut self.pending_log_calls);
            let inputs = calls.into_iter().map(|output| log.execute(output)).collect();
            self.tick(inputs);
        }
    }

    /// Runs a turn from its request to the delivery of its response, which has `events` events.
    pub fn run_turn(&mut self, request: input::Arrival, events: u64, log: &mut MemoryLog) {
        let call = request.call.0;
        self.receive(request);
        self.complete_log_calls(log);
        self.end_attempt(call, stream_outcome(events));
        self.complete_log_calls(log);
        self.tick(vec![input::Input::Delivered(ids::CallId(call))]);
        self.complete_log_calls(log);
    }

    pub fn configure(&mut self, configuration: input::Configuration) {
        self.tick(vec![input::Input::Configuration(Box::new(configuration))]);
    }

    pub fn has_sent(&self, call: u64) -> bool {
        self.sent.iter().any(|sent| sent.call == ids::CallId(call))
    }

    pub fn refusal_reason(&self, call: u64) -> Option<output::Reason> {
        let refused = self.refused.iter().find(|(id, _)| *id == ids::CallId(call));
        refused.map(|(_, refusal)| refusal.reason)
    }

    pub fn has_finished(&self, call: u64) -> bool {
        self.finished.contains(&ids::CallId(call))
    }

    pub fn sent_body(&self, call: u64) -> Vec<u8> {
        let sent = self.sent.iter().rfind(|sent| sent.call == ids::CallId(call)).expect("sent");
        sent.body.concat()
    }
}

fn with_age(record: &journal::Record, new_age: time::Duration) -> journal::Record {
    let mut record = record.clone();
    match &mut record {
        journal::Record::Start(journal::Start { age, .. })
        | journal::Record::End(journal::End { age, .. })
        | journal::Record::LongEnd(journal::LongEnd { end: journal::End { age, .. }, .. })
        | journal::Record::Settle(journal::Settle { age, .. }) => *age = new_age,
        journal::Record::Part(_) => {}
    }
    record
}

impl MemoryLog {
    /// Adds a record.
    pub fn push(&mut self, record: journal::Record) {
        self.records.entry(record.partition(PARTITIONS)).or_default().push(record);
    }

    /// Drops all records that the log has.
    pub fn drop_all(&mut self) {
        let ends =
            self.records.iter().map(|(partition, records)| (*partition, records.len() as u64));
        self.first = ends.collect();
    }

    pub fn execute(&mut self, output: output::Output) -> input::Input {
        match output {
            output::Output::Append { partition, records } => {
                self.appends += 1;
                let sizes = records.iter().map(journal::Record::text_bytes);
                let max_bytes = self.max_text_bytes.unwrap_or(MAX_RECORD_BYTES);
                if sizes.max().is_some_and(|bytes| bytes > max_bytes) {
                    let result = Err(input::LogError::Rejected);
                    return input::Input::Appended { partition, result };
                }
                let row = self.records.entry(partition).or_default();
                let offset = ids::Offset(row.len() as u64);
                for (offset, _) in (offset.0..).zip(&records) {
                    self.stored_at.insert((partition, offset), self.now);
                }
                if self.error.is_none() || self.stores_on_error {
                    row.extend(records);
                }
                let result = self.error.map_or(Ok(offset), Err);
                input::Input::Appended { partition, result }
            }
            output::Output::Read { partition, from } => {
                self.reads += 1;
                let row = self.records.entry(partition).or_default();
                let ages: Vec<time::Duration> = (0..row.len() as u64)
                    .map(|offset| self.stored_at.get(&(partition, offset)))
                    .map(|at| at.map_or(time::Duration::ZERO, |at| self.now.since(*at)))
                    .collect();
                let dropped = ages.iter().take_while(|age| **age > LOG_RETENTION).count() as u64;
                let first = self.first.get(&partition).copied().unwrap_or(0).max(dropped);
                let count = self.max_page_records.unwrap_or(usize::MAX);
                let records = row.iter().zip(ages).skip(from.0 as usize).take(count);
                let records = records.map(|(record, age)| Some(with_age(record, age))).collect();
                let page = input::Page { from, end: ids::Offset(row.len() as u64), records };
                let expired =
                    (from.0 < first).then_some(input::LogError::Expired(ids::Offset(first)));
                let result = self.error.or(expired).map_or(Ok(page), Err);
                input::Input::Read { partition, result }
            }
            other => panic!("not a call to the log: {other:?}"),
        }
    }
}
