//! Entries of the target list.

use std::{net::SocketAddr, sync::Arc};

use ggb_model::{ValidationError, Zone};
use serde::{Deserialize, Serialize};

use crate::{Capacity, StepSpec};

/// Properties of a target as published in the target list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct TargetInfo {
    /// Identifier of the target.
    pub id: Arc<str>,
    /// Start of this incarnation of the target, in ms since 1970; distinguishes incarnations with
    /// the same id.
    #[serde(rename = "born_unix_ms")]
    pub started_unix_ms: u64,
    /// Service whose tasks the target runs.
    pub service: Arc<str>,
    /// Address of the target's request API.
    pub addr: SocketAddr,
    /// Availability zone of the target.
    pub zone: Zone,
    /// Resources that all runs on the target together may reserve.
    pub capacity: Capacity,
    /// Labels of the target, such as its kind and its rack.
    pub labels: Vec<String>,
    /// `true` if the target is draining and takes no new tasks.
    pub draining: bool,
}

impl TargetInfo {
    /// Checks that the identifier can be sent in a header and that the capacity is within its bounds.
    ///
    /// # Errors
    ///
    /// Returns the field that violates its rule.
    pub fn validate(&self) -> Result<(), ValidationError> {
        if self.id.is_empty() || !self.id.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(ValidationError::new("id", &self.id, "visible ASCII characters"));
        }
        if !Capacity::MAX.fits(&self.capacity) {
            return Err(ValidationError::new(
                "capacity",
                format!("{:?}", self.capacity),
                "at most 10,000 cores, 1 PiB and 100,000 accelerators",
            ));
        }
        Ok(())
    }

    /// Returns whether the target has the label; `None` always matches.
    pub fn has_label(&self, label: Option<&str>) -> bool {
        label.is_none_or(|label| self.labels.iter().any(|own| own == label))
    }

    /// Returns whether an idle target could run a task of `step` for `service`.
    pub fn can_run(&self, service: &str, step: &StepSpec) -> bool {
        *self.service == *service
            && self.capacity.fits(&step.demand)
            && self.has_label(step.required_label.as_deref())
    }
}
