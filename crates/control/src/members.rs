//! The VMs that a process knows, updated from the platform's list.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use async_std::task;
use ggb_membership::{MembershipView, Role, Vm};
use ggb_platform::VmList;
use ggb_telemetry::log_event;
use parking_lot::Mutex;
use rand::seq::SliceRandom as _;

use crate::{ChannelPool, LocalState, MonotonicClock, fetch_newer_state};

/// Interval at which the platform's list of VMs is polled.
const POLL_INTERVAL_MS: u64 = 1_000;

/// The VMs that a process knows, updated in the background.
pub struct Members {
    clock: MonotonicClock,
    view: Mutex<MembershipView>,
    published: ArcSwap<MembershipView>,
    has_list: AtomicBool,
    list_reachable: AtomicBool,
}

impl Members {
    /// Returns a handle without VMs and starts to poll `list`.
    ///
    /// While `list` is unreachable and no list was received so far, asks `seeds` for theirs.
    pub fn spawn(
        list: Arc<dyn VmList>,
        channels: Arc<ChannelPool>,
        seeds: Vec<SocketAddr>,
        clock: MonotonicClock,
    ) -> Arc<Self> {
        let members = Arc::new(Members {
            clock,
            view: Mutex::new(MembershipView::default()),
            published: ArcSwap::default(),
            has_list: AtomicBool::new(false),
            list_reachable: AtomicBool::new(true),
        });
        task::spawn(Arc::clone(&members).poll(list, channels, seeds));
        members
    }

    /// Returns the current view of the VMs.
    pub fn view(&self) -> Arc<MembershipView> {
        self.published.load_full()
    }

    /// Returns whether a list of VMs was received, from the platform or from a seed.
    pub fn has_list(&self) -> bool {
        self.has_list.load(Ordering::Relaxed)
    }

    /// Returns whether the platform's list could be read at the last attempt.
    pub fn is_list_reachable(&self) -> bool {
        self.list_reachable.load(Ordering::Relaxed)
    }

    /// Records that a VM itself reported that it is leaving.
    pub fn observe_leaving(&self, addr: SocketAddr) {
        self.update(|view| view.observe_leaving(addr));
    }

    /// Records that a VM responded, so that it stays in the view even if it is missing from the
    /// list.
    pub fn observe_alive(&self, addr: SocketAddr) {
        let now_ms = self.clock.now_ms();
        self.update(|view| view.observe_alive(addr, now_ms));
    }

    /// Returns the addresses of all entry processes but `except`, in random order.
    pub fn peers(&self, except: Option<SocketAddr>) -> Vec<SocketAddr> {
        let view = self.view();
        let others = view.active(Role::Entry).map(|vm| vm.addr);
        let mut peers: Vec<_> = others.filter(|addr| Some(*addr) != except).collect();
        peers.shuffle(&mut rand::rng());
        peers
    }

    async fn poll(
        self: Arc<Self>,
        list: Arc<dyn VmList>,
        channels: Arc<ChannelPool>,
        seeds: Vec<SocketAddr>,
    ) {
        let (mut last_list, mut last_version) = (Vec::new(), None);
        loop {
            match list.list(last_version).await {
                Ok(listing) => {
                    last_version = Some(listing.version);
                    last_list = listing.vms.unwrap_or(last_list);
                    self.apply_list(&last_list);
                    if !self.list_reachable.swap(true, Ordering::Relaxed) {
                        log_event!(info, VmListReachable);
                    }
                }
                Err(error) => {
                    if self.list_reachable.swap(false, Ordering::Relaxed) {
                        log_event!(warn, VmListUnreachable, %error);
                    }
                    self.ask_seeds(&channels, &seeds).await;
                }
            }
            task::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
    }

    async fn ask_seeds(&self, channels: &ChannelPool, seeds: &[SocketAddr]) {
        if self.has_list() {
            return;
        }
        let local_state = LocalState { wants_vms: true, ..LocalState::default() };
        for seed in seeds {
            if let Some(update) = fetch_newer_state(channels, *seed, local_state).await
                && !update.vms.is_empty()
            {
                return self.apply_list(&update.vms);
            }
        }
    }

    fn apply_list(&self, vms: &[Vm]) {
        let now_ms = self.clock.now_ms();
        self.update(|view| view.apply_list(vms, now_ms));
        self.has_list.store(true, Ordering::Relaxed);
    }

    fn update(&self, change: impl FnOnce(&mut MembershipView)) {
        let mut view = self.view.lock();
        change(&mut view);
        self.published.store(Arc::new(view.clone()));
    }
}
