//! HTTP client that reuses connections.

use std::{
    io,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use async_std::{future::timeout, net::TcpStream, task};
use error_stack::{Report, ResultExt as _};
use futures::{
    FutureExt as _,
    future::{BoxFuture, Either, select},
    pin_mut,
};
use ggb_model::Step;
use http_types::{Method, Request, StatusCode, Url, headers::CONNECTION, mime};
use parking_lot::Mutex;
use tokio::net::TcpSocket;

use crate::{HttpError, Sent, body::read_to_end};

/// Part of the timeout of a read after which it is repeated on a new connection.
const REPEAT_TIMEOUT_DIVISOR: u64 = 3;

/// Options of a client: its limits and the address that it connects from.
#[derive(Clone, Debug)]
pub struct ClientOptions {
    /// Time after which opening a connection fails.
    pub connect_timeout_ms: u64,
    /// Maximum size of a response's body.
    pub max_body_bytes: usize,
    /// Maximum number of idle connections kept open to one peer.
    pub max_idle_per_peer: usize,
    /// Local address of outgoing connections; the system chooses one if it is absent.
    pub source_ip: Option<IpAddr>,
}

impl Default for ClientOptions {
    fn default() -> Self {
        ClientOptions {
            connect_timeout_ms: 1_000,
            max_body_bytes: 64 << 20,
            max_idle_per_peer: 64,
            source_ip: None,
        }
    }
}

/// A response whose body has been read to its end.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Status code of the response.
    pub status: StatusCode,
    /// Whole body of the response.
    pub body: Vec<u8>,
}

/// A request in progress, on the heap, since its state takes some 12 kB.
type ReplyFuture<'a> = BoxFuture<'a, Result<Reply, Report<HttpError>>>;

/// Idle connections to one peer.
#[derive(Debug)]
struct IdleConnections {
    peer: SocketAddr,
    streams: Vec<TcpStream>,
}

/// HTTP client that keeps connections open for later requests to the same peer.
#[derive(Debug)]
pub struct HttpClient {
    options: ClientOptions,
    /// Connections without a request in progress, sorted by peer address.
    idle: Mutex<Vec<IdleConnections>>,
    /// Number of reads that only a new connection answered, sorted by peer address.
    silent_peers: Mutex<Vec<(SocketAddr, u32)>>,
}

impl HttpClient {
    /// Returns a client without open connections.
    pub const fn new(options: ClientOptions) -> Self {
        HttpClient { options, idle: Mutex::new(Vec::new()), silent_peers: Mutex::new(Vec::new()) }
    }

    /// Sends a GET request for `path` and reads the whole response.
    ///
    /// An open connection may have gone silent while new ones work. Therefore a request without a
    /// response after a third of `timeout_ms` is repeated on a new connection, and the first
    /// response counts.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`HttpClient::send`].
    pub async fn get(
        &self,
        addr: SocketAddr,
        path: &str,
        timeout_ms: u64,
    ) -> Result<Reply, Report<HttpError>> {
        let repeat_after_ms = timeout_ms / REPEAT_TIMEOUT_DIVISOR;
        let send = |timeout_ms| self.send(addr, Method::Get, path, Vec::new(), timeout_ms).boxed();
        let first = send(timeout_ms);
        let second = || send(timeout_ms - repeat_after_ms);
        self.first_reply(addr, first, repeat_after_ms, second).await
    }

    /// Sends a GET request that the peer may hold open for `wait_ms`, and reads the whole response.
    ///
    /// `paths` are the path that waits and the one that asks for the same without waiting. The second
    /// is read, as by [`HttpClient::get`], if the first has no response `wait_ms` and a third of
    /// `timeout_ms` after it was sent: nobody else may notice that its connection has gone silent.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`HttpClient::send`].
    pub async fn long_poll(
        &self,
        addr: SocketAddr,
        (waiting_path, immediate_path): (&str, &str),
        wait_ms: u64,
        timeout_ms: u64,
    ) -> Result<Reply, Report<HttpError>> {
        let repeat_after_ms = wait_ms + timeout_ms / REPEAT_TIMEOUT_DIVISOR;
        let poll = self.send(addr, Method::Get, waiting_path, Vec::new(), wait_ms + timeout_ms);
        let read = || self.get(addr, immediate_path, timeout_ms).boxed();
        self.first_reply(addr, poll.boxed(), repeat_after_ms, read).await
    }

