//! Renewal of the leases under which targets keep the runs of this dispatcher.
//!
//! A caller whose connection breaks sends its job again after a fixed time, to any process, which may
//! know nothing of the runs in progress. Leases are therefore bounded by the last time at which an
//! entry process found the callers of the target's jobs connected: if every process that handled a
//! job is lost, its runs still end before the job returns.

use std::{net::SocketAddr, sync::Arc};

use crate::{Action, CALLER_EXPIRY_MS, Dispatcher, Target, lease::lease_until_ms};

/// Contents of a request for a listing of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListingRequest {
    /// Address of the target.
    pub addr: SocketAddr,
    /// Number of restarts of the target that this process has seen; raises the owner's token.
    pub seen_restarts: u64,
    /// Number of the last end that was processed.
    pub ack_cursor: u64,
    /// Time of the target's clock until which its lease is extended; `None` if it is not.
    pub lease_until_clock_ms: Option<u64>,
    /// Whether the target may delay the listing until a run ends.
    pub may_wait: bool,
}

impl Dispatcher {
    /// Returns the listing request to send to a target now, or `None` if the target is not known.
    pub fn listing_request(&mut self, id: &str, now_ms: u64) -> Option<ListingRequest> {
        let index = self.target_index(id)?;
        let lease_ms = self.lease_ms(&self.targets[index], now_ms);
        let target = &mut self.targets[index];
        let clock_ms = target.estimated_clock_ms(now_ms);
        let lease_until_clock_ms = clock_ms.zip(lease_ms).map(|(clock_ms, lease_ms)| {
            target.record_lease_renewal(lease_ms, now_ms);
            clock_ms + lease_ms
        });
        Some(ListingRequest {
            addr: target.info().addr,
            seen_restarts: target.seen_restarts(),
            ack_cursor: target.ack_cursor(),
            lease_until_clock_ms,
            may_wait: target.has_current_listing()
                && target.is_incarnation_listed()
                && !target.is_unreachable(),
        })
    }

    /// Abandons the periodic listing request to a target and sends the next one.
    pub(super) fn restart_polling(&mut self, target_index: usize) {
        let target = Arc::clone(&self.targets[target_index].info().id);
        self.actions.push(Action::RestartPolling { target });
    }

    /// Returns the lease to ask of a target, or `None` if its runs must not be kept, since one of them
    /// has no known job or its caller may be about to return.
    fn lease_ms(&self, target: &Target, now_ms: u64) -> Option<u64> {
        if !target.can_renew_lease() {
            return None;
        }
        let mut first_checked_at_ms = now_ms;
        for target_run in target.runs() {
            let job = self.job(target_run.run.task.job)?;
            first_checked_at_ms = first_checked_at_ms.min(job.caller_checked_at_ms());
        }
        lease_until_ms(first_checked_at_ms + CALLER_EXPIRY_MS, now_ms)
    }
}
