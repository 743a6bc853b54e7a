//! A fleet whose gateways exchange messages about allowances over a simulated network, which delays
//! and loses them. Each call that reaches an endpoint is recorded.

use std::collections;
use std::time;

use flamingotrail_core::time as core_time;
use flamingotrail_gateway::ids;
use flamingotrail_gateway::input;
use flamingotrail_gateway::leases;
use flamingotrail_gateway::output;
use flamingotrail_gateway::tables::peers;
use flamingotrail_gateway::world;

use crate::fixture;

/// Time after which a request to another gateway without a response ends.
const RESPONSE_TIMEOUT: u64 = 450_000;
/// Time that endpoints take.
const ENDPOINT_TIME: u64 = 20_000;
/// Time after which a gateway that sees that it is not listed is listed again.
const RELIST_TIME: u64 = 600_000;
/// Interval between two reads of the list without a change.
const LIST_INTERVAL: u64 = 10 * SECOND;
/// Microseconds per second.
const SECOND: u64 = 1_000_000;

/// Something that happens to a gateway.
#[derive(Clone)]
enum Event {
    Input(Box<input::Input>),
    /// A request of another gateway arrives; the ticket is the index of its origin.
    Request(Box<input::Input>),
    Timer,
}

/// Where the response to a request goes.
#[derive(Clone)]
struct Origin {
    from: String,
    to: String,
    number: u64,
}

struct Member {
    world: world::World,
    /// Increases with each start, so that events of earlier processes are dropped.
    incarnation: u64,
    frozen_until: u64,
    log: fixture::MemoryLog,
    wakes_at: u64,
}

/// A call that was sent to an endpoint.
#[derive(Clone, Debug)]
pub struct Sent {
    /// When it was sent, in microseconds.
    pub at: u64,
    /// Workspace of its caller.
    pub workspace: String,
    /// When it arrived.
    pub arrived_at: u64,
    /// The call.
    pub call: u64,
}

/// Gateways and the network between them.
pub struct Fleet {
    /// Calls in the order in which they were sent first.
    pub sent: Vec<Sent>,
    /// Refusals with the times at which they happened.
    pub refused: Vec<(u64, String, output::Refusal)>,
    /// Messages between gateways about allowances.
    pub messages: usize,
    /// Time that a message takes, in microseconds.
    pub delay: u64,
    /// Part of the messages that are lost, in percent.
    pub lost_percent: u64,
    /// Whether reads of the log are held back.
    pub holds_log: bool,
    /// Current time in microseconds.
    pub now: u64,
    configuration: input::Configuration,
    members: collections::BTreeMap<String, Member>,
    listed: collections::BTreeSet<String>,
    cuts: collections::BTreeSet<(String, String)>,
    cut_from_store: collections::BTreeSet<String>,
    events: collections::BTreeMap<(u64, u64), (String, u64, Event)>,
    origins: Vec<Origin>,
    calls: collections::BTreeMap<u64, (u64, String)>,
    held_reads: Vec<(String, output::Output)>,
    reads_list_at: u64,
    sequence: u64,
    random: u64,
    starts: u64,
}

/// Returns a configuration with these workspaces: name, calls per second and burst.
pub fn configuration(version: u64, workspaces: &[(&str, f64, f64)]) -> input::Configuration {
    let mut configuration = fixture::configuration(version);
    let rows = workspaces.iter().map(|(name, per_s, burst)| {
        let allowance = Some(input::RateAllowance { per_s: *per_s, burst: *burst });
        (ids::WorkspaceName::new(name), input::Workspace { priority: None, allowance })
    });
    let keys = workspaces
        .iter()
        .map(|(name, ..)| (ids::KeyDigest::of(name.as_bytes()), ids::WorkspaceName::new(name)));
    configuration.workspaces =
        Some(input::Workspaces { rows: rows.collect(), by_key: keys.collect() });
    configuration
}

/// Returns the largest number of calls that may reach endpoints in a window.
pub fn bound(per_s: f64, burst: f64) -> f64 {
    let tolerance = fixture::settings().allowance_tolerance;
    (per_s * tolerance.window.as_secs_f64() + burst) * (1.0 + tolerance.overage) + tolerance.slack
}

