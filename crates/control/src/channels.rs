//! Channels to peers.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use parking_lot::Mutex;
use tonic::transport::{Channel, Endpoint};

const CONNECT_TIMEOUT_MS: u64 = 1_000;
const PING_INTERVAL_MS: u64 = 2_000;
const PING_TIMEOUT_MS: u64 = 2_000;

/// A channel to each peer, opened when it is first used.
#[derive(Debug)]
pub struct Channels {
    source_ip: Option<IpAddr>,
    /// Sorted by address.
    channels: Mutex<Vec<(SocketAddr, Channel)>>,
}

impl Channels {
    /// Returns no channels; connections come from `source_ip` if it is given.
    pub const fn new(source_ip: Option<IpAddr>) -> Self {
        Channels { source_ip, channels: Mutex::new(Vec::new()) }
    }

    /// Returns the channel to `addr`.
    ///
    /// The channel connects anew by itself after a failure. While calls are open, pings
    /// find a peer that is frozen or cut off, so that a call does not wait it out.
    pub fn get(&self, addr: SocketAddr) -> Channel {
        let mut channels = self.channels.lock();
        match channels.binary_search_by_key(&addr, |(addr, _)| *addr) {
            Ok(index) => channels[index].1.clone(),
            Err(index) => {
                let channel = self.open_unpooled(addr);
                channels.insert(index, (addr, channel.clone()));
                channel
            }
        }
    }

    /// Closes the channels to peers that `keep` does not name.
    pub fn retain(&self, keep: impl Fn(SocketAddr) -> bool) {
        self.channels.lock().retain(|(addr, _)| keep(*addr));
    }

    /// Returns a channel of its own to `addr`, which is not kept.
    pub fn open_unpooled(&self, addr: SocketAddr) -> Channel {
        let endpoint = Endpoint::from_shared(format!("http://{addr}"))
            .expect("an address with a port is a valid authority");
        endpoint
            .connect_timeout(Duration::from_millis(CONNECT_TIMEOUT_MS))
            .tcp_nodelay(true)
            .http2_keep_alive_interval(Duration::from_millis(PING_INTERVAL_MS))
            .keep_alive_timeout(Duration::from_millis(PING_TIMEOUT_MS))
            .local_address(self.source_ip)
            .connect_lazy()
    }
}
