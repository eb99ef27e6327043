//! Claims of business keys, for callers that can't keep a session.

use ggb_model::{OutcomeKind, ProfileName};
use serde::{Deserialize, Serialize};

use crate::{Condition, Transaction, Version, Write};

/// The row by which one submission owns a business key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Claim {
    /// Drawn by the claimant, so that a lost answer can be settled by reading back.
    pub nonce: String,
    /// When the key was claimed, in milliseconds since 1970.
    pub at_ms: u64,
    /// The outcome of the job, once it is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<ClaimOutcome>,
}

/// The outcome of a claimed job, as it was given to the claimant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimOutcome {
    /// The kind.
    pub kind: OutcomeKind,
    /// The outcome as JSON.
    pub text: String,
}

impl Claim {
    /// Returns a claim without an outcome.
    pub fn new(nonce: impl Into<String>, at_ms: u64) -> Self {
        Claim { nonce: nonce.into(), at_ms, outcome: None }
    }

    /// Returns the transaction that inserts the claim if the key is free.
    pub fn insertion(&self, key: &str) -> Transaction {
        self.write(key, Version::ABSENT)
    }

    /// Returns the transaction that replaces the row of version `version` by this claim.
    pub fn replacement(&self, key: &str, version: Version) -> Transaction {
        self.write(key, version)
    }

    fn write(&self, key: &str, version: Version) -> Transaction {
        let value = serde_json::to_string(self).expect("a claim has only string keys");
        Transaction {
            conditions: vec![Condition { key: key.to_owned(), version }],
            writes: vec![Write { key: key.to_owned(), value }],
        }
    }
}

/// Returns the key of the row of a business key of a profile.
pub fn claim_key(profile: &ProfileName, business_key: &str) -> String {
    format!("claim/{profile}/{business_key}")
}
