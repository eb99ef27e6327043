//! Table of the sessions at their home.

use ggb_model::{HomeId, Outcome, Refusal, RefusalReason, Sequence, SessionId};

use crate::{
    SealedTable,
    session::{EncodedOutcome, Fingerprint, Session, SubmissionEntry, SubmissionState},
};

/// Delay after which a caller may retry a submission that an overloaded home refused.
const OVERLOADED_RETRY_AFTER_MS: u32 = 500;

/// Limits on the state of a home.
#[derive(Clone, Debug)]
pub struct SessionLimits {
    /// Maximum number of open sessions.
    pub max_sessions: usize,
    /// Number of sequences, counted from the watermark of a session, that are accepted.
    pub max_window: u64,
    /// Maximum number of running jobs over all sessions.
    pub max_running_jobs: usize,
    /// Total size of unacknowledged answers, in bytes, at which new submissions are refused.
    pub max_retained_bytes: usize,
    /// Time since its last use after which a session without running jobs is dropped.
    pub session_idle_timeout_ms: u64,
}

impl Default for SessionLimits {
    fn default() -> Self {
        SessionLimits {
            max_sessions: 200_000,
            max_window: 1_024,
            max_running_jobs: 20_000,
            max_retained_bytes: 64 << 20,
            session_idle_timeout_ms: 3_600_000,
        }
    }
}

/// Decision on a submission.
#[derive(Clone, Debug)]
pub enum SubmitDecision {
    /// The submission is new and was recorded as running; the home must run its job.
    New,
    /// The submission was recorded before, and its job is running.
    Running,
    /// The submission has this final answer, possibly a refusal recorded by this call.
    Finished(EncodedOutcome),
    /// The answer was acknowledged and is no longer kept.
    AlreadyAcknowledged,
    /// The sequence was used before with a different body.
    Conflict,
    /// The sequence is too far ahead of the watermark; nothing is recorded.
    WindowExceeded,
    /// The table does not know the session.
    SessionUnknown,
}

/// Status of a submission.
#[derive(Clone, Debug)]
pub enum SubmissionStatus {
    /// The job of the submission is running.
    Running,
    /// The submission has this final answer.
    Finished(EncodedOutcome),
    /// The answer was acknowledged and is no longer kept.
    AlreadyAcknowledged,
    /// The home has not received the submission; it may still arrive.
    NeverSeen,
    /// The table does not know the session.
    SessionUnknown,
}

/// Decision on a cancellation.
#[derive(Clone, Debug)]
pub enum CancelDecision {
    /// The job is running; the home must stop it.
    Running,
    /// The submission has this final answer, possibly a refusal recorded by this call.
    Finished(EncodedOutcome),
    /// The answer was acknowledged and is no longer kept.
    AlreadyAcknowledged,
    /// The sequence is too far ahead of the watermark; nothing is recorded.
    WindowExceeded,
    /// The table does not know the session.
    SessionUnknown,
}

/// The sessions of one home, and the only authority that may start their work.
///
/// [`SessionTable::seal`] consumes the table, so that nothing can start afterwards.
#[derive(Debug)]
pub struct SessionTable {
    home: HomeId,
    limits: SessionLimits,
    /// Sorted by number.
    sessions: Vec<Session>,
    next_number: u64,
    running_job_count: usize,
    retained_bytes: usize,
    draining: bool,
}

impl SessionTable {
    /// Returns an empty table.
    pub const fn new(home: HomeId, limits: SessionLimits) -> Self {
        SessionTable {
            home,
            limits,
            sessions: Vec::new(),
            next_number: 0,
            running_job_count: 0,
            retained_bytes: 0,
            draining: false,
        }
    }

    /// Opens a session.
    ///
    /// `secret` is a random number from the process, which makes the id hard to guess.
    ///
    /// # Errors
    ///
    /// Fails while the home drains or when too many sessions are open.
    pub fn open(&mut self, secret: u64, now_ms: u64) -> Result<SessionId, Refusal> {
        let refuse = |reason| Err(Refusal { reason, retry_after_ms: None });
        if self.draining {
            return refuse(RefusalReason::Draining);
        }
        if self.sessions.len() >= self.limits.max_sessions {
            return refuse(RefusalReason::Overloaded);
        }
        let number = self.next_number;
        self.next_number += 1;
        self.sessions.push(Session {
            number,
            secret,
            watermark: Sequence(0),
            last_used_ms: now_ms,
            entries: Vec::new(),
        });
        Ok(SessionId { home: self.home, number, secret })
    }

