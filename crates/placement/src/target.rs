//! State that a dispatcher keeps for each target.

mod listings;
mod speed;

use crate::{
    CALLER_EXPIRY_MS, Capacity, Confirmation, EndedRun, LEASE_EXPIRY_MS, MAX_LEASE_MS, Run, RunEnd,
    RunPhase, TargetInfo, TargetRun, TargetSpeed, TaskId, lease::lease_expiry_ms,
    target_clock::ClockReading,
};

pub(crate) use self::speed::scale_ms;

/// Time for which a start request is valid. Within a zone a request usually takes 1 ms; a target
/// rejects a request that arrives after this time, since it was delayed in flight.
pub const START_REQUEST_VALIDITY_MS: u64 = 100;

/// Number of consecutive failed runs after which a target gets only one task at a time. On healthy
/// targets 2 runs in 1,000 fail.
const PROBE_AFTER_FAILURES: u32 = 2;

/// First ejection time of a target that failed runs or rejected requests; doubles with each
/// consecutive ejection up to [`MAX_EJECTION_MS`].
const MIN_EJECTION_MS: u64 = 400;
const MAX_EJECTION_MS: u64 = 3_200;

/// Time without new work for a target that rejected a run for lack of capacity although the task
/// should have fit.
const NO_CAPACITY_PAUSE_MS: u64 = 30;

/// Maximum time after a timeout at which a process that is not overloaded handles it.
const MAX_TIMER_DELAY_MS: u64 = 50;

/// Time for which an end is retained for a job that is resumed from an earlier dispatcher. Entry
/// processes resubmit their jobs to a new owner within a second.
const END_RETENTION_MS: u64 = 1_500;

#[derive(Clone, Copy, Debug)]
struct RecentEnd {
    run: Run,
    end: RunEnd,
    listed_at_ms: u64,
}

/// A target with its runs and its health state.
#[derive(Clone, Debug)]
pub struct Target {
    info: TargetInfo,
    runs: Vec<TargetRun>,
    /// Sum of the demands of the runs.
    used: Capacity,
    recent_ends: Vec<RecentEnd>,
    /// Sequence number of the last end that was processed.
    last_end_number: u64,
    /// Incarnation that last sent a listing, and its clock.
    listed: Option<ListedIncarnation>,
    /// Time at which the most recent of the applied listings was requested.
    last_listing_requested_at_ms: u64,
    /// Time from which a listing must have been requested to count as current.
    listing_required_since_ms: u64,
    /// Number of restarts of the target that this process has seen; raises the owner's token.
    seen_restarts: u64,
    /// Time at which the last restart was seen.
    incarnation_seen_at_ms: u64,
    /// Clock of an incarnation that answered a start request, and that no listing has shown yet.
    unlisted_clock: Option<ClockReading>,
    /// Time at which the last message that may extend the lease was sent.
    lease_sent_at_ms: u64,
    /// Time by which the lease has expired, as far as this dispatcher and those before it extended it.
    lease_expired_at_ms: u64,
    consecutive_failures: u32,
    /// Number of ejections since the last successful run.
    ejections: u32,
    ejected_until_ms: u64,
    unreachable: bool,
    /// Whether a listing request failed although this process was not delayed itself.
    silent: bool,
    removed: bool,
    /// Time at which a loss of the target was recorded that its next listing can settle.
    loss_recorded_at_ms: Option<u64>,
    speed: TargetSpeed,
    /// Time at which the last listing arrived.
    listing_arrived_at_ms: u64,
    /// Time between the arrival of the listing before the last one and the request for the last one.
    listing_gap_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct ListedIncarnation {
    started_unix_ms: u64,
    clock: ClockReading,
}

impl Target {
    /// Returns a target without known runs.
    ///
    /// The target gets no tasks before its first listing shows what runs on it.
    pub const fn new(info: TargetInfo) -> Self {
        Target {
            speed: TargetSpeed::new(info.started_unix_ms),
            listing_arrived_at_ms: 0,
            listing_gap_ms: 0,
            info,
            runs: Vec::new(),
            used: Capacity { cpu_milli: 0, memory_mb: 0, gpus: 0 },
            recent_ends: Vec::new(),
            last_end_number: 0,
            listed: None,
            last_listing_requested_at_ms: 0,
            listing_required_since_ms: 0,
            seen_restarts: 0,
            incarnation_seen_at_ms: 0,
            unlisted_clock: None,
            lease_sent_at_ms: 0,
            lease_expired_at_ms: 0,
            consecutive_failures: 0,
            ejections: 0,
            ejected_until_ms: 0,
            unreachable: false,
            silent: false,
            removed: false,
            loss_recorded_at_ms: None,
        }
    }

