//! Claims of business keys, which prevent duplicate jobs of callers that keep no session.

use ggb_model::{OutcomeKind, ProfileName};
use serde::{Deserialize, Serialize};

use crate::{Condition, Transaction, Version, Write};

/// Value of the row that reserves a business key for one submission.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Claim {
    /// Id that is unique to the claiming submission.
    ///
    /// After a lost reply, reading the row back shows whether this claim was committed.
    pub nonce: String,
    /// Time of the claim, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Outcome of the job; absent until the job is finished.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<ClaimOutcome>,
}

/// Outcome of a job that holds a claim, as it was returned to the caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimOutcome {
    /// Kind of the outcome.
    pub kind: OutcomeKind,
    /// The whole outcome as JSON.
    pub text: String,
}

impl Claim {
    /// Returns a claim without an outcome.
    pub fn new(nonce: impl Into<String>, at_ms: u64) -> Self {
        Claim { nonce: nonce.into(), at_ms, outcome: None }
    }

    /// Returns the transaction that inserts the claim if no row exists for the key.
    pub fn insert_transaction(&self, key: &str) -> Transaction {
        self.write(key, Version::ABSENT)
    }

    /// Returns the transaction that replaces the key's row if it still has `version`.
    pub fn replace_transaction(&self, key: &str, version: Version) -> Transaction {
        self.write(key, version)
    }

    fn write(&self, key: &str, version: Version) -> Transaction {
        let value = serde_json::to_string(self)
            .expect("a claim serializes without error: it contains no maps");
        Transaction {
            conditions: vec![Condition { key: key.to_owned(), version }],
            writes: vec![Write { key: key.to_owned(), value }],
        }
    }
}

/// Returns the row key for a business key of a profile.
pub fn claim_key(profile: &ProfileName, business_key: &str) -> String {
    format!("claim/{profile}/{business_key}")
}
