//! Profiles, which set the priority, quotas and time limits of a class of jobs.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{ValidationError, id::check_name};

/// Maximum of all time limits in a profile.
const MAX_TIMEOUT_MS: u32 = 3_600_000;
/// Maximum weight of a team.
const MAX_TEAM_WEIGHT: u16 = 1_000;

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
            type Error = ValidationError;

            fn try_from(name: String) -> Result<Self, ValidationError> {
                check_name($field, &name)?;
                Ok($name(name))
            }
        }

        impl FromStr for $name {
            type Err = ValidationError;

            fn from_str(name: &str) -> Result<Self, ValidationError> {
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
    /// Name of a profile.
    ProfileName, "profile"
}

name_type! {
    /// Name of a team, whose profiles share its quotas.
    TeamName, "team"
}

/// Priority of the jobs of a profile.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Goes before all other priorities, within the team's quota.
    Urgent,
    /// Goes before background jobs.
    #[default]
    Standard,
    /// Goes after all other priorities.
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
    type Err = ValidationError;

    fn from_str(text: &str) -> Result<Self, ValidationError> {
        match text {
            "urgent" => Ok(Priority::Urgent),
            "standard" => Ok(Priority::Standard),
            "background" => Ok(Priority::Background),
            _ => {
                Err(ValidationError::new("priority", text, "`urgent`, `standard` or `background`"))
            }
        }
    }
}

/// Settings of a profile, as an operator gives them before validation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Team whose quotas apply to the jobs.
    pub team: String,
    /// Priority of the jobs.
    pub priority: Priority,
    /// Weight of the team in fair sharing with other teams, 1 to 1000.
    pub team_weight: u16,
    /// Maximum number of slots that the team may occupy in one availability zone.
    pub quota_slots: u32,
    /// Maximum number of tasks of the team that may wait in one availability zone.
    pub quota_queued_tasks: u32,
    /// Maximum time from submission until the first task of a job starts.
    pub start_within_ms: u32,
    /// Maximum run time of a started task. The target has to stop the task then, and its job
    /// fails.
    pub task_timeout_ms: u32,
    /// Maximum number of times that a task is placed again after a target did not start it.
    pub placement_retries: u16,
    /// Whether every submission must claim a business key before its tasks start.
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

/// Named class of jobs with validated settings.
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
    type Error = ValidationError;

    fn try_from(unchecked: UncheckedProfile) -> Result<Self, ValidationError> {
        let mut profile = Profile::try_new(unchecked.name, unchecked.settings)?;
        profile.retired = unchecked.retired;
        Ok(profile)
    }
}

impl Profile {
    /// Returns a profile if every setting is valid.
    ///
    /// # Errors
    ///
    /// Fails with the first invalid field, its value and the valid values.
    pub fn try_new(name: ProfileName, settings: Settings) -> Result<Self, ValidationError> {
        let team: TeamName = settings.team.parse()?;
        check_range("team_weight", settings.team_weight, 1, MAX_TEAM_WEIGHT, "1 to 1000")?;
        check_range("quota_slots", settings.quota_slots, 1, u32::MAX, "at least 1")?;
        check_range("quota_queued_tasks", settings.quota_queued_tasks, 1, u32::MAX, "at least 1")?;
        let timeout_range = "1 to 3600000 ms";
        check_range("start_within_ms", settings.start_within_ms, 1, MAX_TIMEOUT_MS, timeout_range)?;
        check_range("task_timeout_ms", settings.task_timeout_ms, 1, MAX_TIMEOUT_MS, timeout_range)?;
        Ok(Profile { name, team, settings, retired: false })
    }

    /// Returns the profile marked as retired.
    pub fn into_retired(mut self) -> Self {
        self.retired = true;
        self
    }

    /// Returns the name of the profile.
    pub const fn name(&self) -> &ProfileName {
        &self.name
    }

    /// Returns the team, validated as a name.
    pub const fn team(&self) -> &TeamName {
        &self.team
    }

    /// Returns the validated settings.
    pub const fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns whether the profile is retired, so that new jobs under it are refused.
    pub const fn retired(&self) -> bool {
        self.retired
    }
}

fn check_range<T: Copy + PartialOrd + ToString>(
    field: &'static str,
    given: T,
    min: T,
    max: T,
    expected: &'static str,
) -> Result<(), ValidationError> {
    match given >= min && given <= max {
        true => Ok(()),
        false => Err(ValidationError::new(field, given, expected)),
    }
}
