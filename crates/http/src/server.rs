//! Bounded server.

use std::{
    future::Future,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use async_channel::{Receiver, Sender};
use async_h1::server::{ConnectionStatus, Encoder, Server};
use async_std::{
    io,
    net::{TcpListener, TcpStream},
    task,
};
use error_stack::{Report, ResultExt as _};
use futures::{
    FutureExt as _,
    future::{BoxFuture, Either, select},
    pin_mut,
};
use ggb_model::Step;
use http_types::{Method, Request, Response, StatusCode, headers::CONNECTION};

use crate::{HttpError, Sent, text_response};

const ACCEPT_PAUSE_MS: u64 = 10;
const IDLE_POLL_MS: u64 = 50;

/// Answers one request.
pub trait Handler: Send + Sync + 'static {
    /// Returns the response; every failure is a response too.
    fn handle(&self, request: Request) -> BoxFuture<'static, Response>;
}

impl<F, Fut> Handler for F
where
    F: Fn(Request) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Response> + Send + 'static,
{
    fn handle(&self, request: Request) -> BoxFuture<'static, Response> {
        self(request).boxed()
    }
}

/// Bounds of a server.
#[derive(Clone, Debug)]
pub struct ServerLimits {
    /// The most open connections; more are closed at once.
    pub connections: usize,
}

impl Default for ServerLimits {
    fn default() -> Self {
        ServerLimits { connections: 4_096 }
    }
}

#[derive(Debug)]
struct Shared {
    /// Closed when the server stops.
    stop: Receiver<()>,
    connections: AtomicUsize,
    requests: AtomicUsize,
    /// Whether each response asks the client to connect elsewhere.
    closing: AtomicBool,
}

/// A running HTTP server.
#[derive(Debug)]
pub struct HttpServer {
    local_addr: SocketAddr,
    shared: Arc<Shared>,
    stop: Sender<()>,
}

impl HttpServer {
    /// Binds to `addr` and serves until [`HttpServer::stop`].
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn bind(
        addr: SocketAddr,
        limits: ServerLimits,
        handler: impl Handler,
    ) -> Result<Self, Report<HttpError>> {
        let failed = || HttpError::new(Step::Bind, addr, Sent::No, "expected a free address");
        let listener = TcpListener::bind(addr).await.change_context_lazy(failed)?;
        let local_addr = listener.local_addr().change_context_lazy(failed)?;
        let (stop, stopped) = async_channel::bounded(1);
        let shared = Arc::new(Shared {
            stop: stopped,
            connections: AtomicUsize::new(0),
            requests: AtomicUsize::new(0),
            closing: AtomicBool::new(false),
        });
        task::spawn(accept(listener, limits, Arc::new(handler), Arc::clone(&shared)));
        Ok(HttpServer { local_addr, shared, stop })
    }

    /// Returns the address that the server listens on.
    pub const fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.shared.connections.load(Ordering::Relaxed)
    }

    /// Returns the number of requests in progress.
    pub fn requests(&self) -> usize {
        self.shared.requests.load(Ordering::Relaxed)
    }

    /// Closes each connection after its next response; connections are still accepted.
    pub fn close_after_responses(&self) {
        self.shared.closing.store(true, Ordering::Relaxed);
    }

    /// Closes idle connections, finishes the requests in progress and returns.
    pub async fn stop(self) {
        self.stop.close();
        while self.shared.connections.load(Ordering::SeqCst) > 0 {
            task::sleep(Duration::from_millis(IDLE_POLL_MS)).await;
        }
    }
}

async fn accept(
    listener: TcpListener,
    limits: ServerLimits,
    handler: Arc<dyn Handler>,
    shared: Arc<Shared>,
) {
    loop {
        let stopped = shared.stop.recv();
        let accepted = listener.accept();
        pin_mut!(stopped, accepted);
        let stream = match select(accepted, stopped).await {
            Either::Left((Ok((stream, _)), _)) => stream,
            Either::Left((Err(_), _)) => {
                task::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
                continue;
            }
            Either::Right(_) => return,
        };
        let full = shared.connections.load(Ordering::SeqCst) >= limits.connections;
        if full || stream.set_nodelay(true).is_err() {
            continue;
        }
        shared.connections.fetch_add(1, Ordering::SeqCst);
        let connection =
            Connection { stream, handler: Arc::clone(&handler), shared: Arc::clone(&shared) };
        task::spawn(connection.serve());
    }
}