    /// Returns the target's entry in the target list.
    pub const fn info(&self) -> &TargetInfo {
        &self.info
    }

    /// Replaces the properties of the target by its current entry in the target list. A target that
    /// was draining stays so for the rest of its incarnation.
    pub fn update_info(&mut self, info: TargetInfo) {
        let draining = self.info.draining && self.info.started_unix_ms == info.started_unix_ms;
        self.info = info;
        self.info.draining |= draining;
        self.removed = false;
    }

    /// Records that the target is no longer in the target list, or that another incarnation answers
    /// at its address.
    pub const fn mark_removed(&mut self) {
        self.removed = true;
    }

    /// Returns whether the target was removed from the target list, or another incarnation answered
    /// at its address.
    pub const fn is_removed(&self) -> bool {
        self.removed
    }

    /// Returns whether a sufficiently recent listing has arrived. The request for it carried this
    /// dispatcher's token, so that earlier dispatchers can no longer start tasks on the target.
    pub const fn has_current_listing(&self) -> bool {
        self.listed.is_some() && self.last_listing_requested_at_ms >= self.listing_required_since_ms
    }

    /// Returns whether a listing has arrived that was requested at `since_ms` or later.
    pub const fn has_listing_since(&self, since_ms: u64) -> bool {
        self.has_current_listing() && self.last_listing_requested_at_ms >= since_ms
    }

    /// Records that a listing request failed after `took_ms`, where `timeout_ms` is its limit.
    ///
    /// A request that fails later than its limit shows that this process is slow, not that the
    /// target is silent.
    pub const fn record_listing_failure(&mut self, took_ms: u64, timeout_ms: u64) {
        self.silent |= took_ms <= timeout_ms + MAX_TIMER_DELAY_MS;
    }

    /// Returns whether the target has never sent a listing and did not answer a request for one, so
    /// that it most likely runs nothing.
    pub const fn is_silent(&self) -> bool {
        self.silent && self.listed.is_none()
    }

    /// Returns the number of restarts of the target that this process has seen, which raises the
    /// owner's token in requests to the current incarnation, see [`ggb_model::token_after_restarts`].
    ///
    /// After a restart a target has no token and a new clock, so that it would execute requests
    /// that were meant for its previous incarnation; a higher token makes it reject them.
    pub const fn seen_restarts(&self) -> u64 {
        self.seen_restarts
    }

    /// Returns the start of the incarnation that last sent a listing, or else of the one in the
    /// target list, in ms since 1970.
    pub fn started_unix_ms(&self) -> u64 {
        self.listed.map_or(self.info.started_unix_ms, |listed| listed.started_unix_ms)
    }

    /// Records that the target was lost while it ran tasks; the next listing shows whether it
    /// crashed.
    pub const fn set_loss_recorded(&mut self, now_ms: u64) {
        self.loss_recorded_at_ms = Some(now_ms);
    }

    /// Returns whether a listing that was requested at `requested_at_ms` shows what became of the
    /// target since it was lost. Returns `true` once for each loss.
    pub fn take_settled_loss(&mut self, requested_at_ms: u64) -> bool {
        self.loss_recorded_at_ms.take_if(|at_ms| requested_at_ms >= *at_ms).is_some()
    }

    /// Returns the runs that occupy capacity on the target.
    pub fn runs(&self) -> &[TargetRun] {
        &self.runs
    }

    /// Returns the number of ends that are retained for jobs that are resumed.
    pub(crate) fn recent_end_count(&self) -> usize {
        self.recent_ends.len()
    }

    /// Returns the free capacity.
    pub const fn free(&self) -> Capacity {
        self.info.capacity.saturating_sub(&self.used)
    }

    /// Returns whether [`Target::free`] is certain: the demand of every run is known, and the capacity
    /// is that of the incarnation that sends listings.
    pub fn is_free_capacity_known(&self) -> bool {
        self.is_described() && self.runs.iter().all(|run| run.is_demand_known)
    }

