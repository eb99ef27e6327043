//! Whether a job is taken.
//!
//! Answers the load of a crest: more work arrives than the targets can do, and a job that
//! waits for nothing costs its caller the time in which it could have turned elsewhere.

use ggb_telemetry::{log_event, log_job_event};

use crate::{
    Action, Capacity, Dispatcher, EarlierRuns, JobAnswer, JobId, RefusalReason, StepSpec,
    Submission, Target, TargetInfo, Ticket,
    dispatcher::{
        QUEUE_SHARE_PERCENT,
        job_state::{JobPhase, JobState},
    },
};

/// The share of the targets' processor time that tasks can use, in percent; the rest is
/// lost to gaps that are too small for a task.
const PACKED_PERCENT: u64 = 85;

/// How long a new dispatcher queues jobs without knowing a target, in ms: reading the list
/// and asking each target for a listing takes this long with a slow platform.
const WARM_UP_MS: u64 = 1_000;

/// How many steps of jobs the usual demand of a task is averaged over.
const USUAL_DEMAND_WEIGHT: u64 = 32;

/// The shortest time after which a refused caller is told to come back, in ms.
const RETRY_AFTER_MIN_MS: u64 = 1_000;

/// How long tasks of a job are expected to wait for room.
#[derive(Clone, Copy, Debug)]
struct ExpectedWait {
    first_ms: u64,
    last_ms: u64,
}

impl Dispatcher {
    /// Takes in a job whose caller waits under `ticket`.
    ///
    /// A copy of a job that is known joins it, and gets the answer that the first one got.
    pub fn submit(&mut self, mut submission: Submission, ticket: Ticket, now_ms: u64) {
        self.note_time(now_ms);
        let id = submission.job.id;
        self.observe_demand(&submission);
        if let Ok(at) = self.answers.binary_search_by_key(&id, |kept| kept.job)
            && self.answers[at].part == submission.part
        {
            let answer = self.answers[at].answer.clone();
            log_event!(info, AnswerRepeated, job = %id, answer = ?answer);
            self.actions.push(Action::Answer { ticket, answer });
            return;
        }
        if let Some(job) = self.job(id)
            && job.submission().part != submission.part
        {
            self.answer_rival(&submission, ticket);
            return;
        }
        if let Some(job) = self.job_mut(id) {
            let reopened = job.phase() == JobPhase::Abandoned;
            job.attach(ticket, submission.caller_deadline_ms(now_ms));
            if reopened && job.waiting_tasks() > 0 {
                self.enqueue(id);
            }
            self.place(now_ms);
            return;
        }
        // An owner had the job, and it is not known any more: tasks of it ran and were stopped
        // when its entry process fell silent.
        if submission.held_under.is_some() {
            if submission.part.is_some() {
                self.actions.push(Action::Answer { ticket, answer: JobAnswer::Unknown });
                return;
            }
            submission.earlier_runs = submission.earlier_runs.max(EarlierRuns::OwnZone);
        }
        let times = &self.run_times;
        let steps = submission.job.steps.iter();
        let expected_ms: Vec<u64> =
            steps.map(|step| times.expected_ms(&submission.queue.name, step.estimate_ms)).collect();
        let chain_ms = submission.job.longest_chain_ms(&expected_ms);
        let objective_ms = (submission.queue.stretch * chain_ms as f64) as u64
            + submission.queue.target_latency_ms;
        let job = JobState::new(submission, ticket, expected_ms, objective_ms, now_ms);
        match self.admission(&job, now_ms) {
            Ok(wait_ms) => {
                log_job_event!(id.is_sampled(), JobAdmitted, job = %id, queue = %job.submission().queue.name,
                    objective_ms, wait_ms, tasks = job.tasks.len(), resumed = job.has_started()
                );
                let at = self.jobs.partition_point(|other| other.id() < id);
                self.jobs.insert(at, job);
                self.enqueue(id);
                if self.job(id).is_some_and(JobState::is_completed) {
                    self.finish(id, JobAnswer::Completed, now_ms);
                    return;
                }
                self.adopt_known_runs(id, now_ms);
                self.place(now_ms);
            }
            Err((reason, retry_after_ms)) => {
                log_event!(
                    info, JobRefused, job = %id, queue = %job.submission().queue.name,
                    reason = ?reason, objective_ms, retry_after_ms,
                    free_cpu_milli = self.load().free_cpu_milli
                );
                let answer = JobAnswer::Refused { reason, retry_after_ms };
                self.actions.push(Action::Answer { ticket, answer });
            }
        }
    }

    /// Returns until when jobs are queued though no target has answered yet: after it took
    /// over, and after a pause of the process.
    fn warm_up_until_ms(&self) -> u64 {
        self.verifies_since_ms.unwrap_or(self.since_ms) + WARM_UP_MS
    }

