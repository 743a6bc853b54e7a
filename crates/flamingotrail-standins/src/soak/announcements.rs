//! Announcements of runners, and checks of the requests that they get in spite of them.

use std::collections;
use std::time;

use crate::fleet::server;
use crate::soak::plan;

/// Time in which gateways have to follow an announcement. Callers reach each gateway several times a
/// second.
const FOLLOW_TIME: time::Duration = time::Duration::from_millis(1_500);
/// Time in which gateways have to stop sending to a runner that leaves.
const DRAIN_TIME: time::Duration = time::Duration::from_millis(3_000);
/// Window in which requests beyond a limit are counted.
const WINDOW: time::Duration = time::Duration::from_millis(2_000);

/// What a runner announces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A limit of requests per second.
    Limit,
    /// That it leaves.
    Leaving,
}

/// An announcement of a runner.
#[derive(Clone, Debug)]
struct Announcement {
    kind: Kind,
    runner: usize,
    began_at: time::Instant,
    ended_at: Option<time::Instant>,
    /// Whether the runner's responses could not reach the gateways for a time.
    was_cut: bool,
}

/// All announcements of a run, and the times at which a gateway had forgotten or missed them.
#[derive(Clone, Debug, Default)]
pub struct Announcements {
    rows: Vec<Announcement>,
    /// When gateways were started or resumed.
    disturbances: Vec<time::Instant>,
    /// Runners whose connections are disrupted.
    cut_runners: collections::BTreeSet<usize>,
}

impl Announcements {
    /// Records that `runner` begins to announce something.
    pub fn begin(&mut self, kind: Kind, runner: usize) {
        if self.open(kind, runner).is_none() {
            let began_at = time::Instant::now();
            let was_cut = self.cut_runners.contains(&runner);
            let row = Announcement { kind, runner, began_at, ended_at: None, was_cut };
            self.rows.push(row);
        }
    }

    /// Records that `runner` ends its announcement.
    pub fn end(&mut self, kind: Kind, runner: usize) {
        if let Some(row) = self.open(kind, runner) {
            row.ended_at = Some(time::Instant::now());
        }
    }

    /// Records that `runner` starts again: it no longer leaves, and a limit is named anew.
    pub fn restart(&mut self, runner: usize) {
        self.end(Kind::Leaving, runner);
        if self.open(Kind::Limit, runner).is_some() {
            self.end(Kind::Limit, runner);
            self.begin(Kind::Limit, runner);
        }
    }

    /// Records that the connections to `runner` are no longer disrupted.
    pub fn record_cut_end(&mut self, runner: usize) {
        self.cut_runners.remove(&runner);
    }

    /// Records that the connections to `runner` are disrupted.
    pub fn record_cut(&mut self, runner: usize) {
        self.cut_runners.insert(runner);
        let open = self.rows.iter_mut().filter(|row| row.ended_at.is_none());
        open.filter(|row| row.runner == runner).for_each(|row| row.was_cut = true);
    }

    /// Records that a gateway was started or resumed.
    pub fn record_disturbance(&mut self) {
        self.disturbances.push(time::Instant::now());
    }

    fn open(&mut self, kind: Kind, runner: usize) -> Option<&mut Announcement> {
        let mut open = self.rows.iter_mut().filter(|row| row.ended_at.is_none());
        open.find(|row| row.kind == kind && row.runner == runner)
    }

    /// Returns one message for each announcement that gateways did not follow. A gateway that was
    /// started or resumed may send one request of each caller before it learns.
    pub fn violations(&self, requests: &[Vec<server::Request>], callers: usize) -> Vec<String> {
        let rows = self.rows.iter().filter(|row| !row.was_cut);
        rows.filter_map(|row| {
            let ended_at = row.ended_at?;
            let received = requests[row.runner].iter().map(|request| request.received_at);
            let mut times: Vec<time::Instant> =
                received.filter(|at| *at > row.began_at && *at < ended_at).collect();
            times.sort_unstable();
            match row.kind {
                Kind::Limit => self.check_limit(row, &times, callers),
                Kind::Leaving => self.check_leaving(row, &times, callers),
            }
        })
        .collect()
    }

    fn check_limit(
        &self,
        row: &Announcement,
        times: &[time::Instant],
        callers: usize,
    ) -> Option<String> {
        let counted = &times[times.partition_point(|at| *at < row.began_at + FOLLOW_TIME)..];
        let allowed = 1.5 * plan::RUNNER_LIMIT_PER_S * WINDOW.as_secs_f64() + 5.0;
        counted.iter().enumerate().find_map(|(index, start)| {
            let end = *start + WINDOW;
            let count = counted[index..].partition_point(|at| *at < end);
            let excused = callers * self.disturbances_between(*start - FOLLOW_TIME, end);
            (count as f64 > allowed + excused as f64).then(|| {
                let after_ms = start.duration_since(row.began_at).as_millis();
                format!(
                    "limit: runner {} got {count} requests in 2 s, {after_ms} ms after it named a \
                     limit; {allowed} and {excused} of restarted gateways are allowed",
                    row.runner
                )
            })
        })
    }

    fn check_leaving(
        &self,
        row: &Announcement,
        times: &[time::Instant],
        callers: usize,
    ) -> Option<String> {
        let told_at = *times.first()?;
        let late = times.len() - times.partition_point(|at| *at < told_at + DRAIN_TIME);
        let excused = callers * self.disturbances_between(row.began_at, time::Instant::now());
        (late > excused).then(|| {
            format!(
                "leaving: runner {} got {late} requests over 3 s after it had said that it leaves",
                row.runner
            )
        })
    }

    fn disturbances_between(&self, from: time::Instant, to: time::Instant) -> usize {
        self.disturbances.iter().filter(|at| **at >= from && **at < to).count()
    }
}
