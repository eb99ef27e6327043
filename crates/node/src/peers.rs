//! Heartbeats between the processes, and the ownership that follows from them.

use std::{
    io,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use async_std::{net::UdpSocket, task};
use ggb_control::unix_ms;
use ggb_membership::{HEARTBEAT_MS, Heartbeat, Node, OwnershipChange};
use ggb_placement::Load;
use ggb_telemetry::log_event;

use crate::{configuration::fetch_from_peer, owner::Owner, shared::Shared};

/// The table in which each process has a row under the name of its VM.
const NODES_TABLE: &str = "nodes";

/// The interval between heartbeats to another zone, in heartbeats within the zone.
const FAR_EVERY: u64 = 3;

/// The interval at which owners tell each other how much room they have; half of a short
/// task.
const ROOM_INTERVAL_MS: u64 = 25;

/// The same while tasks wait in another zone and there is room for them here.
const WANTED_ROOM_INTERVAL_MS: u64 = 5;

/// Who gets a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Audience {
    /// The owners of other zones.
    Owners,
    /// The processes of the own zone; from an owner, the owners of other zones too.
    Zone,
    /// The owners of other zones too; from an owner, every process.
    All,
}

/// The most bytes of a heartbeat, well within one datagram.
const HEARTBEAT_BYTES: usize = 8_192;

/// The pause between two readings of the list of processes. A new process says itself
/// that it is there; the list matters at start and after a cut.
const NODES_POLL_MS: u64 = 15_000;
const NODES_RETRY_MS: u64 = 250;

/// Sends and receives heartbeats at `addr` until the process ends.
///
/// # Errors
///
/// Fails if the port can't be bound.
pub(crate) async fn spawn_heartbeats(shared: Arc<Shared>, addr: SocketAddr) -> io::Result<()> {
    let socket = UdpSocket::bind(addr).await?;
    let socket = Arc::new(socket);
    task::spawn(receive(Arc::clone(&shared), Arc::clone(&socket)));
    task::spawn(tell_room(Arc::clone(&shared), Arc::clone(&socket)));
    task::spawn(send_regularly(shared, socket));
    Ok(())
}

async fn receive(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; HEARTBEAT_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            // Only a peer's refused port ends up here; the next heartbeat is not affected.
            continue;
        };
        match serde_json::from_slice::<Heartbeat>(&buffer[..length]) {
            Ok(heartbeat) => hear(&shared, &socket, heartbeat).await,
            Err(error) => {
                log_event!(warn, PeerMessageInvalid, peer = %from, error = %error);
            }
        }
    }
}

async fn hear(shared: &Arc<Shared>, socket: &UdpSocket, heartbeat: Heartbeat) {
    let ip = heartbeat.node.ip;
    let own_version = shared.configuration.load().as_ref().map_or(0, |current| current.version);
    let newer = heartbeat.configuration_version > own_version;
    let zone = heartbeat.node.zone.clone();
    let claim = heartbeat.claim;
    let leaving = heartbeat.leaving;
    let free_tasks = heartbeat.free_tasks;
    shared.add_peer(ip);
    if claim.is_some() && zone != shared.settings.zone {
        let owner = shared.owner.load_full();
        if let Some(owner) = owner {
            owner.room_heard(&zone, if leaving { 0 } else { free_tasks });
        }
    }
    let changed = {
        let mut ownership = shared.ownership.lock();
        let before = ownership.owner_of(&zone).map(|owner| owner.heartbeat.node.name.clone());
        ownership.heard(heartbeat, shared.now_ms());
        let after = ownership.owner_of(&zone).map(|owner| owner.heartbeat.node.name.clone());
        (before != after).then_some(after).flatten()
    };
    if let Some(owner) = changed {
        log_event!(info, OwnerChanged, zone = %zone, owner, token = claim);
    }
    if newer {
        task::spawn(fetch_from_peer(Arc::clone(shared), ip));
    }
    // What this message says may end or begin this process's ownership; the next regular
    // heartbeat could be too late for callers that wait.
    if zone == shared.settings.zone && (claim.is_some() || leaving) && update_ownership(shared) {
        send(shared, socket, owner_load(shared), Audience::All).await;
    }
}

async fn send_regularly(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    for round in 0_u64.. {
        update_ownership(&shared);
        let audience = match round.is_multiple_of(FAR_EVERY) {
            true => Audience::All,
            false => Audience::Zone,
        };
        let load = owner_load(&shared);
        send(&shared, &socket, load, audience).await;
        update_gauges(&shared, load);
        task::sleep(Duration::from_millis(HEARTBEAT_MS)).await;
    }
}

/// Claims or gives up ownership if it is due. Returns whether that happened.
fn update_ownership(shared: &Arc<Shared>) -> bool {
    let change = shared.ownership.lock().tick(unix_ms(), shared.now_ms());
    match change {
        None => return false,
        Some(OwnershipChange::Claimed { token }) => {
            log_event!(info, OwnershipTaken, zone = %shared.settings.zone, token);
            let owner = Owner::spawn(Arc::clone(shared), token);
            shared.owner.store(Some(owner));
        }
        Some(OwnershipChange::Released) => {
            log_event!(info, OwnershipReleased, reason = "a peer has a higher claim");
            if let Some(owner) = shared.owner.swap(None) {
                owner.stop();
            }
        }
    }
    true
}

