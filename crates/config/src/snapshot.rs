//! The configuration that a process has in force.

use std::fmt;

use ggb_model::{Profile, ProfileName};
use serde::{Deserialize, Serialize};

use crate::Row;

/// The prefix of the head row and of all profile rows.
pub const CONFIG_PREFIX: &str = "config/";

/// The key of the head row.
pub const HEAD_KEY: &str = "config/head";
const PROFILE_PREFIX: &str = "config/profile/";

/// Counts the committed changes of configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Default)]
#[serde(transparent)]
pub struct Generation(pub u64);

impl Generation {
    /// Returns the generation after this one.
    pub const fn next(self) -> Self {
        Generation(self.0 + 1)
    }
}

impl fmt::Display for Generation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

#[derive(Serialize, Deserialize)]
pub(crate) struct Head {
    pub(crate) generation: Generation,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ProfileRow {
    pub(crate) changed_in: Generation,
    pub(crate) profile: Profile,
}

/// All profiles at one generation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct Snapshot {
    generation: Generation,
    /// Sorted by name.
    rows: Vec<ProfileRow>,
}

impl Snapshot {
    /// Reads a snapshot from the rows under [`CONFIG_PREFIX`], as of one instant.
    ///
    /// No rows at all are a snapshot of generation 0 without profiles.
    ///
    /// # Errors
    ///
    /// Fails if a row can't be read.
    pub fn from_rows(rows: &[Row]) -> Result<Self, SnapshotError> {
        let mut snapshot = Snapshot::default();
        for row in rows {
            let fault = |source| SnapshotError { key: row.key.clone(), source };
            if row.key == HEAD_KEY {
                let head: Head = serde_json::from_str(&row.value).map_err(fault)?;
                snapshot.generation = head.generation;
            } else if row.key.starts_with(PROFILE_PREFIX) {
                snapshot.rows.push(serde_json::from_str(&row.value).map_err(fault)?);
            }
        }
        snapshot.rows.sort_by(|a, b| a.profile.name().cmp(b.profile.name()));
        Ok(snapshot)
    }

    /// Takes `newer` if its generation is higher; returns whether it did.
    pub fn advance(&mut self, newer: Snapshot) -> bool {
        if newer.generation <= self.generation {
            return false;
        }
        *self = newer;
        true
    }

    /// Returns the generation.
    pub const fn generation(&self) -> Generation {
        self.generation
    }

    /// Returns the profile of this name, retired or not.
    pub fn find(&self, name: &ProfileName) -> Option<&Profile> {
        self.row(name).map(|row| &row.profile)
    }

    /// Returns the generation in which the profile was last changed.
    pub fn changed_in(&self, name: &ProfileName) -> Option<Generation> {
        self.row(name).map(|row| row.changed_in)
    }

    /// Returns all profiles by name.
    pub fn profiles(&self) -> impl Iterator<Item = &Profile> {
        self.rows.iter().map(|row| &row.profile)
    }

    fn row(&self, name: &ProfileName) -> Option<&ProfileRow> {
        let at = self.rows.binary_search_by(|row| row.profile.name().cmp(name)).ok()?;
        Some(&self.rows[at])
    }
}

pub(crate) fn profile_key(name: &ProfileName) -> String {
    format!("{PROFILE_PREFIX}{name}")
}

/// A configuration row that can't be read.
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
