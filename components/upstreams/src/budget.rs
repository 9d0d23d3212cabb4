//! A token bucket that bounds hedges and retries to a share of the
//! sub-requests.

use std::cell::Cell;

const DEFAULT_LIMIT: f64 = 20.0;
const INITIAL_LIMIT: f64 = 4.0;

/// Tokens for hedges or retries; each sub-request adds a fraction of a token.
///
/// A budget that may hold less than one token is one of many that share a bound. It
/// gives a whole token with the probability of what it holds, and is empty
/// afterwards, so that all together give what they may.
#[derive(Debug)]
pub struct Budget {
    tokens: Cell<f64>,
    limit: Cell<f64>,
}

impl Default for Budget {
    fn default() -> Self {
        Self::starting_with(INITIAL_LIMIT)
    }
}

impl Budget {
    /// Returns a budget that starts with `tokens`, at most 4; more must be
    /// earned.
    pub fn starting_with(tokens: f64) -> Self {
        Self {
            tokens: Cell::new(tokens.min(INITIAL_LIMIT)),
            limit: Cell::new(DEFAULT_LIMIT),
        }
    }

    /// Adds `percent` hundredths of a token for one sub-request.
    pub fn earn(&self, percent: u8) {
        let tokens = self.tokens.get() + f64::from(percent) / 100.0;
        self.tokens.set(tokens.min(self.limit.get()));
    }

    /// Bounds the tokens that the budget can hold.
    pub fn set_limit(&self, tokens: f64) {
        self.limit.set(tokens);
        self.tokens.set(self.tokens.get().min(tokens));
    }

    /// Takes one token and returns `true`, or returns `false` if there is none.
    pub fn spend(&self) -> bool {
        match self.has_token() {
            true if self.is_partial() => rand::random::<f64>() < self.tokens.replace(0.0),
            true => {
                self.tokens.set(self.tokens.get() - 1.0);
                true
            }
            false => false,
        }
    }

    /// Whether a token may be taken: at least one is left, or a part of one if the
    /// budget can't hold more.
    pub fn has_token(&self) -> bool {
        match self.is_partial() {
            true => self.tokens.get() > 0.0,
            false => self.tokens.get() >= 1.0,
        }
    }

    /// Whether the budget can't hold a whole token.
    fn is_partial(&self) -> bool {
        self.limit.get() < 1.0
    }

    /// Returns the tokens that are left.
    pub fn tokens(&self) -> f64 {
        self.tokens.get()
    }
}
