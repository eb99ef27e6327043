//! Changes that operators ask for.

use std::fmt;

use ggb_model::{Profile, ProfileName, Settings};

use crate::{
    Action, AuditEntry, Condition, Generation, Row, Snapshot, Transaction, Version, Write,
    audit_key,
    snapshot::{HEAD_KEY, Head, ProfileRow, profile_key},
};

/// A change that an operator asks for.
#[derive(Clone, Debug)]
pub enum Change {
    /// Create a profile whose name is not in use.
    Create(Profile),
    /// Give a profile new settings.
    Replace {
        /// The profile.
        name: ProfileName,
        /// All of its settings.
        settings: Settings,
        /// The generation in which the operator saw it last changed.
        base: Generation,
    },
    /// End a profile; its name stays taken.
    Retire {
        /// The profile.
        name: ProfileName,
        /// The generation in which the operator saw it last changed.
        base: Generation,
    },
}

/// Who asks for a change, and when.
#[derive(Clone, Debug)]
pub struct ChangeContext {
    operator: String,
    change_id: String,
    at_ms: u64,
}

impl ChangeContext {
    /// Returns a context; `change_id` must be unique to the request.
    pub fn new(operator: impl Into<String>, change_id: impl Into<String>, at_ms: u64) -> Self {
        ChangeContext { operator: operator.into(), change_id: change_id.into(), at_ms }
    }

    /// Returns the id of the change.
    pub fn change_id(&self) -> &str {
        &self.change_id
    }
}

/// A change that is ready to be committed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Planned {
    /// The generation that it makes.
    pub generation: Generation,
    /// What to commit.
    pub transaction: Transaction,
}

/// A change that does not apply to what is stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Conflict {
    /// The name is already in use.
    NameTaken {
        /// The profile that has it.
        stored: Box<Profile>,
    },
    /// There is no such profile.
    Missing {
        /// The name that was given.
        name: ProfileName,
    },
    /// Somebody else changed the profile since the operator looked.
    Stale {
        /// The generation on which the operator's change is based.
        base: Generation,
        /// The generation of the stored profile.
        stored_in: Generation,
        /// The stored profile.
        stored: Box<Profile>,
        /// What the operator wanted, if it was to change settings.
        wanted: Option<Box<Settings>>,
    },
    /// The settings are out of range.
    Invalid(ggb_model::ModelError),
    /// The profile was retired and can't be changed.
    Retired {
        /// The profile.
        name: ProfileName,
    },
    /// The stored configuration can't be read.
    Unreadable {
        /// What is wrong with it.
        message: String,
    },
}

impl fmt::Display for Conflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Conflict::NameTaken { stored } => write!(
                f,
                "name: got `{}`, expected a name that is not in use (stored: {:?}, retired: {})",
                stored.name(),
                stored.settings(),
                stored.retired()
            ),
            Conflict::Missing { name } => {
                write!(f, "name: got `{name}`, expected a profile that exists")
            }
            Conflict::Stale { base, stored_in, stored, wanted } => {
                write!(
                    f,
                    "base: got generation {base}, expected {stored_in}, in which `{}` was \
                     changed\n  stored: {:?}",
                    stored.name(),
                    stored.settings()
                )?;
                match wanted {
                    Some(wanted) => write!(f, "\n  wanted: {wanted:?}"),
                    None => write!(f, "\n  wanted: retirement"),
                }
            }
            Conflict::Invalid(source) => source.fmt(f),
            Conflict::Retired { name } => {
                write!(f, "name: got `{name}`, expected a profile that is not retired")
            }
            Conflict::Unreadable { message } => f.write_str(message),
        }
    }
}

impl std::error::Error for Conflict {}

/// Turns a change into a transaction against `rows`, the rows under
/// [`CONFIG_PREFIX`](crate::CONFIG_PREFIX) as of one instant.
///
/// The transaction commits only if neither the head nor the profile has changed
/// since, so that of two racing operators one sees a [`Conflict`].
///
/// # Errors
///
/// Says why the change does not apply, with both sides.
pub fn plan(rows: &[Row], change: Change, context: &ChangeContext) -> Result<Planned, Conflict> {
    let snapshot = Snapshot::from_rows(rows)
        .map_err(|error| Conflict::Unreadable { message: error.to_string() })?;
    let generation = snapshot.generation().next();
    let (action, before, after) = apply(&snapshot, change)?;
    let entry = AuditEntry {
        generation,
        change_id: context.change_id.clone(),
        operator: context.operator.clone(),
        at_ms: context.at_ms,
        action,
        profile: after.name().clone(),
        before,
        after: after.clone(),
    };
    let key = profile_key(after.name());
    let conditions = vec![condition(rows, HEAD_KEY), condition(rows, &key)];
    let writes = vec![
        write(HEAD_KEY.to_owned(), &Head { generation }),
        write(key, &ProfileRow { changed_in: generation, profile: after }),
        write(audit_key(generation), &entry),
    ];
    Ok(Planned { generation, transaction: Transaction { conditions, writes } })
}

fn apply(
    snapshot: &Snapshot,
    change: Change,
) -> Result<(Action, Option<Profile>, Profile), Conflict> {
    match change {
        Change::Create(profile) => match snapshot.find(profile.name()) {
            Some(stored) => Err(Conflict::NameTaken { stored: Box::new(stored.clone()) }),
            None => Ok((Action::Create, None, profile)),
        },
        Change::Replace { name, settings, base } => {
            let stored = current(snapshot, &name, base, Some(&settings))?;
            let after = Profile::try_new(name, settings).map_err(Conflict::Invalid)?;
            Ok((Action::Change, Some(stored), after))
        }
        Change::Retire { name, base } => {
            let stored = current(snapshot, &name, base, None)?;
            Ok((Action::Retire, Some(stored.clone()), stored.into_retired()))
        }
    }
}

/// Returns the stored profile if the operator's view of it is current.
fn current(
    snapshot: &Snapshot,
    name: &ProfileName,
    base: Generation,
    wanted: Option<&Settings>,
) -> Result<Profile, Conflict> {
    let (Some(stored), Some(stored_in)) = (snapshot.find(name), snapshot.changed_in(name)) else {
        return Err(Conflict::Missing { name: name.clone() });
    };
    match stored_in == base {
        false => Err(Conflict::Stale {
            base,
            stored_in,
            stored: Box::new(stored.clone()),
            wanted: wanted.cloned().map(Box::new),
        }),
        true if stored.retired() => Err(Conflict::Retired { name: name.clone() }),
        true => Ok(stored.clone()),
    }
}

fn condition(rows: &[Row], key: &str) -> Condition {
    let row = rows.iter().find(|row| row.key == key);
    Condition { key: key.to_owned(), version: row.map_or(Version::ABSENT, |row| row.version) }
}

fn write(key: String, value: &impl serde::Serialize) -> Write {
    let value = serde_json::to_string(value).expect("configuration rows have only string keys");
    Write { key, value }
}
