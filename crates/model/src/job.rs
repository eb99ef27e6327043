//! What a caller submits.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::{ModelError, ProfileName};

/// The largest number of tasks in one job.
pub const MAX_TASKS_PER_JOB: usize = 110;

/// An uninterpreted JSON value that is passed on byte for byte.
pub type Payload = Box<RawValue>;

/// A job of 1 to [`MAX_TASKS_PER_JOB`] tasks under one profile.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// The profile under which the job runs.
    pub profile: ProfileName,
    /// The tasks, in the order in which their answers are returned.
    pub tasks: Vec<TaskSpec>,
    /// How long the caller is willing to wait for the first start, in place of
    /// the profile's own limit when that is longer.
    #[serde(default)]
    pub start_within_ms: Option<u32>,
    /// The lowest sequence whose answer the caller still needs.
    #[serde(default)]
    pub acknowledge_below: Option<u64>,
    /// Whether running a task twice would be harmless; passed on to targets.
    #[serde(default)]
    pub idempotent: bool,
    /// The caller's own key of the work, for profiles with business keys.
    #[serde(default)]
    pub business_key: Option<String>,
}

impl JobSpec {
    /// Checks the number of tasks and each task's shape.
    ///
    /// # Errors
    ///
    /// Names the first field that is out of range.
    pub fn validate(&self) -> Result<(), ModelError> {
        if !(1..=MAX_TASKS_PER_JOB).contains(&self.tasks.len()) {
            return Err(ModelError::new("tasks", self.tasks.len(), "1 to 110 tasks"));
        }
        if self.tasks.iter().any(|task| task.shape.slots == 0) {
            return Err(ModelError::new("shape.slots", 0, "at least 1 slot"));
        }
        Ok(())
    }

    /// Returns the least shape that covers every task.
    pub fn covering_shape(&self) -> TaskShape {
        self.tasks.iter().fold(TaskShape::default(), |all, task| all.max(task.shape))
    }

    /// Returns the mean of the declared run times, if any task declares one.
    pub fn mean_expected_ms(&self) -> Option<u32> {
        let declared: Vec<u64> =
            self.tasks.iter().filter_map(|task| task.expected_ms).map(u64::from).collect();
        let count = declared.len() as u64;
        (count > 0).then(|| (declared.iter().sum::<u64>() / count) as u32)
    }
}

/// One task of a job.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskSpec {
    /// What the target is to run.
    pub payload: Payload,
    /// The run time that the caller expects; a hint that is often far off.
    #[serde(default)]
    pub expected_ms: Option<u32>,
    /// What the task occupies on a target.
    #[serde(default)]
    pub shape: TaskShape,
}

/// What a task occupies on a target while it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TaskShape {
    /// Processor slots.
    pub slots: u16,
    /// Memory in MiB.
    pub memory_mib: u32,
    /// Accelerators.
    pub accelerators: u16,
}

impl TaskShape {
    /// Returns whether `self` fits into `room`.
    pub const fn fits(&self, room: &TaskShape) -> bool {
        self.slots <= room.slots
            && self.memory_mib <= room.memory_mib
            && self.accelerators <= room.accelerators
    }

    /// Returns the least shape that covers both.
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
