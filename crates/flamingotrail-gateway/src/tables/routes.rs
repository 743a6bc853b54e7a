//! Routes and services in force.

use std::collections;
use std::time;

use crate::ids;
use crate::input;

/// The configuration in force; none before the first.
#[derive(Debug, Default)]
pub struct Routes {
    /// The configuration.
    pub current: Option<input::Configuration>,
    /// Mean time to an answer by route name, in seconds.
    mean_latency_s: collections::BTreeMap<String, f64>,
}

/// Weight of the newest answer in a route's mean: it follows the load of all endpoints within seconds.
const NEWEST: f64 = 0.02;

/// What a host and path select.
#[derive(Debug, PartialEq)]
pub enum Selection<'a> {
    /// No configuration is known yet.
    NotConfigured,
    /// No route fits.
    NoMatch,
    /// The route.
    Route(&'a input::Route),
}

impl Routes {
    /// Version in force.
    pub fn version(&self) -> Option<u64> {
        self.current.as_ref().map(|configuration| configuration.version)
    }

    /// Takes `configuration` unless it is no newer than the one in force; whether it was taken.
    pub fn replace(&mut self, configuration: input::Configuration) -> bool {
        if self.version().is_some_and(|version| version >= configuration.version) {
            return false;
        }
        let names: collections::BTreeSet<_> =
            configuration.routes.iter().map(|route| route.name.as_str()).collect();
        self.mean_latency_s.retain(|name, _| names.contains(name.as_str()));
        self.current = Some(configuration);
        true
    }

    /// The route of `host` whose prefix is the longest that begins `path`.
    pub fn select(&self, host: &str, path: &str) -> Selection<'_> {
        let Some(configuration) = &self.current else { return Selection::NotConfigured };
        let route = configuration
            .routes
            .iter()
            .filter(|route| {
                route.host.eq_ignore_ascii_case(host) && path.starts_with(&route.path_prefix)
            })
            .max_by_key(|route| route.path_prefix.len());
        route.map_or(Selection::NoMatch, Selection::Route)
    }

    /// Takes the time to an answer on `route`: as a part of the mean of those before.
    pub fn record_latency(&mut self, route: &str, took: time::Duration) -> f64 {
        let took_s = took.as_secs_f64();
        let Some(mean) = self.mean_latency_s.get_mut(route) else {
            self.mean_latency_s.insert(route.to_owned(), took_s);
            return 1.0;
        };
        let ratio = took_s / mean.max(f64::MIN_POSITIVE);
        *mean += (took_s - *mean) * NEWEST;
        ratio
    }

    /// A service.
    pub fn service(&self, name: &ids::ServiceName) -> Option<&input::Service> {
        self.current.as_ref()?.services.get(name)
    }
}

/// The service that `key` goes to by the weights of `route`; none where no weight counts.
pub fn pick_service<'a>(route: &'a input::Route, key: &str) -> Option<&'a ids::ServiceName> {
    let total: u64 = route.traffic_split.iter().map(|(_, weight)| weight).sum();
    if total == 0 {
        return None;
    }
    let mut point = ids::stable_hash(key) % total;
    for (service, weight) in &route.traffic_split {
        if point < *weight {
            return Some(service);
        }
        point -= weight;
    }
    None
}
