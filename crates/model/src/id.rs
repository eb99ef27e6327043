//! Identifiers of processes, sessions, submissions and attempts.

use std::{
    fmt,
    net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr},
    str::FromStr,
};

use serde::{Deserialize, Serialize};

use crate::ModelError;

const MAX_NAME_BYTES: usize = 64;

/// The name of an availability zone.
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
    type Error = ModelError;

    fn try_from(name: String) -> Result<Self, ModelError> {
        checked_name("zone", &name)?;
        Ok(Zone(name))
    }
}

impl FromStr for Zone {
    type Err = ModelError;

    fn from_str(name: &str) -> Result<Self, ModelError> {
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

/// A number drawn at random when a process boots, so that a new process under
/// an old address is told apart from the one before it.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
pub struct Incarnation(pub u64);

/// The one process that may start work of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct HomeId {
    /// The address at which peers reach the process.
    pub addr: SocketAddr,
    /// The incarnation of the process.
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
    type Err = ModelError;

    fn from_str(text: &str) -> Result<Self, ModelError> {
        let err = || ModelError::new("home", text, "an address and an incarnation in hexadecimal");
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
    type Error = ModelError;

    fn try_from(text: String) -> Result<Self, ModelError> {
        text.parse()
    }
}

impl From<HomeId> for String {
    fn from(home: HomeId) -> String {
        home.to_string()
    }
}

/// Names a session and, by containing it, the session's home.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct SessionId {
    /// The process that opened the session.
    pub home: HomeId,
    /// The position of the session in the order of opening at its home.
    pub number: u64,
    /// A random number, so that one caller can't name the session of another.
    pub key: u64,
}

impl fmt::Display for SessionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:x}-{:016x}", self.home, self.number, self.key)
    }
}

impl FromStr for SessionId {
    type Err = ModelError;

    fn from_str(text: &str) -> Result<Self, ModelError> {
        let err = || ModelError::new("session", text, "an id that `POST /v1/sessions` returned");
        let (rest, key) = text.rsplit_once('-').ok_or_else(err)?;
        let (home, number) = rest.rsplit_once('-').ok_or_else(err)?;
        Ok(SessionId {
            home: home.parse().map_err(|_| err())?,
            number: u64::from_str_radix(number, 16).map_err(|_| err())?,
            key: u64::from_str_radix(key, 16).map_err(|_| err())?,
        })
    }
}

impl TryFrom<String> for SessionId {
    type Error = ModelError;

    fn try_from(text: String) -> Result<Self, ModelError> {
        text.parse()
    }
}

impl From<SessionId> for String {
    fn from(session: SessionId) -> String {
        session.to_string()
    }
}

/// The number that a caller gives a submission within its session.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
pub struct Sequence(pub u64);

impl fmt::Display for Sequence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Names one submission of one caller; a resubmission has the same name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SubmissionId {
    /// The session.
    pub session: SessionId,
    /// The number within the session.
    pub sequence: Sequence,
}

impl fmt::Display for SubmissionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.session, self.sequence)
    }
}

/// The position of a task within its job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskIndex(pub u16);

/// Names one attempt to place a task on a target.
///
/// Attempts of one task differ in `attempt`; at most one of them is a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptId {
    /// The submission.
    pub submission: SubmissionId,
    /// The task within the submission.
    pub task: TaskIndex,
    /// Counts the placements tried so far.
    pub attempt: u16,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.submission, self.task.0, self.attempt)
    }
}

pub(crate) fn checked_name(field: &'static str, name: &str) -> Result<(), ModelError> {
    let ok = (1..=MAX_NAME_BYTES).contains(&name.len())
        && name.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b));
    match ok {
        true => Ok(()),
        false => Err(ModelError::new(field, name, "1 to 64 letters, digits, `-`, `_` or `.`")),
    }
}
