//! The configuration in force, updated from the state table of the platform's store and from peers.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwapOption;
use async_std::task;
use ggb_config::{Generation, Snapshot};
use ggb_platform::ProfileStore;
use ggb_telemetry::log_event;
use parking_lot::Mutex;

/// Interval at which the state table of the platform's store is polled for a newer generation.
const POLL_INTERVAL_MS: u64 = 1_500;

/// The configuration in force, updated in the background.
///
/// The generation in force never decreases.
pub struct Configuration {
    published: ArcSwapOption<Snapshot>,
    /// Serializes installations, so that a lower generation can't replace a higher one.
    install_lock: Mutex<()>,
    store_reachable: AtomicBool,
}

impl Configuration {
    /// Returns a handle without a configuration and starts to poll the platform's store.
    pub fn spawn(store: ProfileStore) -> Arc<Self> {
        let configuration = Arc::new(Configuration {
            published: ArcSwapOption::empty(),
            install_lock: Mutex::new(()),
            store_reachable: AtomicBool::new(true),
        });
        task::spawn(Arc::clone(&configuration).poll(store));
        configuration
    }

    /// Returns the configuration in force, if there is one.
    pub fn snapshot(&self) -> Option<Arc<Snapshot>> {
        self.published.load_full()
    }

    /// Returns the generation in force, if there is a configuration.
    pub fn generation(&self) -> Option<Generation> {
        self.published.load().as_ref().map(|snapshot| snapshot.generation())
    }

    /// Returns whether the platform's store could be reached at the last attempt.
    pub fn is_store_reachable(&self) -> bool {
        self.store_reachable.load(Ordering::Relaxed)
    }

    /// Installs a configuration from the store or a peer if its generation is newer.
    pub fn install_if_newer(&self, newer: Snapshot, source: ConfigurationSource) {
        let _install_guard = self.install_lock.lock();
        let mut current = self.snapshot().map(|snapshot| (*snapshot).clone());
        let replaced = match &mut current {
            Some(current) => current.replace_if_newer(newer),
            None => {
                current = Some(newer);
                true
            }
        };
        if let Some(snapshot) = current.filter(|_| replaced) {
            let generation = snapshot.generation().0;
            self.published.store(Some(Arc::new(snapshot)));
            log_event!(info, GenerationAdvanced, generation, source = %source);
        }
    }

    async fn poll(self: Arc<Self>, store: ProfileStore) {
        loop {
            self.poll_once(&store).await;
            task::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
    }

    async fn poll_once(&self, store: &ProfileStore) {
        let result = match store.head_generation().await {
            Ok(head) if self.generation() == Some(head.unwrap_or_default()) => {
                return self.mark_store_reachable();
            }
            Ok(_) => store.snapshot().await,
            Err(error) => Err(error),
        };
        match result {
            Ok(Ok(snapshot)) => {
                self.mark_store_reachable();
                self.install_if_newer(snapshot, ConfigurationSource::Table);
            }
            Ok(Err(error)) => log_event!(error, ConfigurationUnreadable, %error),
            Err(error) => {
                if self.store_reachable.swap(false, Ordering::Relaxed) {
                    log_event!(warn, TableUnreachable, %error);
                }
            }
        }
    }

    fn mark_store_reachable(&self) {
        if !self.store_reachable.swap(true, Ordering::Relaxed) {
            log_event!(info, TableReachable);
        }
    }
}

/// Origin of a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigurationSource {
    /// The state table of the platform's store.
    Table,
    /// A peer, by its address.
    Peer(SocketAddr),
}

impl std::fmt::Display for ConfigurationSource {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ConfigurationSource::Table => f.write_str("table"),
            ConfigurationSource::Peer(addr) => addr.fmt(f),
        }
    }
}
