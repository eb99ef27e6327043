//! A job on its way through the dispatcher.

use std::sync::Arc;

use crate::{
    EarlierRuns, JobId, Run, StepSpec, Submission, TaskId,
    dispatcher::{Ticket, WaitingJob},
};

/// Whether a job still wants its tasks to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum JobPhase {
    /// Its tasks run or wait.
    Open,
    /// Nobody waits for it; its runs are being stopped. A new request opens it again.
    Abandoned,
    /// It has its answer; runs that are left are being stopped.
    Finished,
}

/// Where a task stands.
#[derive(Clone, Debug)]
pub(super) enum TaskState {
    /// It waits for room, or for earlier steps.
    Waiting,
    /// A run of it takes room on a target.
    Assigned {
        /// The target.
        target: Arc<str>,
        /// The run.
        run: Run,
    },
    /// The dispatcher of another zone has it.
    Lent {
        /// The number of the part.
        part: u64,
    },
    /// It is done.
    Done,
}

#[derive(Clone, Debug)]
pub(super) struct TaskEntry {
    pub(super) id: TaskId,
    pub(super) state: TaskState,
    /// The number of its latest run, 0 before the first.
    pub(super) last_run: u32,
    failures: u32,
    /// The target on which it failed last; another one is preferred.
    pub(super) avoid: Option<Arc<str>>,
}

/// A job with its tasks and its callers.
#[derive(Debug)]
pub(super) struct JobState {
    submission: Submission,
    tickets: Vec<Ticket>,
    pub(super) tasks: Vec<TaskEntry>,
    /// The expected run time of a task of each step.
    pub(super) expected_ms: Vec<u64>,
    phase: JobPhase,
    /// When its caller sent it.
    sent_at_ms: u64,
    /// When this dispatcher first heard of it.
    arrived_at_ms: u64,
    /// When the last of its callers stops waiting.
    caller_deadline_ms: u64,
    objective_ms: u64,
    has_started: bool,
    abandoned_at_ms: Option<u64>,
    /// The first target on which one of its tasks failed.
    pub(super) first_failed_on: Option<Arc<str>>,
    waiting_tasks: usize,
    is_late: bool,
}

