//! State of a job and its tasks in a dispatcher.

use std::sync::Arc;

use crate::{
    EarlierRuns, JobId, LEASE_EXPIRY_MS, Run, StepSpec, Submission, TaskId,
    dispatcher::{
        RequestId,
        queue_entry::{Lateness, QueueEntry, QueuePosition},
    },
};

/// Maximum share of a late job's work that may be left for it to keep its place in the queue, in
/// percent. Moved back, such a job waited until its caller gave up, and all its work was lost.
const KEEPS_PLACE_PERCENT: u64 = 20;

/// Phase of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum JobPhase {
    /// Tasks of the job run or wait.
    Open,
    /// No caller waits for the job, and its runs are being stopped. A new submission reopens it.
    Abandoned,
    /// The job has its answer, and its remaining runs are being stopped.
    Finished,
}

/// State of a task.
#[derive(Clone, Debug)]
pub(super) enum TaskState {
    /// The task waits for free capacity or for earlier steps.
    Waiting,
    /// A run of the task occupies capacity on a target.
    Assigned {
        /// Id of the target.
        target: Arc<str>,
        /// Task and number of the run.
        run: Run,
    },
    /// The task was submitted to the dispatcher of another zone.
    Offloaded {
        /// Number of the part that contains the task.
        part: u64,
    },
    /// The task completed, or is excluded from this submission.
    Done,
}

#[derive(Clone, Debug)]
pub(super) struct TaskEntry {
    pub(super) id: TaskId,
    pub(super) state: TaskState,
    /// Number of the latest run; 0 before the first one.
    pub(super) last_run_number: u32,
    failures: u32,
    /// Target on which the task failed last; other targets are preferred.
    pub(super) avoided_target: Option<Arc<str>>,
}

/// A job with its tasks and waiting callers.
#[derive(Debug)]
pub(super) struct JobState {
    submission: Submission,
    /// Callers that wait for the answer.
    requests: Vec<RequestId>,
    pub(super) tasks: Vec<TaskEntry>,
    /// Expected run time of a task, indexed by step, in ms.
    pub(super) expected_ms: Vec<u64>,
    phase: JobPhase,
    /// Time at which an entry process received the job from its caller.
    received_at_ms: u64,
    /// Time at which this dispatcher received the job.
    arrived_at_ms: u64,
    /// Time at which the last of the callers stops waiting.
    caller_deadline_ms: u64,
    /// Time at which an entry process last found a caller connected.
    caller_checked_at_ms: u64,
    /// Response time objective, counted from `received_at_ms`.
    objective_ms: u64,
    /// Whether tasks may have run under an earlier dispatcher or in another zone.
    has_run_elsewhere: bool,
    /// Number of runs in this zone that may have begun.
    possible_runs: u32,
    /// Time at which the last caller left, unless another one has come since.
    abandoned_at_ms: Option<u64>,
    /// First target on which a task of the job failed.
    pub(super) first_failed_target: Option<Arc<str>>,
    waiting_tasks: usize,
    /// Smallest CPU demand of a task.
    min_cpu_milli: u64,
    /// Expected work of the waiting tasks. The plan of the queue reads it at each arrival.
    waiting_work: u64,
    lateness: Lateness,
}

impl JobState {
    pub(super) fn new(
        submission: Submission,
        request: RequestId,
        expected_ms: Vec<u64>,
        objective_ms: u64,
        now_ms: u64,
    ) -> Self {
        let job = submission.job.id;
        let demands_cpu_milli = submission.job.steps.iter().map(|step| step.demand.cpu_milli);
        let min_cpu_milli = demands_cpu_milli.min().unwrap_or(0);
        let steps = submission.job.steps.iter().enumerate();
        let tasks: Vec<TaskEntry> = steps
            .flat_map(|(step, spec)| (0..spec.count).map(move |index| (step as u16, index)))
            .map(|(step, index)| TaskEntry {
                id: TaskId { job, occurrence: 0, step, index },
                state: TaskState::Waiting,
                last_run_number: 0,
                failures: 0,
                avoided_target: None,
            })
            .collect();
        let mut job = JobState {
            received_at_ms: submission.received_at_ms(now_ms),
            arrived_at_ms: now_ms,
            caller_deadline_ms: submission.caller_deadline_ms(now_ms),
            caller_checked_at_ms: submission.caller_checked_at_ms(now_ms),
            has_run_elsewhere: submission.earlier_runs != EarlierRuns::None,
            possible_runs: 0,
            waiting_tasks: tasks.len(),
            min_cpu_milli,
            waiting_work: 0,
            lateness: Lateness::InTime,
            submission,
            requests: vec![request],
            tasks,
            expected_ms,
            phase: JobPhase::Open,
            objective_ms,
            abandoned_at_ms: None,
            first_failed_target: None,
        };
        for (step, index) in job.submission.excluded_tasks.clone() {
            job.set_done(TaskId { job: job.id(), occurrence: 0, step, index });
        }
        job.update_waiting_work();
        job
    }