    /// Returns the response to `first`. If there is none after `repeat_after_ms`, closes the idle
    /// connections to the peer, so that `second` opens a new one, and returns the response that
    /// arrives first.
    async fn first_reply<'a>(
        &self,
        addr: SocketAddr,
        first: ReplyFuture<'a>,
        repeat_after_ms: u64,
        second: impl FnOnce() -> ReplyFuture<'a>,
    ) -> Result<Reply, Report<HttpError>> {
        let repeat = task::sleep(Duration::from_millis(repeat_after_ms)).boxed();
        let first = match select(first, repeat).await {
            Either::Left((result, _)) => return result,
            Either::Right(((), first)) => first,
        };
        self.close_idle(addr);
        match select(first, second()).await {
            Either::Left((Ok(reply), _)) => Ok(reply),
            Either::Left((Err(_), second)) => second.await,
            Either::Right((Ok(reply), _)) => {
                self.record_silent_peer(addr);
                Ok(reply)
            }
            Either::Right((Err(_), first)) => first.await,
        }
    }

    /// Returns the peers of which a new connection answered a read that an open one did not, with
    /// the number of such reads since the last call.
    pub fn take_silent_peers(&self) -> Vec<(SocketAddr, u32)> {
        std::mem::take(&mut *self.silent_peers.lock())
    }

    fn record_silent_peer(&self, addr: SocketAddr) {
        let mut peers = self.silent_peers.lock();
        match peers.binary_search_by_key(&addr, |(peer, _)| *peer) {
            Ok(index) => peers[index].1 += 1,
            Err(index) => peers.insert(index, (addr, 1)),
        }
    }

    /// Sends a POST request with a JSON body and reads the whole response.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`HttpClient::send`].
    pub async fn post(
        &self,
        addr: SocketAddr,
        path: &str,
        body: Vec<u8>,
        timeout_ms: u64,
    ) -> Result<Reply, Report<HttpError>> {
        self.send(addr, Method::Post, path, body, timeout_ms).await
    }

    /// Sends a request and reads the whole response.
    ///
    /// `timeout_ms` limits the time from the first byte of the request to the last byte of
    /// the response; opening a connection has a limit of its own. A `body` that isn't empty
    /// is sent as JSON.
    ///
    /// # Errors
    ///
    /// [`HttpError::sent`] tells whether the peer may have received the request.
    pub async fn send(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        body: Vec<u8>,
        timeout_ms: u64,
    ) -> Result<Reply, Report<HttpError>> {
        self.send_with_headers(addr, method, path, &[], body, timeout_ms).await
    }

    /// Sends a request with additional headers and reads the whole response.
    ///
    /// If the response doesn't arrive in time, the idle connections to the peer are closed as
    /// well: the cause may affect all existing connections, while a new one may get through.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`HttpClient::send`], and one if the value of a header contains other
    /// characters than visible ASCII and spaces.
    pub async fn send_with_headers(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
        timeout_ms: u64,
    ) -> Result<Reply, Report<HttpError>> {
        let path_error =
            || HttpError::new(Step::Validate, addr, Sent::No, "the path does not form a valid URL");
        let url = Url::parse(&format!("http://{addr}{path}")).change_context_lazy(path_error)?;
        let mut request = Request::new(method, url);
        if !body.is_empty() {
            request.set_body(body);
            request.set_content_type(mime::JSON);
        }
        for (name, value) in headers {
            if !value.bytes().all(|byte| byte == b' ' || byte.is_ascii_graphic()) {
                let message = format!("header {name}: got {value:?}, expected visible ASCII");
                return Err(HttpError::new(Step::Validate, addr, Sent::No, message).into());
            }
            request.insert_header(*name, *value);
        }
        let stream = self.acquire_stream(addr).await?;
        let exchange = self.exchange(addr, stream, request);
        match timeout(Duration::from_millis(timeout_ms), exchange).await {
            Ok(result) => result,
            Err(elapsed) => {
                self.close_idle(addr);
                let message = "no response before the timeout";
                let error = HttpError::new(Step::Receive, addr, Sent::Maybe, message);
                Err(Report::new(elapsed).change_context(error))
            }
        }
    }

    /// Closes the idle connections to a peer.
    pub fn close_idle(&self, addr: SocketAddr) {
        let mut idle = self.idle.lock();
        if let Ok(index) = idle.binary_search_by_key(&addr, |entry| entry.peer) {
            idle.remove(index);
        }
    }

    /// Sends a request on `stream` and reads the response.
    ///
    /// The connection becomes idle afterwards unless the peer asks to close it.
    async fn exchange(
        &self,
        addr: SocketAddr,
        stream: TcpStream,
        request: Request,
    ) -> Result<Reply, Report<HttpError>> {
        let exchange_error = |error: http_types::Error| {
            Report::new(HttpError::new(Step::Receive, addr, Sent::Maybe, error))
        };
        let mut response =
            async_h1::connect(stream.clone(), request).await.map_err(exchange_error)?;
        let declared_length = response.len();
        let body =
            read_to_end(response.take_body(), declared_length, self.options.max_body_bytes).await?;
        let is_closing = response.header(CONNECTION).is_some_and(|value| value.as_str() == "close");
        if !is_closing {
            self.put_idle(addr, stream);
        }
        Ok(Reply { status: response.status(), body })
    }

    /// Returns an idle connection that is still open, or else opens a new one.
    async fn acquire_stream(&self, addr: SocketAddr) -> Result<TcpStream, Report<HttpError>> {
        while let Some(stream) = self.take_idle(addr) {
            if is_open(&stream) {
                return Ok(stream);
            }
        }
        let connect_error =
            || HttpError::new(Step::Connect, addr, Sent::No, "could not open a connection");
        let connect_timeout = Duration::from_millis(self.options.connect_timeout_ms);
        let connected = timeout(connect_timeout, connect(addr, self.options.source_ip)).await;
        let stream =
            connected.change_context_lazy(connect_error)?.change_context_lazy(connect_error)?;
        stream.set_nodelay(true).change_context_lazy(connect_error)?;
        Ok(stream)
    }

    fn take_idle(&self, addr: SocketAddr) -> Option<TcpStream> {
        let mut idle = self.idle.lock();
        let index = idle.binary_search_by_key(&addr, |entry| entry.peer).ok()?;
        idle[index].streams.pop()
    }

    /// Keeps a connection for reuse, or closes it if enough idle ones are open to the peer.
    fn put_idle(&self, addr: SocketAddr, stream: TcpStream) {
        let mut idle = self.idle.lock();
        let found = idle.binary_search_by_key(&addr, |entry| entry.peer);
        let index = found.unwrap_or_else(|index| {
            idle.insert(index, IdleConnections { peer: addr, streams: Vec::new() });
            index
        });
        if idle[index].streams.len() < self.options.max_idle_per_peer {
            idle[index].streams.push(stream);
        }
    }
}

/// Opens a connection, with the source address `source_ip` if given.
async fn connect(addr: SocketAddr, source_ip: Option<IpAddr>) -> io::Result<TcpStream> {
    let Some(source_ip) = source_ip else { return TcpStream::connect(addr).await };
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind(SocketAddr::new(source_ip, 0))?;
    Ok(socket.connect(addr).await?.into_std()?.into())
}

/// Returns whether the peer has neither closed an idle connection nor written to it.
///
/// Checked before the first byte of a request is written: a request that fails on a
/// connection closed by the peer would have to count as possibly sent.
fn is_open(stream: &TcpStream) -> bool {
    let mut byte = [0];
    let peek = stream.peek(&mut byte);
    pin_mut!(peek);
    peek.now_or_never().is_none()
}
