//! What counts as a crash of a request, whatever the ids of its endpoints, their starts, the copies of the request
//! and the restarts of gateways.

use std::collections;
use std::time;

use crate::fixture;
use flamingotrail_core::time as core_time;
use flamingotrail_gateway::ids;
use flamingotrail_gateway::input;
use flamingotrail_gateway::output;

const BODY: &[u8] = b"a request that no endpoint survives";
const STEP: time::Duration = time::Duration::from_millis(250);
/// Steps between two reads of the list.
const STEPS_PER_READ: u64 = 3;
/// Time after which the list drops an endpoint that does not report.
const UNLISTED_AFTER: time::Duration = time::Duration::from_millis(3_600);
/// Time after the third crash from which on requests that reach endpoints are counted.
const STABLE_WINDOW: time::Duration = time::Duration::from_secs(4);
/// Number of such requests that the platform tolerates.
const MAX_LATE_REQUESTS: usize = 3;
const CRASHES_BEFORE: usize = 3;

/// Ids of endpoints that start again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ids {
    Same,
    New,
    /// The same id at each second start.
    Mixed,
}

/// How endpoints start again.
#[derive(Clone, Copy, Debug)]
struct Restarts {
    ids: Ids,
    /// Time for which an endpoint that has crashed is away.
    away: time::Duration,
}

const SAME_IDS: Restarts = Restarts { ids: Ids::Same, away: time::Duration::from_secs(3) };
const QUICK: Restarts = Restarts { ids: Ids::Same, away: time::Duration::from_millis(500) };

struct Endpoint {
    start: u64,
    /// When it has crashed, unless it runs.
    down_since: Option<core_time::Timestamp>,
}

/// Gateways and the endpoints that they share, in simulated time.
struct Site {
    gateways: Vec<fixture::Gateway>,
    saved: collections::BTreeMap<ids::InstanceName, (core_time::Timestamp, input::CrashRecord)>,
    log: fixture::MemoryLog,
    endpoints: collections::BTreeMap<ids::EndpointId, Endpoint>,
    restarts: Restarts,
    now: core_time::Timestamp,
    steps: u64,
    calls: u64,
    crashes: Vec<core_time::Timestamp>,
    /// Requests that have reached an endpoint, with the time.
    reached: Vec<(core_time::Timestamp, u64)>,
}

fn start_site(gateways: usize, endpoints: usize, restarts: Restarts) -> Site {
    let id = |number| ids::EndpointId::new(format!("e-{number}"));
    let mut site = Site {
        gateways: Vec::new(),
        saved: collections::BTreeMap::new(),
        log: fixture::MemoryLog::default(),
        endpoints: (0..endpoints)
            .map(|number| (id(number), Endpoint { start: 1, down_since: None }))
            .collect(),
        restarts,
        now: core_time::Timestamp::from_micros(1),
        steps: 0,
        calls: 0,
        crashes: Vec::new(),
        reached: Vec::new(),
    };
    site.gateways = (0..gateways).map(|number| site.new_gateway(number, gateways)).collect();
    for gateway in &mut site.gateways {
        gateway.tick(vec![input::Input::SavedCrashes(Vec::new())]);
    }
    site
}

impl Site {
    fn new_gateway(&self, number: usize, count: usize) -> fixture::Gateway {
        let names = (0..count).map(|number| format!("g{number}"));
        let peers = names.enumerate().filter(|(other, _)| *other != number);
        let peers = peers.map(|(_, name)| fixture::peer(&name, "north")).collect();
        let mut gateway = fixture::Gateway::unconfigured(&format!("g{number}"));
        gateway.now = self.now;
        gateway.configure(fixture::configuration(1));
        gateway.tick(vec![input::Input::Peers(peers), self.list()]);
        gateway
    }

    /// Kills a gateway and starts it again.
    fn restart_gateway(&mut self, number: usize) {
        self.gateways[number] = self.new_gateway(number, self.gateways.len());
        let aged = self.saved.values().map(|(saved_at, record)| {
            let mut record = record.clone();
            let age = self.now.since(*saved_at);
            record.crashes.iter_mut().for_each(|crash| crash.age += age);
            record.losses.iter_mut().for_each(|loss| loss.age += age);
            record
        });
        let records = aged.collect();
        self.gateways[number].tick(vec![input::Input::SavedCrashes(records)]);
        self.deliver_messages();
    }

