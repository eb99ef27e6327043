//! The audit trail of configuration changes.

use ggb_model::{Profile, ProfileName};
use serde::{Deserialize, Serialize};

use crate::Generation;

/// Key prefix of all audit rows.
pub const AUDIT_PREFIX: &str = "audit/";

/// Kind of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeKind {
    /// A profile was created.
    Create,
    /// The settings of a profile were replaced.
    Change,
    /// A profile was retired.
    Retire,
}

/// Record of one committed change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// Generation that the change created.
    pub generation: Generation,
    /// Id that is unique to the request.
    ///
    /// If the reply to the commit is lost, the id in the audit row shows whether the change was
    /// committed.
    pub change_id: String,
    /// Operator who requested the change.
    pub operator: String,
    /// Time of the request, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Kind of the change.
    #[serde(rename = "action")]
    pub kind: ChangeKind,
    /// Name of the profile.
    pub profile: ProfileName,
    /// The profile before the change; absent if it was created.
    pub before: Option<Profile>,
    /// The profile after the change.
    pub after: Profile,
}

/// Returns the key of the audit row of a generation.
///
/// The lexicographic order of keys is the order of their generations.
pub fn audit_key(generation: Generation) -> String {
    format!("{AUDIT_PREFIX}{:020}", generation.0)
}