    /// Answers a request for a job of which another part runs here.
    fn answer_rival(&mut self, submission: &Submission, ticket: Ticket) {
        let answer = match submission.part {
            Some(_) => JobAnswer::Refused { reason: RefusalReason::Overloaded, retry_after_ms: 0 },
            None => JobAnswer::Unknown,
        };
        log_event!(info, RivalPart, job = %submission.job.id, part = ?submission.part);
        self.actions.push(Action::Answer { ticket, answer });
    }

    /// Returns the expected wait of a job, or why it is refused and when to come back.
    fn admission(&self, job: &JobState, now_ms: u64) -> Result<u64, (RefusalReason, u64)> {
        if job.has_started() {
            return Ok(0);
        }
        let is_lent = job.submission().part.is_some();
        let service = &job.submission().queue.service;
        let of_service = |target: &&Target| target.info().service == *service && !target.is_gone();
        let targets: Vec<&Target> = self.targets.iter().filter(of_service).collect();
        let is_known = targets.iter().any(|target| target.is_fenced());
        if !is_known && now_ms < self.warm_up_until_ms() && !is_lent {
            return Ok(0);
        }
        let here = |step: &StepSpec| targets.iter().any(|t| t.info().can_hold(service, step));
        let elsewhere = |step: &StepSpec| {
            let mut others = self.far_targets.iter().filter(|target| !target.draining);
            !is_lent && others.any(|target| target.can_hold(service, step))
        };
        if !job.steps().all(|step| here(step) || elsewhere(step)) {
            let is_served = !targets.is_empty()
                || self.far_targets.iter().any(|target| target.service == *service);
            return Err(match is_served {
                true => (RefusalReason::TooLarge, 0),
                false => (RefusalReason::NoTargets, RETRY_AFTER_MIN_MS),
            });
        }
        if self.has_room_for(job, &targets, now_ms) {
            return Ok(0);
        }
        // How the queues of other zones move is not known here.
        if !job.steps().all(here) {
            return Err((RefusalReason::Overloaded, RETRY_AFTER_MIN_MS));
        }
        let wait = self.expected_wait(job);
        let starts_in_time = now_ms + wait.first_ms <= job.queue_until_ms(QUEUE_SHARE_PERCENT);
        let ends_in_time = now_ms + wait.last_ms <= job.latest_start_ms();
        match starts_in_time && ends_in_time && !is_lent {
            true => Ok(wait.last_ms),
            false => Err((RefusalReason::Overloaded, wait.last_ms.max(RETRY_AFTER_MIN_MS))),
        }
    }

    /// Returns whether all tasks whose turn has come could start now, here or in other zones.
    ///
    /// Room that is free now is of no use to those ahead, or they would have it already.
    fn has_room_for(&self, job: &JobState, targets: &[&Target], now_ms: u64) -> bool {
        let usable = targets.iter().filter(|target| target.is_usable(now_ms));
        let mut free: Vec<(&TargetInfo, Capacity)> =
            usable.map(|target| (target.info(), target.free())).collect();
        let mut left = 0;
        for at in job.startable() {
            let step = job.step(job.tasks[at].id);
            let label = step.required_label.as_deref();
            let fits = |(target, room): &&mut (&TargetInfo, Capacity)| {
                room.fits(&step.demand) && target.has_label(label)
            };
            match free.iter_mut().find(fits) {
                Some((_, room)) => *room = room.minus(&step.demand),
                None => left += 1,
            }
        }
        match job.submission().part {
            Some(_) => left == 0,
            None => left <= self.lendable_tasks_of(job, now_ms),
        }
    }

    fn observe_demand(&mut self, submission: &Submission) {
        for step in &submission.job.steps {
            let cpu_milli = step.demand.cpu_milli;
            self.usual_cpu_milli = match self.usual_cpu_milli {
                0 => cpu_milli,
                usual => (usual * (USUAL_DEMAND_WEIGHT - 1) + cpu_milli) / USUAL_DEMAND_WEIGHT,
            };
        }
    }

    /// Returns how long the first and the last task of a job are expected to wait.
    fn expected_wait(&self, job: &JobState) -> ExpectedWait {
        let waiting = job.waiting();
        let ahead = self.waiting.iter().take_while(|ahead| ahead.priority <= waiting.priority);
        let ahead_work: u64 =
            ahead.filter_map(|ahead| self.job(ahead.job)).map(JobState::waiting_work).sum();
        let load = self.load();
        let rate = (load.total_cpu_milli * PACKED_PERCENT / 100).max(1);
        let free_work = load.free_cpu_milli * job.expected_ms.iter().max().copied().unwrap_or(0);
        ExpectedWait {
            first_ms: ahead_work.saturating_sub(free_work) / rate,
            last_ms: (ahead_work + job.waiting_work()).saturating_sub(free_work) / rate,
        }
    }

    pub(super) fn retry_after_ms(&self, id: JobId) -> u64 {
        let wait_ms = self.job(id).map_or(0, |job| self.expected_wait(job).last_ms);
        wait_ms.max(RETRY_AFTER_MIN_MS)
    }
}
