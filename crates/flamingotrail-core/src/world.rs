//! The state of one instance, and the tick that advances it.

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

/// Maximum number of passes over the schedule in one tick; remaining work waits for the next tick.
const MAX_PASSES: u32 = 16;

/// Parses and validates configurations. The result must depend only on the source text, so that all
/// instances agree.
pub trait ConfigParser: Send {
    /// Parses and validates the source text of a configuration.
    ///
    /// # Errors
    ///
    /// Returns a description of all mistakes in the configuration.
    fn parse(&self, source: &str) -> Result<config::Config, String>;
}

/// Context of one tick.
#[derive(Clone, Copy, Debug)]
pub struct Tick {
    /// Time of the tick.
    pub now: time::Timestamp,
}

/// State of one instance.
pub struct World {
    /// Identity and location of this instance.
    pub identity: settings::Identity,
    /// Limits, timeouts and intervals.
    pub settings: settings::Settings,
    /// The tables.
    pub tables: tables::Tables,
    /// The scheduling policies of the current configuration.
    pub policies: policy::Policies,
    /// Start of the graceful shutdown, if one is in progress.
    pub draining_since: Option<time::Timestamp>,
    /// Whether the graceful shutdown is complete.
    pub stopped: bool,
    pub(crate) config_parser: Box<dyn ConfigParser>,
    pub(crate) rng: rng::Rng,
    pub(crate) inputs: collections::VecDeque<input::Input>,
    pub(crate) outputs: Vec<output::Output>,
    pub(crate) started: bool,
}

impl World {
    /// Creates a world with empty tables; `seed` initialises its random generator.
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

    /// Processes `inputs` at the time `now` and returns the resulting outputs in order.
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

    /// Returns when the next tick is due without further input, or `None` if nothing is scheduled.
    pub fn next_due(&self) -> Option<time::Timestamp> {
        if !self.started || !self.is_idle() {
            return Some(time::Timestamp::ZERO);
        }
        self.tables.timers.next_due()
    }

    /// Returns whether no system has pending work.
    fn is_idle(&self) -> bool {
        self.tables.dirty.is_empty() && self.tables.inbox.is_empty() && self.inputs.is_empty()
    }

    /// Returns whether this instance accepts new work.
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
        self.tables.configuration.config()
    }
}
