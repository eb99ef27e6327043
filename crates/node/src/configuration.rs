//! The operators' configuration.

use std::{net::IpAddr, sync::Arc, time::Duration};

use async_std::task;
use ggb_adapter::{
    CONFIGURATION_KEY, CONFIGURATION_TABLE, Changes, Configuration, decode_configuration,
};
use ggb_telemetry::log_event;

use crate::{directory::note_reachability, shared::Shared};

/// How long the store may hold back its answer until something changes.
const WATCH_MS: u64 = 10_000;

/// How long the store is left alone after it did not answer.
const RETRY_PAUSE_MS: u64 = 300;

/// How long a peer may take to hand over its configuration.
const PEER_TIMEOUT_MS: u64 = 500;

/// Follows the configuration until the process ends.
pub(crate) async fn follow_configuration(shared: Arc<Shared>) {
    let mut version = None;
    loop {
        let read = shared.store().since(CONFIGURATION_TABLE, version, WATCH_MS).await;
        let result = if read.is_ok() { "answered" } else { "failed" };
        shared.metrics.store_calls.with_label_values(&["configuration", result]).inc();
        note_reachability(&shared, &read);
        match read {
            Ok(Some(changes)) => {
                shared.configuration_confirmed.confirm(shared.now_ms());
                apply_rows(&shared, &changes);
                version = Some(changes.version);
            }
            Ok(None) => {
                log_event!(warn, HistoryLost, table = CONFIGURATION_TABLE);
                version = None;
            }
            Err(_) => {
                // A watch that broke may have missed changes that peers know by now.
                task::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
            }
        }
    }
}

fn apply_rows(shared: &Shared, changes: &Changes) {
    let configurations = changes.rows.iter().filter(|row| row.key == CONFIGURATION_KEY);
    for value in configurations.filter_map(|row| row.value.as_deref()) {
        match decode_configuration(value) {
            Ok(configuration) => apply(shared, configuration, "store"),
            Err(error) => {
                log_event!(warn, ConfigurationUnreadable, error = %error.current_context());
            }
        }
    }
}

/// Asks a peer for its configuration, which is newer than this process's.
pub(crate) async fn fetch_from_peer(shared: Arc<Shared>, ip: IpAddr) {
    let addr = shared.peer_addr(ip);
    let Ok(reply) = shared.http.fetch(addr, "/configuration", PEER_TIMEOUT_MS).await else {
        return;
    };
    match serde_json::from_slice(&reply.body) {
        Ok(configuration) => apply(&shared, configuration, "peer"),
        Err(error) => {
            log_event!(warn, PeerMessageInvalid, peer = %addr, error = %error);
        }
    }
}

/// Puts a configuration in force unless one that is as new is in force already.
fn apply(shared: &Shared, configuration: Configuration, source: &str) {
    let version = configuration.version;
    let configuration = Arc::new(configuration);
    let mut advanced = false;
    shared.configuration.rcu(|current| {
        advanced = current.as_ref().is_none_or(|current| current.version < version);
        match advanced {
            true => Some(Arc::clone(&configuration)),
            false => current.clone(),
        }
    });
    if advanced {
        shared.metrics.configuration_version.set(version as i64);
        let queues = configuration.queues.len();
        log_event!(info, GenerationAdvanced, version, queues, source);
    }
}
