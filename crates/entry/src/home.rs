//! Recording, lookup and cancellation of submissions at the home of their session.

use std::{
    sync::{
        Arc, Weak,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use async_std::future::timeout;
use ggb_config::{Claim, ClaimOutcome, claim_key};
use ggb_control::{Configuration, Members, MonotonicClock, unix_time_ms};
use ggb_model::{
    HomeId, JobSpec, Outcome, Profile, Refusal, RefusalReason, Sequence, SessionId, SubmissionId,
    UnknownReason,
};
use ggb_platform::{ClaimResult, ClaimStore, TargetApi};
use ggb_policy::RetryBudget;
use ggb_session::{
    CancelDecision, EncodedOutcome, SealedTable, SessionTable, SubmissionStatus, SubmitDecision,
};
use ggb_telemetry::{EntryMetrics, log_event};
use parking_lot::Mutex;

use crate::{
    dispatcher_links::DispatcherLinks,
    job::{Job, JobTable},
    load_reports::LoadReports,
    settings::PlacementPolicy,
};

/// Placement retries that the retry budget gains with every thousand first attempts.
const RETRIES_PER_THOUSAND_STARTS: u32 = 100;
/// Maximum number of placement retries that the budget can hold.
const RETRY_BUDGET_CAPACITY: u32 = 500;

/// Authority of this process to start tasks of its sessions.
enum Authority {
    /// The process accepts submissions and starts their tasks.
    Active(SessionTable),
    /// The session table was sealed; the process starts no more tasks.
    ///
    /// The table still answers callers, also while it is handed off.
    Sealed(SealedTable),
}

impl Authority {
    fn status(&mut self, id: SubmissionId, now_ms: u64) -> SubmissionStatus {
        match self {
            Authority::Active(table) => table.lookup(&id.session, id.sequence, now_ms),
            Authority::Sealed(table) => table.lookup(&id.session, id.sequence),
        }
    }
}

struct State {
    authority: Authority,
    jobs: JobTable,
}

/// Values and services from which a [`Home`] is built.
pub(crate) struct HomeDependencies {
    pub(crate) table: SessionTable,
    pub(crate) clock: MonotonicClock,
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) members: Arc<Members>,
    pub(crate) links: Arc<DispatcherLinks>,
    pub(crate) targets: Arc<dyn TargetApi>,
    pub(crate) claims: ClaimStore,
    pub(crate) placement: PlacementPolicy,
    pub(crate) load_reports: Arc<LoadReports>,
}

/// State of this process as the home of the sessions that were opened here.
///
/// Sending tasks to targets is in the module `execution`, requesting slot leases
/// from dispatchers in `placement`.
pub(crate) struct Home {
    pub(crate) id: HomeId,
    pub(crate) clock: MonotonicClock,
    pub(crate) metrics: EntryMetrics,
    pub(crate) members: Arc<Members>,
    pub(crate) links: Arc<DispatcherLinks>,
    pub(crate) targets: Arc<dyn TargetApi>,
    pub(crate) retries: Mutex<RetryBudget>,
    pub(crate) placement: PlacementPolicy,
    pub(crate) load_reports: Arc<LoadReports>,
    /// Reference to this home, for the async tasks that it spawns.
    pub(crate) weak_self: Weak<Home>,
    configuration: Arc<Configuration>,
    claims: ClaimStore,
    state: Mutex<State>,
    next_lease: AtomicU64,
    draining: AtomicBool,
}

impl Home {
    pub(crate) fn new(dependencies: HomeDependencies) -> Arc<Self> {
        Arc::new_cyclic(|weak_self| Home {
            id: dependencies.table.home(),
            clock: dependencies.clock,
            metrics: EntryMetrics::new(),
            members: dependencies.members,
            links: dependencies.links,
            targets: dependencies.targets,
            retries: Mutex::new(RetryBudget::new(
                RETRIES_PER_THOUSAND_STARTS,
                RETRY_BUDGET_CAPACITY,
            )),
            placement: dependencies.placement,
            load_reports: dependencies.load_reports,
            weak_self: Weak::clone(weak_self),
            configuration: dependencies.configuration,
            claims: dependencies.claims,
            state: Mutex::new(State {
                authority: Authority::Active(dependencies.table),
                jobs: JobTable::default(),
            }),
            next_lease: AtomicU64::new(0),
            draining: AtomicBool::new(false),
        })
    }

    /// Opens a session; refused while there is no configuration or the home drains.
    pub(crate) fn open_session(&self) -> Result<SessionId, Refusal> {
        if self.configuration.generation().is_none() {
            return Err(Refusal {
                reason: RefusalReason::NoConfiguration,
                retry_after_ms: Some(1_000),
            });
        }
        let now_ms = self.clock.now_ms();
        match &mut self.state.lock().authority {
            Authority::Active(table) => table.open(rand::random(), now_ms),
            Authority::Sealed(_) => {
                Err(Refusal { reason: RefusalReason::Draining, retry_after_ms: None })
            }
        }
    }

    /// Records a submission to a session of this home, starts its job, and waits for its answer.
    ///
    /// Returns `Running` if there is no answer within `wait_ms`.
    pub(crate) async fn submit(
        self: &Arc<Self>,
        id: SubmissionId,
        body: &[u8],
        wait_ms: u32,
    ) -> EncodedOutcome {
        let spec = match parse_spec(body) {
            Ok(spec) => spec,
            Err(message) => return EncodedOutcome::new(&Outcome::Invalid { message }),
        };
        if let Some(below) = spec.acknowledge_below {
            self.acknowledge(&id.session, Sequence(below));
        }
        match self.start_job(id, spec, body) {
            Ok(()) => self.wait_for_answer(id, wait_ms).await,
            Err(answer) => answer,
        }
    }

    /// Waits up to `wait_ms` for the answer of a submission.
    ///
    /// Returns `Running` if the job is still in progress by then.
    pub(crate) async fn wait_for_answer(&self, id: SubmissionId, wait_ms: u32) -> EncodedOutcome {
        let job = self.state.lock().jobs.by_id(&id);
        if let Some(job) = job {
            timeout(Duration::from_millis(wait_ms.into()), job.completion().recv()).await.ok();
        }
        self.lookup(id)
    }

    /// Cancels a submission and returns its outcome.
    ///
    /// A job that was decided before the cancellation keeps its answer.
    pub(crate) fn cancel(&self, id: SubmissionId) -> EncodedOutcome {
        let (decision, job) = {
            let mut state = self.state.lock();
            let table = match &mut state.authority {
                Authority::Active(table) => table,
                Authority::Sealed(table) => {
                    return answer_from_status(table.lookup(&id.session, id.sequence));
                }
            };
            let decision = table.cancel(&id.session, id.sequence, self.clock.now_ms());
            (decision, state.jobs.by_id(&id))
        };
        match (decision, job) {
            (CancelDecision::Running, Some(job)) => {
                let refusal = Refusal { reason: RefusalReason::Cancelled, retry_after_ms: None };
                self.stop_job(&job, refusal);
                self.lookup(id)
            }
            (CancelDecision::Running, None) => self.lookup(id),
            (CancelDecision::Finished(answer), _) => answer,
            (CancelDecision::AlreadyAcknowledged, _) => {
                EncodedOutcome::new(&Outcome::AlreadyAcknowledged)
            }
            (CancelDecision::WindowExceeded, _) => {
                unknown_answer(UnknownReason::WindowExceeded, true)
            }
            (CancelDecision::SessionUnknown, _) => {
                unknown_answer(UnknownReason::SessionUnknown, false)
            }
        }
    }

    /// Frees the answers of all sequences of a session that are lower than `below`.
    pub(crate) fn acknowledge(&self, session: &SessionId, below: Sequence) -> EncodedOutcome {
        let session_known = match &mut self.state.lock().authority {
            Authority::Active(table) => table.acknowledge(session, below, self.clock.now_ms()),
            Authority::Sealed(table) => return answer_from_status(table.lookup(session, below)),
        };
        match session_known {
            true => EncodedOutcome::new(&Outcome::AlreadyAcknowledged),
            false => unknown_answer(UnknownReason::SessionUnknown, false),
        }
    }

    /// Refuses new sessions and submissions from now on; running jobs continue.
    pub(crate) fn begin_drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
        if let Authority::Active(table) = &mut self.state.lock().authority {
            table.start_draining();
        }
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Returns the number of jobs in progress.
    pub(crate) fn running_jobs(&self) -> usize {
        match &self.state.lock().authority {
            Authority::Active(table) => table.running_job_count(),
            Authority::Sealed(_) => 0,
        }
    }

    /// Ends the authority of this process to start tasks and returns the sealed session table.
    ///
    /// Returns `None` if the table was sealed before.
    pub(crate) fn seal(&self) -> Option<SealedTable> {
        let mut state = self.state.lock();
        let empty = Authority::Sealed(SealedTable::empty(self.id));
        match std::mem::replace(&mut state.authority, empty) {
            Authority::Active(table) => {
                let sealed = table.seal();
                state.authority = Authority::Sealed(sealed.clone());
                Some(sealed)
            }
            sealed => {
                state.authority = sealed;
                None
            }
        }
    }

    /// Removes sessions that were idle for longer than their limit, with their answers.
    pub(crate) fn evict_idle(&self) {
        if let Authority::Active(table) = &mut self.state.lock().authority {
            table.evict_idle(self.clock.now_ms());
        }
    }

    /// Returns the metrics after updating all gauges.
    pub(crate) fn updated_metrics(&self) -> &EntryMetrics {
        if let Authority::Active(table) = &self.state.lock().authority {
            self.metrics.sessions.set(table.session_count() as i64);
            self.metrics.running_jobs.set(table.running_job_count() as i64);
            self.metrics.retained_bytes.set(table.retained_bytes() as i64);
        }
        let generation = self.configuration.generation().map_or(-1, |g| g.0 as i64);
        self.metrics.generation.set(generation);
        &self.metrics
    }

    pub(crate) fn job(&self, number: u64) -> Option<Arc<Job>> {
        self.state.lock().jobs.by_number(number)
    }

    pub(crate) fn jobs(&self) -> Vec<Arc<Job>> {
        self.state.lock().jobs.all()
    }

    /// Returns a number that this home has not given to a lease before.
    pub(crate) fn next_lease_number(&self) -> u64 {
        self.next_lease.fetch_add(1, Ordering::Relaxed)
    }

    /// Records the final answer of a job and wakes all requests that wait for it.
    pub(crate) fn record_answer(&self, job: &Job, answer: EncodedOutcome) {
        let now_ms = self.clock.now_ms();
        let mut state = self.state.lock();
        if let Authority::Active(table) = &mut state.authority {
            table.finish(&job.id.session, job.id.sequence, answer, now_ms);
        }
        state.jobs.remove(job);
        drop(state);
        job.signal_completion();
    }

    /// Records a submission and starts to place its job.
    ///
    /// Returns `Ok` if the job is in progress, including one that an earlier copy of the
    /// submission started, and otherwise the answer to the caller as `Err`.
    fn start_job(
        self: &Arc<Self>,
        id: SubmissionId,
        spec: JobSpec,
        body: &[u8],
    ) -> Result<(), EncodedOutcome> {
        let now_ms = self.clock.now_ms();
        let mut state = self.state.lock();
        let table = match &mut state.authority {
            Authority::Active(table) => table,
            Authority::Sealed(table) => {
                return Err(answer_from_status(table.lookup(&id.session, id.sequence)));
            }
        };
        match table.submit(&id.session, id.sequence, body, now_ms) {
            SubmitDecision::New => {}
            SubmitDecision::Running => return Ok(()),
            SubmitDecision::Finished(answer) => return Err(answer),
            SubmitDecision::AlreadyAcknowledged => {
                return Err(EncodedOutcome::new(&Outcome::AlreadyAcknowledged));
            }
            SubmitDecision::Conflict => return Err(EncodedOutcome::new(&Outcome::Conflict)),
            SubmitDecision::WindowExceeded => {
                return Err(unknown_answer(UnknownReason::WindowExceeded, true));
            }
            SubmitDecision::SessionUnknown => {
                return Err(unknown_answer(UnknownReason::SessionUnknown, false));
            }
        }
        let profile = match self.resolve_profile(&spec) {
            Ok(profile) => profile,
            Err(reason) => {
                let answer = EncodedOutcome::new(&Outcome::not_run(reason));
                table.finish(&id.session, id.sequence, answer.clone(), now_ms);
                let reason = reason.to_string();
                self.metrics.refusals.with_label_values(&[reason.as_str(), ""]).inc();
                return Err(answer);
            }
        };
        let job = Arc::new(Job::new(state.jobs.next_number(), id, spec, &profile));
        state.jobs.insert(Arc::clone(&job));
        drop(state);
        self.spawn_deadline_watch(&job);
        match claim_key_of(&job, &profile) {
            Some(key) => drop(async_std::task::spawn(Arc::clone(self).claim_and_place(job, key))),
            None => self.place_tasks(&job),
        }
        Ok(())
    }

    fn resolve_profile(&self, spec: &JobSpec) -> Result<Profile, RefusalReason> {
        let snapshot = self.configuration.snapshot().ok_or(RefusalReason::NoConfiguration)?;
        let profile = snapshot.find(&spec.profile).ok_or(RefusalReason::UnknownProfile)?;
        match profile.settings().business_keys {
            _ if profile.retired() => Err(RefusalReason::RetiredProfile),
            true if spec.business_key.is_none() => Err(RefusalReason::InvalidJob),
            _ => Ok(profile.clone()),
        }
    }

    /// Claims the business key of a job and places its tasks once the claim is confirmed.
    ///
    /// If another submission holds the key, the job ends with the outcome of that submission.
    async fn claim_and_place(self: Arc<Self>, job: Arc<Job>, key: String) {
        let claim = Claim::new(job.id.to_string(), unix_time_ms());
        match self.claims.claim(&key, &claim).await {
            Ok(ClaimResult::Acquired) => {
                self.place_tasks(&job);
                job.completion().recv().await.ok();
                self.store_claim_outcome(&job, &key, claim).await;
            }
            Ok(ClaimResult::AlreadyClaimed(other)) => {
                let outcome = match other.outcome {
                    Some(settled) => EncodedOutcome::from_encoded(settled.kind, settled.text),
                    None => EncodedOutcome::new(&Outcome::Unknown {
                        reason: UnknownReason::ClaimUnsettled,
                        ask_again: true,
                    }),
                };
                self.record_answer(&job, outcome);
            }
            Err(error) => {
                log_event!(warn, ClaimUnconfirmed, %error);
                let reason = RefusalReason::ClaimUnavailable;
                self.stop_job(&job, Refusal { reason, retry_after_ms: Some(1_000) });
            }
        }
    }

    async fn store_claim_outcome(&self, job: &Job, key: &str, mut claim: Claim) {
        let answer = self.lookup(job.id);
        let text = answer.as_str().to_owned();
        claim.outcome = Some(ClaimOutcome { kind: answer.kind(), text });
        if let Err(error) = self.claims.record_outcome(key, &claim).await {
            log_event!(warn, ClaimOutcomeUnwritten, %error);
        }
    }

    fn lookup(&self, id: SubmissionId) -> EncodedOutcome {
        let status = self.state.lock().authority.status(id, self.clock.now_ms());
        answer_from_status(status)
    }
}

/// Returns the answer to the caller for the recorded state of a submission.
pub(crate) fn answer_from_status(status: SubmissionStatus) -> EncodedOutcome {
    match status {
        SubmissionStatus::Running => EncodedOutcome::new(&Outcome::Running),
        SubmissionStatus::Finished(answer) => answer,
        SubmissionStatus::AlreadyAcknowledged => EncodedOutcome::new(&Outcome::AlreadyAcknowledged),
        SubmissionStatus::NeverSeen => unknown_answer(UnknownReason::NeverSeen, true),
        SubmissionStatus::SessionUnknown => unknown_answer(UnknownReason::SessionUnknown, false),
    }
}

/// Returns the answer for a submission of which it is not known whether any task was started.
pub(crate) fn unknown_answer(reason: UnknownReason, ask_again: bool) -> EncodedOutcome {
    EncodedOutcome::new(&Outcome::Unknown { reason, ask_again })
}

fn parse_spec(body: &[u8]) -> Result<JobSpec, String> {
    let spec: JobSpec = serde_json::from_slice(body).map_err(|error| error.to_string())?;
    spec.validate().map_err(|error| error.to_string())?;
    Ok(spec)
}

fn claim_key_of(job: &Job, profile: &Profile) -> Option<String> {
    let key = job.spec.business_key.as_deref().filter(|_| profile.settings().business_keys)?;
    Some(claim_key(profile.name(), key))
}
