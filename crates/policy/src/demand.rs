//! Demands of homes for slots, and their admission.

use ggb_model::{Priority, Refusal, TaskShape, TeamName};
use serde::{Deserialize, Serialize};

/// Identifies the connection of one home within a dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamId(pub u32);

/// Identifies the part of one job that a home asked this dispatcher to place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartKey {
    /// Connection of the home.
    pub stream: StreamId,
    /// Number of the job at the home.
    pub job: u64,
}

/// Identifies work with a similar run time.
///
/// The home computes it as a hash of the profile's name and the number of bits of the declared
/// run time, its order of magnitude.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WorkloadKey(pub u64);

/// Priority, team and quotas of the work of a demand.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkClass {
    /// Priority of the work.
    pub priority: Priority,
    /// Team against whose quotas the work counts.
    pub team: TeamName,
    /// Weight of the team in the fair sharing of slots.
    pub team_weight: u16,
    /// Maximum number of slots that the team may hold at this dispatcher.
    pub quota_slots: u32,
    /// Maximum number of queued tasks of the team at this dispatcher.
    pub quota_queued_tasks: u32,
    /// Identifies the work for the estimate of its run time.
    pub workload: WorkloadKey,
    /// Run time that the caller declares.
    pub declared_run_ms: Option<u32>,
}

/// Demand for the slots of one part of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Demand {
    /// Identifies the part.
    pub key: PartKey,
    /// Priority, team and quotas of the work.
    pub class: WorkClass,
    /// Resources that each task occupies.
    pub shape: TaskShape,
    /// Number of tasks.
    pub count: u16,
    /// Maximum time until the first task of the job starts.
    pub start_within_ms: u32,
}

/// Decision on a demand.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The part is queued.
    Accepted,
    /// The part was refused and is not queued.
    Refused(Refusal),
}
