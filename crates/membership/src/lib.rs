//! Membership of VMs and ownership of targets, without I/O.
//!
//! # Overview
//!
//! The platform's list of VMs lags behind. [`MembershipView`] merges it with the observations of
//! the process itself, which take precedence, and *leaving* is final for one incarnation of a VM.
//! A view only directs new work; it does not decide whether work may start.
//!
//! [`Ownership`] elects the VM that controls the targets of an availability zone. Its claim carries a
//! fencing token that no other VM derives. [`Members`] are the processes that it exchanges heartbeats
//! with, and [`RecipientTime`] dates their messages. [`rank_by_rendezvous`] orders processes
//! without coordination. [`Evacuation`] holds the zones that operators have asked to evacuate.
//!
//! # Example
//!
//! ```
//! use ggb_membership::{MembershipView, Role, Vm, VmState};
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
//! let mut view = MembershipView::default();
//! view.apply_list(&[vm.clone()], 0);
//! view.observe_leaving(vm.addr);
//! view.apply_list(&[vm], 1_000);
//! assert_eq!(view.active(Role::Target).count(), 0);
//! ```

mod evacuation;
mod gossip;
mod heartbeat;
mod members;
mod message_age;
mod ownership;
mod peer_clock;
mod recipients;
mod rejections;
mod rendezvous;
mod reports;
mod view;

pub use crate::{
    evacuation::{Evacuation, EvacuationReport, EvacuationRow},
    gossip::VersionGossip,
    heartbeat::{Heartbeat, KnownClaim, MessageSender, Node},
    members::{Member, Members},
    message_age::{ClockReading, RecipientTime},
    ownership::{HEARTBEAT_INTERVAL_MS, OWNER_TIMEOUT_MS, Ownership, OwnershipChange, PeerState},
    peer_clock::PeerClock,
    recipients::{MAX_HEARTBEAT_BYTES, MAX_ZONE_MEMBERS, Recipient, Recipients},
    rendezvous::rank_by_rendezvous,
    reports::ReportedOwner,
    view::{MembershipView, Role, Vm, VmState},
};
