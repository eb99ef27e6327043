//! Targets that were lost while they ran tasks.
//!
//! A task may crash each target that starts it. Every owner remembers which targets were lost
//! under which task, and shares this with the other processes, so that neither a change of the
//! owner nor a resubmission of the job starts the count anew.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{JobId, TaskId};

/// Number of crashed targets at which a task is to blame, if one of them ran nothing else.
const DEADLY_CRASHES: usize = 2;

/// Time for which a loss is remembered after it was last updated. Callers send a job again
/// within seconds.
const RETENTION_MS: u64 = 60_000;

/// Maximum number of remembered losses; beyond it the oldest are dropped.
const MAX_LOSSES: usize = 4_096;

/// What is known about the reason for a loss; a later variant rests on stronger evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LossCause {
    /// The target stopped answering: it crashed, or is cut off.
    Unknown,
    /// The target crashed: another incarnation replaced it, or it left the target list.
    Crashed,
    /// The target was only cut off, since the same incarnation answered later.
    CutOff,
}

/// A target that was lost while it ran a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct TargetLoss {
    /// The task, written as in a start request.
    #[serde(with = "task_text")]
    pub task: TaskId,
    /// Id of the target.
    pub target: Arc<str>,
    /// Start of the lost incarnation of the target, in ms since 1970.
    pub started_unix_ms: u64,
    /// Number of times that the target stopped answering again after it had only been cut off.
    pub revision: u32,
    /// What is known about the reason.
    pub cause: LossCause,
    /// Whether the target had confirmed that it started the task.
    pub has_started: bool,
    /// Whether the target ran nothing else.
    pub was_alone: bool,
}

impl TargetLoss {
    const fn key(&self) -> (TaskId, &Arc<str>, u64) {
        (self.task, &self.target, self.started_unix_ms)
    }

    const fn evidence(&self) -> (u32, LossCause, bool) {
        (self.revision, self.cause, self.has_started)
    }
}

#[derive(Clone, Debug)]
struct RememberedLoss {
    loss: TargetLoss,
    updated_at_ms: u64,
}

/// The losses that a process knows of, from its own observations and from its peers.
///
/// Merging is idempotent and its order does not matter, so losses can be exchanged repeatedly.
#[derive(Clone, Debug, Default)]
pub struct TargetLosses {
    /// Sorted by task, target and incarnation.
    losses: Vec<RememberedLoss>,
}

impl TargetLosses {
    /// Returns an empty collection.
    pub const fn new() -> Self {
        TargetLosses { losses: Vec::new() }
    }

    /// Returns whether no loss is remembered.
    pub fn is_empty(&self) -> bool {
        self.losses.is_empty()
    }

    /// Returns the number of remembered losses.
    pub(crate) const fn len(&self) -> usize {
        self.losses.len()
    }

    /// Adds a loss of a peer, or updates what is known about its cause. Returns whether anything
    /// is new.
    pub fn merge(&mut self, loss: &TargetLoss, now_ms: u64) -> bool {
        match self.find(&loss.key()) {
            Ok(index) if self.losses[index].loss.evidence() >= loss.evidence() => false,
            Ok(index) => {
                let mut loss = loss.clone();
                let known = &self.losses[index].loss;
                loss.has_started |= known.has_started;
                loss.was_alone &= known.was_alone || known.cause == LossCause::CutOff;
                self.losses[index] = RememberedLoss { loss, updated_at_ms: now_ms };
                true
            }
            Err(index) => {
                let remembered = RememberedLoss { loss: loss.clone(), updated_at_ms: now_ms };
                self.losses.insert(index, remembered);
                self.drop_oldest();
                true
            }
        }
    }

    /// Records a loss that this process observed.
    pub fn record(&mut self, mut loss: TargetLoss, now_ms: u64) {
        if let Ok(index) = self.find(&loss.key()) {
            let known = &self.losses[index].loss;
            loss.revision = known.revision + u32::from(known.cause == LossCause::CutOff);
        }
        self.merge(&loss, now_ms);
    }

    /// Records that a run of `task` outlived the incarnation `started_unix_ms` of its target, so
    /// that it was started by a later one.
    pub fn record_survival(
        &mut self,
        task: TaskId,
        target: &Arc<str>,
        started_unix_ms: u64,
        now_ms: u64,
    ) {
        if let Ok(index) = self.find(&(task, target, started_unix_ms)) {
            self.losses[index].loss.cause = LossCause::CutOff;
            self.losses[index].updated_at_ms = now_ms;
        }
    }

    /// Records that the incarnation `started_unix_ms` of a target has answered, so that earlier
    /// ones crashed and this one did not. The losses of the `undecided` tasks stay unsettled.
    pub fn record_alive(
        &mut self,
        target: &str,
        started_unix_ms: u64,
        undecided: impl Fn(TaskId) -> bool,
        now_ms: u64,
    ) {
        self.update_causes(target, now_ms, |loss| match loss.started_unix_ms {
            lost if lost < started_unix_ms && undecided(loss.task) => loss.cause,
            lost if lost < started_unix_ms => LossCause::Crashed,
            lost if lost == started_unix_ms => LossCause::CutOff,
            _ => loss.cause,
        });
    }

