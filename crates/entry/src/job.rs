//! Jobs in progress at their home.

use std::{net::SocketAddr, sync::Arc, time::Instant};

use async_channel::{Receiver, Sender};
use ggb_model::{JobSpec, Priority, Profile, Refusal, SubmissionId, TaskIndex, TaskShape};
use ggb_session::{JobProgress, PlacementDemands};
use ggb_wire::v1;
use parking_lot::Mutex;
use xxhash_rust::xxh3::xxh3_64;

/// Lease of slots on a target, which permits the home to send one task there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Lease {
    /// Index of the link over which the lease was granted.
    pub(crate) link_index: usize,
    /// Number of the link's connection over which the lease was granted.
    pub(crate) epoch: u64,
    /// Number that the dispatcher gave the lease.
    pub(crate) id: u64,
    pub(crate) target: SocketAddr,
}

/// Task that was sent to a target and has no result yet.
#[derive(Clone, Debug)]
pub(crate) struct InFlightTask {
    /// Number that the home gave the lease.
    pub(crate) lease_number: u64,
    pub(crate) task: TaskIndex,
    pub(crate) lease: Lease,
    pub(crate) attempt: String,
}

/// Mutable state of a job in progress.
#[derive(Debug)]
pub(crate) struct JobState {
    pub(crate) progress: JobProgress,
    /// Whether dispatchers have admitted every part of the job, so that tasks may be sent.
    pub(crate) admitted: bool,
    /// Demands sent to dispatchers, with their answers and grants.
    pub(crate) demands: PlacementDemands,
    /// Leases that were granted before every part was admitted.
    pub(crate) buffered_leases: Vec<Lease>,
    pub(crate) in_flight: Vec<InFlightTask>,
    /// Index of each link whose dispatcher refused the job, with the refusal.
    pub(crate) refusals: Vec<(usize, Refusal)>,
    /// Longest run time that a target has reported for a task of the job so far.
    pub(crate) longest_run_ms: u32,
}

impl JobState {
    /// Returns the number of waiting tasks that no dispatcher has been asked to place.
    pub(crate) fn unrequested_tasks(&self) -> u16 {
        let requested = self.demands.outstanding_tasks() + self.buffered_leases.len();
        self.progress.waiting_tasks().saturating_sub(requested) as u16
    }

    /// Returns whether every demand is answered and covers, with the others, all waiting tasks.
    pub(crate) fn is_fully_admitted(&self) -> bool {
        self.demands.all_answered() && self.unrequested_tasks() == 0
    }

    /// Returns the refusal to report if no dispatcher admits the job.
    ///
    /// A permanent refusal, such as "never fits", is reported only if all refusals are permanent.
    pub(crate) fn combined_refusal(&self) -> Option<Refusal> {
        let refusals = self.refusals.iter().map(|(_, refusal)| refusal);
        let is_permanent = |refusal: &&Refusal| refusal.retry_after_ms.is_none();
        let temporary = refusals.clone().find(|refusal| !is_permanent(refusal));
        temporary.or_else(|| refusals.clone().next()).cloned()
    }
}

/// A job in progress at its home.
#[derive(Debug)]
pub(crate) struct Job {
    /// Number that the home gave the job.
    pub(crate) number: u64,
    pub(crate) id: SubmissionId,
    pub(crate) spec: JobSpec,
    pub(crate) priority: Priority,
    pub(crate) class: v1::WorkClass,
    pub(crate) shape: TaskShape,
    /// Time limit from the submission until the first task is sent: the caller's, but at most
    /// the profile's.
    pub(crate) start_within_ms: u32,
    /// Maximum run time of a task, from the profile.
    pub(crate) task_timeout_ms: u32,
    pub(crate) submitted_at: Instant,
    pub(crate) state: Mutex<JobState>,
    /// Channel that is closed when the answer is recorded.
    completion: (Sender<()>, Receiver<()>),
}

impl Job {
    pub(crate) fn new(number: u64, id: SubmissionId, spec: JobSpec, profile: &Profile) -> Self {
        let settings = profile.settings();
        let start_within_ms = spec.start_within_ms.unwrap_or(settings.start_within_ms);
        let state = JobState {
            progress: JobProgress::new(spec.tasks.len() as u16, settings.placement_retries),
            admitted: false,
            demands: PlacementDemands::default(),
            buffered_leases: Vec::new(),
            in_flight: Vec::new(),
            refusals: Vec::new(),
            longest_run_ms: 0,
        };
        Job {
            number,
            id,
            priority: settings.priority,
            class: work_class(profile, &spec),
            shape: spec.covering_shape(),
            start_within_ms: start_within_ms.min(settings.start_within_ms),
            task_timeout_ms: settings.task_timeout_ms,
            submitted_at: Instant::now(),
            state: Mutex::new(state),
            completion: async_channel::bounded(1),
            spec,
        }
    }

    /// Returns a receiver that is closed when the answer is recorded.
    pub(crate) fn completion(&self) -> Receiver<()> {
        self.completion.1.clone()
    }

    pub(crate) fn signal_completion(&self) {
        self.completion.0.close();
    }
}

/// Returns the class under which dispatchers queue the job and estimate its run time.
///
/// `work` is a hash of the profile's name and of the number of bits of the declared run time,
/// so that dispatchers learn the real run time for each order of magnitude.
fn work_class(profile: &Profile, spec: &JobSpec) -> v1::WorkClass {
    let settings = profile.settings();
    let declared_ms = spec.mean_expected_ms();
    let magnitude = declared_ms.map_or(0, |ms| u32::BITS - ms.leading_zeros());
    let work = xxh3_64(format!("{}/{magnitude}", profile.name()).as_bytes());
    v1::WorkClass {
        priority: v1::Priority::from(settings.priority).into(),
        team: profile.team().to_string(),
        team_weight: settings.team_weight.into(),
        quota_slots: settings.quota_slots,
        quota_queued_tasks: settings.quota_queued_tasks,
        work,
        declared_ms,
    }
}

/// Jobs in progress of a home, indexed by number and by submission.
#[derive(Debug, Default)]
pub(crate) struct JobTable {
    /// Sorted by number.
    by_number: Vec<Arc<Job>>,
    /// Sorted by submission.
    by_id: Vec<Arc<Job>>,
    next_number: u64,
}

impl JobTable {
    pub(crate) const fn next_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    pub(crate) fn insert(&mut self, job: Arc<Job>) {
        if let Err(index) = self.by_id.binary_search_by_key(&job.id, |other| other.id) {
            self.by_id.insert(index, job.clone());
        }
        if let Err(index) = self.by_number.binary_search_by_key(&job.number, |other| other.number) {
            self.by_number.insert(index, job);
        }
    }

    pub(crate) fn remove(&mut self, job: &Job) {
        if let Ok(index) = self.by_id.binary_search_by_key(&job.id, |other| other.id) {
            self.by_id.remove(index);
        }
        if let Ok(index) = self.by_number.binary_search_by_key(&job.number, |other| other.number) {
            self.by_number.remove(index);
        }
    }

    pub(crate) fn by_number(&self, number: u64) -> Option<Arc<Job>> {
        let index = self.by_number.binary_search_by_key(&number, |job| job.number).ok()?;
        Some(self.by_number[index].clone())
    }

    pub(crate) fn by_id(&self, id: &SubmissionId) -> Option<Arc<Job>> {
        let index = self.by_id.binary_search_by_key(id, |job| job.id).ok()?;
        Some(self.by_id[index].clone())
    }

    pub(crate) fn all(&self) -> Vec<Arc<Job>> {
        self.by_number.clone()
    }
}