    /// Decides what to do with a submission and records it if it is new.
    ///
    /// A refusal is recorded too, so that a later copy of the same request gets the same refusal
    /// and "not run" stays true.
    pub fn submit(
        &mut self,
        id: &SessionId,
        sequence: Sequence,
        body: &[u8],
        now_ms: u64,
    ) -> SubmitDecision {
        let fingerprint = Fingerprint::of(body);
        let refusal = self.admission_refusal();
        let max_window = self.limits.max_window;
        let Some(session) = self.session_mut(id, now_ms) else {
            return SubmitDecision::SessionUnknown;
        };
        let index = match session.position(sequence) {
            Ok(index) => return decision_for_recorded(&session.entries[index], fingerprint),
            Err(_) if sequence < session.watermark => return SubmitDecision::AlreadyAcknowledged,
            Err(_) if sequence.0 - session.watermark.0 >= max_window => {
                return SubmitDecision::WindowExceeded;
            }
            Err(index) => index,
        };
        let state = match refusal {
            Some(refusal) => {
                SubmissionState::Finished(EncodedOutcome::new(&Outcome::NotRun(refusal)))
            }
            None => SubmissionState::Running,
        };
        let entry =
            SubmissionEntry { sequence, fingerprint: Some(fingerprint), state: state.clone() };
        session.entries.insert(index, entry);
        match state {
            SubmissionState::Running => {
                self.running_job_count += 1;
                SubmitDecision::New
            }
            SubmissionState::Finished(answer) => {
                self.retained_bytes += answer.size_bytes();
                SubmitDecision::Finished(answer)
            }
        }
    }

    /// Records the final answer of a running job; further answers are ignored.
    ///
    /// The answer is not kept if the sequence is already acknowledged.
    pub fn finish(
        &mut self,
        id: &SessionId,
        sequence: Sequence,
        answer: EncodedOutcome,
        now_ms: u64,
    ) {
        let Some(session) = self.session_mut(id, now_ms) else { return };
        let Ok(index) = session.position(sequence) else { return };
        if !matches!(session.entries[index].state, SubmissionState::Running) {
            return;
        }
        let bytes = answer.size_bytes();
        let acknowledged = sequence < session.watermark;
        match acknowledged {
            true => drop(session.entries.remove(index)),
            false => session.entries[index].state = SubmissionState::Finished(answer),
        }
        self.running_job_count -= 1;
        if !acknowledged {
            self.retained_bytes += bytes;
        }
    }

    /// Returns the status of a submission.
    pub fn lookup(&mut self, id: &SessionId, sequence: Sequence, now_ms: u64) -> SubmissionStatus {
        let Some(session) = self.session_mut(id, now_ms) else {
            return SubmissionStatus::SessionUnknown;
        };
        match session.position(sequence) {
            Ok(index) => match &session.entries[index].state {
                SubmissionState::Running => SubmissionStatus::Running,
                SubmissionState::Finished(answer) => SubmissionStatus::Finished(answer.clone()),
            },
            Err(_) if sequence < session.watermark => SubmissionStatus::AlreadyAcknowledged,
            Err(_) => SubmissionStatus::NeverSeen,
        }
    }

    /// Decides what to do with a cancellation.
    ///
    /// A cancellation that arrives before its submission is recorded as a refusal.
    pub fn cancel(&mut self, id: &SessionId, sequence: Sequence, now_ms: u64) -> CancelDecision {
        let max_window = self.limits.max_window;
        let Some(session) = self.session_mut(id, now_ms) else {
            return CancelDecision::SessionUnknown;
        };
        let index = match session.position(sequence) {
            Ok(index) => {
                return match &session.entries[index].state {
                    SubmissionState::Running => CancelDecision::Running,
                    SubmissionState::Finished(answer) => CancelDecision::Finished(answer.clone()),
                };
            }
            Err(_) if sequence < session.watermark => {
                return CancelDecision::AlreadyAcknowledged;
            }
            Err(_) if sequence.0 - session.watermark.0 >= max_window => {
                return CancelDecision::WindowExceeded;
            }
            Err(index) => index,
        };
        let answer = EncodedOutcome::new(&Outcome::not_run(RefusalReason::Cancelled));
        let state = SubmissionState::Finished(answer.clone());
        session.entries.insert(index, SubmissionEntry { sequence, fingerprint: None, state });
        self.retained_bytes += answer.size_bytes();
        CancelDecision::Finished(answer)
    }

