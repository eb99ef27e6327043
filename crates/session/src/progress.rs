//! Progress of one job.

use ggb_model::{
    Outcome, Payload, Refusal, RefusalReason, TaskAnswer, TaskFailure, TaskFault, TaskIndex,
};

/// One attempt to start a task on a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskAttempt {
    /// Index of the task in its job.
    pub task: TaskIndex,
    /// Number of earlier attempts for this task.
    pub attempt: u16,
}

/// State of one task.
#[derive(Debug)]
enum TaskState {
    Waiting,
    /// A start request may have been sent; the task waits again only if the target denied the
    /// start or could not be reached.
    Sent,
    Answered(Payload),
    Faulted(TaskFault),
}

/// Tracks the tasks of one job and decides its outcome.
///
/// A task that was sent counts as started unless the target denied the start or could not be
/// reached. A job ends as complete or failed; it is refused only if no task counts as started.
#[derive(Debug)]
pub struct JobProgress {
    tasks: Vec<TaskState>,
    /// Number of attempts to start each task, by task index.
    attempts: Vec<u16>,
    /// Tasks that wait for a target; the next one is last.
    waiting: Vec<TaskIndex>,
    unanswered_tasks: usize,
    /// Maximum number of repeated attempts for each task.
    placement_retries: u16,
    /// Whether no task may be sent any more.
    closed: bool,
    outcome_decided: bool,
}

impl JobProgress {
    /// Returns the progress of a job of `count` tasks that all wait for a target.
    pub fn new(count: u16, placement_retries: u16) -> Self {
        JobProgress {
            tasks: (0..count).map(|_| TaskState::Waiting).collect(),
            attempts: vec![0; count.into()],
            waiting: (0..count).rev().map(TaskIndex).collect(),
            unanswered_tasks: count.into(),
            placement_retries,
            closed: false,
            outcome_decided: false,
        }
    }

    /// Takes the next waiting task and counts it as started.
    pub fn start_next_attempt(&mut self) -> Option<TaskAttempt> {
        let task = self.waiting.pop()?;
        let index = usize::from(task.0);
        self.tasks[index] = TaskState::Sent;
        let attempt = self.attempts[index];
        self.attempts[index] += 1;
        Some(TaskAttempt { task, attempt })
    }

    /// Records that the target denied the start of the task or could not be reached.
    ///
    /// The task waits again while it has attempts left. Otherwise the job ends early, and its
    /// outcome is returned unless it was decided before.
    pub fn record_not_started(&mut self, task: TaskIndex) -> Option<Outcome> {
        let index = usize::from(task.0);
        if !self.is_sent(task) {
            return None;
        }
        self.tasks[index] = TaskState::Waiting;
        if !self.closed && self.attempts[index] <= self.placement_retries {
            self.waiting.push(task);
            return None;
        }
        self.end_early(Refusal { reason: RefusalReason::NoTargets, retry_after_ms: None })
    }

    /// Records the answer of a task; returns the outcome of the job if no other answer is missing.
    pub fn record_answer(&mut self, task: TaskIndex, answer: Payload) -> Option<Outcome> {
        let index = usize::from(task.0);
        if !self.is_sent(task) {
            return None;
        }
        self.tasks[index] = TaskState::Answered(answer);
        self.unanswered_tasks -= 1;
        if self.unanswered_tasks > 0 || self.outcome_decided {
            return None;
        }
        self.outcome_decided = true;
        Some(Outcome::Complete { answers: self.take_answers() })
    }

    /// Records the fault of a started task, which fails the job.
    pub fn record_fault(&mut self, task: TaskIndex, fault: TaskFault) -> Option<Outcome> {
        let index = usize::from(task.0);
        if !self.is_sent(task) {
            return None;
        }
        self.tasks[index] = TaskState::Faulted(fault);
        self.fail()
    }

    /// Ends the job early: it is refused if no task counts as started, and failed otherwise.
    pub fn end_early(&mut self, refusal: Refusal) -> Option<Outcome> {
        if self.any_started() {
            return self.fail();
        }
        self.close()?;
        Some(Outcome::NotRun(refusal))
    }

    /// Refuses the job if no task counts as started; otherwise the job continues.
    pub fn refuse_if_unstarted(&mut self, refusal: Refusal) -> Option<Outcome> {
        match self.any_started() {
            true => None,
            false => self.end_early(refusal),
        }
    }

    /// Returns the number of tasks that wait for a target.
    pub const fn waiting_tasks(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether the outcome is decided.
    pub const fn has_outcome(&self) -> bool {
        self.outcome_decided
    }

    /// Returns whether any task counts as started.
    pub fn any_started(&self) -> bool {
        self.tasks.iter().any(|task| !matches!(task, TaskState::Waiting))
    }

    fn is_sent(&self, task: TaskIndex) -> bool {
        matches!(self.tasks.get(usize::from(task.0)), Some(TaskState::Sent))
    }

    /// Fails the job, with the fault of each task that has no answer.
    fn fail(&mut self) -> Option<Outcome> {
        self.close()?;
        let failures = self.tasks.iter().enumerate().filter_map(|(index, task)| {
            let fault = match task {
                TaskState::Waiting => TaskFault::NotStarted,
                TaskState::Sent => TaskFault::Cancelled,
                TaskState::Answered(_) => return None,
                TaskState::Faulted(fault) => fault.clone(),
            };
            Some(TaskFailure { task: TaskIndex(index as u16), fault })
        });
        Some(Outcome::Failed { failures: failures.collect() })
    }

    /// Prevents further starts; returns `None` if the outcome was already decided.
    fn close(&mut self) -> Option<()> {
        self.closed = true;
        self.waiting.clear();
        if self.outcome_decided {
            return None;
        }
        self.outcome_decided = true;
        Some(())
    }

    fn take_answers(&mut self) -> Vec<TaskAnswer> {
        let tasks = self.tasks.drain(..).enumerate();
        let answers = tasks.filter_map(|(index, task)| match task {
            TaskState::Answered(answer) => {
                Some(TaskAnswer { task: TaskIndex(index as u16), answer })
            }
            _ => None,
        });
        answers.collect()
    }
}