    /// Returns whether the incarnation that sends listings has the label; `None` always matches.
    pub fn has_label(&self, label: Option<&str>) -> bool {
        label.is_none() || (self.is_described() && self.info.has_label(label))
    }

    /// Returns whether the target's entry in the target list describes the incarnation that sends
    /// listings. Labels and capacity may differ between incarnations.
    fn is_described(&self) -> bool {
        self.listed.is_some_and(|listed| listed.started_unix_ms == self.info.started_unix_ms)
    }

    /// Returns whether new tasks may be placed on the target now.
    pub fn is_usable(&self, now_ms: u64) -> bool {
        let probing = self.consecutive_failures >= PROBE_AFTER_FAILURES && !self.runs.is_empty();
        self.has_current_listing()
            && !self.removed
            && !self.info.draining
            && !self.unreachable
            && !probing
            && now_ms >= self.ejected_until_ms
            && !self.awaits_probe(now_ms)
    }

    /// Returns whether the target counts as available capacity for load reports and admission. An
    /// ejection alone does not make a target unhealthy.
    pub fn is_healthy(&self) -> bool {
        self.has_current_listing()
            && !self.removed
            && !self.info.draining
            && !self.unreachable
            && self.consecutive_failures < PROBE_AFTER_FAILURES
    }

    /// Marks the last listing as outdated: the target gets no new tasks until a listing arrives
    /// that was requested at `now_ms` or later.
    pub const fn require_new_listing(&mut self, now_ms: u64) {
        self.listing_required_since_ms = now_ms;
    }

    /// Returns the estimated target clock at `now_ms`, or `None` before the first listing.
    pub fn estimated_clock_ms(&self, now_ms: u64) -> Option<u64> {
        let clock = self.unlisted_clock.or(self.listed.map(|listed| listed.clock));
        clock.map(|clock| clock.estimate_ms(now_ms))
    }

    /// Returns whether a listing has shown the incarnation that last answered.
    pub const fn is_incarnation_listed(&self) -> bool {
        self.unlisted_clock.is_none()
    }

    /// Returns the sequence number of the last end that was processed. The target may discard ends
    /// up to this number, and delays its next listing only while it has no later end.
    ///
    /// The numbers start anew with each incarnation, so none is returned while it is not known which
    /// incarnation gets it.
    pub const fn ack_cursor(&self) -> u64 {
        if self.is_incarnation_listed() { self.last_end_number } else { 0 }
    }

    /// Records that a message that extends the lease by `lease_ms` is about to be sent.
    pub fn record_lease_renewal(&mut self, lease_ms: u64, now_ms: u64) {
        self.lease_sent_at_ms = now_ms;
        self.extend_lease_expiry(lease_ms, now_ms);
    }

    fn extend_lease_expiry(&mut self, lease_ms: u64, now_ms: u64) {
        let expired_at_ms = now_ms + lease_expiry_ms(lease_ms);
        self.lease_expired_at_ms = self.lease_expired_at_ms.max(expired_at_ms);
    }

    /// Returns whether the lease expires before a caller who was last found connected at
    /// `checked_at_ms` can send its job again, so that a task of the job may start on the target.
    pub const fn lease_ends_before_return(&self, checked_at_ms: u64, now_ms: u64) -> bool {
        let start_expired_at_ms = now_ms + lease_expiry_ms(START_REQUEST_VALIDITY_MS);
        let return_ms = checked_at_ms + CALLER_EXPIRY_MS;
        self.lease_expired_at_ms <= return_ms && start_expired_at_ms <= return_ms
    }

    /// Returns whether a run has certainly ended, since every lease for it has expired.
    ///
    /// A run that no listing has shown may be one of an incarnation that has restarted unseen, for
    /// which its start request was valid for the longest lease.
    const fn is_lease_expired(&self, target_run: &TargetRun, now_ms: u64) -> bool {
        let is_listed = matches!(target_run.confirmation, Confirmation::Listed { .. });
        now_ms >= self.lease_sent_at_ms + LEASE_EXPIRY_MS
            && (is_listed || now_ms >= target_run.start_sent_at_ms + LEASE_EXPIRY_MS)
    }

    /// Returns whether the leases of any runs have expired.
    pub fn has_expired_runs(&self, now_ms: u64) -> bool {
        self.runs.iter().any(|target_run| self.is_lease_expired(target_run, now_ms))
    }

