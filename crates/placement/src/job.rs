//! Jobs, steps, tasks and runs.

use std::{fmt, str::FromStr, sync::Arc};

use ggb_model::ValidationError;
use serde::{Deserialize, Serialize};

use crate::Capacity;

const JOB_ID_BYTES: usize = 16;

/// Maximum number of tasks in a job; the largest job that users submit has 110.
pub const MAX_TASKS_PER_JOB: usize = 1_024;

/// Maximum declared run time of a task: 30 days.
const MAX_ESTIMATE_MS: u64 = 30 * 24 * 60 * 60 * 1_000;

/// Job identifier of 16 hexadecimal digits, chosen by the caller.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct JobId([u8; JOB_ID_BYTES]);

impl JobId {
    /// Returns whether every decision about this job is logged. One job in 16 is sampled, by the
    /// last digit of its identifier, so that all processes sample the same jobs.
    pub const fn is_sampled(&self) -> bool {
        self.0[JOB_ID_BYTES - 1] == b'0'
    }

    /// Returns the identifier as text.
    pub fn as_str(&self) -> &str {
        std::str::from_utf8(&self.0).unwrap_or_default()
    }
}

impl FromStr for JobId {
    type Err = ValidationError;

    fn from_str(text: &str) -> Result<Self, ValidationError> {
        match <[u8; JOB_ID_BYTES]>::try_from(text.as_bytes()) {
            Ok(bytes) if bytes.iter().all(u8::is_ascii_hexdigit) => Ok(JobId(bytes)),
            _ => Err(ValidationError::new("job", text, "16 hexadecimal digits")),
        }
    }
}

impl TryFrom<String> for JobId {
    type Error = ValidationError;

    fn try_from(text: String) -> Result<Self, ValidationError> {
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

/// Task identifier, written `JOB.OCCURRENCE.STEP.INDEX`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job of the task.
    pub job: JobId,
    /// Occurrence of a scheduled job; 0 for any other job.
    pub occurrence: u32,
    /// Index of the step within the job.
    pub step: u16,
    /// Index of the task within the step.
    pub index: u16,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.occurrence, self.step, self.index)
    }
}

impl FromStr for TaskId {
    type Err = ValidationError;

    fn from_str(text: &str) -> Result<Self, ValidationError> {
        let invalid = || ValidationError::new("task", text, "JOB.OCCURRENCE.STEP.INDEX");
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

/// Identifier of one run of a task; later runs of the same task have higher numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Run {
    /// The task that is run.
    pub task: TaskId,
    /// Number of the run within its task, starting at 1.
    pub number: u32,
}

impl fmt::Display for Run {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.task, self.number)
    }
}

/// Reason for the end of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The task completed.
    Done,
    /// The run failed, because of either the task or the target.
    Failed,
    /// The run was stopped at the request of the dispatcher.
    Stopped,
    /// The lease of the target expired.
    Lapsed,
    /// The run ended because another member of its gang did.
    Interrupted,
    /// The target no longer lists the run: the target crashed, or never started the run.
    Lost,
}

/// A step of a job: a number of identical tasks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u16,
    /// Resources that each task needs on a target.
    pub demand: Capacity,
    /// Run time of a task as declared by the caller, in ms.
    pub estimate_ms: u64,
    /// Indexes of earlier steps that must be done before this one starts.
    pub after: Vec<u16>,
    /// Label that a target must have to run the tasks.
    pub required_label: Option<String>,
    /// Label of the rack that holds the data of the step's tasks; targets with this label are
    /// preferred.
    pub near_rack: Option<String>,
    /// Maximum number of tasks of the step that run on one target at the same time.
    #[serde(rename = "per_target_max")]
    pub max_per_target: Option<u32>,
}

/// A job as submitted by a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct BatchJob {
    /// Job identifier chosen by the caller.
    pub id: JobId,
    /// Description of the work, passed to the targets unchanged.
    pub spec: Arc<str>,
    /// Steps of the job; a step depends only on earlier ones.
    pub steps: Vec<StepSpec>,
}

