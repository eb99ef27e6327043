//! Choice of the target for a task.

use std::cmp::Reverse;

use crate::{
    Dispatcher, Run, StepSpec, Target, TaskId, dispatcher::job_state::JobState, target::scale_ms,
};

/// Share of its expected time that a run may take, in percent, if it is to end in time with good
/// probability. Run times spread around the expected time, and a job ends with its slowest task.
const RUN_TIME_MARGIN_PERCENT: u64 = 120;

/// Rank of a target for a task; the lowest is chosen.
type Rank = (bool, bool, bool, bool, u64, u64, Reverse<u64>);

impl Dispatcher {
    /// Returns the target for a task, among those that fit it.
    ///
    /// Targets on which the task is expected to end early enough for the objective of its job come
    /// first, and among these one in the rack of the task's data, then the one with the least CPU time
    /// left over, then the slower one. If there is none, the one with the earliest expected end is
    /// chosen. Targets in a slow phase come after all of these, and the target where the task failed
    /// last comes last. While it is not known how much longer tasks take off the rack of their data,
    /// targets in the rack come first.
    ///
    /// A task that may have crashed a target gets a target of its own.
    pub(super) fn choose_target(
        &self,
        job: &JobState,
        task: TaskId,
        avoided_target: Option<&str>,
        now_ms: u64,
    ) -> Option<usize> {
        let step = job.step(task);
        let fits = |target: &Target| {
            self.may_start_on(target, job, now_ms)
                && self.may_share_target(task, target)
                && target.free().fits(&step.demand)
                && target.has_label(step.required_label.as_deref())
                && is_below_per_target_limit(target, step, task)
        };
        let near_ms = job.expected_ms[usize::from(task.step)];
        let far_ms = scale_ms(near_ms, self.far_factor());
        let is_far_factor_known = self.is_far_factor_known();
        let max_run_ms =
            job.latest_end_ms(task.step).saturating_sub(now_ms) * 100 / RUN_TIME_MARGIN_PERCENT;
        let rank = |target: &Target| -> Rank {
            let avoided = avoided_target == Some(target.info().id.as_ref());
            let off_rack = !target.info().has_label(step.near_rack.as_deref());
            let run_ms = target.expected_ms(if off_rack { far_ms } else { near_ms });
            let is_late = run_ms > max_run_ms;
            (
                avoided,
                target.speed().is_slow(),
                off_rack && !is_far_factor_known,
                is_late,
                if is_late { run_ms } else { u64::from(off_rack) },
                target.free().saturating_sub(&step.demand).cpu_milli,
                Reverse(run_ms),
            )
        };
        let candidates = self.targets.iter().enumerate().filter(|(_, target)| fits(target));
        candidates.min_by_key(|(_, target)| rank(target)).map(|(target_index, _)| target_index)
    }
}

fn is_below_per_target_limit(target: &Target, step: &StepSpec, task: TaskId) -> bool {
    let Some(max) = step.max_per_target else { return true };
    let same_step = |run: &Run| run.task.job == task.job && run.task.step == task.step;
    let running = target.runs().iter().filter(|target_run| same_step(&target_run.run)).count();
    running < max as usize
}
