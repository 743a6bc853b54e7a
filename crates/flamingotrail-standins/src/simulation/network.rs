//! Network between nodes: delays by region, cut links, and messages that are lost, duplicated or
//! delayed.

use std::collections;
use std::time as std_time;

use flamingotrail_core::rng;

use crate::deployment;

/// The network.
pub struct Network {
    intra_region_delay: std_time::Duration,
    cross_region_delay: std_time::Duration,
    regions: collections::BTreeMap<String, String>,
    cut: collections::BTreeSet<(String, String)>,
    /// Probability that a copy of a message is lost.
    pub loss_rate: f64,
    /// Probability that a message is sent twice.
    pub duplicate_rate: f64,
    /// Maximum additional delay of a message.
    pub max_jitter: std_time::Duration,
    /// Bytes of response text sent between regions.
    pub cross_region_bytes: u64,
    /// Number of control messages sent.
    pub messages_sent: u64,
}

impl Network {
    /// Returns the network of `deployment`, without nodes and faults.
    pub fn new(deployment: &deployment::Deployment) -> Self {
        Network {
            intra_region_delay: deployment.intra_region_delay,
            cross_region_delay: deployment.inter_region_delay,
            regions: collections::BTreeMap::new(),
            cut: collections::BTreeSet::new(),
            loss_rate: 0.0,
            duplicate_rate: 0.0,
            max_jitter: std_time::Duration::ZERO,
            cross_region_bytes: 0,
            messages_sent: 0,
        }
    }

    /// Adds a node in a region.
    pub fn add_node(&mut self, node: &str, region: &str) {
        self.regions.insert(node.to_owned(), region.to_owned());
    }

    /// Cuts or restores the links between two groups of nodes, in both directions. A group is given
    /// by the name of a node, the name of a region, or `*` for all nodes.
    pub fn set_cut(&mut self, first: &str, second: &str, cut: bool) {
        for (from, to) in self.pairs(first, second) {
            if cut {
                self.cut.insert((from, to));
            } else {
                self.cut.remove(&(from, to));
            }
        }
    }

    fn matching_nodes(&self, name: &str) -> Vec<String> {
        let matching = |(node, region): (&String, &String)| {
            (node == name || region == name || name == "*").then(|| node.clone())
        };
        self.regions.iter().filter_map(matching).collect()
    }

    fn pairs(&self, first: &str, second: &str) -> Vec<(String, String)> {
        let mut pairs = Vec::new();
        for from in self.matching_nodes(first) {
            for to in self.matching_nodes(second) {
                if from != to {
                    pairs.push((from.clone(), to.clone()));
                    pairs.push((to.clone(), from.clone()));
                }
            }
        }
        pairs
    }

    /// Returns whether the link from `from` to `to` is cut.
    pub fn is_cut(&self, from: &str, to: &str) -> bool {
        !self.cut.is_empty() && self.cut.contains(&(from.to_owned(), to.to_owned()))
    }

    /// Returns whether two nodes are in different regions.
    pub fn is_cross_region(&self, from: &str, to: &str) -> bool {
        self.regions.get(from) != self.regions.get(to)
    }

    /// Returns the one-way delay between two nodes, without jitter.
    pub fn delay(&self, from: &str, to: &str) -> std_time::Duration {
        if self.is_cross_region(from, to) {
            self.cross_region_delay
        } else {
            self.intra_region_delay
        }
    }

    /// Returns the delay of each copy of a message that arrives; empty if the message is lost.
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
        let mut delays = Vec::new();
        let count = if rng.next_f64() < self.duplicate_rate { 2 } else { 1 };
        for _ in 0..count {
            if rng.next_f64() >= self.loss_rate {
                delays.push(delay + std_time::Duration::from_micros(rng.next_below(jitter + 1)));
            }
        }
        delays
    }
}
