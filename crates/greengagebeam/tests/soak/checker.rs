//! What must hold, from what callers and targets saw.

use ggb_placement::RunEnd;
use ggb_standin::RunRecord;

use crate::{
    callers::{CallerJob, TryEnd},
    fleet::overlapping,
};

/// How long before its end a connection may have been used by a caller who did not know
/// yet that it ends, from the users' bounds.
const CLOSING_RACE_MS: u64 = 200;

/// The most runs of a task, from the queue's rules.
const ATTEMPTS_MAX: usize = 3;

/// Returns what does not hold.
pub fn broken_promises(jobs: &[CallerJob], records: &[RunRecord], is_planned: bool) -> Vec<String> {
    let pairs = overlapping(records).into_iter();
    let mut broken: Vec<String> =
        pairs.map(|pair| format!("two runs at the same time: {pair:?}")).collect();
    for job in jobs {
        let of_job = records.iter().filter(|record| record.run.task.job.as_str() == job.id);
        let of_job: Vec<&RunRecord> = of_job.collect();
        broken.extend(
            broken_for(job, &of_job, is_planned)
                .map(|what| format!("{what}: {job:?}, runs: {of_job:?}")),
        );
    }
    broken
}

/// Returns the step and the index of a run's task.
const fn place_of(record: &RunRecord) -> (u16, u16) {
    (record.run.task.step, record.run.task.index)
}

fn broken_for(
    job: &CallerJob,
    records: &[&RunRecord],
    is_planned: bool,
) -> impl Iterator<Item = &'static str> {
    let tasks = job.tasks();
    let ended = |task: (u16, u16), end| {
        let runs = records.iter().filter(move |record| place_of(record) == task);
        runs.filter(move |record| record.end == end)
    };
    let all_done = tasks.iter().all(|task| ended(*task, RunEnd::Done).count() > 0);
    let any_spent = tasks.iter().any(|task| ended(*task, RunEnd::Failed).count() >= ATTEMPTS_MAX);
    let is_early = |record: &RunRecord| {
        let (step, _) = place_of(record);
        let mut before = tasks.iter().filter(|(earlier, _)| *earlier < step);
        let is_done =
            |task| ended(task, RunEnd::Done).any(|done| done.ended_at_ms <= record.began_at_ms);
        !before.all(|task| is_done(*task))
    };
    let was_lost = job.tries.iter().any(|tried| {
        let is_late = tried.took_ms > CLOSING_RACE_MS || !records.is_empty();
        tried.end == TryEnd::BrokenOff && is_late
    });
    [
        (job.was_told("completed") && !all_done, "said to be completed, and a task is not"),
        (job.was_told("failed") && !any_spent, "said to have failed, with attempts left"),
        (job.was_refused() && !records.is_empty(), "refused, and a task was started"),
        (is_planned && was_lost, "no answer, with nothing but planned work"),
        (records.iter().any(|record| is_early(record)), "a step was started before its turn"),
        (records.iter().any(|record| !tasks.contains(&place_of(record))), "a task of no job"),
    ]
    .into_iter()
    .filter_map(|(is_broken, what)| is_broken.then_some(what))
}