    fn list(&self) -> input::Input {
        let listed = self.endpoints.iter().filter(|(_, endpoint)| {
            endpoint.down_since.is_none_or(|since| self.now.since(since) < UNLISTED_AFTER)
        });
        let rows = listed.flat_map(|(id, endpoint)| {
            ["ledger", "engine"].map(|service| {
                let mut row = fixture::endpoint(service, "north-a");
                row.started_at_ms = Some(endpoint.start);
                (ids::EndpointId::new(format!("{service}/{id}")), row)
            })
        });
        input::Input::Endpoints(input::Membership { endpoints: rows.collect() })
    }

    fn pass(&mut self, duration: time::Duration) {
        let end = self.now.after(duration);
        while self.now < end {
            self.now = self.now.after(STEP);
            self.steps += 1;
            self.start_endpoints();
            for gateway in &mut self.gateways {
                gateway.advance(STEP, &mut self.log);
            }
            if self.steps.is_multiple_of(STEPS_PER_READ) {
                self.read_list();
            }
            self.deliver_messages();
        }
    }

    fn read_list(&mut self) {
        let list = self.list();
        for gateway in &mut self.gateways {
            gateway.tick(vec![list.clone()]);
        }
        self.deliver_messages();
    }

    fn start_endpoints(&mut self) {
        let (now, Restarts { ids, away }) = (self.now, self.restarts);
        let is_back =
            |endpoint: &Endpoint| endpoint.down_since.is_some_and(|since| now.since(since) >= away);
        let back: Vec<ids::EndpointId> = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| is_back(endpoint))
            .map(|(id, _)| id.clone())
            .collect();
        for id in back {
            let Some(endpoint) = self.endpoints.get_mut(&id) else { continue };
            let start = endpoint.start + 1;
            let keeps_id = ids == Ids::Same || (ids == Ids::Mixed && start.is_multiple_of(2));
            let started = Endpoint { start, down_since: None };
            if keeps_id {
                *endpoint = started;
            } else {
                endpoint.start = start;
                // The old entry is listed until it has been silent for long enough.
                let is_new = ids::EndpointId::new(format!("{id}+"));
                self.endpoints.entry(is_new).or_insert(started);
            }
        }
    }

    fn deliver_messages(&mut self) {
        for gateway in &mut self.gateways {
            let name = gateway.world.identity.instance.clone();
            if let Some(saved) = gateway.saved_crashes.take() {
                self.saved.insert(name, saved);
            }
        }
        let mut messages = Vec::new();
        for gateway in &mut self.gateways {
            let told = std::mem::take(&mut gateway.told_crashes).into_iter();
            messages.extend(told.map(|(peer, told)| (peer, input::Input::PeerCrashes(told))));
            let told = std::mem::take(&mut gateway.told_survivals).into_iter();
            messages.extend(told.map(|(peer, told)| (peer, input::Input::PeerSurvivals(told))));
        }
        for (peer, message) in messages {
            let named = |g: &&mut fixture::Gateway| g.world.identity.instance == peer;
            if let Some(gateway) = self.gateways.iter_mut().find(named) {
                gateway.tick(vec![message]);
            }
        }
    }

    /// Sends a copy of a request at each of `gateways` at the same moment; returns their calls.
    fn send(&mut self, gateways: &[usize], path: &str) -> Vec<(usize, u64)> {
        let mut calls = Vec::new();
        for number in gateways {
            self.calls += 1;
            let mut request = fixture::request(self.calls, &format!("r{}", self.calls), path);
            request.body = BODY.into();
            self.gateways[*number].receive(request);
            calls.push((*number, self.calls));
        }
        calls
    }

    /// The endpoint at which a call waits for a response.
    fn endpoint_of(&self, gateway: usize, call: u64) -> Option<ids::EndpointId> {
        let call = ids::CallId(call);
        let sent = &self.gateways[gateway].world.tables.calls.rows;
        let running = sent.get(&call)?.running.as_ref()?;
        let (_, id) = running.endpoint.as_str().split_once('/')?;
        Some(ids::EndpointId::new(id))
    }

    /// Lets copies of the request crash the endpoints that they reach.
    fn send_poison(&mut self, gateways: &[usize], path: &str, lost: &input::Outcome) {
        let mut waiting = self.send(gateways, path);
        while !waiting.is_empty() {
            waiting = self.crash_endpoints(&waiting, lost);
        }
        self.deliver_messages();
    }

    /// Ends the attempts of `calls`; returns the calls that are sent once more.
    fn crash_endpoints(
        &mut self,
        calls: &[(usize, u64)],
        lost: &input::Outcome,
    ) -> Vec<(usize, u64)> {
        let sent: Vec<_> = calls
            .iter()
            .filter_map(|(gateway, call)| {
                Some((*gateway, *call, self.endpoint_of(*gateway, *call)?))
            })
            .collect();
        let mut hit = collections::BTreeSet::new();
        for (gateway, call, id) in &sent {
            let endpoint = self.endpoints.get_mut(id).expect("an endpoint");
            let runs = endpoint.down_since.is_none() || hit.contains(id);
            if !runs {
                let failure = input::Outcome::NotSent(input::Failure::Connect);
                self.gateways[*gateway].end_attempt(*call, failure);
                continue;
            }
            if endpoint.down_since.is_none() {
                endpoint.down_since = Some(self.now);
                self.crashes.push(self.now);
                hit.insert(id.clone());
            }
            self.reached.push((self.now, *call));
            self.gateways[*gateway].end_attempt(*call, lost.clone());
        }
        sent.into_iter().map(|(gateway, call, _)| (gateway, call)).collect()
    }

    /// Number of requests that have reached an endpoint later than the window after the third crash.
    fn late_requests(&self) -> usize {
        let Some(third) = self.crashes.get(CRASHES_BEFORE - 1) else { return 0 };
        let bound = third.after(STABLE_WINDOW);
        let late = self.reached.iter().filter(|(at, _)| *at > bound);
        late.map(|(_, call)| call).collect::<collections::BTreeSet<_>>().len()
    }

    fn count_saved_crashes(&self) -> usize {
        self.saved.values().map(|(_, record)| record.crashes.len()).sum()
    }

    fn count_refused(&self, reason: output::Reason) -> usize {
        let refusals = self.gateways.iter().flat_map(|gateway| &gateway.refused);
        refusals.filter(|(_, refusal)| refusal.reason == reason).count()
    }
}