    /// Records that a target has started as the incarnation `started_unix_ms`, so that earlier ones
    /// crashed.
    pub fn record_restart(&mut self, target: &str, started_unix_ms: u64, now_ms: u64) {
        self.update_causes(target, now_ms, |loss| match loss.started_unix_ms {
            lost if lost < started_unix_ms => LossCause::Crashed,
            _ => loss.cause,
        });
    }

    /// Records that a target left the target list without notice.
    pub fn record_gone(&mut self, target: &str, now_ms: u64) {
        self.update_causes(target, now_ms, |_| LossCause::Crashed);
    }

    fn update_causes(
        &mut self,
        target: &str,
        now_ms: u64,
        cause_of: impl Fn(&TargetLoss) -> LossCause,
    ) {
        for known in self.losses.iter_mut().filter(|known| *known.loss.target == *target) {
            let cause = cause_of(&known.loss);
            if cause > known.loss.cause {
                known.loss.cause = cause;
                known.updated_at_ms = now_ms;
            }
        }
    }

    fn find(&self, key: &(TaskId, &Arc<str>, u64)) -> Result<usize, usize> {
        self.losses.binary_search_by(|known| known.loss.key().cmp(key))
    }

    /// Returns the number of targets that crashed under the task, and of those that may have.
    pub fn count(&self, task: TaskId) -> LossCount {
        let first = self.losses.partition_point(|known| known.loss.task < task);
        let of_task = self.losses[first..].iter().take_while(|known| known.loss.task == task);
        of_task.fold(LossCount::default(), |mut count, known| {
            match known.loss.cause {
                LossCause::Unknown => count.unsettled += 1,
                LossCause::Crashed => {
                    count.crashed += 1;
                    count.started += usize::from(known.loss.has_started);
                    count.alone += usize::from(known.loss.has_started && known.loss.was_alone);
                }
                LossCause::CutOff => {}
            }
            count
        })
    }

    /// Returns a task of the job that is to blame for the loss of targets.
    pub fn deadly_task(&self, job: JobId) -> Option<TaskId> {
        let first = self.losses.partition_point(|known| known.loss.task.job < job);
        let of_job = self.losses[first..].iter().take_while(|known| known.loss.task.job == job);
        of_job.map(|known| known.loss.task).find(|task| self.count(*task).is_deadly())
    }

    /// Returns the losses that were updated at `since_ms` or later.
    pub fn updated_since(&self, since_ms: u64) -> impl Iterator<Item = &TargetLoss> {
        let recent = self.losses.iter().filter(move |known| known.updated_at_ms >= since_ms);
        recent.map(|known| &known.loss)
    }

    /// Drops losses that no resubmission can need any more.
    pub fn prune(&mut self, now_ms: u64) {
        self.losses.retain(|known| now_ms < known.updated_at_ms + RETENTION_MS);
    }

    fn drop_oldest(&mut self) {
        if self.losses.len() <= MAX_LOSSES {
            return;
        }
        let oldest = (0..self.losses.len()).min_by_key(|index| self.losses[*index].updated_at_ms);
        if let Some(oldest) = oldest {
            self.losses.remove(oldest);
        }
    }
}

/// Number of targets that were lost under a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LossCount {
    /// Targets that crashed.
    pub crashed: usize,
    /// Of these, targets that had started the task.
    pub started: usize,
    /// Of these, targets that ran nothing else.
    pub alone: usize,
    /// Targets of which it is not known whether they crashed.
    pub unsettled: usize,
}

/// How a task may be started after targets were lost under it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartRule {
    /// On any target.
    Anywhere,
    /// Only on a target that runs nothing else, which shows whether the task is to blame.
    Alone,
    /// Not before it is known whether targets crashed, or not at all.
    Never,
}

impl LossCount {
    /// Returns whether any target may have crashed because of the task.
    pub const fn is_suspect(&self) -> bool {
        self.crashed + self.unsettled > 0
    }

    /// Returns how the task may be started.
    pub const fn start_rule(&self) -> StartRule {
        match self.crashed + self.unsettled {
            0 => StartRule::Anywhere,
            1 => StartRule::Alone,
            _ if self.is_deadly() || self.unsettled > 0 => StartRule::Never,
            _ => StartRule::Alone,
        }
    }

    /// Returns whether the task is to blame for the loss of targets.
    ///
    /// A task that always ran beside others is not: it may have ended before its target crashed,
    /// without a listing that showed it.
    pub const fn is_deadly(&self) -> bool {
        let is_proven = self.started >= DEADLY_CRASHES && self.alone > 0;
        is_proven || self.crashed > DEADLY_CRASHES
    }
}

/// Serializes a task as text.
mod task_text {
    use serde::{Deserialize as _, Deserializer, Serializer, de::Error as _};

    use crate::TaskId;

    pub(super) fn serialize<S: Serializer>(
        task: &TaskId,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.collect_str(task)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<TaskId, D::Error> {
        String::deserialize(deserializer)?.parse().map_err(D::Error::custom)
    }
}
