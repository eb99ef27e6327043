//! What a listing shows of the runs of a target, and of its incarnation.
//!
//! Answers and listings travel on different connections and may overtake each other, and only a listing
//! says which incarnation sent it. A listing therefore decides about a run only if it was requested after
//! the run was confirmed.

use super::{ListedIncarnation, RecentEnd, Target};
use crate::{
    Capacity, Confirmation, EndedRun, Listing, MAX_LEASE_MS, Run, RunEnd, RunPhase, TargetRun,
    lease::LEASE_MS, target_clock::ClockReading,
};

/// Maximum number of ends in a listing; a listing with this many may omit later ends.
const MAX_LISTED_ENDS: usize = 500;

impl Target {
    /// Applies a listing that was requested at `requested_at_ms`. Returns the runs that ended.
    ///
    /// A listing of an earlier incarnation, or with an earlier target clock than the last one, is
    /// ignored.
    pub fn apply_listing(
        &mut self,
        listing: &Listing,
        requested_at_ms: u64,
        now_ms: u64,
    ) -> Vec<EndedRun> {
        let mut ended = Vec::new();
        let has_restarted = match self.listed {
            Some(last) if listing.started_unix_ms < last.started_unix_ms => return ended,
            Some(last) if listing.started_unix_ms > last.started_unix_ms => true,
            Some(last) if listing.clock_ms < last.clock.clock_ms => return ended,
            _ => false,
        };
        if has_restarted {
            self.begin_incarnation(now_ms);
            // Requests by the clock of the former incarnation have got the longest lease.
            self.record_lease_renewal(MAX_LEASE_MS, now_ms);
        } else if !self.has_current_listing() || self.lists_unknown_run(listing) {
            // Another dispatcher may have renewed the lease immediately before.
            self.record_lease_renewal(LEASE_MS, now_ms);
        }
        self.check_speed_incarnation(listing.started_unix_ms);
        self.listing_gap_ms = requested_at_ms.saturating_sub(self.listing_arrived_at_ms);
        self.listing_arrived_at_ms = now_ms;
        self.last_listing_requested_at_ms = self.last_listing_requested_at_ms.max(requested_at_ms);
        self.unlisted_clock.take_if(|clock| requested_at_ms >= clock.read_at_ms);
        let clock =
            ClockReading { clock_ms: listing.clock_ms, requested_at_ms, read_at_ms: now_ms };
        self.listed = Some(ListedIncarnation { started_unix_ms: listing.started_unix_ms, clock });
        self.apply_ends(listing, now_ms, &mut ended);
        self.apply_running(listing, now_ms);
        if listing.finished.len() < MAX_LISTED_ENDS {
            self.end_unlisted_runs(listing, requested_at_ms, &mut ended);
        }
        ended
    }

    /// Returns whether the target lists a run that is not known here, so that it may have obeyed
    /// another dispatcher since the last listing.
    fn lists_unknown_run(&self, listing: &Listing) -> bool {
        let is_known = |run: Run| self.runs.iter().any(|target_run| target_run.run == run);
        listing.running.iter().any(|listed| !is_known(listed.run))
    }

    /// Forgets what only holds for the previous incarnation. Its runs end with the first listing
    /// that would contain them if they were runs of the new one.
    fn begin_incarnation(&mut self, now_ms: u64) {
        self.seen_restarts += 1;
        self.incarnation_seen_at_ms = now_ms;
        self.unlisted_clock = None;
        self.last_end_number = 0;
    }

    /// Returns the runs whose start requests were sent to an earlier incarnation, and of which it is
    /// not known yet whether they have reached the current one.
    pub fn undecided_runs(&self) -> impl Iterator<Item = &TargetRun> {
        let started_unix_ms = self.started_unix_ms();
        self.runs.iter().filter(move |target_run| {
            target_run.sent_to_unix_ms < started_unix_ms
                && !matches!(target_run.confirmation, Confirmation::Listed { .. })
        })
    }

    fn apply_ends(&mut self, listing: &Listing, now_ms: u64, ended: &mut Vec<EndedRun>) {
        for listed in &listing.finished {
            if listed.number <= self.last_end_number {
                continue;
            }
            self.last_end_number = listed.number;
            self.recent_ends.push(RecentEnd {
                run: listed.run,
                end: listed.end,
                listed_at_ms: now_ms,
            });
            let target_run = self.release(listed.run);
            ended.push(EndedRun { run: listed.run, end: listed.end, target_run });
        }
    }

    fn apply_running(&mut self, listing: &Listing, now_ms: u64) {
        for listed in &listing.running {
            match self.runs.iter_mut().find(|target_run| target_run.run == listed.run) {
                Some(target_run) => {
                    if matches!(target_run.phase, RunPhase::Ordered | RunPhase::Unanswered) {
                        target_run.phase = RunPhase::Running;
                        target_run.phase_since_ms = now_ms;
                    }
                    target_run.record_listing(listing.started_unix_ms, now_ms);
                    if target_run.progress_percent != listed.progress_percent {
                        target_run.progress_percent = listed.progress_percent;
                        target_run.last_progress_at_ms = now_ms;
                    }
                }
                None if self.recent_ends.iter().any(|end| end.run == listed.run) => {}
                None => self.insert(TargetRun {
                    run: listed.run,
                    demand: Capacity { cpu_milli: listed.used_cpu_milli, ..Capacity::default() },
                    is_demand_known: false,
                    phase: RunPhase::Orphaned,
                    phase_since_ms: now_ms,
                    confirmation: Confirmation::Listed {
                        at_ms: now_ms,
                        started_unix_ms: listing.started_unix_ms,
                    },
                    last_stop_sent_at_ms: 0,
                    start_sent_at_ms: now_ms,
                    valid_until_clock_ms: 0,
                    sent_to_unix_ms: listing.started_unix_ms,
                    expected_ms: 0,
                    reference_ms: None,
                    progress_percent: listed.progress_percent,
                    last_progress_at_ms: now_ms,
                    last_listed_at_ms: now_ms,
                }),
            }
        }
    }

    /// Ends runs that the target should list but does not.
    ///
    /// A listing shows nothing about a run that was confirmed after the listing was requested, since
    /// answers may overtake it.
    fn end_unlisted_runs(
        &mut self,
        listing: &Listing,
        requested_at_ms: u64,
        ended: &mut Vec<EndedRun>,
    ) {
        let is_missing = |target_run: &TargetRun| {
            let should_be_listed = match target_run.confirmation {
                Confirmation::Listed { started_unix_ms, .. }
                    if started_unix_ms < listing.started_unix_ms =>
                {
                    true
                }
                Confirmation::Listed { at_ms, .. } | Confirmation::Answered { at_ms } => {
                    at_ms < requested_at_ms
                }
                Confirmation::None if target_run.phase == RunPhase::Ordered => false,
                Confirmation::None if target_run.sent_to_unix_ms < listing.started_unix_ms => {
                    requested_at_ms > self.incarnation_seen_at_ms
                }
                // The start request may be valid for another clock than that of the listing.
                Confirmation::None if self.unlisted_clock.is_some() => false,
                Confirmation::None => listing.clock_ms > target_run.valid_until_clock_ms,
            };
            should_be_listed && !listing.running.iter().any(|listed| listed.run == target_run.run)
        };
        let missing = self.runs.iter().filter(|target_run| is_missing(target_run));
        let missing: Vec<Run> = missing.map(|target_run| target_run.run).collect();
        ended.extend(self.release_all(missing, RunEnd::Lost));
    }
}
