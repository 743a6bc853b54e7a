//! Engine time that each workspace has used lately at this gateway, as a decaying sum. Calls without
//! a workspace count under one row.

use std::collections;
use std::time;

use flamingotrail_core::time as core_time;

use crate::ids;

/// Half-life of the engine time. It covers a few turns of a program, so that a workspace with pauses
/// between its turns isn't taken for an idle one.
const HALF_LIFE: time::Duration = time::Duration::from_secs(10);
/// Engine time below which a row is dropped, in milliseconds. It is less than any call takes.
const MIN_MS: f64 = 1.0;
/// Maximum number of rows. Each has used at least `MIN_MS` within minutes.
const MAX_ROWS: usize = 4096;

/// Engine time used until a point in time.
#[derive(Clone, Copy, Debug)]
struct Share {
    ms: f64,
    updated: core_time::Timestamp,
}

impl Share {
    fn ms_at(&self, now: core_time::Timestamp) -> f64 {
        let age = now.since(self.updated).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.ms * 0.5_f64.powf(age)
    }
}

/// Table of the workspaces' engine time.
#[derive(Debug, Default)]
pub struct Shares {
    rows: collections::BTreeMap<Option<ids::WorkspaceName>, Share>,
}

impl Shares {
    /// Adds `ms` milliseconds of engine time. Beyond the maximum number of rows, the workspace that
    /// has used least is forgotten.
    pub fn record(
        &mut self,
        workspace: Option<&ids::WorkspaceName>,
        ms: f64,
        now: core_time::Timestamp,
    ) {
        let ms = ms + self.used_ms(workspace, now);
        self.rows.insert(workspace.cloned(), Share { ms, updated: now });
        if self.rows.len() > MAX_ROWS {
            let by_time = |a: &Share, b: &Share| a.ms_at(now).total_cmp(&b.ms_at(now));
            let least = self.rows.iter().min_by(|a, b| by_time(a.1, b.1));
            let Some(least) = least.map(|(name, _)| name.clone()) else { return };
            self.rows.remove(&least);
        }
    }

    /// Returns the engine time that a workspace has used lately, in milliseconds.
    pub fn used_ms(
        &self,
        workspace: Option<&ids::WorkspaceName>,
        now: core_time::Timestamp,
    ) -> f64 {
        self.rows.get(&workspace.cloned()).map_or(0.0, |share| share.ms_at(now))
    }

    /// Returns the engine time of a workspace relative to the mean of the workspaces that have used
    /// any: 1 is the mean.
    pub fn relative(
        &self,
        workspace: Option<&ids::WorkspaceName>,
        now: core_time::Timestamp,
    ) -> f64 {
        let total: f64 = self.rows.values().map(|share| share.ms_at(now)).sum();
        if total < MIN_MS {
            return 1.0;
        }
        self.used_ms(workspace, now) * self.rows.len() as f64 / total
    }

    /// Returns the part of the engine time that was used by workspaces which match; 1 if none was used.
    pub fn part_of(
        &self,
        matches: impl Fn(Option<&ids::WorkspaceName>) -> bool,
        now: core_time::Timestamp,
    ) -> f64 {
        let ms = |share: &Share| share.ms_at(now);
        let total: f64 = self.rows.values().map(ms).sum();
        if total < MIN_MS {
            return 1.0;
        }
        let matching = self.rows.iter().filter(|(name, _)| matches(name.as_ref()));
        matching.map(|(_, share)| ms(share)).sum::<f64>() / total
    }

    /// Drops the rows of workspaces that have become idle.
    pub fn expire(&mut self, now: core_time::Timestamp) {
        self.rows.retain(|_, share| share.ms_at(now) >= MIN_MS);
    }

    /// Number of workspaces that have used engine time lately.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether no workspace has used engine time lately.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
