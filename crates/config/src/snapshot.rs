//! Snapshots of all profiles, numbered by generation.

use std::fmt;

use ggb_model::{Profile, ProfileName};
use serde::{Deserialize, Serialize};

use crate::Row;

/// Key prefix of the head row and of all profile rows.
pub const CONFIG_PREFIX: &str = "config/";

/// Key of the head row.
pub const HEAD_KEY: &str = "config/head";
const PROFILE_PREFIX: &str = "config/profile/";

/// Number of configuration changes committed so far, which identifies a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Default)]
#[serde(transparent)]
pub struct Generation(pub u64);

impl Generation {
    /// Returns the generation that the next change creates.
    pub const fn next(self) -> Self {
        Generation(self.0 + 1)
    }
}

impl fmt::Display for Generation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Value of the head row.
#[derive(Serialize, Deserialize)]
pub(crate) struct Head {
    pub(crate) generation: Generation,
}

/// Value of a profile's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ProfileRow {
    pub(crate) changed_in: Generation,
    pub(crate) profile: Profile,
}

/// All profiles as of one generation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct Snapshot {
    generation: Generation,
    /// Sorted by name of the profile.
    rows: Vec<ProfileRow>,
}

impl Snapshot {
    /// Decodes a snapshot from a consistent read of the rows under [`CONFIG_PREFIX`].
    ///
    /// Without any rows, the snapshot has generation 0 and no profiles.
    ///
    /// # Errors
    ///
    /// Fails if the value of a row can't be decoded.
    pub fn from_rows(rows: &[Row]) -> Result<Self, SnapshotError> {
        let mut snapshot = Snapshot::default();
        for row in rows {
            let row_error = |source| SnapshotError { key: row.key.clone(), source };
            if row.key == HEAD_KEY {
                let head: Head = serde_json::from_str(&row.value).map_err(row_error)?;
                snapshot.generation = head.generation;
            } else if row.key.starts_with(PROFILE_PREFIX) {
                snapshot.rows.push(serde_json::from_str(&row.value).map_err(row_error)?);
            }
        }
        snapshot.rows.sort_by(|a, b| a.profile.name().cmp(b.profile.name()));
        Ok(snapshot)
    }

    /// Replaces the snapshot by `newer` if that has a higher generation; returns whether it did.
    pub fn replace_if_newer(&mut self, newer: Snapshot) -> bool {
        if newer.generation <= self.generation {
            return false;
        }
        *self = newer;
        true
    }

    /// Returns the generation of the snapshot.
    pub const fn generation(&self) -> Generation {
        self.generation
    }

    /// Returns the profile of the given name, including a retired one.
    pub fn find(&self, name: &ProfileName) -> Option<&Profile> {
        self.row(name).map(|row| &row.profile)
    }

    /// Returns the generation in which the profile was last changed.
    pub fn changed_in(&self, name: &ProfileName) -> Option<Generation> {
        self.row(name).map(|row| row.changed_in)
    }

    /// Returns all profiles, including retired ones, in the order of their names.
    pub fn profiles(&self) -> impl Iterator<Item = &Profile> {
        self.rows.iter().map(|row| &row.profile)
    }

    fn row(&self, name: &ProfileName) -> Option<&ProfileRow> {
        let index = self.rows.binary_search_by(|row| row.profile.name().cmp(name)).ok()?;
        Some(&self.rows[index])
    }
}

pub(crate) fn profile_key(name: &ProfileName) -> String {
    format!("{PROFILE_PREFIX}{name}")
}

/// Failure to decode a configuration row.
#[derive(Debug)]
pub struct SnapshotError {
    key: String,
    source: serde_json::Error,
}

impl fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "row `{}` is not a configuration row: {}", self.key, self.source)
    }
}

impl std::error::Error for SnapshotError {}
