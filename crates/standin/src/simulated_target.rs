//! Simulation of a target of the platform, without I/O.

use ggb_placement::{Capacity, ListedEnd, ListedRun, Listing, Run, RunEnd, StartOutcome, TaskId};

/// Maximum time by which a request extends the target's lease.
const MAX_LEASE_MS: u64 = 1_000;

/// Maximum number of finished runs in one listing.
const MAX_LISTED_ENDS: usize = 500;

/// Behaviour of the runs that a simulated target starts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SimulatedTargetMode {
    /// Runs end after their run time, as their work says.
    #[default]
    Healthy,
    /// Runs make no progress and don't end by themselves.
    Stalled,
    /// Runs fail 1 ms after they start.
    Failing,
    /// Runs end as their work says, but take `factor` times as long.
    Slow {
        /// Factor of the run times.
        factor: u64,
    },
}

impl SimulatedTargetMode {
    /// Returns the run time of `work`, unless the mode determines it.
    const fn run_ms(self, work: &SimulatedWork) -> u64 {
        match self {
            SimulatedTargetMode::Slow { factor } => work.work_ms.saturating_mul(factor),
            _ => work.work_ms,
        }
    }
}

/// Resources, run time and result of a simulated run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SimulatedWork {
    /// Capacity that the run takes.
    pub demand: Capacity,
    /// Run time on a healthy target.
    pub work_ms: u64,
    /// Whether the run fails at its end on every target.
    pub fails: bool,
    /// Whether the run crashes every target that starts it.
    pub crashes: bool,
}

/// A run in progress.
#[derive(Clone, Copy, Debug)]
struct SimulatedRun {
    run: Run,
    work: SimulatedWork,
    started_at_ms: u64,
    /// Time at which the run ends by itself; absent if it is stalled.
    ends_at_ms: Option<u64>,
    /// Result when it ends by itself.
    end: RunEnd,
}

/// Start and end of a run, recorded for the checks of a test.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunRecord {
    /// Task and number of the run.
    pub run: Run,
    /// Time at which the run started.
    pub started_at_ms: u64,
    /// Time at which the run ended.
    pub ended_at_ms: u64,
    /// How the run ended.
    pub end: RunEnd,
}

/// A simulated target, which enforces its lease and fencing tokens and lists finished runs.
///
/// Methods that depend on the time take it as `now_ms`, in milliseconds since an epoch that the
/// user of the target chooses. Names with `clock_ms` denote times of the target clock, which
/// starts at zero with each incarnation.
#[derive(Clone, Debug)]
pub struct SimulatedTarget {
    capacity: Capacity,
    /// Start of the incarnation, which identifies it; never zero.
    started_unix_ms: u64,
    /// Time at which the target clock is zero.
    clock_origin_ms: u64,
    /// Highest fencing token received.
    highest_token: u64,
    /// Time at which the lease expires and all runs end.
    lease_until_ms: u64,
    runs: Vec<SimulatedRun>,
    /// Ends that the dispatcher has not acknowledged yet.
    finished: Vec<ListedEnd>,
    /// Number of the last entry of `finished`.
    last_end_number: u64,
    /// Highest run number of each task that ended or was stopped here, sorted by task.
    highest_ended: Vec<(TaskId, u32)>,
    /// Behaviour of runs that start from now on.
    pub mode: SimulatedTargetMode,
    records: Vec<RunRecord>,
}

impl SimulatedTarget {
    /// Returns a target that starts at `now_ms`, without a lease.
    pub const fn new(capacity: Capacity, now_ms: u64) -> Self {
        SimulatedTarget {
            capacity,
            started_unix_ms: now_ms + 1,
            clock_origin_ms: now_ms,
            highest_token: 0,
            lease_until_ms: 0,
            runs: Vec::new(),
            finished: Vec::new(),
            last_end_number: 0,
            highest_ended: Vec::new(),
            mode: SimulatedTargetMode::Healthy,
            records: Vec::new(),
        }
    }

