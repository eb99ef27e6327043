//! Asking a peer for news.

use std::{net::SocketAddr, time::Duration};

use ggb_config::{Generation, Snapshot};
use ggb_membership::Vm;
use ggb_model::HomeId;
use ggb_wire::{
    addrs_from, home_from,
    v1::{ExchangeReply, ExchangeRequest, peer_client::PeerClient},
};
use tonic::Request;

use crate::Channels;

const EXCHANGE_TIMEOUT_MS: u64 = 1_000;

/// What an asker knows already.
#[derive(Clone, Copy, Debug, Default)]
pub struct LocalState {
    /// The asker, if it is an entry process.
    pub home: Option<HomeId>,
    /// The generation that it has in force.
    pub generation: Option<Generation>,
    /// The process that it has asked before at the address, and the last move it had from it.
    pub last_move: Option<(HomeId, u64)>,
    /// Whether it lacks a list of VMs.
    pub wants_vms: bool,
}

/// What a peer knows that the asker may not.
#[derive(Clone, Debug)]
pub struct PeerUpdate {
    /// The peer.
    pub home: HomeId,
    /// The generation that the peer has in force.
    pub generation: Option<Generation>,
    /// The peer's configuration, if it is newer.
    pub snapshot: Option<Snapshot>,
    /// Homes that drained, and who holds their sealed tables.
    pub moved: Vec<(HomeId, Vec<SocketAddr>)>,
    /// The number of the last move that the peer has told.
    pub last_move: u64,
    /// Whether the peer drains.
    pub draining: bool,
    /// The list of VMs, if it was asked for.
    pub vms: Vec<Vm>,
}

/// Asks a peer for news; returns nothing if it gives no usable answer in time.
pub async fn exchange_state(
    channels: &Channels,
    peer: SocketAddr,
    local: LocalState,
) -> Option<PeerUpdate> {
    let home_text = |home: Option<HomeId>| home.map(|home| home.to_string()).unwrap_or_default();
    let message = ExchangeRequest {
        home: home_text(local.home),
        generation: local.generation.map(|generation| generation.0),
        wants_vms: local.wants_vms,
        known_home: home_text(local.last_move.map(|(home, _)| home)),
        known_move: local.last_move.map_or(0, |(_, number)| number),
    };
    let mut request = Request::new(message);
    request.set_timeout(Duration::from_millis(EXCHANGE_TIMEOUT_MS));
    let reply = PeerClient::new(channels.get(peer)).exchange(request).await.ok()?;
    decode_update(reply.into_inner())
}

fn decode_update(reply: ExchangeReply) -> Option<PeerUpdate> {
    let moved = reply
        .moved
        .iter()
        .filter_map(|moved| Some((home_from(&moved.home).ok()?, addrs_from(&moved.holders).ok()?)));
    Some(PeerUpdate {
        home: home_from(&reply.home).ok()?,
        generation: reply.generation.map(Generation),
        snapshot: reply.snapshot.and_then(|text| serde_json::from_str(&text).ok()),
        moved: moved.collect(),
        last_move: reply.last_move,
        draining: reply.draining,
        vms: reply.vms.and_then(|text| serde_json::from_str(&text).ok()).unwrap_or_default(),
    })
}
