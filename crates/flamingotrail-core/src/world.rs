//! One process's tables, and the tick that moves them on.

use std::collections;

use crate::config;
use crate::input;
use crate::output;
use crate::policy;
use crate::rng;
use crate::schedule;
use crate::settings;
use crate::tables;
use crate::time;

/// Passes over the schedule in one tick; what is left then waits for the next tick.
const MAX_PASSES: u32 = 16;

/// Reads the text of a configuration set; the same text gives the same answer at every process.
pub trait ConfigParser: Send {
    /// The checked objects, or why the set is not valid.
    ///
    /// # Errors
    ///
    /// Every mistake of the set, as text.
    fn parse(&self, source: &str) -> Result<config::Config, String>;
}

/// What one tick is given.
#[derive(Clone, Copy, Debug)]
pub struct Tick {
    /// The time.
    pub now: time::Timestamp,
}

/// One process's state.
pub struct World {
    /// Who and where this process is.
    pub identity: settings::Identity,
    /// Limits and intervals.
    pub settings: settings::Settings,
    /// The tables.
    pub tables: tables::Tables,
    /// The policies in force.
    pub policies: policy::Policies,
    /// Whether a graceful shutdown is under way, and since when.
    pub draining_since: Option<time::Timestamp>,
    /// Whether the shutdown is complete.
    pub stopped: bool,
    pub(crate) config_parser: Box<dyn ConfigParser>,
    pub(crate) rng: rng::Rng,
    pub(crate) inputs: collections::VecDeque<input::Input>,
    pub(crate) outputs: Vec<output::Output>,
    pub(crate) started: bool,
}

impl World {
    /// A world that has seen nothing yet; `seed` feeds its generator.
    pub fn new(
        identity: settings::Identity,
        settings: settings::Settings,
        config_parser: Box<dyn ConfigParser>,
        seed: u64,
    ) -> Self {
        World {
            identity,
            settings,
            tables: tables::Tables::default(),
            policies: policy::Policies::new(config::Policies::default()),
            draining_since: None,
            stopped: false,
            config_parser,
            rng: rng::Rng::new(seed),
            inputs: collections::VecDeque::new(),
            outputs: Vec::new(),
            started: false,
        }
    }

    /// Takes `inputs` at `now` and returns what is to be done, in order.
    pub fn tick(&mut self, now: time::Timestamp, inputs: Vec<input::Input>) -> Vec<output::Output> {
        self.inputs.extend(inputs);
        let tick = Tick { now };
        for _ in 0..MAX_PASSES {
            for system in schedule::SYSTEMS {
                (system.run)(self, &tick);
            }
            if self.is_idle() {
                break;
            }
        }
        std::mem::take(&mut self.outputs)
    }

    /// When the next tick is due without any input; none where nothing is scheduled.
    pub fn next_due(&self) -> Option<time::Timestamp> {
        if !self.started || !self.is_idle() {
            return Some(time::Timestamp::ZERO);
        }
        self.tables.timers.next()
    }

    /// Whether no system has anything left to do.
    fn is_idle(&self) -> bool {
        self.tables.dirty.is_empty() && self.tables.inbox.is_empty() && self.inputs.is_empty()
    }

    /// Whether this process takes new work.
    pub fn accepts_work(&self) -> bool {
        self.draining_since.is_none()
    }

    pub(crate) fn emit(&mut self, output: output::Output) {
        self.outputs.push(output);
    }

    pub(crate) fn event(
        &mut self,
        name: &'static str,
        about: impl ToString,
        detail: impl ToString,
    ) {
        self.emit(output::Output::Event(output::Event::new(name, about, detail)));
    }

    pub(crate) fn config(&self) -> Option<&config::Config> {
        self.tables.configuration.objects()
    }
}
