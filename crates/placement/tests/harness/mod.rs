//! Harness for tests of a single dispatcher; the test supplies the events of targets and callers.

pub use std::sync::Arc;

pub use ggb_placement::{
    Action, BatchJob, CALLER_EXPIRY_MS, Capacity, Claim, ClaimId, Dispatcher, EarlierRuns,
    JobAnswer, JobId, LEASE_EXPIRY_MS, ListedEnd, ListedRun, Listing, MAX_LEASE_MS, PartOutcome,
    QueueRules, RefusalReason, RequestId, RoutedJob, Run, RunEnd, RunTimes, StartOutcome, StepSpec,
    Submission, TargetInfo,
};

/// Time after which a caller stops waiting.
pub const DEADLINE_MS: u64 = 1_500;

/// Fencing token of the owner.
pub const TOKEN: u64 = 5_000;

pub const JOB: &str = "00000000000000aa";

/// A dispatcher with a simulated clock; the test reports what its targets do.
pub struct Harness {
    pub dispatcher: Dispatcher,
    pub now_ms: u64,
    pub next_request: u64,
    /// Submitted jobs, whose callers stay connected until the test says otherwise.
    pub connected: Vec<JobId>,
}

impl Harness {
    /// Returns a dispatcher with targets of the given numbers of cores, all of which have sent
    /// their first listing.
    pub fn new(cores: &[u64]) -> Self {
        let mut harness = Harness::after_takeover(cores);
        for index in 0..cores.len() {
            harness.apply_listing(index, &[], &[]);
        }
        harness
    }

    /// Returns a dispatcher that has just taken over and has received no listing.
    pub fn after_takeover(cores: &[u64]) -> Self {
        Harness::after_claim(Claim { id: ClaimId(0), token: TOKEN }, cores)
    }

    /// Returns a dispatcher that has just taken over under `claim` and has received no listing.
    pub fn after_claim(claim: Claim, cores: &[u64]) -> Self {
        let now_ms = 1_000;
        let mut dispatcher = Dispatcher::new(RunTimes::default(), claim, now_ms);
        for (index, cores) in cores.iter().enumerate() {
            dispatcher.upsert_target(target(index, *cores));
        }
        Harness { dispatcher, now_ms, next_request: 0, connected: Vec::new() }
    }

    pub fn submit(&mut self, submission: Submission) -> RequestId {
        let request = RequestId(self.next_request);
        self.next_request += 1;
        self.connected.push(submission.job.id);
        self.dispatcher.submit(submission, request, self.now_ms);
        request
    }

    /// Advances the time by `ms`, with a tick every 5 ms.
    pub fn advance(&mut self, ms: u64) {
        for _ in 0..ms / 5 {
            self.now_ms += 5;
            for job in &self.connected {
                self.dispatcher.record_caller_check(*job, self.now_ms);
            }
            self.dispatcher.tick(self.now_ms);
        }
    }

    pub fn apply_listing(
        &mut self,
        index: usize,
        running: &[(Run, u8)],
        ends: &[(u64, Run, RunEnd)],
    ) {
        self.apply_listing_of_incarnation(1, index, running, ends);
    }

    pub fn apply_listing_of_incarnation(
        &mut self,
        started_unix_ms: u64,
        index: usize,
        running: &[(Run, u8)],
        ends: &[(u64, Run, RunEnd)],
    ) {
        let requested_at_ms = self.now_ms;
        self.now_ms += 1;
        let running = running.iter().map(|(run, progress_percent)| ListedRun {
            run: *run,
            progress_percent: *progress_percent,
            used_cpu_milli: 14_000,
        });
        let finished = ends.iter().map(|(number, run, end)| ListedEnd {
            number: *number,
            run: *run,
            end: *end,
        });
        let listing = Listing {
            started_unix_ms,
            clock_ms: self.now_ms,
            running: running.collect(),
            finished: finished.collect(),
        };
        self.dispatcher.apply_listing(&target_id(index), &listing, requested_at_ms, self.now_ms);
    }

