//! A fleet for tests: gateways that share endpoints, under steady load on a simulated clock. Each
//! endpoint records the requests that reach it.

use std::collections;
use std::time;

use flamingotrail_gateway::ids;
use flamingotrail_gateway::input;
use flamingotrail_gateway::output;

use crate::fixture;

/// Resolution of the simulated clock.
const STEP: time::Duration = time::Duration::from_millis(10);
/// Steps from a request's arrival at an endpoint to the beginning of its response.
const STEPS_TO_RESPONSE: u64 = 3;
/// Steps from the beginning of a response to its end.
const STEPS_TO_END: u64 = 2;
/// Steps per second.
pub const STEPS_PER_S: u64 = 100;

/// A request that has reached an endpoint.
#[derive(Clone, Debug)]
pub struct Reached {
    /// Step of the arrival.
    pub step: u64,
    /// Endpoint that received it.
    pub endpoint: ids::EndpointId,
    /// Step in which the endpoint's announcement reached the sender first, if it had.
    pub told_at: Option<u64>,
}

struct Member {
    gateway: fixture::Gateway,
    /// Number of refusals that were counted.
    refused: usize,
    /// Number of dispatches that have reached their endpoints.
    delivered: usize,
}

enum Step {
    Respond,
    End,
}

struct Due {
    sender: (String, u32),
    call: u64,
    endpoint: ids::EndpointId,
    step: Step,
}

/// Gateways and endpoints.
pub struct Fleet {
    /// What each endpoint announces.
    pub notices: collections::BTreeMap<ids::EndpointId, input::Notice>,
    /// Requests in the order in which they reached endpoints.
    pub reached: Vec<Reached>,
    /// Number of health checks of all gateways.
    pub checks: usize,
    /// Steps since the start.
    pub now: u64,
    members: collections::BTreeMap<(String, u32), Member>,
    listed: collections::BTreeMap<ids::EndpointId, input::Endpoint>,
    told: collections::BTreeMap<((String, u32), ids::EndpointId), u64>,
    due: collections::BTreeMap<u64, Vec<Due>>,
    log: fixture::MemoryLog,
    next_call: u64,
    /// Steps in which calls were received.
    received: collections::BTreeMap<u64, u64>,
    /// Longest time from the receipt of a call to its refusal, in steps.
    longest_wait: u64,
    starts: u32,
}

impl Fleet {
    /// Returns a fleet of `gateways` gateways and of `endpoints`, which all provide one service.
    pub fn new(gateways: usize, endpoints: &[&str]) -> Self {
        let listed = endpoints
            .iter()
            .map(|id| (ids::EndpointId::new(id), fixture::endpoint("ledger", "north-a")));
        let mut fleet = Fleet {
            notices: collections::BTreeMap::new(),
            reached: Vec::new(),
            checks: 0,
            now: 0,
            members: collections::BTreeMap::new(),
            listed: listed.collect(),
            told: collections::BTreeMap::new(),
            due: collections::BTreeMap::new(),
            log: fixture::MemoryLog::default(),
            next_call: 0,
            received: collections::BTreeMap::new(),
            longest_wait: 0,
            starts: 0,
        };
        for number in 0..gateways {
            fleet.start(&format!("g{number}"));
        }
        fleet.publish_peers();
        fleet
    }

    /// Starts a gateway with an empty memory. It ends an earlier incarnation of the same name.
    pub fn start(&mut self, name: &str) {
        self.stop(name);
        self.starts += 1;
        let mut gateway = fixture::Gateway::new(name);
        let passed = STEP * u32::try_from(self.now).expect("a short test");
        gateway.advance(passed, &mut self.log);
        gateway.tick(vec![self.membership()]);
        let member = Member { gateway, refused: 0, delivered: 0 };
        self.members.insert((name.to_owned(), self.starts), member);
    }

    /// Ends a gateway, with all of its calls.
    pub fn stop(&mut self, name: &str) {
        self.members.retain(|(member, _), _| member != name);
    }

