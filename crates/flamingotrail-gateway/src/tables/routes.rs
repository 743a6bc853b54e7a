//! Active configuration of routes and services.

use std::collections;
use std::time;

use crate::ids;
use crate::input;
use crate::tables::priority_classes;

/// The active configuration, and the mean latency of its routes.
#[derive(Debug, Default)]
pub struct Routes {
    /// Active configuration; `None` until one is received.
    pub current: Option<input::Configuration>,
    /// Priority classes of the active configuration.
    pub classes: priority_classes::PriorityClasses,
    /// Mean time to a complete response by route name, in seconds.
    mean_latency_s: collections::BTreeMap<String, f64>,
}

/// Weight of the newest response in a route's mean latency, chosen so that the mean follows the
/// load of all endpoints within seconds.
const LATENCY_SMOOTHING: f64 = 0.02;

/// Result of the route selection for a request.
#[derive(Debug, PartialEq)]
pub enum Selection<'a> {
    /// No configuration was received yet.
    NotConfigured,
    /// No route matches.
    NoMatch,
    /// The matching route.
    Route(&'a input::Route),
}

impl Routes {
    /// Returns the version of the active configuration.
    pub fn version(&self) -> Option<u64> {
        self.current.as_ref().map(|configuration| configuration.version)
    }

    /// Replaces the active configuration if `configuration` is newer; returns whether it did.
    pub fn replace(&mut self, configuration: input::Configuration) -> bool {
        if self.version().is_some_and(|version| version >= configuration.version) {
            return false;
        }
        let names: collections::BTreeSet<_> =
            configuration.routes.iter().map(|route| route.name.as_str()).collect();
        self.mean_latency_s.retain(|name, _| names.contains(name.as_str()));
        self.classes = priority_classes::PriorityClasses::new(&configuration);
        self.current = Some(configuration);
        true
    }

    /// Selects the route of `host` with the longest matching prefix of `path`.
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

    /// Records the latency of a response on `route`, and returns its ratio to the mean before it.
    pub fn record_latency(&mut self, route: &str, latency: time::Duration) -> f64 {
        let latency_s = latency.as_secs_f64();
        let Some(mean) = self.mean_latency_s.get_mut(route) else {
            self.mean_latency_s.insert(route.to_owned(), latency_s);
            return 1.0;
        };
        let ratio = latency_s / mean.max(f64::MIN_POSITIVE);
        *mean += (latency_s - *mean) * LATENCY_SMOOTHING;
        ratio
    }

    /// Returns the engines of the configured service of this name; `None` if it is a plain service or
    /// not configured.
    pub fn engine(&self, service: &ids::ServiceName) -> Option<&input::Engine> {
        self.service(service)?.engine.as_ref()
    }

    /// Returns the configured workspaces; `None` if callers need no key.
    pub fn workspaces(&self) -> Option<&input::Workspaces> {
        self.current.as_ref()?.workspaces.as_ref()
    }

    /// Whether endpoints are faster for objects that they have lately handled on the route of this name.
    pub fn is_sticky(&self, route: &str) -> bool {
        let routes = self.current.iter().flat_map(|configuration| &configuration.routes);
        routes.filter(|row| row.name == route).any(|row| row.is_sticky)
    }

    /// Whether the configuration has workspaces, so that callers' credentials are meant for the gateway.
    pub fn has_workspaces(&self) -> bool {
        self.workspaces().is_some()
    }

    /// Returns the configured route of this name.
    pub fn route(&self, name: &str) -> Option<&input::Route> {
        self.current.as_ref()?.routes.iter().find(|route| route.name == name)
    }

    /// Returns the configured workspace of this name.
    pub fn workspace(&self, name: &ids::WorkspaceName) -> Option<&input::Workspace> {
        self.current.as_ref()?.workspaces.as_ref()?.rows.get(name)
    }

    /// Returns the configured service of this name.
    pub fn service(&self, name: &ids::ServiceName) -> Option<&input::Service> {
        self.current.as_ref()?.services.get(name)
    }
}

/// Selects the service for `key` by the weights of `route`: the same key always selects the same
/// service. Returns `None` if the sum of the weights is 0.
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