    /// Applies the listing of a target that has just restarted as `started_unix_ms`, requested at
    /// `requested_at_ms`, with the given clock.
    pub fn apply_listing_after_restart(
        &mut self,
        (started_unix_ms, clock_ms): (u64, u64),
        requested_at_ms: u64,
        running: &[Run],
    ) {
        let running = running.iter().map(|run| ListedRun {
            run: *run,
            progress_percent: 10,
            used_cpu_milli: 14_000,
        });
        let running = running.collect();
        let listing = Listing { started_unix_ms, clock_ms, running, finished: Vec::new() };
        self.dispatcher.apply_listing(&target_id(0), &listing, requested_at_ms, self.now_ms);
    }

    /// Applies an empty listing that was requested at `requested_at_ms`.
    pub fn apply_empty_listing(&mut self, requested_at_ms: u64, index: usize) {
        let listing = Listing {
            started_unix_ms: 1,
            clock_ms: self.now_ms,
            running: Vec::new(),
            finished: Vec::new(),
        };
        self.dispatcher.apply_listing(&target_id(index), &listing, requested_at_ms, self.now_ms);
    }

    pub fn apply_start_outcome(&mut self, index: usize, run: Run, outcome: StartOutcome) {
        self.dispatcher.apply_start_outcome(&target_id(index), run, 0, outcome, None, self.now_ms);
    }

    /// Returns the time of the harness until which the next listing request extends the lease of a
    /// target.
    pub fn lease_until_ms(&mut self, index: usize) -> Option<u64> {
        let request = self.dispatcher.listing_request(&target_id(index), self.now_ms);
        request.expect("the target is known").lease_until_clock_ms
    }

    pub fn take_actions(&mut self) -> Vec<Action> {
        self.dispatcher.take_actions()
    }

    pub fn take_starts(&mut self) -> Vec<(String, Run)> {
        let starts = self.take_actions().into_iter().filter_map(|action| match action {
            Action::Start { target, run, .. } => Some((target.to_string(), run)),
            _ => None,
        });
        starts.collect()
    }

    /// Takes the pending actions and returns the targets that are asked for a listing.
    pub fn take_listing_requests(&mut self) -> Vec<String> {
        let requests = self.take_actions().into_iter().filter_map(|action| match action {
            Action::RequestListing { target } => Some(target.to_string()),
            _ => None,
        });
        requests.collect()
    }

    /// Takes the pending actions and returns the targets whose polling is restarted.
    pub fn take_polling_restarts(&mut self) -> Vec<String> {
        let restarts = self.take_actions().into_iter().filter_map(|action| match action {
            Action::RestartPolling { target } => Some(target.to_string()),
            _ => None,
        });
        restarts.collect()
    }

    pub fn take_stops(&mut self) -> Vec<Run> {
        let stops = self.take_actions().into_iter().filter_map(|action| match action {
            Action::Stop { run, .. } => Some(run),
            _ => None,
        });
        stops.collect()
    }

    /// Occupies the only target, queues a late job of 12 tasks with `done` of them done, and a job
    /// that is in time. Returns the job that starts first when the target is free.
    pub fn first_started_of_late_and_timely(&mut self, done: u16) -> String {
        let blocking = "00000000000000cc";
        self.submit(job(blocking, vec![step(1)]));
        let blocking_run = self.take_starts()[0].1;
        self.submit(Submission {
            excluded_tasks: (0..done).map(|index| (0, index)).collect(),
            earlier_runs: EarlierRuns::OwnZone,
            waited_ms: 400,
            ..job(JOB, vec![step(12)])
        });
        let mut timely = job("00000000000000bb", vec![step(1)]);
        timely.queue.stretch = 20.0;
        self.submit(timely);
        self.advance(50);
        self.apply_listing(0, &[], &[(1, blocking_run, RunEnd::Done)]);
        self.take_starts()[0].1.task.job.as_str().to_owned()
    }

    pub fn report_capacity(&mut self, zone: &str, free_tasks: u64) {
        let zone = zone.parse().expect("tests use valid zone names");
        self.dispatcher.update_remote_capacity(&zone, free_tasks, self.now_ms);
    }

