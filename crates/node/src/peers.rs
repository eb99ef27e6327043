//! Exchanges heartbeats with the other processes and updates the ownership accordingly.

use std::{
    io,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use async_std::{net::UdpSocket, task};
use futures::{FutureExt as _, pin_mut, select};
use ggb_adapter::Row;
use ggb_control::unix_time_ms;
use ggb_membership::{
    EvacuationReport, HEARTBEAT_INTERVAL_MS, Heartbeat, MAX_HEARTBEAT_BYTES, Node, Ownership,
    OwnershipChange, Recipient, Recipients,
};
use ggb_placement::{Load, TargetLoss};
use ggb_telemetry::log_event;
use serde::{Deserialize, Serialize};

use crate::{configuration::fetch_from_peer, owner::Owner, shared::Shared};

/// Name of the store's table in which each process has a row, with the name of its VM as key.
const NODES_TABLE: &str = "nodes";

/// Interval at which owners with jobs send their load to the owners of other zones; half the run
/// time of a task of 50 ms.
const LOAD_INTERVAL_MS: u64 = 25;

/// Interval that replaces [`LOAD_INTERVAL_MS`] while tasks are queued in another zone and this zone
/// has free capacity.
const MIN_LOAD_INTERVAL_MS: u64 = 5;

/// Maximum number of losses of targets in a heartbeat; each takes some 120 bytes.
const MAX_HEARTBEAT_LOSSES: usize = 16;

/// Time for which heartbeats repeat a loss of a target, so that processes that miss some of them
/// learn of it.
const LOSS_REPORT_MS: u64 = 2_000;

/// Time after the start of the process after which it asks its peers for the losses of targets that
/// they know of. Before that it has more urgent work.
const LOSS_FETCH_DELAY_MS: u64 = 1_000;

/// Number of peers that are asked for losses of targets. Each owner reports its own to every
/// process, so one is enough unless it has just started too.
const LOSS_FETCH_PEERS: usize = 3;

/// Timeout of a request to a peer for its losses of targets.
const LOSS_FETCH_TIMEOUT_MS: u64 = 500;

/// A heartbeat with recent losses of the targets that its sender owns, and the evacuated zones that it
/// knows of.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
struct HeartbeatMessage {
    #[serde(flatten)]
    heartbeat: Heartbeat,
    #[serde(flatten)]
    evacuation: EvacuationReport,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    target_losses: Vec<TargetLoss>,
}

impl HeartbeatMessage {
    fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self)
            .expect("a heartbeat serializes to JSON because its map keys are strings")
    }
}

/// Interval at which the list of processes is read. The list matters at start and after a network
/// partition; otherwise a new process makes itself known by its heartbeats.
const NODES_POLL_INTERVAL_MS: u64 = 15_000;

/// Delay before the next attempt if the list could not be read or this process not registered.
const NODES_RETRY_DELAY_MS: u64 = 250;

/// Starts to send and receive heartbeats at the UDP address `addr`, until the process ends.
///
/// # Errors
///
/// Returns an error if the port can't be bound.
pub(crate) async fn spawn_heartbeats(shared: Arc<Shared>, addr: SocketAddr) -> io::Result<()> {
    let socket = UdpSocket::bind(addr).await?;
    let socket = Arc::new(socket);
    task::spawn(receive_heartbeats(Arc::clone(&shared), Arc::clone(&socket)));
    task::spawn(send_load_updates(Arc::clone(&shared), Arc::clone(&socket)));
    task::spawn(send_periodic_heartbeats(shared, socket));
    Ok(())
}

