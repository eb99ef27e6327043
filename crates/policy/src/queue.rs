//! Queue of the parts of jobs that wait for slots, for one priority.

use ggb_model::TaskShape;

use crate::{PartKey, WorkloadKey};

/// Waiting time, in milliseconds, that outweighs one millisecond of expected run time.
const RUN_TIME_RANK_WEIGHT: u64 = 8;

/// Maximum number of parts at the head of one list that are considered for the next task, so
/// that a part that can't be placed does not block those behind it.
const MAX_LOOKAHEAD_PARTS: usize = 16;

/// A part of a job, with the tasks that still wait for a slot.
#[derive(Clone, Debug)]
pub(crate) struct QueuedPart {
    pub(crate) key: PartKey,
    pub(crate) team: usize,
    pub(crate) shape: TaskShape,
    pub(crate) workload: WorkloadKey,
    pub(crate) remaining_tasks: u16,
    /// Geometric mean run time, which sets the order and the charge to the team.
    pub(crate) typical_run_ms: u32,
    /// Arithmetic mean run time, which sets the expected wait.
    pub(crate) mean_run_ms: u32,
    pub(crate) is_long: bool,
    pub(crate) arrived_ms: u64,
}

impl QueuedPart {
    /// Returns the rank in the queue; the lowest is served first.
    ///
    /// Short work goes first. The arrival time bounds how long later parts can overtake a
    /// part, so that none starves.
    const fn rank(&self) -> u64 {
        self.arrived_ms + RUN_TIME_RANK_WEIGHT * self.typical_run_ms as u64
    }

    /// Returns the sum of the expected run times of the remaining tasks, each multiplied by the
    /// slots that the task occupies, in milliseconds.
    pub(crate) fn slot_ms(&self) -> u64 {
        u64::from(self.mean_run_ms) * u64::from(self.remaining_tasks) * u64::from(self.shape.slots)
    }
}

/// Queued parts of one team; both lists are sorted by descending rank, so that the next part
/// is last.
#[derive(Clone, Debug, Default)]
struct TeamQueue {
    team: usize,
    short: Vec<QueuedPart>,
    long: Vec<QueuedPart>,
}

impl TeamQueue {
    fn parts_mut(&mut self, is_long: bool) -> &mut Vec<QueuedPart> {
        match is_long {
            true => &mut self.long,
            false => &mut self.short,
        }
    }

    const fn is_empty(&self) -> bool {
        self.short.is_empty() && self.long.is_empty()
    }

    /// Returns the eligible part with the lowest rank and its index in its list.
    ///
    /// Long parts are considered only with `allow_long`.
    fn next_part(
        &self,
        allow_long: bool,
        is_eligible: impl Fn(&QueuedPart) -> bool,
    ) -> Option<(usize, &QueuedPart)> {
        let next = |parts: &'_ [QueuedPart]| {
            let start = parts.len().saturating_sub(MAX_LOOKAHEAD_PARTS);
            parts[start..].iter().rposition(&is_eligible).map(|index| start + index)
        };
        let short = next(&self.short).map(|index| (index, &self.short[index]));
        let long = match allow_long {
            true => next(&self.long).map(|index| (index, &self.long[index])),
            false => None,
        };
        match (short, long) {
            (Some((_, short)), Some((index, long))) if long.rank() < short.rank() => {
                Some((index, long))
            }
            (Some(short), _) => Some(short),
            (None, long) => long,
        }
    }
}

/// Queued parts of all teams at one priority.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    /// Sorted by team.
    team_queues: Vec<TeamQueue>,
    /// Number of queued tasks.
    tasks: u32,
    /// Sum of the expected run times of the queued tasks, each multiplied by the slots that the
    /// task occupies, in milliseconds.
    slot_ms: u64,
}

/// Position of a part in a queue; valid until the queue changes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PartPosition {
    team_queue: usize,
    is_long: bool,
    index: usize,
}

impl Queue {
    /// Inserts a part by its rank.
    pub(crate) fn push(&mut self, part: QueuedPart) {
        self.tasks += u32::from(part.remaining_tasks);
        self.slot_ms += part.slot_ms();
        let found = self.team_queues.binary_search_by_key(&part.team, |team_queue| team_queue.team);
        let index = found.unwrap_or_else(|index| {
            self.team_queues.insert(index, TeamQueue { team: part.team, ..TeamQueue::default() });
            index
        });
        let parts = self.team_queues[index].parts_mut(part.is_long);
        let rank = part.rank();
        let position = parts.partition_point(|other| other.rank() > rank);
        parts.insert(position, part);
    }

    /// Returns the next eligible part of the team with the least virtual time.
    ///
    /// `virtual_time_ms` returns the virtual time of a team, and `is_eligible` whether a part
    /// may be served now.
    pub(crate) fn next_part(
        &self,
        allow_long: bool,
        virtual_time_ms: impl Fn(usize) -> f64,
        is_eligible: impl Fn(&QueuedPart) -> bool,
    ) -> Option<(PartPosition, &QueuedPart)> {
        let candidates = self.team_queues.iter().enumerate().filter_map(|(team_queue, queue)| {
            let (index, part) = queue.next_part(allow_long, &is_eligible)?;
            Some((PartPosition { team_queue, is_long: part.is_long, index }, part))
        });
        candidates
            .min_by(|(_, a), (_, b)| virtual_time_ms(a.team).total_cmp(&virtual_time_ms(b.team)))
    }

    /// Takes one task from the part at `position`, and removes the part with its last task.
    ///
    /// The returned copy has the number of tasks that remain.
    pub(crate) fn take_task(&mut self, position: PartPosition) -> Option<QueuedPart> {
        let parts = self.team_queues[position.team_queue].parts_mut(position.is_long);
        let part = parts.get_mut(position.index)?;
        let previous_slot_ms = part.slot_ms();
        part.remaining_tasks -= 1;
        let updated_part = part.clone();
        self.slot_ms -= previous_slot_ms - part.slot_ms();
        self.tasks -= 1;
        if updated_part.remaining_tasks == 0 {
            parts.remove(position.index);
        }
        self.remove_if_empty(position.team_queue);
        Some(updated_part)
    }

    /// Removes and returns all parts whose key matches.
    pub(crate) fn remove(&mut self, matches: impl Fn(&PartKey) -> bool) -> Vec<QueuedPart> {
        let mut removed = Vec::new();
        for team_queue in &mut self.team_queues {
            removed.extend(team_queue.short.extract_if(.., |part| matches(&part.key)));
            removed.extend(team_queue.long.extract_if(.., |part| matches(&part.key)));
        }
        self.team_queues.retain(|team_queue| !team_queue.is_empty());
        for part in &removed {
            self.tasks -= u32::from(part.remaining_tasks);
            self.slot_ms -= part.slot_ms();
        }
        removed
    }

    pub(crate) const fn tasks(&self) -> u32 {
        self.tasks
    }

    pub(crate) const fn slot_ms(&self) -> u64 {
        self.slot_ms
    }

    fn remove_if_empty(&mut self, index: usize) {
        if self.team_queues[index].is_empty() {
            self.team_queues.remove(index);
        }
    }
}
