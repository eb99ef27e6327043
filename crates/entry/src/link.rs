//! The connection to the active dispatcher of one availability zone.

use std::{
    net::SocketAddr,
    sync::{Arc, Weak},
    time::{Duration, Instant},
};

use async_channel::{Receiver, Sender};
use async_std::{future::timeout, task};
use futures::StreamExt as _;
use ggb_control::{Channels, Members};
use ggb_membership::{Role, rank_by_rendezvous};
use ggb_model::{Priority, Zone};
use ggb_policy::ZoneLoad;
use ggb_telemetry::log_event;
use ggb_wire::v1::{
    Demand, DispatchBatch, Held, HomeBatch, Release, dispatch_client::DispatchClient,
};
use parking_lot::Mutex;
use tonic::Streaming;

const CONNECT_TIMEOUT_MS: u64 = 1_000;
const QUEUED_BATCHES: usize = 4;
const SILENCE_MS: u64 = 2_000;
const HEARTBEAT_MS: u64 = 500;
const FIRST_RETRY_MS: u64 = 100;
const MOST_RETRY_MS: u64 = 1_600;
const PREFERRED_CHECK_MS: u64 = 3_000;
const LATENCY_WEIGHT: f64 = 0.1;
const FIRST_REMOTE_LATENCY_US: f64 = 3_000.0;

/// What a link tells its home.
pub(crate) trait LinkSink: Send + Sync + 'static {
    /// A connection is open.
    fn link_up(&self, link: &Arc<Link>);
    /// The connection is gone, and all that was asked over it.
    fn link_down(&self, link: &Arc<Link>);
    /// The dispatcher sent a batch.
    fn batch(&self, link: &Arc<Link>, epoch: u64, batch: DispatchBatch);
}

#[derive(Debug)]
struct LinkState {
    connected: bool,
    /// Counts connections.
    epoch: u64,
    outbox: HomeBatch,
    loads: [ZoneLoad; 3],
    latency_us: f64,
    asked_at: Option<(u64, Instant)>,
}

/// The connection to the active dispatcher of one availability zone.
#[derive(Debug)]
pub(crate) struct Link {
    pub(crate) index: usize,
    pub(crate) zone: Zone,
    state: Mutex<LinkState>,
    wake: (Sender<()>, Receiver<()>),
}

impl Link {
    pub(crate) fn new(index: usize, zone: Zone, is_local: bool) -> Arc<Self> {
        let nothing =
            ZoneLoad { slots: 0, free: 0, queued_tasks: 0, mean_run_ms: 1, latency_us: 0 };
        let state = LinkState {
            connected: false,
            epoch: 0,
            outbox: HomeBatch::default(),
            loads: [nothing; 3],
            latency_us: if is_local { 0.0 } else { FIRST_REMOTE_LATENCY_US },
            asked_at: None,
        };
        let wake = async_channel::bounded(1);
        Arc::new(Link { index, zone, state: Mutex::new(state), wake })
    }

    pub(crate) fn is_connected(&self) -> bool {
        self.state.lock().connected
    }

    /// Returns how busy the zone is for work of `priority`.
    pub(crate) fn load(&self, priority: Priority) -> ZoneLoad {
        let state = self.state.lock();
        let latency_us = state.latency_us as u32;
        ZoneLoad { latency_us, ..state.loads[priority as usize] }
    }

    /// Asks for slots; what is asked counts against the zone's load until it reports again.
    pub(crate) fn ask(&self, priority: Priority, demand: Demand) {
        let mut state = self.state.lock();
        let count = demand.count;
        for load in &mut state.loads[priority as usize..] {
            load.queued_tasks += count.saturating_sub(load.free);
            load.free = load.free.saturating_sub(count);
        }
        if state.asked_at.is_none() {
            state.asked_at = Some((demand.job, Instant::now()));
        }
        state.outbox.demands.push(demand);
        drop(state);
        self.wake();
    }

    /// Gives a lease back, under the number that the dispatcher knows it by.
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

    /// Tells a new dispatcher of tasks that run under leases of an earlier one.
    pub(crate) fn report_held(&self, held: Vec<Held>) {
        self.state.lock().outbox.held.extend(held);
        self.wake();
    }

    /// Learns the round trip from the admission of a job.
    pub(crate) fn note_admission(&self, job: u64) {
        let mut state = self.state.lock();
        let Some((asked, at)) = state.asked_at else { return };
        if asked == job {
            // A task of another zone pays the round trip twice: to its dispatcher and to its target.
            let sample_us = 2.0 * at.elapsed().as_micros() as f64;
            state.latency_us += (sample_us - state.latency_us) * LATENCY_WEIGHT;
            state.asked_at = None;
        }
    }

