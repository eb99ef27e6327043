//! Pull-based exchange of state with a peer.

use std::{net::SocketAddr, time::Duration};

use ggb_config::{Generation, Snapshot};
use ggb_membership::Vm;
use ggb_model::HomeId;
use ggb_wire::{
    parse_addrs, parse_home,
    v1::{ExchangeReply, ExchangeRequest, peer_client::PeerClient},
};
use tonic::Request;

use crate::ChannelPool;

/// Timeout of one exchange call to one peer.
const EXCHANGE_TIMEOUT_MS: u64 = 1_000;

/// State that the requesting process already has, so that the peer sends only newer state.
#[derive(Clone, Copy, Debug, Default)]
pub struct LocalState {
    /// Identity of the requesting process, if it is an entry process.
    pub home: Option<HomeId>,
    /// Generation of the configuration that the requesting process has in force.
    pub generation: Option<Generation>,
    /// Identity of the process that last replied from the peer's address, and the number of the
    /// last drained home received from it.
    ///
    /// Numbers of drained homes are valid only for the process that assigned them.
    pub last_drained_home: Option<(HomeId, u64)>,
    /// Whether the peer should send the list of VMs.
    pub wants_vms: bool,
}

/// State that a peer returned.
#[derive(Clone, Debug)]
pub struct PeerUpdate {
    /// Identity of the peer.
    pub home: HomeId,
    /// Generation of the configuration that the peer has in force.
    pub generation: Option<Generation>,
    /// Configuration of the peer, if it is newer than that of the requesting process.
    pub snapshot: Option<Snapshot>,
    /// Drained homes that the requesting process has not received yet, each with the processes
    /// that hold its sealed table.
    pub drained_homes: Vec<(HomeId, Vec<SocketAddr>)>,
    /// Number of the drained home that the peer recorded last.
    pub last_drained_home_number: u64,
    /// Whether the peer is draining.
    pub draining: bool,
    /// VMs that the peer knows, if they were requested.
    pub vms: Vec<Vm>,
}

/// Requests the state of a peer that is newer than `local`.
///
/// Returns `None` if the call fails, times out, or returns an invalid identity.
pub async fn fetch_newer_state(
    channels: &ChannelPool,
    peer: SocketAddr,
    local: LocalState,
) -> Option<PeerUpdate> {
    let home_text = |home: Option<HomeId>| home.map(|home| home.to_string()).unwrap_or_default();
    let message = ExchangeRequest {
        home: home_text(local.home),
        generation: local.generation.map(|generation| generation.0),
        wants_vms: local.wants_vms,
        known_home: home_text(local.last_drained_home.map(|(home, _)| home)),
        known_move: local.last_drained_home.map_or(0, |(_, number)| number),
    };
    let mut request = Request::new(message);
    request.set_timeout(Duration::from_millis(EXCHANGE_TIMEOUT_MS));
    let reply = PeerClient::new(channels.get(peer)).exchange(request).await.ok()?;
    decode_update(reply.into_inner())
}

fn decode_update(reply: ExchangeReply) -> Option<PeerUpdate> {
    let drained_homes = reply.moved.iter().filter_map(|drained_home| {
        Some((parse_home(&drained_home.home).ok()?, parse_addrs(&drained_home.holders).ok()?))
    });
    Some(PeerUpdate {
        home: parse_home(&reply.home).ok()?,
        generation: reply.generation.map(Generation),
        snapshot: reply.snapshot.and_then(|text| serde_json::from_str(&text).ok()),
        drained_homes: drained_homes.collect(),
        last_drained_home_number: reply.last_move,
        draining: reply.draining,
        vms: reply.vms.and_then(|text| serde_json::from_str(&text).ok()).unwrap_or_default(),
    })
}
