//! HTTP server with a limit on open connections.

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
    task::{self, JoinHandle},
};
use error_stack::{Report, ResultExt as _};
use futures::{
    FutureExt as _,
    future::{BoxFuture, Either, select},
    pin_mut,
};
use ggb_model::Step;
use http_types::{Method, Request, Response, StatusCode, headers::CONNECTION};

use crate::{HttpError, Sent, json_text_response};

/// Delay before the next attempt to accept a connection after one has failed.
const ACCEPT_RETRY_DELAY_MS: u64 = 10;

/// Interval at which [`HttpServer::stop`] checks whether connections are still open.
const STOP_POLL_MS: u64 = 50;

/// Application code that responds to the requests of a server; implemented for async closures.
pub trait Handler: Send + Sync + 'static {
    /// Returns the response to a request; failures are reported as responses too.
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

/// Limits of a server.
#[derive(Clone, Debug)]
pub struct ServerLimits {
    /// Maximum number of open connections; those above it are closed when accepted.
    pub max_connections: usize,
}

impl Default for ServerLimits {
    fn default() -> Self {
        ServerLimits { max_connections: 4_096 }
    }
}

/// State shared by the async tasks of a server.
#[derive(Debug)]
struct ServerState {
    /// Channel that is closed when the server stops.
    stop: Receiver<()>,
    open_connections: AtomicUsize,
    requests_in_progress: AtomicUsize,
    /// Whether each response carries `connection: close`, so that clients reconnect elsewhere.
    close_after_responses: AtomicBool,
}

/// A running HTTP server.
#[derive(Debug)]
pub struct HttpServer {
    local_addr: SocketAddr,
    state: Arc<ServerState>,
    stop: Sender<()>,
    /// Async task that accepts connections, which ends after [`HttpServer::stop`].
    accepting: JoinHandle<()>,
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
        let bind_error =
            || HttpError::new(Step::Bind, addr, Sent::No, "the address can't be bound");
        let listener = TcpListener::bind(addr).await.change_context_lazy(bind_error)?;
        let local_addr = listener.local_addr().change_context_lazy(bind_error)?;
        let (stop, stopped) = async_channel::bounded(1);
        let state = Arc::new(ServerState {
            stop: stopped,
            open_connections: AtomicUsize::new(0),
            requests_in_progress: AtomicUsize::new(0),
            close_after_responses: AtomicBool::new(false),
        });
        let accepting =
            task::spawn(accept(listener, limits, Arc::new(handler), Arc::clone(&state)));
        Ok(HttpServer { local_addr, state, stop, accepting })
    }

    /// Returns the address that the server listens on.
    pub const fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.state.open_connections.load(Ordering::Relaxed)
    }

    /// Returns the number of requests in progress.
    pub fn requests_in_progress(&self) -> usize {
        self.state.requests_in_progress.load(Ordering::Relaxed)
    }

    /// Closes each connection after its next response; new connections are still accepted.
    pub fn close_after_responses(&self) {
        self.state.close_after_responses.store(true, Ordering::Relaxed);
    }

    /// Stops accepting, closes idle connections and waits for the requests in progress.
    pub async fn stop(self) {
        self.stop.close();
        // Before it ends, a connection that was just accepted may not be counted as open yet.
        self.accepting.await;
        while self.state.open_connections.load(Ordering::SeqCst) > 0 {
            task::sleep(Duration::from_millis(STOP_POLL_MS)).await;
        }
    }
}

/// Accepts connections and serves each in its own async task until the server stops.
async fn accept(
    listener: TcpListener,
    limits: ServerLimits,
    handler: Arc<dyn Handler>,
    state: Arc<ServerState>,
) {
    loop {
        let stopped = state.stop.recv();
        let accepted = listener.accept();
        pin_mut!(stopped, accepted);
        let stream = match select(accepted, stopped).await {
            Either::Left((Ok((stream, _)), _)) => stream,
            Either::Left((Err(_), _)) => {
                task::sleep(Duration::from_millis(ACCEPT_RETRY_DELAY_MS)).await;
                continue;
            }
            Either::Right(_) => return,
        };
        let is_full = state.open_connections.load(Ordering::SeqCst) >= limits.max_connections;
        if is_full || stream.set_nodelay(true).is_err() {
            continue;
        }
        state.open_connections.fetch_add(1, Ordering::SeqCst);
        let connection =
            Connection { stream, handler: Arc::clone(&handler), state: Arc::clone(&state) };
        task::spawn(connection.serve());
    }
}

