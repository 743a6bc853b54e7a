//! Differences between two configurations.

use std::collections;
use std::fmt;

use flamingotrail_core::config;

/// A difference between two configurations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The object exists only in the new configuration.
    Added(String),
    /// The object exists only in the old configuration.
    Removed(String),
    /// The object exists in both configurations with different values.
    Changed {
        /// Kind and name of the object, as `kind.name`.
        object: String,
        /// Value in the old configuration.
        from: String,
        /// Value in the new configuration.
        to: String,
    },
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Change::Added(object) => write!(f, "+ {object}"),
            Change::Removed(object) => write!(f, "- {object}"),
            Change::Changed { object, from, to } => {
                write!(f, "~ {object}\n    from {from}\n    to   {to}")
            }
        }
    }
}

/// Returns the differences from `old` to `new`, grouped by kind of object.
pub fn diff(old: &config::Config, new: &config::Config) -> Vec<Change> {
    let mut changes = Vec::new();
    compare("region", &old.regions, &new.regions, &mut changes);
    compare("workspace", &old.workspaces, &new.workspaces, &mut changes);
    compare("priority", &old.priorities, &new.priorities, &mut changes);
    compare("budget", &old.budgets, &new.budgets, &mut changes);
    compare("model", &old.models, &new.models, &mut changes);
    compare("service", &old.services, &new.services, &mut changes);
    compare("endpoint", &old.endpoints, &new.endpoints, &mut changes);
    if old.policies != new.policies {
        changes.push(Change::Changed {
            object: "deployment.policies".to_owned(),
            from: format!("{:?}", old.policies),
            to: format!("{:?}", new.policies),
        });
    }
    changes
}

fn compare<K: Ord + fmt::Display, V: PartialEq + fmt::Debug>(
    kind: &str,
    old: &collections::BTreeMap<K, V>,
    new: &collections::BTreeMap<K, V>,
    changes: &mut Vec<Change>,
) {
    for (name, from) in old {
        match new.get(name) {
            None => changes.push(Change::Removed(format!("{kind}.{name}"))),
            Some(to) if to != from => changes.push(Change::Changed {
                object: format!("{kind}.{name}"),
                from: format!("{from:?}"),
                to: format!("{to:?}"),
            }),
            Some(_) => {}
        }
    }
    for name in new.keys().filter(|name| !old.contains_key(name)) {
        changes.push(Change::Added(format!("{kind}.{name}")));
    }
}
