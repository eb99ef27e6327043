//! View of the VMs that a process knows.

use std::net::SocketAddr;

use ggb_model::{Incarnation, TaskShape, Zone};
use serde::{Deserialize, Serialize};

/// Time for which a VM that is missing from the list is kept after it last appeared in the list
/// or answered a request.
const UNLISTED_VM_RETENTION_MS: u64 = 15_000;

/// Kind of process that a VM runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Runs an entry process.
    Entry,
    /// Runs a dispatcher process.
    Dispatch,
    /// Runs a target.
    Target,
}

/// The state of a VM in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// In use.
    Live,
    /// About to stop; it must get no new work.
    Leaving,
}

/// Entry of the platform's list of VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Kind of process that the VM runs.
    pub role: Role,
    /// Availability zone of the VM.
    pub zone: Zone,
    /// Address at which its process accepts connections from other processes of the system.
    pub addr: SocketAddr,
    /// Incarnation, which distinguishes a new VM from an earlier one at the same address.
    pub incarnation: Incarnation,
    /// State of the VM as the platform lists it.
    pub state: VmState,
    /// Total resources that the tasks on the VM may occupy at the same time, if it is a target.
    #[serde(default)]
    pub capacity: TaskShape,
}

#[derive(Clone, Debug)]
struct KnownVm {
    vm: Vm,
    /// Whether the list or the VM itself has reported that it is leaving.
    leaving: bool,
    /// Time at which the VM last appeared in the list or answered a request.
    last_seen_ms: u64,
}

/// The VMs that a process knows, from the platform's list and from direct observation.
///
/// No VM is removed while the list cannot be read.
#[derive(Clone, Debug, Default)]
pub struct MembershipView {
    /// Sorted by address.
    vms: Vec<KnownVm>,
}

impl MembershipView {
    /// Merges the platform's list.
    ///
    /// A VM that is missing from the list is kept for some time after it last appeared in the
    /// list or answered a request, since the list may lag in both directions.
    pub fn apply_list(&mut self, list: &[Vm], now_ms: u64) {
        for vm in list {
            self.merge(vm, now_ms);
        }
        self.vms
            .retain(|known| now_ms.saturating_sub(known.last_seen_ms) < UNLISTED_VM_RETENTION_MS);
    }

    /// Records that a VM answered a request.
    pub fn observe_alive(&mut self, addr: SocketAddr, now_ms: u64) {
        if let Ok(index) = self.position(addr) {
            self.vms[index].last_seen_ms = now_ms;
        }
    }

    /// Records that a VM itself reported that it is leaving; this is final for its incarnation.
    pub fn observe_leaving(&mut self, addr: SocketAddr) {
        if let Ok(index) = self.position(addr) {
            self.vms[index].leaving = true;
        }
    }

    /// Returns the VMs of a role that may get new work.
    pub fn active(&self, role: Role) -> impl Iterator<Item = &Vm> {
        let active = self.vms.iter().filter(move |known| known.vm.role == role && !known.leaving);
        active.map(|known| &known.vm)
    }

    /// Returns the VMs of a role that are leaving.
    pub fn leaving(&self, role: Role) -> impl Iterator<Item = &Vm> {
        let leaving = self.vms.iter().filter(move |known| known.vm.role == role && known.leaving);
        leaving.map(|known| &known.vm)
    }

    fn merge(&mut self, vm: &Vm, now_ms: u64) {
        let leaving = vm.state == VmState::Leaving;
        let updated = KnownVm { vm: vm.clone(), leaving, last_seen_ms: now_ms };
        match self.position(vm.addr) {
            Ok(index) if self.vms[index].vm.incarnation == vm.incarnation => {
                self.vms[index] =
                    KnownVm { leaving: leaving || self.vms[index].leaving, ..updated };
            }
            Ok(index) => self.vms[index] = updated,
            Err(index) => self.vms.insert(index, updated),
        }
    }

    fn position(&self, addr: SocketAddr) -> Result<usize, usize> {
        self.vms.binary_search_by_key(&addr, |known| known.vm.addr)
    }
}
