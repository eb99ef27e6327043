//! Queue, admission and placement for the targets of one zone.

mod admission;
mod job_state;
mod lending;
mod listings;
mod place;

use std::{net::SocketAddr, sync::Arc};

use ggb_telemetry::log_event;

use ggb_model::Zone;

use crate::{
    JobAnswer, JobId, LEASE_GONE_MS, RefusalReason, Run, RunPhase, RunTimes, Submission, Target,
    TargetInfo,
    dispatcher::{
        job_state::{JobPhase, JobState},
        lending::{Lender, LentPart},
    },
};

pub use crate::dispatcher::lending::{LENT_GONE_MS, LentOutcome};

/// How long a job without a caller is kept before its tasks are stopped. A caller's entry
/// process that lost the connection asks again within this time.
const ABANDONED_GRACE_MS: u64 = 150;

/// How long a run of an earlier dispatcher may go on before somebody asks for its job. A new
/// owner says at once that it is there, and what waits for one that is silent gives up
/// within 150 ms of that.
const ORPHAN_GRACE_MS: u64 = 200;

/// How long the answer of a finished job is kept for a repeated request.
const ANSWER_KEPT_MS: u64 = 15_000;

/// The most answers that are kept.
const ANSWERS_MAX: usize = 8_192;

/// The share of its objective for which a job waits for its first start, in percent: what
/// starts later than this has little chance to be in time.
const QUEUE_SHARE_PERCENT: u64 = 35;

/// How long a run may show no progress from one listing to a later one before it is stopped
/// and started elsewhere. The longest tasks, of 8 s, move by a percent each 80 ms.
const STALLED_MS: u64 = 300;

/// How long after its expected end a run is asked about: a target answers at once when a
/// run ends, and silence may mean that the answer was lost.
const OVERDUE_MS: u64 = 40;

/// A pause of the process after which it may have been taken for dead. Another VM claims the
/// targets of an owner that is silent for 450 ms.
const PAUSED_MS: u64 = 400;

/// The pause before an order to stop a run is sent again.
const STOP_RETRY_MS: u64 = 100;

/// The pause between two extra listings that are asked of one target.
const LOOK_PAUSE_MS: u64 = 100;

/// The name that the process gives a caller who waits for an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// What a target made of an order to start a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartOutcome {
    /// It runs.
    Accepted,
    /// There is no room for it.
    NoRoom,
    /// A run with this number, or a higher one, has been there before.
    OldRun,
    /// The order came too late.
    TooLate,
    /// Another dispatcher has taken over the target.
    Fenced,
    /// The target says that it is not healthy.
    Unhealthy,
    /// The target can't make sense of the order.
    Invalid,
    /// Another life of the target answered.
    OtherLife,
    /// The order certainly did not reach the target.
    NotSent,
    /// There was no answer; the target may have begun the run.
    Unanswered,
}

/// What the process has to do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Order a target to start a run.
    Start {
        /// The target.
        target: Arc<str>,
        /// Its address.
        addr: SocketAddr,
        /// The run.
        run: Run,
        /// What to run.
        spec: Arc<str>,
        /// Until when on the target's clock the order is valid.
        valid_until_clock_ms: u64,
        /// What to add to the dispatcher's token.
        token_offset: u64,
    },
    /// Order a target to stop a run.
    Stop {
        /// The target.
        target: Arc<str>,
        /// Its address.
        addr: SocketAddr,
        /// The run.
        run: Run,
        /// What to add to the dispatcher's token.
        token_offset: u64,
    },
    /// Ask a target for a listing at once.
    Look {
        /// The target.
        target: Arc<str>,
    },
    /// Offer part of a job to the dispatcher of another zone.
    Lend {
        /// The number of the part.
        part: u64,
        /// The zone.
        zone: Zone,
        /// The job, with the tasks that are not part of it marked as done.
        submission: Submission,
    },
    /// Give up a part that was lent.
    Recall {
        /// The number of the part.
        part: u64,
    },
    /// Answer a caller.
    Answer {
        /// The caller.
        ticket: Ticket,
        /// The answer.
        answer: JobAnswer,
    },
}

