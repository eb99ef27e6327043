//! Resource vectors for the capacity of targets and the demand of tasks.

use serde::{Deserialize, Serialize};

/// A vector of CPU time, memory and accelerators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Capacity {
    /// CPU time in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory in MiB.
    pub memory_mb: u64,
    /// Number of accelerators.
    pub gpus: u64,
}

impl Capacity {
    /// Maximum capacity of a target and demand of a task, far beyond the largest targets. Sums over
    /// all targets and all queued tasks stay exact.
    pub const MAX: Capacity = Capacity { cpu_milli: 10_000_000, memory_mb: 1 << 30, gpus: 100_000 };

    /// Returns whether every component of `demand` is at most the component of `self`.
    pub const fn fits(&self, demand: &Capacity) -> bool {
        demand.cpu_milli <= self.cpu_milli
            && demand.memory_mb <= self.memory_mb
            && demand.gpus <= self.gpus
    }

    /// Returns the component-wise sum.
    pub const fn add(&self, other: &Capacity) -> Capacity {
        Capacity {
            cpu_milli: self.cpu_milli + other.cpu_milli,
            memory_mb: self.memory_mb + other.memory_mb,
            gpus: self.gpus + other.gpus,
        }
    }

    /// Returns the component-wise difference, with 0 in place of negative components.
    pub const fn saturating_sub(&self, other: &Capacity) -> Capacity {
        Capacity {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            gpus: self.gpus.saturating_sub(other.gpus),
        }
    }
}
