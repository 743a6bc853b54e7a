//! A stand-in of a model engine: continuous batching in steps, in which prefill and decode share a
//! budget of tokens; a prefix cache; holds; lagging reports; a crash on marked content.
//!
//! Answers are a function of the prompt, so that an answer that goes on behind a prefix is the same
//! as one that was never broken. The last message says how many tokens to answer by ending in
//! `#n`; one that contains [`CRASH`] crashes the engine.

use std::collections;
use std::time as std_time;

use flamingotrail_core::time;

use crate::prefix_cache;

/// Mark of content that crashes the engine.
pub const CRASH_MARKER: &str = "crash!";

/// What an engine can do.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Calls that it runs at a time.
    pub slots: usize,
    /// Tokens that one step computes at most.
    pub step_tokens: usize,
    /// Length of a step without tokens.
    pub step_base: std_time::Duration,
    /// Length that each token adds to a step.
    pub step_per_token: std_time::Duration,
    /// Cache, in tokens.
    pub cache_tokens: u64,
    /// How long it is down after a crash.
    pub restart_delay: std_time::Duration,
    /// Whether it refuses orders with an old fencing number.
    pub enforces_fencing: bool,
    /// Age of what it reports.
    pub report_lag: std_time::Duration,
}

impl EngineConfig {
    /// A small engine.
    pub fn new() -> Self {
        EngineConfig {
            slots: 16,
            step_tokens: 512,
            step_base: std_time::Duration::from_millis(6),
            step_per_token: std_time::Duration::from_micros(20),
            cache_tokens: 200_000,
            restart_delay: std_time::Duration::from_secs(3),
            enforces_fencing: false,
            report_lag: std_time::Duration::from_millis(500),
        }
    }

    /// Prompt tokens a second when nothing else runs.
    pub fn prefill_rate(&self) -> f64 {
        let step = self.step_base.as_secs_f64()
            + self.step_per_token.as_secs_f64() * self.step_tokens as f64;
        self.step_tokens as f64 / step
    }
}

impl Default for EngineConfig {
    fn default() -> Self {
        EngineConfig::new()
    }
}

/// A call as the engine gets it.
#[derive(Clone, Debug)]
pub struct Call {
    /// Number that the caller of the stand-in chose.
    pub id: u64,
    /// Prompt, as [`prompt_text`] writes it.
    pub prompt: String,
    /// Text of the answer that stands already.
    pub prefix: String,
    /// Most tokens to generate.
    pub max_tokens: u32,
    /// Hold to make afterwards.
    pub hold: Option<u64>,
    /// Tag of the program, for measuring.
    pub tag: u64,
}

/// Something that an engine says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// The next piece of a call's answer.
    Text {
        /// The call.
        id: u64,
        /// The piece.
        text: String,
    },
    /// The end of a call's answer.
    Done {
        /// The call.
        id: u64,
        /// Prompt tokens.
        prompt_tokens: u32,
        /// Prompt tokens found in the cache.
        cached_tokens: u32,
        /// Tokens generated.
        completion_tokens: u32,
        /// Whether the token limit ended it.
        hit_token_limit: bool,
    },
    /// The call broke: the engine went down.
    Broken {
        /// The call.
        id: u64,
    },
}

struct Running {
    call: Call,
    identity: u64,
    blocks: Vec<prefix_cache::BlockId>,
    prompt_tokens: usize,
    cached_tokens: usize,
    computed: usize,
    wanted: usize,
    generated: usize,
    text: String,
}

/// An engine.
pub struct FakeEngine {
    /// What it can do.
    pub config: EngineConfig,
    running: collections::BTreeMap<u64, Running>,
    order: Vec<u64>,
    cache: prefix_cache::PrefixCache,
    step_ends: Option<time::Timestamp>,
    planned: Vec<(u64, usize)>,
    down_until: Option<time::Timestamp>,
    highest_fence: u64,
    /// Crashes so far.
    pub crashes: u32,
    /// Prompt tokens computed so far.
    pub computed_tokens: u64,
    reports: collections::VecDeque<(time::Timestamp, Report)>,
}

/// What an engine reports.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Calls that run.
    pub running: u32,
    /// Prompt tokens a second.
    pub prefill_rate: f64,
    /// Share of memory that holds pin.
    pub pressure: f64,
    /// Holds.
    pub holds: Vec<u64>,
}

/// Prompt text of messages: the text of one turn's prompt with its answer is a prefix of the next
/// turn's prompt.
pub fn prompt_text<'a>(messages: impl Iterator<Item = (&'a str, &'a str)>) -> String {
    let mut text = String::new();
    for (role, content) in messages {
        text.push_str(&format!("<{role}>{content}"));
    }
    text.push_str("<assistant>");
    text
}

