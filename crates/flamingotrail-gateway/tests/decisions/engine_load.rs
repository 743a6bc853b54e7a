//! Fixture: gateways that place the turns of programs on model engines, on a simulated clock of 1 ms.

use std::collections;
use std::time;

use flamingotrail_core::time as core_time;
use flamingotrail_gateway::ids;
use flamingotrail_gateway::input;
use flamingotrail_gateway::policy;

use crate::engine_model;
use crate::fixture;

/// Tokens that the output of a call has.
const OUTPUT_TOKENS: u64 = 78;
/// Tokens of a prompt's first part, of which there are `SHARED_PARTS`.
const SHARED_TOKENS: u64 = 512;
const SHARED_PARTS: u64 = 3;

/// A load pattern.
pub struct Pattern {
    pub seed: u64,
    pub gateways: usize,
    pub engines: usize,
    pub slots: usize,
    pub memory_tokens: u64,
    /// Whether the gateways know the engines' memory.
    pub is_memory_known: bool,
    /// Programs that begin in each second.
    pub programs_per_s: f64,
    pub turns: u64,
    pub duration_ms: u64,
    /// Returns the slowdown of an engine at a time, and the figure that it reports if not the true one.
    pub slowdown: fn(usize, u64) -> (f64, Option<u32>),
    pub has_old_policy: bool,
}

impl Default for Pattern {
    fn default() -> Self {
        Pattern {
            seed: 1,
            gateways: 6,
            engines: 8,
            slots: 8,
            memory_tokens: 76_000,
            is_memory_known: true,
            programs_per_s: 16.0,
            turns: 18,
            duration_ms: 30_000,
            slowdown: |_, _| (1.0, None),
            has_old_policy: false,
        }
    }
}

/// The cost by which calls were placed before memory, reads and slowdown were known.
pub struct OldPolicy;

impl policy::Placement for OldPolicy {
    fn cost(&self, request: &policy::Request<'_>, candidate: &policy::Candidate<'_>) -> f64 {
        let row = candidate.row;
        let profile = &request.profile;
        let load = policy::load::expected_load(row, profile.duration_ms, request.now);
        let slots = f64::from(row.listed.slots.max(1));
        let waiting = (load + 1.0 - slots).max(0.0);
        let uncached = policy::prompts::uncached_tokens(request, candidate) as f64;
        let slowness = (row.slowness(request.now) - 1.5).max(0.0);
        uncached * profile.token_ms * (slots / 2.0).max(1.0)
            + load * profile.request_ms
            + waiting * profile.duration_ms / slots
            + candidate.way_ms
            + profile.duration_ms * slowness
    }
}

/// What became of a call.
pub struct Served {
    pub prompt_tokens: u64,
    /// Time until the response began, and until it was complete.
    pub began_ms: u64,
    pub ended_ms: u64,
}

/// What a pattern has led to.
#[derive(Default)]
pub struct Report {
    pub served: Vec<Served>,
    pub calls: usize,
    pub preempted: u64,
    pub tokens_read: u64,
    pub new_tokens: u64,
    pub arrivals: Vec<u64>,
}

impl Report {
    /// Returns the percentile of the times until responses began of the calls that `is_counted`.
    pub fn began_ms(&self, percent: usize, is_counted: impl Fn(&Served) -> bool) -> u64 {
        let counted = self.served.iter().filter(|served| is_counted(served));
        percentile(counted.map(|served| served.began_ms).collect(), percent)
    }

    pub fn ended_ms(&self, percent: usize, is_counted: impl Fn(&Served) -> bool) -> u64 {
        let counted = self.served.iter().filter(|served| is_counted(served));
        percentile(counted.map(|served| served.ended_ms).collect(), percent)
    }

    /// Returns the ratio of the busiest engine's arrivals to the mean.
    pub fn busiest_to_mean(&self) -> f64 {
        let busiest = self.arrivals.iter().max().copied().unwrap_or(0) as f64;
        busiest * self.arrivals.len() as f64 / self.arrivals.iter().sum::<u64>().max(1) as f64
    }

    /// Returns a text with the figures of the report.
    pub fn summary(&self, name: &str) -> String {
        let is_short = |served: &Served| served.prompt_tokens < 3_000;
        let is_long = |served: &Served| served.prompt_tokens > 7_000;
        format!(
            "{name}: served {} of {}, short began p50 {} p95 {}, long began p50 {} p95 {}, \
             all ended p50 {} p95 {}, preempted {}, read {} (new {}), busiest/mean {:.2}",
            self.served.len(),
            self.calls,
            self.began_ms(50, is_short),
            self.began_ms(95, is_short),
            self.began_ms(50, is_long),
            self.began_ms(95, is_long),
            self.ended_ms(50, |_| true),
            self.ended_ms(95, |_| true),
            self.preempted,
            self.tokens_read,
            self.new_tokens,
            self.busiest_to_mean(),
        )
    }
}

