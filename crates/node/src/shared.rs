//! What all parts of the process share.

use std::{
    net::{IpAddr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use arc_swap::{ArcSwap, ArcSwapOption};
use ggb_adapter::{Configuration, NodeSettings, Store};
use ggb_control::Clock;
use ggb_http::HttpClient;
use ggb_membership::Ownership;
use ggb_placement::{RunTimes, TargetInfo};
use parking_lot::Mutex;

use crate::{NodeMetrics, open_requests::OpenRequests, owner::Owner};

/// When the store last confirmed what this process knows.
#[derive(Debug)]
pub(crate) struct Confirmed(AtomicU64);

impl Confirmed {
    const fn at(now_ms: u64) -> Self {
        Confirmed(AtomicU64::new(now_ms))
    }

    pub(crate) fn confirm(&self, now_ms: u64) {
        self.0.store(now_ms, Ordering::Relaxed);
    }

    /// Returns the time since then; since the start of the process if that never was.
    pub(crate) fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.0.load(Ordering::Relaxed))
    }
}

/// State that every part reads; on the path of a request only atomics and pointers that
/// are swapped as a whole are read, besides the owner's queue.
pub(crate) struct Shared {
    /// The settings at start; addresses and names do not change while a process lives.
    pub(crate) settings: NodeSettings,
    /// The settings as last read.
    live_settings: ArcSwap<NodeSettings>,
    pub(crate) clock: Clock,
    pub(crate) http: Arc<HttpClient>,
    pub(crate) configuration: ArcSwapOption<Configuration>,
    /// The dispatcher of the zone, if this process is the owner.
    pub(crate) owner: ArcSwapOption<Owner>,
    pub(crate) ownership: Mutex<Ownership>,
    /// The targets of the platform's list, sorted by name.
    pub(crate) targets: Mutex<Vec<TargetInfo>>,
    /// Addresses of the other processes, sorted.
    pub(crate) peers: Mutex<Vec<IpAddr>>,
    pub(crate) open_requests: OpenRequests,
    /// What this process learned of run times while it was the owner.
    pub(crate) run_times: Mutex<RunTimes>,
    /// When the process was asked to stop; 0 if it was not.
    draining_since_ms: AtomicU64,
    pub(crate) configuration_confirmed: Confirmed,
    pub(crate) targets_confirmed: Confirmed,
    store_reachable: AtomicBool,
    ready: AtomicBool,
    pub(crate) metrics: NodeMetrics,
}

impl Shared {
    pub(crate) fn new(
        settings: NodeSettings,
        clock: Clock,
        http: Arc<HttpClient>,
        own: Ownership,
    ) -> Self {
        Shared {
            live_settings: ArcSwap::from_pointee(settings.clone()),
            settings,
            configuration_confirmed: Confirmed::at(clock.now_ms()),
            targets_confirmed: Confirmed::at(clock.now_ms()),
            clock,
            http,
            configuration: ArcSwapOption::empty(),
            owner: ArcSwapOption::empty(),
            ownership: Mutex::new(own),
            targets: Mutex::new(Vec::new()),
            peers: Mutex::new(Vec::new()),
            open_requests: OpenRequests::default(),
            run_times: Mutex::new(RunTimes::default()),
            draining_since_ms: AtomicU64::new(0),
            store_reachable: AtomicBool::new(true),
            ready: AtomicBool::new(false),
            metrics: NodeMetrics::new(),
        }
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    pub(crate) fn live_settings(&self) -> Arc<NodeSettings> {
        self.live_settings.load_full()
    }

    pub(crate) fn set_live_settings(&self, settings: NodeSettings) {
        self.live_settings.store(Arc::new(settings));
        self.add_seeds();
    }

    /// Adds the processes that the settings name.
    pub(crate) fn add_seeds(&self) {
        for seed in &self.live_settings().seeds {
            self.add_peer(*seed);
        }
    }

    /// Returns a client of the platform's store.
    pub(crate) fn store(&self) -> Store {
        Store::new(Arc::clone(&self.http), self.live_settings.load().store_addr)
    }

    /// Returns where the process on another VM takes messages.
    pub(crate) const fn peer_addr(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.settings.peer_port)
    }

    pub(crate) fn begin_drain(&self) {
        self.draining_since_ms.store(self.now_ms().max(1), Ordering::Relaxed);
        self.ownership.lock().set_leaving();
    }

    /// Returns for how long the process has been asked to stop.
    pub(crate) fn draining_for_ms(&self) -> Option<u64> {
        match self.draining_since_ms.load(Ordering::Relaxed) {
            0 => None,
            since_ms => Some(self.now_ms().saturating_sub(since_ms)),
        }
    }

    /// Notes whether the store answered. Returns whether that is new.
    pub(crate) fn set_store_reachable(&self, reachable: bool) -> bool {
        self.store_reachable.swap(reachable, Ordering::Relaxed) != reachable
    }

    /// Notes whether the process is ready. Returns whether that is new.
    pub(crate) fn set_ready(&self, ready: bool) -> bool {
        self.ready.swap(ready, Ordering::Relaxed) != ready
    }

    /// Adds the address of another process.
    pub(crate) fn add_peer(&self, ip: IpAddr) {
        if ip == self.settings.ip {
            return;
        }
        let known = {
            let mut peers = self.peers.lock();
            match peers.binary_search(&ip) {
                Ok(_) => return,
                Err(at) => peers.insert(at, ip),
            }
            peers.len()
        };
        self.ownership.lock().set_known_peers(known);
    }
}
