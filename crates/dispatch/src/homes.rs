//! Connected homes and what is to be sent to them.

use std::sync::Arc;

use async_channel::{Receiver, Sender};
use ggb_policy::{LeaseId, StreamId};
use ggb_wire::v1::{Admission, DispatchBatch, Grant, ZoneLoad};
use parking_lot::Mutex;

/// What is to be sent to one home with the next batch.
#[derive(Debug)]
pub(crate) struct Outbox {
    batch: Mutex<DispatchBatch>,
    wake: Sender<()>,
}

impl Outbox {
    /// Returns an empty outbox and the receiver that wakes its writer.
    pub(crate) fn new() -> (Arc<Self>, Receiver<()>) {
        let (wake, woken) = async_channel::bounded(1);
        (Arc::new(Outbox { batch: Mutex::default(), wake }), woken)
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

    /// Wakes the writer; a wake-up that is already due covers this one.
    pub(crate) fn wake(&self) {
        self.wake.try_send(()).ok();
    }

    /// Ends the writer.
    pub(crate) fn close(&self) {
        self.wake.close();
    }

    pub(crate) fn take(&self) -> DispatchBatch {
        std::mem::take(&mut *self.batch.lock())
    }
}

/// One connected home.
#[derive(Debug)]
pub(crate) struct Home {
    pub(crate) stream: StreamId,
    pub(crate) outbox: Arc<Outbox>,
    pub(crate) last_heard_ms: u64,
    /// Leases that the home brought along, sorted by its own number.
    held: Vec<(u64, LeaseId)>,
}

impl Home {
    pub(crate) fn insert_held(&mut self, number: u64, lease: LeaseId) {
        let found = self.held.binary_search_by_key(&number, |(number, _)| *number);
        if let Err(at) = found {
            self.held.insert(at, (number, lease));
        }
    }

    pub(crate) fn take_held(&mut self, number: u64) -> Option<LeaseId> {
        let at = self.held.binary_search_by_key(&number, |(number, _)| *number).ok()?;
        Some(self.held.remove(at).1)
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
        self.homes.push(Home { stream, outbox, last_heard_ms: now_ms, held: Vec::new() });
        stream
    }

    pub(crate) fn remove(&mut self, stream: StreamId) -> Option<Home> {
        let at = self.position(stream)?;
        Some(self.homes.remove(at))
    }

    pub(crate) fn find(&mut self, stream: StreamId) -> Option<&mut Home> {
        let at = self.position(stream)?;
        Some(&mut self.homes[at])
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Home> {
        self.homes.iter()
    }

    /// Returns the homes that were not heard of since `before_ms`.
    pub(crate) fn silent_since(&self, before_ms: u64) -> Vec<StreamId> {
        let silent = self.homes.iter().filter(|home| home.last_heard_ms < before_ms);
        silent.map(|home| home.stream).collect()
    }

    pub(crate) const fn len(&self) -> usize {
        self.homes.len()
    }

    fn position(&self, stream: StreamId) -> Option<usize> {
        self.homes.binary_search_by_key(&stream, |home| home.stream).ok()
    }
}
