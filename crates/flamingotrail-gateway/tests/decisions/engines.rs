//! Engines with slots and queues, and the programs of callers at several gateways that share them, on
//! a simulated clock. Reports what callers got.

use std::collections;
use std::fmt;
use std::ops;
use std::time;

use flamingotrail_core::time as core_time;
use flamingotrail_gateway::ids;
use flamingotrail_gateway::input;
use flamingotrail_gateway::output;
use flamingotrail_gateway::systems::admission;
use flamingotrail_gateway::world;

use crate::fixture;

/// Resolution of the simulated clock.
const STEP: time::Duration = time::Duration::from_millis(10);
/// Steps per second.
pub const STEPS_PER_S: u64 = 100;
/// Slots of an engine.
pub const SLOTS: usize = 4;
/// Requests that an engine queues; it refuses others.
const QUEUE: usize = 8;
/// Time of a call, in steps.
const CALL_STEPS: u64 = 400;
/// Number of times that a caller returns after refusals of one call.
const MAX_RETURNS: u32 = 2;

/// How a program ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    InTime,
    Late,
    RefusedEarly,
    RefusedLate,
    Lost,
}

/// A program, and how far its caller has got with it.
#[derive(Clone, Debug)]
pub struct Program {
    pub kind: &'static str,
    pub workspace: &'static str,
    /// Step in which the first turn is sent.
    pub begin: u64,
    pub turns: u64,
    /// Steps for which each turn occupies a slot.
    pub work: u64,
    /// Gateways that its calls go to.
    pub gateways: ops::Range<usize>,
    pub end: Option<End>,
    /// Steps from the request to its slot, for each turn.
    pub waits: Vec<u64>,
    /// Whether its first turn was refused, so that it is sent again or not at all.
    pub was_refused: bool,
    returns: u32,
    done: u64,
    next_at: Option<u64>,
    tried_since: u64,
    sent_at: u64,
    call: Option<(usize, u64)>,
    turn: Option<String>,
}

impl Program {
    pub fn new(kind: &'static str, workspace: &'static str, begin: u64, work: u64) -> Self {
        Program {
            kind,
            workspace,
            begin,
            turns: 4 + begin % 6,
            work,
            gateways: 0..usize::MAX,
            end: None,
            waits: Vec::new(),
            was_refused: false,
            returns: 0,
            done: 0,
            next_at: Some(begin),
            tried_since: begin,
            sent_at: begin,
            call: None,
            turn: None,
        }
    }

    /// Steps between two turns.
    fn pause(&self) -> u64 {
        if self.begin.is_multiple_of(2) {
            15
        } else {
            2
        }
    }

    fn end_by_time(&self, now: u64) -> End {
        let idle = self.turns * self.work + (self.turns - 1) * self.pause();
        let in_time = now - self.begin <= idle * 135 / 100 + 40;
        if in_time {
            End::InTime
        } else {
            End::Late
        }
    }
}

/// A refusal as the model sees it.
#[derive(Clone, Copy, Debug)]
pub struct Refused {
    pub step: u64,
    /// Whether it was the first turn of a program.
    pub is_first: bool,
    /// Part of all slots that was free, in percent.
    pub free_percent: usize,
    pub refusal: output::Refusal,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    urgency: u8,
    arrived: u64,
    gateway: usize,
    call: u64,
    left: u64,
}

#[derive(Default)]
struct Engine {
    running: Vec<Request>,
    waiting: Vec<Request>,
}

impl Engine {
    fn load(&self) -> Option<input::Load> {
        Some(input::Load {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            slots: SLOTS as u32,
            slowdown_percent: None,
        })
    }
}

