//! Jobs and tasks as callers submit them.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::{ProfileName, ValidationError};

/// Maximum number of tasks in one job.
pub const MAX_TASKS_PER_JOB: usize = 110;

/// JSON value that is forwarded byte for byte without being interpreted.
pub type Payload = Box<RawValue>;

/// Job of 1 to [`MAX_TASKS_PER_JOB`] tasks under one profile.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// Profile under which the job runs.
    pub profile: ProfileName,
    /// Tasks, in the order in which their answers are returned.
    pub tasks: Vec<TaskSpec>,
    /// Maximum time from submission until the first task starts.
    ///
    /// Can only shorten the limit of the profile.
    #[serde(default)]
    pub start_within_ms: Option<u32>,
    /// Lowest sequence whose answer the caller still needs; answers of lower ones are freed.
    #[serde(default)]
    pub acknowledge_below: Option<u64>,
    /// Whether it is harmless to run a task twice; forwarded to targets.
    #[serde(default)]
    pub idempotent: bool,
    /// Caller's key for the job, required by profiles with business keys.
    ///
    /// At most one job runs for each key of a profile.
    #[serde(default)]
    pub business_key: Option<String>,
}

impl JobSpec {
    /// Validates the number of tasks and the shape of each task.
    ///
    /// # Errors
    ///
    /// Fails with the first field that is out of range.
    pub fn validate(&self) -> Result<(), ValidationError> {
        if !(1..=MAX_TASKS_PER_JOB).contains(&self.tasks.len()) {
            return Err(ValidationError::new("tasks", self.tasks.len(), "1 to 110 tasks"));
        }
        if self.tasks.iter().any(|task| task.shape.slots == 0) {
            return Err(ValidationError::new("shape.slots", 0, "at least 1 slot"));
        }
        Ok(())
    }

    /// Returns the smallest shape that covers the shapes of all tasks.
    pub fn covering_shape(&self) -> TaskShape {
        self.tasks.iter().fold(TaskShape::default(), |covering, task| covering.max(task.shape))
    }

    /// Returns the mean expected run time of the tasks that declare one, if any does.
    pub fn mean_expected_ms(&self) -> Option<u32> {
        let declared: Vec<u64> =
            self.tasks.iter().filter_map(|task| task.expected_ms).map(u64::from).collect();
        let count = declared.len() as u64;
        (count > 0).then(|| (declared.iter().sum::<u64>() / count) as u32)
    }
}

/// Task of a job.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskSpec {
    /// Input for the target that runs the task.
    pub payload: Payload,
    /// Run time that the caller expects; a hint that is often inaccurate.
    #[serde(default)]
    pub expected_ms: Option<u32>,
    /// Resources that the task occupies on a target.
    #[serde(default)]
    pub shape: TaskShape,
}

/// Resources that a task occupies on a target while it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TaskShape {
    /// Number of processor slots.
    pub slots: u16,
    /// Memory in MiB.
    pub memory_mib: u32,
    /// Number of accelerators.
    pub accelerators: u16,
}

impl TaskShape {
    /// Returns whether every resource of `self` is at most that of `capacity`.
    pub const fn fits(&self, capacity: &TaskShape) -> bool {
        self.slots <= capacity.slots
            && self.memory_mib <= capacity.memory_mib
            && self.accelerators <= capacity.accelerators
    }

    /// Returns the smallest shape that covers both shapes.
    pub fn max(self, other: TaskShape) -> TaskShape {
        TaskShape {
            slots: self.slots.max(other.slots),
            memory_mib: self.memory_mib.max(other.memory_mib),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }
}

impl Default for TaskShape {
    fn default() -> Self {
        TaskShape { slots: 1, memory_mib: 0, accelerators: 0 }
    }
}