    /// Returns whether the lease of the target may be extended.
    ///
    /// The lease is not extended before the first listing; while the target is unreachable, so that
    /// its runs end at a known time; or while it has orphaned runs, which could otherwise outlive
    /// several dispatchers in a row.
    pub fn can_renew_lease(&self) -> bool {
        let is_orphaned = |target_run: &TargetRun| target_run.phase == RunPhase::Orphaned;
        self.has_current_listing() && !self.unreachable && !self.runs.iter().any(is_orphaned)
    }

    /// Returns whether the target failed to answer the last message.
    pub const fn is_unreachable(&self) -> bool {
        self.unreachable
    }

    /// Sets whether the target is unreachable. Returns whether this changed.
    pub const fn set_unreachable(&mut self, unreachable: bool) -> bool {
        let changed = self.unreachable != unreachable;
        self.unreachable = unreachable;
        changed
    }

    /// Ejects the target for a time that doubles with each consecutive ejection.
    pub fn eject(&mut self, now_ms: u64) {
        let ejection_ms = (MIN_EJECTION_MS << self.ejections.min(3)).min(MAX_EJECTION_MS);
        self.ejections += 1;
        self.ejected_until_ms = self.ejected_until_ms.max(now_ms + ejection_ms);
    }

    /// Places no tasks on the target until a listing can have shown why it had no free capacity.
    pub fn pause_after_no_capacity(&mut self, now_ms: u64) {
        self.ejected_until_ms = self.ejected_until_ms.max(now_ms + NO_CAPACITY_PAUSE_MS);
    }

    /// Records a stalled run: the target is ejected, and afterwards gets one task at a time until
    /// one completes.
    pub fn record_stall(&mut self, now_ms: u64) {
        self.consecutive_failures = self.consecutive_failures.max(PROBE_AFTER_FAILURES);
        self.eject(now_ms);
    }

    /// Reverts one recorded failure that was caused by the job, not by the target.
    pub const fn undo_failure(&mut self) {
        self.consecutive_failures = self.consecutive_failures.saturating_sub(1);
    }

    /// Updates the health state with the end of a run. Returns whether the target was ejected.
    pub fn record_end(&mut self, end: RunEnd, now_ms: u64) -> bool {
        match end {
            RunEnd::Done => {
                self.consecutive_failures = 0;
                self.ejections = 0;
                false
            }
            RunEnd::Failed => {
                self.consecutive_failures += 1;
                let ejected = self.consecutive_failures >= PROBE_AFTER_FAILURES;
                if ejected {
                    self.eject(now_ms);
                }
                ejected
            }
            RunEnd::Stopped | RunEnd::Lapsed | RunEnd::Interrupted | RunEnd::Lost => false,
        }
    }

    /// Reserves capacity for a run whose start request is about to be sent. Returns the target
    /// clock time until which the request is valid.
    pub fn reserve(&mut self, run: Run, demand: Capacity, expected_ms: u64, now_ms: u64) -> u64 {
        let valid_until_clock_ms =
            self.estimated_clock_ms(now_ms).unwrap_or(0) + START_REQUEST_VALIDITY_MS;
        let equivalent_renewal_ms = now_ms.saturating_sub(MAX_LEASE_MS - START_REQUEST_VALIDITY_MS);
        self.lease_sent_at_ms = self.lease_sent_at_ms.max(equivalent_renewal_ms);
        self.extend_lease_expiry(START_REQUEST_VALIDITY_MS, now_ms);
        self.insert(TargetRun {
            run,
            demand,
            is_demand_known: true,
            phase: RunPhase::Ordered,
            phase_since_ms: now_ms,
            confirmation: Confirmation::None,
            last_stop_sent_at_ms: 0,
            start_sent_at_ms: now_ms,
            valid_until_clock_ms,
            sent_to_unix_ms: self.started_unix_ms(),
            expected_ms,
            reference_ms: None,
            progress_percent: 0,
            last_progress_at_ms: now_ms,
            last_listed_at_ms: now_ms,
        });
        valid_until_clock_ms
    }

    fn insert(&mut self, target_run: TargetRun) {
        self.used = self.used.add(&target_run.demand);
        self.runs.push(target_run);
    }

    /// Releases the capacity of a run and returns its state, if the target has it.
    pub fn release(&mut self, run: Run) -> Option<TargetRun> {
        let index = self.runs.iter().position(|target_run| target_run.run == run)?;
        let target_run = self.runs.swap_remove(index);
        self.used = self.used.saturating_sub(&target_run.demand);
        Some(target_run)
    }

