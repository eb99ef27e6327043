//! Jobs, steps, tasks and runs.

use std::{fmt, str::FromStr, sync::Arc};

use ggb_model::ModelError;
use serde::{Deserialize, Serialize};

use crate::Capacity;

const JOB_ID_BYTES: usize = 16;

/// The most tasks of one job; the largest that users submit has 110.
pub const MAX_TASKS_PER_JOB: usize = 1_024;

/// The name of a job: 16 hexadecimal digits that the caller chose.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct JobId([u8; JOB_ID_BYTES]);

impl JobId {
    /// Returns whether everything that is decided of this job is logged: one of 16 jobs, by
    /// the last digit of the name, so that all processes choose the same ones.
    pub const fn is_sampled(&self) -> bool {
        self.0[JOB_ID_BYTES - 1] == b'0'
    }

    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        std::str::from_utf8(&self.0).unwrap_or_default()
    }
}

impl FromStr for JobId {
    type Err = ModelError;

    fn from_str(text: &str) -> Result<Self, ModelError> {
        match <[u8; JOB_ID_BYTES]>::try_from(text.as_bytes()) {
            Ok(bytes) if bytes.iter().all(u8::is_ascii_hexdigit) => Ok(JobId(bytes)),
            _ => Err(ModelError::new("job", text, "16 hexadecimal digits")),
        }
    }
}

impl TryFrom<String> for JobId {
    type Error = ModelError;

    fn try_from(text: String) -> Result<Self, ModelError> {
        text.parse()
    }
}

impl From<JobId> for String {
    fn from(id: JobId) -> String {
        id.as_str().to_owned()
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl fmt::Debug for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// One task of a job; written `JOB.OCCURRENCE.STEP.INDEX`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// The occurrence of a scheduled job, 0 for any other job.
    pub occurrence: u32,
    /// The step within the job.
    pub step: u16,
    /// The task within the step.
    pub index: u16,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.occurrence, self.step, self.index)
    }
}

impl FromStr for TaskId {
    type Err = ModelError;

    fn from_str(text: &str) -> Result<Self, ModelError> {
        let invalid = || ModelError::new("task", text, "JOB.OCCURRENCE.STEP.INDEX");
        let mut parts = text.split('.');
        let mut next = || parts.next().ok_or_else(invalid);
        let id = TaskId {
            job: next()?.parse()?,
            occurrence: next()?.parse().map_err(|_| invalid())?,
            step: next()?.parse().map_err(|_| invalid())?,
            index: next()?.parse().map_err(|_| invalid())?,
        };
        match parts.next() {
            None => Ok(id),
            Some(_) => Err(invalid()),
        }
    }
}

/// One start of a task; later starts have higher numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Run {
    /// The task.
    pub task: TaskId,
    /// The number of the start, from 1.
    pub number: u32,
}

impl fmt::Display for Run {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.task, self.number)
    }
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The task is done.
    Done,
    /// It failed, through its own fault or the target's.
    Failed,
    /// It was stopped on request.
    Stopped,
    /// Its lease lapsed.
    Lapsed,
    /// It ended with the other members of its gang.
    Interrupted,
    /// The target no longer knows of it: it crashed, or never began the run.
    Lost,
}

/// Tasks of one job that are alike.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct StepSpec {
    /// The number of tasks.
    pub count: u16,
    /// What each task takes of a target.
    pub demand: Capacity,
    /// How long a task is said to run.
    pub estimate_ms: u64,
    /// Earlier steps that have to be done before.
    pub after: Vec<u16>,
    /// A label that the target must have.
    pub required_label: Option<String>,
    /// The label of the rack that holds the data.
    pub near_rack: Option<String>,
    /// The most tasks of the step on one target.
    pub per_target_max: Option<u32>,
}

/// A job as a caller submits it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct BatchJob {
    /// The name that the caller chose.
    pub id: JobId,
    /// What to run, passed on as it is.
    pub spec: Arc<str>,
    /// The steps.
    pub steps: Vec<StepSpec>,
}

impl BatchJob {
    /// Checks that the steps can be run in some order.
    ///
    /// # Errors
    ///
    /// Names the field that breaks its rule.
    pub fn validate(&self) -> Result<(), ModelError> {
        let tasks: usize = self.steps.iter().map(|step| usize::from(step.count)).sum();
        if !(1..=MAX_TASKS_PER_JOB).contains(&tasks) {
            return Err(ModelError::new("steps", tasks, "1 to 1024 tasks"));
        }
        for (number, step) in self.steps.iter().enumerate() {
            if let Some(later) = step.after.iter().find(|after| usize::from(**after) >= number) {
                return Err(ModelError::new("after", later, "numbers of earlier steps"));
            }
        }
        Ok(())
    }