    /// Keeps a connection to the zone's dispatcher while the home exists.
    pub(crate) async fn run(
        self: Arc<Self>,
        members: Arc<Members>,
        channels: Arc<Channels>,
        sink: Weak<dyn LinkSink>,
    ) {
        let mut retry_ms = FIRST_RETRY_MS;
        while sink.strong_count() > 0 {
            for addr in self.candidates(&members) {
                let Some(connection) = Connection::open(&channels, addr).await else {
                    continue;
                };
                let connected = self.serve(connection, &members, &channels, &sink).await;
                if connected.is_some() {
                    retry_ms = FIRST_RETRY_MS;
                    break;
                }
            }
            task::sleep(Duration::from_millis(retry_ms)).await;
            retry_ms = (retry_ms * 2).min(MOST_RETRY_MS);
        }
    }

    /// Returns the dispatchers of the zone, the preferred one first.
    fn candidates(&self, members: &Members) -> Vec<SocketAddr> {
        let view = members.view();
        let here = view.staying(Role::Dispatch).filter(|vm| vm.zone == self.zone);
        let mut addrs: Vec<_> = here.map(|vm| vm.addr).collect();
        rank_by_rendezvous(&self.zone, &mut addrs);
        addrs
    }

    async fn serve(
        self: &Arc<Self>,
        mut connection: Connection,
        members: &Members,
        channels: &Channels,
        sink: &Weak<dyn LinkSink>,
    ) -> Option<()> {
        let epoch = self.connected();
        sink.upgrade()?.link_up(self);
        log_event!(info, DispatcherConnected, zone = %self.zone, dispatcher = %connection.addr);
        task::spawn(Arc::clone(self).write(epoch, connection.outgoing.clone()));
        let mut checked = Instant::now();
        sink.upgrade()?.batch(self, epoch, self.accept_loads(connection.first.clone()));
        loop {
            let silence = Duration::from_millis(SILENCE_MS);
            let Ok(Some(Ok(batch))) = timeout(silence, connection.incoming.next()).await else {
                break;
            };
            sink.upgrade()?.batch(self, epoch, self.accept_loads(batch));
            let due = checked.elapsed() >= Duration::from_millis(PREFERRED_CHECK_MS);
            if due {
                checked = Instant::now();
                if self.prefers_another(connection.addr, members, channels).await {
                    break;
                }
            }
        }
        self.disconnected();
        log_event!(warn, DispatcherLost, zone = %self.zone, dispatcher = %connection.addr);
        sink.upgrade()?.link_down(self);
        Some(())
    }

    /// Returns whether a dispatcher that comes before `current` can be reached.
    async fn prefers_another(
        self: &Arc<Self>,
        current: SocketAddr,
        members: &Members,
        channels: &Channels,
    ) -> bool {
        match self.candidates(members).first() {
            Some(first) if *first != current => Connection::open(channels, *first).await.is_some(),
            _ => false,
        }
    }

    fn connected(&self) -> u64 {
        let mut state = self.state.lock();
        state.connected = true;
        state.epoch += 1;
        state.outbox = HomeBatch::default();
        state.asked_at = None;
        state.epoch
    }

    fn disconnected(&self) {
        let mut state = self.state.lock();
        state.connected = false;
        state.outbox = HomeBatch::default();
    }

    fn accept_loads(&self, batch: DispatchBatch) -> DispatchBatch {
        if let [urgent, standard, background] = batch.loads.as_slice() {
            let mut state = self.state.lock();
            state.loads = [urgent, standard, background].map(|load| ZoneLoad {
                slots: load.slots,
                free: load.free,
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

    /// Sends what there is to send over one connection, and heartbeats.
    async fn write(self: Arc<Self>, epoch: u64, outgoing: Sender<HomeBatch>) {
        loop {
            timeout(Duration::from_millis(HEARTBEAT_MS), self.wake.1.recv()).await.ok();
            let Some(batch) = self.take_outbox(epoch) else { return };
            if outgoing.send(batch).await.is_err() {
                return;
            }
        }
    }

    /// Takes what there is to send, if the connection is still the one of `epoch`.
    fn take_outbox(&self, epoch: u64) -> Option<HomeBatch> {
        let mut state = self.state.lock();
        let current = state.connected && state.epoch == epoch;
        current.then(|| std::mem::take(&mut state.outbox))
    }
}

/// An open stream to a dispatcher that has answered.
struct Connection {
    addr: SocketAddr,
    first: DispatchBatch,
    incoming: Streaming<DispatchBatch>,
    outgoing: Sender<HomeBatch>,
}

impl Connection {
    async fn open(channels: &Channels, addr: SocketAddr) -> Option<Self> {
        let (outgoing, batches) = async_channel::bounded(QUEUED_BATCHES);
        let mut client = DispatchClient::new(channels.open(addr));
        let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let response = timeout(limit, client.lease(batches)).await.ok()?.ok()?;
        let mut incoming = response.into_inner();
        let first = timeout(limit, incoming.next()).await.ok()??.ok()?;
        Some(Connection { addr, first, incoming, outgoing })
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.outgoing.close();
    }
}
