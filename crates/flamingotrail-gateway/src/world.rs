//! The state of a gateway and the tick that advances it.

use std::collections;

use flamingotrail_core::time;

use crate::input;
use crate::output;
use crate::policy;
use crate::schedule;
use crate::settings;
use crate::tables;

/// Maximum number of passes over the schedule per tick; remaining work is done in the next tick.
const MAX_PASSES: u32 = 16;

/// Context of a tick.
#[derive(Clone, Copy, Debug)]
pub struct Tick {
    /// Current time.
    pub now: time::Timestamp,
}

/// State of a gateway.
pub struct World {
    /// Identity and location of this gateway.
    pub identity: settings::Identity,
    /// Identifies this process among those of the gateway.
    pub boot: u64,
    /// Limits of the log, and the time allowed for a shutdown.
    pub settings: settings::Settings,
    /// Tables that the systems run over.
    pub tables: tables::Tables,
    /// Policy that selects endpoints.
    pub placement: Box<dyn policy::Placement>,
    /// Start of the graceful shutdown in progress.
    pub draining_since: Option<time::Timestamp>,
    /// Whether the shutdown is complete.
    pub stopped: bool,
    /// Readiness as it was last reported.
    pub(crate) ready: bool,
    pub(crate) inputs: collections::VecDeque<input::Input>,
    pub(crate) outputs: Vec<output::Output>,
}

impl World {
    /// Creates the state of a gateway that has received no input yet.
    pub fn new(identity: settings::Identity, settings: settings::Settings) -> Self {
        World {
            identity,
            boot: 0,
            settings,
            tables: tables::Tables::default(),
            placement: Box::new(policy::ExpectedDelay),
            draining_since: None,
            stopped: false,
            ready: false,
            inputs: collections::VecDeque::new(),
            outputs: Vec::new(),
        }
    }

    /// Processes `inputs` at the time `now`, and returns the outputs in the order in which they
    /// have to be carried out.
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

    /// Returns when the next tick is due even without input; `None` if nothing is scheduled.
    pub fn next_due(&self) -> Option<time::Timestamp> {
        if !self.is_idle() {
            return Some(time::Timestamp::ZERO);
        }
        self.tables.timers.next_due()
    }

    fn is_idle(&self) -> bool {
        self.tables.dirty.is_empty() && self.tables.inbox.is_empty() && self.inputs.is_empty()
    }

    pub(crate) fn emit(&mut self, output: output::Output) {
        self.outputs.push(output);
    }

    pub(crate) fn emit_event(&mut self, name: &'static str, detail: std::fmt::Arguments<'_>) {
        self.emit(output::Output::Event(output::Event::new(name, detail)));
    }
}
