//! What a dispatcher knows of one target.

use crate::{Capacity, Listing, Run, RunEnd, TargetInfo, TaskId};

/// The longest lease that a target grants.
pub const LEASE_MS: u64 = 1_000;

/// How long an order to start a task is valid. A target and its owner are in one zone, where
/// an order takes 1 ms; what arrives later was delayed and is refused by the target.
pub const START_VALID_MS: u64 = 100;

/// A lease of [`LEASE_MS`] on a clock that may be 2% slow, with a margin for the time
/// that the order that renewed it was under way.
pub const LEASE_GONE_MS: u64 = LEASE_MS + LEASE_MS / 50 + 60;

/// Runs that fail one after the other before a target gets only one task at a time;
/// sound targets fail 2 runs of 1,000.
const FAILURES_BEFORE_PROBE: u32 = 2;

/// How long a target that failed or refused work gets none, doubled for each further time.
const EJECT_MS: u64 = 400;
const EJECT_MAX_MS: u64 = 3_200;

/// How long a target with no room for what should have fitted gets no work.
const NO_ROOM_PAUSE_MS: u64 = 30;

/// The most ends in one listing; a full one may leave later ends out.
const LISTED_ENDS_MAX: usize = 500;

/// How long an end is kept for a job that is resumed from an earlier dispatcher; entry
/// processes pass their jobs on within a second.
const END_KEPT_MS: u64 = 1_500;

/// How far the start of a run has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPhase {
    /// The order is under way.
    Ordered,
    /// The order got no answer; the target begins the run while the order is valid, or never.
    Unanswered,
    /// The target runs it.
    Running,
    /// It is to be stopped.
    Stopping,
    /// The target runs it on the order of an earlier dispatcher, and nobody has asked for it.
    Orphaned,
}

/// A run whose end a target listed, or that it no longer knows.
#[derive(Clone, Copy, Debug)]
pub struct EndedRun {
    /// The run.
    pub run: Run,
    /// How it ended.
    pub end: RunEnd,
    /// What was known of it; nothing if this dispatcher did not order it.
    pub held: Option<TargetRun>,
}

impl EndedRun {
    const fn known(held: TargetRun, end: RunEnd) -> Self {
        EndedRun { run: held.run, end, held: Some(held) }
    }
}

/// A run that takes room on a target.
#[derive(Clone, Copy, Debug)]
pub struct TargetRun {
    /// The run.
    pub run: Run,
    /// The room that it takes.
    pub demand: Capacity,
    /// How far its start has come.
    pub phase: RunPhase,
    /// When this phase began.
    pub since_ms: u64,
    /// Whether the target said that it runs; until then the order may still be under way.
    pub is_confirmed: bool,
    /// When it was last ordered to stop.
    pub stop_sent_at_ms: u64,
    /// When the order was sent.
    pub ordered_at_ms: u64,
    /// The last moment on the target's clock at which it may begin.
    pub valid_until_clock_ms: u64,
    /// The offset of the token under which it was ordered.
    pub token_offset: u64,
    /// How long it is expected to run.
    pub expected_ms: u64,
    /// The share of its work that was last listed, and when it last changed.
    pub percent: u8,
    /// When a listing first showed this share.
    pub progress_at_ms: u64,
    /// When a listing last showed the run.
    pub listed_at_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct RecentEnd {
    run: Run,
    end: RunEnd,
    at_ms: u64,
}

impl TargetRun {
    /// Returns when the run should have ended and been listed, with a margin.
    pub const fn overdue_at_ms(&self, margin_ms: u64) -> u64 {
        self.ordered_at_ms + self.expected_ms + margin_ms
    }
}

/// A target, the runs on it and the evidence on its health.
#[derive(Clone, Debug)]
pub struct Target {
    info: TargetInfo,
    runs: Vec<TargetRun>,
    used: Capacity,
    recent_ends: Vec<RecentEnd>,
    last_end: u64,
    /// The life and clock of the last listing, and when it arrived.
    clock: Option<ClockReading>,
    /// When the last listing was asked for, and since when one has to be asked for.
    listing_asked_ms: u64,
    listing_due_ms: u64,
    /// How many lives of the target were seen to begin, and when the last one was.
    token_offset: u64,
    life_since_ms: u64,
    /// When a message was last sent that could extend the lease.
    lease_sent_at_ms: u64,
    failures_in_row: u32,
    ejections: u32,
    ejected_until_ms: u64,
    unreachable: bool,
    gone: bool,
}

#[derive(Clone, Copy, Debug)]
struct ClockReading {
    born_unix_ms: u64,
    clock_ms: u64,
    read_at_ms: u64,
}

impl Target {
    /// Returns a target on which nothing is known to run.
    ///
    /// It is not used before its first listing shows what runs there.
    pub const fn new(info: TargetInfo) -> Self {
        Target {
            info,
            runs: Vec::new(),
            used: Capacity { cpu_milli: 0, memory_mb: 0, gpus: 0 },
            recent_ends: Vec::new(),
            last_end: 0,
            clock: None,
            listing_asked_ms: 0,
            listing_due_ms: 0,
            token_offset: 0,
            life_since_ms: 0,
            lease_sent_at_ms: 0,
            failures_in_row: 0,
            ejections: 0,
            ejected_until_ms: 0,
            unreachable: false,
            gone: false,
        }
    }

