//! Shares of several parties in something limited.

/// Largest part of something limited that one of several parties may hold.
///
/// The limit follows what is free: a party may hold a fixed multiple of it. A party alone gets most,
/// several greedy ones share it, and a part always stays free for the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// What all parties may hold together.
    pub max: usize,
    /// Part of it that a party may hold while there are no others, in percent; 100 is no limit.
    pub percent: u8,
}

impl Share {
    /// Whether a party that holds `own` of `all` may hold `new` more. What it holds first always fits.
    pub fn has_room(&self, all: usize, own: usize, new: usize) -> bool {
        let percent = u128::from(self.percent.min(100));
        let free = self.max.saturating_sub(all) as u128;
        new == 0 || own == 0 || (own + new) as u128 * (100 - percent) <= free * percent
    }
}
