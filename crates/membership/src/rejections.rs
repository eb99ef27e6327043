//! Waits and tokens after targets rejected the token of a claim.

/// Time for which a VM waits, after a target rejected its token, for the heartbeat of the VM with
/// the higher token. Doubled for each rejection after the first [`EARLY_REJECTIONS`].
const FENCED_BACKOFF_MS: u64 = 250;

/// Number of rejections in a row that may be due to the token of an owner that no longer exists.
const EARLY_REJECTIONS: u32 = 3;

/// Maximum number of times that [`FENCED_BACKOFF_MS`] is doubled, to 16 s. An unknown owner may have
/// been lost meanwhile, so that a zone must not be left alone for longer.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;

/// Minimum time since the last rejection, as a multiple of the wait after it, after which a rejection
/// counts as the first one. Two owners that supersede each other in turn are rejected after about
/// twice their wait.
const MEMORY_FACTOR: u64 = 8;

/// Time by which the token of the next claim is ahead of one that a target rejected in favor of an
/// unknown higher one. Tokens derive from the clocks of VMs, which may differ by seconds.
const TOKEN_LEAD_MS: u64 = 10_000;

/// Binary logarithm of the factor by which [`TOKEN_LEAD_MS`] grows with each claim in a row that was
/// rejected at once. The higher token of such a claim may be that of a lost owner, far ahead of all
/// clocks; owners that supersede each other must not take their tokens there.
const LEAD_GROWTH_SHIFT: u32 = 3;

/// Maximum number of times that the lead grows, to 4 days.
const MAX_LEAD_GROWTHS: u32 = 5;

/// The rejections of a VM's tokens.
///
/// Owners of a zone that never hear each other supersede each other in turn. Each wait is longer than
/// the one before, so that callers are served most of the time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Rejections {
    in_a_row: u32,
    /// Number of claims in a row that were rejected at once.
    at_once: u32,
    last_at_ms: u64,
}

impl Rejections {
    /// Records that a claim made at `claimed_at_ms` was rejected. Returns the time by which the token
    /// of the next claim must be ahead.
    pub(crate) const fn record(&mut self, claimed_at_ms: u64, now_ms: u64) -> u64 {
        if now_ms >= self.last_at_ms + self.backoff_ms() * MEMORY_FACTOR {
            self.in_a_row = 0;
        }
        let growths = if self.at_once < MAX_LEAD_GROWTHS { self.at_once } else { MAX_LEAD_GROWTHS };
        self.in_a_row += 1;
        self.at_once =
            if now_ms < claimed_at_ms + FENCED_BACKOFF_MS { self.at_once + 1 } else { 0 };
        self.last_at_ms = now_ms;
        TOKEN_LEAD_MS << (LEAD_GROWTH_SHIFT * growths)
    }

    /// Returns how long the VM waits after the last rejection.
    pub(crate) const fn backoff_ms(&self) -> u64 {
        let repeated = self.in_a_row.saturating_sub(EARLY_REJECTIONS);
        let doublings =
            if repeated < MAX_BACKOFF_DOUBLINGS { repeated } else { MAX_BACKOFF_DOUBLINGS };
        FENCED_BACKOFF_MS << doublings
    }
}