impl Fleet {
    /// Returns a fleet of `gateways` gateways that all know each other, and of these workspaces.
    pub fn new(gateways: usize, seed: u64, workspaces: &[(&str, f64, f64)]) -> Self {
        let mut fleet = Fleet {
            sent: Vec::new(),
            refused: Vec::new(),
            messages: 0,
            delay: 30_000,
            lost_percent: 0,
            holds_log: false,
            now: SECOND,
            configuration: configuration(1, workspaces),
            members: collections::BTreeMap::new(),
            listed: collections::BTreeSet::new(),
            cuts: collections::BTreeSet::new(),
            cut_from_store: collections::BTreeSet::new(),
            events: collections::BTreeMap::new(),
            origins: Vec::new(),
            calls: collections::BTreeMap::new(),
            held_reads: Vec::new(),
            reads_list_at: LIST_INTERVAL,
            sequence: 0,
            random: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1,
            starts: 0,
        };
        let names: Vec<String> = (0..gateways).map(|number| format!("g{number:02}")).collect();
        fleet.listed.extend(names.iter().cloned());
        names.iter().for_each(|name| fleet.start(name));
        // New owners know after this time that no older lease is in force.
        fleet.run(time::Duration::from_secs(15));
        fleet
    }

    /// Returns a number below `limit`.
    pub fn random(&mut self, limit: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random % limit
    }

    /// Returns the names of all running gateways.
    pub fn names(&self) -> Vec<String> {
        self.members.keys().cloned().collect()
    }

    /// Returns the owner of a workspace according to the list.
    pub fn owner(&self, workspace: &str) -> String {
        let first = self.listed.iter().min_by_key(|name| peers::rank(name, workspace));
        first.expect("a listed gateway").clone()
    }

    /// Starts a gateway with an empty memory, which is listed from then on.
    pub fn start(&mut self, name: &str) {
        self.starts += 1;
        let mut world = world::World::new(fixture::identity(name), fixture::settings());
        world.boot = self.starts;
        let member = Member {
            world,
            incarnation: self.starts,
            frozen_until: 0,
            log: fixture::MemoryLog::default(),
            wakes_at: u64::MAX,
        };
        self.members.insert(name.to_owned(), member);
        let configuration = Box::new(self.configuration.clone());
        self.tell(name, 0, input::Input::Configuration(configuration));
        self.tell(name, 0, input::Input::Endpoints(fixture::endpoints()));
        if self.listed.insert(name.to_owned()) {
            self.publish_list(0);
        } else {
            self.tell_list(name, 0);
        }
    }

    /// Ends a gateway at once. It stays listed.
    pub fn kill(&mut self, name: &str) {
        self.members.remove(name);
    }

    /// Suspends a gateway for `seconds`.
    pub fn freeze(&mut self, name: &str, seconds: u64) {
        let until = self.now + seconds * SECOND;
        if let Some(member) = self.members.get_mut(name) {
            member.frozen_until = until;
        }
        self.schedule(name, until, Event::Timer);
    }

    /// Removes a gateway from the list. Each gateway learns of it within `spread` microseconds.
    pub fn unlist(&mut self, name: &str, spread: u64) {
        if self.listed.remove(name) {
            self.publish_list(spread);
        }
    }

    /// Cuts the connection of two gateways, in both directions.
    pub fn cut(&mut self, a: &str, b: &str) {
        self.cuts.insert((a.to_owned(), b.to_owned()));
        self.cuts.insert((b.to_owned(), a.to_owned()));
    }

    /// Loses what `from` sends to `to`, but not what it receives.
    pub fn cut_one_way(&mut self, from: &str, to: &str) {
        self.cuts.insert((from.to_owned(), to.to_owned()));
    }

    /// Cuts a gateway from the store, so that it gets no lists and configurations.
    pub fn cut_from_store(&mut self, name: &str) {
        self.cut_from_store.insert(name.to_owned());
    }

    /// Restores all connections.
    pub fn heal(&mut self) {
        self.cuts.clear();
        self.cut_from_store.clear();
        self.publish_list(0);
    }

