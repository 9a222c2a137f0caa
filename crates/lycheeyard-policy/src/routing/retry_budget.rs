const TOKENS_PER_REQUEST: u32 = 1;
const TOKENS_PER_RETRY: u32 = 10;
const MAX_TOKENS: u32 = 1000;

/// Limits retries to a tenth of the requests, with a small reserve for periods of low traffic.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetryBudget {
    tokens: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        const INITIAL_RETRIES: u32 = 10;
        Self {
            tokens: INITIAL_RETRIES * TOKENS_PER_RETRY,
        }
    }
}

impl RetryBudget {
    /// Counts a request that was sent for the first time.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(MAX_TOKENS);
    }

    /// Takes one retry from the budget; returns `false` if none is left.
    pub fn withdraw(&mut self) -> bool {
        match self.tokens.checked_sub(TOKENS_PER_RETRY) {
            Some(rest) => {
                self.tokens = rest;
                true
            }
            None => false,
        }
    }
}