    /// Tells each gateway which gateways there are.
    pub fn publish_peers(&mut self) {
        let names = self.members.keys().map(|(name, _)| name.clone());
        let peers: collections::BTreeMap<_, _> =
            names.map(|name| fixture::peer(&name, "north")).collect();
        for member in self.members.values_mut() {
            member.gateway.tick(vec![input::Input::Peers(peers.clone())]);
        }
    }

    /// Tells one gateway that it is the only one, and not listed itself.
    pub fn unlist_peers(&mut self, name: &str) {
        for (_, member) in self.members.iter_mut().filter(|((member, _), _)| member == name) {
            member.gateway.tick(vec![input::Input::Peers(collections::BTreeMap::new())]);
        }
    }

    /// Sets the endpoints that are listed, and tells each gateway.
    pub fn list(&mut self, endpoints: &[&str]) {
        let listed = endpoints
            .iter()
            .map(|id| (ids::EndpointId::new(id), fixture::endpoint("ledger", "north-a")));
        self.listed = listed.collect();
        let membership = self.membership();
        for member in self.members.values_mut() {
            member.gateway.tick(vec![membership.clone()]);
        }
    }

    /// Lists `endpoint` as started at `started_at_ms`, and tells each gateway.
    pub fn set_start(&mut self, endpoint: &str, started_at_ms: u64) {
        if let Some(row) = self.listed.get_mut(&ids::EndpointId::new(endpoint)) {
            row.started_at_ms = Some(started_at_ms);
        }
        let membership = self.membership();
        for member in self.members.values_mut() {
            member.gateway.tick(vec![membership.clone()]);
        }
    }

    fn membership(&self) -> input::Input {
        input::Input::Endpoints(input::Membership { endpoints: self.listed.clone() })
    }

    /// Sets the limit that `endpoint` names.
    pub fn limit(&mut self, endpoint: &str, max_requests_per_s: Option<f64>) {
        let notice = self.notices.entry(ids::EndpointId::new(endpoint)).or_default();
        notice.max_requests_per_s = max_requests_per_s;
    }

    /// Sets whether `endpoint` announces that it leaves.
    pub fn set_leaving(&mut self, endpoint: &str, is_leaving: bool) {
        self.notices.entry(ids::EndpointId::new(endpoint)).or_default().is_leaving = is_leaving;
    }

    /// Tells each gateway that the list can't be read.
    pub fn lose_list(&mut self) {
        for member in self.members.values_mut() {
            member.gateway.tick(vec![input::Input::ListUnreachable]);
        }
    }

    /// Runs for `seconds`, with `per_s` requests per second at each gateway.
    pub fn run(&mut self, seconds: u64, per_s: u64) {
        // Without requests, the interval exceeds any test.
        let interval = STEPS_PER_S.checked_div(per_s).unwrap_or(u64::MAX).max(1);
        for _ in 0..seconds * STEPS_PER_S {
            self.now += 1;
            for due in self.due.remove(&self.now).unwrap_or_default() {
                self.advance_attempt(due);
            }
            self.deliver_messages();
            self.answer_questions();
            self.answer_checks();
            let keys: Vec<(String, u32)> = self.members.keys().cloned().collect();
            for (index, key) in keys.iter().enumerate() {
                let Some(member) = self.members.get_mut(key) else { continue };
                member.gateway.advance(STEP, &mut self.log);
                if (self.now + index as u64).is_multiple_of(interval) {
                    self.next_call += 1;
                    let id = format!("r{}", self.next_call);
                    self.received.insert(self.next_call, self.now);
                    member.gateway.receive(fixture::request(self.next_call, &id, "/book/1"));
                }
                self.deliver(key);
            }
        }
    }

    /// Lets the newly sent requests of a gateway reach their endpoints.
    fn deliver(&mut self, key: &(String, u32)) {
        let Some(member) = self.members.get_mut(key) else { return };
        for (call, _) in &member.gateway.refused[member.refused..] {
            self.longest_wait = self.longest_wait.max(self.now - self.received[&call.0]);
        }
        member.refused = member.gateway.refused.len();
        let sent = &member.gateway.sent[member.delivered..];
        member.delivered = member.gateway.sent.len();
        for dispatch in sent {
            let endpoint = dispatch.endpoint.clone();
            let told_at = self.told.get(&(key.clone(), endpoint.clone())).copied();

            let (call, step) = (dispatch.call.0, Step::Respond);
            let due = Due { sender: key.clone(), call, endpoint: endpoint.clone(), step };
            self.due.entry(self.now + STEPS_TO_RESPONSE).or_default().push(due);
            self.reached.push(Reached { step: self.now, endpoint, told_at });
        }
    }

