//! One gateway's tables, and the tick that moves them on.

use std::collections;

use flamingotrail_core::time;

use crate::input;
use crate::output;
use crate::policy;
use crate::schedule;
use crate::settings;
use crate::tables;

/// Passes over the schedule in one tick; what is left then waits for the next tick.
const MAX_PASSES: u32 = 16;

/// What one tick is given.
#[derive(Clone, Copy, Debug)]
pub struct Tick {
    /// The time.
    pub now: time::Timestamp,
}

/// One gateway's state.
pub struct World {
    /// Who and where this process is.
    pub identity: settings::Identity,
    /// Limits and intervals.
    pub settings: settings::Settings,
    /// The tables.
    pub tables: tables::Tables,
    /// Chooses endpoints.
    pub placement: Box<dyn policy::Placement>,
    /// Since when a graceful shutdown is under way.
    pub draining_since: Option<time::Timestamp>,
    /// Whether the shutdown is complete.
    pub stopped: bool,
    /// Whether this process said last that it takes new callers.
    pub(crate) ready: bool,
    pub(crate) inputs: collections::VecDeque<input::Input>,
    pub(crate) out: Vec<output::Output>,
}

impl World {
    /// A world that has seen nothing yet.
    pub fn new(identity: settings::Identity, settings: settings::Settings) -> Self {
        World {
            identity,
            settings,
            tables: tables::Tables::default(),
            placement: Box::new(policy::ExpectedDelay),
            draining_since: None,
            stopped: false,
            ready: false,
            inputs: collections::VecDeque::new(),
            out: Vec::new(),
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
            if self.is_settled() {
                break;
            }
        }
        std::mem::take(&mut self.out)
    }

    /// When the next tick is due without any input; none where nothing is scheduled.
    pub fn next_due(&self) -> Option<time::Timestamp> {
        if !self.is_settled() {
            return Some(time::Timestamp::ZERO);
        }
        self.tables.timers.next_due()
    }

    fn is_settled(&self) -> bool {
        self.tables.dirty.is_empty() && self.tables.inbox.is_empty() && self.inputs.is_empty()
    }

    pub(crate) fn emit(&mut self, output: output::Output) {
        self.out.push(output);
    }

    pub(crate) fn event(&mut self, name: &'static str, detail: std::fmt::Arguments<'_>) {
        self.emit(output::Output::Event(output::Event::new(name, detail)));
    }
}
