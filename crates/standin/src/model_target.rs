//! What a target of the users' platform does with orders, as logic without I/O.

use ggb_placement::{Capacity, ListedEnd, ListedRun, Listing, Run, RunEnd, StartOutcome, TaskId};

/// The longest lease that a target grants, in ms.
const LEASE_MAX_MS: u64 = 1_000;

/// The most ends in one listing.
const LISTED_ENDS_MAX: usize = 500;

/// How a target treats what it is told to start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ModelMode {
    /// It works.
    #[default]
    Sound,
    /// What it starts stands still.
    Stalled,
    /// What it starts fails at once.
    Failing,
}

/// What a task asks for and how it will go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ModelWork {
    /// The room that it takes.
    pub demand: Capacity,
    /// How long it runs on a sound target.
    pub work_ms: u64,
    /// Whether it fails wherever it runs.
    pub fails: bool,
}

#[derive(Clone, Copy, Debug)]
struct ModelRun {
    run: Run,
    work: ModelWork,
    began_at_ms: u64,
    /// When it ends by itself.
    ends_at_ms: Option<u64>,
    end: RunEnd,
}

/// When something ran and how it ended, for checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunRecord {
    /// The run.
    pub run: Run,
    /// When it began.
    pub began_at_ms: u64,
    /// When it ended.
    pub ended_at_ms: u64,
    /// How it ended.
    pub end: RunEnd,
}

/// A target with leases, fencing tokens and a list of ends.
#[derive(Clone, Debug)]
pub struct ModelTarget {
    capacity: Capacity,
    born_unix_ms: u64,
    booted_at_ms: u64,
    highest_token: u64,
    lease_until_ms: u64,
    runs: Vec<ModelRun>,
    finished: Vec<ListedEnd>,
    ends: u64,
    /// The highest run of each task that ended or was stopped here, sorted by task.
    over: Vec<(TaskId, u32)>,
    /// How it treats new runs.
    pub mode: ModelMode,
    records: Vec<RunRecord>,
}

impl ModelTarget {
    /// Returns a target that boots at `now_ms`.
    pub const fn new(capacity: Capacity, now_ms: u64) -> Self {
        ModelTarget {
            capacity,
            born_unix_ms: now_ms + 1,
            booted_at_ms: now_ms,
            highest_token: 0,
            lease_until_ms: 0,
            runs: Vec::new(),
            finished: Vec::new(),
            ends: 0,
            over: Vec::new(),
            mode: ModelMode::Sound,
            records: Vec::new(),
        }
    }

