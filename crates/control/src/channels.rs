//! Pool of gRPC channels to other processes.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use parking_lot::Mutex;
use tonic::transport::{Channel, Endpoint};

const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// Interval of HTTP/2 pings on a connection with open calls.
const PING_INTERVAL_MS: u64 = 2_000;
/// Time without a response to a ping after which the connection is closed.
const PING_TIMEOUT_MS: u64 = 2_000;

/// Pool of gRPC channels, one for each address, created on first use.
#[derive(Debug)]
pub struct ChannelPool {
    source_ip: Option<IpAddr>,
    /// Sorted by address.
    channels: Mutex<Vec<(SocketAddr, Channel)>>,
}

impl ChannelPool {
    /// Returns an empty pool whose connections have the source address `source_ip`, if given.
    pub const fn new(source_ip: Option<IpAddr>) -> Self {
        ChannelPool { source_ip, channels: Mutex::new(Vec::new()) }
    }

    /// Returns the pooled channel to `addr`, and creates it if there is none.
    ///
    /// The channel reconnects after a failure. While calls are open, pings detect a peer
    /// that is frozen or unreachable, so that a call fails before its own timeout.
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

    /// Removes the channels to all addresses for which `keep` returns `false`.
    pub fn retain(&self, keep: impl Fn(SocketAddr) -> bool) {
        self.channels.lock().retain(|(addr, _)| keep(*addr));
    }

    /// Returns a new channel to `addr` that isn't added to the pool.
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
