//! Slot leases and how they end.

use std::net::SocketAddr;

use ggb_model::TaskShape;

use crate::{JobKey, StreamId, WorkKey};

/// Names a slot lease within the dispatcher that granted it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseId(pub u64);

/// The right to send one task to one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The part of a job that it is for.
    pub key: JobKey,
    /// Names the lease for its release.
    pub lease: LeaseId,
    /// The target.
    pub target: SocketAddr,
}

/// How a lease ended, as its holder saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseEnd {
    /// The task ran and was answered.
    Done {
        /// How long it ran.
        run_ms: u32,
    },
    /// The target ran the task and reports a failure.
    Failed,
    /// The target denied the start because it had no room.
    DeniedFull,
    /// The target denied the start because it is leaving.
    DeniedLeaving,
    /// No connection could be opened, so nothing was started.
    Unreachable,
    /// The task may have started and its answer is lost.
    Lost,
    /// The holder had no use for the lease.
    Unused,
}

#[derive(Clone, Debug)]
pub(crate) struct Lease {
    pub(crate) key: JobKey,
    pub(crate) target: SocketAddr,
    pub(crate) shape: TaskShape,
    pub(crate) team: usize,
    pub(crate) work: WorkKey,
    pub(crate) long: bool,
    pub(crate) granted_ms: u64,
    pub(crate) charged_ms: u32,
}

const INDEX_BITS: u32 = 24;
const INDEX_MASK: u64 = (1 << INDEX_BITS) - 1;

#[derive(Clone, Debug)]
struct Slot {
    use_count: u64,
    lease: Option<Lease>,
}

/// All leases of a dispatcher, found by id in constant time.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeaseTable {
    slots: Vec<Slot>,
    vacant: Vec<usize>,
    live: usize,
}

impl LeaseTable {
    pub(crate) fn insert(&mut self, lease: Lease) -> LeaseId {
        let at = self.vacant.pop().unwrap_or_else(|| {
            self.slots.push(Slot { use_count: 0, lease: None });
            self.slots.len() - 1
        });
        let slot = &mut self.slots[at];
        slot.use_count += 1;
        slot.lease = Some(lease);
        self.live += 1;
        LeaseId(slot.use_count << INDEX_BITS | at as u64)
    }

    pub(crate) fn remove(&mut self, id: LeaseId, stream: StreamId) -> Option<Lease> {
        let at = (id.0 & INDEX_MASK) as usize;
        let slot = self.slots.get_mut(at)?;
        let own = slot.lease.as_ref().is_some_and(|lease| lease.key.stream == stream);
        if slot.use_count != id.0 >> INDEX_BITS || !own {
            return None;
        }
        self.vacant.push(at);
        self.live -= 1;
        slot.lease.take()
    }

    /// Returns the leases of one stream.
    pub(crate) fn of_stream(&self, stream: StreamId) -> Vec<LeaseId> {
        let own = self.iter().filter(|(_, lease)| lease.key.stream == stream);
        own.map(|(id, _)| id).collect()
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Lease> {
        self.slots.iter_mut().filter_map(|slot| slot.lease.as_mut())
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (LeaseId, &Lease)> {
        self.slots.iter().enumerate().filter_map(|(at, slot)| {
            let lease = slot.lease.as_ref()?;
            Some((LeaseId(slot.use_count << INDEX_BITS | at as u64), lease))
        })
    }

    pub(crate) const fn len(&self) -> usize {
        self.live
    }
}
