//! Invariants of the soak, checked against callers' responses and targets' records.

use ggb_placement::RunEnd;
use ggb_standin::RunRecord;

use crate::{
    callers::{CallerJob, RequestEnd},
    fleet::concurrent_runs,
};

/// Maximum time after which a connection may end without a response in a planned stop, since
/// the caller may have sent the request before it learned that the connection was closing. The
/// users state this bound.
const MAX_CLOSING_RACE_MS: u64 = 200;

/// Maximum number of runs of a task, the `maxAttempts` of the queue.
const MAX_ATTEMPTS: usize = 3;

/// Number of targets that crash under a task after which its job may be reported as failed.
const MIN_CRASHES_OF_FAILED_TASK: usize = 2;

/// Number of targets that may crash under a task: the users allow two starts after the third crash.
const MAX_CRASHES: usize = 5;

/// Returns a description of each violated invariant.
pub fn violations(jobs: &[CallerJob], records: &[RunRecord], planned_only: bool) -> Vec<String> {
    let pairs = concurrent_runs(records).into_iter();
    let mut violations: Vec<String> =
        pairs.map(|pair| format!("two runs of one task overlap: {pair:?}")).collect();
    for job in jobs {
        let job_records = records.iter().filter(|record| record.run.task.job.as_str() == job.id);
        let job_records: Vec<&RunRecord> = job_records.collect();
        violations.extend(
            job_violations(job, &job_records, planned_only)
                .map(|violation| format!("{violation}: {job:?}, runs: {job_records:?}")),
        );
    }
    violations
}

/// Returns the step and index of a run's task.
const fn task_position(record: &RunRecord) -> (u16, u16) {
    (record.run.task.step, record.run.task.index)
}

fn job_violations(
    job: &CallerJob,
    records: &[&RunRecord],
    planned_only: bool,
) -> impl Iterator<Item = &'static str> {
    let tasks = job.tasks();
    let runs_with_end = |task: (u16, u16), end| {
        let runs = records.iter().filter(move |record| task_position(record) == task);
        runs.filter(move |record| record.end == end)
    };
    let all_done = tasks.iter().all(|task| runs_with_end(*task, RunEnd::Done).count() > 0);
    let crashes = |task: &(u16, u16)| runs_with_end(*task, RunEnd::Lost).count();
    let any_exhausted = tasks.iter().any(|task| {
        runs_with_end(*task, RunEnd::Failed).count() >= MAX_ATTEMPTS
            || crashes(task) >= MIN_CRASHES_OF_FAILED_TASK
    });
    let started_early = |record: &RunRecord| {
        let (step, _) = task_position(record);
        let mut before = tasks.iter().filter(|(earlier, _)| *earlier < step);
        let is_done = |task| {
            runs_with_end(task, RunEnd::Done).any(|done| done.ended_at_ms <= record.started_at_ms)
        };
        !before.all(|task| is_done(*task))
    };
    // A request that is sent while its connection closes may get no response, but only if the
    // connection ends within MAX_CLOSING_RACE_MS and no task was run for it.
    let lost_response = job.requests.iter().enumerate().any(|(index, request)| {
        let next_sent_ms = job.requests.get(index + 1).map_or(u64::MAX, |next| next.sent_unix_ms);
        let has_run = records.iter().any(|record| {
            record.started_at_ms < next_sent_ms && record.ended_at_ms > request.sent_unix_ms
        });
        let is_outside_closing_race = request.took_ms > MAX_CLOSING_RACE_MS || has_run;
        request.end == RequestEnd::ConnectionLost && is_outside_closing_race
    });
    [
        (job.was_reported("completed") && !all_done, "reported completed, but a task is not done"),
        (
            job.was_reported("failed") && !any_exhausted,
            "reported failed, but no task used all attempts or crashed two targets",
        ),
        (
            tasks.iter().any(|task| crashes(task) > MAX_CRASHES),
            "a task was started three times after three targets had crashed under it",
        ),
        (job.was_refused() && !records.is_empty(), "refused, but a task was started"),
        (planned_only && lost_response, "no response, although all faults were planned operations"),
        (
            records.iter().any(|record| started_early(record)),
            "a task started before the steps that it depends on were done",
        ),
        (
            records.iter().any(|record| !tasks.contains(&task_position(record))),
            "a run of a task that the job does not have",
        ),
    ]
    .into_iter()
    .filter_map(|(is_violated, violation)| is_violated.then_some(violation))
}
