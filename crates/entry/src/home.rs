//! The home of sessions: decides on every submission, and follows its jobs.

use std::{
    sync::{
        Arc, Weak,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use async_std::future::timeout;
use ggb_config::{Claim, ClaimOutcome, claim_key};
use ggb_control::{Clock, Configuration, Members, unix_ms};
use ggb_model::{
    HomeId, JobSpec, Outcome, Profile, Refusal, RefusalReason, Sequence, SessionId, SubmissionId,
    UnknownReason,
};
use ggb_platform::{ClaimStore, Claimed, Targets};
use ggb_policy::RetryBudget;
use ggb_session::{Answer, CancelVerdict, Lookup, SealedTable, SessionTable, Verdict};
use ggb_telemetry::{EntryMetrics, log_event};
use parking_lot::Mutex;

use crate::{
    job::{Job, Jobs},
    links::Links,
    reports::Reports,
    settings::Placer,
};

const RETRIES_PER_THOUSAND_STARTS: u32 = 100;
const MOST_RETRIES: u32 = 500;

/// Whether this process may start work.
enum Authority {
    Home(SessionTable),
    /// The table was sealed; nothing is started any more.
    Given,
}

struct State {
    authority: Authority,
    jobs: Jobs,
}

/// What a home uses and is part of.
pub(crate) struct HomeParts {
    pub(crate) table: SessionTable,
    pub(crate) clock: Clock,
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) members: Arc<Members>,
    pub(crate) links: Arc<Links>,
    pub(crate) targets: Arc<dyn Targets>,
    pub(crate) claims: ClaimStore,
    pub(crate) placer: Placer,
    pub(crate) reports: Arc<Reports>,
}

/// The home of the sessions that were opened here.
pub(crate) struct Home {
    pub(crate) id: HomeId,
    pub(crate) clock: Clock,
    pub(crate) metrics: EntryMetrics,
    pub(crate) members: Arc<Members>,
    pub(crate) links: Arc<Links>,
    pub(crate) targets: Arc<dyn Targets>,
    pub(crate) retries: Mutex<RetryBudget>,
    pub(crate) placer: Placer,
    pub(crate) reports: Arc<Reports>,
    pub(crate) own: Weak<Home>,
    configuration: Arc<Configuration>,
    claims: ClaimStore,
    state: Mutex<State>,
    next_lease: AtomicU64,
    draining: AtomicBool,
}

impl Home {
    pub(crate) fn new(parts: HomeParts) -> Arc<Self> {
        Arc::new_cyclic(|own| Home {
            id: parts.table.home(),
            clock: parts.clock,
            metrics: EntryMetrics::new(),
            members: parts.members,
            links: parts.links,
            targets: parts.targets,
            retries: Mutex::new(RetryBudget::new(RETRIES_PER_THOUSAND_STARTS, MOST_RETRIES)),
            placer: parts.placer,
            reports: parts.reports,
            own: Weak::clone(own),
            configuration: parts.configuration,
            claims: parts.claims,
            state: Mutex::new(State {
                authority: Authority::Home(parts.table),
                jobs: Jobs::default(),
            }),
            next_lease: AtomicU64::new(0),
            draining: AtomicBool::new(false),
        })
    }

    /// Opens a session.
    pub(crate) fn open_session(&self) -> Result<SessionId, Refusal> {
        if self.configuration.generation().is_none() {
            return Err(Refusal {
                reason: RefusalReason::NoConfiguration,
                retry_after_ms: Some(1_000),
            });
        }
        let now_ms = self.clock.now_ms();
        match &mut self.state.lock().authority {
            Authority::Home(table) => table.open(rand::random(), now_ms),
            Authority::Given => {
                Err(Refusal { reason: RefusalReason::Draining, retry_after_ms: None })
            }
        }
    }

    /// Takes a submission of a session of this home and waits for its answer.
    pub(crate) async fn submit(
        self: &Arc<Self>,
        id: SubmissionId,
        body: &[u8],
        wait_ms: u32,
    ) -> Answer {
        let spec = match read_spec(body) {
            Ok(spec) => spec,
            Err(message) => return Answer::new(&Outcome::Invalid { message }),
        };
        if let Some(below) = spec.acknowledge_below {
            self.acknowledge(&id.session, Sequence(below));
        }
        match self.admit(id, spec, body) {
            Ok(()) => self.ask(id, wait_ms).await,
            Err(answer) => answer,
        }
    }

    /// Returns the answer of a submission, or that it runs, after waiting for it.
    pub(crate) async fn ask(&self, id: SubmissionId, wait_ms: u32) -> Answer {
        let job = self.state.lock().jobs.by_id(&id);
        if let Some(job) = job {
            timeout(Duration::from_millis(wait_ms.into()), job.done().recv()).await.ok();
        }
        let lookup = match &mut self.state.lock().authority {
            Authority::Home(table) => table.lookup(&id.session, id.sequence, self.clock.now_ms()),
            Authority::Given => Lookup::SessionUnknown,
        };
        answer_of(lookup)
    }

    /// Cancels a submission and returns its outcome.
    pub(crate) fn cancel(&self, id: SubmissionId) -> Answer {
        let (verdict, job) = {
            let mut state = self.state.lock();
            let Authority::Home(table) = &mut state.authority else {
                return answer_of(Lookup::SessionUnknown);
            };
            let verdict = table.cancel(&id.session, id.sequence, self.clock.now_ms());
            (verdict, state.jobs.by_id(&id))
        };
        match (verdict, job) {
            (CancelVerdict::Running, Some(job)) => {
                let refusal = Refusal { reason: RefusalReason::Cancelled, retry_after_ms: None };
                self.stop(&job, refusal);
                self.lookup(id)
            }
            (CancelVerdict::Running, None) => self.lookup(id),
            (CancelVerdict::Finished(answer), _) => answer,
            (CancelVerdict::AlreadyAcknowledged, _) => Answer::new(&Outcome::AlreadyAcknowledged),
            (CancelVerdict::WindowExceeded, _) => unknown(UnknownReason::WindowExceeded, true),
            (CancelVerdict::SessionUnknown, _) => unknown(UnknownReason::SessionUnknown, false),
        }
    }

    /// Frees the answers below a sequence.
    pub(crate) fn acknowledge(&self, session: &SessionId, below: Sequence) -> Answer {
        let known = match &mut self.state.lock().authority {
            Authority::Home(table) => table.acknowledge(session, below, self.clock.now_ms()),
            Authority::Given => false,
        };
        match known {
            true => Answer::new(&Outcome::AlreadyAcknowledged),
            false => unknown(UnknownReason::SessionUnknown, false),
        }
    }

    /// Refuses new work from now on.
    pub(crate) fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
        if let Authority::Home(table) = &mut self.state.lock().authority {
            table.drain();
        }
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Returns the number of jobs in progress.
    pub(crate) fn running_jobs(&self) -> usize {
        match &self.state.lock().authority {
            Authority::Home(table) => table.running_jobs(),
            Authority::Given => 0,
        }
    }

    /// Ends this process's authority to start work, and returns what it knows.
    pub(crate) fn seal(&self) -> Option<SealedTable> {
        let authority = std::mem::replace(&mut self.state.lock().authority, Authority::Given);
        match authority {
            Authority::Home(table) => Some(table.seal()),
            Authority::Given => None,
        }
    }

    /// Drops what nobody uses any more.
    pub(crate) fn evict_idle(&self) {
        if let Authority::Home(table) = &mut self.state.lock().authority {
            table.evict_idle(self.clock.now_ms());
        }
    }

    /// Returns the metrics, brought up to date.
    pub(crate) fn fresh_metrics(&self) -> &EntryMetrics {
        if let Authority::Home(table) = &self.state.lock().authority {
            self.metrics.sessions.set(table.sessions() as i64);
            self.metrics.running_jobs.set(table.running_jobs() as i64);
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

    pub(crate) fn next_lease_number(&self) -> u64 {
        self.next_lease.fetch_add(1, Ordering::Relaxed)
    }

    /// Records the final answer of a job and wakes all who wait for it.
    pub(crate) fn record(&self, job: &Job, answer: Answer) {
        let now_ms = self.clock.now_ms();
        let mut state = self.state.lock();
        if let Authority::Home(table) = &mut state.authority {
            table.finish(&job.id.session, job.id.sequence, answer, now_ms);
        }
        state.jobs.remove(job);
        drop(state);
        job.announce_done();
    }

    /// Records a submission and starts its job, or returns what is already decided.
    fn admit(self: &Arc<Self>, id: SubmissionId, spec: JobSpec, body: &[u8]) -> Result<(), Answer> {
        let now_ms = self.clock.now_ms();
        let mut state = self.state.lock();
        let Authority::Home(table) = &mut state.authority else {
            return Err(answer_of(Lookup::SessionUnknown));
        };
        match table.submit(&id.session, id.sequence, body, now_ms) {
            Verdict::New => {}
            Verdict::Running => return Ok(()),
            Verdict::Finished(answer) => return Err(answer),
            Verdict::AlreadyAcknowledged => {
                return Err(Answer::new(&Outcome::AlreadyAcknowledged));
            }
            Verdict::Conflict => return Err(Answer::new(&Outcome::Conflict)),
            Verdict::WindowExceeded => return Err(unknown(UnknownReason::WindowExceeded, true)),
            Verdict::SessionUnknown => return Err(unknown(UnknownReason::SessionUnknown, false)),
        }
        let profile = match self.profile_for(&spec) {
            Ok(profile) => profile,
            Err(reason) => {
                let answer = Answer::new(&Outcome::not_run(reason));
                table.finish(&id.session, id.sequence, answer.clone(), now_ms);
                let reason = reason.to_string();
                self.metrics.refusals.with_label_values(&[reason.as_str(), ""]).inc();
                return Err(answer);
            }
        };
        let job = Arc::new(Job::new(state.jobs.next_number(), id, spec, &profile));
        state.jobs.insert(Arc::clone(&job));
        drop(state);
        self.watch_deadline(&job);
        match claimed_key(&job, &profile) {
            Some(key) => drop(async_std::task::spawn(Arc::clone(self).claim(job, key))),
            None => self.place(&job),
        }
        Ok(())
    }

    fn profile_for(&self, spec: &JobSpec) -> Result<Profile, RefusalReason> {
        let snapshot = self.configuration.snapshot().ok_or(RefusalReason::NoConfiguration)?;
        let profile = snapshot.find(&spec.profile).ok_or(RefusalReason::UnknownProfile)?;
        match profile.settings().business_keys {
            _ if profile.retired() => Err(RefusalReason::RetiredProfile),
            true if spec.business_key.is_none() => Err(RefusalReason::InvalidJob),
            _ => Ok(profile.clone()),
        }
    }

    /// Claims the business key of a job before anything of it starts.
    async fn claim(self: Arc<Self>, job: Arc<Job>, key: String) {
        let claim = Claim::new(job.id.to_string(), unix_ms());
        match self.claims.claim(&key, &claim).await {
            Ok(Claimed::Own) => {
                self.place(&job);
                job.done().recv().await.ok();
                self.settle_claim(&job, &key, claim).await;
            }
            Ok(Claimed::Other(other)) => {
                let outcome = match other.outcome {
                    Some(settled) => Answer::from_encoded(settled.kind, settled.text),
                    None => Answer::new(&Outcome::Unknown {
                        reason: UnknownReason::ClaimUnsettled,
                        ask_again: true,
                    }),
                };
                self.record(&job, outcome);
            }
            Err(error) => {
                log_event!(warn, ClaimUnconfirmed, %error);
                let reason = RefusalReason::ClaimUnavailable;
                self.stop(&job, Refusal { reason, retry_after_ms: Some(1_000) });
            }
        }
    }

    async fn settle_claim(&self, job: &Job, key: &str, mut claim: Claim) {
        let answer = self.lookup(job.id);
        let text = answer.as_str().to_owned();
        claim.outcome = Some(ClaimOutcome { kind: answer.kind(), text });
        if let Err(error) = self.claims.settle(key, &claim).await {
            log_event!(warn, ClaimOutcomeUnwritten, %error);
        }
    }

    fn lookup(&self, id: SubmissionId) -> Answer {
        match &mut self.state.lock().authority {
            Authority::Home(table) => {
                answer_of(table.lookup(&id.session, id.sequence, self.clock.now_ms()))
            }
            Authority::Given => answer_of(Lookup::SessionUnknown),
        }
    }
}

/// Returns what a caller is told about a submission.
pub(crate) fn answer_of(lookup: Lookup) -> Answer {
    match lookup {
        Lookup::Running => Answer::new(&Outcome::Running),
        Lookup::Finished(answer) => answer,
        Lookup::AlreadyAcknowledged => Answer::new(&Outcome::AlreadyAcknowledged),
        Lookup::NeverSeen => unknown(UnknownReason::NeverSeen, true),
        Lookup::SessionUnknown => unknown(UnknownReason::SessionUnknown, false),
    }
}

/// Returns an answer that leaves open whether anything was started.
pub(crate) fn unknown(reason: UnknownReason, ask_again: bool) -> Answer {
    Answer::new(&Outcome::Unknown { reason, ask_again })
}

fn read_spec(body: &[u8]) -> Result<JobSpec, String> {
    let spec: JobSpec = serde_json::from_slice(body).map_err(|error| error.to_string())?;
    spec.validate().map_err(|error| error.to_string())?;
    Ok(spec)
}

fn claimed_key(job: &Job, profile: &Profile) -> Option<String> {
    let key = job.spec.business_key.as_deref().filter(|_| profile.settings().business_keys)?;
    Some(claim_key(profile.name(), key))
}