fn percentile(mut values: Vec<u64>, percent: usize) -> u64 {
    values.sort_unstable();
    values.get(values.len().saturating_sub(1) * percent / 100).copied().unwrap_or(0)
}

/// A program: each of its turns has the prompts and outputs of the turns before it in its own prompt.
struct Program {
    gateway: usize,
    prompt: Vec<input::PromptPart>,
    turns_left: u64,
    next_ms: Option<u64>,
}

/// A call under way.
struct Call {
    program: usize,
    sent_ms: u64,
    began_ms: Option<u64>,
    load: Option<input::Load>,
}

/// Pseudorandom numbers, which depend only on the seed and on what they are for, so that runs of the
/// same pattern differ only in the placement.
struct Numbers(u64);

impl Numbers {
    fn below(&self, limit: u64, purpose: std::fmt::Arguments<'_>) -> u64 {
        ids::stable_hash(&format!("{}/{purpose}", self.0)) % limit.max(1)
    }
}

/// A run of a pattern.
struct Run<'a> {
    pattern: &'a Pattern,
    numbers: Numbers,
    gateways: Vec<fixture::Gateway>,
    engines: Vec<engine_model::Engine>,
    programs: Vec<Program>,
    calls: collections::BTreeMap<u64, Call>,
    next_call: u64,
    /// Number of dispatches of each gateway that were handed to engines.
    handed: Vec<usize>,
    report: Report,
}

/// Runs a pattern once for each of the seeds 1 to `seeds`, and returns a report on all runs.
pub fn run_seeds(pattern: &Pattern, seeds: u64) -> Report {
    let mut all = Report::default();
    for seed in 1..=seeds {
        let report = run(&Pattern { seed, ..*pattern });
        all.served.extend(report.served);
        all.calls += report.calls;
        all.preempted += report.preempted;
        all.tokens_read += report.tokens_read;
        all.new_tokens += report.new_tokens;
        all.arrivals.extend(report.arrivals);
    }
    all
}

/// Runs a pattern.
fn run(pattern: &Pattern) -> Report {
    let mut run = Run {
        pattern,
        numbers: Numbers(pattern.seed),
        gateways: (0..pattern.gateways).map(|index| gateway(pattern, index)).collect(),
        engines: (0..pattern.engines)
            .map(|_| engine_model::Engine::new(pattern.slots, pattern.memory_tokens))
            .collect(),
        programs: Vec::new(),
        calls: collections::BTreeMap::new(),
        next_call: 0,
        handed: vec![0; pattern.gateways],
        report: Report::default(),
    };
    for now_ms in 0..pattern.duration_ms {
        run.step(now_ms);
    }
    run.report.preempted = run.engines.iter().map(|engine| engine.preempted).sum();
    run.report.tokens_read = run.engines.iter().map(|engine| engine.tokens_read).sum();
    run.report.arrivals = run.engines.iter().map(|engine| engine.arrived).collect();
    run.report.calls = run.next_call as usize;
    run.report
}

/// Returns a gateway that knows the pattern's engines.
fn gateway(pattern: &Pattern, index: usize) -> fixture::Gateway {
    let mut gateway = fixture::Gateway::unconfigured(&format!("gateway-{index}"));
    if pattern.has_old_policy {
        gateway.world.placement = Box::new(OldPolicy);
    }
    let mut configuration = fixture::configuration(1);
    let engine = configuration.services.get_mut(&ids::ServiceName::new("engine"));
    let engine = engine.and_then(|service| service.engine.as_mut()).expect("engines");
    engine.memory_tokens = pattern.is_memory_known.then_some(pattern.memory_tokens);
    let mut row = fixture::endpoint("engine", "north-a");
    row.slots = pattern.slots as u32;
    let rows = (0..pattern.engines).map(|index| (engine_model::engine_id(index), row.clone()));
    gateway.tick(vec![
        input::Input::Configuration(Box::new(configuration)),
        input::Input::Endpoints(input::Membership { endpoints: rows.collect() }),
    ]);
    gateway
}

