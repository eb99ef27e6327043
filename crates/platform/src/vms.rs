//! The lagging list of VMs.

use std::{net::SocketAddr, sync::Arc};

use error_stack::{Report, ResultExt as _};
use futures::{FutureExt as _, future::BoxFuture};
use ggb_http::HttpClient;
use ggb_membership::Vm;
use ggb_model::Step;
use http_types::StatusCode;

use crate::PlatformError;

const LIST_TIMEOUT_MS: u64 = 2_000;

/// The platform's list of live and leaving VMs.
pub trait VmList: Send + Sync + 'static {
    /// Reads the list, which lags.
    fn list(&self) -> BoxFuture<'_, Result<Vec<Vm>, Report<PlatformError>>>;
}

/// The list of VMs over HTTP.
#[derive(Debug)]
pub struct HttpVmList {
    addr: SocketAddr,
    client: Arc<HttpClient>,
}

impl HttpVmList {
    /// Returns a client of the list at `addr`.
    pub const fn new(addr: SocketAddr, client: Arc<HttpClient>) -> Self {
        HttpVmList { addr, client }
    }

    async fn fetch(&self) -> Result<Vec<Vm>, Report<PlatformError>> {
        let failed = |step| move || PlatformError::new(step, self.addr, "expected a list of VMs");
        let reply = self.client.fetch(self.addr, "/v1/vms", LIST_TIMEOUT_MS);
        let reply = reply.await.change_context_lazy(failed(Step::Receive))?;
        if reply.status != StatusCode::Ok {
            let message = format!("got status {}, expected 200", reply.status);
            return Err(PlatformError::new(Step::Receive, self.addr, message).into());
        }
        serde_json::from_slice(&reply.body).change_context_lazy(failed(Step::Decode))
    }
}

impl VmList for HttpVmList {
    fn list(&self) -> BoxFuture<'_, Result<Vec<Vm>, Report<PlatformError>>> {
        self.fetch().boxed()
    }
}
