//! What endpoints announce of themselves in their responses, apart from the platform's list: an
//! announcement outlives the endpoint's entry, which comes and goes with the platform's store.

use std::collections;
use std::time;

use flamingotrail_core::time as core_time;

use crate::ids;
use crate::input;
use crate::tables::limits;

/// Time for which an announcement is kept after its endpoint has vanished from the list.
const UNLISTED_RETENTION: time::Duration = time::Duration::from_secs(300);

/// The announcement of an endpoint that it leaves.
#[derive(Clone, Copy, Debug)]
pub struct Leaving {
    /// When it was learned.
    pub learned_at: core_time::Timestamp,
    /// When the endpoint was last asked whether it still leaves.
    pub checked_at: Option<core_time::Timestamp>,
}

/// Table of announcements.
#[derive(Debug, Default)]
pub struct Notices {
    /// Limits by endpoint.
    limits: collections::BTreeMap<ids::EndpointId, limits::Limit>,
    /// Endpoints that have announced that they leave.
    leaving: collections::BTreeMap<ids::EndpointId, Leaving>,
    /// When endpoints were started, in milliseconds since the Unix epoch, for those that say so.
    starts: collections::BTreeMap<ids::EndpointId, u64>,
    /// Number of gateways that share the limits; `None` while this one is not known to the others.
    gateway_count: Option<usize>,
    /// Announcements that the other gateways have not been told of, with the time at which the
    /// request was sent whose response contained them.
    pub untold: collections::BTreeMap<ids::EndpointId, (input::Notice, core_time::Timestamp)>,
    /// Whether other gateways were asked for what they know.
    pub has_asked: bool,
    /// When the other gateways were told last.
    pub told_at: Option<core_time::Timestamp>,
}

impl Notices {
    /// Returns the limit that `endpoint` has named.
    pub fn limit(&self, endpoint: &ids::EndpointId) -> Option<&limits::Limit> {
        self.limits.get(endpoint)
    }

    /// Applies what the response to a request sent at `sent_at` says of the limit of `endpoint`.
    /// `phase`, from 0 to 1, distributes the requests of the gateways over time. Returns whether the
    /// limit has changed.
    ///
    /// Responses may overtake each other. One to a request sent before the current limit was learned
    /// may be older than the limit, so it can only make the limit stricter.
    pub fn update_limit(
        &mut self,
        endpoint: &ids::EndpointId,
        notice: input::Notice,
        sent_at: core_time::Timestamp,
        phase: f64,
        now: core_time::Timestamp,
    ) -> bool {
        let current = self.limits.get(endpoint);
        let is_newer = current.is_none_or(|current| sent_at >= current.learned_at);
        let Some(named) = notice.max_requests_per_s else {
            return is_newer && self.limits.remove(endpoint).is_some();
        };
        let is_stricter = current.is_some_and(|current| named < current.max_requests_per_s);
        let is_same = current.is_some_and(|current| named == current.max_requests_per_s);
        if is_same || !(is_newer || is_stricter) {
            return false;
        }
        let limit = self
            .limits
            .entry(endpoint.clone())
            .or_insert_with(|| limits::Limit::new(named, phase, now));
        limit.change(named, self.gateway_count, now);
        true
    }

    /// Records when `endpoint` was started. Returns whether it was started again, so that its
    /// announcements no longer hold.
    pub fn record_start(&mut self, endpoint: &ids::EndpointId, started_at_ms: u64) -> bool {
        let before = self.starts.insert(endpoint.clone(), started_at_ms);
        let has_restarted = before.is_some_and(|before| before != started_at_ms);
        if has_restarted {
            self.limits.remove(endpoint);
            self.leaving.remove(endpoint);
            self.untold.remove(endpoint);
        }
        has_restarted
    }

    /// Whether `endpoint` has announced that it leaves.
    pub fn is_leaving(&self, endpoint: &ids::EndpointId) -> bool {
        self.leaving.contains_key(endpoint)
    }

    /// Returns the endpoints that have announced that they leave.
    pub fn leaving(&mut self) -> impl Iterator<Item = (&ids::EndpointId, &mut Leaving)> {
        self.leaving.iter_mut()
    }

