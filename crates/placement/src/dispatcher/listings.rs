//! Applies the listings of targets to runs and jobs.

use std::sync::Arc;

use ggb_telemetry::{log_event, log_job_event};

use crate::{
    Dispatcher, EndedRun, JobAnswer, JobId, Listing, Run, RunEnd, RunPhase, Submission, TargetRun,
    TaskId,
    dispatcher::job_state::{JobPhase, JobState, TaskEntry, TaskState},
};

impl Dispatcher {
    /// Applies a listing of a target that was requested at `requested_at_ms`.
    pub fn apply_listing(
        &mut self,
        id: &str,
        listing: &Listing,
        requested_at_ms: u64,
        now_ms: u64,
    ) {
        self.advance_time(now_ms);
        let Some(target_index) = self.target_index(id) else { return };
        let is_first_listing = !self.targets[target_index].has_current_listing();
        let earlier_unix_ms = self.targets[target_index].started_unix_ms();
        let ended = self.targets[target_index].apply_listing(listing, requested_at_ms, now_ms);
        self.settle_target_losses(
            target_index,
            earlier_unix_ms,
            listing,
            &ended,
            requested_at_ms,
            now_ms,
        );
        if is_first_listing {
            let target = &self.targets[target_index];
            log_event!(
                info,
                TargetOwned,
                target = id,
                running = listing.running.len(),
                finished = listing.finished.len(),
                free_cpu_milli = target.free().cpu_milli
            );
        }
        if listing.started_unix_ms > earlier_unix_ms {
            log_event!(
                warn,
                TargetRestarted,
                target = id,
                earlier_unix_ms,
                started_unix_ms = listing.started_unix_ms,
                clock_ms = listing.clock_ms,
                listing_age_ms = now_ms - requested_at_ms,
                running = listing.running.len(),
                finished = listing.finished.len(),
                ended = ended.len()
            );
            self.restart_polling(target_index);
        }
        for ended in ended {
            self.apply_run_end(target_index, ended, requested_at_ms, now_ms);
        }
        self.check_slow_phase(target_index, requested_at_ms, now_ms);
        let is_answered = |target_run: &TargetRun| target_run.phase != RunPhase::Ordered;
        if self.targets[target_index].undecided_runs().any(is_answered) {
            self.push_listing_request(target_index, now_ms);
        }
        self.adopt_orphans(target_index, now_ms);
        self.place_tasks(now_ms);
    }

    fn apply_run_end(
        &mut self,
        target_index: usize,
        ended: EndedRun,
        listing_requested_at_ms: u64,
        now_ms: u64,
    ) {
        let EndedRun { run, end, target_run } = ended;
        let target_id = Arc::clone(&self.targets[target_index].info().id);
        let ran_ms = target_run.map_or(0, |target_run| now_ms - target_run.start_sent_at_ms);
        log_job_event!(
            run.task.job.is_sampled(), RunEnded, run = %run, target = %target_id, end = ?end, ran_ms
        );
        self.update_target_health(target_index, run, end, now_ms);
        if let (RunEnd::Lost, Some(target_run)) = (end, target_run) {
            let requested_at_ms = Some(listing_requested_at_ms);
            self.record_lost_run(&target_run, &target_id, end, requested_at_ms, now_ms);
        }
        match end {
            RunEnd::Done => {
                if let Some(target_run) = target_run {
                    self.observe_run_time(target_index, &target_run, ran_ms, now_ms);
                }
                self.complete_task(run, &target_id, now_ms);
            }
            RunEnd::Failed if target_run.is_some() => {
                self.requeue_task(run, &target_id, true, now_ms)
            }
            RunEnd::Failed => self.count_untracked_failure(run, now_ms),
            RunEnd::Stopped | RunEnd::Lapsed | RunEnd::Interrupted | RunEnd::Lost => {
                self.requeue_task(run, &target_id, false, now_ms);
            }
        }
    }

