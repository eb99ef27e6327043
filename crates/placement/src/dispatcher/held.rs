//! Count of what a dispatcher holds, which shows whether it grows with its age.

use crate::{Dispatcher, Target, dispatcher::job_state::JobState};

impl Dispatcher {
    /// Returns the number of entries of each collection that the dispatcher holds, with its name.
    pub fn held_entries(&self) -> [(&'static str, usize); 15] {
        let of_jobs = |count: fn(&JobState) -> usize| self.jobs.iter().map(count).sum();
        let of_targets = |count: fn(&Target) -> usize| self.targets.iter().map(count).sum();
        [
            ("targets", self.targets.len()),
            ("runs", of_targets(|target| target.runs().len())),
            ("recent ends", of_targets(Target::recent_end_count)),
            ("remote targets", self.remote_targets.len()),
            ("jobs", self.jobs.len()),
            ("tasks", of_jobs(|job| job.tasks.len())),
            ("requests", of_jobs(|job| job.requests().len())),
            ("queue", self.queue.len()),
            ("cached answers", self.cached_answers.len()),
            ("queues with run times", self.run_times.queue_count()),
            ("actions", self.actions.len()),
            ("listing requests", self.listing_requests.len()),
            ("remote zones", self.remote_zones.len()),
            ("offloaded parts", self.offloaded_parts.len()),
            ("target losses", self.target_losses.len()),
        ]
    }
}
