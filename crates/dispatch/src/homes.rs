//! Connected homes and the batches to be sent to them.

use std::sync::Arc;

use async_channel::{Receiver, Sender};
use ggb_policy::{LeaseId, StreamId};
use ggb_wire::v1::{Admission, DispatchBatch, Grant, ZoneLoad};
use parking_lot::Mutex;

/// Next batch for one home, collected until the response stream of the home sends it.
#[derive(Debug)]
pub(crate) struct Outbox {
    batch: Mutex<DispatchBatch>,
    wake_sender: Sender<()>,
}

impl Outbox {
    /// Returns an empty outbox and the receiver of the signal that wakes the response stream.
    pub(crate) fn new() -> (Arc<Self>, Receiver<()>) {
        let (wake_sender, wake_signal) = async_channel::bounded(1);
        (Arc::new(Outbox { batch: Mutex::default(), wake_sender }), wake_signal)
    }

    pub(crate) fn push_admission(&self, admission: Admission) {
        self.batch.lock().admissions.push(admission);
    }

    pub(crate) fn push_grant(&self, grant: Grant) {
        self.batch.lock().grants.push(grant);
    }

    pub(crate) fn set_loads(&self, loads: Vec<ZoneLoad>) {
        self.batch.lock().loads = loads;
    }

    /// Wakes the response stream; has no effect while an earlier signal is pending.
    pub(crate) fn wake_stream(&self) {
        self.wake_sender.try_send(()).ok();
    }

    /// Closes the signal, which ends the response stream.
    pub(crate) fn close(&self) {
        self.wake_sender.close();
    }

    /// Takes the collected batch.
    pub(crate) fn take_batch(&self) -> DispatchBatch {
        std::mem::take(&mut *self.batch.lock())
    }
}

/// A connected home.
#[derive(Debug)]
pub(crate) struct Home {
    pub(crate) stream: StreamId,
    pub(crate) outbox: Arc<Outbox>,
    pub(crate) last_batch_ms: u64,
    /// Leases that the home reported, sorted by the home's number for them.
    reported_leases: Vec<(u64, LeaseId)>,
}

impl Home {
    /// Records a reported lease; a repeated number is ignored.
    pub(crate) fn insert_reported(&mut self, number: u64, lease: LeaseId) {
        let found = self.reported_leases.binary_search_by_key(&number, |(number, _)| *number);
        if let Err(index) = found {
            self.reported_leases.insert(index, (number, lease));
        }
    }

    /// Removes and returns the reported lease with the given number.
    pub(crate) fn take_reported(&mut self, number: u64) -> Option<LeaseId> {
        let index =
            self.reported_leases.binary_search_by_key(&number, |(number, _)| *number).ok()?;
        Some(self.reported_leases.remove(index).1)
    }
}

/// All connected homes, sorted by stream.
#[derive(Debug, Default)]
pub(crate) struct Homes {
    homes: Vec<Home>,
    next_stream: u32,
}

impl Homes {
    pub(crate) fn connect(&mut self, outbox: Arc<Outbox>, now_ms: u64) -> StreamId {
        let stream = StreamId(self.next_stream);
        self.next_stream += 1;
        self.homes.push(Home {
            stream,
            outbox,
            last_batch_ms: now_ms,
            reported_leases: Vec::new(),
        });
        stream
    }

    pub(crate) fn remove(&mut self, stream: StreamId) -> Option<Home> {
        let index = self.position(stream)?;
        Some(self.homes.remove(index))
    }

    pub(crate) fn get_mut(&mut self, stream: StreamId) -> Option<&mut Home> {
        let index = self.position(stream)?;
        Some(&mut self.homes[index])
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Home> {
        self.homes.iter()
    }

    /// Returns the homes that have sent no batch since `before_ms`.
    pub(crate) fn without_batch_since(&self, before_ms: u64) -> Vec<StreamId> {
        let timed_out = self.homes.iter().filter(|home| home.last_batch_ms < before_ms);
        timed_out.map(|home| home.stream).collect()
    }

    pub(crate) const fn len(&self) -> usize {
        self.homes.len()
    }

    fn position(&self, stream: StreamId) -> Option<usize> {
        self.homes.binary_search_by_key(&stream, |home| home.stream).ok()
    }
}
