//! Pooled client.

use std::{
    io,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use async_std::{future::timeout, net::TcpStream};
use error_stack::{Report, ResultExt as _};
use futures::{FutureExt as _, pin_mut};
use ggb_model::Step;
use http_types::{Method, Request, StatusCode, Url, headers::CONNECTION, mime};
use parking_lot::Mutex;
use tokio::net::TcpSocket;

use crate::{HttpError, Sent, body::read_to_end};

/// Bounds of a client.
#[derive(Clone, Debug)]
pub struct ClientLimits {
    /// How long opening a connection may take.
    pub connect_timeout_ms: u64,
    /// The most bytes of a response's body.
    pub body_bytes: usize,
    /// The most idle connections to one peer.
    pub idle_per_peer: usize,
    /// The address that connections come from, if not left to the system.
    pub source_ip: Option<IpAddr>,
}

impl Default for ClientLimits {
    fn default() -> Self {
        ClientLimits {
            connect_timeout_ms: 1_000,
            body_bytes: 64 << 20,
            idle_per_peer: 64,
            source_ip: None,
        }
    }
}

/// A response, read to its end.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The status.
    pub status: StatusCode,
    /// The body.
    pub body: Vec<u8>,
}

#[derive(Debug)]
struct IdlePeer {
    addr: SocketAddr,
    streams: Vec<TcpStream>,
}

/// Sends requests over connections that it keeps for the next one.
#[derive(Debug)]
pub struct HttpClient {
    limits: ClientLimits,
    /// Sorted by address.
    idle: Mutex<Vec<IdlePeer>>,
}

impl HttpClient {
    /// Returns a client without connections.
    pub const fn new(limits: ClientLimits) -> Self {
        HttpClient { limits, idle: Mutex::new(Vec::new()) }
    }

    /// Sends a GET request for `path`.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::send`].
    pub async fn fetch(
        &self,
        addr: SocketAddr,
        path: &str,
        timeout_ms: u64,
    ) -> Result<Reply, Report<HttpError>> {
        self.send(addr, Method::Get, path, Vec::new(), timeout_ms).await
    }

    /// Sends a POST request with a JSON body.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::send`].
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
    /// # Errors
    ///
    /// [`HttpError::sent`] says whether the peer may have seen the request.
    pub async fn send(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        body: Vec<u8>,
        timeout_ms: u64,
    ) -> Result<Reply, Report<HttpError>> {
        self.send_with(addr, method, path, &[], body, timeout_ms).await
    }

    /// Sends a request with headers of the caller's own and reads the whole response.
    ///
    /// When there is no response in time, the idle connections to the peer are closed too:
    /// what silenced one may have silenced all, while a new one gets through.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::send`].
    pub async fn send_with(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
        timeout_ms: u64,
    ) -> Result<Reply, Report<HttpError>> {
        let invalid = || HttpError::new(Step::Validate, addr, Sent::No, "expected a valid path");
        let url = Url::parse(&format!("http://{addr}{path}")).change_context_lazy(invalid)?;
        let mut request = Request::new(method, url);
        if !body.is_empty() {
            request.set_body(body);
            request.set_content_type(mime::JSON);
        }
        for (name, value) in headers {
            request.insert_header(*name, *value);
        }
        let stream = self.stream_to(addr).await?;
        let exchange = self.exchange(addr, stream, request);
        match timeout(Duration::from_millis(timeout_ms), exchange).await {
            Ok(result) => result,
            Err(late) => {
                self.close_idle(addr);
                let message = "no response in time";
                let error = HttpError::new(Step::Receive, addr, Sent::Maybe, message);
                Err(Report::new(late).change_context(error))
            }
        }
    }

    /// Closes the idle connections to a peer.
    pub fn close_idle(&self, addr: SocketAddr) {
        let mut idle = self.idle.lock();
        if let Ok(at) = idle.binary_search_by_key(&addr, |peer| peer.addr) {
            idle.remove(at);
        }
    }

    async fn exchange(
        &self,
        addr: SocketAddr,
        stream: TcpStream,
        request: Request,
    ) -> Result<Reply, Report<HttpError>> {
        let broken = |error: http_types::Error| {
            Report::new(HttpError::new(Step::Receive, addr, Sent::Maybe, error))
        };
        let mut response = async_h1::connect(stream.clone(), request).await.map_err(broken)?;
        let declared = response.len();
        let body = read_to_end(response.take_body(), declared, self.limits.body_bytes).await?;
        let closing = response.header(CONNECTION).is_some_and(|value| value.as_str() == "close");
        if !closing {
            self.keep(addr, stream);
        }
        Ok(Reply { status: response.status(), body })
    }

    async fn stream_to(&self, addr: SocketAddr) -> Result<TcpStream, Report<HttpError>> {
        while let Some(stream) = self.take_idle(addr) {
            if is_open(&stream) {
                return Ok(stream);
            }
        }
        let failed = || HttpError::new(Step::Connect, addr, Sent::No, "no connection");
        let limit = Duration::from_millis(self.limits.connect_timeout_ms);
        let connected = timeout(limit, connect(addr, self.limits.source_ip)).await;
        let stream = connected.change_context_lazy(failed)?.change_context_lazy(failed)?;
        stream.set_nodelay(true).change_context_lazy(failed)?;
        Ok(stream)
    }

    fn take_idle(&self, addr: SocketAddr) -> Option<TcpStream> {
        let mut idle = self.idle.lock();
        let at = idle.binary_search_by_key(&addr, |peer| peer.addr).ok()?;
        idle[at].streams.pop()
    }

    fn keep(&self, addr: SocketAddr, stream: TcpStream) {
        let mut idle = self.idle.lock();
        let found = idle.binary_search_by_key(&addr, |peer| peer.addr);
        let at = found.unwrap_or_else(|at| {
            idle.insert(at, IdlePeer { addr, streams: Vec::new() });
            at
        });
        if idle[at].streams.len() < self.limits.idle_per_peer {
            idle[at].streams.push(stream);
        }
    }
}

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
/// A request on a connection that the peer has closed would have to count as
/// possibly sent, so this is looked at before the first byte.
fn is_open(stream: &TcpStream) -> bool {
    let mut byte = [0];
    let peek = stream.peek(&mut byte);
    pin_mut!(peek);
    peek.now_or_never().is_none()
}