impl BatchJob {
    /// Checks that the number of tasks, their demand and their declared run time are within their
    /// bounds, and that steps depend only on earlier steps.
    ///
    /// # Errors
    ///
    /// Returns the field that violates its rule.
    pub fn validate(&self) -> Result<(), ValidationError> {
        let task_count: usize = self.steps.iter().map(|step| usize::from(step.count)).sum();
        if !(1..=MAX_TASKS_PER_JOB).contains(&task_count) {
            return Err(ValidationError::new("steps", task_count, "1 to 1024 tasks"));
        }
        for (step_index, step) in self.steps.iter().enumerate() {
            if !Capacity::MAX.fits(&step.demand) {
                let demand = format!("{:?}", step.demand);
                return Err(ValidationError::new(
                    "steps",
                    demand,
                    "at most 10,000 cores, 1 PiB and 100,000 accelerators for a task",
                ));
            }
            if step.estimate_ms > MAX_ESTIMATE_MS {
                let estimate = format!("{} ms", step.estimate_ms);
                return Err(ValidationError::new(
                    "steps",
                    estimate,
                    "a run time of at most 30 days",
                ));
            }
            if let Some(invalid) =
                step.after.iter().find(|after| usize::from(**after) >= step_index)
            {
                return Err(ValidationError::new("after", invalid, "numbers of earlier steps"));
            }
        }
        Ok(())
    }

    /// Returns the length of the critical path through the steps, in ms, where `step_ms` holds the
    /// run time of a task of each step.
    pub fn critical_path_ms(&self, step_ms: &[u64]) -> u64 {
        let mut finish_ms: Vec<u64> = Vec::with_capacity(self.steps.len());
        for (step, run_ms) in self.steps.iter().zip(step_ms) {
            let after =
                step.after.iter().filter_map(|earlier| finish_ms.get(usize::from(*earlier)));
            finish_ms.push(run_ms + after.max().copied().unwrap_or(0));
        }
        finish_ms.into_iter().max().unwrap_or(0)
    }

    /// Returns the total number of tasks of all steps.
    pub fn task_count(&self) -> usize {
        self.steps.iter().map(|step| usize::from(step.count)).sum()
    }
}

/// Scheduling rules of a queue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct QueueRules {
    /// Name of the queue.
    pub name: Arc<str>,
    /// Service whose targets run the tasks.
    pub service: Arc<str>,
    /// Priority of the jobs; 0 is the most urgent.
    pub priority: u8,
    /// Number of failed runs of one task after which its job fails.
    pub max_attempts: u32,
    /// Factor of the response time objective: the objective is `stretch` times the expected
    /// critical path of the job plus `target_latency_ms`.
    pub stretch: f64,
    /// Constant part of the response time objective, in ms.
    pub target_latency_ms: u64,
    /// Whether the targets reject tasks that exceed their capacity. Others start every task that
    /// they are told to start.
    #[serde(default)]
    pub targets_enforce_capacity: bool,
}

/// Identifier of one claim to the targets of a zone, drawn at random.
///
/// No two claims share one, whatever clocks and tokens they derive from. A former build has the fencing
/// token in its place in messages: it finds that another owner holds the job, and waits for its runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClaimId(pub u64);

/// Claim of an owner to the targets of its zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Tells the claim from all others.
    pub id: ClaimId,
    /// Fencing token; targets reject requests with a lower one than they have seen.
    pub token: u64,
}

/// A job together with the state that determines how a dispatcher handles it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Submission {
    /// Identifier, work and steps of the job.
    pub job: BatchJob,
    /// Rules of the queue at the time the job was received.
    pub queue: QueueRules,
    /// Targets on which runs of the job that earlier dispatchers started may still be active.
    pub earlier_runs: EarlierRuns,
    /// Ids of the targets that [`EarlierRuns::OwnZone`] stands for, sorted; `None` if an earlier
    /// dispatcher did not name them.
    #[serde(default)]
    pub run_targets: Option<Vec<Arc<str>>>,
    /// Highest token under which an owner that released the job sent requests to targets; `None` if no
    /// owner reported one.
    #[serde(default)]
    pub released_under: Option<u64>,
    /// Number of the part, if another zone's dispatcher submits part of a job; the part must be
    /// started at once or refused.
    pub part: Option<u64>,
    /// Step and index of each task that must not be run, because it is done or belongs to another
    /// part.
    #[serde(rename = "done")]
    pub excluded_tasks: Vec<(u16, u16)>,
    /// Claim of the owner that last reported holding the job.
    #[serde(rename = "held_under")]
    pub holder: Option<ClaimId>,
    /// Time since an entry process received the job from its caller, in ms.
    pub waited_ms: u64,
    /// Time from that receipt after which the caller stops waiting, in ms.
    pub deadline_ms: u64,
    /// Time since the entry process last found the caller connected, in ms; 0 from a process that
    /// does not report it.
    #[serde(default)]
    pub caller_check_age_ms: u64,
}

