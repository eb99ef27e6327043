//! Starting of tasks on targets and handling of their results.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_std::{future::timeout, task};
use ggb_membership::Role;
use ggb_model::{AttemptId, Outcome, Refusal, RefusalReason, TaskFault};
use ggb_platform::{AttemptOutcome, CancelRequest, Denial, StartError, StartReply, StartRequest};
use ggb_session::{EncodedOutcome, TaskAttempt};
use ggb_telemetry::log_event;
use ggb_wire::v1;
use rand::seq::IndexedRandom as _;

use crate::{
    home::Home,
    job::{InFlightTask, Job, Lease},
    placement::LeaseReport,
    settings::PlacementPolicy,
};

/// Time that a target has to reply after the timeout of its task.
const REPLY_MARGIN_MS: u64 = 2_000;
/// Time after which a job is refused if the home is connected to no dispatcher.
const NO_DISPATCHER_TIMEOUT_MS: u32 = 3_000;
/// Run time from which the metrics count a task as long.
const LONG_RUN_MS: u32 = 2_000;
/// Link index of a task that was placed without a dispatcher's lease.
const NO_LINK_INDEX: usize = usize::MAX;

impl Home {
    /// Sends the next waiting task of a job to the target of `lease`.
    ///
    /// Releases the lease if no task waits.
    pub(crate) fn start_next_task(&self, job: &Arc<Job>, lease: Lease) {
        let Some(home) = self.weak_self.upgrade() else { return };
        let lease_number = self.next_lease_number();
        let mut state = job.state.lock();
        let Some(attempt) = state.progress.start_next_attempt() else {
            drop(state);
            return self.release_unused(lease);
        };
        let attempt_id =
            AttemptId { submission: job.id, task: attempt.task, attempt: attempt.attempt };
        let sent = InFlightTask {
            lease_number,
            task: attempt.task,
            lease,
            attempt: attempt_id.to_string(),
        };
        state.in_flight.push(sent.clone());
        drop(state);
        if attempt.attempt == 0 {
            self.retries.lock().record_first_attempt();
        }
        task::spawn(home.run_task(Arc::clone(job), sent, attempt));
    }

    /// Stops a job: sends no more of its tasks and cancels those in flight.
    ///
    /// The outcome is `refusal` if no task was started; otherwise the job has failed.
    pub(crate) fn stop_job(&self, job: &Arc<Job>, refusal: Refusal) {
        let outcome = job.state.lock().progress.end_early(refusal);
        if let Some(outcome) = outcome {
            self.finish_job(job, &outcome);
        }
    }

    /// Spawns an async task that refuses the job if none of the job's tasks is sent within
    /// `start_within_ms`.
    ///
    /// Refuses it after [`NO_DISPATCHER_TIMEOUT_MS`] already if no dispatcher is connected then.
    pub(crate) fn spawn_deadline_watch(self: &Arc<Self>, job: &Arc<Job>) {
        let (home, job) = (Arc::clone(self), Arc::clone(job));
        task::spawn(async move {
            let dispatcher_wait_ms = job.start_within_ms.min(NO_DISPATCHER_TIMEOUT_MS);
            if completes_within(&job, dispatcher_wait_ms).await {
                return;
            }
            if !home.links.any_connected() && home.placement == PlacementPolicy::Leases {
                home.refuse_unstarted(&job, RefusalReason::NoTargets);
            }
            if completes_within(&job, job.start_within_ms - dispatcher_wait_ms).await {
                return;
            }
            home.refuse_unstarted(&job, RefusalReason::DeadlineUnreachable);
        });
    }

    /// Sends the waiting tasks of a job to random targets, without leases.
    ///
    /// This is the baseline that placement by leases is compared with.
    pub(crate) fn place_without_leases(&self, job: &Arc<Job>) {
        let view = self.members.view();
        let targets: Vec<SocketAddr> = view.active(Role::Target).map(|vm| vm.addr).collect();
        if targets.is_empty() {
            let refusal = Refusal { reason: RefusalReason::NoTargets, retry_after_ms: Some(500) };
            return self.stop_job(job, refusal);
        }
        let waiting = job.state.lock().progress.waiting_tasks();
        for _ in 0..waiting {
            let target = self.choose_target(&targets);
            self.start_next_task(job, Lease { link_index: NO_LINK_INDEX, epoch: 0, id: 0, target });
        }
    }

    /// Chooses a target for a task that is sent without a lease.
    fn choose_target(&self, targets: &[SocketAddr]) -> SocketAddr {
        let mut rng = rand::rng();
        let first = targets.choose(&mut rng).copied();
        let second = targets.choose(&mut rng).copied();
        match (first, second) {
            (Some(first), Some(second)) if self.placement == PlacementPolicy::TwoChoices => {
                self.load_reports.less_loaded(first, second)
            }
            (Some(first), _) => first,
            (None, _) => targets[0],
        }
    }

    fn refuse_unstarted(&self, job: &Arc<Job>, reason: RefusalReason) {
        let refusal = Refusal { reason, retry_after_ms: Some(1_000) };
        let outcome = job.state.lock().progress.refuse_if_unstarted(refusal);
        outcome.into_iter().for_each(|outcome| self.finish_job(job, &outcome));
    }