    /// Updates the health state of the target with the end of a run. A failure does not count
    /// against a target if tasks of the same job fail on other targets too.
    fn update_target_health(&mut self, target_index: usize, run: Run, end: RunEnd, now_ms: u64) {
        let target_id = Arc::clone(&self.targets[target_index].info().id);
        if end == RunEnd::Failed
            && let Some(job) = self.job_mut(run.task.job)
        {
            match job.first_failed_target.clone() {
                Some(first) if first != target_id => {
                    if let Some(target) = self.target_mut(&first) {
                        target.undo_failure();
                    }
                    return;
                }
                Some(_) => return,
                None => job.first_failed_target = Some(Arc::clone(&target_id)),
            }
        }
        if self.targets[target_index].record_end(end, now_ms) {
            log_event!(warn, TargetEjected, target = %target_id, run = %run);
        }
    }

    fn complete_task(&mut self, run: Run, target_id: &str, now_ms: u64) {
        let id = run.task.job;
        let Some(job) = self.job_mut(id) else { return };
        let Some(previous) = job.set_done(run.task) else { return };
        if let TaskState::Assigned { target, run: other_run } = previous
            && (target.as_ref(), other_run) != (target_id, run)
            && let Some(target_index) = self.target_index(&target)
        {
            self.stop_run(target_index, other_run, now_ms);
        }
        let Some(job) = self.job(id) else { return };
        match job.phase() {
            JobPhase::Open if job.is_completed() => {
                self.complete_job(id, now_ms);
            }
            JobPhase::Open if job.waiting_tasks() == 0 => self.dequeue(id),
            JobPhase::Open => {}
            JobPhase::Abandoned | JobPhase::Finished => self.remove_if_ended(id),
        }
    }

    /// Records the tasks of a known job that another dispatcher has completed.
    pub(super) fn exclude_tasks(&mut self, submission: &Submission, now_ms: u64) {
        let id = submission.job.id;
        for &(step, index) in &submission.excluded_tasks {
            let Some(job) = self.job_mut(id) else { return };
            let previous = job.set_done(TaskId { job: id, occurrence: 0, step, index });
            if let Some(TaskState::Assigned { target, run }) = previous
                && let Some(target_index) = self.target_index(&target)
            {
                self.stop_run(target_index, run, now_ms);
            }
        }
        let Some(job) = self.job(id) else { return };
        match job.phase() {
            JobPhase::Open if job.is_completed() => self.complete_job(id, now_ms),
            JobPhase::Open if job.waiting_tasks() == 0 => self.dequeue(id),
            JobPhase::Open | JobPhase::Abandoned | JobPhase::Finished => {}
        }
    }

    pub(super) fn complete_job(&mut self, id: JobId, now_ms: u64) {
        if let Some(job) = self.job(id) {
            let took_ms = now_ms - job.received_at_ms();
            let objective_ms = job.objective_ms();
            log_job_event!(
                id.is_sampled() || took_ms > objective_ms, JobCompleted, job = %id, took_ms,
                objective_ms
            );
        }
        self.finish_job(id, JobAnswer::Completed, now_ms);
    }

    /// Counts a failed run that is not tracked on its target.
    fn count_untracked_failure(&mut self, run: Run, now_ms: u64) {
        let Some(job) = self.job_mut(run.task.job) else { return };
        job.count_failure(run);
        if job.phase() == JobPhase::Open && job.has_used_all_attempts(run.task) {
            self.finish_job(run.task.job, JobAnswer::Failed, now_ms);
        }
    }

    /// Assigns orphaned runs of a target to the jobs that need them.
    fn adopt_orphans(&mut self, target_index: usize, now_ms: u64) {
        let orphans = self.targets[target_index]
            .runs()
            .iter()
            .filter(|target_run| target_run.phase == RunPhase::Orphaned);
        let orphans: Vec<Run> = orphans.map(|target_run| target_run.run).collect();
        for run in orphans {
            self.adopt_run(target_index, run, now_ms);
        }
    }

