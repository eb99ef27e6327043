//! The platform's list of VMs, which lags behind the actual state.

use std::{net::SocketAddr, sync::Arc};

use error_stack::{Report, ResultExt as _};
use futures::{FutureExt as _, future::BoxFuture};
use ggb_adapter::Store;
use ggb_http::HttpClient;
use ggb_membership::{Role, Vm};
use ggb_model::{Step, Zone};
use ggb_telemetry::log_event;

use crate::PlatformError;

/// Name of the store's table in which each VM has a row.
pub const VMS_TABLE: &str = "vms";

/// Selects the VMs that a process has to know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmFilter {
    /// Availability zone of the process.
    pub zone: Zone,
    /// Roles to select in the zone of the process.
    pub roles_in_own_zone: Vec<Role>,
    /// Roles to select in every zone.
    pub roles_in_any_zone: Vec<Role>,
}

impl VmFilter {
    /// Returns whether the filter selects `vm`.
    pub fn matches(&self, vm: &Vm) -> bool {
        let is_in_own_zone = vm.zone == self.zone && self.roles_in_own_zone.contains(&vm.role);
        is_in_own_zone || self.roles_in_any_zone.contains(&vm.role)
    }
}

/// The list of VMs, or only its version if the list has not changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmListing {
    /// Version of the store up to which the list is complete; passed to the next call of
    /// [`VmList::list`].
    pub version: u64,
    /// VMs selected by the filter, or `None` if the list has not changed since the known version.
    pub vms: Option<Vec<Vm>>,
}

/// Access to the platform's list of live and leaving VMs.
pub trait VmList: Send + Sync + 'static {
    /// Reads the list. Returns only the version if the list has not changed since `known_version`.
    fn list(
        &self,
        known_version: Option<u64>,
    ) -> BoxFuture<'_, Result<VmListing, Report<PlatformError>>>;
}

/// The list of VMs in the platform's store.
#[derive(Debug)]
pub struct StoreVmList {
    addr: SocketAddr,
    store: Store,
    filter: VmFilter,
}

impl StoreVmList {
    /// Creates a client of the store at `addr` that returns the VMs selected by `filter`.
    pub fn new(addr: SocketAddr, client: Arc<HttpClient>, filter: VmFilter) -> Self {
        StoreVmList { addr, store: Store::new(client, addr), filter }
    }

    async fn fetch(&self, known_version: Option<u64>) -> Result<VmListing, Report<PlatformError>> {
        let failed = || PlatformError::new(Step::Receive, self.addr, "expected a list of VMs");
        if let Some(version) = known_version {
            let changes = self.store.changes_since(VMS_TABLE, Some(version), 0).await;
            let changes = changes.change_context_lazy(failed)?;
            if let Some(changes) = changes.filter(|changes| changes.rows.is_empty()) {
                return Ok(VmListing { version: changes.version, vms: None });
            }
        }
        let read = self.store.rows(VMS_TABLE).await.change_context_lazy(failed)?;
        let vms = read.rows.iter().filter_map(|row| {
            let value = row.value.as_deref().unwrap_or_default();
            let vm = serde_json::from_slice::<Vm>(value);
            vm.inspect_err(|error| log_event!(warn, VmEntryInvalid, vm = row.key, %error)).ok()
        });
        let mut vms: Vec<Vm> = vms.collect();
        vms.retain(|vm| self.filter.matches(vm));
        Ok(VmListing { version: read.version, vms: Some(vms) })
    }
}

impl VmList for StoreVmList {
    fn list(
        &self,
        known_version: Option<u64>,
    ) -> BoxFuture<'_, Result<VmListing, Report<PlatformError>>> {
        self.fetch(known_version).boxed()
    }
}
