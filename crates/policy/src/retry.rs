//! Budget for repeated placements of tasks.

/// Tokens that one retry costs, so that a first attempt can earn a thousandth of a retry.
const TOKENS_PER_RETRY: u32 = 1_000;

/// Token bucket that limits retries to a share of first attempts, so that retries under
/// overload cannot cause a retry storm.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: u32,
    tokens_per_first_attempt: u32,
    max_tokens: u32,
}

impl RetryBudget {
    /// Returns a full budget of `max_retries` retries that regains `retries_per_thousand`
    /// retries for every thousand first attempts.
    pub const fn new(retries_per_thousand: u32, max_retries: u32) -> Self {
        let max_tokens = max_retries * TOKENS_PER_RETRY;
        RetryBudget {
            tokens: max_tokens,
            tokens_per_first_attempt: retries_per_thousand,
            max_tokens,
        }
    }

    /// Records a first attempt.
    pub fn record_first_attempt(&mut self) {
        self.tokens = (self.tokens + self.tokens_per_first_attempt).min(self.max_tokens);
    }

    /// Takes one retry from the budget; returns `false` if none is left.
    pub const fn try_spend_retry(&mut self) -> bool {
        let allowed = self.tokens >= TOKENS_PER_RETRY;
        if allowed {
            self.tokens -= TOKENS_PER_RETRY;
        }
        allowed
    }
}
