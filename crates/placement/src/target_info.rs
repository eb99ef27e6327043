//! What the list of targets says of one.

use std::{net::SocketAddr, sync::Arc};

use ggb_model::Zone;
use serde::{Deserialize, Serialize};

use crate::{Capacity, StepSpec};

/// What a target says of itself in the list of targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct TargetInfo {
    /// The name of this life of the target.
    pub id: Arc<str>,
    /// When this life began, in ms since 1970; tells lives under one name apart.
    pub born_unix_ms: u64,
    /// The service whose tasks it runs.
    pub service: Arc<str>,
    /// The address that takes orders.
    pub addr: SocketAddr,
    /// The availability zone.
    pub zone: Zone,
    /// What it has in all.
    pub capacity: Capacity,
    /// Its kind and its rack.
    pub labels: Vec<String>,
    /// Whether it is about to leave.
    pub draining: bool,
}

impl TargetInfo {
    /// Returns whether it has a label, if one is asked for.
    pub fn has_label(&self, label: Option<&str>) -> bool {
        label.is_none_or(|label| self.labels.iter().any(|own| own == label))
    }

    /// Returns whether a task of `step` may run there and fits when nothing else does.
    pub fn can_hold(&self, service: &str, step: &StepSpec) -> bool {
        *self.service == *service
            && self.capacity.fits(&step.demand)
            && self.has_label(step.required_label.as_deref())
    }
}
