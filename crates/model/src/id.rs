//! Identifiers of processes, sessions, submissions and attempts.

use std::{
    fmt,
    net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr},
    str::FromStr,
};

use serde::{Deserialize, Serialize};

use crate::ValidationError;

/// Maximum length of the name of a zone, profile or team.
const MAX_NAME_BYTES: usize = 64;

/// Name of an availability zone, of 1 to 64 letters, digits, `-`, `_` or `.`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Zone(String);

impl Zone {
    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<String> for Zone {
    type Error = ValidationError;

    fn try_from(name: String) -> Result<Self, ValidationError> {
        check_name("zone", &name)?;
        Ok(Zone(name))
    }
}

impl FromStr for Zone {
    type Err = ValidationError;

    fn from_str(name: &str) -> Result<Self, ValidationError> {
        name.to_owned().try_into()
    }
}

impl From<Zone> for String {
    fn from(zone: Zone) -> String {
        zone.0
    }
}

impl fmt::Display for Zone {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Random number drawn when a process starts.
///
/// Distinguishes the process from earlier ones at the same address.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
pub struct Incarnation(pub u64);

/// Identity of a home, the only process that may start tasks of its sessions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct HomeId {
    /// Address at which peers reach the process.
    pub addr: SocketAddr,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
}

impl HomeId {
    /// Returns the home at `addr` with the given incarnation.
    pub const fn new(addr: SocketAddr, incarnation: Incarnation) -> Self {
        HomeId { addr, incarnation }
    }
}

impl fmt::Display for HomeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.addr.ip() {
            IpAddr::V4(ip) => write!(f, "{:08x}", ip.to_bits())?,
            IpAddr::V6(ip) => write!(f, "{:032x}", ip.to_bits())?,
        }
        write!(f, "{:04x}-{:016x}", self.addr.port(), self.incarnation.0)
    }
}

impl FromStr for HomeId {
    type Err = ValidationError;

    fn from_str(text: &str) -> Result<Self, ValidationError> {
        let err =
            || ValidationError::new("home", text, "an address and an incarnation in hexadecimal");
        let (addr, incarnation) = text.split_once('-').ok_or_else(err)?;
        let split = addr.len().checked_sub(4).ok_or_else(err)?;
        let (ip, port) = addr.split_at_checked(split).ok_or_else(err)?;
        let port = u16::from_str_radix(port, 16).map_err(|_| err())?;
        let ip = match ip.len() {
            8 => IpAddr::V4(Ipv4Addr::from_bits(u32::from_str_radix(ip, 16).map_err(|_| err())?)),
            32 => IpAddr::V6(Ipv6Addr::from_bits(u128::from_str_radix(ip, 16).map_err(|_| err())?)),
            _ => return Err(err()),
        };
        let incarnation = u64::from_str_radix(incarnation, 16).map_err(|_| err())?;
        Ok(HomeId::new(SocketAddr::new(ip, port), Incarnation(incarnation)))
    }
}

impl TryFrom<String> for HomeId {
    type Error = ValidationError;

    fn try_from(text: String) -> Result<Self, ValidationError> {
        text.parse()
    }
}

impl From<HomeId> for String {
    fn from(home: HomeId) -> String {
        home.to_string()
    }
}

/// Identity of a session, which contains the identity of the session's home.
///
/// Any process can therefore route a request to the home without a lookup.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct SessionId {
    /// Process that opened the session.
    pub home: HomeId,
    /// Position of the session in the order in which its home opened sessions.
    pub number: u64,
    /// Random number that prevents callers from guessing the ids of other callers' sessions.
    pub secret: u64,
}

impl fmt::Display for SessionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:x}-{:016x}", self.home, self.number, self.secret)
    }
}

impl FromStr for SessionId {
    type Err = ValidationError;

    fn from_str(text: &str) -> Result<Self, ValidationError> {
        let err =
            || ValidationError::new("session", text, "an id that `POST /v1/sessions` returned");
        let (prefix, secret) = text.rsplit_once('-').ok_or_else(err)?;
        let (home, number) = prefix.rsplit_once('-').ok_or_else(err)?;
        Ok(SessionId {
            home: home.parse().map_err(|_| err())?,
            number: u64::from_str_radix(number, 16).map_err(|_| err())?,
            secret: u64::from_str_radix(secret, 16).map_err(|_| err())?,
        })
    }
}

impl TryFrom<String> for SessionId {
    type Error = ValidationError;

    fn try_from(text: String) -> Result<Self, ValidationError> {
        text.parse()
    }
}

impl From<SessionId> for String {
    fn from(session: SessionId) -> String {
        session.to_string()
    }
}

/// Number that a caller gives to a submission, unique within the session.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
pub struct Sequence(pub u64);

impl fmt::Display for Sequence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Identity of a submission; a resubmission has the same identity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SubmissionId {
    /// Session of the submission.
    pub session: SessionId,
    /// Number of the submission within the session.
    pub sequence: Sequence,
}

impl fmt::Display for SubmissionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.session, self.sequence)
    }
}

/// Position of a task within its job, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskIndex(pub u16);

/// Identity of one attempt to start a task on a target.
///
/// At most one attempt of a task leads to its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptId {
    /// Submission that contains the task.
    pub submission: SubmissionId,
    /// Position of the task within the submission's job.
    pub task: TaskIndex,
    /// Number of earlier attempts of the same task.
    pub attempt: u16,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.submission, self.task.0, self.attempt)
    }
}

pub(crate) fn check_name(field: &'static str, name: &str) -> Result<(), ValidationError> {
    let is_valid = (1..=MAX_NAME_BYTES).contains(&name.len())
        && name.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b));
    match is_valid {
        true => Ok(()),
        false => Err(ValidationError::new(field, name, "1 to 64 letters, digits, `-`, `_` or `.`")),
    }
}
