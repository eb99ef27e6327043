//! Invariants over the runs of the targets and the answers of the callers.

use ggb_placement::{JobAnswer, RunEnd, TaskId};
use ggb_standin::RunRecord;

use super::Simulation;

impl Simulation {
    /// Panics if a task ran twice at the same time, an answer contradicts the runs, or a waiting
    /// caller got no answer.
    pub fn check_invariants(&self) {
        let mut records: Vec<RunRecord> =
            self.targets.iter().flat_map(|target| target.simulated.records(self.now_ms)).collect();
        records.sort_by_key(|record| (record.run.task, record.started_at_ms));
        for pair in records.windows(2) {
            let same_task = pair[0].run.task == pair[1].run.task;
            assert!(
                !same_task || pair[0].ended_at_ms <= pair[1].started_at_ms,
                "two runs of one task overlap: {pair:?}"
            );
        }
        for caller in &self.callers {
            let job = caller.submission.job.id;
            let own_records: Vec<&RunRecord> =
                records.iter().filter(|record| record.run.task.job == job).collect();
            match &caller.answer {
                None => assert!(
                    caller.abandoned,
                    "{job} was sent at {} ms and got no answer; its runs: {own_records:?}",
                    caller.sent_at_ms
                ),
                Some((_, JobAnswer::Completed)) => {
                    let is_done = |index: u16| {
                        own_records
                            .iter()
                            .any(|run| run.run.task.index == index && run.end == RunEnd::Done)
                    };
                    let count = caller.submission.job.steps[0].count;
                    assert!(
                        (0..count).all(is_done),
                        "{job} was answered as completed with tasks not done: {own_records:?}"
                    );
                }
                Some((_, JobAnswer::Failed)) => {
                    let failed = own_records.iter().filter(|run| run.end == RunEnd::Failed).count();
                    let crashes_of = |task: TaskId| {
                        let of_task = own_records.iter().filter(|run| run.run.task == task);
                        of_task.filter(|run| run.end == RunEnd::Lost).count()
                    };
                    let crashed_two = own_records.iter().any(|run| crashes_of(run.run.task) >= 2);
                    assert!(
                        failed >= 3 || crashed_two,
                        "{job} failed after fewer than 3 failed runs, and without a task under \
                         which 2 targets crashed: {own_records:?}"
                    );
                }
                Some((_, JobAnswer::Refused { .. })) => {
                    assert!(
                        own_records.is_empty() || caller.was_interrupted,
                        "{job} was refused although it ran: {own_records:?}"
                    );
                }
                Some((_, answer)) => panic!("{job} got the unexpected answer {answer:?}"),
            }
        }
    }

    /// Returns, for each run of `queue` that crashed its target, the number of the run and the number
    /// of other runs that were lost with the target.
    pub fn crashes_of(&self, queue: &str) -> Vec<(u32, usize)> {
        let is_of_queue = |run: &RunRecord| {
            let job = run.run.task.job;
            let mut callers = self.callers.iter();
            let caller = callers.find(|caller| caller.submission.job.id == job);
            caller.is_some_and(|caller| *caller.submission.queue.name == *queue)
        };
        let mut crashes = Vec::new();
        for target in &self.targets {
            let records = target.simulated.records(self.now_ms);
            let lost: Vec<&RunRecord> =
                records.iter().filter(|run| run.end == RunEnd::Lost).collect();
            for crash in lost.iter().filter(|run| is_of_queue(run)) {
                let lost_with = lost.iter().filter(|run| run.ended_at_ms == crash.ended_at_ms);
                crashes.push((crash.run.number, lost_with.count() - 1));
            }
        }
        crashes
    }

    /// Returns the share of jobs of a queue that completed within their objective of 1.6 times the
    /// run time plus 60 ms.
    pub fn share_within_objective(&self, queue: &str) -> f64 {
        let of_queue =
            self.callers.iter().filter(|caller| caller.submission.queue.name.as_ref() == queue);
        let (mut all, mut within_objective) = (0, 0);
        for caller in of_queue {
            all += 1;
            let objective_ms = caller.work.work_ms * 16 / 10 + 60;
            let until_ms = caller.sent_at_ms + objective_ms;
            if matches!(caller.answer, Some((at_ms, JobAnswer::Completed)) if at_ms <= until_ms) {
                within_objective += 1;
            }
        }
        f64::from(within_objective) / f64::from(all.max(1))
    }
}