    pub(super) const fn id(&self) -> JobId {
        self.submission.job.id
    }

    pub(super) const fn submission(&self) -> &Submission {
        &self.submission
    }

    pub(super) fn step(&self, task: TaskId) -> &StepSpec {
        &self.submission.job.steps[usize::from(task.step)]
    }

    pub(super) const fn phase(&self) -> JobPhase {
        self.phase
    }

    pub(super) fn set_phase(&mut self, phase: JobPhase) {
        self.phase = phase;
    }

    pub(super) fn requests(&self) -> &[RequestId] {
        &self.requests
    }

    pub(super) fn take_requests(&mut self) -> Vec<RequestId> {
        std::mem::take(&mut self.requests)
    }

    /// Adds a caller that waits until `caller_deadline_ms`, and reopens the job if it was
    /// abandoned.
    pub(super) fn add_request(&mut self, request: RequestId, caller_deadline_ms: u64) {
        self.caller_deadline_ms = self.caller_deadline_ms.max(caller_deadline_ms);
        self.requests.push(request);
        self.abandoned_at_ms = None;
        self.phase = JobPhase::Open;
    }

    /// Records that an earlier dispatcher has released the job, with the runs that it reports.
    pub(super) fn add_earlier_runs(&mut self, released: &Submission, now_ms: u64) {
        self.submission.run_targets = released
            .run_targets
            .as_ref()
            .and_then(|targets| self.submission.run_targets_with(targets.iter().cloned()));
        self.submission.earlier_runs = self.submission.earlier_runs.max(released.earlier_runs);
        self.submission.released_under =
            self.submission.released_under.max(released.released_under);
        self.arrived_at_ms = now_ms;
        self.has_run_elsewhere = true;
    }

    /// Records that an entry process found a caller connected at `checked_at_ms`.
    pub(super) fn record_caller_check(&mut self, checked_at_ms: u64) {
        self.caller_checked_at_ms = self.caller_checked_at_ms.max(checked_at_ms);
    }

    pub(super) const fn caller_checked_at_ms(&self) -> u64 {
        self.caller_checked_at_ms
    }

    pub(super) fn remove_request(&mut self, request: RequestId, now_ms: u64) {
        let previous_count = self.requests.len();
        self.requests.retain(|other| *other != request);
        if self.requests.is_empty() && previous_count > 0 {
            self.abandoned_at_ms = Some(now_ms);
        }
    }

    pub(super) fn is_abandoned(&self, now_ms: u64, grace_ms: u64) -> bool {
        self.phase == JobPhase::Open
            && self.abandoned_at_ms.is_some_and(|since_ms| now_ms >= since_ms + grace_ms)
    }

    /// Returns whether any task of the job may have started.
    pub(super) const fn has_started(&self) -> bool {
        self.has_run_elsewhere || self.possible_runs > 0
    }

    pub(super) const fn objective_ms(&self) -> u64 {
        self.objective_ms
    }

    pub(super) const fn arrived_at_ms(&self) -> u64 {
        self.arrived_at_ms
    }

    pub(super) const fn received_at_ms(&self) -> u64 {
        self.received_at_ms
    }

    /// Returns the time until which the job may wait for its first task to start, where
    /// `share_percent` is the share of its objective for this wait.
    pub(super) const fn queue_deadline_ms(&self, share_percent: u64) -> u64 {
        self.received_at_ms + self.objective_ms * share_percent / 100
    }

    /// Returns the latest start time of the next tasks with which the job still meets its
    /// objective.
    pub(super) fn latest_start_ms(&self) -> u64 {
        let remaining_ms = self.critical_path_ms(|state| !matches!(state, TaskState::Done));
        self.received_at_ms + self.objective_ms.saturating_sub(remaining_ms)
    }