fn lost() -> input::Outcome {
    input::Outcome::Lost(input::Failure::Closed)
}

/// Sends a request ten times, every five seconds, in turn at the gateways.
fn send_in_turn(site: &mut Site, path: &str, lost: &input::Outcome) {
    for number in 0..10 {
        site.send_poison(&[number % site.gateways.len()], path, lost);
        site.pass(time::Duration::from_secs(5));
    }
}

// Guards against crashes that are counted by the ids of endpoints: one that starts again under its id, or a
// few that do, would be crashed without end.
#[test]
fn crashes_count_by_start_whatever_the_ids() {
    for endpoints in [1, 2, 3, 7] {
        for ids in [Ids::Same, Ids::New, Ids::Mixed] {
            for away_ms in [250, 500, 3_000, 4_500] {
                let away = time::Duration::from_millis(away_ms);
                let mut site = start_site(2, endpoints, Restarts { ids, away });

                send_in_turn(&mut site, "/book/1", &lost());

                let late = site.late_requests();
                assert!(late <= MAX_LATE_REQUESTS, "{endpoints} {ids:?} {away_ms}: {late}");
                assert!(site.count_refused(output::Reason::Quarantined) >= 4);
            }
        }
    }
}

// Guards against the same on the other kinds of routes: calls that may be repeated crash another endpoint
// with each attempt, and streams break off before or after their first event.
#[test]
fn crashes_count_on_all_kinds_of_routes() {
    let broken = |events| input::Outcome::Streamed {
        complete: false,
        events,
        last_event: None,
        output: bytes::Bytes::new(),
        load: None,
    };
    let outcomes = [lost(), broken(0), broken(2)];
    for (path, outcomes) in
        [("/look/1", &outcomes[..1]), ("/ask/1", &outcomes), ("/resume/1", &outcomes)]
    {
        for outcome in outcomes {
            let mut site = start_site(2, 3, SAME_IDS);

            send_in_turn(&mut site, path, outcome);

            let late = site.late_requests();
            assert!(late <= MAX_LATE_REQUESTS, "{path} {outcome:?}: {late}");
        }
    }
}

// Guards against copies that come at once and count as one crash, so that each wave of them crashes as many
// endpoints as there are copies.
#[test]
fn copies_at_once_count_each() {
    for copies in [2, 3, 5, 8] {
        for gateways in [1, 3, 8] {
            let mut site = start_site(gateways, 9, SAME_IDS);
            let targets: Vec<usize> = (0..copies).map(|number| number % gateways).collect();

            for _ in 0..6 {
                site.send_poison(&targets, "/book/1", &lost());
                site.pass(time::Duration::from_secs(5));
            }

            let late = site.late_requests();
            assert!(late <= MAX_LATE_REQUESTS, "{copies} copies at {gateways}: {late}");
        }
    }
}

