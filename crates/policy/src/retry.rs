//! A budget for placing tasks again.

/// Allows retries as a share of first tries, so that they can't feed on themselves.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
    per_try: f64,
    most: f64,
}

impl RetryBudget {
    /// Returns a budget that earns `per_try` retries with each first try, up to `most`.
    pub const fn new(per_try: f64, most: f64) -> Self {
        RetryBudget { tokens: most, per_try, most }
    }

    /// Records a first try.
    pub const fn earn(&mut self) {
        self.tokens = (self.tokens + self.per_try).min(self.most);
    }

    /// Spends one retry; returns whether there was one.
    pub fn spend(&mut self) -> bool {
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
