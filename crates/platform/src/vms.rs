//! The lagging list of VMs.

use std::{net::SocketAddr, sync::Arc};

use error_stack::{Report, ResultExt as _};
use futures::{FutureExt as _, future::BoxFuture};
use ggb_http::HttpClient;
use ggb_membership::{Role, Vm};
use ggb_model::{Step, Zone};
use http_types::StatusCode;
use serde::{Deserialize, Serialize};

use crate::{PlatformError, table::encode};

const LIST_TIMEOUT_MS: u64 = 2_000;

/// Which VMs a process needs to know; what it does not need is not sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmFilter {
    /// The zone of the process.
    pub zone: Zone,
    /// The roles that matter in its zone.
    pub roles_in_zone: Vec<Role>,
    /// The roles that matter in every zone.
    pub roles_anywhere: Vec<Role>,
}

impl VmFilter {
    /// Returns whether the filter lets a VM pass.
    pub fn allows(&self, vm: &Vm) -> bool {
        let here = vm.zone == self.zone && self.roles_in_zone.contains(&vm.role);
        here || self.roles_anywhere.contains(&vm.role)
    }
}

/// The body of a request for the list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListRequest {
    /// Which VMs are asked for.
    pub filter: VmFilter,
    /// The version that the asker has.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub known_version: Option<u64>,
}

/// The list, or only its version if the asker has that one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmListing {
    /// Changes with every change of what the filter lets pass.
    pub version: u64,
    /// The VMs, unless nothing has changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub vms: Option<Vec<Vm>>,
}

/// The platform's list of live and leaving VMs.
pub trait VmList: Send + Sync + 'static {
    /// Reads the list, which lags; nothing is sent again that has `known_version`.
    fn list(
        &self,
        known_version: Option<u64>,
    ) -> BoxFuture<'_, Result<VmListing, Report<PlatformError>>>;
}

/// The list of VMs over HTTP.
#[derive(Debug)]
pub struct HttpVmList {
    addr: SocketAddr,
    client: Arc<HttpClient>,
    filter: VmFilter,
}

impl HttpVmList {
    /// Returns a client of the list at `addr` that asks for what `filter` lets pass.
    pub const fn new(addr: SocketAddr, client: Arc<HttpClient>, filter: VmFilter) -> Self {
        HttpVmList { addr, client, filter }
    }

    async fn fetch(&self, known_version: Option<u64>) -> Result<VmListing, Report<PlatformError>> {
        let failed = |step| move || PlatformError::new(step, self.addr, "expected a list of VMs");
        let body = encode(&ListRequest { filter: self.filter.clone(), known_version });
        let reply = self.client.post(self.addr, "/v1/vms", body, LIST_TIMEOUT_MS);
        let reply = reply.await.change_context_lazy(failed(Step::Receive))?;
        if reply.status != StatusCode::Ok {
            let message = format!("got status {}, expected 200", reply.status);
            return Err(PlatformError::new(Step::Receive, self.addr, message).into());
        }
        serde_json::from_slice(&reply.body).change_context_lazy(failed(Step::Decode))
    }
}

impl VmList for HttpVmList {
    fn list(
        &self,
        known_version: Option<u64>,
    ) -> BoxFuture<'_, Result<VmListing, Report<PlatformError>>> {
        self.fetch(known_version).boxed()
    }
}
