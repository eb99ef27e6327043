//! What a home asks a dispatcher for.

use ggb_model::{Priority, Refusal, TaskShape, TeamName};
use serde::{Deserialize, Serialize};

/// Names the connection of one home within a dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamId(pub u32);

/// Names the part of one job that a home asked this dispatcher to place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobKey {
    /// The home's connection.
    pub stream: StreamId,
    /// The home's number for the job.
    pub job: u64,
}

/// Identifies work with a common run time: its profile, caller and declared size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WorkKey(pub u64);

/// How the work of a demand is to be treated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkClass {
    /// How urgent the work is.
    pub priority: Priority,
    /// The team whose quota it counts against.
    pub team: TeamName,
    /// The team's share relative to other teams.
    pub team_weight: u16,
    /// The most slots that the team may hold here.
    pub quota_slots: u32,
    /// The most tasks of the team that may wait here.
    pub quota_queued_tasks: u32,
    /// Identifies the work for learning its run time.
    pub work: WorkKey,
    /// The run time that the caller declares.
    pub declared_ms: Option<u32>,
}

/// A part of a job that waits for slots.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Demand {
    /// Names the part.
    pub key: JobKey,
    /// How the work is to be treated.
    pub class: WorkClass,
    /// What each task occupies.
    pub shape: TaskShape,
    /// The number of tasks.
    pub count: u16,
    /// How long the job may wait for its first start.
    pub start_within_ms: u32,
}

/// The answer to a demand.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The part waits for slots.
    Accepted,
    /// The part was not taken.
    Refused(Refusal),
}