/// Learns from peers which targets were lost under which tasks before this process started.
pub(crate) async fn fetch_target_losses(shared: Arc<Shared>) {
    task::sleep(Duration::from_millis(LOSS_FETCH_DELAY_MS)).await;
    let mut peers: Vec<IpAddr> = {
        let ownership = shared.ownership.lock();
        ownership.members().as_slice().iter().map(|member| member.ip).collect()
    };
    // Processes that start at the same time ask different peers.
    let offset = peers.partition_point(|ip| *ip < shared.settings.ip);
    peers.rotate_left(offset);
    let mut answers = 0;
    for ip in peers {
        let addr = shared.peer_addr(ip);
        let fetched = shared.http.get(addr, "/target-losses", LOSS_FETCH_TIMEOUT_MS).await;
        // The next peer is as good as one that can't be reached.
        let Ok(reply) = fetched else { continue };
        match serde_json::from_slice::<Vec<TargetLoss>>(&reply.body) {
            Ok(losses) => shared.merge_target_losses(&losses),
            Err(error) => {
                log_event!(warn, PeerMessageInvalid, peer = %addr, error = %error);
                continue;
            }
        }
        answers += 1;
        if answers == LOSS_FETCH_PEERS {
            return;
        }
    }
}

async fn receive_heartbeats(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; MAX_HEARTBEAT_BYTES];
    let mut last_foreign = None;
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            // The error only means that an earlier datagram could not be delivered, so receiving
            // goes on.
            continue;
        };
        match serde_json::from_slice::<HeartbeatMessage>(&buffer[..length]) {
            Ok(HeartbeatMessage { heartbeat, .. }) if !is_zone_known(&shared, &heartbeat.node) => {
                let Node { name, zone, .. } = heartbeat.node;
                if last_foreign.replace(from) != Some(from) {
                    let error = "its zone is not in the settings";
                    log_event!(warn, PeerMessageInvalid, peer = %from, name, zone = %zone, error);
                }
            }
            Ok(HeartbeatMessage { heartbeat, evacuation, target_losses }) => {
                shared.merge_evacuation(&evacuation, heartbeat.configuration_version);
                if !target_losses.is_empty() {
                    shared.merge_target_losses(&target_losses);
                }
                handle_heartbeat(&shared, &socket, heartbeat).await;
            }
            Err(error) => {
                log_event!(warn, PeerMessageInvalid, peer = %from, error = %error);
            }
        }
    }
}

/// Returns whether the settings list the zone of a process. At an address that was given away another
/// deployment may run.
fn is_zone_known(shared: &Shared, node: &Node) -> bool {
    let zones = &shared.live_settings().zones;
    // The list contains the own zone even if the settings have none.
    zones.len() == 1 || zones.binary_search(&node.zone).is_ok()
}

/// Records a heartbeat, and acts on its load, claim and configuration version.
async fn handle_heartbeat(shared: &Arc<Shared>, socket: &UdpSocket, heartbeat: Heartbeat) {
    let name = heartbeat.node.name.clone();
    let ip = heartbeat.node.ip;
    let own_version = shared.configuration_version();
    let peer_version = heartbeat.configuration_version;
    let zone = heartbeat.node.zone.clone();
    let claim = heartbeat.claim_token;
    let leaving = heartbeat.leaving;
    let free_tasks = heartbeat.free_tasks;
    let own_claim = heartbeat.known_claims.iter().find(|known| known.owner == shared.settings.name);
    let token_known_to_peer = own_claim.map(|known| known.token);
    let now_ms = shared.now_ms();
    let listed = heartbeat.zone_members.clone();
    let (is_later, new_owner, own_token, learned, answer) = shared.update_members(|ownership| {
        let owner_name = |ownership: &Ownership| {
            ownership.owner_of(&zone).map(|owner| owner.heartbeat.node.name.clone())
        };
        let is_unknown = |node: &Node| ownership.members().find(node.ip).is_none();
        let unknown: Vec<Node> = listed.into_iter().filter(is_unknown).collect();
        let owner_before = owner_name(ownership);
        let is_later = ownership.record_heartbeat(heartbeat, now_ms);
        let owner_after = owner_name(ownership);
        let new_owner = (owner_before != owner_after).then_some(owner_after).flatten();
        let own_token = ownership.claim_token().filter(|_| zone == shared.settings.zone);
        let is_member = |node: &&Node| ownership.members().find(node.ip).is_some();
        let learned: Vec<String> =
            unknown.iter().filter(is_member).map(|node| node.name.clone()).collect();
        (is_later, new_owner, own_token, learned, ownership.take_answer(&name, now_ms))
    });
    if is_later && claim.is_some() && zone != shared.settings.zone {
        let owner = shared.owner.load_full();
        if let Some(owner) = owner {
            owner.update_remote_capacity(&zone, if leaving { 0 } else { free_tasks });
        }
    }
    if !learned.is_empty() {
        log_event!(info, PeersLearned, peer = name, learned = ?learned);
    }
    // A process that has just started learns of this one, and of its zone, without waiting for a
    // round.
    if let Some(recipient) = answer {
        send_heartbeat(shared, socket, owner_load(shared), &[recipient]).await;
    }
    match (new_owner, own_token) {
        (Some(owner), Some(token)) => {
            log_event!(
                warn, RivalOwner, zone = %zone, token, peer = owner, peer_token = claim,
                token_known_to_peer
            );
        }
        (Some(owner), None) => {
            log_event!(info, OwnerChanged, zone = %zone, owner, token = claim);
        }
        (None, _) => {}
    }
    let fetches_configuration = shared.configuration_gossip.lock().record_version(
        own_version,
        peer_version,
        shared.now_ms(),
    );
    if fetches_configuration {
        task::spawn(fetch_from_peer(Arc::clone(shared), ip));
    }
    // This heartbeat may end or begin the ownership of this process. The peers are notified at
    // once, since callers may be waiting for an owner.
    if zone == shared.settings.zone && (claim.is_some() || leaving) && update_ownership(shared) {
        let recipients = select_recipients(shared, Recipients::All, None);
        send_heartbeat(shared, socket, owner_load(shared), &recipients).await;
    }
}

