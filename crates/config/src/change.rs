//! Changes of profiles and their transactions.

use std::fmt;

use ggb_model::{Profile, ProfileName, Settings};

use crate::{
    AuditEntry, ChangeKind, Condition, Generation, Row, Snapshot, Transaction, Version, Write,
    audit_key,
    snapshot::{HEAD_KEY, Head, ProfileRow, profile_key},
};

/// Change of a profile that an operator requests.
#[derive(Clone, Debug)]
pub enum Change {
    /// Creates a profile whose name is not in use.
    Create(Profile),
    /// Replaces all settings of a profile.
    Replace {
        /// Name of the profile.
        name: ProfileName,
        /// The new settings.
        settings: Settings,
        /// Generation of the profile's last change that the operator knows of.
        base_generation: Generation,
    },
    /// Retires a profile; its name can't be used again.
    Retire {
        /// Name of the profile.
        name: ProfileName,
        /// Generation of the profile's last change that the operator knows of.
        base_generation: Generation,
    },
}

/// Operator, id and time of a change, for the audit trail.
#[derive(Clone, Debug)]
pub struct ChangeContext {
    operator: String,
    change_id: String,
    at_ms: u64,
}

impl ChangeContext {
    /// Returns a context for a change at `at_ms`, in milliseconds since the Unix epoch.
    ///
    /// `change_id` must be unique to the request.
    pub fn new(operator: impl Into<String>, change_id: impl Into<String>, at_ms: u64) -> Self {
        ChangeContext { operator: operator.into(), change_id: change_id.into(), at_ms }
    }

    /// Returns the id that is unique to the request.
    pub fn change_id(&self) -> &str {
        &self.change_id
    }
}

/// Change that is ready to be committed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedChange {
    /// Generation that the commit creates.
    pub generation: Generation,
    /// Transaction to commit.
    pub transaction: Transaction,
}

/// Reason why a change can't be applied to the stored configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlanError {
    /// The name of the new profile is already in use.
    NameTaken {
        /// The stored profile of that name.
        stored: Box<Profile>,
    },
    /// There is no profile of the given name.
    Missing {
        /// The given name.
        name: ProfileName,
    },
    /// The profile was changed after the generation on which the operator's change is based.
    Stale {
        /// Generation on which the operator's change is based.
        base_generation: Generation,
        /// Generation of the stored profile's last change.
        stored_generation: Generation,
        /// The stored profile.
        stored: Box<Profile>,
        /// Settings that the operator requested; absent for a retirement.
        requested: Option<Box<Settings>>,
    },
    /// A setting is invalid.
    Invalid(ggb_model::ValidationError),
    /// The profile was retired and can't be changed.
    Retired {
        /// Name of the profile.
        name: ProfileName,
    },
    /// A stored row can't be decoded.
    Unreadable {
        /// Description of the row and the decoding error.
        message: String,
    },
}

impl fmt::Display for PlanError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PlanError::NameTaken { stored } => write!(
                f,
                "name: got `{}`, expected a name that is not in use (stored: {:?}, retired: {})",
                stored.name(),
                stored.settings(),
                stored.retired()
            ),
            PlanError::Missing { name } => {
                write!(f, "name: got `{name}`, expected a profile that exists")
            }
            PlanError::Stale { base_generation, stored_generation, stored, requested } => {
                write!(
                    f,
                    "base: got generation {base_generation}, expected {stored_generation}, \
                     in which `{}` was changed\n  stored: {:?}",
                    stored.name(),
                    stored.settings()
                )?;
                match requested {
                    Some(requested) => write!(f, "\n  wanted: {requested:?}"),
                    None => write!(f, "\n  wanted: retirement"),
                }
            }
            PlanError::Invalid(source) => source.fmt(f),
            PlanError::Retired { name } => {
                write!(f, "name: got `{name}`, expected a profile that is not retired")
            }
            PlanError::Unreadable { message } => f.write_str(message),
        }
    }
}

impl std::error::Error for PlanError {}

/// Returns the transaction that applies a change to `rows`, a consistent read of the rows
/// under [`CONFIG_PREFIX`](crate::CONFIG_PREFIX).
///
/// The transaction commits only if neither the head row nor the profile's row has changed
/// since the read, so that only one of two concurrent changes commits.
///
/// # Errors
///
/// Fails if the change can't be applied to the stored configuration.
pub fn plan_change(
    rows: &[Row],
    change: Change,
    context: &ChangeContext,
) -> Result<PlannedChange, PlanError> {
    let snapshot = Snapshot::from_rows(rows)
        .map_err(|error| PlanError::Unreadable { message: error.to_string() })?;
    let generation = snapshot.generation().next();
    let (kind, before, after) = apply_change(&snapshot, change)?;
    let entry = AuditEntry {
        generation,
        change_id: context.change_id.clone(),
        operator: context.operator.clone(),
        at_ms: context.at_ms,
        kind,
        profile: after.name().clone(),
        before,
        after: after.clone(),
    };
    let key = profile_key(after.name());
    let conditions = vec![unchanged_condition(rows, HEAD_KEY), unchanged_condition(rows, &key)];
    let writes = vec![
        write_row(HEAD_KEY.to_owned(), &Head { generation }),
        write_row(key, &ProfileRow { changed_in: generation, profile: after }),
        write_row(audit_key(generation), &entry),
    ];
    Ok(PlannedChange { generation, transaction: Transaction { conditions, writes } })
}

fn apply_change(
    snapshot: &Snapshot,
    change: Change,
) -> Result<(ChangeKind, Option<Profile>, Profile), PlanError> {
    match change {
        Change::Create(profile) => match snapshot.find(profile.name()) {
            Some(stored) => Err(PlanError::NameTaken { stored: Box::new(stored.clone()) }),
            None => Ok((ChangeKind::Create, None, profile)),
        },
        Change::Replace { name, settings, base_generation } => {
            let stored = find_current(snapshot, &name, base_generation, Some(&settings))?;
            let after = Profile::try_new(name, settings).map_err(PlanError::Invalid)?;
            Ok((ChangeKind::Change, Some(stored), after))
        }
        Change::Retire { name, base_generation } => {
            let stored = find_current(snapshot, &name, base_generation, None)?;
            Ok((ChangeKind::Retire, Some(stored.clone()), stored.into_retired()))
        }
    }
}

/// Returns the stored profile if `base_generation` is its last change and it is not retired.
fn find_current(
    snapshot: &Snapshot,
    name: &ProfileName,
    base_generation: Generation,
    requested: Option<&Settings>,
) -> Result<Profile, PlanError> {
    let (Some(stored), Some(stored_generation)) = (snapshot.find(name), snapshot.changed_in(name))
    else {
        return Err(PlanError::Missing { name: name.clone() });
    };
    match stored_generation == base_generation {
        false => Err(PlanError::Stale {
            base_generation,
            stored_generation,
            stored: Box::new(stored.clone()),
            requested: requested.cloned().map(Box::new),
        }),
        true if stored.retired() => Err(PlanError::Retired { name: name.clone() }),
        true => Ok(stored.clone()),
    }
}

/// Returns the condition that the row `key` still has the version in `rows`.
fn unchanged_condition(rows: &[Row], key: &str) -> Condition {
    let row = rows.iter().find(|row| row.key == key);
    Condition { key: key.to_owned(), version: row.map_or(Version::ABSENT, |row| row.version) }
}

fn write_row(key: String, value: &impl serde::Serialize) -> Write {
    let value = serde_json::to_string(value)
        .expect("configuration rows serialize without error: all map keys are strings");
    Write { key, value }
}