    /// Publishes new limits. Each gateway learns of them within `spread` microseconds.
    pub fn publish(&mut self, workspaces: &[(&str, f64, f64)], spread: u64) {
        self.configuration = configuration(self.configuration.version + 1, workspaces);
        for name in self.names() {
            let delay = self.random(spread + 1);
            let configuration = Box::new(self.configuration.clone());
            self.tell_from_store(&name, delay, input::Input::Configuration(configuration));
        }
    }

    fn publish_list(&mut self, spread: u64) {
        for name in self.names() {
            let delay = self.random(spread + 1);
            self.tell_list(&name, delay);
        }
    }

    fn tell_list(&mut self, name: &str, delay: u64) {
        let rows = self.listed.iter().map(|name| fixture::peer(name, "north")).collect();
        self.tell_from_store(name, delay, input::Input::Peers(rows));
    }

    fn tell_from_store(&mut self, name: &str, delay: u64, input: input::Input) {
        if !self.cut_from_store.contains(name) {
            self.tell(name, delay, input);
        }
    }

    fn tell(&mut self, name: &str, delay: u64, input: input::Input) {
        self.schedule(name, self.now + delay, Event::Input(Box::new(input)));
    }

    fn schedule(&mut self, name: &str, at: u64, event: Event) {
        let Some(member) = self.members.get(name) else { return };
        self.sequence += 1;
        let entry = (name.to_owned(), member.incarnation, event);
        self.events.insert((at, self.sequence), entry);
    }

    /// Lets a call of `workspace` arrive at a gateway now.
    pub fn call(&mut self, name: &str, workspace: &str) -> u64 {
        let number = self.calls.len() as u64 + 1;
        let request = fixture::request(number, &format!("r{number}"), "/look/1");
        self.arrive(name, workspace, request)
    }

    /// Lets a request of `workspace` arrive at a gateway now.
    pub fn arrive(&mut self, name: &str, workspace: &str, mut request: input::Arrival) -> u64 {
        let number = self.calls.len() as u64 + 1;
        self.calls.insert(number, (self.now, workspace.to_owned()));
        request.call = ids::CallId(number);
        request.credential = input::Credential::Key(ids::KeyDigest::of(workspace.as_bytes()));
        request.received = core_time::Timestamp::from_micros(self.now);
        self.tell(name, 0, input::Input::Arrived(Box::new(request)));
        number
    }

    /// Runs for `duration`.
    pub fn run(&mut self, duration: time::Duration) {
        let end = self.now + u64::try_from(duration.as_micros()).expect("a short test");
        while self.reads_list_at <= end {
            let at = self.reads_list_at;
            self.reads_list_at += LIST_INTERVAL;
            self.run_until(at);
            self.names().iter().for_each(|name| self.tell_list(name, 0));
        }
        self.run_until(end);
    }

    fn run_until(&mut self, end: u64) {
        while let Some(entry) = self.events.first_entry().filter(|entry| entry.key().0 <= end) {
            let ((at, _), (name, incarnation, event)) = entry.remove_entry();
            self.now = self.now.max(at);
            self.deliver(&name, incarnation, event);
        }
        self.now = end;
    }

    fn deliver(&mut self, name: &str, incarnation: u64, event: Event) {
        let Some(member) = self.members.get_mut(name) else { return };
        if member.incarnation != incarnation {
            return;
        }
        if self.now < member.frozen_until {
            let until = member.frozen_until;
            self.schedule(name, until, event);
            return;
        }
        let inputs = match event {
            Event::Input(input) | Event::Request(input) => vec![*input],
            Event::Timer => Vec::new(),
        };
        let now = core_time::Timestamp::from_micros(self.now);
        let outputs = member.world.tick(now, inputs);
        let due = member.world.next_due().map_or(u64::MAX, core_time::Timestamp::as_micros);
        if due < u64::MAX && (member.wakes_at <= self.now || due < member.wakes_at) {
            member.wakes_at = due.max(self.now);
            let at = member.wakes_at;
            self.schedule(name, at, Event::Timer);
        }
        for output in outputs {
            self.execute(name, output);
        }
    }