/// Updates the ownership and sends heartbeats at [`HEARTBEAT_INTERVAL_MS`], until the process ends.
async fn send_periodic_heartbeats(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut reported_owner = None;
    for round in 0_u64.. {
        shared.ownership.lock().prune(shared.now_ms());
        update_ownership(&shared);
        log_reported_owner(&shared, &mut reported_owner);
        let load = owner_load(&shared);
        let recipients = select_recipients(&shared, Recipients::of_round(round), Some(round));
        send_heartbeat(&shared, &socket, load, &recipients).await;
        update_gauges(&shared, load);
        report_silent_connections(&shared);
        wait_for_next_round(&shared).await;
    }
}

/// Waits for [`HEARTBEAT_INTERVAL_MS`], or less if a peer becomes known. After all processes start
/// anew, they learn of each other before the first of them claims.
async fn wait_for_next_round(shared: &Shared) {
    let sleep = task::sleep(Duration::from_millis(HEARTBEAT_INTERVAL_MS)).fuse();
    let peer_added = shared.peer_added.recv().fuse();
    pin_mut!(sleep, peer_added);
    select! {
        () = sleep => {}
        // The channel stays open, since the sender is in the shared state, too.
        _ = peer_added => {}
    }
}

/// Claims or releases the ownership of the zone if due. Returns whether it changed.
fn update_ownership(shared: &Arc<Shared>) -> bool {
    let change = shared.ownership.lock().tick(unix_time_ms(), shared.now_ms());
    match change {
        None => return false,
        Some(OwnershipChange::Claimed { token, known_token }) => {
            let (live_peers, known_peers) = {
                let ownership = shared.ownership.lock();
                (ownership.live_peer_count(shared.now_ms()), ownership.members().as_slice().len())
            };
            log_event!(
                info, OwnershipTaken, zone = %shared.settings.zone, token, known_token, live_peers,
                known_peers
            );
            let owner = Owner::spawn(Arc::clone(shared), token);
            shared.owner.store(Some(owner));
            // A request may have arrived since the owner was told at its start.
            shared.tell_owner_of_evacuation();
        }
        Some(OwnershipChange::Released { token, rival }) => {
            let reason = match rival.token == token {
                true => "a peer has the same token and precedes this process",
                false => "a peer has a higher claim",
            };
            log_event!(
                info,
                OwnershipReleased,
                reason,
                token,
                peer = rival.owner,
                peer_token = rival.token,
                peer_age_ms = rival.age_ms
            );
            if let Some(owner) = shared.owner.swap(None) {
                owner.stop();
            }
        }
    }
    true
}