impl Run<'_> {
    fn step(&mut self, now_ms: u64) {
        let now = core_time::Timestamp::from_micros(1 + now_ms * 1_000);
        self.gateways.iter_mut().for_each(|gateway| gateway.now = now);
        if (self.numbers.below(1_000_000, format_args!("begin {now_ms}")) as f64)
            < self.pattern.programs_per_s * 1_000.0
        {
            self.begin_program(now_ms);
        }
        for program in 0..self.programs.len() {
            if self.programs[program].next_ms == Some(now_ms) {
                self.send_turn(program, now_ms);
            }
        }
        for index in 0..self.engines.len() {
            let engine = &mut self.engines[index];
            (engine.slowdown, engine.claimed_percent) = (self.pattern.slowdown)(index, now_ms);
            for happening in engine.advance(now_ms as f64) {
                self.apply(index, happening, now_ms);
            }
        }
    }

    fn begin_program(&mut self, now_ms: u64) {
        let number = self.programs.len();
        let shared = self.numbers.below(SHARED_PARTS, format_args!("shared {number}"));
        let gateways = self.pattern.gateways as u64;
        let gateway = self.numbers.below(gateways, format_args!("gateway {number}"));
        let turns = self.numbers.below(self.pattern.turns, format_args!("turns {number}"));
        self.programs.push(Program {
            gateway: gateway as usize,
            prompt: vec![input::PromptPart { id: shared, tokens: SHARED_TOKENS }],
            turns_left: 1 + turns,
            next_ms: Some(now_ms),
        });
    }

    fn send_turn(&mut self, index: usize, now_ms: u64) {
        let turn = self.programs[index].turns_left;
        let new_tokens = 300 + self.numbers.below(350, format_args!("new {index} {turn}"));
        let call = self.next_call;
        self.next_call += 1;
        let program = &mut self.programs[index];
        program.next_ms = None;
        program.prompt.push(input::PromptPart { id: 1_000 + call, tokens: new_tokens });
        let prompt: u64 = program.prompt.iter().map(|part| part.tokens).sum();
        let mut request = fixture::request(call, &format!("t{call}"), "/ask/1");
        request.timeout = Some(time::Duration::from_secs(60));
        request.prompt = program.prompt.clone();
        request.usage = Some(input::Usage { prompt, max_output: OUTPUT_TOKENS });
        let row = Call { program: index, sent_ms: now_ms, began_ms: None, load: None };
        self.calls.insert(call, row);
        self.report.new_tokens += new_tokens;
        let gateway = program.gateway;
        self.gateways[gateway].receive(request);
        self.hand_over(gateway);
    }

    /// Hands what a gateway has sent to the engines.
    fn hand_over(&mut self, gateway: usize) {
        let sent = self.gateways[gateway].sent.iter().skip(self.handed[gateway]);
        for dispatch in sent {
            let index = (0..self.engines.len())
                .find(|index| engine_model::engine_id(*index) == dispatch.endpoint)
                .expect("an engine");
            let call = dispatch.call.0;
            let prompt = self.programs[self.calls[&call].program].prompt.clone();
            let request = engine_model::Request::new(gateway, call, prompt, OUTPUT_TOKENS);
            self.engines[index].receive(request);
        }
        self.handed[gateway] = self.gateways[gateway].sent.len();
    }

    fn apply(&mut self, engine: usize, happening: engine_model::Happening, now_ms: u64) {
        match happening {
            engine_model::Happening::Began(gateway, call) => {
                let load = self.engines[engine].load();
                self.gateways[gateway].begin_loaded_response(call, load);
                let row = self.calls.get_mut(&call).expect("a call");
                row.began_ms = Some(now_ms);
                row.load = Some(load);
            }
            engine_model::Happening::Ended(gateway, call) => {
                let row = self.calls.remove(&call).expect("a call");
                self.gateways[gateway].end_attempt(call, outcome(row.load));
                self.gateways[gateway].tick(vec![input::Input::Delivered(ids::CallId(call))]);
                let program = &mut self.programs[row.program];
                let prompt_tokens = program.prompt.iter().map(|part| part.tokens).sum();
                program
                    .prompt
                    .push(input::PromptPart { id: 1_000_000 + call, tokens: OUTPUT_TOKENS });
                program.turns_left -= 1;
                let purpose = format_args!("pause {} {}", row.program, program.turns_left);
                let pause = 100 + self.numbers.below(400, purpose);
                program.next_ms = (program.turns_left > 0).then_some(now_ms + pause);
                self.report.served.push(Served {
                    prompt_tokens,
                    began_ms: row.began_ms.unwrap_or(now_ms) - row.sent_ms,
                    ended_ms: now_ms - row.sent_ms,
                });
            }
        }
    }
}

fn outcome(load: Option<input::Load>) -> input::Outcome {
    let output = bytes::Bytes::from_static(b"word\n");
    input::Outcome::Streamed { complete: true, events: 6, last_event: Some(6), output, load }
}
