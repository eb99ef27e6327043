//! State of one session and of its submissions at their home.

use std::sync::Arc;

use ggb_model::{Outcome, OutcomeKind, Sequence};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

/// An outcome in its encoded form, which is the same in every response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EncodedOutcome {
    kind: OutcomeKind,
    text: Arc<str>,
}

impl EncodedOutcome {
    /// Encodes an outcome.
    pub fn new(outcome: &Outcome) -> Self {
        let text = serde_json::to_string(outcome)
            .expect("an outcome has only string keys, so it can be encoded as JSON");
        EncodedOutcome { kind: outcome.kind(), text: text.into() }
    }

    /// Wraps an outcome that another process encoded.
    pub fn from_encoded(kind: OutcomeKind, text: impl Into<Arc<str>>) -> Self {
        EncodedOutcome { kind, text: text.into() }
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
    pub fn size_bytes(&self) -> usize {
        self.text.len()
    }
}

/// Hash of a submission's body, which detects two different submissions with the same
/// sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fingerprint(u128);

impl Fingerprint {
    /// Returns the fingerprint of a submission's body.
    pub fn of(body: &[u8]) -> Self {
        Fingerprint(xxh3_128(body))
    }
}

/// State of a recorded submission.
#[derive(Clone, Debug)]
pub(crate) enum SubmissionState {
    Running,
    Finished(EncodedOutcome),
}

/// A submission that the home has recorded.
#[derive(Clone, Debug)]
pub(crate) struct SubmissionEntry {
    pub(crate) sequence: Sequence,
    /// `None` if a cancellation arrived before the submission.
    pub(crate) fingerprint: Option<Fingerprint>,
    pub(crate) state: SubmissionState,
}

impl SubmissionEntry {
    /// Returns whether a submission with this fingerprint is a copy of the recorded one.
    pub(crate) fn matches(&self, fingerprint: Fingerprint) -> bool {
        self.fingerprint.is_none_or(|recorded| recorded == fingerprint)
    }
}

/// A session at its home.
#[derive(Clone, Debug)]
pub(crate) struct Session {
    pub(crate) number: u64,
    pub(crate) secret: u64,
    /// Lowest sequence that is not acknowledged.
    pub(crate) watermark: Sequence,
    pub(crate) last_used_ms: u64,
    /// Sorted by sequence.
    pub(crate) entries: Vec<SubmissionEntry>,
}

impl Session {
    pub(crate) fn position(&self, sequence: Sequence) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&sequence, |entry| entry.sequence)
    }

    /// Returns whether no job of the session is running.
    pub(crate) fn is_idle(&self) -> bool {
        !self.entries.iter().any(|entry| matches!(entry.state, SubmissionState::Running))
    }
}