/// Sends the load to the owners of other zones while this process is an owner with jobs.
///
/// Owners of other zones offload tasks to this zone only while its reported load is recent.
async fn send_load_updates(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut sent_at_ms = 0;
    loop {
        task::sleep(Duration::from_millis(MIN_LOAD_INTERVAL_MS)).await;
        let load = owner_load(&shared);
        if load.jobs == 0 {
            continue;
        }
        let now_ms = shared.now_ms();
        let has_remote_demand =
            load.free_tasks > 0 && shared.ownership.lock().has_queued_tasks_in_remote_zones(now_ms);
        if has_remote_demand || now_ms >= sent_at_ms + LOAD_INTERVAL_MS {
            sent_at_ms = now_ms;
            let recipients = select_recipients(&shared, Recipients::RemoteOwners, None);
            send_heartbeat(&shared, &socket, load, &recipients).await;
        }
    }
}

/// Returns the load of the zone's targets, or a zero load if this process is not their owner.
fn owner_load(shared: &Shared) -> Load {
    shared.owner.load().as_ref().map(|owner| owner.load()).unwrap_or_default()
}

/// Returns the recipients of a heartbeat; `round` is that of a periodic heartbeat.
fn select_recipients(
    shared: &Shared,
    recipients: Recipients,
    round: Option<u64>,
) -> Vec<Recipient> {
    shared.ownership.lock().recipients(recipients, round, shared.now_ms())
}

/// Logs the owner that peers report, if it is another one than in the last round.
fn log_reported_owner(shared: &Shared, last_logged: &mut Option<String>) {
    let ownership = shared.ownership.lock();
    let reported = ownership.reported_owner(shared.now_ms());
    let name = reported.map(|owner| owner.node.name.clone());
    if let Some(owner) = reported.filter(|_| *last_logged != name) {
        log_event!(
            info, OwnerReported, zone = %shared.settings.zone, owner = owner.node.name,
            token = owner.token, age_ms = owner.age_ms, peer = owner.reported_by
        );
    }
    *last_logged = name;
}

/// Sends a heartbeat with `load` to each of `recipients`.
async fn send_heartbeat(shared: &Shared, socket: &UdpSocket, load: Load, recipients: &[Recipient]) {
    let now_ms = shared.now_ms();
    let mut heartbeat = shared.ownership.lock().heartbeat(now_ms);
    heartbeat.free_tasks = load.free_tasks;
    heartbeat.queued_tasks = load.queued_tasks;
    heartbeat.configuration_version = shared.configuration_version();
    let round = now_ms / HEARTBEAT_INTERVAL_MS;
    let losses_since_ms = now_ms.saturating_sub(LOSS_REPORT_MS);
    let owner = shared.owner.load_full();
    let target_losses =
        owner.map(|owner| owner.recent_target_losses(MAX_HEARTBEAT_LOSSES, round, losses_since_ms));
    let target_losses = target_losses.unwrap_or_default();
    let evacuation = shared.evacuation_report();
    let mut message = HeartbeatMessage { heartbeat, evacuation, target_losses };
    let encoded = message.encode();
    for recipient in recipients {
        let addr = shared.peer_addr(recipient.ip);
        // A heartbeat that can't be sent is treated like one lost in the network.
        if recipient.is_plain() {
            socket.send_to(&encoded, addr).await.ok();
        } else {
            message.heartbeat = recipient.heartbeat(message.heartbeat);
            socket.send_to(&message.encode(), addr).await.ok();
        }
    }
}

