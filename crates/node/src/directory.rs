//! Reads the list of targets from the platform's store, or from peers while it is unavailable.

use std::{
    net::{IpAddr, SocketAddr},
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use async_std::task;
use error_stack::Report;
use ggb_adapter::{AdapterError, Row, VersionedRows, decode_target};
use ggb_placement::TargetInfo;
use ggb_telemetry::log_event;
use http_types::StatusCode;

use crate::{peer_api::TargetList, shared::Shared, watched_table::WatchedTable};

/// Interval at which the list of targets is read. Within 2 s after a target starts to
/// drain, it must get no more new work; the platform sets this limit.
const POLL_INTERVAL_MS: u64 = 600;

/// Time for which a target without an entry in the list is kept. Entries that expire while the
/// store is unavailable return within 2 s of its recovery.
const MISSING_RETENTION_MS: u64 = 2_500;

/// Delay before the store is read again after a failure.
const RETRY_DELAY_MS: u64 = 300;

/// Timeout of a request to a peer for its list of targets.
const PEER_TIMEOUT_MS: u64 = 500;

/// Updates the known targets from the list of targets until the process ends.
pub(crate) async fn watch_targets(shared: Arc<Shared>) {
    let mut watcher =
        TargetListWatcher { shared, version: None, missing: Vec::new(), next_peer: 0 };
    loop {
        let delay_ms = match watcher.refresh().await {
            Ok(()) => POLL_INTERVAL_MS,
            Err(_) => {
                watcher.fetch_from_peers().await;
                RETRY_DELAY_MS
            }
        };
        watcher.remove_expired();
        task::sleep(Duration::from_millis(delay_ms)).await;
    }
}

/// Polls the list of targets and remembers which known targets are missing from it.
struct TargetListWatcher {
    shared: Arc<Shared>,
    /// Version up to which the list was read; `None` if it has to be read in full.
    version: Option<u64>,
    /// Known targets without an entry in the list, with the time when that was noticed.
    missing: Vec<(Arc<str>, u64)>,
    /// Index of the peer that is asked next for its list.
    next_peer: usize,
}

impl TargetListWatcher {
    /// Reads the changes of the list since the last read and applies them.
    async fn refresh(&mut self) -> Result<(), Report<AdapterError>> {
        match WatchedTable::Targets.changes_since(&self.shared, self.version, 0).await? {
            Some(update) => self.apply(&update),
            None => self.version = None,
        }
        Ok(())
    }

    /// Fetches the list from the live peers until one supplies a newer one.
    ///
    /// Used while this process can't read the store. A process that starts meanwhile and becomes
    /// the owner of its zone needs targets, and an owner must learn of targets that drain or whose
    /// capacity shrinks.
    async fn fetch_from_peers(&mut self) {
        let now_ms = self.shared.now_ms();
        let peers: Vec<IpAddr> = {
            let ownership = self.shared.ownership.lock();
            let alive = ownership.peers().iter().filter(|peer| peer.is_alive(now_ms));
            alive.map(|peer| peer.heartbeat.node.ip).collect()
        };
        // Most peers have the same list, so one is enough unless no target is known.
        let has_targets = !self.shared.targets.lock().is_empty();
        let max_peers = if has_targets { 1 } else { peers.len() };
        let first = self.next_peer % peers.len().max(1);
        self.next_peer = self.next_peer.wrapping_add(1);
        for ip in peers.iter().cycle().skip(first).take(max_peers.min(peers.len())) {
            if self.fetch_from_peer(*ip).await {
                return;
            }
        }
    }

    /// Fetches the list of a peer. Returns whether it is newer than the known one.
    async fn fetch_from_peer(&mut self, ip: IpAddr) -> bool {
        let addr = self.shared.peer_addr(ip);
        let known_version = self.shared.targets_version.load(Ordering::Relaxed);
        let path = format!("/targets?known={known_version}");
        let fetched = self.shared.http.get(addr, &path, PEER_TIMEOUT_MS).await;
        // A peer that can't be reached is like one without a newer list.
        let Ok(reply) = fetched else { return false };
        if reply.status == StatusCode::NoContent {
            return false;
        }
        match serde_json::from_slice::<TargetList>(&reply.body) {
            Ok(list) if list.version > known_version => {
                self.apply_list(&list, addr);
                true
            }
            Ok(_) => false,
            Err(error) => {
                log_event!(warn, PeerMessageInvalid, peer = %addr, error = %error);
                false
            }
        }
    }

    fn apply_list(&mut self, list: &TargetList, peer: SocketAddr) {
        let is_listed =
            |id: &str| list.targets.binary_search_by(|info| info.id.as_ref().cmp(id)).is_ok();
        self.record_missing_targets(is_listed);
        self.missing.retain(|(id, _)| !is_listed(id));
        let changed = list.targets.iter().filter(|info| self.update_target(info)).count();
        self.set_version(list.version);
        let targets = list.targets.len();
        log_event!(info, TargetListLoaded, targets, changed, peer = %peer);
    }

    fn set_version(&mut self, version: u64) {
        self.version = Some(version);
        self.shared.targets_version.store(version, Ordering::Relaxed);
    }

    fn apply(&mut self, update: &VersionedRows) {
        let is_whole_list = self.version.is_none();
        if is_whole_list {
            self.record_missing_targets(|id| update.rows.iter().any(|row| row.key == *id));
        }
        let changed = update.rows.iter().filter_map(|row| self.apply_row(row));
        let changed: Vec<TargetInfo> = changed.collect();
        // A peer that is told of this version must find its targets in the list.
        self.set_version(update.version);
        // After a restart of all VMs, a line for each target would take small VMs longer than the
        // list itself.
        if is_whole_list {
            let targets = update.rows.len();
            log_event!(info, TargetListLoaded, targets, changed = changed.len());
        } else {
            changed.iter().for_each(log_target);
        }
    }

    /// Records the known targets that are not listed in the complete list as missing.
    fn record_missing_targets(&mut self, is_listed: impl Fn(&str) -> bool) {
        let now_ms = self.shared.now_ms();
        let known: Vec<Arc<str>> =
            self.shared.targets.lock().iter().map(|target| Arc::clone(&target.id)).collect();
        for id in known {
            if !is_listed(&id) {
                self.record_missing(id, now_ms);
            }
        }
    }

    fn record_missing(&mut self, id: Arc<str>, now_ms: u64) {
        if !self.missing.iter().any(|(missing, _)| *missing == id) {
            self.missing.push((id, now_ms));
        }
    }

    /// Applies a row of the list. Returns the target if the row changes it.
    fn apply_row(&mut self, row: &Row) -> Option<TargetInfo> {
        let Some(value) = &row.value else {
            self.record_missing(row.key.as_str().into(), self.shared.now_ms());
            return None;
        };
        match decode_target(&row.key, value) {
            Ok(info) => {
                self.missing.retain(|(id, _)| *id != info.id);
                self.update_target(&info).then_some(info)
            }
            Err(error) => {
                let error = error.current_context();
                log_event!(warn, TargetEntryInvalid, target = row.key, error = %error);
                None
            }
        }
    }

    /// Adds or replaces a target; passes a change to the owner if this process is one. Returns
    /// whether the target changed.
    fn update_target(&self, info: &TargetInfo) -> bool {
        let mut targets = self.shared.targets.lock();
        match targets.binary_search_by(|target| target.id.cmp(&info.id)) {
            Ok(index) if targets[index] == *info => return false,
            Ok(index) => targets[index] = info.clone(),
            Err(index) => targets.insert(index, info.clone()),
        }
        drop(targets);
        if let Some(owner) = self.shared.owner.load_full() {
            owner.update_target(info);
        }
        true
    }

    /// Removes the targets that have been missing for [`MISSING_RETENTION_MS`].
    fn remove_expired(&mut self) {
        let now_ms = self.shared.now_ms();
        let is_expired = |since_ms: u64| now_ms >= since_ms + MISSING_RETENTION_MS;
        for (id, _) in self.missing.iter().filter(|(_, since_ms)| is_expired(*since_ms)) {
            log_event!(info, TargetListed, target = %id, missing = true);
            self.shared.targets.lock().retain(|target| target.id != *id);
            if let Some(owner) = self.shared.owner.load_full() {
                owner.remove_target(id);
            }
        }
        self.missing.retain(|(_, since_ms)| !is_expired(*since_ms));
    }
}

fn log_target(info: &TargetInfo) {
    log_event!(info, TargetListed, target = %info.id, zone = %info.zone, draining = info.draining);
}