/// How busy the targets of a dispatcher are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// The processor time of all sound targets, in thousandths of a core.
    pub total_cpu_milli: u64,
    /// The processor time that is free on them.
    pub free_cpu_milli: u64,
    /// The processor time that waiting tasks ask for.
    pub queued_cpu_milli: u64,
    /// How many tasks wait.
    pub queued_tasks: u64,
    /// How many tasks of the usual size could start now.
    pub free_tasks: u64,
    /// Jobs that have not ended.
    pub jobs: usize,
    /// Targets, and how many of them are sound.
    pub targets: usize,
    /// Targets that get new work.
    pub sound_targets: usize,
}

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

    /// Takes in an entry of the list of targets.
    pub fn upsert_target(&mut self, info: TargetInfo) {
        match self.targets.binary_search_by(|target| target.info().id.cmp(&info.id)) {
            Ok(at) => self.targets[at].update(info),
            Err(at) => self.targets.insert(at, Target::new(info)),
        }
    }

    /// Notes that a target has left the list; its runs go on until they end or lapse.
    pub fn target_left(&mut self, id: &str) {
        if let Some(target) = self.target_mut(id) {
            target.set_gone();
        }
    }

    /// Drops targets that have left the list and run nothing. Returns their names.
    pub fn forget_gone(&mut self) -> Vec<Arc<str>> {
        let is_over = |target: &Target| target.is_gone() && target.runs().is_empty();
        let over = self.targets.iter().filter(|target| is_over(target));
        let names = over.map(|target| Arc::clone(&target.info().id)).collect();
        self.targets.retain(|target| !is_over(target));
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
            _ if held.phase == RunPhase::Running => return,
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

    /// Does what has become due: lapsed leases, stalled and orphaned runs, abandoned jobs,
    /// refusals of jobs that waited long enough.
    pub fn tick(&mut self, now_ms: u64) {
        self.note_time(now_ms);
        self.lapse_leases(now_ms);
        self.stop_overdue_runs(now_ms);
        self.close_abandoned(now_ms);
        self.refuse_overdue(now_ms);
        self.defer_late(now_ms);
        self.place(now_ms);
        for target in &mut self.targets {
            target.forget_old_ends(now_ms);
        }
        self.answers.retain(|kept| now_ms < kept.at_ms + ANSWER_KEPT_MS);
    }

    /// Returns whether something waits for the next tick.
    pub fn is_busy(&self) -> bool {
        !self.jobs.is_empty()
    }

    /// Notes that time has passed. After a pause of the process another one may own the
    /// targets: each is then asked again before anything is started, since a target that
    /// crashed meanwhile would obey any token.
    fn note_time(&mut self, now_ms: u64) {
        let paused_ms = now_ms.saturating_sub(self.told_at_ms);
        self.told_at_ms = now_ms;
        if paused_ms > PAUSED_MS {
            log_event!(warn, ProcessPaused, paused_ms);
            self.verifies_since_ms = Some(now_ms);
            self.targets.iter_mut().for_each(|target| target.forget_listing(now_ms));
            (0..self.targets.len()).for_each(|at| self.look(at, now_ms));
        }
    }

    /// Returns whether every target has answered since the last pause of the process.
    fn is_verified(&mut self, now_ms: u64) -> bool {
        let Some(since_ms) = self.verifies_since_ms else { return true };
        let is_verified = now_ms >= since_ms + LEASE_GONE_MS
            || self.targets.iter().all(|target| target.is_fenced() || target.is_gone());
        if is_verified {
            self.verifies_since_ms = None;
        }
        is_verified
    }

    fn lapse_leases(&mut self, now_ms: u64) {
        let mut lapsed = Vec::new();
        for target in &mut self.targets {
            let silent = target.is_unreachable() || target.is_gone();
            if silent && !target.runs().is_empty() && target.is_lease_gone(now_ms) {
                log_event!(warn, LeaseLapsed, target = %target.info().id, runs = target.runs().len());
                let name = Arc::clone(&target.info().id);
                let ended = target.lapse().into_iter();
                lapsed.extend(ended.map(|ended| (Arc::clone(&name), ended.run)));
            }
        }
        for (target, run) in lapsed {
            self.task_freed(run, &target, false, now_ms);
        }
    }

    /// Stops runs that nobody asks for or that make no progress, and asks for a listing
    /// where an unanswered order can no longer be carried out.
    fn stop_overdue_runs(&mut self, now_ms: u64) {
        let mut stops = Vec::new();
        let mut looks = Vec::new();
        for (at, target) in self.targets.iter_mut().enumerate() {
            let clock_ms = target.clock_at(now_ms).unwrap_or(0);
            let mut stalled = false;
            for held in target.runs() {
                match held.phase {
                    RunPhase::Orphaned if now_ms >= held.since_ms + ORPHAN_GRACE_MS => {
                        stops.push((at, held.run, "nobody asked for it"));
                    }
                    RunPhase::Running if held.listed_at_ms >= held.progress_at_ms + STALLED_MS => {
                        stalled = true;
                        stops.push((at, held.run, "no progress"));
                    }
                    RunPhase::Running if now_ms >= held.overdue_at_ms(OVERDUE_MS) => looks.push(at),
                    RunPhase::Unanswered if clock_ms > held.valid_until_clock_ms => looks.push(at),
                    RunPhase::Stopping if now_ms >= held.since_ms + STOP_RETRY_MS => {
                        stops.push((at, held.run, "still there"));
                        looks.push(at);
                    }
                    _ => {}
                }
            }
            if stalled {
                target.observe_stall(now_ms);
            }
        }
        for (at, run, reason) in stops {
            log_event!(warn, RunStopped, run = %run, target = %self.targets[at].info().id, reason);
            self.stop(at, run, now_ms);
        }
        looks.dedup();
        for at in looks {
            self.look(at, now_ms);
        }
    }

    fn close_abandoned(&mut self, now_ms: u64) {
        let is_abandoned = |job: &JobState| job.is_abandoned(now_ms, ABANDONED_GRACE_MS);
        let abandoned: Vec<JobId> =
            self.jobs.iter().filter(|job| is_abandoned(job)).map(JobState::id).collect();
        for id in abandoned {
            log_event!(info, JobAbandoned, job = %id);
            self.close(id, JobPhase::Abandoned, now_ms);
        }
    }

    fn refuse_overdue(&mut self, now_ms: u64) {
        let is_overdue = |job: &JobState| {
            !job.has_started()
                && !job.has_lent()
                && now_ms >= job.queue_until_ms(QUEUE_SHARE_PERCENT)
        };
        let waiting = self.waiting.iter().filter_map(|waiting| self.job(waiting.job));
        let overdue: Vec<JobId> = waiting.filter(|job| is_overdue(job)).map(JobState::id).collect();
        for id in overdue {
            let retry_after_ms = self.retry_after_ms(id);
            self.refuse(id, RefusalReason::StillQueued, retry_after_ms, now_ms);
        }
    }

    /// Moves jobs that can't be in time any more behind those that can.
    fn defer_late(&mut self, now_ms: u64) {
        let on_time = self.waiting.iter().filter(|waiting| !waiting.is_late);
        let jobs = on_time.filter_map(|waiting| self.job(waiting.job));
        let late: Vec<JobId> =
            jobs.filter(|job| now_ms > job.latest_start_ms()).map(JobState::id).collect();
        for id in late {
            self.unqueue(id);
            if let Some(job) = self.job_mut(id) {
                job.set_late();
            }
            self.enqueue(id);
        }
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
        if target.set_phase(run, RunPhase::Stopping, now_ms) {
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
