//! A budget for placing tasks again.

const TOKENS_PER_RETRY: u32 = 1_000;

/// Allows retries as a share of first tries, so that they can't feed on themselves.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: u32,
    tokens_per_try: u32,
    most_tokens: u32,
}

impl RetryBudget {
    /// Returns a full budget of `most` retries that earns `per_thousand` retries with
    /// every thousand first tries.
    pub const fn new(per_thousand: u32, most: u32) -> Self {
        let most_tokens = most * TOKENS_PER_RETRY;
        RetryBudget { tokens: most_tokens, tokens_per_try: per_thousand, most_tokens }
    }

    /// Records a first try.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.tokens_per_try).min(self.most_tokens);
    }

    /// Spends one retry; returns whether there was one.
    pub const fn spend(&mut self) -> bool {
        let allowed = self.tokens >= TOKENS_PER_RETRY;
        if allowed {
            self.tokens -= TOKENS_PER_RETRY;
        }
        allowed
    }
}
