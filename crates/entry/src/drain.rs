//! Graceful shutdown.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_std::task;
use futures::future::join_all;
use ggb_control::Channels;
use ggb_session::SealedTable;
use ggb_telemetry::log_event;
use ggb_wire::v1::{HandoffRequest, peer_client::PeerClient};
use tonic::Request;

use crate::{home::Home, moved::MovedHomes, peers::Peers};

const POLL_MS: u64 = 20;
const PART_BYTES: usize = 1 << 20;
const HANDOFF_TIMEOUT_MS: u64 = 3_000;
const HOLDERS: usize = 2;

/// Finishes the work in progress and hands the sealed table to successors.
///
/// Work in progress has no limit here; the process's supervisor sets one if it must.
pub(crate) async fn drain(
    home: &Arc<Home>,
    peers: &Peers,
    moved: &MovedHomes,
    channels: &Channels,
) {
    log_event!(info, DrainBegun, running_jobs = home.running_jobs());
    home.drain();
    while home.running_jobs() > 0 {
        task::sleep(Duration::from_millis(POLL_MS)).await;
    }
    let Some(table) = home.seal() else { return };
    let known = peers.known();
    let holders = choose_holders(channels, table.clone(), &known).await;
    if holders.is_empty() {
        log_event!(warn, HandoffFailed, sessions = table.sessions());
    }
    announce(channels, home, &known, &holders).await;
    log_event!(info, TableHandedOff, sessions = table.sessions(), holders = ?holders);
    // Until it exits, this process answers from the sealed table too.
    moved.adopt(table, &holders, home.clock.now_ms());
}

/// Gives all parts to the first peers that take them.
async fn choose_holders(
    channels: &Channels,
    table: SealedTable,
    known: &[SocketAddr],
) -> Vec<SocketAddr> {
    let parts = table.into_parts(PART_BYTES);
    let mut holders = Vec::new();
    for peer in known {
        if give(channels, *peer, &parts).await {
            holders.push(*peer);
        }
        if holders.len() == HOLDERS {
            break;
        }
    }
    holders
}

async fn give(channels: &Channels, peer: SocketAddr, parts: &[SealedTable]) -> bool {
    for part in parts {
        if !hand_off(channels, peer, part, &[]).await {
            return false;
        }
    }
    true
}

/// Tells all peers who holds the table.
async fn announce(channels: &Channels, home: &Home, known: &[SocketAddr], holders: &[SocketAddr]) {
    let empty = SealedTable::empty(home.id);
    let told = known.iter().map(|peer| hand_off(channels, *peer, &empty, holders));
    join_all(told).await;
}

async fn hand_off(
    channels: &Channels,
    peer: SocketAddr,
    part: &SealedTable,
    holders: &[SocketAddr],
) -> bool {
    let Ok(table) = serde_json::to_string(part) else { return false };
    let holders = holders.iter().map(SocketAddr::to_string).collect();
    let mut request = Request::new(HandoffRequest { table, holders });
    let limit = Duration::from_millis(HANDOFF_TIMEOUT_MS);
    request.set_timeout(limit);
    let mut client = PeerClient::new(channels.to(peer)).max_encoding_message_size(usize::MAX);
    let reply = async_std::future::timeout(limit, client.handoff(request)).await;
    matches!(reply, Ok(Ok(_)))
}
