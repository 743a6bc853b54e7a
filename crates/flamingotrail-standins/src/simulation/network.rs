//! Links between nodes: delays by region, cuts, and messages that are lost, repeated or late.

use std::collections;
use std::time as std_time;

use flamingotrail_core::rng;

use crate::deployment;

/// Links.
pub struct Network {
    near: std_time::Duration,
    far: std_time::Duration,
    regions: collections::BTreeMap<String, String>,
    cut: collections::BTreeSet<(String, String)>,
    /// Share of messages that get lost.
    pub loss_rate: f64,
    /// Share of messages that come twice.
    pub duplicate_rate: f64,
    /// Longest additional delay of a message.
    pub max_jitter: std_time::Duration,
    /// Bytes of text between regions.
    pub cross_region_bytes: u64,
    /// Messages sent.
    pub messages_sent: u64,
}

impl Network {
    /// Links of `deployment`.
    pub fn new(deployment: &deployment::Deployment) -> Self {
        Network {
            near: deployment.near_delay,
            far: deployment.far_delay,
            regions: collections::BTreeMap::new(),
            cut: collections::BTreeSet::new(),
            loss_rate: 0.0,
            duplicate_rate: 0.0,
            max_jitter: std_time::Duration::ZERO,
            cross_region_bytes: 0,
            messages_sent: 0,
        }
    }

    /// Places a node in a region.
    pub fn add_node(&mut self, node: &str, region: &str) {
        self.regions.insert(node.to_owned(), region.to_owned());
    }

    /// Cuts everything between two groups of nodes or regions, or joins it again.
    pub fn set_cut(&mut self, a: &str, b: &str, cut: bool) {
        for (from, to) in self.pairs(a, b) {
            if cut {
                self.cut.insert((from, to));
            } else {
                self.cut.remove(&(from, to));
            }
        }
    }

    fn group(&self, name: &str) -> Vec<String> {
        let named = |(node, region): (&String, &String)| {
            (node == name || region == name || name == "*").then(|| node.clone())
        };
        self.regions.iter().filter_map(named).collect()
    }

    fn pairs(&self, a: &str, b: &str) -> Vec<(String, String)> {
        let mut pairs = Vec::new();
        for from in self.group(a) {
            for to in self.group(b) {
                if from != to {
                    pairs.push((from.clone(), to.clone()));
                    pairs.push((to.clone(), from.clone()));
                }
            }
        }
        pairs
    }

    /// Whether messages from `from` to `to` get through.
    pub fn is_cut(&self, from: &str, to: &str) -> bool {
        !self.cut.is_empty() && self.cut.contains(&(from.to_owned(), to.to_owned()))
    }

    /// Whether two nodes are in different regions.
    pub fn is_cross_region(&self, from: &str, to: &str) -> bool {
        self.regions.get(from) != self.regions.get(to)
    }

    /// One-way delay between two nodes.
    pub fn delay(&self, from: &str, to: &str) -> std_time::Duration {
        if self.is_cross_region(from, to) {
            self.far
        } else {
            self.near
        }
    }

    /// Delays of the copies of one message that arrive.
    pub fn delivery_delays(
        &mut self,
        rng: &mut rng::Rng,
        from: &str,
        to: &str,
    ) -> Vec<std_time::Duration> {
        self.messages_sent += 1;
        let delay = self.delay(from, to);
        if self.loss_rate == 0.0 && self.duplicate_rate == 0.0 && self.max_jitter.is_zero() {
            return vec![delay];
        }
        let jitter = u64::try_from(self.max_jitter.as_micros()).unwrap_or(0);
        let mut copies = Vec::new();
        let count = if rng.next_f64() < self.duplicate_rate { 2 } else { 1 };
        for _ in 0..count {
            if rng.next_f64() >= self.loss_rate {
                copies.push(delay + std_time::Duration::from_micros(rng.next_below(jitter + 1)));
            }
        }
        copies
    }
}