    /// Takes the pending actions and returns the zone and the number of tasks of each offloaded
    /// part.
    pub fn take_offloaded_parts(&mut self) -> Vec<(String, usize)> {
        let parts = self.take_actions().into_iter().filter_map(|action| match action {
            Action::OffloadPart { zone, submission, .. } => {
                let tasks = submission.job.task_count() - submission.excluded_tasks.len();
                Some((zone.as_str().to_owned(), tasks))
            }
            _ => None,
        });
        parts.collect()
    }

    pub fn take_answers(&mut self) -> Vec<JobAnswer> {
        let answers = self.take_actions().into_iter().filter_map(|action| match action {
            Action::Answer { answer, .. } => Some(answer),
            _ => None,
        });
        answers.collect()
    }
}

pub fn target_id(index: usize) -> String {
    format!("t-{index}")
}

pub fn target(index: usize, cores: u64) -> TargetInfo {
    TargetInfo {
        id: target_id(index).into(),
        started_unix_ms: 1,
        service: "work".into(),
        addr: ([127, 0, 0, 1], 9_000 + index as u16).into(),
        zone: "a".parse().expect("`a` is a valid zone name"),
        capacity: Capacity { cpu_milli: cores * 1_000, memory_mb: 1_024, gpus: 0 },
        labels: vec![format!("rack-{index}")],
        draining: false,
    }
}

pub fn remote_target(zone: &str, cores: u64) -> TargetInfo {
    let id = format!("remote-{zone}").into();
    let zone = zone.parse().expect("tests use valid zone names");
    TargetInfo { id, zone, ..target(0, cores) }
}

pub fn step(count: u16) -> StepSpec {
    StepSpec {
        count,
        demand: Capacity { cpu_milli: 14_000, memory_mb: 64, gpus: 0 },
        estimate_ms: 100,
        after: Vec::new(),
        required_label: None,
        near_rack: None,
        max_per_target: None,
    }
}

pub fn job(id: &str, steps: Vec<StepSpec>) -> Submission {
    Submission {
        job: BatchJob {
            id: id.parse().expect("tests use job ids of 16 hexadecimal digits"),
            spec: Arc::from("work"),
            steps,
        },
        queue: QueueRules {
            name: "queue".into(),
            service: "work".into(),
            priority: 1,
            max_attempts: 3,
            stretch: 1.6,
            target_latency_ms: 60,
            targets_enforce_capacity: true,
        },
        earlier_runs: EarlierRuns::None,
        run_targets: None,
        released_under: None,
        part: None,
        excluded_tasks: Vec::new(),
        holder: None,
        waited_ms: 0,
        deadline_ms: DEADLINE_MS,
        caller_check_age_ms: 0,
    }
}

/// Returns a job of `tasks` tasks of 14 cores for 100 ms in a queue of its own for each priority.
pub fn job_of_priority(id: &str, priority: u8, tasks: u16) -> Submission {
    job_of_queue(id, &format!("queue-{priority}"), priority, tasks)
}

pub fn job_of_queue(id: &str, queue: &str, priority: u8, tasks: u16) -> Submission {
    let mut submission = job(id, vec![step(tasks)]);
    submission.queue.name = queue.into();
    submission.queue.priority = priority;
    // The objective is 460 ms and the limit for the start 161 ms, which are 1.3 tasks of 14 cores at the
    // rate of 16 cores.
    submission.queue.stretch = 4.0;
    submission
}

pub fn id_of(number: u64) -> String {
    format!("{number:016x}")
}

pub fn run(index: u16, number: u32) -> Run {
    Run { task: format!("{JOB}.0.0.{index}").parse().expect("`JOB` is a valid job id"), number }
}

macro_rules! cases {
    ($($name:ident($harness:ident: $cores:expr) $body:block)+) => {
        $(
            #[test]
            fn $name() {
                let mut $harness = Harness::new(&$cores);
                $body
            }
        )+
    };
}
