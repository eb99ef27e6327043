//! Sending tasks to targets, and what comes of it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_std::{future::timeout, task};
use ggb_membership::Role;
use ggb_model::{AttemptToken, Outcome, Refusal, RefusalReason, TaskFault};
use ggb_platform::{CancelRequest, Denial, StartEnd, StartError, StartReply, StartRequest};
use ggb_session::{Answer, Placement};
use ggb_telemetry::log_event;
use ggb_wire::v1;
use rand::seq::IndexedRandom as _;

use crate::{
    home::Home,
    job::{Job, Lease, SentTask},
    placement::LeaseReport,
    settings::Placer,
};

/// How long a target may take beyond the limit of a task to answer.
const ANSWER_MARGIN_MS: u64 = 2_000;
/// How long a job waits for any dispatcher before it is refused.
const NO_DISPATCHER_MS: u32 = 3_000;
/// The size above which a run counts as long in the metrics.
const LONG_RUN_MS: u32 = 2_000;
/// Stands for the link of a task that was placed without a lease.
const NO_LINK: usize = usize::MAX;

impl Home {
    /// Sends the next task of a job under a lease, or gives the lease back.
    pub(crate) fn use_lease(&self, job: &Arc<Job>, lease: Lease) {
        let Some(home) = self.own.upgrade() else { return };
        let number = self.next_lease_number();
        let mut state = job.state.lock();
        let Some(placement) = state.progress.send_next() else {
            drop(state);
            return self.return_unused(lease);
        };
        let token =
            AttemptToken { submission: job.id, task: placement.task, attempt: placement.attempt };
        let sent = SentTask { number, task: placement.task, lease, attempt: token.to_string() };
        state.sent.push(sent.clone());
        drop(state);
        if placement.attempt == 0 {
            self.retries.lock().earn();
        }
        task::spawn(home.run_task(Arc::clone(job), sent, placement));
    }

    /// Stops a job: no task is sent any more, and those that run are cancelled.
    pub(crate) fn stop(&self, job: &Arc<Job>, refusal: Refusal) {
        let outcome = job.state.lock().progress.stop(refusal);
        if let Some(outcome) = outcome {
            self.finish(job, &outcome);
        }
    }

    /// Stops a job that has not begun within its limit.
    pub(crate) fn watch_deadline(self: &Arc<Self>, job: &Arc<Job>) {
        let (home, job) = (Arc::clone(self), Arc::clone(job));
        task::spawn(async move {
            let first_ms = job.start_within_ms.min(NO_DISPATCHER_MS);
            if ends_within(&job, first_ms).await {
                return;
            }
            if !home.links.any_connected() && home.placer == Placer::Leases {
                home.refuse_unstarted(&job, RefusalReason::NoTargets);
            }
            if ends_within(&job, job.start_within_ms - first_ms).await {
                return;
            }
            home.refuse_unstarted(&job, RefusalReason::DeadlineUnreachable);
        });
    }

    /// Places the tasks of a job on random targets, without dispatchers.
    pub(crate) fn place_directly(&self, job: &Arc<Job>) {
        let view = self.members.view();
        let targets: Vec<SocketAddr> = view.staying(Role::Target).map(|vm| vm.addr).collect();
        if targets.is_empty() {
            let refusal = Refusal { reason: RefusalReason::NoTargets, retry_after_ms: Some(500) };
            return self.stop(job, refusal);
        }
        let waiting = job.state.lock().progress.waiting();
        for _ in 0..waiting {
            let target = self.choose(&targets);
            self.use_lease(job, Lease { link: NO_LINK, epoch: 0, id: 0, target });
        }
    }

    fn choose(&self, targets: &[SocketAddr]) -> SocketAddr {
        let mut rng = rand::rng();
        let one = targets.choose(&mut rng).copied();
        let two = targets.choose(&mut rng).copied();
        match (one, two) {
            (Some(one), Some(two)) if self.placer == Placer::TwoChoices => {
                self.reports.less_loaded(one, two)
            }
            (Some(one), _) => one,
            (None, _) => targets[0],
        }
    }

    fn refuse_unstarted(&self, job: &Arc<Job>, reason: RefusalReason) {
        let refusal = Refusal { reason, retry_after_ms: Some(1_000) };
        let outcome = job.state.lock().progress.refuse_unstarted(refusal);
        outcome.into_iter().for_each(|outcome| self.finish(job, &outcome));
    }

    async fn run_task(self: Arc<Self>, job: Arc<Job>, sent: SentTask, placement: Placement) {
        let spec = &job.spec.tasks[usize::from(placement.task.0)];
        let request = StartRequest {
            attempt: &sent.attempt,
            idempotent: job.spec.idempotent,
            lease_ms: job.task_timeout_ms,
            payload: &spec.payload,
        };
        self.metrics.messages.with_label_values(&["start"]).inc();
        let waited_ms = job.submitted.elapsed().as_secs_f64() * 1e3;
        let timeout_ms = u64::from(job.task_timeout_ms) + ANSWER_MARGIN_MS;
        let result = self.targets.start(sent.lease.target, &request, timeout_ms).await;
        self.observe_wait(&job, waited_ms, &result);
        job.state.lock().sent.retain(|other| other.number != sent.number);
        match result {
            Ok(reply) => self.replied(&job, &sent, reply),
            Err(StartError::Unreachable) => {
                self.denied(&job, &sent, v1::LeaseEnd::Unreachable);
            }
            Err(StartError::Lost) => {
                log_event!(warn, AnswerLost, attempt = sent.attempt, target = %sent.lease.target);
                self.faulted(&job, &sent, v1::LeaseEnd::Lost, TaskFault::AnswerLost);
            }
        }
    }

