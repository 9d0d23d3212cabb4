//! Smooth weighted round robin over the services of a split route.

use std::cell::RefCell;

use crate::configuration::WeightedService;

/// Bound of the random place in its sequence at which a splitter starts.
const START_STEPS: usize = 1_000;

/// Distributes requests over services in proportion to their weights, and
/// spaces the requests of each service as evenly as the weights allow.
#[derive(Debug, Default)]
pub struct Splitter {
    current_weights: RefCell<Vec<f64>>,
}

impl Splitter {
    /// Returns the service for the next request; `None` if no service has a
    /// positive weight.
    pub fn next<'a>(&self, services: &'a [WeightedService]) -> Option<&'a str> {
        let total: f64 = services.iter().map(|s| s.weight).sum();
        if total <= 0.0 {
            return None;
        }
        let mut current_weights = self.current_weights.borrow_mut();
        if current_weights.len() != services.len() {
            current_weights.resize(services.len(), 0.0);
            // Many daemons with few requests each would all begin with the same
            // service.
            for _ in 0..rand::random_range(0..START_STEPS) {
                step(&mut current_weights, services, total);
            }
        }
        let chosen = step(&mut current_weights, services, total)?;
        Some(&services[chosen].service)
    }
}

/// Advances the sequence and returns the index of the next service.
fn step(current_weights: &mut [f64], services: &[WeightedService], total: f64) -> Option<usize> {
    for (current, service) in current_weights.iter_mut().zip(services) {
        *current += service.weight;
    }
    let candidates = (0..services.len()).filter(|&i| services[i].weight > 0.0);
    let chosen = candidates.max_by(|&a, &b| current_weights[a].total_cmp(&current_weights[b]))?;
    current_weights[chosen] -= total;
    Some(chosen)
}