    /// Returns whether the job can no longer meet its objective.
    pub(super) fn misses_objective(&self, now_ms: u64) -> bool {
        // The sum over all steps is an upper bound of the critical path that needs no search.
        let earliest_ms = self.objective_ms.saturating_sub(self.all_steps_ms());
        now_ms > self.received_at_ms + earliest_ms && now_ms > self.latest_start_ms()
    }

    /// Returns the time by which a task of `step` must end for the job to meet its objective, given
    /// the steps that depend on it.
    pub(super) fn latest_end_ms(&self, step: u16) -> u64 {
        let steps = &self.submission.job.steps;
        let mut remaining_ms = vec![0; steps.len()];
        for later in (usize::from(step) + 1..steps.len()).rev() {
            let own_ms = self.expected_ms[later] + remaining_ms[later];
            for earlier in &steps[later].after {
                let earlier = &mut remaining_ms[usize::from(*earlier)];
                *earlier = own_ms.max(*earlier);
            }
        }
        let end_ms = self.received_at_ms + self.objective_ms;
        end_ms.saturating_sub(remaining_ms[usize::from(step)])
    }

    /// Returns the expected critical path through the steps with waiting tasks, in ms.
    pub(super) fn waiting_critical_path_ms(&self) -> u64 {
        self.critical_path_ms(|state| matches!(state, TaskState::Waiting))
    }

    /// Returns the expected critical path through the steps with a task whose state `includes`
    /// selects, in ms.
    fn critical_path_ms(&self, includes: impl Fn(&TaskState) -> bool) -> u64 {
        let is_included = |step: usize| {
            let mut of_step = self.tasks.iter().filter(|task| usize::from(task.id.step) == step);
            of_step.any(|task| includes(&task.state))
        };
        let steps = self.expected_ms.iter().enumerate();
        let step_ms: Vec<u64> =
            steps.map(|(step, run_ms)| if is_included(step) { *run_ms } else { 0 }).collect();
        self.submission.job.critical_path_ms(&step_ms)
    }

    /// Returns the time at which the last of the callers stops waiting.
    pub(super) const fn caller_deadline_ms(&self) -> u64 {
        self.caller_deadline_ms
    }

    pub(super) const fn lateness(&self) -> Lateness {
        self.lateness
    }

    /// Sets the lateness, which is part of the queue position.
    pub(super) const fn set_lateness(&mut self, lateness: Lateness) {
        self.lateness = lateness;
    }

    /// Returns the lateness at `now_ms`.
    pub(super) fn lateness_at(&self, now_ms: u64) -> Lateness {
        match self.misses_objective(now_ms) {
            false => Lateness::InTime,
            true if self.waiting_work() <= self.total_work() / 100 * KEEPS_PLACE_PERCENT => {
                Lateness::InTime
            }
            true if self.has_started() => Lateness::LateStarted,
            true => Lateness::LateUnstarted,
        }
    }

    /// Returns whether the job may be refused in favour of others: no task of it has started, here or
    /// in another zone, and it is no part.
    pub(super) fn may_be_shed(&self) -> bool {
        self.phase == JobPhase::Open
            && !self.has_started()
            && self.submission.part.is_none()
            && !self.has_offloaded()
    }

    /// Returns the expected run time of one task of each step, in ms.
    pub(super) fn all_steps_ms(&self) -> u64 {
        self.expected_ms.iter().sum()
    }

    /// Returns the expected run time of the longest task, in ms.
    pub(super) fn longest_ms(&self) -> u64 {
        self.expected_ms.iter().max().copied().unwrap_or(0)
    }

    pub(super) fn queue_entry(&self) -> QueueEntry {
        let position = QueuePosition {
            lateness: self.lateness,
            priority: self.submission.queue.priority,
            received_at_ms: self.received_at_ms,
            job: self.id(),
        };
        QueueEntry { position, min_cpu_milli: self.min_cpu_milli }
    }

    /// Returns whether the job is in the queue: it is open, and tasks of it wait.
    pub(super) const fn is_queued(&self) -> bool {
        matches!(self.phase, JobPhase::Open) && self.waiting_tasks > 0
    }

    pub(super) const fn waiting_tasks(&self) -> usize {
        self.waiting_tasks
    }

    fn waiting_entries(&self) -> impl Iterator<Item = &TaskEntry> {
        self.tasks.iter().filter(|task| matches!(task.state, TaskState::Waiting))
    }

    pub(super) fn waiting_cpu_milli(&self) -> u64 {
        self.waiting_entries().map(|task| self.step(task.id).demand.cpu_milli).sum()
    }

