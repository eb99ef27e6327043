//! The connection to the active dispatcher of one availability zone.

use std::{
    net::SocketAddr,
    sync::{Arc, Weak},
    time::{Duration, Instant},
};

use async_channel::{Receiver, Sender};
use async_std::{future::timeout, task};
use futures::StreamExt as _;
use ggb_control::{ChannelPool, Members};
use ggb_membership::{Role, rank_by_rendezvous};
use ggb_model::{Priority, Zone};
use ggb_policy::ZoneLoad;
use ggb_telemetry::log_event;
use ggb_wire::v1::{
    Demand, DispatchBatch, Held, HomeBatch, Release, dispatch_client::DispatchClient,
};
use parking_lot::Mutex;
use tonic::Streaming;

/// Timeout for opening the stream and, separately, for the dispatcher's first batch.
const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// Maximum number of batches queued for sending on one connection.
const OUTGOING_BATCH_CAPACITY: usize = 4;
/// Time without a batch from the dispatcher after which the connection is closed.
const SILENCE_TIMEOUT_MS: u64 = 2_000;
/// Maximum time between two batches to the dispatcher; an empty batch is a heartbeat.
const HEARTBEAT_INTERVAL_MS: u64 = 500;
/// Delay before the first attempt to reconnect; doubles with each failed attempt.
const MIN_RETRY_DELAY_MS: u64 = 100;
const MAX_RETRY_DELAY_MS: u64 = 1_600;
/// Minimum time between checks for a dispatcher that ranks above the connected one.
const PREFERRED_CHECK_INTERVAL_MS: u64 = 3_000;
/// Weight of a new sample in the exponentially weighted moving average of the latency.
const LATENCY_EWMA_WEIGHT: f64 = 0.1;
/// Latency assumed for another zone before the first sample.
const INITIAL_REMOTE_LATENCY_US: f64 = 3_000.0;

/// Receiver of the events of a link.
pub(crate) trait LinkHandler: Send + Sync + 'static {
    /// Called when a connection is opened.
    fn on_connected(&self, link: &Arc<DispatcherLink>);
    /// Called when the connection is lost, and with it all demands sent over it.
    fn on_disconnected(&self, link: &Arc<DispatcherLink>);
    /// Called for each batch from the dispatcher; `epoch` is the number of the connection.
    fn on_batch(&self, link: &Arc<DispatcherLink>, epoch: u64, batch: DispatchBatch);
}

#[derive(Debug)]
struct LinkState {
    connected: bool,
    /// Number of connections opened so far, which identifies the current one.
    epoch: u64,
    outbox: HomeBatch,
    loads: [ZoneLoad; 3],
    /// Moving average of the additional latency of using the zone.
    latency_us: f64,
    /// Job whose admission ends the current latency measurement, and when it was requested.
    latency_probe: Option<(u64, Instant)>,
}

/// The connection to the active dispatcher of one availability zone.
#[derive(Debug)]
pub(crate) struct DispatcherLink {
    pub(crate) index: usize,
    pub(crate) zone: Zone,
    state: Mutex<LinkState>,
    wake: (Sender<()>, Receiver<()>),
}

impl DispatcherLink {
    pub(crate) fn new(index: usize, zone: Zone, is_local: bool) -> Arc<Self> {
        let no_load = ZoneLoad {
            total_slots: 0,
            free_slots: 0,
            queued_tasks: 0,
            mean_run_ms: 1,
            latency_us: 0,
        };
        let state = LinkState {
            connected: false,
            epoch: 0,
            outbox: HomeBatch::default(),
            loads: [no_load; 3],
            latency_us: if is_local { 0.0 } else { INITIAL_REMOTE_LATENCY_US },
            latency_probe: None,
        };
        let wake = async_channel::bounded(1);
        Arc::new(DispatcherLink { index, zone, state: Mutex::new(state), wake })
    }

    pub(crate) fn is_connected(&self) -> bool {
        self.state.lock().connected
    }

    /// Returns the load of the zone for tasks of `priority`.
    pub(crate) fn load(&self, priority: Priority) -> ZoneLoad {
        let state = self.state.lock();
        let latency_us = state.latency_us as u32;
        ZoneLoad { latency_us, ..state.loads[priority as usize] }
    }

