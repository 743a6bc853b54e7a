//! Priority classes that a configuration names, by which calls are ordered and engines told their
//! urgency.

use std::collections;

use crate::ids;
use crate::input;

/// Number of urgencies that engines tell apart: 0 to 9, 0 being the most urgent.
const URGENCIES: u8 = 10;
/// Urgency of the highest priority class where there are no workspaces. Engines take 5 if they are
/// told none.
const HIGHEST_CLASS_URGENCY: u8 = 3;

/// Place of a call among the priority classes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallClass {
    /// Priority of the workspace.
    pub workspace: u8,
    /// Priority of the route.
    pub route: u8,
    /// Whether the call begins a program.
    pub begins_program: bool,
}

/// Priorities in use; empty if the configuration has no workspaces.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PriorityClasses {
    workspaces: collections::BTreeSet<u8>,
    /// Priorities of the routes to engines.
    routes: collections::BTreeSet<u8>,
}

impl PriorityClasses {
    /// Returns the priorities of a configuration.
    pub fn new(configuration: &input::Configuration) -> Self {
        let Some(workspaces) = &configuration.workspaces else { return Self::default() };
        let is_engine = |service: &ids::ServiceName| {
            configuration.services.get(service).is_some_and(|service| service.engine.is_some())
        };
        let routes = configuration.routes.iter();
        let engine_routes = routes
            .filter(|route| route.traffic_split.iter().any(|(service, _)| is_engine(service)));
        PriorityClasses {
            workspaces: workspaces.rows.values().filter_map(|row| row.priority).collect(),
            routes: engine_routes.map(|route| route.priority).collect(),
        }
    }

    /// Returns the priority of a workspace's calls. A workspace that names none, or a call without a
    /// workspace, belongs to the last of the classes that others name.
    pub fn workspace_priority(&self, row: Option<&input::Workspace>) -> u8 {
        let named = row.and_then(|row| row.priority);
        named.or_else(|| self.workspaces.last().copied()).unwrap_or(0)
    }

    /// Returns the place of a workspace's class as a number from 0, the most urgent, and the number
    /// of classes.
    pub fn workspace_rank(&self, priority: u8) -> (usize, usize) {
        rank(&self.workspaces, priority)
    }

    /// Returns the urgency that an engine is told. Without workspaces, it follows from the route.
    ///
    /// With workspaces, each of their classes has a range of its own, so that no call of a less
    /// urgent class precedes one of a more urgent class. The range is divided among the routes, and
    /// among begun programs and first turns where it is large enough.
    pub fn urgency(&self, class: CallClass, has_workspaces: bool) -> u8 {
        let last = URGENCIES - 1;
        if !has_workspaces {
            return HIGHEST_CLASS_URGENCY.saturating_add(class.route).min(last);
        }
        let urgencies = usize::from(URGENCIES);
        let (workspace, workspaces) = rank(&self.workspaces, class.workspace);
        let (route, routes) = rank(&self.routes, class.route);
        let begin = workspace * urgencies / workspaces;
        let end = (workspace + 1) * urgencies / workspaces;
        let place = 2 * route + usize::from(class.begins_program);
        let urgency = begin + place * (end - begin) / (2 * routes);
        u8::try_from(urgency).unwrap_or(last).min(last)
    }
}

/// Returns the number of priorities in `all` before `priority`, and their number, which is at least 1.
fn rank(all: &collections::BTreeSet<u8>, priority: u8) -> (usize, usize) {
    let count = all.len().max(1);
    (all.range(..priority).count().min(count - 1), count)
}