/// An accepted connection; counted as open until it is dropped.
struct Connection {
    stream: TcpStream,
    handler: Arc<dyn Handler>,
    state: Arc<ServerState>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.state.open_connections.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Connection {
    /// Serves requests until the connection closes, or the server stops while it is idle.
    async fn serve(self) {
        // Set while a request is handled and its response is written.
        let busy = Arc::new(AtomicBool::new(false));
        let endpoint = |request| {
            let (handler, state) = (Arc::clone(&self.handler), Arc::clone(&self.state));
            let connection = ClientConnection(self.stream.clone());
            handle_request(handler, state, Arc::clone(&busy), connection, request)
        };
        let mut server = Server::new(self.stream.clone(), endpoint);
        loop {
            let status = {
                let (next, stopped) = (server.accept_one(), self.state.stop.recv());
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

    /// Returns whether no request is in progress and no byte of the next one has arrived.
    fn is_idle(&self, busy: &AtomicBool) -> bool {
        let nothing_received = self.stream.peek(&mut [0]).now_or_never().is_none();
        nothing_received && !busy.load(Ordering::SeqCst)
    }
}

/// The connection that a request arrived on, stored in the extensions of the request.
#[derive(Clone, Debug)]
pub struct ClientConnection(TcpStream);

impl ClientConnection {
    /// Returns the connection of a request; `None` unless an [`HttpServer`] received it.
    pub fn of_request(request: &Request) -> Option<Self> {
        request.ext().get().cloned()
    }

    /// Returns whether the client has closed the connection.
    ///
    /// Valid only after the body has been read. Lets a process that was paused skip a request
    /// that the client has given up and may have sent to another process.
    pub fn is_closed(&self) -> bool {
        let mut byte = [0];
        let peek = self.0.peek(&mut byte);
        pin_mut!(peek);
        matches!(peek.now_or_never(), Some(Ok(0) | Err(_)))
    }

    /// Waits until the client closes the connection.
    ///
    /// Valid only after the body has been read. Never completes if the client sends more
    /// bytes: they belong to its next request, so the connection is still in use.
    pub async fn closed(&self) {
        if let Ok(1..) = self.0.peek(&mut [0]).await {
            futures::future::pending::<()>().await;
        }
    }

    /// Returns the result of `work`, or drops it and returns `None` if the client closes the
    /// connection first.
    ///
    /// Without a connection, `work` always runs to its end.
    pub async fn run_until_closed<T>(
        connection: Option<&ClientConnection>,
        work: impl Future<Output = T>,
    ) -> Option<T> {
        let Some(connection) = connection else { return Some(work.await) };
        let closed = connection.closed();
        pin_mut!(work, closed);
        match select(work, closed).await {
            Either::Left((result, _)) => Some(result),
            Either::Right(_) => None,
        }
    }
}

/// Passes a request to the handler and returns its response.
async fn handle_request(
    handler: Arc<dyn Handler>,
    state: Arc<ServerState>,
    busy: Arc<AtomicBool>,
    connection: ClientConnection,
    mut request: Request,
) -> http_types::Result<Response> {
    busy.store(true, Ordering::SeqCst);
    request.ext_mut().insert(connection);
    state.requests_in_progress.fetch_add(1, Ordering::SeqCst);
    let mut response = handler.handle(request).await;
    state.requests_in_progress.fetch_sub(1, Ordering::SeqCst);
    if state.stop.is_closed() || state.close_after_responses.load(Ordering::Relaxed) {
        response.insert_header(CONNECTION, "close");
    }
    Ok(response)
}

/// Responds with status 400 to a request that can't be parsed; `Connection::serve` then closes
/// the connection.
async fn reject(mut stream: TcpStream, error: &http_types::Error) {
    let message = format!("expected an HTTP/1.1 request, got: {error}");
    let body = serde_json::json!({ "error": "invalid_request", "message": message });
    let mut response = json_text_response(StatusCode::BadRequest, body.to_string());
    response.insert_header(CONNECTION, "close");
    let mut encoder = Encoder::new(response, Method::Get);
    io::copy(&mut encoder, &mut stream).await.ok();
}
