//! Slot leases and how they end.

use std::net::SocketAddr;

use ggb_model::TaskShape;

use crate::{PartKey, StreamId, WorkloadKey};

/// Identifies a slot lease within the dispatcher that granted it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseId(pub u64);

/// A slot lease granted to a home: the right to start one task on one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Demand that the grant serves.
    pub key: PartKey,
    /// Identifier by which the home releases the lease.
    pub lease: LeaseId,
    /// Target on which the task may start.
    pub target: SocketAddr,
}

/// Result that the home reports when it releases a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseEnd {
    /// The task ran and its answer arrived.
    Done {
        /// Run time of the task, as reported by the target.
        run_ms: u32,
    },
    /// The target ran the task and reported a failure.
    Failed,
    /// The target denied the start because it has no free capacity.
    DeniedFull,
    /// The target denied the start because it is leaving.
    DeniedLeaving,
    /// No connection to the target could be opened, so the task did not start.
    Unreachable,
    /// The task may have started; no reply to the start request arrived.
    Lost,
    /// The home did not use the lease, or its task was cancelled and stopped, which is no sign of a
    /// faulty target.
    Unused,
}

#[derive(Clone, Debug)]
pub(crate) struct Lease {
    pub(crate) key: PartKey,
    pub(crate) target: SocketAddr,
    pub(crate) shape: TaskShape,
    pub(crate) team: usize,
    pub(crate) workload: WorkloadKey,
    /// Whether the lease counts against the limit on slots of long work.
    pub(crate) is_long: bool,
    pub(crate) granted_ms: u64,
    /// Run time charged to the team when the lease was granted.
    pub(crate) charged_run_ms: u32,
}

/// Number of low bits of a [`LeaseId`] that hold the index of its entry; the generation of
/// the entry takes the bits above.
const INDEX_BITS: u32 = 24;
const INDEX_MASK: u64 = (1 << INDEX_BITS) - 1;

#[derive(Clone, Debug)]
struct Entry {
    /// Number of leases that the entry has held, including the current one.
    ///
    /// It is part of the [`LeaseId`], so that the id of an earlier lease of the entry is not
    /// accepted.
    generation: u64,
    lease: Option<Lease>,
}

/// All leases of a dispatcher, looked up by id in constant time.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeaseTable {
    entries: Vec<Entry>,
    free_indices: Vec<usize>,
    lease_count: usize,
}

impl LeaseTable {
    pub(crate) fn insert(&mut self, lease: Lease) -> LeaseId {
        let index = self.free_indices.pop().unwrap_or_else(|| {
            self.entries.push(Entry { generation: 0, lease: None });
            self.entries.len() - 1
        });
        let entry = &mut self.entries[index];
        entry.generation += 1;
        entry.lease = Some(lease);
        self.lease_count += 1;
        LeaseId(entry.generation << INDEX_BITS | index as u64)
    }

    /// Removes a lease that `stream` holds; returns `None` for any other id.
    pub(crate) fn remove(&mut self, id: LeaseId, stream: StreamId) -> Option<Lease> {
        let index = (id.0 & INDEX_MASK) as usize;
        let entry = self.entries.get_mut(index)?;
        let matches_stream = entry.lease.as_ref().is_some_and(|lease| lease.key.stream == stream);
        if entry.generation != id.0 >> INDEX_BITS || !matches_stream {
            return None;
        }
        self.free_indices.push(index);
        self.lease_count -= 1;
        entry.lease.take()
    }

    /// Returns the ids of the leases that `stream` holds.
    pub(crate) fn ids_of_stream(&self, stream: StreamId) -> Vec<LeaseId> {
        let leases = self.iter().filter(|(_, lease)| lease.key.stream == stream);
        leases.map(|(id, _)| id).collect()
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Lease> {
        self.entries.iter_mut().filter_map(|entry| entry.lease.as_mut())
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (LeaseId, &Lease)> {
        self.entries.iter().enumerate().filter_map(|(index, entry)| {
            let lease = entry.lease.as_ref()?;
            Some((LeaseId(entry.generation << INDEX_BITS | index as u64), lease))
        })
    }

    pub(crate) const fn len(&self) -> usize {
        self.lease_count
    }
}
