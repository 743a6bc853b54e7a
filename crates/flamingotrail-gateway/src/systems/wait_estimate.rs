//! Estimates how long a call would wait in the queue of the best endpoint of its service.
//!
//! A gateway sees an endpoint's load only in the responses to its own calls. As a report ages, the
//! endpoint's load is estimated from it less and from the mean of all reports more, since placement
//! keeps the endpoints of a service about equally loaded.

use std::time;

use flamingotrail_core::time as core_time;

use crate::tables::endpoints;

/// Part of the slots that fresh reports have to cover, each report weighted by its age. With less, an
/// estimate would rest on a few endpoints, and nothing is estimated.
const MIN_COVERAGE: f64 = 0.125;
/// Requests per slot up to which a report counts, so that a false report has bounded influence.
const MAX_PRESSURE: f64 = 4.0;

/// What is known of the endpoints of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Time that a call would wait at the best endpoint before it gets a slot.
    pub wait: time::Duration,
    /// Mean number of running and waiting requests per slot.
    pub pressure: f64,
    /// Part of the slots that is free.
    pub free_share: f64,
    /// Mean age of the reports.
    pub age: time::Duration,
    /// Number of slots.
    pub slots: f64,
}

/// Load of one endpoint.
struct Load {
    slots: f64,
    /// Requests of this gateway per slot, which are at the endpoint for certain.
    own_pressure: f64,
    /// Requests per slot according to the last report and what was sent since.
    pressure: f64,
    /// Weight of the report, which halves in each slot time.
    weight: f64,
    age_s: f64,
}

/// Estimates the wait at `rows`, the endpoints of a service, whose calls occupy a slot for `slot_time`.
/// Returns `None` if too little is known, or if an endpoint has room that has reported nothing yet.
pub fn estimate<'a>(
    rows: impl Iterator<Item = &'a endpoints::Endpoint>,
    slot_time: time::Duration,
    now: core_time::Timestamp,
) -> Option<Estimate> {
    let mut loads = Vec::new();
    let (mut suspect_slots, mut free_suspect_slots) = (0.0, 0.0);
    for row in rows {
        let load = load(row, slot_time, now);
        if row.lapsed || row.avoid_until > now {
            // Placement uses it only if there is no other, but its slots are free all the same.
            suspect_slots += load.slots;
            free_suspect_slots += load.slots * (1.0 - load.weight * load.pressure).max(0.0);
            continue;
        }
        if row.load.is_none() && load.own_pressure < 1.0 {
            return None;
        }
        loads.push(load);
    }
    let sum = |value: fn(&Load) -> f64| -> f64 { loads.iter().map(value).sum() };
    let slots = sum(|load| load.slots);
    let known = sum(|load| load.slots * load.weight);
    if known <= 0.0 || known < slots * MIN_COVERAGE {
        return None;
    }
    let mean_of = |value: fn(&Load) -> f64| -> f64 {
        loads.iter().map(|load| load.slots * load.weight * value(load)).sum::<f64>() / known
    };
    let mean = mean_of(|load| load.pressure);
    let free_share = mean_of(|load| (1.0 - load.pressure).max(0.0));
    let waits = loads.iter().map(|load| {
        let shrunk = load.weight * load.pressure + (1.0 - load.weight) * mean;
        let pressure = shrunk.max(load.own_pressure);
        (pressure + 1.0 / load.slots - 1.0).max(0.0)
    });
    let best = waits.min_by(f64::total_cmp)?;
    let all_slots = slots + suspect_slots;
    Some(Estimate {
        wait: slot_time.mul_f64(best),
        pressure: mean,
        free_share: (free_share * slots + free_suspect_slots) / all_slots,
        age: time::Duration::from_secs_f64(mean_of(|load| load.age_s)),
        slots: all_slots,
    })
}

fn load(row: &endpoints::Endpoint, slot_time: time::Duration, now: core_time::Timestamp) -> Load {
    let slots = f64::from(row.listed.slots.max(1));
    let own_pressure = (f64::from(row.in_flight) / slots).min(MAX_PRESSURE);
    let Some((at, load)) = row.load else {
        // Its own requests are at the endpoint now.
        let weight = if own_pressure >= 1.0 { 1.0 } else { 0.0 };
        return Load { slots, own_pressure, pressure: own_pressure, weight, age_s: 0.0 };
    };
    let age_s = now.since(at).as_secs_f64();
    let reported = f64::from(load.running) + f64::from(load.waiting);
    let pressure = (reported + f64::from(row.sent_since_load)) / slots;
    Load {
        slots,
        own_pressure,
        pressure: pressure.clamp(own_pressure, MAX_PRESSURE),
        weight: 0.5_f64.powf(age_s / slot_time.as_secs_f64()),
        age_s,
    }
}