    /// Returns what the target says of itself.
    pub const fn info(&self) -> &TargetInfo {
        &self.info
    }

    /// Takes in a newer entry of the list of targets; draining is never taken back.
    pub fn update(&mut self, info: TargetInfo) {
        let draining = self.info.draining && self.info.born_unix_ms == info.born_unix_ms;
        self.info = info;
        self.info.draining |= draining;
        self.gone = false;
    }

    /// Notes that the target has left the list, or that another life answers in its place.
    pub const fn set_gone(&mut self) {
        self.gone = true;
    }

    /// Returns whether the target has left the list.
    pub const fn is_gone(&self) -> bool {
        self.gone
    }

    /// Returns whether its first listing has arrived, so that no earlier dispatcher can
    /// start tasks there any more.
    pub const fn is_fenced(&self) -> bool {
        self.clock.is_some() && self.listing_asked_ms >= self.listing_due_ms
    }

    /// Returns what to add to the dispatcher's token for orders to this life of the target.
    ///
    /// A new life knows no token and another clock, so that it would carry out orders that
    /// were meant for the life before it; a higher token makes it refuse them.
    pub const fn token_offset(&self) -> u64 {
        self.token_offset
    }

    /// Returns what runs there.
    pub fn runs(&self) -> &[TargetRun] {
        &self.runs
    }

    /// Returns the room that is left.
    pub const fn free(&self) -> Capacity {
        self.info.capacity.minus(&self.used)
    }

    /// Returns whether new tasks may be sent there now.
    pub fn is_usable(&self, now_ms: u64) -> bool {
        let probing = self.failures_in_row >= FAILURES_BEFORE_PROBE && !self.runs.is_empty();
        self.is_fenced()
            && !self.gone
            && !self.info.draining
            && !self.unreachable
            && !probing
            && now_ms >= self.ejected_until_ms
    }

    /// Returns whether the target counts as capacity that will be there soon.
    pub fn is_sound(&self) -> bool {
        self.is_fenced()
            && !self.gone
            && !self.info.draining
            && !self.unreachable
            && self.failures_in_row < FAILURES_BEFORE_PROBE
    }

    /// Forgets the last listing, so that the target is not used before one that is asked for
    /// from now on.
    pub const fn forget_listing(&mut self, now_ms: u64) {
        self.listing_due_ms = now_ms;
    }

    /// Returns the target's clock as it should stand at `now_ms`.
    pub fn clock_at(&self, now_ms: u64) -> Option<u64> {
        self.clock.map(|clock| clock.clock_ms + now_ms.saturating_sub(clock.read_at_ms))
    }

