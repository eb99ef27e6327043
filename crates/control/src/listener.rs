//! Listening socket for gRPC.

use std::{fmt, io, net::SocketAddr};

use error_stack::{Report, ResultExt as _};
use ggb_model::Step;
use tokio::net::TcpListener;
use tonic::transport::server::TcpIncoming;

/// Failure to bind a listening address.
#[derive(Debug)]
pub struct ListenError {
    addr: SocketAddr,
}

impl fmt::Display for ListenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} to {}: the address can't be bound", Step::Bind, self.addr)
    }
}

impl std::error::Error for ListenError {}

/// Bound listening socket that doesn't accept connections yet.
///
/// Binding before serving makes the actual port known when port 0 was requested.
#[derive(Debug)]
pub struct RpcListener {
    listener: std::net::TcpListener,
    local_addr: SocketAddr,
}

impl RpcListener {
    /// Binds to `addr`; port 0 lets the system choose.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub fn bind(addr: SocketAddr) -> Result<Self, Report<ListenError>> {
        let failed = || ListenError { addr };
        let listener = std::net::TcpListener::bind(addr).change_context_lazy(failed)?;
        listener.set_nonblocking(true).change_context_lazy(failed)?;
        let local_addr = listener.local_addr().change_context_lazy(failed)?;
        Ok(RpcListener { listener, local_addr })
    }

    /// Returns the bound address.
    pub const fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }

    /// Returns the stream of incoming connections for a tonic server.
    ///
    /// # Errors
    ///
    /// Fails if the socket can't be registered with the runtime.
    pub fn into_incoming(self) -> io::Result<TcpIncoming> {
        let listener = TcpListener::from_std(self.listener)?;
        Ok(TcpIncoming::from(listener).with_nodelay(Some(true)))
    }
}
