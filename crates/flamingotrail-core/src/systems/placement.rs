//! Chooses an endpoint for each call and dispatches the attempt to the instance that serves it.

use std::time as std_time;

use crate::config;
use crate::errors;
use crate::history;
use crate::ids;
use crate::journal;
use crate::messages;
use crate::policy;
use crate::systems::budgets;
use crate::systems::call_lifecycle;
use crate::systems::holds;
use crate::systems::membership;
use crate::systems::outbox;
use crate::systems::recovery;
use crate::tables::calls;
use crate::tables::timers;
use crate::work;
use crate::world;

/// Delay before placement is retried while no endpoint is available.
const NO_ENDPOINT_RETRY_DELAY: std_time::Duration = std_time::Duration::from_millis(100);
/// Age at which a reported load is stale and the endpoint is probed for a new one.
const STALE_LOAD_AGE: std_time::Duration = std_time::Duration::from_millis(250);
/// Maximum number of endpoints that are probed for one placement.
const PROBES_PER_PLACEMENT: usize = 2;
/// Expected wait in seconds above which early admission control refuses a new program, so that the
/// programs that already run can finish.
const NEW_PROGRAM_MAX_WAIT_S: f64 = 4.0;
/// Prefill rate, in prompt tokens per second, that is assumed for an endpoint until it reports one.
const DEFAULT_PREFILL_RATE: f64 = 4000.0;
/// Bytes of text per token, for estimates.
const BYTES_PER_TOKEN: u64 = 4;

/// Places every call that is ready for an endpoint.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    for key in std::mem::take(&mut world.tables.dirty.calls_to_place) {
        place_call(world, tick, &key);
    }
}

fn place_call(world: &mut world::World, tick: &world::Tick, key: &ids::CallKey) {
    let Some(call) = world.tables.calls.rows.get(key) else {
        return;
    };
    if call.state != calls::State::Placing {
        return;
    }
    let fingerprint = call.work.fingerprint();
    if world.tables.suspects.rows.get(&fingerprint) == Some(&journal::Verdict::Convicted) {
        let refusal = errors::Refusal::Quarantined;
        call_lifecycle::end_without_turn(world, tick, key, work::Outcome::NotRun(refusal));
        return;
    }
    let candidates = collect_candidates(world, tick, key);
    let Some(chosen) = choose_candidate(world, key, &candidates) else {
        wait_for_endpoint(world, tick, key);
        return;
    };
    refresh_stale_loads(world, tick, &candidates);
    let candidate = candidates[chosen].clone();
    if let Some(refusal) = check_overload(world, tick, key, &candidate) {
        let text = format!("refused: wait_s={:.3} at {}", candidate.wait_s, candidate.endpoint);
        world.tables.decisions.record(tick.now, key, text);
        call_lifecycle::end_without_turn(world, tick, key, work::Outcome::NotRun(refusal));
        return;
    }
    dispatch(world, tick, key, &candidate);
}

/// Returns the endpoints that can run the call, with the data for estimating its cost on each.
/// Endpoints that refused or failed the call before are included only if there is no other.
fn collect_candidates(
    world: &mut world::World,
    tick: &world::Tick,
    key: &ids::CallKey,
) -> Vec<policy::Candidate> {
    let Some(call) = world.tables.calls.rows.get(key) else {
        return Vec::new();
    };
    let call = call.clone();
    let endpoints: Vec<(ids::EndpointName, u32)> = match world.config() {
        Some(config) => {
            let serving = config.endpoints_for(&call.work);
            serving.map(|(name, endpoint)| (name.clone(), endpoint.slots)).collect()
        }
        None => return Vec::new(),
    };
    let available: Vec<policy::Candidate> = endpoints
        .into_iter()
        .filter_map(|(name, slots)| evaluate_endpoint(world, tick, key, &call, name, slots))
        .collect();
    let untried: Vec<policy::Candidate> = available
        .iter()
        .filter(|candidate| !call.excluded_endpoints.contains(&candidate.endpoint))
        .cloned()
        .collect();
    if untried.is_empty() {
        available
    } else {
        untried
    }
}

