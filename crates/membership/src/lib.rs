//! Live and leaving VMs, from a lagging list and from direct observation, as pure logic.
//!
//! # Overview
//!
//! The platform's list is a hint that lags. [`View`] merges it with what a process
//! sees itself: facts seen at first hand go before the list, and *leaving* is final
//! for one incarnation of a VM. Nothing here decides whether work may start; it
//! only steers where new work goes. [`Ownership`] decides which VM gives orders to the
//! targets of an availability zone.
//!
//! # Example
//!
//! ```
//! use ggb_membership::{Role, View, Vm, VmState};
//! use ggb_model::{Incarnation, TaskShape};
//!
//! let vm = Vm {
//!     role: Role::Target,
//!     zone: "qc-east-a".parse().unwrap(),
//!     addr: "127.0.0.1:9000".parse().unwrap(),
//!     incarnation: Incarnation(1),
//!     state: VmState::Live,
//!     capacity: TaskShape { slots: 32, memory_mib: 131_072, accelerators: 0 },
//! };
//! let mut view = View::default();
//! view.apply_list(&[vm.clone()], 0);
//! view.observe_leaving(vm.addr);
//! view.apply_list(&[vm], 1_000);
//! assert_eq!(view.staying(Role::Target).count(), 0);
//! ```

mod ownership;
mod peer_clock;
mod rendezvous;
mod view;

pub use crate::{
    ownership::{
        HEARTBEAT_MS, HeardClaim, Heartbeat, Node, OWNER_SILENT_MS, Ownership, OwnershipChange,
        PeerState, Sender,
    },
    peer_clock::PeerClock,
    rendezvous::rank_by_rendezvous,
    view::{Role, View, Vm, VmState},
};
