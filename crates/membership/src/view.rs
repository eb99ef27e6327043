//! The VMs that a process knows.

use std::net::SocketAddr;

use ggb_model::{Incarnation, TaskShape, Zone};
use serde::{Deserialize, Serialize};

/// How long a VM that is missing from the list is kept after it was last heard of.
const KEEP_MISSING_MS: u64 = 15_000;

/// What a VM is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// An entry process.
    Entry,
    /// A dispatcher process.
    Dispatch,
    /// A target.
    Target,
}

/// The state of a VM in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// In use.
    Live,
    /// About to go; it must get no new work.
    Leaving,
}

/// One line of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// What it is for.
    pub role: Role,
    /// Its availability zone.
    pub zone: Zone,
    /// Where the process listens to the other processes of the system.
    pub addr: SocketAddr,
    /// Tells apart a new VM under an old address.
    pub incarnation: Incarnation,
    /// Its state.
    pub state: VmState,
    /// What it can run at once, if it is a target.
    #[serde(default)]
    pub capacity: TaskShape,
}

#[derive(Clone, Debug)]
struct Known {
    vm: Vm,
    leaving: bool,
    last_heard_ms: u64,
}

/// The VMs that a process knows, sorted by address.
///
/// While the list itself can't be had, nothing is forgotten.
#[derive(Clone, Debug, Default)]
pub struct View {
    vms: Vec<Known>,
}

impl View {
    /// Merges the platform's list.
    ///
    /// A VM that is missing is kept for a while after it was last heard of, since
    /// the list lags both ways.
    pub fn apply_list(&mut self, list: &[Vm], now_ms: u64) {
        for vm in list {
            self.merge(vm, now_ms);
        }
        self.vms.retain(|known| now_ms.saturating_sub(known.last_heard_ms) < KEEP_MISSING_MS);
    }

    /// Records that a VM answered.
    pub fn observe_alive(&mut self, addr: SocketAddr, now_ms: u64) {
        if let Ok(at) = self.position(addr) {
            self.vms[at].last_heard_ms = now_ms;
        }
    }

    /// Records that a VM itself said that it is leaving, which is final.
    pub fn observe_leaving(&mut self, addr: SocketAddr) {
        if let Ok(at) = self.position(addr) {
            self.vms[at].leaving = true;
        }
    }

    /// Returns the VMs of a role that may get new work.
    pub fn staying(&self, role: Role) -> impl Iterator<Item = &Vm> {
        let staying = self.vms.iter().filter(move |known| known.vm.role == role && !known.leaving);
        staying.map(|known| &known.vm)
    }

    /// Returns the VMs of a role that are leaving.
    pub fn leaving(&self, role: Role) -> impl Iterator<Item = &Vm> {
        let leaving = self.vms.iter().filter(move |known| known.vm.role == role && known.leaving);
        leaving.map(|known| &known.vm)
    }

    fn merge(&mut self, vm: &Vm, now_ms: u64) {
        let leaving = vm.state == VmState::Leaving;
        let fresh = Known { vm: vm.clone(), leaving, last_heard_ms: now_ms };
        match self.position(vm.addr) {
            Ok(at) if self.vms[at].vm.incarnation == vm.incarnation => {
                self.vms[at] = Known { leaving: leaving || self.vms[at].leaving, ..fresh };
            }
            Ok(at) => self.vms[at] = fresh,
            Err(at) => self.vms.insert(at, fresh),
        }
    }

    fn position(&self, addr: SocketAddr) -> Result<usize, usize> {
        self.vms.binary_search_by_key(&addr, |known| known.vm.addr)
    }
}
