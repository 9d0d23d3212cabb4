//! Smooth weighted round robin between the services of a split route.

use std::cell::RefCell;

use crate::configuration::WeightedService;

/// Deals requests to services in proportion to their weights, each service
/// as evenly over time as the weights allow.
#[derive(Debug, Default)]
pub struct Splitter {
    credits: RefCell<Vec<f64>>,
}

impl Splitter {
    /// Returns the service that the next request goes to; `None` if no share
    /// has a weight.
    pub fn next<'a>(&self, shares: &'a [WeightedService]) -> Option<&'a str> {
        let total: f64 = shares.iter().map(|s| s.weight).sum();
        if total <= 0.0 {
            return None;
        }
        let mut credits = self.credits.borrow_mut();
        credits.resize(shares.len(), 0.0);
        for (credit, share) in credits.iter_mut().zip(shares) {
            *credit += share.weight;
        }
        let weighted = (0..shares.len()).filter(|&i| shares[i].weight > 0.0);
        let chosen = weighted.max_by(|&a, &b| credits[a].total_cmp(&credits[b]))?;
        credits[chosen] -= total;
        Some(&shares[chosen].service)
    }
}
