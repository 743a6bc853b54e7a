//! Placement on deployments whose speeds nobody has stated: modelled services with a time for each
//! prompt token, each other request and each way, which the gateway has to find out.

use std::time;

use flamingotrail_gateway::ids;
use flamingotrail_gateway::tables::service_profiles;
use flamingotrail_gateway::tables::ways;

/// A modelled service.
struct Model {
    first_ms: f64,
    token_ms: f64,
    request_ms: f64,
}

const MODELS: &[Model] = &[
    Model { first_ms: 5.0, token_ms: 0.004, request_ms: 1.0 },
    Model { first_ms: 40.0, token_ms: 0.03, request_ms: 4.0 },
    Model { first_ms: 120.0, token_ms: 0.25, request_ms: 15.0 },
];

fn service() -> ids::ServiceName {
    ids::ServiceName::new("engine")
}

fn millis(ms: f64) -> time::Duration {
    time::Duration::from_secs_f64(ms / 1000.0)
}

/// Records `count` responses of `model`, with prompts and loads that vary, and noise.
fn learn(profiles: &mut service_profiles::ServiceProfiles, model: &Model, count: u64) {
    for number in 0..count {
        let hash = ids::stable_hash(&format!("call {number}"));
        let tokens = hash % 3_000;
        let requests = ((hash >> 16) % 12) as f64;
        let noise = 0.8 + ((hash >> 24) % 40) as f64 / 100.0;
        let ms = model.first_ms + model.token_ms * tokens as f64 + model.request_ms * requests;
        profiles.record_beginning(&service(), tokens, requests, millis(ms * noise));
    }
}

fn is_close(value: f64, expected: f64) -> bool {
    (0.5..2.0).contains(&(value / expected))
}

#[test]
fn profile_follows_each_deployment() {
    for model in MODELS {
        let mut profiles = service_profiles::ServiceProfiles::default();

        learn(&mut profiles, model, 400);

        let profile = profiles.profile(&service());
        assert!(is_close(profile.token_ms, model.token_ms), "{profile:?} {}", model.token_ms);
        assert!(is_close(profile.request_ms, model.request_ms), "{profile:?}");
    }
}

#[test]
fn profile_is_sound_before_anything_was_measured() {
    let profiles = service_profiles::ServiceProfiles::default();

    let profile = profiles.profile(&service());

    assert!((0.001..0.2).contains(&profile.token_ms), "{profile:?}");
    assert!((0.5..20.0).contains(&profile.request_ms), "{profile:?}");
    assert!((20.0..2_000.0).contains(&profile.duration_ms), "{profile:?}");
}

// Guards against one stalled endpoint that makes all placement depend on load alone.
#[test]
fn outliers_have_bounded_influence() {
    let mut profiles = service_profiles::ServiceProfiles::default();
    learn(&mut profiles, &MODELS[1], 400);

    for number in 0..40 {
        profiles.record_beginning(&service(), 100, (number % 3) as f64, millis(30_000.0));
        learn(&mut profiles, &MODELS[1], 10);
    }

    let profile = profiles.profile(&service());
    assert!(profile.token_ms > MODELS[1].token_ms / 4.0, "{profile:?}");
    assert!(profile.request_ms < MODELS[1].request_ms * 4.0, "{profile:?}");
}

#[test]
fn profile_follows_a_service_that_changes() {
    let mut profiles = service_profiles::ServiceProfiles::default();
    learn(&mut profiles, &MODELS[0], 400);

    learn(&mut profiles, &MODELS[2], 2_500);

    let profile = profiles.profile(&service());
    assert!(is_close(profile.token_ms, MODELS[2].token_ms), "{profile:?}");
}

#[test]
fn equal_prompts_and_loads_leave_the_typical_values() {
    let mut profiles = service_profiles::ServiceProfiles::default();
    let typical = profiles.profile(&service());

    for _ in 0..300 {
        profiles.record_beginning(&service(), 500, 1.0, millis(50.0));
    }

    let profile = profiles.profile(&service());
    assert!(is_close(profile.token_ms, typical.token_ms), "{profile:?}");
}

#[test]
fn ways_follow_the_connections() {
    let near = ids::DomainName::new("near");
    let far = ids::DomainName::new("far");
    let mut ways = ways::Ways::default();
    let before = ways.expected_ms(&far, false, false);

    for number in 0..50 {
        // A fifth of the connections waits for a busy endpoint.
        let wait = if number % 5 == 0 { 30.0 } else { 0.0 };
        ways.record(&near, millis(0.5 + wait));
        ways.record(&far, millis(180.0 + wait));
    }

    assert!(before > 10.0, "another region is far until it is measured");
    assert!(ways.expected_ms(&near, false, true) < 2.0);
    assert!(is_close(ways.expected_ms(&far, false, false), 180.0));
}
