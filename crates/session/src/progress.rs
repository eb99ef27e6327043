//! The progress of one job.

use ggb_model::{
    Outcome, Payload, Refusal, RefusalReason, TaskAnswer, TaskFailure, TaskFault, TaskIndex,
};

/// A task that is about to be sent to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The task.
    pub task: TaskIndex,
    /// Counts the placements of this task, from 0.
    pub attempt: u16,
}

#[derive(Debug)]
enum Task {
    Waiting,
    /// Bytes of a start may have left; only the target can undo this.
    Sent,
    Answered(Payload),
    Faulty(TaskFault),
}

/// Follows the tasks of one job and decides its outcome.
///
/// A task that was sent counts as started until the target says that it did not
/// start it. A job is complete or failed, and is refused only if no task was sent
/// without such a denial.
#[derive(Debug)]
pub struct JobProgress {
    tasks: Vec<Task>,
    attempts: Vec<u16>,
    /// Tasks to place, last one first.
    waiting: Vec<TaskIndex>,
    unanswered: usize,
    placement_retries: u16,
    stopped: bool,
    outcome_taken: bool,
}

impl JobProgress {
    /// Returns the progress of a job of `count` tasks, none of them sent.
    pub fn new(count: u16, placement_retries: u16) -> Self {
        JobProgress {
            tasks: (0..count).map(|_| Task::Waiting).collect(),
            attempts: vec![0; count.into()],
            waiting: (0..count).rev().map(TaskIndex).collect(),
            unanswered: count.into(),
            placement_retries,
            stopped: false,
            outcome_taken: false,
        }
    }

    /// Takes the next task to send and counts it as started.
    pub fn send_next(&mut self) -> Option<Placement> {
        let task = self.waiting.pop()?;
        let at = usize::from(task.0);
        self.tasks[at] = Task::Sent;
        let attempt = self.attempts[at];
        self.attempts[at] += 1;
        Some(Placement { task, attempt })
    }

    /// Records that the target denied having started the task.
    ///
    /// Returns the outcome if the job ends with it; otherwise the task waits again.
    pub fn not_started(&mut self, task: TaskIndex) -> Option<Outcome> {
        let at = usize::from(task.0);
        if !self.is_sent(task) {
            return None;
        }
        self.tasks[at] = Task::Waiting;
        if !self.stopped && self.attempts[at] <= self.placement_retries {
            self.waiting.push(task);
            return None;
        }
        self.stop(Refusal { reason: RefusalReason::NoTargets, retry_after_ms: None })
    }

    /// Records the answer of a task and returns the outcome if it is the last one.
    pub fn answered(&mut self, task: TaskIndex, answer: Payload) -> Option<Outcome> {
        let at = usize::from(task.0);
        if !self.is_sent(task) {
            return None;
        }
        self.tasks[at] = Task::Answered(answer);
        self.unanswered -= 1;
        if self.unanswered > 0 || self.outcome_taken {
            return None;
        }
        self.outcome_taken = true;
        Some(Outcome::Complete { answers: self.take_answers() })
    }

    /// Records the fault of a started task, which fails the job.
    pub fn faulted(&mut self, task: TaskIndex, fault: TaskFault) -> Option<Outcome> {
        let at = usize::from(task.0);
        if !self.is_sent(task) {
            return None;
        }
        self.tasks[at] = Task::Faulty(fault);
        self.end()
    }

    /// Ends the job early: it is refused if nothing was started, and failed otherwise.
    pub fn stop(&mut self, refusal: Refusal) -> Option<Outcome> {
        if self.any_started() {
            return self.end();
        }
        self.close()?;
        Some(Outcome::NotRun(refusal))
    }

    /// Refuses the job if none of its tasks was sent; otherwise it goes on.
    pub fn refuse_unstarted(&mut self, refusal: Refusal) -> Option<Outcome> {
        match self.any_started() {
            true => None,
            false => self.stop(refusal),
        }
    }

    /// Returns how many tasks wait for a target.
    pub const fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether the outcome is decided.
    pub const fn is_over(&self) -> bool {
        self.outcome_taken
    }

    /// Returns whether any task was sent without a denial.
    pub fn any_started(&self) -> bool {
        self.tasks.iter().any(|task| !matches!(task, Task::Waiting))
    }

    fn is_sent(&self, task: TaskIndex) -> bool {
        matches!(self.tasks.get(usize::from(task.0)), Some(Task::Sent))
    }

    fn end(&mut self) -> Option<Outcome> {
        self.close()?;
        let failures = self.tasks.iter().enumerate().filter_map(|(at, task)| {
            let fault = match task {
                Task::Waiting => TaskFault::NotStarted,
                Task::Sent => TaskFault::Cancelled,
                Task::Answered(_) => return None,
                Task::Faulty(fault) => fault.clone(),
            };
            Some(TaskFailure { task: TaskIndex(at as u16), fault })
        });
        Some(Outcome::Failed { failures: failures.collect() })
    }

    /// Bars further starts; returns nothing if the outcome was decided before.
    fn close(&mut self) -> Option<()> {
        self.stopped = true;
        self.waiting.clear();
        if self.outcome_taken {
            return None;
        }
        self.outcome_taken = true;
        Some(())
    }

    fn take_answers(&mut self) -> Vec<TaskAnswer> {
        let tasks = self.tasks.drain(..).enumerate();
        let answers = tasks.filter_map(|(at, task)| match task {
            Task::Answered(answer) => Some(TaskAnswer { task: TaskIndex(at as u16), answer }),
            _ => None,
        });
        answers.collect()
    }
}
