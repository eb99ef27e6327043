//! Profiles: how a class of work is treated.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{ModelError, id::checked_name};

const MAX_TIMEOUT_MS: u32 = 3_600_000;
const MAX_WEIGHT: u16 = 1_000;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident, $field:literal) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $name {
            type Error = ModelError;

            fn try_from(name: String) -> Result<Self, ModelError> {
                checked_name($field, &name)?;
                Ok($name(name))
            }
        }

        impl FromStr for $name {
            type Err = ModelError;

            fn from_str(name: &str) -> Result<Self, ModelError> {
                name.to_owned().try_into()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_type! {
    /// The name of a profile.
    ProfileName, "profile"
}

name_type! {
    /// The name of a team, which shares one quota.
    TeamName, "team"
}

/// How urgent the work of a profile is.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Before everything else, within the team's quota.
    Urgent,
    /// Ordinary work.
    #[default]
    Standard,
    /// Only when nothing else waits.
    Background,
}

impl Priority {
    /// All priorities, most urgent first.
    pub const ALL: [Priority; 3] = [Priority::Urgent, Priority::Standard, Priority::Background];
}

impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.serialize(f)
    }
}

impl FromStr for Priority {
    type Err = ModelError;

    fn from_str(word: &str) -> Result<Self, ModelError> {
        match word {
            "urgent" => Ok(Priority::Urgent),
            "standard" => Ok(Priority::Standard),
            "background" => Ok(Priority::Background),
            _ => Err(ModelError::new("priority", word, "`urgent`, `standard` or `background`")),
        }
    }
}

/// What an operator sets in a profile; not yet checked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// The team whose quota the work counts against.
    pub team: String,
    /// How urgent the work is.
    pub priority: Priority,
    /// The team's share relative to other teams.
    pub team_weight: u16,
    /// The most slots that the team may hold in one availability zone.
    pub quota_slots: u32,
    /// The most tasks of the team that may wait in one availability zone.
    pub quota_queued_tasks: u32,
    /// How long a job may wait for its first start.
    pub start_within_ms: u32,
    /// How long one started task may run before its answer is given up.
    pub task_timeout_ms: u32,
    /// How often a task may be placed again after an explicit "not started".
    pub placement_retries: u16,
    /// Whether every submission has to claim a business key first.
    pub business_keys: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            team: "default".to_owned(),
            priority: Priority::Standard,
            team_weight: 1,
            quota_slots: 100_000,
            quota_queued_tasks: 100_000,
            start_within_ms: 30_000,
            task_timeout_ms: 60_000,
            placement_retries: 8,
            business_keys: false,
        }
    }
}

/// A checked, named class of work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "UncheckedProfile")]
pub struct Profile {
    name: ProfileName,
    team: TeamName,
    settings: Settings,
    retired: bool,
}

#[derive(Deserialize)]
struct UncheckedProfile {
    name: ProfileName,
    settings: Settings,
    #[serde(default)]
    retired: bool,
}

impl TryFrom<UncheckedProfile> for Profile {
    type Error = ModelError;

    fn try_from(raw: UncheckedProfile) -> Result<Self, ModelError> {
        let mut profile = Profile::try_new(raw.name, raw.settings)?;
        profile.retired = raw.retired;
        Ok(profile)
    }
}

impl Profile {
    /// Returns the profile if every setting is in range.
    ///
    /// # Errors
    ///
    /// Names the field, what was given and what is accepted.
    pub fn try_new(name: ProfileName, settings: Settings) -> Result<Self, ModelError> {
        let team: TeamName = settings.team.parse()?;
        in_range("team_weight", settings.team_weight, 1, MAX_WEIGHT, "1 to 1000")?;
        in_range("quota_slots", settings.quota_slots, 1, u32::MAX, "at least 1")?;
        in_range("quota_queued_tasks", settings.quota_queued_tasks, 1, u32::MAX, "at least 1")?;
        let timeout = "1 to 3600000 ms";
        in_range("start_within_ms", settings.start_within_ms, 1, MAX_TIMEOUT_MS, timeout)?;
        in_range("task_timeout_ms", settings.task_timeout_ms, 1, MAX_TIMEOUT_MS, timeout)?;
        Ok(Profile { name, team, settings, retired: false })
    }

    /// Returns the same profile, retired.
    pub fn into_retired(mut self) -> Self {
        self.retired = true;
        self
    }

    /// Returns the name.
    pub const fn name(&self) -> &ProfileName {
        &self.name
    }

    /// Returns the team.
    pub const fn team(&self) -> &TeamName {
        &self.team
    }

    /// Returns the checked settings.
    pub const fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns whether the profile accepts no more work.
    pub const fn retired(&self) -> bool {
        self.retired
    }
}

fn in_range<T: Copy + PartialOrd + ToString>(
    field: &'static str,
    given: T,
    least: T,
    most: T,
    expected: &'static str,
) -> Result<(), ModelError> {
    match given >= least && given <= most {
        true => Ok(()),
        false => Err(ModelError::new(field, given, expected)),
    }
}