impl JobState {
    pub(super) fn new(
        submission: Submission,
        ticket: Ticket,
        expected_ms: Vec<u64>,
        objective_ms: u64,
        now_ms: u64,
    ) -> Self {
        let job = submission.job.id;
        let steps = submission.job.steps.iter().enumerate();
        let tasks: Vec<TaskEntry> = steps
            .flat_map(|(step, spec)| (0..spec.count).map(move |index| (step as u16, index)))
            .map(|(step, index)| TaskEntry {
                id: TaskId { job, occurrence: 0, step, index },
                state: TaskState::Waiting,
                last_run: 0,
                failures: 0,
                avoid: None,
            })
            .collect();
        let mut job = JobState {
            sent_at_ms: submission.sent_at_ms(now_ms),
            arrived_at_ms: now_ms,
            caller_deadline_ms: submission.caller_deadline_ms(now_ms),
            has_started: submission.earlier_runs != EarlierRuns::None,
            waiting_tasks: tasks.len(),
            is_late: false,
            submission,
            tickets: vec![ticket],
            tasks,
            expected_ms,
            phase: JobPhase::Open,
            objective_ms,
            abandoned_at_ms: None,
            first_failed_on: None,
        };
        for (step, index) in job.submission.done.clone() {
            job.set_done(TaskId { job: job.id(), occurrence: 0, step, index });
        }
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

    pub(super) fn tickets(&self) -> &[Ticket] {
        &self.tickets
    }

    pub(super) fn take_tickets(&mut self) -> Vec<Ticket> {
        std::mem::take(&mut self.tickets)
    }

    /// Adds a caller that waits until `until_ms`; an abandoned job goes on.
    pub(super) fn attach(&mut self, ticket: Ticket, until_ms: u64) {
        self.caller_deadline_ms = self.caller_deadline_ms.max(until_ms);
        self.tickets.push(ticket);
        self.abandoned_at_ms = None;
        self.phase = JobPhase::Open;
    }

    pub(super) fn withdraw(&mut self, ticket: Ticket, now_ms: u64) {
        let before = self.tickets.len();
        self.tickets.retain(|held| *held != ticket);
        if self.tickets.is_empty() && before > 0 {
            self.abandoned_at_ms = Some(now_ms);
        }
    }

    pub(super) fn is_abandoned(&self, now_ms: u64, grace_ms: u64) -> bool {
        self.phase == JobPhase::Open
            && self.abandoned_at_ms.is_some_and(|since_ms| now_ms >= since_ms + grace_ms)
    }

    /// Returns whether a run of any of its tasks may have begun.
    pub(super) const fn has_started(&self) -> bool {
        self.has_started
    }

    pub(super) const fn objective_ms(&self) -> u64 {
        self.objective_ms
    }

    pub(super) const fn arrived_at_ms(&self) -> u64 {
        self.arrived_at_ms
    }

    pub(super) const fn sent_at_ms(&self) -> u64 {
        self.sent_at_ms
    }

    pub(super) const fn queue_until_ms(&self, share_percent: u64) -> u64 {
        self.sent_at_ms + self.objective_ms * share_percent / 100
    }

    /// Returns when the tasks whose turn has come have to start for the job to be in time.
    pub(super) fn latest_start_ms(&self) -> u64 {
        let left_ms = self.chain_ms(|state| !matches!(state, TaskState::Done));
        self.sent_at_ms + self.objective_ms.saturating_sub(left_ms)
    }

    /// Returns the expected time of the longest chain of steps with waiting tasks.
    pub(super) fn waiting_chain_ms(&self) -> u64 {
        self.chain_ms(|state| matches!(state, TaskState::Waiting))
    }

    /// Returns the expected time of the longest chain of steps with a task in such a state.
    fn chain_ms(&self, counts: impl Fn(&TaskState) -> bool) -> u64 {
        let is_counted = |step: usize| {
            let mut of_step = self.tasks.iter().filter(|task| usize::from(task.id.step) == step);
            of_step.any(|task| counts(&task.state))
        };
        let steps = self.expected_ms.iter().enumerate();
        let step_ms: Vec<u64> =
            steps.map(|(step, own_ms)| if is_counted(step) { *own_ms } else { 0 }).collect();
        self.submission.job.longest_chain_ms(&step_ms)
    }

    /// Returns when the last of its callers stops waiting.
    pub(super) const fn caller_deadline_ms(&self) -> u64 {
        self.caller_deadline_ms
    }

    pub(super) const fn set_late(&mut self) {
        self.is_late = true;
    }

    pub(super) fn waiting(&self) -> WaitingJob {
        WaitingJob {
            is_late: self.is_late,
            priority: self.submission.queue.priority,
            since_ms: self.sent_at_ms,
            job: self.id(),
        }
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

    /// Returns the work that waits, in thousandths of a core times ms.
    pub(super) fn waiting_work(&self) -> u64 {
        let work = |task: &TaskEntry| {
            let expected_ms = self.expected_ms[usize::from(task.id.step)];
            self.step(task.id).demand.cpu_milli * expected_ms
        };
        self.waiting_entries().map(work).sum()
    }

    /// Returns whether all steps that `task` comes after are done.
    pub(super) fn is_unblocked(&self, task: TaskId) -> bool {
        let after = &self.step(task).after;
        let is_open = |other: &TaskEntry| {
            after.contains(&other.id.step) && !matches!(other.state, TaskState::Done)
        };
        after.is_empty() || !self.tasks.iter().any(is_open)
    }

    pub(super) fn task_mut(&mut self, id: TaskId) -> Option<&mut TaskEntry> {
        self.tasks.iter_mut().find(|task| task.id == id)
    }

    pub(super) fn assign(&mut self, at: usize, target: Arc<str>, run: Run) {
        let task = &mut self.tasks[at];
        if matches!(task.state, TaskState::Waiting) {
            self.waiting_tasks -= 1;
        }
        task.last_run = task.last_run.max(run.number);
        task.state = TaskState::Assigned { target, run };
        self.has_started = true;
    }

    /// Marks the task done. Returns what it was before, unless it was done already.
    pub(super) fn set_done(&mut self, id: TaskId) -> Option<TaskState> {
        let at = self.tasks.iter().position(|task| task.id == id)?;
        let before = std::mem::replace(&mut self.tasks[at].state, TaskState::Done);
        match before {
            TaskState::Done => return None,
            TaskState::Waiting => self.waiting_tasks -= 1,
            TaskState::Assigned { .. } | TaskState::Lent { .. } => {}
        }
        Some(before)
    }

    /// Returns the step and index of each task that is done.
    pub(super) fn done_tasks(&self) -> Vec<(u16, u16)> {
        let done = self.tasks.iter().filter(|task| matches!(task.state, TaskState::Done));
        done.map(|task| (task.id.step, task.id.index)).collect()
    }

    /// Lets a task wait again after `run` on `on` is over. Returns whether the run was the
    /// current one of its task.
    ///
    /// Dispatchers that do not know of each other's runs may give them the same number, so
    /// that the target counts too.
    pub(super) fn free(&mut self, run: Run, on: &str, has_failed: bool) -> bool {
        let Some(task) = self.tasks.iter_mut().find(|task| task.id == run.task) else {
            return false;
        };
        match &task.state {
            TaskState::Assigned { target, run: current }
                if *current == run && target.as_ref() == on =>
            {
                self.waiting_tasks += 1;
                task.state = TaskState::Waiting;
            }
            _ => return false,
        }
        if has_failed {
            task.failures += 1;
            task.avoid = Some(on.into());
        }
        true
    }

    /// Counts a failed run that an earlier dispatcher ordered.
    pub(super) fn count_failure(&mut self, run: Run) {
        if let Some(task) = self.task_mut(run.task) {
            task.failures += 1;
            task.last_run = task.last_run.max(run.number);
        }
    }

    /// Returns whether a task has failed as often as its queue allows.
    pub(super) fn is_exhausted(&self, id: TaskId) -> bool {
        let max_attempts = self.submission.queue.max_attempts.max(1);
        self.tasks.iter().any(|task| task.id == id && task.failures >= max_attempts)
    }

    pub(super) fn is_completed(&self) -> bool {
        self.tasks.iter().all(|task| matches!(task.state, TaskState::Done))
    }

    pub(super) fn assigned(&self) -> impl Iterator<Item = (Arc<str>, Run)> {
        self.tasks.iter().filter_map(|task| match &task.state {
            TaskState::Assigned { target, run } => Some((Arc::clone(target), *run)),
            TaskState::Waiting | TaskState::Lent { .. } | TaskState::Done => None,
        })
    }

    /// Returns whether the job is closed and none of its tasks can run any more.
    pub(super) fn is_over(&self) -> bool {
        self.phase != JobPhase::Open && self.assigned().next().is_none() && !self.has_lent()
    }

    /// Returns whether the dispatcher of another zone has tasks of the job.
    pub(super) fn has_lent(&self) -> bool {
        self.tasks.iter().any(|task| matches!(task.state, TaskState::Lent { .. }))
    }

    /// Returns where tasks of the job may run that are not known to be done.
    pub(super) fn earlier_runs(&self) -> EarlierRuns {
        match self.has_lent() {
            true => self.submission.earlier_runs.max(EarlierRuns::AnyZone),
            false if self.has_started => self.submission.earlier_runs.max(EarlierRuns::OwnZone),
            false => EarlierRuns::None,
        }
    }

    /// Returns the numbers of the waiting tasks whose turn has come.
    pub(super) fn startable(&self) -> Vec<usize> {
        let tasks = self.tasks.iter().enumerate();
        let startable = tasks.filter(|(_, task)| {
            matches!(task.state, TaskState::Waiting) && self.is_unblocked(task.id)
        });
        startable.map(|(at, _)| at).collect()
    }

    /// Hands tasks to the dispatcher of another zone; returns what to send to it.
    pub(super) fn lend(&mut self, part: u64, tasks: &[usize], now_ms: u64) -> Submission {
        for at in tasks {
            self.tasks[*at].state = TaskState::Lent { part };
        }
        self.waiting_tasks -= tasks.len();
        let others = self.tasks.iter().enumerate().filter(|(at, _)| !tasks.contains(at));
        Submission {
            earlier_runs: EarlierRuns::None,
            part: Some(part),
            held_under: None,
            done: others.map(|(_, task)| (task.id.step, task.id.index)).collect(),
            waited_ms: now_ms.saturating_sub(self.sent_at_ms),
            ..self.submission.clone()
        }
    }

    /// Takes back the tasks of a part: done, or to be run here.
    pub(super) fn settle_part(&mut self, part: u64, is_done: bool) {
        for task in &mut self.tasks {
            match task.state {
                TaskState::Lent { part: lent } if lent == part && is_done => {
                    task.state = TaskState::Done;
                }
                TaskState::Lent { part: lent } if lent == part => {
                    task.state = TaskState::Waiting;
                    self.waiting_tasks += 1;
                }
                _ => {}
            }
        }
    }

    /// Notes that tasks of the job may have run.
    pub(super) const fn set_started(&mut self) {
        self.has_started = true;
    }

    pub(super) fn steps(&self) -> impl Iterator<Item = &StepSpec> {
        self.submission.job.steps.iter()
    }
}