    /// Returns the number of the last end that was taken in; the target may forget it, and
    /// holds the next listing back only once it does.
    pub const fn ack_cursor(&self) -> u64 {
        self.last_end
    }

    /// Notes that a message which may extend the lease is about to be sent.
    pub const fn note_lease_sent(&mut self, now_ms: u64) {
        self.lease_sent_at_ms = now_ms;
    }

    /// Returns whether every lease that this process may have extended has lapsed.
    pub const fn is_lease_gone(&self, now_ms: u64) -> bool {
        now_ms >= self.lease_sent_at_ms + LEASE_GONE_MS
    }

    /// Returns whether its lease may be extended.
    ///
    /// Not before the first listing; not while it may not answer, so that what runs there
    /// ends at a known time; and not while runs of an earlier dispatcher are there that
    /// nobody asked for, or they could outlive several dispatchers in a row.
    pub fn is_renewable(&self) -> bool {
        let is_orphaned = |held: &TargetRun| held.phase == RunPhase::Orphaned;
        self.is_fenced() && !self.unreachable && !self.runs.iter().any(is_orphaned)
    }

    /// Returns whether the target answered the last message.
    pub const fn is_unreachable(&self) -> bool {
        self.unreachable
    }

    /// Notes whether the target answers. Returns whether that is new.
    pub const fn set_unreachable(&mut self, unreachable: bool) -> bool {
        let changed = self.unreachable != unreachable;
        self.unreachable = unreachable;
        changed
    }

    /// Keeps work away from the target for a while; longer each time in a row.
    pub fn eject(&mut self, now_ms: u64) {
        let pause_ms = (EJECT_MS << self.ejections.min(3)).min(EJECT_MAX_MS);
        self.ejections += 1;
        self.ejected_until_ms = self.ejected_until_ms.max(now_ms + pause_ms);
    }

    /// Keeps work away until a listing can have shown why there was no room.
    pub fn pause_for_room(&mut self, now_ms: u64) {
        self.ejected_until_ms = self.ejected_until_ms.max(now_ms + NO_ROOM_PAUSE_MS);
    }

    /// Counts a run that stood still against the target, which then gets one task at a
    /// time until one is done.
    pub fn observe_stall(&mut self, now_ms: u64) {
        self.failures_in_row = self.failures_in_row.max(FAILURES_BEFORE_PROBE);
        self.eject(now_ms);
    }

    /// Takes back one failure that proved to be the job's own fault.
    pub const fn forgive_failure(&mut self) {
        self.failures_in_row = self.failures_in_row.saturating_sub(1);
    }

    /// Takes in how a run ended as evidence on health. Returns whether the target is ejected.
    pub fn observe_end(&mut self, end: RunEnd, now_ms: u64) -> bool {
        match end {
            RunEnd::Done => {
                self.failures_in_row = 0;
                self.ejections = 0;
                false
            }
            RunEnd::Failed => {
                self.failures_in_row += 1;
                let ejected = self.failures_in_row >= FAILURES_BEFORE_PROBE;
                if ejected {
                    self.eject(now_ms);
                }
                ejected
            }
            RunEnd::Stopped | RunEnd::Lapsed | RunEnd::Interrupted | RunEnd::Lost => false,
        }
    }

    /// Reserves room for a run whose order is about to be sent; returns until when on the
    /// target's clock the order is valid.
    pub fn reserve(&mut self, run: Run, demand: Capacity, expected_ms: u64, now_ms: u64) -> u64 {
        let valid_until_clock_ms = self.clock_at(now_ms).unwrap_or(0) + START_VALID_MS;
        let lease_equivalent_ms = now_ms.saturating_sub(LEASE_MS - START_VALID_MS);
        self.lease_sent_at_ms = self.lease_sent_at_ms.max(lease_equivalent_ms);
        self.insert(TargetRun {
            run,
            demand,
            phase: RunPhase::Ordered,
            since_ms: now_ms,
            is_confirmed: false,
            stop_sent_at_ms: 0,
            ordered_at_ms: now_ms,
            valid_until_clock_ms,
            token_offset: self.token_offset,
            expected_ms,
            percent: 0,
            progress_at_ms: now_ms,
            listed_at_ms: now_ms,
        });
        valid_until_clock_ms
    }