    /// Requests slot leases.
    ///
    /// The demand is added to the zone's load until the dispatcher reports the load again.
    pub(crate) fn request(&self, priority: Priority, demand: Demand) {
        let mut state = self.state.lock();
        let count = demand.count;
        for load in &mut state.loads[priority as usize..] {
            load.queued_tasks += count.saturating_sub(load.free_slots);
            load.free_slots = load.free_slots.saturating_sub(count);
        }
        if state.latency_probe.is_none() {
            state.latency_probe = Some((demand.job, Instant::now()));
        }
        state.outbox.demands.push(demand);
        drop(state);
        self.wake();
    }

    /// Releases a lease.
    ///
    /// If the lease was granted over an earlier connection, it is identified by `number`,
    /// under which the home reported it to the current dispatcher.
    pub(crate) fn release(&self, epoch: u64, number: u64, mut release: Release) {
        let mut state = self.state.lock();
        match epoch == state.epoch {
            true => state.outbox.releases.push(release),
            false => {
                release.lease = number;
                state.outbox.held_releases.push(release);
            }
        }
        drop(state);
        self.wake();
    }

    /// Withdraws the waiting tasks of a job.
    pub(crate) fn withdraw(&self, job: u64) {
        self.state.lock().outbox.withdrawals.push(job);
        self.wake();
    }

    /// Reports to the dispatcher the tasks that run under leases granted over an earlier
    /// connection.
    pub(crate) fn report_in_flight_tasks(&self, tasks: Vec<Held>) {
        self.state.lock().outbox.held.extend(tasks);
        self.wake();
    }

    /// Ends a latency measurement if `job` is the one that started it.
    pub(crate) fn record_admission(&self, job: u64) {
        let mut state = self.state.lock();
        let Some((probed_job, sent_at)) = state.latency_probe else { return };
        if probed_job == job {
            // A task in another zone takes two round trips: to the dispatcher and to the target.
            let sample_us = 2.0 * sent_at.elapsed().as_micros() as f64;
            state.latency_us += (sample_us - state.latency_us) * LATENCY_EWMA_WEIGHT;
            state.latency_probe = None;
        }
    }

    /// Maintains a connection to the zone's dispatcher until the handler is dropped.
    pub(crate) async fn run(
        self: Arc<Self>,
        members: Arc<Members>,
        channels: Arc<ChannelPool>,
        handler: Weak<dyn LinkHandler>,
    ) {
        let mut retry_delay_ms = MIN_RETRY_DELAY_MS;
        while handler.strong_count() > 0 {
            for addr in self.dispatchers_by_preference(&members) {
                let Some(connection) = Connection::open(&channels, addr).await else {
                    continue;
                };
                let served = self.serve(connection, &members, &channels, &handler).await;
                if served.is_some() {
                    retry_delay_ms = MIN_RETRY_DELAY_MS;
                    break;
                }
            }
            task::sleep(Duration::from_millis(retry_delay_ms)).await;
            retry_delay_ms = (retry_delay_ms * 2).min(MAX_RETRY_DELAY_MS);
        }
    }

    /// Returns the dispatchers of the zone by rendezvous rank.
    ///
    /// All homes compute the same order, so that they use the same dispatcher.
    fn dispatchers_by_preference(&self, members: &Members) -> Vec<SocketAddr> {
        let view = members.view();
        let in_zone = view.active(Role::Dispatch).filter(|vm| vm.zone == self.zone);
        let mut addrs: Vec<_> = in_zone.map(|vm| vm.addr).collect();
        rank_by_rendezvous(&self.zone, &mut addrs);
        addrs
    }

