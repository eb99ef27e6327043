//! Queue, admission and placement for the targets of one zone.

mod action;
mod admission;
mod due;
mod job_state;
mod lending;
mod listings;
mod place;

use std::sync::Arc;

use ggb_telemetry::log_event;

use crate::{
    JobAnswer, JobId, RefusalReason, Run, RunPhase, RunTimes, Target, TargetInfo,
    dispatcher::{
        job_state::{JobPhase, JobState},
        lending::{Lender, LentPart},
    },
};

pub use crate::dispatcher::{
    action::{Action, Load, StartOutcome, Ticket},
    lending::{LENT_GONE_MS, LentOutcome},
};

/// The most answers that are kept.
const ANSWERS_MAX: usize = 8_192;

/// The share of its objective for which a job waits for its first start, in percent: what
/// starts later than this has little chance to be in time.
const QUEUE_SHARE_PERCENT: u64 = 35;

/// The pause between two extra listings that are asked of one target.
const LOOK_PAUSE_MS: u64 = 100;

#[derive(Debug)]
struct KeptAnswer {
    job: JobId,
    part: Option<u64>,
    answer: JobAnswer,
    at_ms: u64,
}

/// Sole owner of the targets of one zone.
#[derive(Debug)]
pub struct Dispatcher {
    /// When it took over.
    since_ms: u64,
    /// When it was last told anything.
    told_at_ms: u64,
    /// Since when it makes sure after a pause that the targets are still its own.
    verifies_since_ms: Option<u64>,
    /// Sorted by name.
    targets: Vec<Target>,
    /// The targets of other zones, sorted by name; they are reached by lending.
    far_targets: Vec<TargetInfo>,
    /// Sorted by job.
    jobs: Vec<JobState>,
    /// Jobs with waiting tasks, sorted by priority and time.
    waiting: Vec<WaitingJob>,
    /// Sorted by job.
    answers: Vec<KeptAnswer>,
    run_times: RunTimes,
    actions: Vec<Action>,
    looked_at: Vec<(Arc<str>, u64)>,
    fenced: bool,
    /// The processor time that a task usually takes.
    usual_cpu_milli: u64,
    /// Other zones, sorted by name.
    lenders: Vec<Lender>,
    lent_parts: Vec<LentPart>,
    next_part: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct WaitingJob {
    /// Whether it can't be in time any more; it then goes after all that can.
    is_late: bool,
    priority: u8,
    since_ms: u64,
    job: JobId,
}

impl Dispatcher {
    /// Returns a dispatcher that took over at `now_ms` and knows no targets yet.
    ///
    /// The parts that it lends are numbered from `first_part`; no two dispatchers may use the
    /// same numbers, since answers are kept under them.
    pub const fn new(run_times: RunTimes, first_part: u64, now_ms: u64) -> Self {
        Dispatcher {
            since_ms: now_ms,
            told_at_ms: now_ms,
            verifies_since_ms: None,
            targets: Vec::new(),
            far_targets: Vec::new(),
            jobs: Vec::new(),
            waiting: Vec::new(),
            answers: Vec::new(),
            run_times,
            actions: Vec::new(),
            looked_at: Vec::new(),
            fenced: false,
            usual_cpu_milli: 0,
            lenders: Vec::new(),
            lent_parts: Vec::new(),
            next_part: first_part,
        }
    }

    /// Returns what is to be done, oldest first, and forgets it.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns whether a target said that another dispatcher has taken it over.
    pub const fn is_fenced_off(&self) -> bool {
        self.fenced
    }

    /// Returns the targets, sorted by name.
    pub fn targets(&self) -> &[Target] {
        &self.targets
    }

    /// Returns a target for changes that no decision depends on.
    pub fn target_mut(&mut self, id: &str) -> Option<&mut Target> {
        let at = self.target_index(id)?;
        Some(&mut self.targets[at])
    }