    /// Returns the steady clock of this life.
    pub const fn clock_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.booted_at_ms)
    }

    /// Returns when this life began, in ms since 1970.
    pub const fn born_unix_ms(&self) -> u64 {
        self.born_unix_ms
    }

    /// Ends everything and begins another life.
    pub fn crash(&mut self, now_ms: u64) {
        self.advance(now_ms);
        for run in std::mem::take(&mut self.runs) {
            self.record(&run, now_ms, RunEnd::Lost);
        }
        let records = std::mem::take(&mut self.records);
        *self = ModelTarget { records, ..ModelTarget::new(self.capacity, now_ms) };
    }

    /// Returns when something next ends by itself.
    pub fn next_end_ms(&self) -> Option<u64> {
        let ends = self.runs.iter().filter_map(|run| run.ends_at_ms).min();
        let lease = (!self.runs.is_empty()).then_some(self.lease_until_ms);
        ends.into_iter().chain(lease).min()
    }

    /// Lets time pass: ends what is done and, after the lease, everything.
    pub fn advance(&mut self, now_ms: u64) {
        while let Some(at_ms) = self.next_end_ms().filter(|at_ms| *at_ms <= now_ms) {
            match self.runs.iter().position(|run| run.ends_at_ms == Some(at_ms)) {
                Some(at) => {
                    let run = self.runs.remove(at);
                    self.finish(&run, at_ms, run.end);
                }
                None => {
                    for run in std::mem::take(&mut self.runs) {
                        self.finish(&run, at_ms, RunEnd::Lapsed);
                    }
                }
            }
        }
    }

    fn finish(&mut self, run: &ModelRun, at_ms: u64, end: RunEnd) {
        self.ends += 1;
        self.finished.push(ListedEnd { number: self.ends, run: run.run, end });
        self.note_over(run.run);
        self.record(run, at_ms, end);
    }

    fn note_over(&mut self, run: Run) {
        match self.over.binary_search_by_key(&run.task, |(task, _)| *task) {
            Ok(at) => self.over[at].1 = self.over[at].1.max(run.number),
            Err(at) => self.over.insert(at, (run.task, run.number)),
        }
    }

    fn record(&mut self, run: &ModelRun, ended_at_ms: u64, end: RunEnd) {
        let ModelRun { run, began_at_ms, .. } = *run;
        self.records.push(RunRecord { run, began_at_ms, ended_at_ms, end });
    }

    /// Returns what ran, with what still runs as ending at `now_ms`.
    pub fn records(&self, now_ms: u64) -> Vec<RunRecord> {
        let running = self.runs.iter().map(|run| RunRecord {
            run: run.run,
            began_at_ms: run.began_at_ms,
            ended_at_ms: now_ms,
            end: RunEnd::Lost,
        });
        self.records.iter().copied().chain(running).collect()
    }

    /// Returns the room that is taken.
    pub fn used(&self) -> Capacity {
        self.runs.iter().fold(Capacity::default(), |sum, run| sum.plus(&run.work.demand))
    }

    fn extend_lease(&mut self, until_clock_ms: u64, now_ms: u64) {
        let until_ms = (until_clock_ms + self.booted_at_ms).min(now_ms + LEASE_MAX_MS);
        self.lease_until_ms = self.lease_until_ms.max(until_ms);
    }

    fn obeys(&mut self, token: u64) -> bool {
        let obeys = token >= self.highest_token;
        self.highest_token = self.highest_token.max(token);
        obeys
    }

    /// Takes an order to start a run.
    pub fn start(
        &mut self,
        token: u64,
        run: Run,
        work: ModelWork,
        valid_until_clock_ms: u64,
        now_ms: u64,
    ) -> StartOutcome {
        self.advance(now_ms);
        if !self.obeys(token) {
            return StartOutcome::Fenced;
        }
        if self.clock_ms(now_ms) > valid_until_clock_ms {
            return StartOutcome::TooLate;
        }
        self.extend_lease(valid_until_clock_ms, now_ms);
        if self.runs.iter().any(|held| held.run == run) {
            return StartOutcome::Accepted;
        }
        let over = self.over.binary_search_by_key(&run.task, |(task, _)| *task);
        if over.is_ok_and(|at| self.over[at].1 >= run.number) {
            return StartOutcome::OldRun;
        }
        if !self.capacity.minus(&self.used()).fits(&work.demand) {
            return StartOutcome::NoRoom;
        }
        let (ends_at_ms, end) = match self.mode {
            ModelMode::Stalled => (None, RunEnd::Lost),
            ModelMode::Failing => (Some(now_ms + 1), RunEnd::Failed),
            ModelMode::Sound if work.fails => (Some(now_ms + work.work_ms), RunEnd::Failed),
            ModelMode::Sound => (Some(now_ms + work.work_ms), RunEnd::Done),
        };
        self.runs.push(ModelRun { run, work, began_at_ms: now_ms, ends_at_ms, end });
        StartOutcome::Accepted
    }

    /// Takes an order to stop a run. Returns whether it obeys the token.
    pub fn stop(&mut self, token: u64, run: Run, now_ms: u64) -> bool {
        self.advance(now_ms);
        if !self.obeys(token) {
            return false;
        }
        match self.runs.iter().position(|held| held.run == run) {
            Some(at) => {
                let held = self.runs.remove(at);
                self.finish(&held, now_ms, RunEnd::Stopped);
            }
            None => self.note_over(run),
        }
        true
    }

    /// Takes a request for a listing; nothing if another dispatcher has taken over.
    pub fn hold(
        &mut self,
        token: u64,
        ack_cursor: u64,
        lease_until_clock_ms: Option<u64>,
        now_ms: u64,
    ) -> Option<Listing> {
        self.advance(now_ms);
        if !self.obeys(token) {
            return None;
        }
        if let Some(until_clock_ms) = lease_until_clock_ms {
            self.extend_lease(until_clock_ms, now_ms);
        }
        self.finished.retain(|end| end.number > ack_cursor);
        Some(self.list(now_ms))
    }

    /// Returns whether a listing has ends to show.
    pub fn has_ends(&self) -> bool {
        !self.finished.is_empty()
    }

    /// Returns what runs and what has ended.
    pub fn list(&mut self, now_ms: u64) -> Listing {
        self.advance(now_ms);
        let running = self.runs.iter().map(|run| ListedRun {
            run: run.run,
            percent: run.percent(now_ms),
            used_cpu_milli: run.work.demand.cpu_milli,
        });
        Listing {
            born_unix_ms: self.born_unix_ms,
            clock_ms: self.clock_ms(now_ms),
            running: running.collect(),
            finished: self.finished.iter().take(LISTED_ENDS_MAX).copied().collect(),
        }
    }
}

impl ModelRun {
    fn percent(&self, now_ms: u64) -> u8 {
        match self.ends_at_ms {
            Some(ends_at_ms) => {
                let total_ms = (ends_at_ms - self.began_at_ms).max(1);
                // Calls that wait for each other may come with times out of order.
                (100 * now_ms.saturating_sub(self.began_at_ms) / total_ms).min(100) as u8
            }
            None => 0,
        }
    }
}
