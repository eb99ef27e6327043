//! News from the other entry processes.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_std::task;
use futures::future::join_all;
use ggb_control::{Channels, Clock, Configuration, Known, Members, Source, ask_peer};
use ggb_model::HomeId;
use parking_lot::Mutex;

use crate::moved::MovedHomes;

const EXCHANGE_MS: u64 = 1_000;
const PEERS_PER_EXCHANGE: usize = 3;

/// The last move that was had from each peer.
#[derive(Debug, Default)]
pub(crate) struct HeardMoves {
    /// Sorted by address.
    peers: Mutex<Vec<(SocketAddr, HomeId, u64)>>,
}

impl HeardMoves {
    fn last_move(&self, peer: SocketAddr) -> Option<(HomeId, u64)> {
        let peers = self.peers.lock();
        let at = peers.binary_search_by_key(&peer, |(addr, ..)| *addr).ok()?;
        Some((peers[at].1, peers[at].2))
    }

    fn record(&self, peer: SocketAddr, home: HomeId, last_move: u64) {
        let mut peers = self.peers.lock();
        match peers.binary_search_by_key(&peer, |(addr, ..)| *addr) {
            Ok(at) => peers[at] = (peer, home, last_move),
            Err(at) => peers.insert(at, (peer, home, last_move)),
        }
    }
}

/// Asks the other entry processes for news.
pub(crate) struct Peers {
    pub(crate) own: HomeId,
    pub(crate) clock: Clock,
    pub(crate) channels: Arc<Channels>,
    pub(crate) members: Arc<Members>,
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) moved: Arc<MovedHomes>,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) heard: HeardMoves,
}

impl Peers {
    /// Asks a few random peers every second.
    pub(crate) async fn follow(self: Arc<Self>) {
        loop {
            let mut peers = self.known();
            self.forget_all_but(&peers);
            peers.truncate(PEERS_PER_EXCHANGE);
            self.ask(&peers).await;
            self.moved.evict(self.clock.now_ms());
            task::sleep(Duration::from_millis(EXCHANGE_MS)).await;
        }
    }

    /// Asks all peers once.
    pub(crate) async fn ask_all(&self) {
        self.ask(&self.known()).await;
    }

    /// Returns the other entry processes in random order, or the seeds while none is known.
    pub(crate) fn known(&self) -> Vec<SocketAddr> {
        let peers = self.members.peers(Some(self.own.addr));
        match peers.is_empty() {
            true => self.seeds.iter().copied().filter(|addr| *addr != self.own.addr).collect(),
            false => peers,
        }
    }

    /// Closes channels to processes that are gone; calls in progress keep theirs.
    fn forget_all_but(&self, peers: &[SocketAddr]) {
        let mut known = peers.to_vec();
        known.sort();
        let is_known = |addr: SocketAddr| known.binary_search(&addr).is_ok();
        self.channels.retain(is_known);
        self.heard.peers.lock().retain(|(addr, ..)| is_known(*addr));
    }

    async fn ask(&self, peers: &[SocketAddr]) {
        join_all(peers.iter().map(|peer| self.ask_one(*peer))).await;
    }

    async fn ask_one(&self, peer: SocketAddr) {
        let known = Known {
            own: Some(self.own),
            generation: self.configuration.generation(),
            last_move: self.heard.last_move(peer),
            wants_vms: false,
        };
        let Some(news) = ask_peer(&self.channels, peer, known).await else { return };
        if let Some(snapshot) = news.snapshot {
            self.configuration.offer(snapshot, Source::Peer(peer));
        }
        for (home, holders) in &news.moved {
            self.moved.learn(*home, holders, self.clock.now_ms());
        }
        self.heard.record(peer, news.home, news.last_move);
    }
}
