//! News from the other entry processes.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_std::task;
use futures::future::join_all;
use ggb_control::{Channels, Clock, Configuration, Members, Source, ask_peer};
use ggb_model::HomeId;

use crate::moved::MovedHomes;

const EXCHANGE_MS: u64 = 1_000;
const PEERS_PER_EXCHANGE: usize = 3;

/// Asks the other entry processes for news.
pub(crate) struct Peers {
    pub(crate) own: HomeId,
    pub(crate) clock: Clock,
    pub(crate) channels: Arc<Channels>,
    pub(crate) members: Arc<Members>,
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) moved: Arc<MovedHomes>,
    pub(crate) seeds: Vec<SocketAddr>,
}

impl Peers {
    /// Asks a few random peers every second.
    pub(crate) async fn follow(self: Arc<Self>) {
        loop {
            let mut peers = self.known();
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

    async fn ask(&self, peers: &[SocketAddr]) {
        join_all(peers.iter().map(|peer| self.ask_one(*peer))).await;
    }

    async fn ask_one(&self, peer: SocketAddr) {
        let generation = self.configuration.generation();
        let asked = ask_peer(&self.channels, peer, Some(self.own), generation, false).await;
        let Some(news) = asked else { return };
        if let Some(snapshot) = news.snapshot {
            self.configuration.offer(snapshot, Source::Peer(peer));
        }
        for (home, holders) in &news.moved {
            self.moved.learn(*home, holders, self.clock.now_ms());
        }
    }
}