    /// Lets gateways receive what the others have told them.
    fn deliver_messages(&mut self) {
        let members = self.members.values_mut();
        let messages: Vec<_> =
            members.flat_map(|member| std::mem::take(&mut member.gateway.told)).collect();
        for (peer, notices) in messages {
            let receivers = self.members.iter_mut().filter(|((name, _), _)| name == peer.as_str());
            for (_, receiver) in receivers {
                receiver.gateway.tick(vec![input::Input::PeerNotices(notices.clone())]);
            }
        }
    }

    /// Lets gateways that have just started receive what the others know.
    fn answer_questions(&mut self) {
        let members = self.members.iter_mut();
        let questions: Vec<_> = members
            .flat_map(|(key, member)| {
                let asked = std::mem::take(&mut member.gateway.asked);
                asked.into_iter().map(|peer| (key.clone(), peer))
            })
            .collect();
        for (asker, peer) in questions {
            let responses: Vec<_> = self
                .members
                .iter_mut()
                .filter(|((name, _), _)| name == peer.as_str())
                .flat_map(|(_, member)| {
                    member.gateway.tick(vec![input::Input::NoticesRequested { ticket: 0 }]);
                    std::mem::take(&mut member.gateway.notice_responses)
                })
                .collect();
            if let Some(member) = self.members.get_mut(&asker) {
                let inputs = responses.into_iter().map(input::Input::PeerNotices);
                member.gateway.tick(inputs.collect());
            }
        }
    }

    /// Answers the health checks of all gateways.
    fn answer_checks(&mut self) {
        for member in self.members.values_mut() {
            for endpoint in std::mem::take(&mut member.gateway.checked) {
                let notice = self.notices.get(&endpoint).copied().unwrap_or_default();
                // An endpoint that leaves is not healthy.
                let notice = (!notice.is_leaving).then_some(notice);
                self.checks += 1;
                member.gateway.tick(vec![input::Input::EndpointChecked { endpoint, notice }]);
            }
        }
    }

    fn advance_attempt(&mut self, due: Due) {
        let Some(member) = self.members.get_mut(&due.sender) else { return };
        match due.step {
            Step::Respond => {
                let notice = self.notices.get(&due.endpoint).copied().unwrap_or_default();
                member.gateway.begin_response(due.call, notice);
                if notice != input::Notice::default() {
                    let key = (due.sender.clone(), due.endpoint.clone());
                    self.told.entry(key).or_insert(self.now);
                }
                let end = Due { step: Step::End, ..due };
                self.due.entry(self.now + STEPS_TO_END).or_default().push(end);
            }
            Step::End => {
                member.gateway.end_attempt(due.call, fixture::response_outcome(200));
                member.gateway.tick(vec![input::Input::Delivered(ids::CallId(due.call))]);
                self.deliver(&due.sender);
            }
        }
    }

    /// Number of requests that reached `endpoint` within the last `seconds`.
    pub fn reached_within(&self, endpoint: &str, seconds: u64) -> usize {
        let from = self.now - seconds * STEPS_PER_S;
        let endpoint = ids::EndpointId::new(endpoint);
        self.reached.iter().filter(|r| r.endpoint == endpoint && r.step > from).count()
    }

    /// Longest time from the receipt of a call to its refusal so far.
    pub fn longest_wait_of_refused(&self) -> time::Duration {
        STEP * u32::try_from(self.longest_wait).expect("a short test")
    }

    /// The refusals of all running gateways, each gateway's in order.
    pub fn refusals(&self) -> Vec<output::Refusal> {
        let gateways = self.members.values().map(|member| &member.gateway);
        gateways.flat_map(|gateway| gateway.refused.iter().map(|(_, refusal)| *refusal)).collect()
    }
}