    /// Returns the time of the target clock.
    pub const fn clock_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.clock_origin_ms)
    }

    /// Returns the start that identifies this incarnation, on the clock of `now_ms`; Unix time
    /// for a target that is reached over HTTP.
    pub const fn started_unix_ms(&self) -> u64 {
        self.started_unix_ms
    }

    /// Ends all runs and starts a new incarnation.
    pub fn crash(&mut self, now_ms: u64) {
        self.advance(now_ms);
        for run in std::mem::take(&mut self.runs) {
            self.record_run(&run, now_ms, RunEnd::Lost);
        }
        let records = std::mem::take(&mut self.records);
        let next = SimulatedTarget::new(self.capacity, now_ms);
        // A crash in the first millisecond of an incarnation begins another one all the same.
        let started_unix_ms = next.started_unix_ms.max(self.started_unix_ms + 1);
        *self = SimulatedTarget { records, started_unix_ms, ..next };
    }

    /// Returns the time at which the next run ends by itself or the lease of running tasks expires.
    pub fn next_end_ms(&self) -> Option<u64> {
        let ends = self.runs.iter().filter_map(|run| run.ends_at_ms).min();
        let lease = (!self.runs.is_empty()).then_some(self.lease_until_ms);
        ends.into_iter().chain(lease).min()
    }

    /// Advances the time: ends the runs that are due, and all runs once the lease has expired.
    pub fn advance(&mut self, now_ms: u64) {
        while let Some(at_ms) = self.next_end_ms().filter(|at_ms| *at_ms <= now_ms) {
            match self.runs.iter().position(|run| run.ends_at_ms == Some(at_ms)) {
                Some(index) => {
                    let run = self.runs.remove(index);
                    self.end_run(&run, at_ms, run.end);
                }
                None => {
                    for run in std::mem::take(&mut self.runs) {
                        self.end_run(&run, at_ms, RunEnd::Lapsed);
                    }
                }
            }
        }
    }

    fn end_run(&mut self, run: &SimulatedRun, at_ms: u64, end: RunEnd) {
        self.last_end_number += 1;
        self.finished.push(ListedEnd { number: self.last_end_number, run: run.run, end });
        self.update_highest_ended(run.run);
        self.record_run(run, at_ms, end);
    }

    fn update_highest_ended(&mut self, run: Run) {
        match self.highest_ended.binary_search_by_key(&run.task, |(task, _)| *task) {
            Ok(index) => self.highest_ended[index].1 = self.highest_ended[index].1.max(run.number),
            Err(index) => self.highest_ended.insert(index, (run.task, run.number)),
        }
    }

    fn record_run(&mut self, run: &SimulatedRun, ended_at_ms: u64, end: RunEnd) {
        let SimulatedRun { run, started_at_ms, .. } = *run;
        self.records.push(RunRecord { run, started_at_ms, ended_at_ms, end });
    }

    /// Returns all runs so far, with those in progress as lost at `now_ms`.
    pub fn records(&self, now_ms: u64) -> Vec<RunRecord> {
        let running = self.runs.iter().map(|run| RunRecord {
            run: run.run,
            started_at_ms: run.started_at_ms,
            ended_at_ms: now_ms,
            end: RunEnd::Lost,
        });
        self.records.iter().copied().chain(running).collect()
    }

    /// Returns the capacity that the runs in progress take.
    pub fn used(&self) -> Capacity {
        self.runs.iter().fold(Capacity::default(), |sum, run| sum.add(&run.work.demand))
    }

    /// Extends the lease until a time of the target clock, by at most [`MAX_LEASE_MS`].
    fn extend_lease(&mut self, until_clock_ms: u64, now_ms: u64) {
        let until_ms = (until_clock_ms + self.clock_origin_ms).min(now_ms + MAX_LEASE_MS);
        self.lease_until_ms = self.lease_until_ms.max(until_ms);
    }

    /// Records the fencing token of a request and returns whether the request is accepted, that
    /// is, no higher token was received before.
    fn accept_token(&mut self, token: u64) -> bool {
        let is_accepted = token >= self.highest_token;
        self.highest_token = self.highest_token.max(token);
        is_accepted
    }

    /// Handles a request to start a run.
    ///
    /// Rejects it if a higher token was received, the target clock is past
    /// `valid_until_clock_ms`, this or a later run of the task has ended or was stopped here, or
    /// the free capacity doesn't suffice. A request for a run in progress is accepted again.
    pub fn start(
        &mut self,
        token: u64,
        run: Run,
        work: SimulatedWork,
        valid_until_clock_ms: u64,
        now_ms: u64,
    ) -> StartOutcome {
        self.advance(now_ms);
        if !self.accept_token(token) {
            return StartOutcome::Fenced;
        }
        if self.clock_ms(now_ms) > valid_until_clock_ms {
            return StartOutcome::TooLate;
        }
        self.extend_lease(valid_until_clock_ms, now_ms);
        if self.runs.iter().any(|running| running.run == run) {
            return StartOutcome::Accepted;
        }
        let ended = self.highest_ended.binary_search_by_key(&run.task, |(task, _)| *task);
        if ended.is_ok_and(|index| self.highest_ended[index].1 >= run.number) {
            return StartOutcome::OldRun;
        }
        if !self.capacity.saturating_sub(&self.used()).fits(&work.demand) {
            return StartOutcome::NoRoom;
        }
        let (ends_at_ms, end) = match self.mode {
            SimulatedTargetMode::Stalled => (None, RunEnd::Lost),
            SimulatedTargetMode::Failing => (Some(now_ms + 1), RunEnd::Failed),
            mode if work.fails => (Some(now_ms + mode.run_ms(&work)), RunEnd::Failed),
            mode => (Some(now_ms + mode.run_ms(&work)), RunEnd::Done),
        };
        self.runs.push(SimulatedRun { run, work, started_at_ms: now_ms, ends_at_ms, end });
        if work.crashes {
            self.crash(now_ms);
        }
        StartOutcome::Accepted
    }

    /// Handles a request to stop a run, and returns whether the token is accepted.
    ///
    /// A run that isn't in progress can't start any more afterwards.
    pub fn stop(&mut self, token: u64, run: Run, now_ms: u64) -> bool {
        self.advance(now_ms);
        if !self.accept_token(token) {
            return false;
        }
        match self.runs.iter().position(|running| running.run == run) {
            Some(index) => {
                let running = self.runs.remove(index);
                self.end_run(&running, now_ms, RunEnd::Stopped);
            }
            None => self.update_highest_ended(run),
        }
        true
    }

    /// Handles a request for a listing: extends the lease, removes the ends up to `ack_cursor`
    /// and returns the listing, or `None` if a higher token was received.
    pub fn hold(
        &mut self,
        token: u64,
        ack_cursor: u64,
        lease_until_clock_ms: Option<u64>,
        now_ms: u64,
    ) -> Option<Listing> {
        self.advance(now_ms);
        if !self.accept_token(token) {
            return None;
        }
        if let Some(until_clock_ms) = lease_until_clock_ms {
            self.extend_lease(until_clock_ms, now_ms);
        }
        self.finished.retain(|end| end.number > ack_cursor);
        Some(self.list(now_ms))
    }

    /// Returns whether ends are waiting to be acknowledged.
    pub fn has_finished_runs(&self) -> bool {
        !self.finished.is_empty()
    }

    /// Returns the runs in progress and the ends that are not acknowledged.
    pub fn list(&mut self, now_ms: u64) -> Listing {
        self.advance(now_ms);
        let running = self.runs.iter().map(|run| ListedRun {
            run: run.run,
            progress_percent: run.percent(now_ms),
            used_cpu_milli: run.work.demand.cpu_milli,
        });
        Listing {
            started_unix_ms: self.started_unix_ms,
            clock_ms: self.clock_ms(now_ms),
            running: running.collect(),
            finished: self.finished.iter().take(MAX_LISTED_ENDS).copied().collect(),
        }
    }
}

impl SimulatedRun {
    /// Returns the share of the run time that has passed.
    fn percent(&self, now_ms: u64) -> u8 {
        match self.ends_at_ms {
            Some(ends_at_ms) => {
                let total_ms = (ends_at_ms - self.started_at_ms).max(1);
                // Concurrent requests read the clock before they lock the target, so `now_ms`
                // may be before the start of the run.
                (100 * now_ms.saturating_sub(self.started_at_ms) / total_ms).min(100) as u8
            }
            None => 0,
        }
    }
}
