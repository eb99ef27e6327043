//! The table of sessions at their home.

use ggb_model::{HomeId, Outcome, Refusal, RefusalReason, Sequence, SessionId};

use crate::{
    SealedTable,
    entry::{Answer, Entry, Fingerprint, Session, State},
};

/// After how long a home that is full may have room again.
const OVERLOADED_RETRY_MS: u32 = 500;

/// Bounds on what a home keeps.
#[derive(Clone, Debug)]
pub struct Limits {
    /// The most open sessions.
    pub sessions: usize,
    /// The most submissions of one session from its watermark on.
    pub window: u64,
    /// The most jobs in progress over all sessions.
    pub running_jobs: usize,
    /// The most bytes of answers that are not acknowledged.
    pub retained_bytes: usize,
    /// How long an idle session is kept.
    pub idle_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            sessions: 200_000,
            window: 1_024,
            running_jobs: 20_000,
            retained_bytes: 64 << 20,
            idle_ms: 3_600_000,
        }
    }
}

/// What to do with a submission.
#[derive(Clone, Debug)]
pub enum Verdict {
    /// The submission is new and recorded as running; run it now.
    New,
    /// The submission is in progress; wait for its answer.
    Running,
    /// The submission has this final answer.
    Finished(Answer),
    /// The answer was acknowledged and is no longer kept.
    AlreadyAcknowledged,
    /// The sequence was used before with a different body.
    Conflict,
    /// The sequence is too far ahead of the acknowledged ones; nothing is recorded.
    WindowExceeded,
    /// The table does not know the session.
    SessionUnknown,
}

/// What is known of a submission that is asked about.
#[derive(Clone, Debug)]
pub enum Lookup {
    /// In progress.
    Running,
    /// Final.
    Finished(Answer),
    /// Acknowledged earlier.
    AlreadyAcknowledged,
    /// Not submitted so far; a copy may still arrive.
    NeverSeen,
    /// The table does not know the session.
    SessionUnknown,
}

/// What to do with a cancellation.
#[derive(Clone, Debug)]
pub enum CancelVerdict {
    /// The job is in progress; stop it.
    Running,
    /// The submission has this final answer, recorded now if it had none before.
    Finished(Answer),
    /// The answer was acknowledged and is no longer kept.
    AlreadyAcknowledged,
    /// The sequence is too far ahead to be recorded.
    WindowExceeded,
    /// The table does not know the session.
    SessionUnknown,
}

/// The sessions of one home, and the only authority to start their work.
///
/// Sealing consumes the table, so that nothing can be started afterwards.
#[derive(Debug)]
pub struct SessionTable {
    home: HomeId,
    limits: Limits,
    /// Sorted by number.
    sessions: Vec<Session>,
    next_number: u64,
    running_jobs: usize,
    retained_bytes: usize,
    draining: bool,
}

impl SessionTable {
    /// Returns an empty table.
    pub const fn new(home: HomeId, limits: Limits) -> Self {
        SessionTable {
            home,
            limits,
            sessions: Vec::new(),
            next_number: 0,
            running_jobs: 0,
            retained_bytes: 0,
            draining: false,
        }
    }

    /// Opens a session.
    ///
    /// # Errors
    ///
    /// Refuses when draining or when too many sessions are open.
    pub fn open(&mut self, key: u64, now_ms: u64) -> Result<SessionId, Refusal> {
        let refuse = |reason| Err(Refusal { reason, retry_after_ms: None });
        if self.draining {
            return refuse(RefusalReason::Draining);
        }
        if self.sessions.len() >= self.limits.sessions {
            return refuse(RefusalReason::Overloaded);
        }
        let number = self.next_number;
        self.next_number += 1;
        self.sessions.push(Session {
            number,
            key,
            watermark: Sequence(0),
            last_used_ms: now_ms,
            entries: Vec::new(),
        });
        Ok(SessionId { home: self.home, number, key })
    }

    /// Decides what to do with a submission and records it if it is new.
    ///
    /// A refusal is recorded too: a late copy of the same request gets the same
    /// refusal, so that "not run" stays true.
    pub fn submit(
        &mut self,
        id: &SessionId,
        sequence: Sequence,
        body: &[u8],
        now_ms: u64,
    ) -> Verdict {
        let fingerprint = Fingerprint::of(body);
        let refusal = self.admission_refusal();
        let window = self.limits.window;
        let Some(session) = self.session_mut(id, now_ms) else {
            return Verdict::SessionUnknown;
        };
        let at = match session.position(sequence) {
            Ok(at) => return known_submission(&session.entries[at], fingerprint),
            Err(_) if sequence < session.watermark => return Verdict::AlreadyAcknowledged,
            Err(_) if sequence.0 - session.watermark.0 >= window => {
                return Verdict::WindowExceeded;
            }
            Err(at) => at,
        };
        let state = match refusal {
            Some(refusal) => State::Finished(Answer::new(&Outcome::NotRun(refusal))),
            None => State::Running,
        };
        let entry = Entry { sequence, fingerprint: Some(fingerprint), state: state.clone() };
        session.entries.insert(at, entry);
        match state {
            State::Running => {
                self.running_jobs += 1;
                Verdict::New
            }
            State::Finished(answer) => {
                self.retained_bytes += answer.bytes();
                Verdict::Finished(answer)
            }
        }
    }