fn evaluate_endpoint(
    world: &mut world::World,
    tick: &world::Tick,
    key: &ids::CallKey,
    call: &calls::Call,
    endpoint: ids::EndpointName,
    slots: u32,
) -> Option<policy::Candidate> {
    let instance = world.tables.instances.by_endpoint.get(&endpoint)?.clone();
    let is_self = instance == world.identity.peer.instance;
    if !is_self && !world.tables.instances.accepts_work(&instance) {
        return None;
    }
    if is_self && !world.accepts_work() {
        return None;
    }
    let incarnation = match is_self {
        true => world.identity.peer.incarnation,
        false => match world.tables.instances.incarnation(&instance) {
            Some(incarnation) => incarnation,
            None => {
                membership::ping(world, tick, &instance);
                return None;
            }
        },
    };
    let listed = world.tables.instances.rows.get(&instance).and_then(|row| row.listed.as_ref());
    let remote = listed.is_some_and(|listed| listed.region != world.identity.region);
    let delay_s = if remote { remote_delay_s(world) } else { 0.0 };
    let (cached_tokens, prompt_tokens) = estimate_prompt_tokens(world, key, call, &endpoint);
    let row = world.tables.endpoints.get_or_insert(&endpoint);
    if row.unavailable_until.is_some_and(|until| until > tick.now) {
        return None;
    }
    let age_s = row.load_reported_at.map_or(0.0, |at| tick.now.since(at).as_secs_f64());
    let rate =
        if row.load.prefill_rate > 0.0 { row.load.prefill_rate } else { DEFAULT_PREFILL_RATE };
    Some(policy::Candidate {
        endpoint,
        instance,
        incarnation,
        slots: slots.max(1),
        running: row.load.running,
        queued: row.load.queued,
        reported_wait_s: row.load.wait_s,
        load_age_s: age_s,
        outstanding: row.outstanding,
        sent_since_report: row.sent_since_report,
        mean_run_s: row.mean_run_s,
        prefill_s: f64::from(prompt_tokens.saturating_sub(cached_tokens)) / rate,
        cached_tokens,
        prompt_tokens,
        delay_s,
        remote,
        wait_s: 0.0,
    })
}

fn remote_delay_s(world: &world::World) -> f64 {
    let region = world.config().and_then(|config| config.regions.get(&world.identity.region));
    region.map_or(0.0, |region| region.remote_delay.as_secs_f64())
}

/// Estimates how many tokens of the prompt the endpoint has in its cache, and how many the whole
/// prompt has.
fn estimate_prompt_tokens(
    world: &world::World,
    key: &ids::CallKey,
    call: &calls::Call,
    endpoint: &ids::EndpointName,
) -> (u32, u32) {
    let work::Work::Model { messages, .. } = &call.work else {
        return (0, 0);
    };
    let row = world.tables.conversations.rows.get(&key.conversation);
    let location = row.and_then(|row| row.context_location.as_ref());
    let context_tokens = location.map_or(0, |location| location.tokens);
    let cached_tokens = location
        .filter(|location| location.endpoint == *endpoint)
        .map_or(0, |location| location.tokens);
    let new_bytes: u64 = messages.iter().map(|message| message.content.len() as u64).sum();
    let history_tokens = match location {
        Some(_) => u64::from(context_tokens),
        None => budgets::max_prompt_tokens(world, key, &[]),
    };
    let prompt_tokens = history_tokens + new_bytes / BYTES_PER_TOKEN + 1;
    (cached_tokens, u32::try_from(prompt_tokens).unwrap_or(u32::MAX))
}

fn choose_candidate(
    world: &mut world::World,
    key: &ids::CallKey,
    candidates: &[policy::Candidate],
) -> Option<usize> {
    if candidates.is_empty() {
        return None;
    }
    world.tables.endpoints.placement_count += 1;
    let context = policy::PlacementContext {
        conversation: &key.conversation,
        placement_count: world.tables.endpoints.placement_count,
        rng: &mut world.rng,
    };
    Some(world.policies.placement.choose(candidates, context).min(candidates.len() - 1))
}

/// Probes a few randomly picked candidates whose load is stale, so that later placements have fresh
/// load reports.
fn refresh_stale_loads(
    world: &mut world::World,
    tick: &world::Tick,
    candidates: &[policy::Candidate],
) {
    for _ in 0..PROBES_PER_PLACEMENT.min(candidates.len()) {
        let index = usize::try_from(world.rng.next_below(candidates.len() as u64)).unwrap_or(0);
        let candidate = &candidates[index];
        let stale = candidate.load_age_s >= STALE_LOAD_AGE.as_secs_f64();
        if stale && candidate.instance != world.identity.peer.instance {
            membership::ping(world, tick, &candidate.instance);
        }
    }
}

fn check_overload(
    world: &mut world::World,
    tick: &world::Tick,
    key: &ids::CallKey,
    candidate: &policy::Candidate,
) -> Option<errors::Refusal> {
    let wait_s = candidate.expected_wait_s();
    let call = world.tables.calls.rows.get(key)?;
    let (root, deadline, attempts) = (call.root.clone(), call.deadline, call.attempts);
    let time_left = deadline.since(tick.now).as_secs_f64();
    let account = world.tables.programs.account_mut(&root)?;
    let is_new_program = account.attained == 0 && account.turns <= 1 && attempts == 0;
    let admission = world.config().map(|config| config.policies.admission);
    let is_early = admission == Some(config::AdmissionPolicy::Early);
    let exceeds_early_limit = is_early && is_new_program && wait_s > NEW_PROGRAM_MAX_WAIT_S;
    if wait_s < time_left && !exceeds_early_limit {
        return None;
    }
    let retry_after = std_time::Duration::from_secs_f64(wait_s.clamp(0.1, 30.0));
    Some(errors::Refusal::Overloaded { retry_after })
}

