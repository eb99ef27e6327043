//! What remains of a session table after its home has drained.

use ggb_model::{HomeId, Outcome, RefusalReason, Sequence, SessionId};
use serde::{Deserialize, Serialize};

use crate::{
    Lookup,
    entry::{Answer, Session, State},
};

/// The answers of a home that will never start anything again.
///
/// Because it can only answer, it may be held by several processes at once and
/// be delivered twice. A sequence that it has not seen was not run, and says so.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SealedTable {
    home: HomeId,
    /// Sorted by number.
    sessions: Vec<SealedSession>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct SealedSession {
    number: u64,
    key: u64,
    watermark: Sequence,
    /// Sorted by sequence.
    answers: Vec<SealedAnswer>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct SealedAnswer {
    sequence: Sequence,
    /// Absent when the job was still running, so that its outcome is not known.
    answer: Option<Answer>,
}

impl SealedTable {
    pub(crate) fn new(home: HomeId, sessions: Vec<Session>) -> Self {
        SealedTable { home, sessions: sessions.into_iter().map(seal_session).collect() }
    }

    /// Returns a part without sessions, which only says that the home drained.
    pub const fn empty(home: HomeId) -> Self {
        SealedTable { home, sessions: Vec::new() }
    }

    /// Returns the home that sealed the table.
    pub const fn home(&self) -> HomeId {
        self.home
    }

    /// Returns the number of sessions.
    pub const fn sessions(&self) -> usize {
        self.sessions.len()
    }

    /// Returns about how many bytes the table takes.
    pub fn bytes(&self) -> usize {
        self.sessions.iter().map(SealedSession::bytes).sum()
    }

    /// Splits the table into parts of at most about `bytes` bytes of answers.
    ///
    /// Each part can be delivered alone; [`SealedTable::merge`] joins them.
    pub fn into_parts(self, bytes: usize) -> Vec<SealedTable> {
        let home = self.home;
        let mut parts = vec![SealedTable { home, sessions: Vec::new() }];
        let mut room = bytes;
        for session in self.sessions {
            let size = session.bytes();
            if size > room && parts.last().is_some_and(|part| !part.sessions.is_empty()) {
                parts.push(SealedTable { home, sessions: Vec::new() });
                room = bytes;
            }
            room = room.saturating_sub(size);
            if let Some(part) = parts.last_mut() {
                part.sessions.push(session);
            }
        }
        parts
    }

    /// Adds the sessions of another part of the same table.
    pub fn merge(&mut self, part: SealedTable) {
        for session in part.sessions {
            if let Err(at) = self.position(session.number) {
                self.sessions.insert(at, session);
            }
        }
    }

    /// Returns what is known of a submission.
    ///
    /// A sequence that the home never saw is refused as "not run", which stays
    /// true because the home's authority to start ended with the sealing.
    pub fn lookup(&self, id: &SessionId, sequence: Sequence) -> Lookup {
        let Ok(at) = self.position(id.number) else { return Lookup::SessionUnknown };
        let session = &self.sessions[at];
        if session.key != id.key || id.home != self.home {
            return Lookup::SessionUnknown;
        }
        match session.answers.binary_search_by_key(&sequence, |a| a.sequence) {
            Ok(at) => match &session.answers[at].answer {
                Some(answer) => Lookup::Finished(answer.clone()),
                None => Lookup::SessionUnknown,
            },
            Err(_) if sequence < session.watermark => Lookup::AlreadyAcknowledged,
            Err(_) => Lookup::Finished(Answer::new(&Outcome::not_run(RefusalReason::Draining))),
        }
    }

    fn position(&self, number: u64) -> Result<usize, usize> {
        self.sessions.binary_search_by_key(&number, |session| session.number)
    }
}

impl SealedSession {
    fn bytes(&self) -> usize {
        let text = |sealed: &SealedAnswer| sealed.answer.as_ref().map_or(0, Answer::bytes);
        let answers = self.answers.iter().map(|sealed| size_of::<SealedAnswer>() + text(sealed));
        size_of::<SealedSession>() + answers.sum::<usize>()
    }
}

fn seal_session(session: Session) -> SealedSession {
    let answers = session.entries.into_iter().map(|entry| SealedAnswer {
        sequence: entry.sequence,
        answer: match entry.state {
            State::Running => None,
            State::Finished(answer) => Some(answer),
        },
    });
    SealedSession {
        number: session.number,
        key: session.key,
        watermark: session.watermark,
        answers: answers.collect(),
    }
}
