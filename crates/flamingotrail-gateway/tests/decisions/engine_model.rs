//! Fixture: a model engine with a batch, prompts that are read in chunks, and memory that running
//! requests share with cached prompt parts.

use std::collections;

use flamingotrail_gateway::ids;
use flamingotrail_gateway::input;

/// Tokens that an engine reads in a step at most.
const CHUNK_TOKENS: u64 = 1_024;
/// Tokens that an engine reads in a millisecond.
const TOKENS_PER_MS: f64 = 80.0;
/// Duration of a step that reads nothing, and what each running request adds, in milliseconds.
const STEP_MS: f64 = 3.0;
const REQUEST_STEP_MS: f64 = 0.05;

/// A request at an engine.
#[derive(Clone)]
pub struct Request {
    pub gateway: usize,
    pub call: u64,
    pub prompt: Vec<input::PromptPart>,
    pub output_tokens: u64,
    read: u64,
    written: u64,
    has_begun: bool,
}

impl Request {
    pub fn new(
        gateway: usize,
        call: u64,
        prompt: Vec<input::PromptPart>,
        output_tokens: u64,
    ) -> Self {
        Request { gateway, call, prompt, output_tokens, read: 0, written: 0, has_begun: false }
    }

    fn prompt_tokens(&self) -> u64 {
        self.prompt.iter().map(|part| part.tokens).sum()
    }

    fn unread(&self) -> u64 {
        (self.prompt_tokens() + self.written).saturating_sub(self.read)
    }
}

/// What a step has led to.
pub enum Happening {
    /// The response to the request of a gateway begins.
    Began(usize, u64),
    /// The response is complete.
    Ended(usize, u64),
}

/// A model engine.
#[derive(Default)]
pub struct Engine {
    pub slots: usize,
    pub memory: u64,
    /// Factor on the duration of each step.
    pub slowdown: f64,
    /// What the engine claims in its load, if it reports another figure than the true one.
    pub claimed_percent: Option<u32>,
    pub preempted: u64,
    pub tokens_read: u64,
    pub arrived: u64,
    waiting: collections::VecDeque<Request>,
    running: Vec<Request>,
    /// Cached parts with their tokens and last use.
    cached: collections::BTreeMap<u64, (u64, u64)>,
    uses: u64,
    step_ends_ms: f64,
    /// Requests that read in the current step, with their tokens.
    reading: Vec<(usize, u64)>,
}

impl Engine {
    pub fn new(slots: usize, memory: u64) -> Self {
        Engine { slots, memory, slowdown: 1.0, ..Engine::default() }
    }

    pub fn load(&self) -> input::Load {
        input::Load {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            slots: self.slots as u32,
            slowdown_percent: Some(
                self.claimed_percent.unwrap_or((self.slowdown * 100.0).round() as u32),
            ),
        }
    }

    pub fn receive(&mut self, request: Request) {
        self.arrived += 1;
        self.waiting.push_back(request);
    }

    /// Finishes the steps that end until `now_ms`, and begins the next.
    pub fn advance(&mut self, now_ms: f64) -> Vec<Happening> {
        let mut happenings = Vec::new();
        while self.step_ends_ms <= now_ms {
            self.finish_step(&mut happenings);
            self.admit();
            if self.running.is_empty() {
                self.step_ends_ms = now_ms + STEP_MS;
                break;
            }
            self.begin_step(now_ms);
        }
        happenings
    }

    fn admit(&mut self) {
        while self.running.len() < self.slots && self.in_use() < self.memory {
            let Some(mut request) = self.waiting.pop_front() else { return };
            for part in &request.prompt {
                let Some((_, used)) = self.cached.get_mut(&part.id) else { break };
                *used = self.uses;
                request.read += part.tokens;
            }
            self.uses += 1;
            self.running.push(request);
        }
    }

    fn begin_step(&mut self, now_ms: f64) {
        let mut room = CHUNK_TOKENS;
        self.reading.clear();
        for (index, request) in self.running.iter().enumerate() {
            let tokens = request.unread().min(room);
            if tokens > 0 {
                self.reading.push((index, tokens));
                room -= tokens;
            }
        }
        let read_ms = (CHUNK_TOKENS - room) as f64 / TOKENS_PER_MS;
        let running = self.running.len() as f64;
        let step_ms = (STEP_MS + running * REQUEST_STEP_MS + read_ms) * self.slowdown;
        self.step_ends_ms = self.step_ends_ms.max(now_ms - STEP_MS) + step_ms;
    }

    fn finish_step(&mut self, happenings: &mut Vec<Happening>) {
        for (index, tokens) in std::mem::take(&mut self.reading) {
            self.running[index].read += tokens;
            self.tokens_read += tokens;
        }
        for request in self.running.iter_mut().filter(|request| request.unread() == 0) {
            if !std::mem::replace(&mut request.has_begun, true) {
                happenings.push(Happening::Began(request.gateway, request.call));
            }
            request.written += 1;
            request.read += 1;
        }
        let running = std::mem::take(&mut self.running);
        for request in running {
            if request.written < request.output_tokens {
                self.running.push(request);
                continue;
            }
            happenings.push(Happening::Ended(request.gateway, request.call));
            for part in &request.prompt {
                self.cached.insert(part.id, (part.tokens, self.uses));
            }
            self.uses += 1;
        }
        self.free_memory();
    }

    fn in_use(&self) -> u64 {
        self.running.iter().map(|request| request.read).sum()
    }

    /// Evicts cached parts, the least recently used ones first, and then preempts the newest requests.
    fn free_memory(&mut self) {
        while self.in_use() > self.memory && self.running.len() > 1 {
            let Some(mut request) = self.running.pop() else { return };
            self.preempted += 1;
            request.read = 0;
            self.waiting.push_front(request);
        }
        // Parts that running requests use are held once, by these.
        let held: collections::BTreeSet<u64> =
            self.running.iter().flat_map(|request| &request.prompt).map(|part| part.id).collect();
        let is_free = |id: &u64| !held.contains(id);
        let free = self.cached.iter().filter(|(id, _)| is_free(id));
        let mut cached: u64 = free.map(|(_, (tokens, _))| tokens).sum();
        while cached + self.in_use() > self.memory {
            let free = self.cached.iter().filter(|(id, _)| is_free(id));
            let oldest = free.min_by_key(|(_, (_, used))| *used);
            let Some((id, (tokens, _))) = oldest.map(|(id, part)| (*id, *part)) else { return };
            cached -= tokens;
            self.cached.remove(&id);
        }
    }
}

/// Returns the id of the engine at `index`.
pub fn engine_id(index: usize) -> ids::EndpointId {
    ids::EndpointId::new(format!("engine-{index}"))
}