    /// Records the final answer of a running job; a second one is ignored.
    pub fn finish(&mut self, id: &SessionId, sequence: Sequence, answer: Answer, now_ms: u64) {
        let Some(session) = self.session_mut(id, now_ms) else { return };
        let Ok(at) = session.position(sequence) else { return };
        if !matches!(session.entries[at].state, State::Running) {
            return;
        }
        let bytes = answer.bytes();
        let acknowledged = sequence < session.watermark;
        match acknowledged {
            true => drop(session.entries.remove(at)),
            false => session.entries[at].state = State::Finished(answer),
        }
        self.running_jobs -= 1;
        if !acknowledged {
            self.retained_bytes += bytes;
        }
    }

    /// Returns what is known of a submission.
    pub fn lookup(&mut self, id: &SessionId, sequence: Sequence, now_ms: u64) -> Lookup {
        let Some(session) = self.session_mut(id, now_ms) else {
            return Lookup::SessionUnknown;
        };
        match session.position(sequence) {
            Ok(at) => match &session.entries[at].state {
                State::Running => Lookup::Running,
                State::Finished(answer) => Lookup::Finished(answer.clone()),
            },
            Err(_) if sequence < session.watermark => Lookup::AlreadyAcknowledged,
            Err(_) => Lookup::NeverSeen,
        }
    }

    /// Decides what to do with a cancellation.
    ///
    /// A cancellation that overtakes its submission is recorded as a refusal.
    pub fn cancel(&mut self, id: &SessionId, sequence: Sequence, now_ms: u64) -> CancelVerdict {
        let window = self.limits.window;
        let Some(session) = self.session_mut(id, now_ms) else {
            return CancelVerdict::SessionUnknown;
        };
        let at = match session.position(sequence) {
            Ok(at) => {
                return match &session.entries[at].state {
                    State::Running => CancelVerdict::Running,
                    State::Finished(answer) => CancelVerdict::Finished(answer.clone()),
                };
            }
            Err(_) if sequence < session.watermark => {
                return CancelVerdict::AlreadyAcknowledged;
            }
            Err(_) if sequence.0 - session.watermark.0 >= window => {
                return CancelVerdict::WindowExceeded;
            }
            Err(at) => at,
        };
        let answer = Answer::new(&Outcome::not_run(RefusalReason::Cancelled));
        let state = State::Finished(answer.clone());
        session.entries.insert(at, Entry { sequence, fingerprint: None, state });
        self.retained_bytes += answer.bytes();
        CancelVerdict::Finished(answer)
    }

    /// Frees the answers of all sequences below `below`; returns whether the session is known.
    pub fn acknowledge(&mut self, id: &SessionId, below: Sequence, now_ms: u64) -> bool {
        let Some(session) = self.session_mut(id, now_ms) else { return false };
        session.watermark = session.watermark.max(below);
        let watermark = session.watermark;
        let mut freed = 0;
        session.entries.retain(|entry| match &entry.state {
            State::Finished(answer) if entry.sequence < watermark => {
                freed += answer.bytes();
                false
            }
            _ => true,
        });
        self.retained_bytes -= freed;
        true
    }

    /// Drops sessions that nobody has used for the idle period and that run nothing.
    ///
    /// Asked about such a session later, the home says that it does not know.
    pub fn evict_idle(&mut self, now_ms: u64) {
        let idle_ms = self.limits.idle_ms;
        let mut freed = 0;
        self.sessions.retain(|session| {
            let keep = !session.is_idle() || now_ms.saturating_sub(session.last_used_ms) < idle_ms;
            if !keep {
                freed += finished_bytes(session);
            }
            keep
        });
        self.retained_bytes -= freed;
    }

    /// Refuses new work from now on; work in progress goes on.
    pub const fn drain(&mut self) {
        self.draining = true;
    }

    /// Ends the table's authority to start work and returns what it knows.
    ///
    /// Jobs still running are left out, since their outcome is not known.
    pub fn seal(self) -> SealedTable {
        SealedTable::new(self.home, self.sessions)
    }

    /// Returns the home.
    pub const fn home(&self) -> HomeId {
        self.home
    }

    /// Returns the number of open sessions.
    pub const fn sessions(&self) -> usize {
        self.sessions.len()
    }

    /// Returns the number of jobs in progress.
    pub const fn running_jobs(&self) -> usize {
        self.running_jobs
    }

    /// Returns the bytes of answers that are not acknowledged.
    pub const fn retained_bytes(&self) -> usize {
        self.retained_bytes
    }

    const fn admission_refusal(&self) -> Option<Refusal> {
        if self.draining {
            Some(Refusal { reason: RefusalReason::Draining, retry_after_ms: None })
        } else if self.running_jobs >= self.limits.running_jobs
            || self.retained_bytes >= self.limits.retained_bytes
        {
            let retry_after_ms = Some(OVERLOADED_RETRY_MS);
            Some(Refusal { reason: RefusalReason::Overloaded, retry_after_ms })
        } else {
            None
        }
    }

    fn session_mut(&mut self, id: &SessionId, now_ms: u64) -> Option<&mut Session> {
        if id.home != self.home {
            return None;
        }
        let at = self.sessions.binary_search_by_key(&id.number, |s| s.number).ok()?;
        let session = &mut self.sessions[at];
        if session.key != id.key {
            return None;
        }
        session.last_used_ms = session.last_used_ms.max(now_ms);
        Some(session)
    }
}

fn known_submission(entry: &Entry, fingerprint: Fingerprint) -> Verdict {
    match &entry.state {
        _ if !entry.matches(fingerprint) => Verdict::Conflict,
        State::Running => Verdict::Running,
        State::Finished(answer) => Verdict::Finished(answer.clone()),
    }
}

fn finished_bytes(session: &Session) -> usize {
    session
        .entries
        .iter()
        .map(|entry| match &entry.state {
            State::Running => 0,
            State::Finished(answer) => answer.bytes(),
        })
        .sum()
}