    fn execute(&mut self, name: &str, output: output::Output) {
        match output {
            output::Output::Send(dispatch) => self.send(name, &dispatch),
            output::Output::Refuse(call, refusal) => {
                let workspace = self.calls[&call.0].1.clone();
                self.refused.push((self.now, workspace, refusal));
            }
            output::Output::Finish(call) => {
                self.tell(name, 1, input::Input::Delivered(call));
            }
            output::Output::AskAllowances { peer, request, .. } => {
                let number = request.number;
                let input = input::Input::AllowancesRequested { ticket: 0, request };
                self.ask(name, peer.as_str(), number, input);
            }
            output::Output::AskHoldings { peer, owner, question, .. } => {
                let input = input::Input::HoldingsRequested { ticket: 0, owner, question };
                self.ask(name, peer.as_str(), 0, input);
            }
            output::Output::RespondToAllowances(ticket, answer) => {
                let Origin { from, to, number } = self.origins[ticket as usize].clone();
                let (peer, answer) = (ids::InstanceName::new(&to), Some(answer));
                let input = input::Input::AllowancesAnswered { peer, number, answer };
                self.transmit(name, &from, input);
            }
            output::Output::RespondToHoldings(ticket, holdings) => {
                let Origin { from, to, .. } = self.origins[ticket as usize].clone();
                let (peer, report) =
                    (ids::InstanceName::new(&to), leases::Report::Holdings(holdings));
                self.transmit(name, &from, input::Input::HoldingsReported { peer, report });
            }
            output::Output::Event(event)
                if event.name.starts_with("allow") || event.name == "refused" =>
            {
                eprintln!("{} {} {} {}", self.now, name, event.name, event.detail)
            }
            output::Output::ProbePeer { peer, .. } => self.probe(name, peer),
            output::Output::RemovePeer(peer) if !self.cut_from_store.contains(name) => {
                self.unlist(peer.as_str(), 200_000);
                if self.members.contains_key(peer.as_str()) && !self.is_cut_from_store(&peer) {
                    self.listed.insert(peer.as_str().to_owned());
                    for name in self.names() {
                        self.tell_list(&name, RELIST_TIME);
                    }
                }
            }
            output::Output::Append { .. } | output::Output::Read { .. } => {
                self.held_reads.push((name.to_owned(), output));
                if !self.holds_log {
                    self.complete_reads();
                }
            }
            _ => {}
        }
    }

    fn is_cut_from_store(&self, peer: &ids::InstanceName) -> bool {
        self.cut_from_store.contains(peer.as_str())
    }

    /// Lets the log execute what was held back.
    pub fn complete_reads(&mut self) {
        for (name, output) in std::mem::take(&mut self.held_reads) {
            let Some(member) = self.members.get_mut(&name) else { continue };
            let input = member.log.execute(output);
            self.tell(&name, 2_000, input);
        }
    }

    /// Adds a record to the log of each gateway.
    pub fn store(&mut self, turn: &str) {
        for member in self.members.values_mut() {
            member.log.push(fixture::end_record(turn, None));
        }
    }

    fn send(&mut self, name: &str, dispatch: &output::Dispatch) {
        let (arrived_at, workspace) = self.calls[&dispatch.call.0].clone();
        let (call, attempt) = (dispatch.call, dispatch.attempt);
        if !self.sent.iter().rev().take(2_000).any(|sent| sent.call == call.0) {
            self.sent.push(Sent { at: self.now, workspace, arrived_at, call: call.0 });
        }
        let outcome = fixture::response_outcome(200);
        self.tell(name, ENDPOINT_TIME, input::Input::Outcome { call, attempt, outcome });
    }

    fn is_lost(&mut self, from: &str, to: &str) -> bool {
        let is_lost = self.random(100) < self.lost_percent;
        is_lost || self.cuts.contains(&(from.to_owned(), to.to_owned()))
    }