    /// Returns the longest time that steps take which come after each other, if tasks of each
    /// step take the time in `step_ms`.
    pub fn longest_chain_ms(&self, step_ms: &[u64]) -> u64 {
        let mut until_ms: Vec<u64> = Vec::with_capacity(self.steps.len());
        for (step, own_ms) in self.steps.iter().zip(step_ms) {
            let after = step.after.iter().filter_map(|earlier| until_ms.get(usize::from(*earlier)));
            until_ms.push(own_ms + after.max().copied().unwrap_or(0));
        }
        until_ms.into_iter().max().unwrap_or(0)
    }

    /// Returns the number of tasks.
    pub fn task_count(&self) -> usize {
        self.steps.iter().map(|step| usize::from(step.count)).sum()
    }
}

/// How the jobs of one queue are treated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct QueueRules {
    /// The name of the queue.
    pub name: Arc<str>,
    /// The service whose targets run the tasks.
    pub service: Arc<str>,
    /// 0 comes first.
    pub priority: u8,
    /// After how many failed runs of a task its job fails.
    pub max_attempts: u32,
    /// How many times its longest task a job may take.
    pub stretch: f64,
    /// What a job may take besides.
    pub target_latency_ms: u64,
}

/// A job with everything that decides how it is treated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Submission {
    /// The job.
    pub job: BatchJob,
    /// The rules of its queue when it was received.
    pub queue: QueueRules,
    /// Where tasks of it may have been started by an earlier dispatcher.
    pub earlier_runs: EarlierRuns,
    /// The number of the part, if the dispatcher of another zone asks to have part of a job
    /// started at once or refused.
    pub part: Option<u64>,
    /// The step and index of each task that is not to be run: done, or in another part.
    pub done: Vec<(u16, u16)>,
    /// The token of the claim under which an owner was last heard to have the job.
    pub held_under: Option<u64>,
    /// How long the caller has waited already.
    pub waited_ms: u64,
    /// How long the caller waits in all.
    pub deadline_ms: u64,
}

impl Submission {
    /// Returns when the caller sent the job.
    pub(crate) const fn sent_at_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.waited_ms)
    }

    /// Returns when the caller stops waiting.
    pub(crate) const fn caller_deadline_ms(&self, now_ms: u64) -> u64 {
        self.sent_at_ms(now_ms).saturating_add(self.deadline_ms)
    }

    /// Returns the job as the owner with `token` has to treat it: if it was left with an
    /// owner under another token, tasks of it may run anywhere.
    pub fn received_under(mut self, token: u64) -> Self {
        if self.held_under.is_some_and(|held_under| held_under != token) {
            self.earlier_runs = EarlierRuns::StillHeld;
        }
        self
    }
}

/// Where runs of a job may go on that an earlier dispatcher started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EarlierRuns {
    /// Nowhere.
    #[default]
    None,
    /// On targets of the dispatcher's own zone, whose listings show them.
    OwnZone,
    /// On targets of any zone.
    AnyZone,
    /// On targets of any zone, and the dispatcher that had the job may start more of it until
    /// it notices that nobody asks any more.
    StillHeld,
}

/// Why a job was refused before any of its tasks was started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// No target can ever hold one of its tasks.
    TooLarge,
    /// No target of the service is known or can be reached.
    NoTargets,
    /// The work ahead of it would make it late.
    Overloaded,
    /// Room did not come free as soon as expected.
    StillQueued,
    /// The process is about to stop.
    Stopping,
}

/// What became of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobAnswer {
    /// All tasks are done.
    Completed,
    /// A task failed as often as its queue allows.
    Failed,
    /// No task was started, and none will be.
    Refused {
        /// The reason.
        reason: RefusalReason,
        /// When a new try has a chance.
        retry_after_ms: u64,
    },
    /// The job can't end before its caller's deadline; tasks of it have run.
    GivenUp,
    /// This dispatcher has given up its targets; the next one can go on with the job.
    Moved {
        /// The step and index of each task that is done.
        done: Vec<(u16, u16)>,
        /// Where other tasks may still run.
        earlier_runs: EarlierRuns,
    },
    /// This process is no dispatcher, or no longer, and has not taken the job.
    NotTaken,
    /// Contact with the dispatcher that had the job is lost; its tasks may have run.
    Unknown,
}
