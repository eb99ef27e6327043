//! Results of submissions as callers receive them.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{Payload, TaskIndex};

/// Result of a submission.
///
/// The first three variants are final: until the caller acknowledges the answer, the home
/// returns the same bytes for every request.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Outcome {
    /// All tasks ran and returned an answer.
    Complete {
        /// Answers, in the order of the tasks.
        answers: Vec<TaskAnswer>,
    },
    /// At least one task may have started, and the job did not complete.
    Failed {
        /// Tasks without an answer, each with the reason; the answers of other tasks are dropped.
        failures: Vec<TaskFailure>,
    },
    /// No task of the submission was started or will ever be started.
    NotRun(Refusal),
    /// The job is admitted and not finished; ask again.
    Running,
    /// It is not known whether any task was started.
    Unknown {
        /// Reason why the outcome is not known.
        reason: UnknownReason,
        /// Whether asking again may return a different outcome.
        ask_again: bool,
    },
    /// The caller has acknowledged the answer, so it was deleted.
    AlreadyAcknowledged,
    /// The sequence was used before with a different body; that submission is unaffected.
    Conflict,
    /// The request is invalid; its sequence can be used again.
    Invalid {
        /// Given and expected values.
        message: String,
    },
}

impl Outcome {
    /// Returns the kind of the outcome.
    pub const fn kind(&self) -> OutcomeKind {
        match self {
            Outcome::Complete { .. } => OutcomeKind::Complete,
            Outcome::Failed { .. } => OutcomeKind::Failed,
            Outcome::NotRun(_) => OutcomeKind::NotRun,
            Outcome::Running => OutcomeKind::Running,
            Outcome::Unknown { .. } => OutcomeKind::Unknown,
            Outcome::AlreadyAcknowledged => OutcomeKind::AlreadyAcknowledged,
            Outcome::Conflict => OutcomeKind::Conflict,
            Outcome::Invalid { .. } => OutcomeKind::Invalid,
        }
    }

    /// Returns a refusal without a time after which to retry.
    pub const fn not_run(reason: RefusalReason) -> Self {
        Outcome::NotRun(Refusal { reason, retry_after_ms: None })
    }
}

/// Kind of an [`Outcome`], without its data.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutcomeKind {
    /// See [`Outcome::Complete`].
    Complete,
    /// See [`Outcome::Failed`].
    Failed,
    /// See [`Outcome::NotRun`].
    NotRun,
    /// See [`Outcome::Running`].
    Running,
    /// See [`Outcome::Unknown`].
    Unknown,
    /// See [`Outcome::AlreadyAcknowledged`].
    AlreadyAcknowledged,
    /// See [`Outcome::Conflict`].
    Conflict,
    /// See [`Outcome::Invalid`].
    Invalid,
}

impl OutcomeKind {
    /// All kinds, in the order of their numbers in forwarded replies.
    pub const ALL: [OutcomeKind; 8] = [
        OutcomeKind::Complete,
        OutcomeKind::Failed,
        OutcomeKind::NotRun,
        OutcomeKind::Running,
        OutcomeKind::Unknown,
        OutcomeKind::AlreadyAcknowledged,
        OutcomeKind::Conflict,
        OutcomeKind::Invalid,
    ];
}

impl fmt::Display for OutcomeKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.serialize(f)
    }
}

/// Answer of one task.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TaskAnswer {
    /// Position of the task within its job.
    pub task: TaskIndex,
    /// Answer of the target, byte for byte.
    pub answer: Payload,
}

/// Failure of one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskFailure {
    /// Position of the task within its job.
    pub task: TaskIndex,
    /// Reason for the failure.
    pub fault: TaskFault,
}

/// Reason why a task has no answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum TaskFault {
    /// The target ran the task and reported that it failed.
    Failed {
        /// Error message of the target.
        message: String,
    },
    /// The task may have been started; no reply to the start request arrived.
    AnswerLost,
    /// The task was not started, because the job was cancelled or had failed.
    NotStarted,
    /// The task was sent and then cancelled, by the caller or because another task failed.
    Cancelled,
}

/// Final refusal: no task of the submission was started or will ever be started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Reason for the refusal.
    pub reason: RefusalReason,
    /// Time after which a new submission may be admitted; absent if there is no estimate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u32>,
}

/// Reason why a submission was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// There is no profile of the given name.
    UnknownProfile,
    /// The profile was retired.
    RetiredProfile,
    /// The job lacks a business key that its profile requires.
    InvalidJob,
    /// No target is large enough for one of the tasks.
    NeverFits,
    /// The job did not start, or isn't expected to start, within its time limit.
    DeadlineUnreachable,
    /// The team's quota is used up.
    QuotaExceeded,
    /// A limit of the home or dispatcher is reached, such as on running jobs or queued tasks.
    Overloaded,
    /// No dispatcher or target is reachable, or too many attempts to place a task were denied or
    /// did not reach their target.
    NoTargets,
    /// The home is draining; a new session at another process is needed.
    Draining,
    /// The caller cancelled the job before any of its tasks was started.
    Cancelled,
    /// The process has no configuration yet.
    NoConfiguration,
    /// The platform's store could not confirm the claim of the business key.
    ClaimUnavailable,
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.serialize(f)
    }
}

/// Reason why an outcome is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UnknownReason {
    /// The session's home did not answer.
    HomeUnreachable,
    /// The session's home no longer exists.
    HomeGone,
    /// The home does not know the session, which may have expired.
    SessionUnknown,
    /// The sequence is beyond the session's window, which starts at the lowest sequence that is
    /// not acknowledged.
    WindowExceeded,
    /// The home has not received a submission with the sequence.
    NeverSeen,
    /// Another submission claimed the business key, and its outcome is not recorded so far.
    ClaimUnsettled,
}