/// Sets the gauges to the current state; called in every heartbeat round.
fn update_gauges(shared: &Shared, load: Load) {
    shared.metrics.is_owner.set(i64::from(shared.owner.load().is_some()));
    shared.metrics.jobs.set(load.jobs as i64);
    shared.update_evacuation_gauges();
    let now_ms = shared.now_ms();
    for (table, age_ms) in [
        ("configuration", shared.configuration_read.age_ms(now_ms)),
        ("targets", shared.targets_read.age_ms(now_ms)),
    ] {
        shared.metrics.table_age_ms.with_label_values(&[table]).set(age_ms as i64);
    }
    let queued = shared.owner.load().as_ref().map(|owner| owner.queued_jobs());
    shared.metrics.queued_jobs.reset();
    for (priority, jobs) in queued.unwrap_or_default() {
        let priority = priority.to_string();
        shared.metrics.queued_jobs.with_label_values(&[&priority]).set(jobs as i64);
    }
    let shares = shared.owner.load().as_ref().map(|owner| owner.work_shares());
    shared.metrics.work_share_permille.reset();
    for (queue, share) in shares.unwrap_or_default() {
        let share_permille = (share * 1_000.0).round() as i64;
        shared.metrics.work_share_permille.with_label_values(&[&*queue]).set(share_permille);
    }
    let set_cpu = |state: &str, value: u64| {
        shared.metrics.cpu_milli.with_label_values(&[state]).set(value as i64);
    };
    set_cpu("total", load.total_cpu_milli);
    set_cpu("free", load.free_cpu_milli);
    set_cpu("queued", load.queued_cpu_milli);
    shared.metrics.targets.with_label_values(&["all"]).set(load.targets as i64);
    shared.metrics.targets.with_label_values(&["sound"]).set(load.healthy_targets as i64);
    let speeds = shared.owner.load().as_ref().map(|owner| owner.speed_summary());
    let speeds = speeds.unwrap_or_default();
    shared.metrics.targets.with_label_values(&["slow"]).set(speeds.slow_targets as i64);
    for (target, percent) in [
        ("fastest", speeds.fastest_percent),
        ("median", speeds.median_percent),
        ("slowest", speeds.slowest_percent),
    ] {
        shared.metrics.run_time_percent.with_label_values(&[target]).set(percent as i64);
    }
}

/// Logs and counts the connections that have gone silent since the last call.
fn report_silent_connections(shared: &Shared) {
    for (peer, reads) in shared.http.take_silent_peers() {
        shared.metrics.silent_connections.inc_by(u64::from(reads));
        log_event!(warn, ConnectionSilent, peer = %peer, reads);
    }
}

/// Returns the VMs that the rows describe; rows that can't be decoded are logged and left out.
fn decode_nodes(rows: &[Row]) -> Vec<Node> {
    let decode = |row: &Row| match serde_json::from_slice::<Node>(row.value.as_deref()?) {
        Ok(node) => Some(node),
        Err(error) => {
            log_event!(warn, PeerMessageInvalid, peer = row.key, error = %error);
            None
        }
    };
    rows.iter().filter_map(decode).collect()
}

/// Registers this process in the list of processes and reads the other processes from it, until
/// the process ends.
pub(crate) async fn maintain_membership(shared: Arc<Shared>) {
    let own_node = shared.ownership.lock().local_node().clone();
    let value = serde_json::to_vec(&own_node)
        .expect("a node serializes to JSON because its map keys are strings");
    // After all processes start anew, each needs the list of the earlier ones within milliseconds,
    // since it decides who claims first. It is read again below: at the very first start each
    // process finds those that registered before it.
    read_nodes(&shared).await;
    let mut is_registered = false;
    loop {
        if !is_registered {
            is_registered = shared.store().put(NODES_TABLE, &own_node.name, &value).await.is_ok();
        }
        let was_read = read_nodes(&shared).await;
        let has_succeeded = is_registered && was_read;
        let delay_ms = if has_succeeded { NODES_POLL_INTERVAL_MS } else { NODES_RETRY_DELAY_MS };
        task::sleep(Duration::from_millis(delay_ms)).await;
    }
}

/// Reads the list of processes. Returns whether the store answered.
async fn read_nodes(shared: &Shared) -> bool {
    let read = shared.store().rows(NODES_TABLE).await;
    let result = if read.is_ok() { "answered" } else { "failed" };
    shared.metrics.store_calls.with_label_values(&["nodes", result]).inc();
    let Ok(changes) = read else { return false };
    let nodes = decode_nodes(&changes.rows);
    shared.update_members(|ownership| ownership.set_vm_list(&nodes));
    true
}
