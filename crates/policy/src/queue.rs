//! Waiting parts of jobs, in the order in which they are to be served.

use ggb_model::TaskShape;

use crate::{JobKey, WorkKey};

/// One millisecond of expected run time weighs as much as this many of waiting.
const RUN_WEIGHT: u64 = 8;

/// How many parts of one team are tried past one that finds no room.
const LOOKAHEAD: usize = 16;

#[derive(Clone, Debug)]
pub(crate) struct Part {
    pub(crate) key: JobKey,
    pub(crate) team: usize,
    pub(crate) shape: TaskShape,
    pub(crate) work: WorkKey,
    pub(crate) remaining: u16,
    pub(crate) typical_ms: u32,
    pub(crate) mean_ms: u32,
    pub(crate) long: bool,
    pub(crate) arrived_ms: u64,
}

impl Part {
    /// Short work goes first, but every part rises as it waits, so none starves.
    const fn rank(&self) -> u64 {
        self.arrived_ms + RUN_WEIGHT * self.typical_ms as u64
    }

    pub(crate) fn work_ms(&self) -> u64 {
        u64::from(self.mean_ms) * u64::from(self.remaining) * u64::from(self.shape.slots)
    }
}

/// The waiting parts of one team at one priority, next one last.
#[derive(Clone, Debug, Default)]
struct Line {
    team: usize,
    short: Vec<Part>,
    long: Vec<Part>,
}

impl Line {
    fn list_mut(&mut self, long: bool) -> &mut Vec<Part> {
        match long {
            true => &mut self.long,
            false => &mut self.short,
        }
    }

    const fn is_empty(&self) -> bool {
        self.short.is_empty() && self.long.is_empty()
    }

    /// Returns the next part that `allow` lets pass, from the long ones only where
    /// these are allowed, with its position.
    fn front(&self, allow_long: bool, allow: impl Fn(&Part) -> bool) -> Option<(usize, &Part)> {
        let next = |list: &'_ [Part]| {
            let start = list.len().saturating_sub(LOOKAHEAD);
            list[start..].iter().rposition(&allow).map(|at| start + at)
        };
        let short = next(&self.short).map(|at| (at, &self.short[at]));
        let long = match allow_long {
            true => next(&self.long).map(|at| (at, &self.long[at])),
            false => None,
        };
        match (short, long) {
            (Some((_, short)), Some((at, long))) if long.rank() < short.rank() => Some((at, long)),
            (Some(short), _) => Some(short),
            (None, long) => long,
        }
    }
}

/// The waiting parts of one priority.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    /// Sorted by team.
    lines: Vec<Line>,
    tasks: u32,
    work_ms: u64,
}

/// Where a part stands; valid until the queue changes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Place {
    line: usize,
    long: bool,
    index: usize,
}

impl Queue {
    pub(crate) fn push(&mut self, part: Part) {
        self.tasks += u32::from(part.remaining);
        self.work_ms += part.work_ms();
        let found = self.lines.binary_search_by_key(&part.team, |line| line.team);
        let at = found.unwrap_or_else(|at| {
            self.lines.insert(at, Line { team: part.team, ..Line::default() });
            at
        });
        let list = self.lines[at].list_mut(part.long);
        let rank = part.rank();
        let position = list.partition_point(|other| other.rank() > rank);
        list.insert(position, part);
    }

    /// Returns the next part of the team that is furthest behind its fair share.
    ///
    /// `allow` says whether a part may be served now, `service` how much a team
    /// has had.
    pub(crate) fn front(
        &self,
        allow_long: bool,
        service: impl Fn(usize) -> f64,
        allow: impl Fn(&Part) -> bool,
    ) -> Option<(Place, &Part)> {
        let candidates = self.lines.iter().enumerate().filter_map(|(line, entry)| {
            let (index, part) = entry.front(allow_long, &allow)?;
            Some((Place { line, long: part.long, index }, part))
        });
        candidates.min_by(|(_, a), (_, b)| service(a.team).total_cmp(&service(b.team)))
    }

    /// Takes one task of the part at `place`.
    pub(crate) fn take_one(&mut self, place: Place) -> Option<Part> {
        let list = self.lines[place.line].list_mut(place.long);
        let part = list.get_mut(place.index)?;
        let before = part.work_ms();
        part.remaining -= 1;
        let taken = part.clone();
        self.work_ms -= before - part.work_ms();
        self.tasks -= 1;
        if taken.remaining == 0 {
            list.remove(place.index);
        }
        self.drop_empty(place.line);
        Some(taken)
    }

    /// Removes all parts that `gone` names and returns them.
    pub(crate) fn remove(&mut self, gone: impl Fn(&JobKey) -> bool) -> Vec<Part> {
        let mut removed = Vec::new();
        for line in &mut self.lines {
            removed.extend(line.short.extract_if(.., |part| gone(&part.key)));
            removed.extend(line.long.extract_if(.., |part| gone(&part.key)));
        }
        self.lines.retain(|line| !line.is_empty());
        for part in &removed {
            self.tasks -= u32::from(part.remaining);
            self.work_ms -= part.work_ms();
        }
        removed
    }

    pub(crate) const fn tasks(&self) -> u32 {
        self.tasks
    }

    pub(crate) const fn work_ms(&self) -> u64 {
        self.work_ms
    }

    fn drop_empty(&mut self, at: usize) {
        if self.lines[at].is_empty() {
            self.lines.remove(at);
        }
    }
}
