//! The bonus of an endpoint that has lately handled the object of a call.

use crate::policy;

/// Returns the time in milliseconds that the call is expected to save on `candidate`, which has `load`
/// requests; 0 if it is loaded, limited, suspect or slow, so that an object never holds calls at an
/// endpoint that is worse than the others.
pub fn saving_ms(
    request: &policy::Request<'_>,
    candidate: &policy::Candidate<'_>,
    load: f64,
) -> f64 {
    let row = candidate.row;
    let Some(object) = request.affinity else { return 0.0 };
    let is_loaded = load + 1.0 > f64::from(row.listed.slots.max(1));
    let is_suspect = row.lapsed || row.avoid_until > request.now || row.failures > 0;
    let slowdown = row.slowdown.factor(request.profile.slowdown, request.now);
    let is_slow = row.slowness(request.now).max(slowdown) > policy::SLOWNESS_TOLERANCE;
    if is_loaded || candidate.is_limited || is_suspect || is_slow {
        return 0.0;
    }
    if !row.affinities.contains(object, request.now) {
        return 0.0;
    }
    request.profile.duration_ms * request.profile.affinity_share
}
