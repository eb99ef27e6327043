//! Leases under which targets keep runs, and the time by which they have expired.

/// Maximum lease that a target grants.
pub const MAX_LEASE_MS: u64 = 1_000;

/// Longest lease that a dispatcher asks for. It outlasts two lost renewals and the takeover by another
/// process. On a target whose lease was just renewed it leaves some 370 ms of
/// [`CALLER_EXPIRY_MS`] for the age of a caller's last check.
pub(crate) const LEASE_MS: u64 = 800;

/// Time after sending a lease renewal by which the lease has certainly expired: [`MAX_LEASE_MS`] on
/// a clock that may be 2% slow, plus 60 ms for the time that the renewal was in flight.
pub const LEASE_EXPIRY_MS: u64 = lease_expiry_ms(MAX_LEASE_MS);

/// Time for which the renewal of a lease may be in flight.
const RENEWAL_TRANSIT_MS: u64 = 60;

/// Time after the last check that the caller of a job is connected by which no run of the job is in
/// progress, whatever became of the processes that handled it since. Callers return later than
/// that, so that a process that knows nothing of the former runs can start the job again.
pub const CALLER_EXPIRY_MS: u64 = 1_250;

/// Returns the time after a request for a lease by which the lease has expired on a clock that may
/// be 2% slow.
pub(crate) const fn lease_expiry_ms(lease_ms: u64) -> u64 {
    lease_ms + lease_ms / 50 + RENEWAL_TRANSIT_MS
}

/// Returns the lease to ask for now so that it has expired by `expired_at_ms`, or `None` if it is too
/// late for any.
pub(crate) fn lease_until_ms(expired_at_ms: u64, now_ms: u64) -> Option<u64> {
    let left_ms = expired_at_ms.checked_sub(now_ms + RENEWAL_TRANSIT_MS)? * 50 / 51;
    (left_ms > 0).then_some(left_ms.min(LEASE_MS))
}
