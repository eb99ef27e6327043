//! Who changed what, when, from what and to what.

use ggb_model::{Profile, ProfileName};
use serde::{Deserialize, Serialize};

use crate::Generation;

/// The prefix of all audit rows.
pub const AUDIT_PREFIX: &str = "audit/";

/// The kind of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// A new profile.
    Create,
    /// New settings of an existing profile.
    Change,
    /// The end of a profile.
    Retire,
}

/// One committed change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// The generation that the change made.
    pub generation: Generation,
    /// Identifies the request, so that a lost answer can be settled.
    pub change_id: String,
    /// Who asked for the change.
    pub operator: String,
    /// When, in milliseconds since 1970.
    pub at_ms: u64,
    /// What was done.
    pub action: Action,
    /// The profile's name.
    pub profile: ProfileName,
    /// The profile before.
    pub before: Option<Profile>,
    /// The profile after.
    pub after: Profile,
}

/// Returns the key of the audit row of a generation; keys sort by generation.
pub fn audit_key(generation: Generation) -> String {
    format!("{AUDIT_PREFIX}{:020}", generation.0)
}