    fn insert(&mut self, run: TargetRun) {
        self.used = self.used.plus(&run.demand);
        self.runs.push(run);
    }

    /// Frees the room of a run.
    pub fn release(&mut self, run: Run) -> Option<TargetRun> {
        let at = self.runs.iter().position(|held| held.run == run)?;
        let held = self.runs.swap_remove(at);
        self.used = self.used.minus(&held.demand);
        Some(held)
    }

    /// Moves a run to another phase. Returns whether the run is there.
    pub fn set_phase(&mut self, run: Run, phase: RunPhase, now_ms: u64) -> bool {
        let found = self.runs.iter_mut().find(|held| held.run == run);
        found
            .map(|held| {
                held.phase = phase;
                held.since_ms = now_ms;
                held.is_confirmed |= phase == RunPhase::Running;
            })
            .is_some()
    }

    /// Notes that a run is ordered to stop, perhaps once more. Returns whether it is there.
    pub fn note_stop(&mut self, run: Run, now_ms: u64) -> bool {
        let Some(held) = self.runs.iter_mut().find(|held| held.run == run) else { return false };
        held.stop_sent_at_ms = now_ms;
        if held.phase != RunPhase::Stopping {
            held.phase = RunPhase::Stopping;
            held.since_ms = now_ms;
        }
        true
    }

    /// Gives an orphaned run the demand and expectation of the job that asked for it.
    pub fn adopt(&mut self, run: Run, demand: Capacity, expected_ms: u64, now_ms: u64) {
        if let Some(mut held) = self.release(run) {
            held.phase = RunPhase::Running;
            held.since_ms = now_ms;
            held.demand = demand;
            held.expected_ms = expected_ms;
            self.insert(held);
        }
    }

    /// Returns the latest run of `task` that is there without a job.
    pub fn orphan_of(&self, task: TaskId) -> Option<Run> {
        let orphans = self.runs.iter().filter(|held| held.phase == RunPhase::Orphaned);
        orphans.map(|held| held.run).filter(|run| run.task == task).max()
    }

    /// Returns how a run of `task` ended, if its end is still listed.
    pub fn listed_end_of(&self, task: TaskId) -> Option<(Run, RunEnd)> {
        let ends = self.recent_ends.iter().filter(|held| held.run.task == task);
        ends.map(|held| (held.run, held.end)).max_by_key(|(run, _)| *run)
    }

    /// Takes in a listing that was asked for at `asked_at_ms`; returns the runs that ended.
    ///
    /// A listing that is older than the last one, by the target's clock, changes nothing.
    pub fn apply(&mut self, listing: &Listing, asked_at_ms: u64, now_ms: u64) -> Vec<EndedRun> {
        let mut ended = Vec::new();
        match self.clock {
            Some(last) if last.born_unix_ms != listing.born_unix_ms => {
                if listing.born_unix_ms < last.born_unix_ms {
                    return ended;
                }
                self.begin_new_life(now_ms, &mut ended);
            }
            Some(last) if listing.clock_ms < last.clock_ms => return ended,
            _ => {}
        }
        if !self.is_fenced() {
            // An earlier dispatcher may have renewed the lease until just now.
            self.lease_sent_at_ms = now_ms;
        }
        self.listing_asked_ms = self.listing_asked_ms.max(asked_at_ms);
        self.clock = Some(ClockReading {
            born_unix_ms: listing.born_unix_ms,
            clock_ms: listing.clock_ms,
            read_at_ms: now_ms,
        });
        self.apply_ends(listing, now_ms, &mut ended);
        self.apply_running(listing, now_ms);
        if listing.finished.len() < LISTED_ENDS_MAX {
            self.drop_unlisted(listing, asked_at_ms, &mut ended);
        }
        ended
    }

