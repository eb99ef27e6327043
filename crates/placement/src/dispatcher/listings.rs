//! What the listings of targets change.

use std::sync::Arc;

use ggb_telemetry::{log_event, log_job_event};

use crate::{
    Dispatcher, EndedRun, JobAnswer, JobId, Listing, Run, RunEnd, RunPhase,
    dispatcher::job_state::{JobPhase, TaskState},
};

impl Dispatcher {
    /// Takes in a listing of a target that was asked for at `asked_at_ms`.
    pub fn listed(&mut self, id: &str, listing: &Listing, asked_at_ms: u64, now_ms: u64) {
        self.note_time(now_ms);
        let Some(at) = self.target_index(id) else { return };
        let first = !self.targets[at].is_fenced();
        let ended = self.targets[at].apply(listing, asked_at_ms, now_ms);
        if first {
            log_event!(
                info,
                TargetOwned,
                target = id,
                running = listing.running.len(),
                finished = listing.finished.len()
            );
        }
        for ended in ended {
            self.run_ended(at, ended, now_ms);
        }
        self.adopt_orphans(at, now_ms);
        self.place(now_ms);
    }

    fn run_ended(&mut self, at: usize, ended: EndedRun, now_ms: u64) {
        let EndedRun { run, end, held } = ended;
        let name = Arc::clone(&self.targets[at].info().id);
        let ran_ms = held.map_or(0, |held| now_ms - held.ordered_at_ms);
        log_job_event!(run.task.job.is_sampled(), RunEnded, run = %run, target = %name, end = ?end, ran_ms);
        self.judge_target(at, run, end, now_ms);
        match end {
            RunEnd::Done => {
                if let Some(job) = self.job(run.task.job) {
                    let queue = Arc::clone(&job.submission().queue.name);
                    if held.is_some_and(|held| held.phase == RunPhase::Running) {
                        self.run_times.observe(&queue, ran_ms);
                    }
                }
                self.task_done(run, &name, now_ms);
            }
            RunEnd::Failed if held.is_some() => self.task_freed(run, &name, true, now_ms),
            RunEnd::Failed => self.stray_failure(run, now_ms),
            RunEnd::Stopped | RunEnd::Lapsed | RunEnd::Interrupted | RunEnd::Lost => {
                self.task_freed(run, &name, false, now_ms);
            }
        }
    }

    /// Counts an end for or against the target. A failure counts for nothing if the job's
    /// tasks fail on other targets too.
    fn judge_target(&mut self, at: usize, run: Run, end: RunEnd, now_ms: u64) {
        let name = Arc::clone(&self.targets[at].info().id);
        if end == RunEnd::Failed
            && let Some(job) = self.job_mut(run.task.job)
        {
            match job.first_failed_on.clone() {
                Some(first) if first != name => {
                    if let Some(target) = self.target_mut(&first) {
                        target.forgive_failure();
                    }
                    return;
                }
                Some(_) => return,
                None => job.first_failed_on = Some(Arc::clone(&name)),
            }
        }
        if self.targets[at].observe_end(end, now_ms) {
            log_event!(warn, TargetEjected, target = %name, run = %run);
        }
    }

    fn task_done(&mut self, run: Run, on: &str, now_ms: u64) {
        let id = run.task.job;
        let Some(job) = self.job_mut(id) else { return };
        let Some(before) = job.set_done(run.task) else { return };
        if let TaskState::Assigned { target, run: other } = before
            && (target.as_ref(), other) != (on, run)
            && let Some(at) = self.target_index(&target)
        {
            self.stop(at, other, now_ms);
        }
        let Some(job) = self.job(id) else { return };
        match job.phase() {
            JobPhase::Open if job.is_completed() => {
                self.complete(id, now_ms);
            }
            JobPhase::Open if job.waiting_tasks() == 0 => self.unqueue(id),
            JobPhase::Open => {}
            JobPhase::Abandoned | JobPhase::Finished => self.remove_if_over(id),
        }
    }

    pub(super) fn complete(&mut self, id: JobId, now_ms: u64) {
        if let Some(job) = self.job(id) {
            let took_ms = now_ms - job.sent_at_ms();
            let objective_ms = job.objective_ms();
            log_job_event!(id.is_sampled() || took_ms > objective_ms, JobCompleted, job = %id, took_ms, objective_ms);
        }
        self.finish(id, JobAnswer::Completed, now_ms);
    }

    /// Counts a failed run that an earlier dispatcher ordered.
    fn stray_failure(&mut self, run: Run, now_ms: u64) {
        let Some(job) = self.job_mut(run.task.job) else { return };
        job.count_failure(run);
        if job.phase() == JobPhase::Open && job.is_exhausted(run.task) {
            self.finish(run.task.job, JobAnswer::Failed, now_ms);
        }
    }

    /// Joins runs of an earlier dispatcher to the jobs that ask for them.
    fn adopt_orphans(&mut self, at: usize, now_ms: u64) {
        let orphans =
            self.targets[at].runs().iter().filter(|held| held.phase == RunPhase::Orphaned);
        let orphans: Vec<Run> = orphans.map(|held| held.run).collect();
        for run in orphans {
            self.adopt(at, run, now_ms);
        }
    }

    /// Gives a job the runs and ends that targets already list for it.
    pub(super) fn adopt_known_runs(&mut self, id: JobId, now_ms: u64) {
        let Some(job) = self.job(id) else { return };
        let tasks: Vec<_> = job.tasks.iter().map(|task| task.id).collect();
        for at in 0..self.targets.len() {
            for task in &tasks {
                if let Some((run, end)) = self.targets[at].listed_end_of(*task) {
                    let on = Arc::clone(&self.targets[at].info().id);
                    self.apply_earlier_end(run, &on, end, now_ms);
                }
                if let Some(run) = self.targets[at].orphan_of(*task) {
                    self.adopt(at, run, now_ms);
                }
            }
        }
    }

    fn apply_earlier_end(&mut self, run: Run, on: &str, end: RunEnd, now_ms: u64) {
        match end {
            RunEnd::Done => self.task_done(run, on, now_ms),
            RunEnd::Failed => self.stray_failure(run, now_ms),
            RunEnd::Stopped | RunEnd::Lapsed | RunEnd::Interrupted | RunEnd::Lost => {
                let task = self.job_mut(run.task.job).and_then(|job| job.task_mut(run.task));
                if let Some(task) = task {
                    task.last_run = task.last_run.max(run.number);
                }
            }
        }
    }

    fn adopt(&mut self, at: usize, run: Run, now_ms: u64) {
        let name = Arc::clone(&self.targets[at].info().id);
        let Some(job) = self.job_mut(run.task.job) else { return };
        let Some(task_at) = job.tasks.iter().position(|task| task.id == run.task) else { return };
        let wanted =
            job.phase() == JobPhase::Open && matches!(job.tasks[task_at].state, TaskState::Waiting);
        if !wanted {
            log_event!(warn, RunStopped, run = %run, target = %name, reason = "not needed");
            self.stop(at, run, now_ms);
            return;
        }
        let demand = job.step(run.task).demand;
        let expected_ms = job.expected_ms[usize::from(run.task.step)];
        job.assign(task_at, Arc::clone(&name), run);
        let queued = job.waiting_tasks() > 0;
        log_event!(info, RunAdopted, run = %run, target = %name);
        self.targets[at].adopt(run, demand, expected_ms, now_ms);
        if !queued {
            self.unqueue(run.task.job);
        }
    }
}
