//! A relay that forwards TCP and UDP traffic to processes and injects network faults.

use std::{
    net::{IpAddr, SocketAddr},
    sync::{
        Arc, Weak,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use async_channel::{Receiver, Sender};
use async_std::{
    io::{ReadExt as _, WriteExt as _},
    net::{Shutdown, TcpListener, TcpStream, UdpSocket},
    task,
};
use error_stack::{Report, ResultExt as _};
use futures::{
    future::{Either, select},
    pin_mut,
};
use parking_lot::{Mutex, RwLock};

const MAX_CHUNK_BYTES: usize = 64 << 10;
const MAX_QUEUED_CHUNKS: usize = 64;

/// Interval at which traffic that a rule cuts checks whether the rule is gone.
const CUT_POLL_MS: u64 = 10;

/// Interval at which an open connection checks whether a rule resets it.
const RESET_POLL_MS: u64 = 50;

const MAX_DATAGRAM_BYTES: usize = 64 << 10;

/// A set of addresses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Endpoints {
    /// Every address.
    Any,
    /// All IPv4 addresses with this third octet, which identifies an availability zone.
    Zone(u8),
    /// One address.
    Ip(IpAddr),
}

impl Endpoints {
    fn contains(&self, ip: IpAddr) -> bool {
        match (self, ip) {
            (Endpoints::Any, _) => true,
            (Endpoints::Zone(zone), IpAddr::V4(ip)) => ip.octets()[2] == *zone,
            (Endpoints::Zone(_), IpAddr::V6(_)) => false,
            (Endpoints::Ip(endpoint), ip) => *endpoint == ip,
        }
    }
}

/// Fault that a rule injects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkEffect {
    /// Holds back the bytes of connections until the rule is removed, like a network that drops
    /// packets, and drops datagrams.
    Cut,
    /// Delays delivery.
    Delay {
        /// Delay in this direction.
        delay_us: u64,
    },
    /// Breaks open connections, and new ones when they are opened.
    Reset,
}

/// Rule for the traffic of one direction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkRule {
    /// Endpoints that the traffic comes from.
    pub from: Endpoints,
    /// Endpoints that the traffic goes to.
    pub to: Endpoints,
    /// Fault to inject.
    pub effect: LinkEffect,
}

/// Set of listeners, each of which forwards to one process, and the rules for all of them.
///
/// Rules match the source address of the connecting process and the address forwarded to. A
/// clone shares the rules.
#[derive(Clone, Default)]
pub struct Relay {
    rules: Arc<RwLock<Vec<LinkRule>>>,
    links: Arc<Mutex<Vec<Weak<Link>>>>,
}

/// An open connection through the relay.
struct Link {
    /// Address that the connection comes from.
    source: IpAddr,
    /// Address forwarded to.
    upstream: IpAddr,
    /// Whether the connection stays open but delivers nothing more.
    is_silent: AtomicBool,
}

/// Failure to bind a listener of a relay.
#[derive(Debug)]
pub struct RelayError {
    addr: SocketAddr,
}

impl std::fmt::Display for RelayError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "bind: {}: the address can't be bound", self.addr)
    }
}

impl std::error::Error for RelayError {}

impl Relay {
    /// Listens on `listen` and forwards connections to `upstream`.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn bind(
        &self,
        listen: SocketAddr,
        upstream: SocketAddr,
    ) -> Result<(), Report<RelayError>> {
        let bind_error = || RelayError { addr: listen };
        let listener = TcpListener::bind(listen).await.change_context_lazy(bind_error)?;
        task::spawn(accept(self.clone(), listener, upstream));
        Ok(())
    }

    /// Listens for datagrams on `listen` and forwards them to `upstream`.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn bind_datagrams(
        &self,
        listen: SocketAddr,
        upstream: SocketAddr,
    ) -> Result<(), Report<RelayError>> {
        let bind_error = || RelayError { addr: listen };
        let socket = UdpSocket::bind(listen).await.change_context_lazy(bind_error)?;
        task::spawn(forward_datagrams(self.clone(), Arc::new(socket), upstream));
        Ok(())
    }

    /// Adds a rule.
    pub fn add(&self, rule: LinkRule) {
        self.rules.write().push(rule);
    }

    /// Removes all rules that are equal to `rule`.
    pub fn remove(&self, rule: &LinkRule) {
        self.rules.write().retain(|other| other != rule);
    }

    /// Silences the connections between the endpoints that are open now: they stay open, but deliver
    /// nothing more in either direction. Returns their number.
    pub fn silence_open_connections(&self, from: &Endpoints, to: &Endpoints) -> usize {
        let mut links = self.links.lock();
        links.retain(|link| link.strong_count() > 0);
        let open = links.iter().filter_map(Weak::upgrade);
        let matching = open.filter(|link| from.contains(link.source) && to.contains(link.upstream));
        matching.map(|link| link.is_silent.store(true, Ordering::Relaxed)).count()
    }

    /// Registers a connection that has been opened.
    fn open_link(&self, source: IpAddr, upstream: IpAddr) -> Arc<Link> {
        let link = Arc::new(Link { source, upstream, is_silent: AtomicBool::new(false) });
        self.links.lock().push(Arc::downgrade(&link));
        link
    }

    fn is_cut(&self, from: IpAddr, to: IpAddr) -> bool {
        self.has_rule(from, to, |effect| effect == LinkEffect::Cut)
    }

    /// Returns whether a rule for this direction has an effect for which `is_wanted` is true.
    fn has_rule(&self, from: IpAddr, to: IpAddr, is_wanted: impl Fn(LinkEffect) -> bool) -> bool {
        let rules = self.rules.read();
        let mut matching =
            rules.iter().filter(|rule| rule.from.contains(from) && rule.to.contains(to));
        matching.any(|rule| is_wanted(rule.effect))
    }

    /// Returns the longest delay of the rules for this direction, or zero if there are none.
    fn delay(&self, from: IpAddr, to: IpAddr) -> Duration {
        let rules = self.rules.read();
        let matching = rules.iter().filter(|rule| rule.from.contains(from) && rule.to.contains(to));
        let delays = matching.filter_map(|rule| match rule.effect {
            LinkEffect::Delay { delay_us } => Some(delay_us),
            LinkEffect::Cut | LinkEffect::Reset => None,
        });
        Duration::from_micros(delays.max().unwrap_or(0))
    }

    fn is_reset(&self, from: IpAddr, to: IpAddr) -> bool {
        self.has_rule(from, to, |effect| effect == LinkEffect::Reset)
    }

    async fn wait_until_reset(&self, from: IpAddr, to: IpAddr) {
        while !self.is_reset(from, to) {
            task::sleep(Duration::from_millis(RESET_POLL_MS)).await;
        }
    }

    async fn wait_while_cut(&self, from: IpAddr, to: IpAddr) {
        while self.is_cut(from, to) {
            task::sleep(Duration::from_millis(CUT_POLL_MS)).await;
        }
    }
}