struct Connection {
    stream: TcpStream,
    handler: Arc<dyn Handler>,
    shared: Arc<Shared>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.shared.connections.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Connection {
    async fn serve(self) {
        let busy = Arc::new(AtomicBool::new(false));
        let endpoint = |request| {
            let (handler, shared) = (Arc::clone(&self.handler), Arc::clone(&self.shared));
            let connection = PeerConnection(self.stream.clone());
            answer(handler, shared, Arc::clone(&busy), connection, request)
        };
        let mut server = Server::new(self.stream.clone(), endpoint);
        loop {
            let status = {
                let (next, stopped) = (server.accept_one(), self.shared.stop.recv());
                pin_mut!(next, stopped);
                match select(next, stopped).await {
                    Either::Left((status, _)) => status,
                    Either::Right(_) if self.is_idle(&busy) => return,
                    Either::Right((_, next)) => next.await,
                }
            };
            busy.store(false, Ordering::SeqCst);
            match status {
                Ok(ConnectionStatus::KeepAlive) => {}
                Ok(ConnectionStatus::Close) => return,
                Err(error) => return reject(self.stream.clone(), &error).await,
            }
        }
    }

    /// Returns whether no request is in progress or about to be read.
    fn is_idle(&self, busy: &AtomicBool) -> bool {
        let silent = self.stream.peek(&mut [0]).now_or_never().is_none();
        silent && !busy.load(Ordering::SeqCst)
    }
}

/// The connection on which a request came, from the extensions of the request.
#[derive(Clone, Debug)]
pub struct PeerConnection(TcpStream);

impl PeerConnection {
    /// Returns the connection of a request that an [`HttpServer`] received.
    pub fn of(request: &Request) -> Option<Self> {
        request.ext().get().cloned()
    }

    /// Returns whether the peer has closed the connection.
    ///
    /// To be asked after the body was read: a request that waited while this process stood
    /// still may have been given up, and perhaps sent to another process.
    pub fn is_closed(&self) -> bool {
        let mut byte = [0];
        let peek = self.0.peek(&mut byte);
        pin_mut!(peek);
        matches!(peek.now_or_never(), Some(Ok(0) | Err(_)))
    }

    /// Returns when the peer has closed the connection.
    ///
    /// To be awaited after the body was read. Pends forever once the peer has sent
    /// something more, since its next request is then already waiting.
    pub async fn closed(&self) {
        if let Ok(1..) = self.0.peek(&mut [0]).await {
            futures::future::pending::<()>().await;
        }
    }

    /// Waits for `work`; gives it up and returns nothing once the peer closes the connection.
    ///
    /// Without a connection it waits for as long as the work takes.
    pub async fn unless_closed<T>(
        connection: Option<&PeerConnection>,
        work: impl Future<Output = T>,
    ) -> Option<T> {
        let Some(connection) = connection else { return Some(work.await) };
        let closed = connection.closed();
        pin_mut!(work, closed);
        match select(work, closed).await {
            Either::Left((done, _)) => Some(done),
            Either::Right(_) => None,
        }
    }
}

async fn answer(
    handler: Arc<dyn Handler>,
    shared: Arc<Shared>,
    busy: Arc<AtomicBool>,
    connection: PeerConnection,
    mut request: Request,
) -> http_types::Result<Response> {
    busy.store(true, Ordering::SeqCst);
    request.ext_mut().insert(connection);
    shared.requests.fetch_add(1, Ordering::SeqCst);
    let mut response = handler.handle(request).await;
    shared.requests.fetch_sub(1, Ordering::SeqCst);
    if shared.stop.is_closed() || shared.closing.load(Ordering::Relaxed) {
        response.insert_header(CONNECTION, "close");
    }
    Ok(response)
}

/// Answers a head that can't be read; the connection is closed afterwards.
async fn reject(mut stream: TcpStream, error: &http_types::Error) {
    let message = format!("expected an HTTP/1.1 request, got: {error}");
    let body = serde_json::json!({ "error": "invalid_request", "message": message });
    let mut response = text_response(StatusCode::BadRequest, body.to_string());
    response.insert_header(CONNECTION, "close");
    let mut encoder = Encoder::new(response, Method::Get);
    io::copy(&mut encoder, &mut stream).await.ok();
}