/// Tokens that the last message asks for: the number behind its last `#`.
fn wanted_tokens(prompt: &str) -> Option<usize> {
    let body = prompt.strip_suffix("<assistant>")?;
    let (_, number) = body.rsplit_once('#')?;
    number.parse().ok()
}

fn identity_of(prompt: &str) -> u64 {
    let digest =
        flamingotrail_core::digest::Hasher::new("prompt").with_bytes(prompt.as_bytes()).finish();
    let mut first = [0; 8];
    first.copy_from_slice(&digest.0[..8]);
    u64::from_le_bytes(first)
}

/// Token `index` of the answer to a prompt: [`prefix_cache::TOKEN_BYTES`] bytes.
fn token(identity: u64, index: usize) -> String {
    const LETTERS: &[u8] = b"abcdefghijklmnopqrstuvwxyz";
    const STEP: u64 = 0x9e37_79b9_7f4a_7c15;
    let mut state = identity ^ (index as u64).wrapping_mul(STEP);
    state = (state ^ (state >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    state ^= state >> 32;
    let letter = |shift: u32| {
        let index = (state >> shift) % LETTERS.len() as u64;
        char::from(LETTERS[usize::try_from(index).unwrap_or(0)])
    };
    format!("{}{}{} ", letter(0), letter(16), letter(32))
}

/// The whole answer to a prompt, as any engine gives it.
pub fn expected_answer(prompt: &str, tokens: usize) -> String {
    let identity = identity_of(prompt);
    (0..tokens).map(|index| token(identity, index)).collect()
}

impl FakeEngine {
    /// An idle engine.
    pub fn new(config: EngineConfig) -> Self {
        let cache = prefix_cache::PrefixCache::new(config.cache_tokens);
        FakeEngine {
            config,
            running: collections::BTreeMap::new(),
            order: Vec::new(),
            cache,
            step_ends: None,
            planned: Vec::new(),
            down_until: None,
            highest_fence: 0,
            crashes: 0,
            computed_tokens: 0,
            reports: collections::VecDeque::new(),
        }
    }

    /// Whether it is up.
    pub fn is_up(&self, now: time::Timestamp) -> bool {
        self.down_until.is_none_or(|until| now >= until)
    }

    /// Takes a call: whether it has a slot for it and is up.
    pub fn start(&mut self, now: time::Timestamp, call: Call) -> bool {
        if !self.is_up(now) || self.running.len() >= self.config.slots {
            return false;
        }
        let identity = identity_of(&call.prompt);
        let whole = format!("{}{}", call.prompt, call.prefix);
        let blocks = prefix_cache::block_ids(&whole);
        let cached_blocks = self.cache.match_prefix(&blocks);
        let prompt_tokens = whole.len().div_ceil(prefix_cache::TOKEN_BYTES);
        let cached_tokens = cached_blocks * prefix_cache::BLOCK_TOKENS;
        let standing = call.prefix.len() / prefix_cache::TOKEN_BYTES;
        let asked = wanted_tokens(&call.prompt).unwrap_or(usize::MAX);
        let most = standing + usize::try_from(call.max_tokens).unwrap_or(usize::MAX);
        let id = call.id;
        let row = Running {
            identity,
            blocks,
            prompt_tokens,
            cached_tokens,
            computed: cached_tokens,
            wanted: asked.min(most),
            generated: standing,
            text: String::new(),
            call,
        };
        self.running.insert(id, row);
        self.order.push(id);
        self.plan(now);
        true
    }

    /// Stops a call.
    pub fn abort(&mut self, id: u64) {
        self.running.remove(&id);
        self.order.retain(|other| *other != id);
    }

    /// When [`FakeEngine::advance`] has something to say next.
    pub fn next_event(&self) -> Option<time::Timestamp> {
        self.step_ends
    }

    /// Ends the step that is due at `now`, and starts the next.
    pub fn advance(&mut self, now: time::Timestamp) -> Vec<EngineEvent> {
        let Some(ends) = self.step_ends.filter(|ends| *ends <= now) else {
            return Vec::new();
        };
        self.step_ends = None;
        let mut said = Vec::new();
        for (id, tokens) in std::mem::take(&mut self.planned) {
            self.end_part(id, tokens, &mut said);
        }
        if self.crashes_now() {
            return self.crash(now);
        }
        self.plan(ends);
        said
    }

    fn end_part(&mut self, id: u64, tokens: usize, said: &mut Vec<EngineEvent>) {
        let Some(row) = self.running.get_mut(&id) else {
            return;
        };
        if row.computed < row.prompt_tokens {
            row.computed += tokens;
            self.computed_tokens += tokens as u64;
            if row.computed < row.prompt_tokens {
                return;
            }
            self.cache.insert(&row.blocks, row.call.tag);
        }
        if row.generated < row.wanted {
            let text = token(row.identity, row.generated);
            row.generated += 1;
            row.text.push_str(&text);
            said.push(EngineEvent::Text { id, text });
        }
        if row.generated >= row.wanted {
            self.finish(id, said);
        }
    }

    fn finish(&mut self, id: u64, said: &mut Vec<EngineEvent>) {
        let Some(row) = self.running.remove(&id) else {
            return;
        };
        self.order.retain(|other| *other != id);
        let whole = format!("{}{}{}", row.call.prompt, row.call.prefix, row.text);
        let blocks = prefix_cache::block_ids(&whole);
        self.cache.insert(&blocks, row.call.tag);
        if let Some(hold) = row.call.hold {
            self.cache.hold(hold, &blocks);
        }
        let number = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        said.push(EngineEvent::Done {
            id,
            prompt_tokens: number(row.prompt_tokens),
            cached_tokens: number(row.cached_tokens),
            completion_tokens: number(row.text.len() / prefix_cache::TOKEN_BYTES),
            hit_token_limit: wanted_tokens(&row.call.prompt)
                .is_none_or(|asked| asked > row.generated),
        });
    }

    /// Shares the next step's tokens out: one for each call that decodes, the rest for prefill in
    /// order of arrival.
    fn plan(&mut self, now: time::Timestamp) {
        if self.step_ends.is_some() || self.running.is_empty() {
            return;
        }
        let mut left = self.config.step_tokens;
        let mut total = 0;
        let mut planned = Vec::new();
        let decodes = |row: &Running| row.computed >= row.prompt_tokens;
        for (id, _) in self.running.iter().filter(|(_, row)| decodes(row)) {
            planned.push((*id, 1));
            left = left.saturating_sub(1);
            total += 1;
        }
        for id in &self.order {
            let Some(row) = self.running.get(id).filter(|row| !decodes(row)) else {
                continue;
            };
            let tokens = left.min(row.prompt_tokens - row.computed);
            if tokens == 0 {
                break;
            }
            planned.push((*id, tokens));
            left -= tokens;
            total += tokens;
        }
        let step = self.config.step_base
            + self.config.step_per_token * u32::try_from(total).unwrap_or(u32::MAX);
        self.planned = planned;
        self.step_ends = Some(now.after(step));
    }

    fn crashes_now(&self) -> bool {
        self.running.values().any(|row| row.generated > 0 && row.call.prompt.contains(CRASH_MARKER))
    }

    /// Goes down: everything that runs breaks, the cache is lost.
    pub fn crash(&mut self, now: time::Timestamp) -> Vec<EngineEvent> {
        self.crashes += 1;
        self.down_until = Some(now.after(self.config.restart_delay));
        self.step_ends = None;
        self.planned.clear();
        self.order.clear();
        self.cache = prefix_cache::PrefixCache::new(self.config.cache_tokens);
        let running = std::mem::take(&mut self.running);
        running.into_keys().map(|id| EngineEvent::Broken { id }).collect()
    }

    /// Lets go of a hold: whether the order was taken. An old fencing number is refused where
    /// numbers are enforced.
    pub fn release(&mut self, hold: u64, fence: Option<u64>) -> bool {
        if let Some(fence) = fence.filter(|_| self.config.enforces_fencing) {
            if fence < self.highest_fence {
                return false;
            }
            self.highest_fence = fence;
        }
        self.cache.release(hold);
        true
    }

    /// The cache.
    pub fn cache(&self) -> &prefix_cache::PrefixCache {
        &self.cache
    }

    /// What it reports at `now`: the state of a while ago.
    pub fn report(&mut self, now: time::Timestamp) -> Option<Report> {
        if !self.is_up(now) {
            return None;
        }
        let current = Report {
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            prefill_rate: self.config.prefill_rate(),
            pressure: self.cache.pinned_share(),
            holds: self.cache.holds(),
        };
        self.reports.push_back((now, current.clone()));
        let lag = self.config.report_lag;
        while self.reports.len() > 1 && now.since(self.reports[1].0) >= lag {
            self.reports.pop_front();
        }
        self.reports.front().map(|(_, report)| report.clone())
    }
}
