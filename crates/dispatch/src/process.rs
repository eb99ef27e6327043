//! Starts, drains and reports the status of a dispatcher process.

use std::{fmt, net::SocketAddr, sync::Arc, time::Duration};

use async_std::task;
use error_stack::{Report, ResultExt as _};
use ggb_control::{ChannelPool, Members, MonotonicClock, RpcListener};
use ggb_http::{ClientOptions, HttpClient};
use ggb_membership::Role;
use ggb_platform::{HttpTargetApi, StoreVmList, VmFilter};
use ggb_telemetry::{MetricSet, OperatorServer, Phase, StatusSource, log_event};
use ggb_wire::v1::dispatch_server::DispatchServer;
use serde_json::{Value, json};
use tonic::transport::Server;

use crate::{
    core::DispatcherCore,
    service::DispatchService,
    settings::DispatchSettings,
    targets::{probe_targets, update_targets_from_list},
};

/// Interval at which expired backoffs and ejections are ended, queued tasks are assigned, and
/// silent homes are disconnected.
const REFRESH_INTERVAL_MS: u64 = 20;
/// Number of refreshes between two load messages to all homes, which serve as heartbeats.
const REFRESHES_PER_HEARTBEAT: u32 = 25;

/// Error of a dispatcher that could not start.
#[derive(Debug)]
pub struct SpawnError;

impl fmt::Display for SpawnError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the dispatcher could not start")
    }
}

impl std::error::Error for SpawnError {}

/// A running dispatcher.
pub struct Dispatcher {
    core: Arc<DispatcherCore>,
    rpc_addr: SocketAddr,
    operator: OperatorServer,
}

impl Dispatcher {
    /// Binds all addresses and starts the background loops of the dispatcher.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound.
    pub async fn spawn(settings: DispatchSettings) -> Result<Self, Report<SpawnError>> {
        let clock = MonotonicClock::start();
        let core = Arc::new(DispatcherCore::new(settings.options.clone(), clock));
        let listener = RpcListener::bind(settings.rpc_listen).change_context(SpawnError)?;
        let rpc_addr = listener.local_addr();
        let client_options =
            ClientOptions { source_ip: settings.source_ip, ..ClientOptions::default() };
        let client = Arc::new(HttpClient::new(client_options));
        let channels = Arc::new(ChannelPool::new(settings.source_ip));
        let filter = VmFilter {
            zone: settings.zone.clone(),
            roles_in_own_zone: vec![Role::Target],
            roles_in_any_zone: Vec::new(),
        };
        let vm_list =
            Arc::new(StoreVmList::new(settings.platform_addr, Arc::clone(&client), filter));
        let members = Members::spawn(vm_list, channels, settings.seeds.clone(), clock);
        let status_source =
            Arc::new(DispatchStatus { core: Arc::clone(&core), members: Arc::clone(&members) });
        let operator = OperatorServer::bind(settings.operator_listen, status_source);
        let operator = operator.await.change_context(SpawnError)?;
        let incoming = listener.into_incoming().change_context(SpawnError)?;
        let service = DispatchServer::new(DispatchService::new(Arc::clone(&core)));
        task::spawn(Server::builder().add_service(service).serve_with_incoming(incoming));
        let zone = settings.zone;
        task::spawn(update_targets_from_list(Arc::clone(&core), Arc::clone(&members), zone));
        let targets = Arc::new(HttpTargetApi::new(client));
        task::spawn(probe_targets(Arc::clone(&core), members, targets));
        task::spawn(refresh_periodically(Arc::clone(&core)));
        log_event!(info, Started, role = "dispatch", rpc = %rpc_addr, operator = %operator.local_addr());
        Ok(Dispatcher { core, rpc_addr, operator })
    }

    /// Returns the address at which homes connect.
    pub const fn rpc_addr(&self) -> SocketAddr {
        self.rpc_addr
    }

    /// Returns the address of the operator endpoint.
    pub const fn operator_addr(&self) -> SocketAddr {
        self.operator.local_addr()
    }

    /// Disconnects all homes, which then connect to the next dispatcher of the zone in rendezvous
    /// order.
    ///
    /// Leases stay valid, since the homes report them to that dispatcher.
    pub fn drain(&self) {
        log_event!(info, DrainBegun);
        self.core.disconnect_all();
        log_event!(info, DrainEnded);
    }
}

/// Refreshes the scheduler at a fixed interval, and sends the loads to all homes less often.
async fn refresh_periodically(core: Arc<DispatcherCore>) {
    loop {
        for _ in 0..REFRESHES_PER_HEARTBEAT {
            task::sleep(Duration::from_millis(REFRESH_INTERVAL_MS)).await;
            core.refresh();
        }
        core.push_loads();
    }
}

struct DispatchStatus {
    core: Arc<DispatcherCore>,
    members: Arc<Members>,
}

impl StatusSource for DispatchStatus {
    fn phase(&self) -> Phase {
        match (self.members.has_list(), self.members.is_list_reachable()) {
            (false, _) => Phase::Starting,
            (true, true) => Phase::Serving,
            (true, false) => Phase::CutOff,
        }
    }

    fn details(&self) -> Value {
        let (stats, homes) = self.core.stats();
        json!({
            "total_slots": stats.total_slots,
            "used_slots": stats.used_slots,
            "free_slots": stats.free_slots,
            "queued_tasks": stats.queued_tasks,
            "leases": stats.leases,
            "targets": stats.targets,
            "ejected_targets": stats.ejected_targets,
            "ejections": stats.ejections,
            "homes": homes,
        })
    }

    fn metrics(&self) -> &dyn MetricSet {
        self.core.metrics()
    }
}
