//! What must hold, from what callers and targets saw.

use ggb_placement::RunEnd;
use ggb_standin::RunRecord;

use super::callers::{CallerJob, TryEnd};

/// How long before its end a connection may have been used by a caller who did not know
/// yet that it ends, from the users' bounds.
const CLOSING_RACE_MS: u64 = 200;

/// The most runs of a task, from the queue's rules.
const ATTEMPTS_MAX: usize = 3;

/// Returns what does not hold.
pub fn broken_promises(jobs: &[CallerJob], records: &[RunRecord], is_planned: bool) -> Vec<String> {
    let mut broken = Vec::new();
    for pair in records.windows(2) {
        let same_task = pair[0].run.task == pair[1].run.task;
        if same_task && pair[0].ended_at_ms > pair[1].began_at_ms {
            broken.push(format!("two runs at the same time: {pair:?}"));
        }
    }
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

fn broken_for(
    job: &CallerJob,
    records: &[&RunRecord],
    is_planned: bool,
) -> impl Iterator<Item = &'static str> {
    let ended = |task: u16, end| {
        let runs = records.iter().filter(move |record| record.run.task.index == task);
        runs.filter(move |record| record.end == end).count()
    };
    let all_done = (0..job.tasks).all(|task| ended(task, RunEnd::Done) > 0);
    let any_spent = (0..job.tasks).any(|task| ended(task, RunEnd::Failed) >= ATTEMPTS_MAX);
    let was_lost = job.tries.iter().any(|tried| {
        let is_late = tried.took_ms > CLOSING_RACE_MS || !records.is_empty();
        tried.end == TryEnd::BrokenOff && is_late
    });
    [
        (job.was_told("completed") && !all_done, "said to be completed, and a task is not"),
        (job.was_told("failed") && !any_spent, "said to have failed, with attempts left"),
        (job.was_refused() && !records.is_empty(), "refused, and a task was started"),
        (is_planned && was_lost, "no answer, with nothing but planned work"),
        (records.iter().any(|record| record.run.task.index >= job.tasks), "a task of no job"),
    ]
    .into_iter()
    .filter_map(|(is_broken, what)| is_broken.then_some(what))
}