    /// Returns the expected work of all waiting tasks, in thousandths of a core times ms.
    pub(super) const fn waiting_work(&self) -> u64 {
        self.waiting_work
    }

    fn update_waiting_work(&mut self) {
        let work = self.waiting_entries().map(|task| self.work_of(task));
        self.waiting_work = work.fold(0, u64::saturating_add);
    }

    /// Returns the expected work of all tasks, in thousandths of a core times ms.
    fn total_work(&self) -> u64 {
        self.tasks.iter().map(|task| self.work_of(task)).fold(0, u64::saturating_add)
    }

    fn work_of(&self, task: &TaskEntry) -> u64 {
        let expected_ms = self.expected_ms[usize::from(task.id.step)];
        self.step(task.id).demand.cpu_milli.saturating_mul(expected_ms)
    }

    /// Returns whether all steps that `task` depends on are done.
    pub(super) fn are_dependencies_done(&self, task: TaskId) -> bool {
        let after = &self.step(task).after;
        let is_open = |other: &TaskEntry| {
            after.contains(&other.id.step) && !matches!(other.state, TaskState::Done)
        };
        after.is_empty() || !self.tasks.iter().any(is_open)
    }

    pub(super) fn task_mut(&mut self, id: TaskId) -> Option<&mut TaskEntry> {
        self.tasks.iter_mut().find(|task| task.id == id)
    }

    pub(super) fn assign(&mut self, task_index: usize, target: Arc<str>, run: Run) {
        let task = &mut self.tasks[task_index];
        if matches!(task.state, TaskState::Waiting) {
            self.waiting_tasks -= 1;
        }
        task.last_run_number = task.last_run_number.max(run.number);
        task.state = TaskState::Assigned { target, run };
        self.possible_runs += 1;
        self.update_waiting_work();
    }

    /// Records that `target_id` has certainly not begun `run`, which it was asked to start.
    pub(super) fn record_unbegun_run(&mut self, run: Run, target_id: &str) {
        let is_assigned =
            self.assigned().any(|(target, current)| current == run && target.as_ref() == target_id);
        self.possible_runs -= u32::from(is_assigned);
    }

    /// Marks a task as done. Returns its previous state, unless it was already done.
    pub(super) fn set_done(&mut self, id: TaskId) -> Option<TaskState> {
        let index = self.tasks.iter().position(|task| task.id == id)?;
        let previous = std::mem::replace(&mut self.tasks[index].state, TaskState::Done);
        match previous {
            TaskState::Done => return None,
            TaskState::Waiting => self.waiting_tasks -= 1,
            TaskState::Assigned { .. } | TaskState::Offloaded { .. } => {}
        }
        self.update_waiting_work();
        Some(previous)
    }

    /// Returns the step and index of each task that is done.
    pub(super) fn done_tasks(&self) -> Vec<(u16, u16)> {
        let done = self.tasks.iter().filter(|task| matches!(task.state, TaskState::Done));
        done.map(|task| (task.id.step, task.id.index)).collect()
    }

    /// Returns the task of the ended `run` on `target_id` to the waiting state. Returns whether
    /// this was the current run of the task.
    ///
    /// Dispatchers without knowledge of each other's runs may assign the same number to two runs,
    /// so that the target must match too.
    pub(super) fn unassign(&mut self, run: Run, target_id: &str, failed: bool) -> bool {
        let Some(task) = self.tasks.iter_mut().find(|task| task.id == run.task) else {
            return false;
        };
        match &task.state {
            TaskState::Assigned { target, run: current }
                if *current == run && target.as_ref() == target_id =>
            {
                self.waiting_tasks += 1;
                task.state = TaskState::Waiting;
            }
            _ => return false,
        }
        if failed {
            task.failures += 1;
            task.avoided_target = Some(target_id.into());
        }
        self.update_waiting_work();
        true
    }

    /// Counts a failed run that is not tracked on its target.
    pub(super) fn count_failure(&mut self, run: Run) {
        if let Some(task) = self.task_mut(run.task) {
            task.failures += 1;
            task.last_run_number = task.last_run_number.max(run.number);
        }
    }

    /// Returns whether a task has failed as often as its queue allows.
    pub(super) fn has_used_all_attempts(&self, id: TaskId) -> bool {
        let max_attempts = self.submission.queue.max_attempts.max(1);
        self.tasks.iter().any(|task| task.id == id && task.failures >= max_attempts)
    }

