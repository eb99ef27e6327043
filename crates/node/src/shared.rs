//! State shared by all modules of the process.

use std::{
    net::{IpAddr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use arc_swap::{ArcSwap, ArcSwapOption};
use async_channel::{Receiver, Sender};
use ggb_adapter::{Configuration, NodeSettings, Store};
use ggb_control::MonotonicClock;
use ggb_http::HttpClient;
use ggb_membership::{Ownership, VersionGossip};
use ggb_placement::{RunTimes, TargetInfo, TargetLoss, TargetLosses};
use ggb_telemetry::log_job_event;
use parking_lot::Mutex;

use crate::{NodeMetrics, evacuation::EvacuationState, open_requests::OpenRequests, owner::Owner};

/// Time of the last successful read of one table of the store.
#[derive(Debug)]
pub(crate) struct LastReadTime(AtomicU64);

impl LastReadTime {
    const fn new(now_ms: u64) -> Self {
        LastReadTime(AtomicU64::new(now_ms))
    }

    /// Records a successful read at `now_ms`.
    pub(crate) fn record(&self, now_ms: u64) {
        self.0.store(now_ms, Ordering::Relaxed);
    }

    /// Returns the time of the last read; the start of the process before the first.
    pub(crate) fn at_ms(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    /// Returns the time since the last read; since the start of the process before the first.
    pub(crate) fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.at_ms())
    }
}

/// State of the process.
///
/// While a caller's request is served by the local owner, only atomics, atomically swapped pointers
/// and short locks are used.
pub(crate) struct Shared {
    /// The settings at start, for addresses and names, which do not change while a process runs.
    pub(crate) settings: NodeSettings,
    /// The settings as last read.
    live_settings: ArcSwap<NodeSettings>,
    pub(crate) clock: MonotonicClock,
    pub(crate) http: Arc<HttpClient>,
    pub(crate) configuration: ArcSwapOption<Configuration>,
    pub(crate) configuration_gossip: Mutex<VersionGossip>,
    /// The zones that operators have asked to evacuate.
    pub(crate) evacuation: Mutex<EvacuationState>,
    /// The owner of the zone's targets, if it is this process.
    pub(crate) owner: ArcSwapOption<Owner>,
    pub(crate) ownership: Mutex<Ownership>,
    /// The targets of all zones in the platform's list, sorted by id.
    pub(crate) targets: Mutex<Vec<TargetInfo>>,
    /// Version of the store up to which `targets` is current; 0 before the first read.
    pub(crate) targets_version: AtomicU64,
    /// Receives a message after a process was added to the known ones.
    pub(crate) peer_added: Receiver<()>,
    peer_added_sender: Sender<()>,
    pub(crate) open_requests: OpenRequests,
    /// Run time estimates of the last owner in this process, for its next one.
    pub(crate) run_times: Mutex<RunTimes>,
    /// Losses of targets that owners of any zone reported, for the next owner in this process.
    pub(crate) target_losses: Mutex<TargetLosses>,
    /// Time of the request to stop, or 0 before it.
    drain_started_at_ms: AtomicU64,
    pub(crate) configuration_read: LastReadTime,
    pub(crate) targets_read: LastReadTime,
    store_reachable: AtomicBool,
    ready: AtomicBool,
    pub(crate) metrics: NodeMetrics,
}

impl Shared {
    pub(crate) fn new(
        settings: NodeSettings,
        clock: MonotonicClock,
        http: Arc<HttpClient>,
        ownership: Ownership,
    ) -> Self {
        let (peer_added_sender, peer_added) = async_channel::bounded(1);
        Shared {
            live_settings: ArcSwap::from_pointee(settings.clone()),
            settings,
            configuration_read: LastReadTime::new(clock.now_ms()),
            targets_read: LastReadTime::new(clock.now_ms()),
            evacuation: Mutex::new(EvacuationState::new(clock.now_ms())),
            clock,
            http,
            configuration: ArcSwapOption::empty(),
            configuration_gossip: Mutex::new(VersionGossip::new()),
            owner: ArcSwapOption::empty(),
            ownership: Mutex::new(ownership),
            targets: Mutex::new(Vec::new()),
            targets_version: AtomicU64::new(0),
            peer_added,
            peer_added_sender,
            open_requests: OpenRequests::default(),
            run_times: Mutex::new(RunTimes::default()),
            target_losses: Mutex::new(TargetLosses::new()),
            drain_started_at_ms: AtomicU64::new(0),
            store_reachable: AtomicBool::new(true),
            ready: AtomicBool::new(false),
            metrics: NodeMetrics::new(),
        }
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Returns the number of peers from which a recent heartbeat has arrived.
    pub(crate) fn live_peer_count(&self) -> usize {
        self.ownership.lock().live_peer_count(self.now_ms())
    }

    /// Returns the version of the active configuration, or 0 if there is none.
    pub(crate) fn configuration_version(&self) -> u64 {
        self.configuration.load().as_ref().map_or(0, |current| current.version)
    }

    pub(crate) fn live_settings(&self) -> Arc<NodeSettings> {
        self.live_settings.load_full()
    }

    pub(crate) fn set_live_settings(&self, settings: NodeSettings) {
        self.live_settings.store(Arc::new(settings));
        self.add_seeds();
    }

    /// Adds the seed addresses of the settings to the known peers.
    pub(crate) fn add_seeds(&self) {
        let now_ms = self.now_ms();
        self.update_members(|ownership| {
            for seed in &self.live_settings().seeds {
                ownership.add_seed(*seed, now_ms);
            }
        });
    }

    /// Returns a client of the platform's store at the address in the current settings.
    pub(crate) fn store(&self) -> Store {
        Store::new(Arc::clone(&self.http), self.live_settings.load().store_addr)
    }

    /// Returns the address for messages to the process on the VM at `ip`.
    pub(crate) const fn peer_addr(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.settings.peer_port)
    }

    /// Records the request to stop, after which this process makes no claim.
    pub(crate) fn begin_drain(&self) {
        self.drain_started_at_ms.store(self.now_ms().max(1), Ordering::Relaxed);
        self.ownership.lock().set_leaving();
    }

    /// Returns the time since the request to stop, or `None` before it.
    pub(crate) fn draining_ms(&self) -> Option<u64> {
        match self.drain_started_at_ms.load(Ordering::Relaxed) {
            0 => None,
            started_at_ms => Some(self.now_ms().saturating_sub(started_at_ms)),
        }
    }

    /// Records whether the store is reachable. Returns whether that has changed.
    pub(crate) fn set_store_reachable(&self, reachable: bool) -> bool {
        self.store_reachable.swap(reachable, Ordering::Relaxed) != reachable
    }

    /// Records whether the process is ready. Returns whether that has changed.
    pub(crate) fn set_ready(&self, ready: bool) -> bool {
        self.ready.swap(ready, Ordering::Relaxed) != ready
    }

    /// Returns the losses of targets that this process knows of.
    pub(crate) fn target_losses(&self) -> Vec<TargetLoss> {
        // The owner has merged all losses that its process learned.
        let owner = self.owner.load_full();
        let losses = owner.map(|owner| owner.target_losses());
        let losses = losses.unwrap_or_else(|| self.target_losses.lock().clone());
        losses.updated_since(0).cloned().collect()
    }

    /// Remembers losses of targets, and passes new ones to the owner in this process.
    pub(crate) fn merge_target_losses(&self, losses: &[TargetLoss]) {
        let now_ms = self.now_ms();
        let new_losses: Vec<&TargetLoss> = {
            let mut known = self.target_losses.lock();
            known.prune(now_ms);
            losses.iter().filter(|loss| known.merge(loss, now_ms)).collect()
        };
        for loss in &new_losses {
            log_job_event!(
                loss.task.job.is_sampled(), TargetLossLearned, task = %loss.task, target = %loss.target,
                cause = ?loss.cause
            );
        }
        if let Some(owner) = self.owner.load_full().filter(|_| !new_losses.is_empty()) {
            owner.merge_target_losses(new_losses);
        }
    }

    /// Updates the ownership, and wakes the heartbeats if that adds a process to the known ones.
    pub(crate) fn update_members<T>(&self, update: impl FnOnce(&mut Ownership) -> T) -> T {
        let mut ownership = self.ownership.lock();
        let members_before = ownership.members().as_slice().len();
        let output = update(&mut ownership);
        if ownership.members().as_slice().len() > members_before {
            // Fails if a message is pending already, which also covers this process.
            self.peer_added_sender.try_send(()).ok();
        }
        output
    }
}