    /// Serves one connection until it is lost or a preferred dispatcher is reachable.
    ///
    /// Returns `None` if the handler was dropped.
    async fn serve(
        self: &Arc<Self>,
        mut connection: Connection,
        members: &Members,
        channels: &ChannelPool,
        handler: &Weak<dyn LinkHandler>,
    ) -> Option<()> {
        let epoch = self.begin_connection();
        handler.upgrade()?.on_connected(self);
        log_event!(info, DispatcherConnected, zone = %self.zone, dispatcher = %connection.addr);
        task::spawn(Arc::clone(self).write_batches(epoch, connection.outgoing.clone()));
        let mut last_preferred_check = Instant::now();
        handler.upgrade()?.on_batch(self, epoch, self.store_loads(connection.first_batch.clone()));
        loop {
            let silence_timeout = Duration::from_millis(SILENCE_TIMEOUT_MS);
            let Ok(Some(Ok(batch))) = timeout(silence_timeout, connection.incoming.next()).await
            else {
                break;
            };
            handler.upgrade()?.on_batch(self, epoch, self.store_loads(batch));
            let check_due = last_preferred_check.elapsed()
                >= Duration::from_millis(PREFERRED_CHECK_INTERVAL_MS);
            if check_due {
                last_preferred_check = Instant::now();
                if self.preferred_is_reachable(connection.addr, members, channels).await {
                    break;
                }
            }
        }
        self.end_connection();
        log_event!(warn, DispatcherLost, zone = %self.zone, dispatcher = %connection.addr);
        handler.upgrade()?.on_disconnected(self);
        Some(())
    }

    /// Returns whether the dispatcher of the highest rank is not `current` and is reachable.
    async fn preferred_is_reachable(
        self: &Arc<Self>,
        current: SocketAddr,
        members: &Members,
        channels: &ChannelPool,
    ) -> bool {
        match self.dispatchers_by_preference(members).first() {
            Some(first) if *first != current => Connection::open(channels, *first).await.is_some(),
            _ => false,
        }
    }

    fn begin_connection(&self) -> u64 {
        let mut state = self.state.lock();
        state.connected = true;
        state.epoch += 1;
        state.outbox = HomeBatch::default();
        state.latency_probe = None;
        state.epoch
    }

    fn end_connection(&self) {
        let mut state = self.state.lock();
        state.connected = false;
        state.outbox = HomeBatch::default();
    }

    fn store_loads(&self, batch: DispatchBatch) -> DispatchBatch {
        if let [urgent, standard, background] = batch.loads.as_slice() {
            let mut state = self.state.lock();
            state.loads = [urgent, standard, background].map(|load| ZoneLoad {
                total_slots: load.slots,
                free_slots: load.free,
                queued_tasks: load.queued_tasks,
                mean_run_ms: load.mean_run_ms,
                latency_us: 0,
            });
        }
        batch
    }

    fn wake(&self) {
        self.wake.0.try_send(()).ok();
    }

    /// Sends the contents of the outbox over one connection, or a heartbeat if it is empty.
    async fn write_batches(self: Arc<Self>, epoch: u64, outgoing: Sender<HomeBatch>) {
        loop {
            timeout(Duration::from_millis(HEARTBEAT_INTERVAL_MS), self.wake.1.recv()).await.ok();
            let Some(batch) = self.take_outbox(epoch) else { return };
            if outgoing.send(batch).await.is_err() {
                return;
            }
        }
    }

    /// Takes the contents of the outbox if the connection is still the one of `epoch`.
    fn take_outbox(&self, epoch: u64) -> Option<HomeBatch> {
        let mut state = self.state.lock();
        let is_current = state.connected && state.epoch == epoch;
        is_current.then(|| std::mem::take(&mut state.outbox))
    }
}

/// Open stream to a dispatcher that has sent its first batch.
struct Connection {
    addr: SocketAddr,
    first_batch: DispatchBatch,
    incoming: Streaming<DispatchBatch>,
    outgoing: Sender<HomeBatch>,
}

impl Connection {
    async fn open(channels: &ChannelPool, addr: SocketAddr) -> Option<Self> {
        let (outgoing, batches) = async_channel::bounded(OUTGOING_BATCH_CAPACITY);
        let mut client = DispatchClient::new(channels.open_unpooled(addr));
        let connect_timeout = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let response = timeout(connect_timeout, client.lease(batches)).await.ok()?.ok()?;
        let mut incoming = response.into_inner();
        let first_batch = timeout(connect_timeout, incoming.next()).await.ok()??.ok()?;
        Some(Connection { addr, first_batch, incoming, outgoing })
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.outgoing.close();
    }
}