    /// Returns all announcements, for a gateway that knows none.
    pub fn all(&self, now: core_time::Timestamp) -> Vec<input::PeerNotice> {
        let mut rows = collections::BTreeMap::new();
        let empty = |endpoint: &ids::EndpointId, learned_at| input::PeerNotice {
            endpoint: endpoint.clone(),
            notice: input::Notice::default(),
            age: now.since(learned_at),
        };
        for (id, limit) in &self.limits {
            let row = rows.entry(id).or_insert_with(|| empty(id, limit.learned_at));
            row.notice.max_requests_per_s = Some(limit.max_requests_per_s);
        }
        for (id, leaving) in &self.leaving {
            let row = rows.entry(id).or_insert_with(|| empty(id, leaving.learned_at));
            row.notice.is_leaving = true;
        }
        rows.into_values().collect()
    }

    /// Returns when `endpoint` was last asked whether it still leaves.
    pub fn checked_at(&self, endpoint: &ids::EndpointId) -> Option<core_time::Timestamp> {
        self.leaving.get(endpoint).and_then(|leaving| leaving.checked_at)
    }

    /// Applies what the response to a request sent at `sent_at` says of whether `endpoint` leaves.
    /// Returns whether that has changed. A response to a request sent before the announcement was
    /// learned may be older than it and does not withdraw it.
    pub fn update_leaving(
        &mut self,
        endpoint: &ids::EndpointId,
        notice: input::Notice,
        sent_at: core_time::Timestamp,
        now: core_time::Timestamp,
    ) -> bool {
        match self.leaving.get(endpoint) {
            None if notice.is_leaving => {
                let leaving = Leaving { learned_at: now, checked_at: None };
                self.leaving.insert(endpoint.clone(), leaving);
                true
            }
            Some(leaving) if !notice.is_leaving && sent_at >= leaving.learned_at => {
                self.leaving.remove(endpoint);
                true
            }
            _ => false,
        }
    }

    /// Sets the number of gateways that share the limits; `None` while this gateway is not known to
    /// the others, so that it can't have a share.
    pub fn set_gateway_count(&mut self, count: Option<usize>, now: core_time::Timestamp) {
        self.gateway_count = count;
        for limit in self.limits.values_mut() {
            limit.update_share(count, now);
        }
    }

    /// Returns from when on this gateway may send a request to `endpoint`; `None` while it has no
    /// share of the endpoint's limit.
    pub fn next_due(
        &self,
        endpoint: &ids::EndpointId,
        now: core_time::Timestamp,
    ) -> Option<core_time::Timestamp> {
        self.limits.get(endpoint).map_or(Some(now), |limit| limit.next_due(now))
    }

    /// Records that a request was sent to `endpoint`.
    pub fn record_request(&mut self, endpoint: &ids::EndpointId, now: core_time::Timestamp) {
        if let Some(limit) = self.limits.get_mut(endpoint) {
            limit.record_request(now);
        }
    }

    /// Returns the number of requests per second that this gateway may send to `endpoint`; `None`
    /// if the endpoint names no limit.
    pub fn share_per_s(&self, endpoint: &ids::EndpointId) -> Option<f64> {
        self.limits.get(endpoint).map(limits::Limit::share_per_s)
    }

    /// Forgets the announcements of endpoints that have not been listed for a long time.
    pub fn remove_unlisted(
        &mut self,
        is_listed: impl Fn(&ids::EndpointId) -> bool,
        now: core_time::Timestamp,
    ) {
        let is_kept = |id: &ids::EndpointId, learned_at: core_time::Timestamp| {
            is_listed(id) || now.since(learned_at) < UNLISTED_RETENTION
        };
        self.limits.retain(|id, limit| is_kept(id, limit.learned_at));
        self.leaving.retain(|id, leaving| is_kept(id, leaving.learned_at));
        let (limits, leaving) = (&self.limits, &self.leaving);
        self.starts
            .retain(|id, _| is_listed(id) || limits.contains_key(id) || leaving.contains_key(id));
    }
}