// Guards against restarts that make a gateway, or all of them, forget crashes, or a loss of which the list has
// not shown yet that it was a crash.
#[test]
fn crashes_outlive_restarts_of_gateways() {
    for restart_after_ms in [0, 500, 2_000, 3_500, 4_500] {
        for all in [false, true] {
            let mut site = start_site(2, 2, SAME_IDS);
            let before = time::Duration::from_millis(restart_after_ms);

            for number in 0..12 {
                let gateway = number % 2;
                site.send_poison(&[gateway], "/book/1", &lost());
                site.pass(before);
                site.restart_gateway(gateway);
                if all {
                    site.restart_gateway(1 - gateway);
                }
                site.pass(time::Duration::from_secs(5) - before);
            }

            let late = site.late_requests();
            assert!(late <= MAX_LATE_REQUESTS, "after {restart_after_ms} ms, all {all}: {late}");
        }
    }
}

// Guards against a gateway that replaces what it had saved before it has read it: the store may be away when
// it starts.
#[test]
fn gateway_saves_nothing_before_it_has_loaded_what_was_saved() {
    let mut site = start_site(1, 2, SAME_IDS);
    for _ in 0..3 {
        site.send_poison(&[0], "/book/1", &lost());
        site.pass(time::Duration::from_secs(5));
    }
    let saved = site.saved.values().map(|(_, record)| record.clone()).collect();
    site.gateways[0] = site.new_gateway(0, 1);

    site.send_poison(&[0], "/book/1", &lost());
    site.pass(time::Duration::from_secs(2));
    let before = site.count_saved_crashes();
    site.gateways[0].tick(vec![input::Input::SavedCrashes(saved)]);
    site.pass(time::Duration::from_secs(2));

    assert_eq!(before, 3, "what it had saved is still there");
    assert!(site.count_saved_crashes() >= 3);
}

/// Restarts all endpoints at once while a copy of a request runs at each gateway.
fn restart_all_endpoints(site: &mut Site) {
    let gateways: Vec<usize> = (0..site.gateways.len()).collect();
    let calls = site.send(&gateways, "/book/1");
    let now = site.now;
    site.endpoints.values_mut().for_each(|endpoint| endpoint.down_since = Some(now));
    for (gateway, call) in calls {
        if site.endpoint_of(gateway, call).is_some() {
            site.gateways[gateway].end_attempt(call, lost());
        }
    }
}

/// Sends the request at all gateways at once, whose endpoints survive it; returns how many were served within
/// the time for which callers wait.
fn serve_at_all_gateways(site: &mut Site) -> usize {
    let gateways: Vec<usize> = (0..site.gateways.len()).collect();
    let mut waiting = site.send(&gateways, "/book/1");
    let count = waiting.len();
    let end = site.now.after(time::Duration::from_millis(1_500));
    while !waiting.is_empty() && site.now < end {
        waiting.retain(|(gateway, call)| {
            let is_sent = site.endpoint_of(*gateway, *call).is_some();
            if is_sent {
                site.gateways[*gateway].end_attempt(*call, fixture::response_outcome(200));
            }
            !is_sent
        });
        site.deliver_messages();
        site.pass(STEP);
    }
    count - waiting.len()
}

// Guards against an ordinary request that is kept away because its endpoints restart together while copies
// of it run: one is tried, and the others wait for the result.
#[test]
fn ordinary_request_is_served_after_its_endpoints_restarted_together() {
    for restarts in [SAME_IDS, QUICK] {
        let mut site = start_site(5, 4, restarts);
        for _ in 0..6 {
            restart_all_endpoints(&mut site);
            site.pass(time::Duration::from_secs(5));

            assert_eq!(serve_at_all_gateways(&mut site), 5);
            assert_eq!(site.count_refused(output::Reason::Quarantined), 0);
        }
    }
}

// Guards against a trial that never ran and keeps others out until it would have ended.
#[test]
fn trial_that_was_not_run_keeps_no_others_out() {
    let mut site = start_site(1, 3, SAME_IDS);
    site.send_poison(&[0, 0, 0], "/book/1", &lost());
    site.pass(time::Duration::from_secs(5));
    let full = input::Outcome::Refused { status: 503, load: None };
    for (gateway, call) in site.send(&[0], "/book/1") {
        while site.endpoint_of(gateway, call).is_some() {
            site.gateways[gateway].end_attempt(call, full.clone());
        }
    }

    assert_eq!(serve_at_all_gateways(&mut site), 1);
}
