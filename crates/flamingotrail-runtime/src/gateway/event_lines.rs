//! Limits the log lines of events that callers cause, so that a crowd does not crowd out other lines.

use std::cell;
use std::collections;
use std::time;

use flamingotrail_gateway::output;

/// Events that each refused request or departed caller causes. Metrics count all of them.
const LIMITED_EVENTS: &[&str] = &["refused", "caller_left"];
/// Maximum number of lines of each of these events in an interval.
const MAX_LINES: u32 = 100;
/// Length of an interval.
const INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Lines of an event in the current interval.
struct Row {
    began_at: time::Instant,
    lines: u32,
    left_out: u64,
}

/// Whether an event gets a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It does. `left_out` lines were left out in the interval before.
    Line {
        /// Number of lines that were left out.
        left_out: u64,
    },
    /// Its line is left out.
    LeftOut,
}

/// Log lines of events by name.
#[derive(Default)]
pub struct EventLines {
    rows: cell::RefCell<collections::BTreeMap<&'static str, Row>>,
}

impl EventLines {
    /// Logs an event, unless it has had as many lines as it may.
    pub fn log(&self, event: &output::Event) {
        let Decision::Line { left_out } = self.decide(event.name, time::Instant::now()) else {
            return;
        };
        if left_out > 0 {
            log::warn!("event=lines_left_out name={} lines={left_out}", event.name);
        }
        log::info!("event={} {}", event.name, event.detail);
    }

    /// Decides whether an event gets a line, and counts it.
    pub fn decide(&self, name: &'static str, now: time::Instant) -> Decision {
        if !LIMITED_EVENTS.contains(&name) {
            return Decision::Line { left_out: 0 };
        }
        let mut rows = self.rows.borrow_mut();
        let row = rows.entry(name).or_insert(Row { began_at: now, lines: 0, left_out: 0 });
        let mut left_out = 0;
        if now.duration_since(row.began_at) >= INTERVAL {
            left_out = row.left_out;
            *row = Row { began_at: now, lines: 0, left_out: 0 };
        }
        if row.lines >= MAX_LINES {
            row.left_out += 1;
            return Decision::LeftOut;
        }
        row.lines += 1;
        Decision::Line { left_out }
    }
}
