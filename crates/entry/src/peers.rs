//! Periodic exchange of state with the other entry processes.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_std::task;
use futures::future::join_all;
use ggb_control::{
    ChannelPool, Configuration, ConfigurationSource, LocalState, Members, MonotonicClock,
    fetch_newer_state,
};
use ggb_model::HomeId;
use parking_lot::Mutex;

use crate::drained_homes::DrainedHomes;

/// Interval between exchanges with a few random peers.
const EXCHANGE_INTERVAL_MS: u64 = 1_000;
/// Maximum number of peers in one periodic exchange.
const PEERS_PER_EXCHANGE: usize = 3;

/// Number of the last drained home that was received from each peer.
#[derive(Debug, Default)]
pub(crate) struct DrainedHomeCursors {
    /// Address of each peer, its identity, and the number of its last drained home; sorted by
    /// address.
    peers: Mutex<Vec<(SocketAddr, HomeId, u64)>>,
}

impl DrainedHomeCursors {
    fn get(&self, peer: SocketAddr) -> Option<(HomeId, u64)> {
        let peers = self.peers.lock();
        let index = peers.binary_search_by_key(&peer, |(addr, ..)| *addr).ok()?;
        Some((peers[index].1, peers[index].2))
    }

    fn record(&self, peer: SocketAddr, home: HomeId, drained_home_number: u64) {
        let mut peers = self.peers.lock();
        match peers.binary_search_by_key(&peer, |(addr, ..)| *addr) {
            Ok(index) => peers[index] = (peer, home, drained_home_number),
            Err(index) => peers.insert(index, (peer, home, drained_home_number)),
        }
    }
}

/// Pulls configurations and drained homes from the other entry processes.
pub(crate) struct PeerExchange {
    pub(crate) local_home: HomeId,
    pub(crate) clock: MonotonicClock,
    pub(crate) channels: Arc<ChannelPool>,
    pub(crate) members: Arc<Members>,
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) drained_homes: Arc<DrainedHomes>,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) drained_home_cursors: DrainedHomeCursors,
}

impl PeerExchange {
    /// Exchanges state with a few random peers at each interval, and evicts expired drained homes.
    pub(crate) async fn run(self: Arc<Self>) {
        loop {
            let mut peers = self.peers();
            self.retain_peers(&peers);
            peers.truncate(PEERS_PER_EXCHANGE);
            self.exchange_with(&peers).await;
            self.drained_homes.evict_expired(self.clock.now_ms());
            task::sleep(Duration::from_millis(EXCHANGE_INTERVAL_MS)).await;
        }
    }

    /// Exchanges state with all peers once.
    pub(crate) async fn exchange_with_all(&self) {
        self.exchange_with(&self.peers()).await;
    }

    /// Returns the other entry processes in random order, or the seeds while none is known.
    pub(crate) fn peers(&self) -> Vec<SocketAddr> {
        let peers = self.members.peers(Some(self.local_home.addr));
        match peers.is_empty() {
            true => {
                self.seeds.iter().copied().filter(|addr| *addr != self.local_home.addr).collect()
            }
            false => peers,
        }
    }

    /// Removes the channels and the drained home numbers of all processes but `peers`.
    ///
    /// Calls in progress keep their channel.
    fn retain_peers(&self, peers: &[SocketAddr]) {
        let mut known = peers.to_vec();
        known.sort();
        let is_known = |addr: SocketAddr| known.binary_search(&addr).is_ok();
        self.channels.retain(is_known);
        self.drained_home_cursors.peers.lock().retain(|(addr, ..)| is_known(*addr));
    }

    async fn exchange_with(&self, peers: &[SocketAddr]) {
        join_all(peers.iter().map(|peer| self.exchange_with_one(*peer))).await;
    }

    async fn exchange_with_one(&self, peer: SocketAddr) {
        let local_state = LocalState {
            home: Some(self.local_home),
            generation: self.configuration.generation(),
            last_drained_home: self.drained_home_cursors.get(peer),
            wants_vms: false,
        };
        let Some(update) = fetch_newer_state(&self.channels, peer, local_state).await else {
            return;
        };
        if let Some(snapshot) = update.snapshot {
            self.configuration.install_if_newer(snapshot, ConfigurationSource::Peer(peer));
        }
        for (home, holders) in &update.drained_homes {
            self.drained_homes.record_drained(*home, holders, self.clock.now_ms());
        }
        self.drained_home_cursors.record(peer, update.home, update.last_drained_home_number);
    }
}