    /// Sets the clock from an answer that carries nothing else.
    pub const fn read_clock(&mut self, clock_ms: u64, now_ms: u64) {
        if let Some(last) = &mut self.clock
            && clock_ms >= last.clock_ms
        {
            last.clock_ms = clock_ms;
            last.read_at_ms = now_ms;
        }
    }

    /// Ends what ran in the life before. Orders that are under way may reach the new life.
    fn begin_new_life(&mut self, now_ms: u64, ended: &mut Vec<EndedRun>) {
        self.token_offset += 1;
        self.life_since_ms = now_ms;
        let is_under_way = |held: &TargetRun| !held.is_confirmed;
        let over: Vec<Run> =
            self.runs.iter().filter(|held| !is_under_way(held)).map(|held| held.run).collect();
        for run in over {
            ended.extend(self.release(run).map(|held| EndedRun::known(held, RunEnd::Lost)));
        }
        self.recent_ends.clear();
        self.last_end = 0;
    }

    fn apply_ends(&mut self, listing: &Listing, now_ms: u64, ended: &mut Vec<EndedRun>) {
        for listed in &listing.finished {
            if listed.number <= self.last_end {
                continue;
            }
            self.last_end = listed.number;
            self.recent_ends.push(RecentEnd { run: listed.run, end: listed.end, at_ms: now_ms });
            let held = self.release(listed.run);
            ended.push(EndedRun { run: listed.run, end: listed.end, held });
        }
    }

    fn apply_running(&mut self, listing: &Listing, now_ms: u64) {
        for listed in &listing.running {
            match self.runs.iter_mut().find(|held| held.run == listed.run) {
                Some(held) => {
                    if matches!(held.phase, RunPhase::Ordered | RunPhase::Unanswered) {
                        held.phase = RunPhase::Running;
                        held.since_ms = now_ms;
                    }
                    held.is_confirmed = true;
                    held.listed_at_ms = now_ms;
                    if held.percent != listed.percent {
                        held.percent = listed.percent;
                        held.progress_at_ms = now_ms;
                    }
                }
                None if self.recent_ends.iter().any(|end| end.run == listed.run) => {}
                None => self.insert(TargetRun {
                    run: listed.run,
                    demand: Capacity { cpu_milli: listed.used_cpu_milli, ..Capacity::default() },
                    phase: RunPhase::Orphaned,
                    since_ms: now_ms,
                    is_confirmed: true,
                    stop_sent_at_ms: 0,
                    ordered_at_ms: now_ms,
                    valid_until_clock_ms: 0,
                    token_offset: self.token_offset,
                    expected_ms: 0,
                    percent: listed.percent,
                    progress_at_ms: now_ms,
                    listed_at_ms: now_ms,
                }),
            }
        }
    }

    /// Drops the runs that the target should list and does not.
    fn drop_unlisted(&mut self, listing: &Listing, asked_at_ms: u64, ended: &mut Vec<EndedRun>) {
        let is_missing = |held: &TargetRun| {
            let due = match held.phase {
                RunPhase::Ordered => false,
                _ if held.is_confirmed => held.since_ms < asked_at_ms,
                _ if held.token_offset < self.token_offset => asked_at_ms > self.life_since_ms,
                _ => listing.clock_ms > held.valid_until_clock_ms,
            };
            due && !listing.running.iter().any(|listed| listed.run == held.run)
        };
        let missing: Vec<Run> =
            self.runs.iter().filter(|held| is_missing(held)).map(|held| held.run).collect();
        for run in missing {
            ended.extend(self.release(run).map(|held| EndedRun::known(held, RunEnd::Lost)));
        }
    }

    /// Gives up every run after the lease has lapsed unrenewed.
    pub fn lapse(&mut self) -> Vec<EndedRun> {
        self.used = Capacity::default();
        self.runs.drain(..).map(|held| EndedRun::known(held, RunEnd::Lapsed)).collect()
    }

    /// Forgets ends that no resumed job can ask for any more.
    pub fn forget_old_ends(&mut self, now_ms: u64) {
        self.recent_ends.retain(|held| now_ms < held.at_ms + END_KEPT_MS);
    }
}
