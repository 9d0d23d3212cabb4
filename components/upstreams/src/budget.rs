//! A token bucket that bounds extra load to a share of the needed load.

use std::cell::Cell;

const FULL: f64 = 20.0;
const INITIAL: f64 = 4.0;

/// Tokens for hedges or retries; each needed sub-request earns a fraction.
#[derive(Debug)]
pub struct Budget {
    tokens: Cell<f64>,
    limit: Cell<f64>,
}

impl Default for Budget {
    fn default() -> Self {
        Self::starting_with(INITIAL)
    }
}

impl Budget {
    /// Returns a budget that starts with some tokens; more must be earned.
    pub fn starting_with(tokens: f64) -> Self {
        Self {
            tokens: Cell::new(tokens.min(INITIAL)),
            limit: Cell::new(FULL),
        }
    }

    /// Earns `percent` of a token for one needed sub-request.
    pub fn earn(&self, percent: u8) {
        let tokens = self.tokens.get() + f64::from(percent) / 100.0;
        self.tokens.set(tokens.min(self.limit.get()));
    }

    /// Bounds the tokens that may be saved up.
    pub fn set_limit(&self, tokens: f64) {
        self.limit.set(tokens);
        self.tokens.set(self.tokens.get().min(tokens));
    }

    /// Spends one token; `false` if there is none.
    pub fn spend(&self) -> bool {
        let has_token = self.has_token();
        if has_token {
            self.tokens.set(self.tokens.get() - 1.0);
        }
        has_token
    }

    /// Whether a token can be spent.
    pub fn has_token(&self) -> bool {
        self.tokens.get() >= 1.0
    }

    /// The tokens that are left.
    pub fn tokens(&self) -> f64 {
        self.tokens.get()
    }
}
