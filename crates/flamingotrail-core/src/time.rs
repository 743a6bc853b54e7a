//! Points in time as the world sees them.

use std::time;

/// A point in time, in microseconds since an origin that the driver chooses.
///
/// Spans between two points are [`std::time::Duration`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The origin.
    pub const ZERO: Timestamp = Timestamp(0);

    /// A point `micros` microseconds after the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Timestamp(micros)
    }

    /// Microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Time since `earlier`, or zero when `earlier` is later.
    pub fn since(self, earlier: Timestamp) -> time::Duration {
        time::Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// The point `span` after this one; saturates.
    pub fn after(self, span: time::Duration) -> Timestamp {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Timestamp(self.0.saturating_add(micros))
    }
}
