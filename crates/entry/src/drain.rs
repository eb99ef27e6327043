//! Graceful shutdown of an entry process.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_std::task;
use futures::future::join_all;
use ggb_control::ChannelPool;
use ggb_session::SealedTable;
use ggb_telemetry::log_event;
use ggb_wire::v1::{HandoffRequest, peer_client::PeerClient};
use tonic::Request;

use crate::{drained_homes::DrainedHomes, home::Home, peers::PeerExchange};

/// Interval at which the number of running jobs is checked.
const POLL_INTERVAL_MS: u64 = 20;
/// Size up to which sessions are combined into one handoff message.
///
/// A single session that is larger is sent alone.
const MAX_CHUNK_BYTES: usize = 1 << 20;
const HANDOFF_TIMEOUT_MS: u64 = 3_000;
/// Maximum number of peers to which a full copy of the sealed table is handed off.
const MAX_HOLDERS: usize = 2;

/// Waits for the running jobs to finish, then hands the sealed session table to peers.
///
/// The wait has no time limit; the supervisor of the process may enforce one.
pub(crate) async fn drain(
    home: &Arc<Home>,
    peer_exchange: &PeerExchange,
    drained_homes: &DrainedHomes,
    channels: &ChannelPool,
) {
    log_event!(info, DrainBegun, running_jobs = home.running_jobs());
    home.begin_drain();
    while home.running_jobs() > 0 {
        task::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
    let Some(table) = home.seal() else { return };
    let peers = peer_exchange.peers();
    let holders = hand_off_table(channels, table.clone(), &peers).await;
    if holders.is_empty() {
        log_event!(warn, HandoffFailed, sessions = table.session_count());
    }
    announce_holders(channels, home, &peers, &holders).await;
    log_event!(info, TableHandedOff, sessions = table.session_count(), holders = ?holders);
    // This process too answers from the sealed table until it exits.
    drained_homes.adopt_table(table, &holders, home.clock.now_ms());
}

/// Sends the whole table to the first peers that accept it, and returns these peers.
async fn hand_off_table(
    channels: &ChannelPool,
    table: SealedTable,
    peers: &[SocketAddr],
) -> Vec<SocketAddr> {
    let chunks = table.into_chunks(MAX_CHUNK_BYTES);
    let mut holders = Vec::new();
    for peer in peers {
        if hand_off_chunks(channels, *peer, &chunks).await {
            holders.push(*peer);
        }
        if holders.len() == MAX_HOLDERS {
            break;
        }
    }
    holders
}

async fn hand_off_chunks(channels: &ChannelPool, peer: SocketAddr, chunks: &[SealedTable]) -> bool {
    for chunk in chunks {
        if !send_handoff(channels, peer, chunk, &[]).await {
            return false;
        }
    }
    true
}

/// Announces to all peers which processes hold the table.
async fn announce_holders(
    channels: &ChannelPool,
    home: &Home,
    peers: &[SocketAddr],
    holders: &[SocketAddr],
) {
    let empty_table = SealedTable::empty(home.id);
    let announcements =
        peers.iter().map(|peer| send_handoff(channels, *peer, &empty_table, holders));
    join_all(announcements).await;
}

async fn send_handoff(
    channels: &ChannelPool,
    peer: SocketAddr,
    chunk: &SealedTable,
    holders: &[SocketAddr],
) -> bool {
    let Ok(table) = serde_json::to_string(chunk) else { return false };
    let holders = holders.iter().map(SocketAddr::to_string).collect();
    let mut request = Request::new(HandoffRequest { table, holders });
    let handoff_timeout = Duration::from_millis(HANDOFF_TIMEOUT_MS);
    request.set_timeout(handoff_timeout);
    let mut client = PeerClient::new(channels.get(peer)).max_encoding_message_size(usize::MAX);
    let reply = async_std::future::timeout(handoff_timeout, client.handoff(request)).await;
    matches!(reply, Ok(Ok(_)))
}