    /// Acknowledges all sequences below `below` and drops their answers.
    ///
    /// Returns whether the session is known.
    pub fn acknowledge(&mut self, id: &SessionId, below: Sequence, now_ms: u64) -> bool {
        let Some(session) = self.session_mut(id, now_ms) else { return false };
        session.watermark = session.watermark.max(below);
        let watermark = session.watermark;
        let mut freed_bytes = 0;
        session.entries.retain(|entry| match &entry.state {
            SubmissionState::Finished(answer) if entry.sequence < watermark => {
                freed_bytes += answer.size_bytes();
                false
            }
            _ => true,
        });
        self.retained_bytes -= freed_bytes;
        true
    }

    /// Drops the sessions without running jobs that were not used within the idle timeout.
    ///
    /// Later requests for such a session get `SessionUnknown`.
    pub fn evict_idle(&mut self, now_ms: u64) {
        let timeout_ms = self.limits.session_idle_timeout_ms;
        let mut freed_bytes = 0;
        self.sessions.retain(|session| {
            let keep =
                !session.is_idle() || now_ms.saturating_sub(session.last_used_ms) < timeout_ms;
            if !keep {
                freed_bytes += finished_answer_bytes(session);
            }
            keep
        });
        self.retained_bytes -= freed_bytes;
    }

    /// Refuses new sessions and submissions from now on; running jobs continue.
    pub const fn start_draining(&mut self) {
        self.draining = true;
    }

    /// Ends the authority to start work and returns the recorded answers.
    ///
    /// A job that is still running has no answer in the sealed table.
    pub fn seal(self) -> SealedTable {
        SealedTable::new(self.home, self.sessions)
    }

    /// Returns the home of the sessions.
    pub const fn home(&self) -> HomeId {
        self.home
    }

    /// Returns the number of open sessions.
    pub const fn session_count(&self) -> usize {
        self.sessions.len()
    }

    /// Returns the number of running jobs.
    pub const fn running_job_count(&self) -> usize {
        self.running_job_count
    }

    /// Returns the number of bytes of unacknowledged answers.
    pub const fn retained_bytes(&self) -> usize {
        self.retained_bytes
    }

    /// Returns the refusal that a new submission gets now, if any.
    const fn admission_refusal(&self) -> Option<Refusal> {
        if self.draining {
            Some(Refusal { reason: RefusalReason::Draining, retry_after_ms: None })
        } else if self.running_job_count >= self.limits.max_running_jobs
            || self.retained_bytes >= self.limits.max_retained_bytes
        {
            let retry_after_ms = Some(OVERLOADED_RETRY_AFTER_MS);
            Some(Refusal { reason: RefusalReason::Overloaded, retry_after_ms })
        } else {
            None
        }
    }

    /// Returns the session and updates the time of its last use.
    fn session_mut(&mut self, id: &SessionId, now_ms: u64) -> Option<&mut Session> {
        if id.home != self.home {
            return None;
        }
        let index =
            self.sessions.binary_search_by_key(&id.number, |session| session.number).ok()?;
        let session = &mut self.sessions[index];
        if session.secret != id.secret {
            return None;
        }
        session.last_used_ms = session.last_used_ms.max(now_ms);
        Some(session)
    }
}

/// Decides what to do with a submission whose sequence is already recorded.
fn decision_for_recorded(entry: &SubmissionEntry, fingerprint: Fingerprint) -> SubmitDecision {
    match &entry.state {
        _ if !entry.matches(fingerprint) => SubmitDecision::Conflict,
        SubmissionState::Running => SubmitDecision::Running,
        SubmissionState::Finished(answer) => SubmitDecision::Finished(answer.clone()),
    }
}

fn finished_answer_bytes(session: &Session) -> usize {
    session
        .entries
        .iter()
        .map(|entry| match &entry.state {
            SubmissionState::Running => 0,
            SubmissionState::Finished(answer) => answer.size_bytes(),
        })
        .sum()
}