async fn accept(relay: Relay, listener: TcpListener, upstream: SocketAddr) {
    loop {
        let Ok((stream, source)) = listener.accept().await else { continue };
        task::spawn(forward_connection(relay.clone(), stream, source.ip(), upstream));
    }
}

/// Connects to `upstream` and forwards bytes in both directions until the connection ends or a
/// rule resets it.
async fn forward_connection(relay: Relay, client: TcpStream, source: IpAddr, upstream: SocketAddr) {
    relay.wait_while_cut(source, upstream.ip()).await;
    relay.wait_while_cut(upstream.ip(), source).await;
    if relay.is_reset(source, upstream.ip()) {
        return;
    }
    let Ok(server) = TcpStream::connect(upstream).await else { return };
    if client.set_nodelay(true).is_err() || server.set_nodelay(true).is_err() {
        return;
    }
    let link = relay.open_link(source, upstream.ip());
    let requests = Direction { link: Arc::clone(&link), from: source, to: upstream.ip() };
    task::spawn(forward_bytes(relay.clone(), client.clone(), server.clone(), requests));
    let responses = Direction { link, from: upstream.ip(), to: source };
    let responses = forward_bytes(relay.clone(), server.clone(), client.clone(), responses);
    let reset = relay.wait_until_reset(source, upstream.ip());
    pin_mut!(responses, reset);
    if let Either::Right(_) = select(responses, reset).await {
        for stream in [client, server] {
            // Fails if the connection has already ended.
            stream.shutdown(Shutdown::Both).ok();
        }
    }
}

/// Forwards the datagrams that arrive on `socket`; replies are not forwarded.
async fn forward_datagrams(relay: Relay, socket: Arc<UdpSocket>, upstream: SocketAddr) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((count, source)) = socket.recv_from(&mut buffer).await else { continue };
        if relay.is_cut(source.ip(), upstream.ip()) {
            continue;
        }
        let delay = relay.delay(source.ip(), upstream.ip());
        let (socket, datagram) = (Arc::clone(&socket), buffer[..count].to_vec());
        task::spawn(async move {
            if !delay.is_zero() {
                task::sleep(delay).await;
            }
            // A datagram that can't be sent is lost, as it may be on a network.
            socket.send_to(&datagram, upstream).await.ok();
        });
    }
}

/// One direction of a connection.
#[derive(Clone)]
struct Direction {
    link: Arc<Link>,
    from: IpAddr,
    to: IpAddr,
}

impl Direction {
    fn is_silent(&self) -> bool {
        self.link.is_silent.load(Ordering::Relaxed)
    }
}

/// Bytes to forward in one write.
struct Chunk {
    /// Earliest time of delivery.
    due: Instant,
    bytes: Vec<u8>,
}

/// Reads bytes from one side of a connection and queues them for delivery to the other.
async fn forward_bytes(relay: Relay, mut read: TcpStream, write: TcpStream, direction: Direction) {
    let (sender, receiver) = async_channel::bounded(MAX_QUEUED_CHUNKS);
    task::spawn(deliver_chunks(relay.clone(), receiver, write, direction.clone()));
    let mut buffer = vec![0; MAX_CHUNK_BYTES];
    while let Ok(count @ 1..) = read.read(&mut buffer).await {
        let due = Instant::now() + relay.delay(direction.from, direction.to);
        if queue_chunk(&sender, Chunk { due, bytes: buffer[..count].to_vec() }).await.is_none() {
            return;
        }
    }
}

/// Queues a chunk; returns `None` if delivery has ended.
async fn queue_chunk(sender: &Sender<Chunk>, chunk: Chunk) -> Option<()> {
    sender.send(chunk).await.ok()
}

/// Writes queued chunks when they are due and no rule cuts their direction, and closes that
/// direction after the last one. Drops them, and the end too, if the connection is silent.
async fn deliver_chunks(
    relay: Relay,
    receiver: Receiver<Chunk>,
    mut write: TcpStream,
    direction: Direction,
) {
    let (from, to) = (direction.from, direction.to);
    while let Ok(chunk) = receiver.recv().await {
        let remaining = chunk.due.saturating_duration_since(Instant::now());
        if !remaining.is_zero() {
            task::sleep(remaining).await;
        }
        relay.wait_while_cut(from, to).await;
        if !direction.is_silent() && write.write_all(&chunk.bytes).await.is_err() {
            return;
        }
    }
    relay.wait_while_cut(from, to).await;
    if direction.is_silent() {
        return;
    }
    write.shutdown(Shutdown::Write).ok();
}