    fn release_all(&mut self, runs: Vec<Run>, end: RunEnd) -> Vec<EndedRun> {
        let released = runs.into_iter().filter_map(|run| self.release(run));
        released.map(|target_run| EndedRun::tracked(target_run, end)).collect()
    }

    /// Sets the phase of a run. Returns whether the target has the run.
    pub fn set_phase(&mut self, run: Run, phase: RunPhase, now_ms: u64) -> bool {
        let found = self.runs.iter_mut().find(|target_run| target_run.run == run);
        found
            .map(|target_run| {
                target_run.phase = phase;
                target_run.phase_since_ms = now_ms;
                if phase == RunPhase::Running {
                    target_run.record_answer(now_ms);
                }
            })
            .is_some()
    }

    /// Records that a stop request for the run is being sent, possibly again. Returns whether the
    /// target has the run.
    pub fn mark_stopping(&mut self, run: Run, now_ms: u64) -> bool {
        let Some(target_run) = self.runs.iter_mut().find(|target_run| target_run.run == run) else {
            return false;
        };
        target_run.last_stop_sent_at_ms = now_ms;
        if target_run.phase != RunPhase::Stopping {
            target_run.phase = RunPhase::Stopping;
            target_run.phase_since_ms = now_ms;
        }
        true
    }

    /// Assigns an orphaned run to a job, with the demand and expected run time from that job.
    pub fn adopt(&mut self, run: Run, demand: Capacity, expected_ms: u64, now_ms: u64) {
        if let Some(mut target_run) = self.release(run) {
            target_run.phase = RunPhase::Running;
            target_run.phase_since_ms = now_ms;
            target_run.demand = demand;
            target_run.is_demand_known = true;
            target_run.expected_ms = expected_ms;
            self.insert(target_run);
        }
    }

    /// Returns the run of `task` with the highest number that an earlier dispatcher started, or
    /// that is being stopped because no job needed it.
    pub fn latest_unassigned_run(&self, task: TaskId) -> Option<TargetRun> {
        let is_unassigned = |target_run: &&TargetRun| {
            target_run.run.task == task
                && matches!(target_run.phase, RunPhase::Orphaned | RunPhase::Stopping)
        };
        self.runs.iter().filter(is_unassigned).max_by_key(|target_run| target_run.run).copied()
    }

    /// Returns the latest run of `task` whose end was listed recently, and the reason for the end.
    pub fn latest_listed_end(&self, task: TaskId) -> Option<(Run, RunEnd)> {
        let ends = self.recent_ends.iter().filter(|recent| recent.run.task == task);
        ends.map(|recent| (recent.run, recent.end)).max_by_key(|(run, _)| *run)
    }

    /// Updates the clock from the answer to a start request that was sent at `requested_at_ms`. Returns
    /// whether the answer is the first one that shows a restart of the target.
    pub(crate) fn update_clock(
        &mut self,
        clock_ms: u64,
        requested_at_ms: u64,
        now_ms: u64,
    ) -> bool {
        let reading = ClockReading { clock_ms, requested_at_ms, read_at_ms: now_ms };
        let Some(last) = self.unlisted_clock.as_mut().or(self.listed.as_mut().map(clock_of)) else {
            return false;
        };
        if last.precedes_restart(&reading) {
            self.unlisted_clock = Some(reading);
            // Requests by the clock of the former incarnation have got the longest lease.
            self.record_lease_renewal(MAX_LEASE_MS, now_ms);
            return true;
        }
        if !last.follows_restart(&reading) {
            last.advance(reading);
        }
        false
    }

    /// Ends the runs whose leases have expired.
    pub fn expire_runs(&mut self, now_ms: u64) -> Vec<EndedRun> {
        let expired = self.runs.iter().filter(|run| self.is_lease_expired(run, now_ms));
        let expired: Vec<Run> = expired.map(|target_run| target_run.run).collect();
        self.release_all(expired, RunEnd::Lapsed)
    }

    /// Discards ends that a resumed job can no longer need.
    pub fn prune_recent_ends(&mut self, now_ms: u64) {
        self.recent_ends.retain(|recent| now_ms < recent.listed_at_ms + END_RETENTION_MS);
    }
}

const fn clock_of(listed: &mut ListedIncarnation) -> &mut ClockReading {
    &mut listed.clock
}
