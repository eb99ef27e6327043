//! The platform's list of targets.

use std::{net::IpAddr, sync::Arc, time::Duration};

use async_std::task;
use error_stack::Report;
use ggb_adapter::{AdapterError, Changes, Row, TARGETS_TABLE, decode_target};
use ggb_placement::TargetInfo;
use ggb_telemetry::log_event;

use crate::shared::Shared;

/// The pause between two readings of the list of targets. A target that drains must get no
/// new work within the platform's bound of 2 s.
const POLL_MS: u64 = 600;

/// How long a target whose entry is missing is kept. Entries that lapse while the store is
/// away are back within 2 s of its return.
const MISSING_KEPT_MS: u64 = 2_500;

/// How long the store is left alone after it did not answer.
const RETRY_PAUSE_MS: u64 = 300;

/// How long a peer may take to hand over its list.
const PEER_TIMEOUT_MS: u64 = 500;

/// Follows the list of targets until the process ends.
pub(crate) async fn follow_targets(shared: Arc<Shared>) {
    let mut directory = Directory { shared, version: None, missing: Vec::new() };
    loop {
        let pause_ms = match directory.refresh().await {
            Ok(()) => POLL_MS,
            Err(_) => {
                directory.ask_peers().await;
                RETRY_PAUSE_MS
            }
        };
        directory.drop_missing();
        task::sleep(Duration::from_millis(pause_ms)).await;
    }
}

struct Directory {
    shared: Arc<Shared>,
    /// The version up to which the list was read; nothing before the first reading.
    version: Option<u64>,
    /// Targets whose entries are missing, and since when.
    missing: Vec<(Arc<str>, u64)>,
}

impl Directory {
    async fn refresh(&mut self) -> Result<(), Report<AdapterError>> {
        let read = self.shared.store().since(TARGETS_TABLE, self.version, 0).await;
        let result = if read.is_ok() { "answered" } else { "failed" };
        self.shared.metrics.store_calls.with_label_values(&["targets", result]).inc();
        note_reachability(&self.shared, &read);
        match read? {
            Some(changes) => {
                self.shared.targets_confirmed.confirm(self.shared.now_ms());
                self.apply(&changes);
            }
            None => {
                log_event!(warn, HistoryLost, table = TARGETS_TABLE);
                self.version = None;
            }
        }
        Ok(())
    }

    /// Takes the list of a peer, while the store can't be read and none is known: a process
    /// that boots then may be the next owner of its zone.
    async fn ask_peers(&self) {
        let now_ms = self.shared.now_ms();
        let peers: Vec<IpAddr> = {
            let ownership = self.shared.ownership.lock();
            let alive = ownership.peers().iter().filter(|peer| peer.is_alive(now_ms));
            alive.map(|peer| peer.heartbeat.node.ip).collect()
        };
        for ip in peers {
            if !self.shared.targets.lock().is_empty() {
                return;
            }
            let addr = self.shared.peer_addr(ip);
            let fetched = self.shared.http.fetch(addr, "/targets", PEER_TIMEOUT_MS).await;
            let Ok(reply) = fetched else { continue };
            match serde_json::from_slice::<Vec<TargetInfo>>(&reply.body) {
                Ok(targets) => targets.into_iter().for_each(|info| self.listed(info)),
                Err(error) => {
                    log_event!(warn, PeerMessageInvalid, peer = %addr, error = %error);
                }
            }
        }
    }

    fn apply(&mut self, changes: &Changes) {
        if self.version.is_none() {
            self.note_absent(&changes.rows);
        }
        self.version = Some(changes.version);
        for row in &changes.rows {
            self.apply_row(row);
        }
    }

    /// Notes the targets that a complete list leaves out.
    fn note_absent(&mut self, rows: &[Row]) {
        let now_ms = self.shared.now_ms();
        let known: Vec<Arc<str>> =
            self.shared.targets.lock().iter().map(|target| Arc::clone(&target.id)).collect();
        for id in known {
            if !rows.iter().any(|row| row.key == *id) {
                self.note_missing(id, now_ms);
            }
        }
    }

    fn note_missing(&mut self, id: Arc<str>, now_ms: u64) {
        if !self.missing.iter().any(|(missing, _)| *missing == id) {
            self.missing.push((id, now_ms));
        }
    }

    fn apply_row(&mut self, row: &Row) {
        let Some(value) = &row.value else {
            self.note_missing(row.key.as_str().into(), self.shared.now_ms());
            return;
        };
        match decode_target(&row.key, value) {
            Ok(info) => {
                self.missing.retain(|(id, _)| *id != info.id);
                self.listed(info);
            }
            Err(error) => {
                let error = error.current_context();
                log_event!(warn, TargetEntryInvalid, target = row.key, error = %error);
            }
        }
    }

    fn listed(&self, info: TargetInfo) {
        let mut targets = self.shared.targets.lock();
        match targets.binary_search_by(|target| target.id.cmp(&info.id)) {
            Ok(at) if targets[at] == info => return,
            Ok(at) => targets[at] = info.clone(),
            Err(at) => targets.insert(at, info.clone()),
        }
        drop(targets);
        log_event!(
            info, TargetListed, target = %info.id, zone = %info.zone, draining = info.draining
        );
        if let Some(owner) = self.shared.owner.load_full() {
            owner.target_listed(&info);
        }
    }

    fn drop_missing(&mut self) {
        let now_ms = self.shared.now_ms();
        let is_over = |since_ms: u64| now_ms >= since_ms + MISSING_KEPT_MS;
        for (id, _) in self.missing.iter().filter(|(_, since_ms)| is_over(*since_ms)) {
            log_event!(info, TargetListed, target = %id, missing = true);
            self.shared.targets.lock().retain(|target| target.id != *id);
            if let Some(owner) = self.shared.owner.load_full() {
                owner.target_left(id);
            }
        }
        self.missing.retain(|(_, since_ms)| !is_over(*since_ms));
    }
}

/// Logs when the store falls silent or answers again.
pub(crate) fn note_reachability<T>(shared: &Shared, read: &Result<T, Report<AdapterError>>) {
    match read {
        Ok(_) if shared.set_store_reachable(true) => log_event!(info, StoreReachable),
        Err(error) if shared.set_store_reachable(false) => {
            log_event!(warn, StoreUnreachable, error = %error.current_context());
        }
        Ok(_) | Err(_) => {}
    }
}