    /// Assigns runs and ends that targets have already listed to a job.
    pub(super) fn adopt_listed_runs(&mut self, id: JobId, now_ms: u64) {
        let Some(job) = self.job(id) else { return };
        let tasks: Vec<_> = job.tasks.iter().map(|task| task.id).collect();
        for target_index in 0..self.targets.len() {
            for task in &tasks {
                if let Some((run, end)) = self.targets[target_index].latest_listed_end(*task) {
                    let target_id = Arc::clone(&self.targets[target_index].info().id);
                    self.apply_recent_end(run, &target_id, end, now_ms);
                }
                match self.targets[target_index].latest_unassigned_run(*task) {
                    Some(TargetRun { run, phase: RunPhase::Orphaned, .. }) => {
                        self.adopt_run(target_index, run, now_ms);
                    }
                    Some(TargetRun { run, .. }) => self.await_stopping_run(target_index, run),
                    None => {}
                }
            }
        }
    }

    /// Returns whether a target has listed a run or an end of a task of a job that has just arrived.
    pub(super) fn has_listed_runs(&self, job: &JobState) -> bool {
        let is_listed = |task: &TaskEntry| {
            self.targets.iter().any(|target| {
                target.latest_listed_end(task.id).is_some()
                    || target.latest_unassigned_run(task.id).is_some()
            })
        };
        job.tasks.iter().any(is_listed)
    }

    /// Applies the end of a run that was listed before the job of the run arrived.
    fn apply_recent_end(&mut self, run: Run, target_id: &str, end: RunEnd, now_ms: u64) {
        if let Some(job) = self.job_mut(run.task.job) {
            job.set_started();
        }
        match end {
            RunEnd::Done => self.complete_task(run, target_id, now_ms),
            RunEnd::Failed => self.count_untracked_failure(run, now_ms),
            RunEnd::Stopped | RunEnd::Lapsed | RunEnd::Interrupted | RunEnd::Lost => {
                let task = self.job_mut(run.task.job).and_then(|job| job.task_mut(run.task));
                if let Some(task) = task {
                    task.last_run_number = task.last_run_number.max(run.number);
                }
            }
        }
    }

    /// Assigns a run that is being stopped to its job, so that the task starts again only after the
    /// run has ended.
    fn await_stopping_run(&mut self, target_index: usize, run: Run) {
        let target_id = Arc::clone(&self.targets[target_index].info().id);
        let Some(job) = self.job_mut(run.task.job) else { return };
        let waiting =
            |task: &TaskEntry| task.id == run.task && matches!(task.state, TaskState::Waiting);
        let Some(task_index) = job.tasks.iter().position(waiting) else { return };
        job.assign(task_index, target_id, run);
        if job.waiting_tasks() == 0 {
            self.dequeue(run.task.job);
        }
    }

    fn adopt_run(&mut self, target_index: usize, run: Run, now_ms: u64) {
        let target_id = Arc::clone(&self.targets[target_index].info().id);
        let Some(job) = self.job_mut(run.task.job) else { return };
        let Some(task_index) = job.tasks.iter().position(|task| task.id == run.task) else {
            return;
        };
        let wanted = job.phase() == JobPhase::Open
            && matches!(job.tasks[task_index].state, TaskState::Waiting);
        if !wanted {
            log_event!(warn, RunStopped, run = %run, target = %target_id, reason = "not needed");
            self.stop_run(target_index, run, now_ms);
            return;
        }
        let demand = job.step(run.task).demand;
        job.assign(task_index, Arc::clone(&target_id), run);
        let queued = job.waiting_tasks() > 0;
        log_event!(info, RunAdopted, run = %run, target = %target_id);
        let (expected_ms, _) = self.expected_run_ms(target_index, run.task);
        self.targets[target_index].adopt(run, demand, expected_ms, now_ms);
        // The lease was last renewed by the earlier dispatcher. A renewal that waits for the next
        // end would come too late for it.
        if self.targets[target_index].can_renew_lease() {
            self.request_listing(target_index, now_ms);
        }
        if !queued {
            self.dequeue(run.task.job);
        }
    }
}