/// Delays a call for which no endpoint is available. Placement is retried until its deadline.
fn wait_for_endpoint(world: &mut world::World, tick: &world::Tick, key: &ids::CallKey) {
    let Some(call) = world.tables.calls.rows.get_mut(key) else {
        return;
    };
    let model_or_service = match &call.work {
        work::Work::Model { model, .. } => model.to_string(),
        work::Work::Service { service, .. } => service.to_string(),
        work::Work::EndProgram => String::new(),
    };
    call.refusal.get_or_insert(errors::Refusal::NoEndpoint(model_or_service));
    call_lifecycle::set_state(world, tick, key, calls::State::Delayed);
    let at = tick.now.after(NO_ENDPOINT_RETRY_DELAY);
    world.tables.timers.set(timers::Timer::CallRetry(key.clone()), at);
}

fn dispatch(
    world: &mut world::World,
    tick: &world::Tick,
    key: &ids::CallKey,
    candidate: &policy::Candidate,
) {
    let Some(epoch) = world.tables.partitions.epoch(&key.conversation.home) else {
        return;
    };
    let Some(job) = build_job(world, tick, key, candidate) else {
        return;
    };
    let Some(call) = world.tables.calls.rows.get_mut(key) else {
        return;
    };
    call.attempts += 1;
    let is_first = call.attempts == 1;
    let attempt = ids::AttemptId { call: key.clone(), epoch, number: call.attempts };
    let root = call.root.clone();
    let workspace = call.workspace.clone();
    let time_left = call.deadline.since(tick.now);
    let mut dispatch = messages::Dispatch {
        attempt: attempt.clone(),
        workspace: workspace.clone(),
        program: call.program.clone(),
        attained: 0,
        time_left,
        fingerprint: call.work.fingerprint(),
        expected_prefill: candidate.prompt_tokens.saturating_sub(candidate.cached_tokens),
        job,
    };
    dispatch.attained =
        world.tables.programs.account_mut(&root).map_or(0, |account| account.attained);
    if is_first {
        recovery::credit_retry_budget(world, &workspace);
    }
    let row = world.tables.endpoints.get_or_insert(&candidate.endpoint);
    row.outstanding += 1;
    row.sent_since_report += 1;
    record_decision(world, tick, key, candidate);
    let peer =
        ids::Peer { instance: candidate.instance.clone(), incarnation: candidate.incarnation };
    let state = calls::State::Running {
        attempt,
        endpoint: candidate.endpoint.clone(),
        peer: peer.clone(),
        sent_at: tick.now,
    };
    call_lifecycle::set_state(world, tick, key, state);
    call_lifecycle::route_output(world, key);
    let message = messages::Message::Dispatch(Box::new(dispatch));
    let (to, target) = (&peer.instance, Some(peer.incarnation));
    let number = outbox::send_reliable(world, tick, to, target, message, time_left);
    if let Some(call) = world.tables.calls.rows.get_mut(key) {
        call.dispatch_number = number;
    }
}

fn record_decision(
    world: &mut world::World,
    tick: &world::Tick,
    key: &ids::CallKey,
    candidate: &policy::Candidate,
) {
    let text = format!(
        "placed on {} wait_s={:.3} prefill_s={:.3} delay_s={:.3} cached_tokens={} outstanding={}",
        candidate.endpoint,
        candidate.expected_wait_s(),
        candidate.prefill_s,
        candidate.delay_s,
        candidate.cached_tokens,
        candidate.outstanding
    );
    world.tables.decisions.record(tick.now, key, text);
}

fn build_job(
    world: &mut world::World,
    tick: &world::Tick,
    key: &ids::CallKey,
    candidate: &policy::Candidate,
) -> Option<messages::Job> {
    let call = world.tables.calls.rows.get(key)?.clone();
    match &call.work {
        work::Work::Model { model, messages, .. } => {
            let mut prompt: Vec<history::Message> =
                world.tables.conversations.rows.get(&key.conversation)?.messages();
            prompt.extend(messages.iter().cloned());
            let replaces = holds::release_elsewhere(world, tick, key, &candidate.endpoint);
            let hold = holds::choose_lease(world, key, candidate);
            world.tables.calls.rows.get_mut(key)?.hold = hold.map(|hold_lease| hold_lease.id);
            Some(messages::Job::Model {
                model: model.clone(),
                messages: prompt,
                prefix: call.prefix.clone(),
                max_tokens: call.max_tokens,
                budget_bound: call.budget_bound,
                hold,
                replaces,
            })
        }
        work::Work::Service { service, operation, body } => {
            let timeout = world.config()?.services.get(service)?.timeout;
            let idempotency_key =
                call.idempotency_key.clone().unwrap_or_else(|| format!("call:{key}"));
            Some(messages::Job::Service {
                service: service.clone(),
                operation: operation.clone(),
                body: body.clone(),
                idempotency_key,
                timeout,
            })
        }
        work::Work::EndProgram => None,
    }
}