    /// Sends a request to another gateway. Its response, or the lack of one, arrives in any case.
    fn ask(&mut self, from: &str, to: &str, number: u64, input: input::Input) {
        self.messages += 1;
        let ticket = self.origins.len() as u64;
        self.origins.push(Origin { from: from.to_owned(), to: to.to_owned(), number });
        let peer = ids::InstanceName::new(to);
        let (input, missing, ended) = match input {
            input::Input::HoldingsRequested { owner, question, .. } => (
                input::Input::HoldingsRequested { ticket, owner, question },
                input::Input::HoldingsReported {
                    peer: peer.clone(),
                    report: leases::Report::Unknown,
                },
                input::Input::HoldingsReported { peer, report: leases::Report::Ended },
            ),
            input::Input::AllowancesRequested { request, .. } => {
                let missing = input::Input::AllowancesAnswered { peer, number, answer: None };
                let input = input::Input::AllowancesRequested { ticket, request };
                (input, missing.clone(), missing)
            }
            other => panic!("not a request: {other:?}"),
        };
        let is_lost = self.is_lost(from, to);
        if !self.members.contains_key(to) && !is_lost {
            self.tell(from, 2 * self.delay, ended);
            return;
        }
        // A response that arrives first is the one that counts.
        self.tell(from, RESPONSE_TIMEOUT, missing);
        if !is_lost {
            let delay = self.delay / 2 + self.random(self.delay / 2 + 1);
            self.schedule(to, self.now + delay, Event::Request(Box::new(input)));
        }
    }

    fn transmit(&mut self, from: &str, to: &str, input: input::Input) {
        if !self.is_lost(from, to) {
            let delay = self.delay / 2 + self.random(self.delay / 2 + 1);
            self.tell(to, delay, input);
        }
    }

    fn probe(&mut self, from: &str, peer: ids::InstanceName) {
        let to = peer.as_str().to_owned();
        let is_frozen = self.members.get(&to).is_none_or(|member| self.now < member.frozen_until);
        let has_responded = !is_frozen && !self.is_lost(from, &to);
        let delay = if has_responded { 2 * self.delay } else { RESPONSE_TIMEOUT };
        self.tell(from, delay, input::Input::PeerProbed { peer, has_responded });
    }

    /// Returns the times at which calls of a workspace were sent, in order.
    pub fn sent_times(&self, workspace: &str) -> Vec<u64> {
        let sent = self.sent.iter().filter(|sent| sent.workspace == workspace);
        sent.map(|sent| sent.at).collect()
    }

    /// Returns the largest number of calls of a workspace in a window of the bound from `from` on.
    pub fn most_in_window(&self, workspace: &str, from: u64) -> usize {
        let window = fixture::settings().allowance_tolerance.window.as_micros() as u64;
        let times = self.sent_times(workspace);
        let times: Vec<u64> = times.into_iter().filter(|at| *at >= from).collect();
        let mut first = 0;
        let mut most = 0;
        for (index, at) in times.iter().enumerate() {
            while times[first] + window <= *at {
                first += 1;
            }
            most = most.max(index + 1 - first);
        }
        most
    }

    /// Returns the refusals of a workspace with this reason since `from`.
    pub fn refusals(&self, workspace: &str, reason: output::Reason, from: u64) -> usize {
        let refused = self.refused.iter().filter(|(at, name, _)| *at >= from && name == workspace);
        refused.filter(|(.., refusal)| refusal.reason == reason).count()
    }

    /// Returns the number of calls of a workspace that arrived since `from` and had to wait for more
    /// than `limit` microseconds.
    pub fn waited_longer(&self, workspace: &str, limit: u64, from: u64) -> usize {
        let sent = self.sent.iter().filter(|sent| sent.workspace == workspace);
        sent.filter(|sent| sent.arrived_at >= from && sent.at - sent.arrived_at > limit).count()
    }

    /// Runs for `seconds` with `per_s` calls per second of a workspace, at random times, at gateways
    /// chosen at random from `names`.
    pub fn load(&mut self, seconds: f64, loads: &[(&str, f64)], names: &[String]) {
        let end = self.now + (seconds * SECOND as f64) as u64;
        let mut arrivals = Vec::new();
        for (workspace, per_s) in loads {
            let mut at = self.now as f64;
            loop {
                let chance = (self.random(1_000_000) + 1) as f64 / 1_000_001.0;
                at += -chance.ln() / per_s * SECOND as f64;
                if at >= end as f64 {
                    break;
                }
                let index = self.random(names.len() as u64) as usize;
                arrivals.push((at as u64, index, (*workspace).to_owned()));
            }
        }
        arrivals.sort();
        for (at, index, workspace) in arrivals {
            self.run(time::Duration::from_micros(at.saturating_sub(self.now)));
            self.call(&names[index], &workspace);
        }
        self.run(time::Duration::from_micros(end.saturating_sub(self.now)));
    }
}
