//! A job in progress.

use std::{net::SocketAddr, sync::Arc, time::Instant};

use async_channel::{Receiver, Sender};
use ggb_model::{JobSpec, Priority, Profile, Refusal, SubmissionId, TaskIndex, TaskShape};
use ggb_session::{Asked, JobProgress};
use ggb_wire::v1;
use parking_lot::Mutex;
use xxhash_rust::xxh3::xxh3_64;

/// The right to send one task to one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Lease {
    /// Index of the link over which it was granted.
    pub(crate) link: usize,
    /// The connection of the link over which it was granted.
    pub(crate) epoch: u64,
    pub(crate) id: u64,
    pub(crate) target: SocketAddr,
}

/// A task that was sent to a target.
#[derive(Clone, Debug)]
pub(crate) struct SentTask {
    /// The home's own number for the lease.
    pub(crate) number: u64,
    pub(crate) task: TaskIndex,
    pub(crate) lease: Lease,
    pub(crate) attempt: String,
}

/// What changes while a job is in progress.
#[derive(Debug)]
pub(crate) struct JobState {
    pub(crate) progress: JobProgress,
    /// Whether every part was admitted once, so that tasks may be sent.
    pub(crate) begun: bool,
    pub(crate) asked: Asked,
    /// Leases that came before every part was admitted.
    pub(crate) held: Vec<Lease>,
    pub(crate) sent: Vec<SentTask>,
    /// Links that refused, with their refusals.
    pub(crate) refusals: Vec<(usize, Refusal)>,
    pub(crate) longest_run_ms: u32,
}

impl JobState {
    /// Returns how many tasks wait and are asked of no dispatcher.
    pub(crate) fn unasked(&self) -> u16 {
        let asked = self.asked.outstanding() + self.held.len();
        self.progress.waiting().saturating_sub(asked) as u16
    }

    /// Returns whether every part was admitted and no task is left out.
    pub(crate) fn is_admitted(&self) -> bool {
        self.asked.is_answered() && self.unasked() == 0
    }

    /// Returns the refusal to report when no dispatcher takes the job.
    ///
    /// "Never fits" is reported only if all of them said so.
    pub(crate) fn combined_refusal(&self) -> Option<Refusal> {
        let refusals = self.refusals.iter().map(|(_, refusal)| refusal);
        let permanent = |refusal: &&Refusal| refusal.retry_after_ms.is_none();
        let passing = refusals.clone().find(|refusal| !permanent(refusal));
        passing.or_else(|| refusals.clone().next()).cloned()
    }
}

/// A job in progress at its home.
#[derive(Debug)]
pub(crate) struct Job {
    /// The home's own number for the job.
    pub(crate) number: u64,
    pub(crate) id: SubmissionId,
    pub(crate) spec: JobSpec,
    pub(crate) priority: Priority,
    pub(crate) class: v1::WorkClass,
    pub(crate) shape: TaskShape,
    pub(crate) start_within_ms: u32,
    pub(crate) task_timeout_ms: u32,
    pub(crate) submitted: Instant,
    pub(crate) state: Mutex<JobState>,
    /// Closed when the answer is recorded.
    done: (Sender<()>, Receiver<()>),
}

impl Job {
    pub(crate) fn new(number: u64, id: SubmissionId, spec: JobSpec, profile: &Profile) -> Self {
        let settings = profile.settings();
        let within_ms = spec.start_within_ms.unwrap_or(settings.start_within_ms);
        let state = JobState {
            progress: JobProgress::new(spec.tasks.len() as u16, settings.placement_retries),
            begun: false,
            asked: Asked::default(),
            held: Vec::new(),
            sent: Vec::new(),
            refusals: Vec::new(),
            longest_run_ms: 0,
        };
        Job {
            number,
            id,
            priority: settings.priority,
            class: work_class(profile, &spec),
            shape: spec.covering_shape(),
            start_within_ms: within_ms.min(settings.start_within_ms),
            task_timeout_ms: settings.task_timeout_ms,
            submitted: Instant::now(),
            state: Mutex::new(state),
            done: async_channel::bounded(1),
            spec,
        }
    }

    /// Returns a receiver that ends when the answer is recorded.
    pub(crate) fn done(&self) -> Receiver<()> {
        self.done.1.clone()
    }

    pub(crate) fn announce_done(&self) {
        self.done.0.close();
    }
}

/// Describes the work for the dispatcher; the declared size is part of the key,
/// so that what a declaration is worth is learned too.
fn work_class(profile: &Profile, spec: &JobSpec) -> v1::WorkClass {
    let settings = profile.settings();
    let declared_ms = spec.declared_ms();
    let size = declared_ms.map_or(0, |ms| u32::BITS - ms.leading_zeros());
    let work = xxh3_64(format!("{}/{size}", profile.name()).as_bytes());
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

/// The jobs in progress of a home, found by number and by submission.
#[derive(Debug, Default)]
pub(crate) struct Jobs {
    /// Sorted by number.
    by_number: Vec<Arc<Job>>,
    /// Sorted by submission.
    by_id: Vec<Arc<Job>>,
    next_number: u64,
}

impl Jobs {
    pub(crate) const fn next_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    pub(crate) fn insert(&mut self, job: Arc<Job>) {
        if let Err(at) = self.by_id.binary_search_by_key(&job.id, |other| other.id) {
            self.by_id.insert(at, job.clone());
        }
        if let Err(at) = self.by_number.binary_search_by_key(&job.number, |other| other.number) {
            self.by_number.insert(at, job);
        }
    }

    pub(crate) fn remove(&mut self, job: &Job) {
        if let Ok(at) = self.by_id.binary_search_by_key(&job.id, |other| other.id) {
            self.by_id.remove(at);
        }
        if let Ok(at) = self.by_number.binary_search_by_key(&job.number, |other| other.number) {
            self.by_number.remove(at);
        }
    }

    pub(crate) fn by_number(&self, number: u64) -> Option<Arc<Job>> {
        let at = self.by_number.binary_search_by_key(&number, |job| job.number).ok()?;
        Some(self.by_number[at].clone())
    }

    pub(crate) fn by_id(&self, id: &SubmissionId) -> Option<Arc<Job>> {
        let at = self.by_id.binary_search_by_key(id, |job| job.id).ok()?;
        Some(self.by_id[at].clone())
    }

    pub(crate) fn all(&self) -> Vec<Arc<Job>> {
        self.by_number.clone()
    }
}