/// Tells the owners of other zones how much room there is, while this process is an owner
/// with jobs; they can lend tasks only while what they know is current.
async fn tell_room(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut told_at_ms = 0;
    loop {
        task::sleep(Duration::from_millis(WANTED_ROOM_INTERVAL_MS)).await;
        let load = owner_load(&shared);
        if load.jobs == 0 {
            continue;
        }
        let now_ms = shared.now_ms();
        let is_wanted = load.free_tasks > 0 && shared.ownership.lock().is_room_wanted(now_ms);
        if is_wanted || now_ms >= told_at_ms + ROOM_INTERVAL_MS {
            told_at_ms = now_ms;
            send(&shared, &socket, load, Audience::Owners).await;
        }
    }
}

/// Returns the load of the zone's targets, if this process is their owner.
fn owner_load(shared: &Shared) -> Load {
    shared.owner.load().as_ref().map(|owner| owner.load()).unwrap_or_default()
}

/// Sends a heartbeat.
async fn send(shared: &Shared, socket: &UdpSocket, load: Load, audience: Audience) {
    let now_ms = shared.now_ms();
    let peers = shared.peers.lock().clone();
    let (heartbeat, far_known, near_known) = {
        let ownership = shared.ownership.lock();
        let mut heartbeat = ownership.heartbeat(now_ms);
        heartbeat.free_tasks = load.free_tasks;
        heartbeat.queued_tasks = load.queued_tasks;
        let is_near = |ip: IpAddr| {
            let mut peers = ownership.peers().iter();
            peers.find(|peer| peer.heartbeat.node.ip == ip).map(|peer| {
                (peer.heartbeat.node.zone == ownership.own().zone, peer.heartbeat.claim.is_some())
            })
        };
        let (near, far): (Vec<_>, Vec<_>) = peers
            .into_iter()
            .map(|ip| (ip, is_near(ip)))
            .partition(|(_, known)| known.is_none_or(|(near, _)| near));
        (heartbeat, far, near)
    };
    let mut heartbeat = heartbeat;
    heartbeat.configuration_version =
        shared.configuration.load().as_ref().map_or(0, |current| current.version);
    let is_owner = heartbeat.claim.is_some();
    let message = serde_json::to_vec(&heartbeat).expect("heartbeats have only string keys");
    let is_far_audience = |known: &Option<(bool, bool)>| {
        let to_owner = known.is_some_and(|(_, owner)| owner);
        match audience {
            Audience::Owners => to_owner,
            Audience::Zone => is_owner && to_owner,
            Audience::All => is_owner || to_owner,
        }
    };
    let far_addrs = far_known.iter().filter(|(_, known)| is_far_audience(known));
    let near_addrs = near_known.iter().filter(|_| audience != Audience::Owners);
    for ip in near_addrs.chain(far_addrs).map(|(ip, _)| *ip) {
        // A heartbeat that can't be sent is as good as a lost one.
        socket.send_to(&message, shared.peer_addr(ip)).await.ok();
    }
}

fn update_gauges(shared: &Shared, load: Load) {
    shared.metrics.is_owner.set(i64::from(shared.owner.load().is_some()));
    shared.metrics.jobs.set(load.jobs as i64);
    let now_ms = shared.now_ms();
    for (table, age_ms) in [
        ("configuration", shared.configuration_confirmed.age_ms(now_ms)),
        ("targets", shared.targets_confirmed.age_ms(now_ms)),
    ] {
        shared.metrics.age_ms.with_label_values(&[table]).set(age_ms as i64);
    }
    let queued = shared.owner.load().as_ref().map(|owner| owner.queued_jobs());
    shared.metrics.queued_jobs.reset();
    for (priority, jobs) in queued.unwrap_or_default() {
        let priority = priority.to_string();
        shared.metrics.queued_jobs.with_label_values(&[&priority]).set(jobs as i64);
    }
    let cpu = |state: &str, value: u64| {
        shared.metrics.cpu_milli.with_label_values(&[state]).set(value as i64);
    };
    cpu("total", load.total_cpu_milli);
    cpu("free", load.free_cpu_milli);
    cpu("queued", load.queued_cpu_milli);
    shared.metrics.targets.with_label_values(&["all"]).set(load.targets as i64);
    shared.metrics.targets.with_label_values(&["sound"]).set(load.sound_targets as i64);
}

/// Enters this process into the list of processes and reads who else is there, until the
/// process ends.
pub(crate) async fn follow_nodes(shared: Arc<Shared>) {
    let own = shared.ownership.lock().own().clone();
    let value = serde_json::to_vec(&own).expect("processes have only string keys");
    let mut entered = false;
    loop {
        if !entered {
            entered = shared.store().put(NODES_TABLE, &own.name, &value).await.is_ok();
        }
        let read = shared.store().rows(NODES_TABLE).await;
        let result = if read.is_ok() { "answered" } else { "failed" };
        shared.metrics.store_calls.with_label_values(&["nodes", result]).inc();
        let done = entered && read.is_ok();
        if read.is_ok() {
            shared.ownership.lock().set_listed();
        }
        for row in read.map(|changes| changes.rows).unwrap_or_default() {
            let value = row.value.unwrap_or_default();
            match serde_json::from_slice::<Node>(&value) {
                Ok(node) => shared.add_peer(node.ip),
                Err(error) => {
                    log_event!(warn, PeerMessageInvalid, peer = row.key, error = %error);
                }
            }
        }
        let pause_ms = if done { NODES_POLL_MS } else { NODES_RETRY_MS };
        task::sleep(Duration::from_millis(pause_ms)).await;
    }
}
