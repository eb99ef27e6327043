//! Reads the operators' configuration from the platform's store and from peers, and their requests to
//! evacuate zones from the same table.

use std::{net::IpAddr, sync::Arc, time::Duration};

use async_std::task;
use ggb_adapter::{CONFIGURATION_KEY, Configuration, VersionedRows, decode_configuration};
use ggb_telemetry::log_event;

use crate::{shared::Shared, watched_table::WatchedTable};

/// Part of the deadline for a new configuration for which the store holds a long poll open while the
/// configuration does not change. The rest is for noticing that the poll gets no answer, and for
/// reading the table on another connection.
const LONG_POLL_DEADLINE_DIVISOR: u64 = 2;

/// Minimum time for which the store holds a long poll open. Without it a deadline of a few ms would let
/// polls follow each other without a pause.
const MIN_LONG_POLL_MS: u64 = 100;

/// Delay before the store is read again after a failure.
const RETRY_DELAY_MS: u64 = 300;

/// Timeout of a request to a peer for its configuration. One with thousands of queues takes some
/// 100 ms on the links of small VMs.
const PEER_TIMEOUT_MS: u64 = 1_000;

/// Applies each new configuration until the process ends.
pub(crate) async fn watch_configuration(shared: Arc<Shared>) {
    let mut version = None;
    let mut is_behind = true;
    loop {
        let deadline_ms = shared.live_settings().configuration_deadline_ms;
        // While reads fail changes may be missed, so the next read does not wait for another one.
        let poll_ms =
            (deadline_ms / LONG_POLL_DEADLINE_DIVISOR).min(shared.max_evacuation_poll_ms());
        let wait_ms = match is_behind {
            true => 0,
            false => poll_ms.max(MIN_LONG_POLL_MS),
        };
        let requested_at_ms = shared.now_ms();
        let last_read_at_ms = shared.configuration_read.at_ms();
        let read = WatchedTable::Configuration.changes_since(&shared, version, wait_ms).await;
        is_behind = read.is_err();
        match read {
            Ok(Some(update)) => {
                shared.apply_evacuation_rows(&update, version.is_none());
                shared.record_evacuation_read(requested_at_ms, true);
                apply_rows(&shared, &update, last_read_at_ms);
                version = Some(update.version);
            }
            Ok(None) => version = None,
            Err(_) => {
                shared.record_evacuation_read(requested_at_ms, false);
                task::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
            }
        }
    }
}

fn apply_rows(shared: &Shared, update: &VersionedRows, last_read_at_ms: u64) {
    let configurations = update.rows.iter().filter(|row| row.key == CONFIGURATION_KEY);
    for value in configurations.filter_map(|row| row.value.as_deref()) {
        match decode_configuration(value) {
            Ok(configuration) => apply(shared, configuration, "store", last_read_at_ms),
            Err(error) => {
                log_event!(warn, ConfigurationUnreadable, error = %error.current_context());
            }
        }
    }
}

/// Fetches the configuration of a peer that has reported a newer version, and applies it.
pub(crate) async fn fetch_from_peer(shared: Arc<Shared>, ip: IpAddr) {
    let addr = shared.peer_addr(ip);
    let fetched = shared.http.get(addr, "/configuration", PEER_TIMEOUT_MS).await;
    shared.configuration_gossip.lock().finish_fetch();
    let reply = match fetched {
        Ok(reply) => reply,
        Err(error) => {
            let error = error.current_context();
            log_event!(warn, PeerConfigurationMissing, peer = %addr, error = %error);
            return;
        }
    };
    match serde_json::from_slice(&reply.body) {
        Ok(configuration) => {
            apply(&shared, configuration, "peer", shared.configuration_read.at_ms());
        }
        Err(error) => {
            log_event!(warn, PeerMessageInvalid, peer = %addr, error = %error);
        }
    }
}

/// Applies a configuration unless one of the same or a later version is active.
///
/// `last_read_at_ms` is the time of the last read of the store that did not bring it.
fn apply(shared: &Shared, configuration: Configuration, source: &str, last_read_at_ms: u64) {
    let version = configuration.version;
    let configuration = Arc::new(configuration);
    let mut is_newer = false;
    shared.configuration.rcu(|current| {
        is_newer = current.as_ref().is_none_or(|current| current.version < version);
        match is_newer {
            true => Some(Arc::clone(&configuration)),
            false => current.clone(),
        }
    });
    if is_newer {
        shared.configuration_gossip.lock().record_own_change();
        shared.metrics.configuration_version.set(version as i64);
        let queues = configuration.queues.len();
        let read_age_ms = shared.now_ms().saturating_sub(last_read_at_ms);
        log_event!(info, GenerationAdvanced, version, queues, source, read_age_ms);
    }
}
