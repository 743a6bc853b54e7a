//! How long a call occupies a slot of a service's endpoints, without its wait in their queues, and
//! what part of the calls begins a program. Measured from this gateway's own calls.

use std::collections;
use std::time;

use crate::ids;

/// Weight of the newest call in the mean time.
const SMOOTHING: f64 = 0.05;
/// Number of measured calls from which on the mean time counts as known.
const MIN_MEASURED: u32 = 5;
/// Weight of the newest call in the part that begins programs, which has to outlast a burst of first
/// turns or of later ones.
const FIRST_SHARE_SMOOTHING: f64 = 0.01;
/// Part of the calls that begin a program, before any was measured: programs have about five calls.
const TYPICAL_FIRST_SHARE: f64 = 0.2;
/// Smallest part of the calls that is assumed to begin programs: while first turns are refused, few
/// are measured.
const MIN_FIRST_SHARE: f64 = 0.1;

#[derive(Clone, Copy, Debug)]
struct Row {
    slot_ms: f64,
    measured: u32,
    first_share: f64,
}

/// Table of slot times by service.
#[derive(Debug, Default)]
pub struct SlotTimes {
    rows: collections::BTreeMap<ids::ServiceName, Row>,
}

impl SlotTimes {
    /// Records that a call occupied a slot for `took`, and whether it has begun a program.
    pub fn record(&mut self, service: &ids::ServiceName, took: time::Duration, is_first: bool) {
        let ms = took.as_secs_f64() * 1000.0;
        let row = self.rows.entry(service.clone()).or_insert(Row {
            slot_ms: ms,
            measured: 0,
            first_share: TYPICAL_FIRST_SHARE,
        });
        row.measured = row.measured.saturating_add(1);
        // The first measurements count equally.
        row.slot_ms += (ms - row.slot_ms) * SMOOTHING.max(1.0 / f64::from(row.measured));
        row.first_share +=
            (f64::from(u8::from(is_first)) - row.first_share) * FIRST_SHARE_SMOOTHING;
    }

    /// Returns the mean time for which a call of `service` occupies a slot; `None` before a few calls
    /// were measured.
    pub fn slot_time(&self, service: &ids::ServiceName) -> Option<time::Duration> {
        let row = self.rows.get(service).filter(|row| row.measured >= MIN_MEASURED)?;
        Some(time::Duration::from_secs_f64(row.slot_ms.max(1.0) / 1000.0))
    }

    /// Returns the part of the calls of `service` that begin a program.
    pub fn first_share(&self, service: &ids::ServiceName) -> f64 {
        let row = self.rows.get(service);
        row.map_or(TYPICAL_FIRST_SHARE, |row| row.first_share).max(MIN_FIRST_SHARE)
    }

    /// Removes the services for which `is_configured` is false.
    pub fn retain(&mut self, is_configured: impl Fn(&ids::ServiceName) -> bool) {
        self.rows.retain(|service, _| is_configured(service));
    }
}