    /// Returns the learned run times, for the next dispatcher.
    pub const fn run_times(&self) -> &RunTimes {
        &self.run_times
    }

    /// Returns how busy the targets are.
    pub fn load(&self) -> Load {
        let mut load =
            Load { jobs: self.jobs.len(), targets: self.targets.len(), ..Load::default() };
        for target in self.targets.iter().filter(|target| target.is_sound()) {
            load.sound_targets += 1;
            load.total_cpu_milli += target.info().capacity.cpu_milli;
            load.free_cpu_milli += target.free().cpu_milli;
            load.free_tasks += target.free().cpu_milli / self.usual_cpu_milli.max(1);
        }
        for job in self.waiting.iter().filter_map(|waiting| self.job(waiting.job)) {
            load.queued_tasks += job.waiting_tasks() as u64;
            load.queued_cpu_milli += job.waiting_cpu_milli();
        }
        load
    }

    /// Returns how many jobs wait for room, by priority, most urgent first.
    pub fn queued_jobs(&self) -> Vec<(u8, usize)> {
        let mut queued: Vec<(u8, usize)> = Vec::new();
        for waiting in &self.waiting {
            match queued.binary_search_by_key(&waiting.priority, |(priority, _)| *priority) {
                Ok(at) => queued[at].1 += 1,
                Err(at) => queued.insert(at, (waiting.priority, 1)),
            }
        }
        queued
    }

    /// Takes in an entry of the list of targets.
    pub fn upsert_target(&mut self, info: TargetInfo) {
        match self.targets.binary_search_by(|target| target.info().id.cmp(&info.id)) {
            Ok(at) => self.targets[at].update(info),
            Err(at) => self.targets.insert(at, Target::new(info)),
        }
    }

    /// Takes in an entry of the list of targets for a target of another zone.
    pub fn upsert_far_target(&mut self, info: TargetInfo) {
        match self.far_targets.binary_search_by(|target| target.id.cmp(&info.id)) {
            Ok(at) => self.far_targets[at] = info,
            Err(at) => self.far_targets.insert(at, info),
        }
    }

    /// Notes that a target has left the list; its runs go on until they end or lapse.
    pub fn target_left(&mut self, id: &str) {
        self.far_targets.retain(|target| *target.id != *id);
        if let Some(target) = self.target_mut(id) {
            target.set_gone();
        }
    }

    /// Drops targets that have left the list and run nothing. Returns their names.
    pub fn forget_gone(&mut self) -> Vec<Arc<str>> {
        let is_over = |target: &Target| target.is_gone() && target.runs().is_empty();
        let over = self.targets.iter().filter(|target| is_over(target));
        let names: Vec<Arc<str>> = over.map(|target| Arc::clone(&target.info().id)).collect();
        self.targets.retain(|target| !is_over(target));
        self.looked_at.retain(|(looked, _)| !names.contains(looked));
        names
    }

    /// Notes that the caller of `ticket` waits no longer.
    pub fn withdraw(&mut self, ticket: Ticket, now_ms: u64) {
        for job in &mut self.jobs {
            job.withdraw(ticket, now_ms);
        }
    }

    /// Gives up all targets and tells every caller to turn to the next dispatcher.
    pub fn step_down(&mut self) {
        for job in self.jobs.drain(..) {
            let moved = job.tickets().iter().map(|ticket| Action::Answer {
                ticket: *ticket,
                answer: JobAnswer::Moved {
                    done: job.done_tasks(),
                    earlier_runs: job.earlier_runs(),
                },
            });
            self.actions.extend(moved);
        }
        self.waiting.clear();
        self.lent_parts.clear();
    }