/// Gateways, engines and programs.
pub struct Model {
    pub gateways: Vec<fixture::Gateway>,
    /// Gateways that calls are sent to.
    pub active: ops::Range<usize>,
    pub programs: Vec<Program>,
    pub refused: Vec<Refused>,
    /// Tries of first turns, and those of them that were refused, by whether the caller had returned.
    pub first_tries: collections::BTreeMap<bool, (usize, usize)>,
    pub log: fixture::MemoryLog,
    pub now: u64,
    configuration: input::Configuration,
    engines: collections::BTreeMap<ids::EndpointId, Engine>,
    calls: collections::BTreeMap<u64, usize>,
    refusals_seen: Vec<usize>,
    sent_seen: Vec<usize>,
    seed: u64,
}

fn key(workspace: &str) -> ids::KeyDigest {
    ids::KeyDigest::of(workspace.as_bytes())
}

impl Model {
    /// Returns a model of `gateways` gateways and `engines` engines for `workspaces`.
    pub fn new(gateways: usize, engines: usize, workspaces: &[(&str, Option<u8>)]) -> Self {
        let mut configuration = fixture::configuration(2);
        let mut configured = fixture::workspaces(workspaces);
        let names = workspaces.iter().map(|(name, _)| *name);
        configured.by_key = names.map(|n| (key(n), ids::WorkspaceName::new(n))).collect();
        configuration.workspaces = Some(configured).filter(|_| !workspaces.is_empty());
        let ids = (0..engines).map(|number| ids::EndpointId::new(format!("engine-{number}")));
        let mut model = Model {
            gateways: Vec::new(),
            active: 0..0,
            programs: Vec::new(),
            refused: Vec::new(),
            first_tries: collections::BTreeMap::new(),
            log: fixture::MemoryLog::default(),
            now: 0,
            configuration,
            engines: ids.map(|id| (id, Engine::default())).collect(),
            calls: collections::BTreeMap::new(),
            refusals_seen: Vec::new(),
            sent_seen: Vec::new(),
            seed: 7,
        };
        model.replace_gateways(gateways);
        model
    }

    /// Starts `count` gateways that know nothing, and sends all further calls to them.
    pub fn replace_gateways(&mut self, count: usize) {
        let first = self.gateways.len();
        let rows = self.engines.keys().map(|id| {
            let listed = fixture::endpoint("engine", "north-a");
            (id.clone(), input::Endpoint { slots: SLOTS as u32, ..listed })
        });
        let endpoints = input::Membership { endpoints: rows.collect() };
        let names: Vec<String> = (first..first + count).map(|n| format!("g{n}")).collect();
        for name in &names {
            let mut gateway = fixture::Gateway::unconfigured(name);
            let others = names.iter().filter(|other| *other != name);
            let peers = others.map(|other| fixture::peer(other, "north")).collect();
            gateway.now = core_time::Timestamp::ZERO.after(STEP * self.now as u32);
            gateway.tick(vec![
                input::Input::Configuration(Box::new(self.configuration.clone())),
                input::Input::Endpoints(endpoints.clone()),
                input::Input::Peers(peers),
            ]);
            self.gateways.push(gateway);
            self.sent_seen.push(0);
            self.refusals_seen.push(0);
        }
        self.active = first..first + count;
    }

