//! What targets have and tasks take.

use serde::{Deserialize, Serialize};

/// Processor time, memory and accelerators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Capacity {
    /// Thousandths of a core.
    pub cpu_milli: u64,
    /// Memory in MiB.
    pub memory_mb: u64,
    /// Accelerators.
    pub gpus: u64,
}

impl Capacity {
    /// Returns whether `demand` fits into this.
    pub const fn fits(&self, demand: &Capacity) -> bool {
        demand.cpu_milli <= self.cpu_milli
            && demand.memory_mb <= self.memory_mb
            && demand.gpus <= self.gpus
    }

    /// Returns the sum.
    pub const fn plus(&self, other: &Capacity) -> Capacity {
        Capacity {
            cpu_milli: self.cpu_milli + other.cpu_milli,
            memory_mb: self.memory_mb + other.memory_mb,
            gpus: self.gpus + other.gpus,
        }
    }

    /// Returns what is left, with 0 for what would be negative.
    pub const fn minus(&self, other: &Capacity) -> Capacity {
        Capacity {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            gpus: self.gpus.saturating_sub(other.gpus),
        }
    }
}