    /// Takes in what a target made of an order to start `run`.
    pub fn start_settled(
        &mut self,
        id: &str,
        run: Run,
        token_offset: u64,
        outcome: StartOutcome,
        clock_ms: Option<u64>,
        now_ms: u64,
    ) {
        self.note_time(now_ms);
        let Some(at) = self.target_index(id) else { return };
        let target = &mut self.targets[at];
        // An order that was meant for an earlier life of the target has a lower token.
        self.fenced |= outcome == StartOutcome::Fenced && token_offset == target.token_offset();
        if let Some(clock_ms) = clock_ms {
            target.read_clock(clock_ms, now_ms);
        }
        let Some(held) = target.runs().iter().find(|held| held.run == run).copied() else { return };
        match outcome {
            StartOutcome::Accepted if held.phase == RunPhase::Ordered => {
                target.set_phase(run, RunPhase::Running, now_ms);
                return;
            }
            StartOutcome::Unanswered if held.phase == RunPhase::Ordered => {
                target.set_phase(run, RunPhase::Unanswered, now_ms);
                log_event!(warn, StartUnanswered, run = %run, target = id);
                return;
            }
            StartOutcome::Accepted | StartOutcome::Unanswered => return,
            // A listing has shown the run since the order was sent; only the next one ends it.
            _ if held.is_confirmed => return,
            StartOutcome::NoRoom => target.pause_for_room(now_ms),
            StartOutcome::Unhealthy | StartOutcome::Invalid => target.eject(now_ms),
            StartOutcome::OtherLife => target.set_gone(),
            StartOutcome::NotSent => {
                target.set_unreachable(true);
            }
            StartOutcome::OldRun | StartOutcome::TooLate | StartOutcome::Fenced => {}
        }
        target.release(run);
        log_event!(warn, StartRefused, run = %run, target = id, outcome = ?outcome);
        self.look(at, now_ms);
        self.task_freed(run, id, false, now_ms);
        self.place(now_ms);
    }

    /// Notes whether a target answered the last time it was asked for a listing.
    pub fn target_answers(&mut self, id: &str, answers: bool, now_ms: u64) {
        let Some(at) = self.target_index(id) else { return };
        match (self.targets[at].set_unreachable(!answers), answers) {
            (true, true) => log_event!(info, TargetReachable, target = id),
            (true, false) => log_event!(warn, TargetUnreachable, target = id),
            (false, _) => return,
        }
        if answers {
            self.place(now_ms);
        }
    }

    /// Returns whether something waits for the next tick.
    pub fn is_busy(&self) -> bool {
        !self.jobs.is_empty()
    }

    fn refuse(&mut self, id: JobId, reason: RefusalReason, retry_after_ms: u64, now_ms: u64) {
        if let Some(job) = self.job(id) {
            let waited_ms = now_ms - job.sent_at_ms();
            log_event!(
                info, JobRefused, job = %id, queue = %job.submission().queue.name,
                reason = ?reason, objective_ms = job.objective_ms(), waited_ms, retry_after_ms,
                free_cpu_milli = self.load().free_cpu_milli,
                largest_free_cpu_milli = self.largest_free(now_ms).cpu_milli
            );
        }
        self.answer(id, &JobAnswer::Refused { reason, retry_after_ms });
        self.close(id, JobPhase::Abandoned, now_ms);
    }

    /// Answers every caller of a job; answers that are final are kept.
    fn answer(&mut self, id: JobId, answer: &JobAnswer) {
        let Some(job) = self.job_mut(id) else { return };
        let tickets = job.take_tickets().into_iter();
        let answers = tickets.map(|ticket| Action::Answer { ticket, answer: answer.clone() });
        self.actions.extend(answers);
    }

    fn keep_answer(&mut self, job: JobId, answer: JobAnswer, at_ms: u64) {
        let part = self.job(job).and_then(|state| state.submission().part);
        let kept = KeptAnswer { job, part, answer, at_ms };
        match self.answers.binary_search_by_key(&job, |kept| kept.job) {
            Ok(at) => self.answers[at] = kept,
            Err(at) => self.answers.insert(at, kept),
        }
        if self.answers.len() > ANSWERS_MAX {
            let oldest = (0..self.answers.len()).min_by_key(|at| self.answers[*at].at_ms);
            self.answers.remove(oldest.unwrap_or(0));
        }
    }