impl Submission {
    /// Returns the time at which an entry process received the job from its caller.
    pub(crate) const fn received_at_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.waited_ms)
    }

    /// Returns the time at which the caller stops waiting.
    pub(crate) const fn caller_deadline_ms(&self, now_ms: u64) -> u64 {
        self.received_at_ms(now_ms).saturating_add(self.deadline_ms)
    }

    /// Returns the time at which the entry process last found the caller connected.
    pub(crate) const fn caller_checked_at_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.caller_check_age_ms)
    }

    /// Adds the targets on which a dispatcher of this zone may still have runs of the job.
    pub(crate) fn add_run_targets(&mut self, targets: impl IntoIterator<Item = Arc<str>>) {
        self.run_targets = self.run_targets_with(targets);
        self.earlier_runs = self.earlier_runs.max(EarlierRuns::OwnZone);
    }

    /// Returns the targets of this zone that may have runs of the job, with those in `targets`;
    /// `None` if an earlier dispatcher did not name its own.
    pub(crate) fn run_targets_with(
        &self,
        targets: impl IntoIterator<Item = Arc<str>>,
    ) -> Option<Vec<Arc<str>>> {
        let mut all = match self.earlier_runs {
            EarlierRuns::None => Vec::new(),
            _ => self.run_targets.clone()?,
        };
        all.extend(targets);
        all.sort_unstable();
        all.dedup();
        Some(all)
    }

    /// Returns the submission as the owner with `claim` must handle it: if the owner with another
    /// claim held the job, its tasks may be running in any zone.
    ///
    /// Targets that obey a token reject lower ones only. If an owner released the job under an equal or
    /// higher one, a run may start after a target has sent its listing, so that no listing counts.
    pub fn received_by(mut self, claim: Claim) -> Self {
        if self.released_under.is_some_and(|released_under| released_under >= claim.token) {
            self.run_targets = None;
        }
        if self.holder.is_some_and(|holder| holder != claim.id) {
            self.earlier_runs = EarlierRuns::StillHeld;
        }
        self
    }
}

/// Targets on which runs of a job that earlier dispatchers started may still be active.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EarlierRuns {
    /// No earlier dispatcher started a run.
    #[default]
    None,
    /// On targets of the dispatcher's own zone, of which [`Submission::run_targets`] has the ids; their
    /// listings contain the runs.
    OwnZone,
    /// On targets of any zone.
    AnyZone,
    /// On targets of any zone, and the earlier dispatcher may start more tasks of the job until it
    /// detects that it lost contact with the process that sent it the job.
    StillHeld,
}

/// Reason why a job was refused before any of its tasks started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// No target of the service, even if idle, can run one of the tasks: its demand is too large,
    /// or no target has its required label.
    TooLarge,
    /// No target of the service is known or reachable.
    NoTargets,
    /// Too much work is queued for the job to meet its objective.
    Overloaded,
    /// The job was queued, and gave way to one whose refusal would cost more.
    Displaced,
    /// No task of the job started within the maximum queueing time.
    StillQueued,
    /// The process is shutting down; no dispatcher gives this reason.
    Stopping,
    /// The zone is evacuated and no other zone has capacity for the job; another zone's dispatcher
    /// may take it.
    Evacuated,
}

/// Result of a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobAnswer {
    /// All tasks completed.
    Completed,
    /// A task failed as often as its queue allows.
    Failed,
    /// The job was refused; no task was started, and none will be.
    Refused {
        /// Reason for the refusal.
        reason: RefusalReason,
        /// Time after which a retry may succeed, in ms; 0 if no retry is suggested.
        retry_after_ms: u64,
    },
    /// The job can't complete before its caller's deadline; some of its tasks may have run.
    GivenUp,
    /// The dispatcher released its targets; its successor can continue the job.
    Moved {
        /// Step and index of each completed task.
        done: Vec<(u16, u16)>,
        /// Targets on which other tasks may still be running.
        earlier_runs: EarlierRuns,
        /// Ids of the targets of this zone among them; `None` if they are not known.
        #[serde(default)]
        run_targets: Option<Vec<Arc<str>>>,
        /// Highest token that the dispatcher's requests to targets carried; `None` if it is not known.
        #[serde(default)]
        token: Option<u64>,
    },
    /// The zone of a part's targets is evacuated: no run of the part is active, and no other one will
    /// be started.
    Returned {
        /// Step and index of each completed task, and of each task outside the part.
        done: Vec<(u16, u16)>,
    },
    /// The process does not own the targets and did not accept the job.
    NotTaken,
    /// Contact with the dispatcher that held the job was lost; its tasks may have run.
    Unknown,
}