    /// Adds `count` programs that begin evenly in `seconds` after now, with turns of `work` steps.
    pub fn add(
        &mut self,
        count: u64,
        seconds: u64,
        kind: (&'static str, u64),
        workspace: &'static str,
    ) {
        for number in 0..count {
            let begin = self.now + 1 + number * seconds * STEPS_PER_S / count;
            self.programs.push(Program::new(kind.0, workspace, begin, kind.1));
        }
    }

    /// Runs for `seconds`.
    pub fn run(&mut self, seconds: u64) {
        for _ in 0..seconds * STEPS_PER_S {
            self.now += 1;
            self.advance_engines();
            for gateway in &mut self.gateways {
                gateway.advance(STEP, &mut self.log);
            }
            self.deliver();
            for index in 0..self.programs.len() {
                self.advance_program(index);
                self.deliver();
            }
        }
    }

    /// Ends the requests whose work is done, and begins those that get a slot.
    fn advance_engines(&mut self) {
        let (mut ended, mut begun) = (Vec::new(), Vec::new());
        for engine in self.engines.values_mut() {
            engine.running.iter_mut().for_each(|request| request.left -= 1);
            let (done, running) = engine.running.iter().partition(|request| request.left == 0);
            engine.running = running;
            let done: Vec<Request> = done;
            engine.waiting.sort_by_key(|request| (request.urgency, request.arrived));
            while engine.running.len() < SLOTS && !engine.waiting.is_empty() {
                let request = engine.waiting.remove(0);
                engine.running.push(request);
                begun.push(request);
            }
            let load = engine.load();
            ended.extend(done.into_iter().map(|request| (request, load)));
        }
        for request in begun {
            let program = &mut self.programs[self.calls[&request.call]];
            program.waits.push(self.now - program.sent_at);
            self.gateways[request.gateway].begin_response(request.call, input::Notice::default());
        }
        for (request, load) in ended {
            let mut outcome = fixture::stream_outcome(2);
            if let input::Outcome::Streamed { load: reported, .. } = &mut outcome {
                *reported = load;
            }
            self.gateways[request.gateway].end_attempt(request.call, outcome);
        }
    }

    /// Lets new requests reach their engines, which refuse those that their queues have no room for.
    fn deliver(&mut self) {
        for index in 0..self.gateways.len() {
            let gateway = &mut self.gateways[index];
            while let Some(sent) = gateway.sent.get(self.sent_seen[index]) {
                self.sent_seen[index] += 1;
                let (call, urgency) = (sent.call.0, sent.urgency.expect("an engine"));
                let engine = self.engines.get_mut(&sent.endpoint).expect("listed");
                if engine.running.len() >= SLOTS && engine.waiting.len() >= QUEUE {
                    let outcome = input::Outcome::Refused { status: 503, load: engine.load() };
                    gateway.end_attempt(call, outcome);
                    continue;
                }
                let left = self.programs[self.calls[&call]].work;
                let arrived = self.now;
                engine.waiting.push(Request { urgency, arrived, gateway: index, call, left });
            }
            for call in std::mem::take(&mut gateway.cancelled) {
                for engine in self.engines.values_mut() {
                    engine.running.retain(|request| request.call != call.0);
                    engine.waiting.retain(|request| request.call != call.0);
                }
                gateway.end_attempt(call.0, input::Outcome::Cancelled);
            }
        }
    }

    /// Part of all slots that no request has or waits for, in percent.
    pub fn free_percent(&self) -> usize {
        let taken = |engine: &Engine| (engine.running.len() + engine.waiting.len()).min(SLOTS);
        let taken: usize = self.engines.values().map(taken).sum();
        100 - taken * 100 / (self.engines.len() * SLOTS)
    }

    /// Handles the end of a program's call, or sends the next one.
    fn advance_program(&mut self, index: usize) {
        let now = self.now;
        let program = &self.programs[index];
        if program.next_at.is_some_and(|at| at <= now) {
            self.send_turn(index);
            return;
        }
        let Some((gateway, call)) = program.call else { return };
        let gateway = &mut self.gateways[gateway];
        let id = ids::CallId(call);
        if gateway.finished.last() == Some(&id) || gateway.has_finished(call) {
            gateway.tick(vec![input::Input::Delivered(id)]);
            let program = &mut self.programs[index];
            program.call = None;
            program.done += 1;
            program.turn = Some(format!("t{call}"));
            if program.done == program.turns {
                program.end = Some(program.end_by_time(now));
            } else {
                program.next_at = Some(now + program.pause());
                program.tried_since = now + program.pause();
                program.returns = 0;
            }
            return;
        }
        let refusal = gateway.refused.iter().rev().find(|(refused, _)| *refused == id);
        let Some((_, refusal)) = refusal.copied() else { return };
        let free_percent = self.free_percent();
        let program = &mut self.programs[index];
        program.call = None;
        let is_first = program.done == 0;
        if is_first {
            self.first_tries.entry(program.was_refused).or_default().1 += 1;
            program.was_refused = true;
        }
        let retry_after = refusal.retry_after;
        self.refused.push(Refused { step: now, is_first, free_percent, refusal });
        let left = CALL_STEPS.saturating_sub(now - program.tried_since);
        let delay = retry_after.map(|delay| delay.as_millis().div_ceil(STEP.as_millis()) as u64);
        match delay.filter(|delay| *delay <= left / 3 && program.returns < MAX_RETURNS) {
            Some(delay) => {
                program.returns += 1;
                program.next_at = Some(now + delay.max(1));
            }
            None => {
                let refused = if is_first { End::RefusedEarly } else { End::RefusedLate };
                program.end = Some(if retry_after.is_some() { refused } else { End::Lost });
            }
        }
    }

    fn send_turn(&mut self, index: usize) {
        self.seed = self.seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        let call = self.calls.len() as u64 + 1;
        let program = &mut self.programs[index];
        let count = program.gateways.end.min(self.active.len()) - program.gateways.start;
        let chosen = program.gateways.start + (self.seed >> 33) as usize % count;
        let gateway_index = self.active.start + chosen;
        let (id, name) = (format!("t{call}"), format!("p{index}"));
        let mut request = fixture::turn_request(call, &id, &name, program.turn.as_deref(), 80_000);
        let left = CALL_STEPS.saturating_sub(self.now - program.tried_since);
        request.timeout = Some(STEP * left as u32);
        request.credential = input::Credential::Key(key(program.workspace));
        if program.done == 0 {
            self.first_tries.entry(program.was_refused).or_default().0 += 1;
        }
        program.next_at = None;
        program.sent_at = self.now;
        program.call = Some((gateway_index, call));
        self.calls.insert(call, index);
        receive_from(&mut self.gateways[gateway_index], program.workspace, request);
    }

    /// Number of programs that match.
    pub fn count(&self, matches: impl Fn(&Program) -> bool) -> usize {
        self.programs.iter().filter(|program| matches(program)).count()
    }

    /// Part of the matching programs that were served, in percent.
    pub fn served_percent(&self, matches: impl Fn(&Program) -> bool) -> usize {
        let served = |p: &Program| matches!(p.end, Some(End::InTime | End::Late));
        let all = self.count(&matches).max(1);
        self.count(|program| matches(program) && served(program)) * 100 / all
    }
}

/// Lets a gateway receive a request of `workspace`, which is set before the request is placed.
fn receive_from(gateway: &mut fixture::Gateway, workspace: &str, mut request: input::Arrival) {
    let call = request.call;
    request.received = gateway.now;
    let world = &mut gateway.world;
    world.tables.inbox.arrivals.push(request);
    admission::run(world, &world::Tick { now: gateway.now });
    let has_workspaces = world.tables.routes.has_workspaces();
    if let Some(row) = world.tables.calls.rows.get_mut(&call).filter(|_| has_workspaces) {
        row.workspace = Some(ids::WorkspaceName::new(workspace));
    }
    gateway.tick(Vec::new());
}

impl fmt::Display for Model {
    /// Shows what the callers of each kind and workspace got.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let groups: collections::BTreeSet<_> =
            self.programs.iter().map(|program| (program.kind, program.workspace)).collect();
        for (kind, workspace) in groups {
            let is_member = |p: &&Program| p.kind == kind && p.workspace == workspace;
            let members: Vec<_> = self.programs.iter().filter(is_member).collect();
            let mut ends: collections::BTreeMap<_, usize> = collections::BTreeMap::new();
            members.iter().for_each(|program| *ends.entry(program.end).or_default() += 1);
            let mut waits: Vec<u64> = members.iter().flat_map(|p| p.waits.clone()).collect();
            waits.sort_unstable();
            let at = |percent: usize| waits.get(waits.len() * percent / 100).map(|w| w * 10);
            writeln!(
                f,
                "{kind} {workspace}: {} programs {ends:?}, wait p50 {:?} p95 {:?} ms",
                members.len(),
                at(50),
                at(95)
            )?;
        }
        Ok(())
    }
}
