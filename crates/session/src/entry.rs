//! What a home keeps of one session and of one submission.

use std::sync::Arc;

use ggb_model::{Outcome, OutcomeKind, Sequence};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

/// An outcome as the bytes that every asker is given.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    kind: OutcomeKind,
    text: Arc<str>,
}

impl Answer {
    /// Encodes an outcome.
    pub fn new(outcome: &Outcome) -> Self {
        let text = serde_json::to_string(outcome).expect("an outcome has only string keys");
        Answer { kind: outcome.kind(), text: text.into() }
    }

    /// Returns an outcome that another process encoded.
    pub fn from_encoded(kind: OutcomeKind, text: impl Into<Arc<str>>) -> Self {
        Answer { kind, text: text.into() }
    }

    /// Returns the kind of the outcome.
    pub const fn kind(&self) -> OutcomeKind {
        self.kind
    }

    /// Returns the encoded outcome.
    pub fn as_str(&self) -> &str {
        &self.text
    }

    /// Returns the length of the encoded outcome.
    pub fn bytes(&self) -> usize {
        self.text.len()
    }
}

/// Tells apart the bodies of two submissions with one sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fingerprint(u128);

impl Fingerprint {
    /// Returns the fingerprint of a submission's body.
    pub fn of(body: &[u8]) -> Self {
        Fingerprint(xxh3_128(body))
    }
}

#[derive(Clone, Debug)]
pub(crate) enum State {
    Running,
    Finished(Answer),
}

#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) sequence: Sequence,
    /// Absent when a cancellation came before the submission.
    pub(crate) fingerprint: Option<Fingerprint>,
    pub(crate) state: State,
}

impl Entry {
    pub(crate) fn matches(&self, fingerprint: Fingerprint) -> bool {
        self.fingerprint.is_none_or(|own| own == fingerprint)
    }
}

#[derive(Clone, Debug)]
pub(crate) struct Session {
    pub(crate) number: u64,
    pub(crate) key: u64,
    /// Every sequence below this one is acknowledged.
    pub(crate) watermark: Sequence,
    pub(crate) last_used_ms: u64,
    /// Sorted by sequence.
    pub(crate) entries: Vec<Entry>,
}

impl Session {
    pub(crate) fn position(&self, sequence: Sequence) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&sequence, |entry| entry.sequence)
    }

    pub(crate) fn is_idle(&self) -> bool {
        !self.entries.iter().any(|entry| matches!(entry.state, State::Running))
    }
}
