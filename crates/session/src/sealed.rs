//! Session table of a home that has drained: it answers requests and starts no work.

use ggb_model::{HomeId, Outcome, RefusalReason, Sequence, SessionId};
use serde::{Deserialize, Serialize};

use crate::{
    SubmissionStatus,
    session::{EncodedOutcome, Session, SubmissionState},
};

/// The answers of a home that starts no more work.
///
/// A sealed table cannot start work, so several processes may hold it and it may be delivered
/// more than once. It answers for a sequence that the home never saw with "not run".
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SealedTable {
    home: HomeId,
    /// Sorted by number.
    sessions: Vec<SealedSession>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct SealedSession {
    number: u64,
    #[serde(rename = "key")]
    secret: u64,
    watermark: Sequence,
    /// Sorted by sequence.
    answers: Vec<SealedAnswer>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct SealedAnswer {
    sequence: Sequence,
    /// `None` if the job was still running, so that its outcome is unknown.
    answer: Option<EncodedOutcome>,
}

impl SealedTable {
    pub(crate) fn new(home: HomeId, sessions: Vec<Session>) -> Self {
        SealedTable { home, sessions: sessions.into_iter().map(seal_session).collect() }
    }

    /// Returns a table without sessions, which only records that the home has drained.
    pub const fn empty(home: HomeId) -> Self {
        SealedTable { home, sessions: Vec::new() }
    }

    /// Returns the home that sealed the table.
    pub const fn home(&self) -> HomeId {
        self.home
    }

    /// Returns the number of sessions.
    pub const fn session_count(&self) -> usize {
        self.sessions.len()
    }

    /// Returns the approximate size of the table in bytes.
    pub fn size_bytes(&self) -> usize {
        self.sessions.iter().map(SealedSession::size_bytes).sum()
    }

    /// Splits the table into chunks whose size, as [`SealedTable::size_bytes`] counts it, is at
    /// most `max_chunk_bytes`.
    ///
    /// Sessions are not split, so a chunk with a single session may be larger. The chunks can be
    /// delivered separately; [`SealedTable::merge`] joins them.
    pub fn into_chunks(self, max_chunk_bytes: usize) -> Vec<SealedTable> {
        let home = self.home;
        let mut chunks = vec![SealedTable { home, sessions: Vec::new() }];
        let mut remaining_bytes = max_chunk_bytes;
        for session in self.sessions {
            let size = session.size_bytes();
            if size > remaining_bytes
                && chunks.last().is_some_and(|chunk| !chunk.sessions.is_empty())
            {
                chunks.push(SealedTable { home, sessions: Vec::new() });
                remaining_bytes = max_chunk_bytes;
            }
            remaining_bytes = remaining_bytes.saturating_sub(size);
            if let Some(chunk) = chunks.last_mut() {
                chunk.sessions.push(session);
            }
        }
        chunks
    }

    /// Adds the sessions of another chunk of the same table; known sessions stay as they are.
    pub fn merge(&mut self, chunk: SealedTable) {
        for session in chunk.sessions {
            if let Err(index) = self.position(session.number) {
                self.sessions.insert(index, session);
            }
        }
    }

    /// Returns the status of a submission.
    ///
    /// A sequence that the home never saw is answered with "not run". This stays true, since
    /// the home lost its authority to start work when the table was sealed. A job that was
    /// running when the table was sealed has no known outcome and is answered with
    /// [`SubmissionStatus::SessionUnknown`].
    pub fn lookup(&self, id: &SessionId, sequence: Sequence) -> SubmissionStatus {
        let Ok(index) = self.position(id.number) else { return SubmissionStatus::SessionUnknown };
        let session = &self.sessions[index];
        if session.secret != id.secret || id.home != self.home {
            return SubmissionStatus::SessionUnknown;
        }
        match session.answers.binary_search_by_key(&sequence, |sealed| sealed.sequence) {
            Ok(index) => match &session.answers[index].answer {
                Some(answer) => SubmissionStatus::Finished(answer.clone()),
                None => SubmissionStatus::SessionUnknown,
            },
            Err(_) if sequence < session.watermark => SubmissionStatus::AlreadyAcknowledged,
            Err(_) => SubmissionStatus::Finished(EncodedOutcome::new(&Outcome::not_run(
                RefusalReason::Draining,
            ))),
        }
    }

    fn position(&self, number: u64) -> Result<usize, usize> {
        self.sessions.binary_search_by_key(&number, |session| session.number)
    }
}

impl SealedSession {
    fn size_bytes(&self) -> usize {
        let answer_bytes =
            |sealed: &SealedAnswer| sealed.answer.as_ref().map_or(0, EncodedOutcome::size_bytes);
        let answers =
            self.answers.iter().map(|sealed| size_of::<SealedAnswer>() + answer_bytes(sealed));
        size_of::<SealedSession>() + answers.sum::<usize>()
    }
}

fn seal_session(session: Session) -> SealedSession {
    let answers = session.entries.into_iter().map(|entry| SealedAnswer {
        sequence: entry.sequence,
        answer: match entry.state {
            SubmissionState::Running => None,
            SubmissionState::Finished(answer) => Some(answer),
        },
    });
    SealedSession {
        number: session.number,
        secret: session.secret,
        watermark: session.watermark,
        answers: answers.collect(),
    }
}