    async fn run_task(self: Arc<Self>, job: Arc<Job>, sent: InFlightTask, attempt: TaskAttempt) {
        let spec = &job.spec.tasks[usize::from(attempt.task.0)];
        let request = StartRequest {
            attempt: &sent.attempt,
            idempotent: job.spec.idempotent,
            lease_ms: job.task_timeout_ms,
            payload: &spec.payload,
        };
        self.metrics.messages.with_label_values(&["start"]).inc();
        let waited_ms = job.submitted_at.elapsed().as_secs_f64() * 1e3;
        let timeout_ms = u64::from(job.task_timeout_ms) + REPLY_MARGIN_MS;
        let result = self.targets.start(sent.lease.target, &request, timeout_ms).await;
        self.observe_wait(&job, waited_ms, &result);
        job.state.lock().in_flight.retain(|other| other.lease_number != sent.lease_number);
        match result {
            Ok(reply) => self.handle_reply(&job, &sent, reply),
            Err(StartError::Unreachable) => {
                self.handle_not_started(&job, &sent, v1::LeaseEnd::Unreachable);
            }
            Err(StartError::NoReply) => {
                log_event!(warn, AnswerLost, attempt = sent.attempt, target = %sent.lease.target);
                self.handle_fault(&job, &sent, v1::LeaseEnd::Lost, TaskFault::AnswerLost);
            }
        }
    }

    fn handle_reply(&self, job: &Arc<Job>, sent: &InFlightTask, reply: StartReply) {
        let leaving = reply.leaving;
        match reply.outcome {
            AttemptOutcome::Done { answer, run_ms } => {
                let report =
                    LeaseReport { run_ms, leaving, ..LeaseReport::new(v1::LeaseEnd::Done) };
                self.release_lease(sent.lease, sent.lease_number, report);
                let mut state = job.state.lock();
                state.longest_run_ms = state.longest_run_ms.max(run_ms);
                let outcome = state.progress.record_answer(sent.task, answer);
                drop(state);
                outcome.into_iter().for_each(|outcome| self.finish_job(job, &outcome));
            }
            AttemptOutcome::Failed { message } => {
                let fault = TaskFault::Failed { message };
                self.handle_fault(job, sent, v1::LeaseEnd::Failed, fault);
            }
            AttemptOutcome::Stopped => {
                self.handle_fault(job, sent, v1::LeaseEnd::Unused, TaskFault::Cancelled);
            }
            AttemptOutcome::NotStarted { denial: Denial::Full } => {
                self.handle_not_started(job, sent, v1::LeaseEnd::DeniedFull);
            }
            AttemptOutcome::NotStarted { denial: Denial::Leaving } => {
                self.handle_not_started(job, sent, v1::LeaseEnd::DeniedLeaving);
            }
        }
    }

    /// Handles a start that the target denied, or a target that could not be reached: the task
    /// did not start, so it may be placed again.
    ///
    /// The retry budget bounds such placements, so that they can't add load without limit.
    fn handle_not_started(&self, job: &Arc<Job>, sent: &InFlightTask, end: v1::LeaseEnd) {
        self.release_lease(sent.lease, sent.lease_number, LeaseReport::new(end));
        self.metrics.wasted_messages.with_label_values(&["denied_start"]).inc();
        let outcome = job.state.lock().progress.record_not_started(sent.task);
        match outcome {
            Some(outcome) => self.finish_job(job, &outcome),
            None if self.retries.lock().try_spend_retry() => self.place_tasks(job),
            None => {
                let reason = RefusalReason::NoTargets;
                self.stop_job(job, Refusal { reason, retry_after_ms: Some(1_000) });
            }
        }
    }

    fn handle_fault(
        &self,
        job: &Arc<Job>,
        sent: &InFlightTask,
        end: v1::LeaseEnd,
        fault: TaskFault,
    ) {
        self.release_lease(sent.lease, sent.lease_number, LeaseReport::new(end));
        let outcome = job.state.lock().progress.record_fault(sent.task, fault);
        outcome.into_iter().for_each(|outcome| self.finish_job(job, &outcome));
    }

    fn finish_job(&self, job: &Arc<Job>, outcome: &Outcome) {
        self.observe_outcome(job, outcome);
        self.record_answer(job, EncodedOutcome::new(outcome));
        let mut state = job.state.lock();
        let demands = std::mem::take(&mut state.demands);
        let unused_leases = std::mem::take(&mut state.buffered_leases);
        let in_flight = state.in_flight.clone();
        drop(state);
        for link in demands.dispatchers_with_outstanding_tasks() {
            if let Some(link) = self.links.find(link) {
                link.withdraw(job.number);
            }
        }
        unused_leases.into_iter().for_each(|lease| self.release_unused(lease));
        self.cancel_in_flight(in_flight);
    }

    /// Cancels tasks in flight of a finished job, with one request for each target.
    fn cancel_in_flight(&self, mut in_flight: Vec<InFlightTask>) {
        in_flight.sort_by_key(|sent| sent.lease.target);
        for group in in_flight.chunk_by(|a, b| a.lease.target == b.lease.target) {
            let attempts = group.iter().map(|sent| sent.attempt.clone()).collect();
            let (targets, target) = (Arc::clone(&self.targets), group[0].lease.target);
            self.metrics.messages.with_label_values(&["cancel"]).inc();
            task::spawn(async move { targets.cancel(target, CancelRequest { attempts }).await });
        }
    }

    fn observe_wait(&self, job: &Job, waited_ms: f64, result: &Result<StartReply, StartError>) {
        let Ok(StartReply { outcome: AttemptOutcome::Done { run_ms, .. }, .. }) = result else {
            return;
        };
        let priority = job.priority.to_string();
        let size = if *run_ms < LONG_RUN_MS { "short" } else { "long" };
        self.metrics.completed_tasks.inc();
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
            let overhead_ms = job.submitted_at.elapsed().as_secs_f64() * 1e3 - longest_ms;
            self.metrics.overhead_ms.with_label_values(&[&priority]).observe(overhead_ms);
        }
    }
}

/// Waits up to `timeout_ms` for a job to finish; returns whether it did.
async fn completes_within(job: &Job, timeout_ms: u32) -> bool {
    timeout(Duration::from_millis(timeout_ms.into()), job.completion().recv()).await.is_ok()
}
