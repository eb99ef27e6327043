//! Decides when a process fetches a newer configuration from a peer.

/// Time for which a newer version must have been known before a process that has a configuration
/// fetches it from a peer. The store usually delivers it earlier.
const STORE_LEAD_MS: u64 = 250;

/// Limits the fetches that heartbeats with a newer configuration version cause.
///
/// While a large configuration spreads, each process receives hundreds of such heartbeats a second.
/// A fetch for each would fill the links of small VMs for seconds, and delay the very version that
/// the store sends. Therefore one fetch runs at a time, and only if the store does not deliver.
#[derive(Clone, Copy, Debug, Default)]
pub struct VersionGossip {
    /// Time at which a peer first reported a version newer than the own one.
    behind_since_ms: Option<u64>,
    is_fetching: bool,
}

impl VersionGossip {
    /// Returns a state without reported versions.
    pub const fn new() -> Self {
        VersionGossip { behind_since_ms: None, is_fetching: false }
    }

    /// Records the version that a peer reports. Returns whether to fetch it from this peer now.
    ///
    /// After `true` no other fetch is due until [`VersionGossip::finish_fetch`] is called.
    pub fn record_version(&mut self, own_version: u64, peer_version: u64, now_ms: u64) -> bool {
        if peer_version <= own_version {
            return false;
        }
        let behind_since_ms = *self.behind_since_ms.get_or_insert(now_ms);
        // Without any configuration a process can't serve its callers.
        let lead_ms = if own_version == 0 { 0 } else { STORE_LEAD_MS };
        let fetches = !self.is_fetching && now_ms >= behind_since_ms + lead_ms;
        self.is_fetching |= fetches;
        fetches
    }

    /// Records the version under which a peer has sent a job. Returns whether to fetch it from this peer
    /// now, without a lead for the store: targets are about to see work of that version from this
    /// process, which must not handle later requests under an older one.
    ///
    /// After `true` no other fetch is due until [`VersionGossip::finish_fetch`] is called.
    pub const fn record_version_in_use(&mut self, own_version: u64, peer_version: u64) -> bool {
        let fetches = peer_version > own_version && !self.is_fetching;
        self.is_fetching |= fetches;
        fetches
    }

    /// Records that the own version has changed.
    pub const fn record_own_change(&mut self) {
        self.behind_since_ms = None;
    }

    /// Records that a fetch has ended, whether or not it brought a newer version.
    pub const fn finish_fetch(&mut self) {
        self.is_fetching = false;
    }
}
