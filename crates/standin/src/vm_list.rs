//! Editing of the list of VMs in the store.

use std::net::SocketAddr;

use ggb_membership::{Vm, VmState};
use ggb_model::Incarnation;
use ggb_platform::VMS_TABLE;

use crate::StoreStandin;

/// Returns the key and the value of a VM's row, with a random incarnation if it has none.
pub fn vm_row(mut vm: Vm) -> (String, Vec<u8>) {
    if vm.incarnation == Incarnation::default() {
        vm.incarnation = Incarnation(rand::random());
    }
    let value =
        serde_json::to_vec(&vm).expect("a VM serializes without error: all map keys are strings");
    (vm.addr.to_string(), value)
}

impl StoreStandin {
    /// Adds a VM to the list, or replaces the one with the same address.
    pub fn list_vm(&self, vm: Vm) {
        let (key, value) = vm_row(vm);
        self.put(VMS_TABLE, &key, &value);
    }

    /// Removes a VM from the list.
    pub fn unlist_vm(&self, addr: SocketAddr) {
        self.remove(VMS_TABLE, &addr.to_string());
    }

    /// Marks a VM as leaving.
    pub fn mark_leaving(&self, addr: SocketAddr) {
        for (_, value) in self.rows(VMS_TABLE, &addr.to_string()) {
            let vm: Vm = serde_json::from_slice(&value).expect("rows of the VM table hold VMs");
            if vm.addr == addr {
                self.list_vm(Vm { state: VmState::Leaving, ..vm });
            }
        }
    }
}
