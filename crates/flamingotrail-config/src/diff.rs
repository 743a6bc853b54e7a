//! What changes between two sets.

use std::collections;
use std::fmt;

use flamingotrail_core::config;

/// One object that differs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// It is only in the new set.
    Added(String),
    /// It is only in the old set.
    Removed(String),
    /// It is in both and differs.
    Changed {
        /// Kind and name.
        object: String,
        /// The old one.
        from: String,
        /// The new one.
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

/// Differences from `old` to `new`, in order of kind and name.
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