    pub(super) fn is_completed(&self) -> bool {
        self.tasks.iter().all(|task| matches!(task.state, TaskState::Done))
    }

    pub(super) fn assigned(&self) -> impl Iterator<Item = (Arc<str>, Run)> {
        self.tasks.iter().filter_map(|task| match &task.state {
            TaskState::Assigned { target, run } => Some((Arc::clone(target), *run)),
            TaskState::Waiting | TaskState::Offloaded { .. } | TaskState::Done => None,
        })
    }

    /// Returns whether the job is closed and none of its tasks can be running.
    pub(super) fn is_ended(&self) -> bool {
        self.phase != JobPhase::Open && self.assigned().next().is_none() && !self.has_offloaded()
    }

    /// Returns whether tasks of the job are offloaded to another zone.
    pub(super) fn has_offloaded(&self) -> bool {
        self.tasks.iter().any(|task| matches!(task.state, TaskState::Offloaded { .. }))
    }

    /// Returns where tasks that are not known to be done may be running.
    pub(super) fn earlier_runs(&self) -> EarlierRuns {
        match self.has_offloaded() {
            true => self.submission.earlier_runs.max(EarlierRuns::AnyZone),
            false if self.has_started() => self.submission.earlier_runs.max(EarlierRuns::OwnZone),
            false => EarlierRuns::None,
        }
    }

    /// Returns the targets whose listings show the runs that earlier dispatchers started, until these
    /// must have ended.
    pub(super) fn awaited_targets(&self, now_ms: u64) -> &[Arc<str>] {
        match self.submission.run_targets.as_deref() {
            Some(targets)
                if self.submission.earlier_runs == EarlierRuns::OwnZone
                    && now_ms < self.arrived_at_ms + LEASE_EXPIRY_MS =>
            {
                targets
            }
            _ => &[],
        }
    }

    /// Returns the indexes of the waiting tasks whose dependencies are done.
    pub(super) fn startable_tasks(&self) -> Vec<usize> {
        let tasks = self.tasks.iter().enumerate();
        let startable_tasks = tasks.filter(|(_, task)| {
            matches!(task.state, TaskState::Waiting) && self.are_dependencies_done(task.id)
        });
        startable_tasks.map(|(index, _)| index).collect()
    }

    /// Marks tasks as offloaded in a part. Returns the submission for the other zone.
    pub(super) fn offload(&mut self, part: u64, tasks: &[usize], now_ms: u64) -> Submission {
        for index in tasks {
            self.tasks[*index].state = TaskState::Offloaded { part };
        }
        self.waiting_tasks -= tasks.len();
        self.update_waiting_work();
        let others = self.tasks.iter().enumerate().filter(|(index, _)| !tasks.contains(index));
        Submission {
            earlier_runs: EarlierRuns::None,
            run_targets: None,
            released_under: None,
            part: Some(part),
            holder: None,
            excluded_tasks: others.map(|(_, task)| (task.id.step, task.id.index)).collect(),
            waited_ms: now_ms.saturating_sub(self.received_at_ms),
            caller_check_age_ms: now_ms.saturating_sub(self.caller_checked_at_ms),
            ..self.submission.clone()
        }
    }

    /// Applies the end of a part: its tasks become done or return to the waiting state.
    pub(super) fn finish_part(&mut self, part: u64, is_done: bool) {
        for task in &mut self.tasks {
            match task.state {
                TaskState::Offloaded { part: offloaded } if offloaded == part && is_done => {
                    task.state = TaskState::Done;
                }
                TaskState::Offloaded { part: offloaded } if offloaded == part => {
                    task.state = TaskState::Waiting;
                    self.waiting_tasks += 1;
                }
                _ => {}
            }
        }
        self.update_waiting_work();
    }

    /// Marks the tasks of a part that are among `done` as done.
    pub(super) fn finish_part_tasks(&mut self, part: u64, done: &[(u16, u16)]) {
        for task in &mut self.tasks {
            let is_done = done.contains(&(task.id.step, task.id.index));
            match task.state {
                TaskState::Offloaded { part: offloaded } if offloaded == part && is_done => {
                    task.state = TaskState::Done;
                }
                _ => {}
            }
        }
    }

    /// Records that tasks of the job may have run.
    pub(super) const fn set_started(&mut self) {
        self.has_run_elsewhere = true;
    }

    pub(super) fn steps(&self) -> impl Iterator<Item = &StepSpec> {
        self.submission.job.steps.iter()
    }
}