    /// Ends a job: nothing more of it starts, and what runs is stopped.
    fn close(&mut self, id: JobId, phase: JobPhase, now_ms: u64) {
        self.unqueue(id);
        let Some(job) = self.job_mut(id) else { return };
        job.set_phase(phase);
        let assigned: Vec<(Arc<str>, Run)> = job.assigned().collect();
        let lent_parts = self.lent_parts.iter().filter(|lent| lent.job == id);
        self.actions.extend(lent_parts.map(|lent| Action::Recall { part: lent.part }));
        for (target, run) in assigned {
            if let Some(at) = self.target_index(&target) {
                self.stop(at, run, now_ms);
            }
        }
        self.remove_if_over(id);
    }

    fn remove_if_over(&mut self, id: JobId) {
        if let Ok(at) = self.jobs.binary_search_by_key(&id, JobState::id)
            && self.jobs[at].is_over()
        {
            self.jobs.remove(at);
        }
    }

    fn stop(&mut self, at: usize, run: Run, now_ms: u64) {
        let target = &mut self.targets[at];
        if target.note_stop(run, now_ms) {
            let token_offset = target.token_offset();
            let (target, addr) = (Arc::clone(&target.info().id), target.info().addr);
            self.actions.push(Action::Stop { target, addr, run, token_offset });
        }
    }

    fn look(&mut self, at: usize, now_ms: u64) {
        let target = Arc::clone(&self.targets[at].info().id);
        match self.looked_at.binary_search_by(|(looked, _)| looked.cmp(&target)) {
            Ok(found) if now_ms < self.looked_at[found].1 + LOOK_PAUSE_MS => return,
            Ok(found) => self.looked_at[found].1 = now_ms,
            Err(place) => self.looked_at.insert(place, (Arc::clone(&target), now_ms)),
        }
        self.actions.push(Action::Look { target });
    }

    /// Returns a task whose run is over to the queue, unless its job is over.
    fn task_freed(&mut self, run: Run, on: &str, has_failed: bool, now_ms: u64) {
        let Some(job) = self.job_mut(run.task.job) else { return };
        if !job.free(run, on, has_failed) {
            return;
        }
        match job.phase() {
            JobPhase::Open if job.is_exhausted(run.task) => {
                log_event!(info, JobFailed, job = %run.task.job, run = %run);
                self.finish(run.task.job, JobAnswer::Failed, now_ms);
            }
            JobPhase::Open => self.enqueue(run.task.job),
            JobPhase::Abandoned | JobPhase::Finished => self.remove_if_over(run.task.job),
        }
    }

    fn finish(&mut self, id: JobId, answer: JobAnswer, now_ms: u64) {
        self.answer(id, &answer);
        self.keep_answer(id, answer, now_ms);
        self.close(id, JobPhase::Finished, now_ms);
    }

    fn enqueue(&mut self, id: JobId) {
        let Some(waiting) = self.job(id).map(JobState::waiting) else { return };
        if let Err(at) = self.waiting.binary_search(&waiting) {
            self.waiting.insert(at, waiting);
        }
    }

    fn unqueue(&mut self, id: JobId) {
        let Some(waiting) = self.job(id).map(JobState::waiting) else { return };
        if let Ok(at) = self.waiting.binary_search(&waiting) {
            self.waiting.remove(at);
        }
    }

    fn job(&self, id: JobId) -> Option<&JobState> {
        let at = self.jobs.binary_search_by_key(&id, JobState::id).ok()?;
        Some(&self.jobs[at])
    }

    fn job_mut(&mut self, id: JobId) -> Option<&mut JobState> {
        let at = self.jobs.binary_search_by_key(&id, JobState::id).ok()?;
        Some(&mut self.jobs[at])
    }

    fn target_index(&self, id: &str) -> Option<usize> {
        self.targets.binary_search_by(|target| target.info().id.as_ref().cmp(id)).ok()
    }
}