    fn replied(&self, job: &Arc<Job>, sent: &SentTask, reply: StartReply) {
        let leaving = reply.leaving;
        match reply.end {
            StartEnd::Done { answer, run_ms } => {
                let report =
                    LeaseReport { run_ms, leaving, ..LeaseReport::new(v1::LeaseEnd::Done) };
                self.release(sent.lease, sent.number, report);
                let mut state = job.state.lock();
                state.longest_run_ms = state.longest_run_ms.max(run_ms);
                let outcome = state.progress.answered(sent.task, answer);
                drop(state);
                outcome.into_iter().for_each(|outcome| self.finish(job, &outcome));
            }
            StartEnd::Failed { message } => {
                let fault = TaskFault::Failed { message };
                self.faulted(job, sent, v1::LeaseEnd::Failed, fault);
            }
            StartEnd::Stopped => {
                self.faulted(job, sent, v1::LeaseEnd::Unused, TaskFault::Cancelled);
            }
            StartEnd::NotStarted { denial: Denial::Full } => {
                self.denied(job, sent, v1::LeaseEnd::DeniedFull);
            }
            StartEnd::NotStarted { denial: Denial::Leaving } => {
                self.denied(job, sent, v1::LeaseEnd::DeniedLeaving);
            }
        }
    }

    /// Takes a denial: the task was not started and may be placed elsewhere.
    fn denied(&self, job: &Arc<Job>, sent: &SentTask, end: v1::LeaseEnd) {
        self.release(sent.lease, sent.number, LeaseReport::new(end));
        self.metrics.wasted_messages.with_label_values(&["denied_start"]).inc();
        let outcome = job.state.lock().progress.not_started(sent.task);
        match outcome {
            Some(outcome) => self.finish(job, &outcome),
            None if self.retries.lock().spend() => self.place(job),
            None => {
                let reason = RefusalReason::NoTargets;
                self.stop(job, Refusal { reason, retry_after_ms: Some(1_000) });
            }
        }
    }

    fn faulted(&self, job: &Arc<Job>, sent: &SentTask, end: v1::LeaseEnd, fault: TaskFault) {
        self.release(sent.lease, sent.number, LeaseReport::new(end));
        let outcome = job.state.lock().progress.faulted(sent.task, fault);
        outcome.into_iter().for_each(|outcome| self.finish(job, &outcome));
    }

    fn finish(&self, job: &Arc<Job>, outcome: &Outcome) {
        self.observe_outcome(job, outcome);
        self.record(job, Answer::new(outcome));
        let mut state = job.state.lock();
        let asked = std::mem::take(&mut state.asked);
        let held = std::mem::take(&mut state.held);
        let sent = state.sent.clone();
        drop(state);
        for link in asked.owing() {
            if let Some(link) = self.links.find(link) {
                link.withdraw(job.number);
            }
        }
        held.into_iter().for_each(|lease| self.return_unused(lease));
        self.cancel_sent(sent);
    }

    /// Asks targets to stop tasks whose job is over, in one message for each target.
    fn cancel_sent(&self, mut sent: Vec<SentTask>) {
        sent.sort_by_key(|sent| sent.lease.target);
        for group in sent.chunk_by(|a, b| a.lease.target == b.lease.target) {
            let attempts = group.iter().map(|sent| sent.attempt.clone()).collect();
            let (targets, target) = (Arc::clone(&self.targets), group[0].lease.target);
            self.metrics.messages.with_label_values(&["cancel"]).inc();
            task::spawn(async move { targets.cancel(target, CancelRequest { attempts }).await });
        }
    }

    fn observe_wait(&self, job: &Job, waited_ms: f64, result: &Result<StartReply, StartError>) {
        let Ok(StartReply { end: StartEnd::Done { run_ms, .. }, .. }) = result else { return };
        let priority = job.priority.to_string();
        let size = if *run_ms < LONG_RUN_MS { "short" } else { "long" };
        self.metrics.starts.inc();
        self.metrics.task_wait_ms.with_label_values(&[priority.as_str(), size]).observe(waited_ms);
    }

    fn observe_outcome(&self, job: &Job, outcome: &Outcome) {
        let (kind, priority) = (outcome.kind().to_string(), job.priority.to_string());
        self.metrics.outcomes.with_label_values(&[kind.as_str()]).inc();
        if let Outcome::NotRun(refusal) = outcome {
            let reason = refusal.reason.to_string();
            self.metrics.refusals.with_label_values(&[reason.as_str(), &priority]).inc();
        }
        if let Outcome::Complete { .. } = outcome {
            let longest_ms = f64::from(job.state.lock().longest_run_ms);
            let over_ms = job.submitted.elapsed().as_secs_f64() * 1e3 - longest_ms;
            self.metrics.over_ideal_ms.with_label_values(&[&priority]).observe(over_ms);
        }
    }
}

/// Waits for the end of a job, at most for `limit_ms`; returns whether it came.
async fn ends_within(job: &Job, limit_ms: u32) -> bool {
    timeout(Duration::from_millis(limit_ms.into()), job.done().recv()).await.is_ok()
}
