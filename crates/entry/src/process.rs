//! Startup, status and shutdown of an entry process.

use std::{fmt, io, net::SocketAddr, sync::Arc, time::Duration};

use async_std::task;
use error_stack::{Report, ResultExt as _};
use ggb_control::{ChannelPool, Configuration, Members, MonotonicClock, RpcListener};
use ggb_http::{ClientOptions, HttpClient, HttpServer, ServerLimits};
use ggb_membership::Role;
use ggb_model::{HomeId, Incarnation};
use ggb_platform::{
    ClaimStore, HttpTargetApi, ProfileStore, StoreTable, StoreVmList, Table, TargetApi, VmFilter,
};
use ggb_session::SessionTable;
use ggb_telemetry::{MetricSet, OperatorServer, Phase, StatusSource, log_event};
use ggb_wire::v1::peer_server::PeerServer;
use serde_json::{Value, json};
use tonic::transport::Server;

use crate::{
    api::CallerApi,
    dispatcher_links::DispatcherLinks,
    drain,
    drained_homes::DrainedHomes,
    home::{Home, HomeDependencies},
    link::LinkHandler,
    load_reports::LoadReports,
    peers::{DrainedHomeCursors, PeerExchange},
    router::Router,
    rpc::PeerService,
    settings::{EntrySettings, PlacementPolicy},
};

/// Maximum size of a message between entry processes.
const MAX_MESSAGE_BYTES: usize = 80 << 20;
/// Interval at which idle sessions are removed.
const EVICTION_INTERVAL_MS: u64 = 10_000;
/// Limit on sealed tables of drained homes, as a multiple of the limit on retained answers.
///
/// Lets a process hold the full tables of this many homes with the same limit.
const SEALED_BYTES_PER_RETAINED_BYTE: usize = 2;

/// Failure to start an entry process.
#[derive(Debug)]
pub struct SpawnError;

impl fmt::Display for SpawnError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("failed to start the entry process")
    }
}

impl std::error::Error for SpawnError {}

/// Handle of a running entry process.
pub struct EntryProcess {
    home: Arc<Home>,
    peer_exchange: Arc<PeerExchange>,
    drained_homes: Arc<DrainedHomes>,
    channels: Arc<ChannelPool>,
    http: HttpServer,
    operator: OperatorServer,
}

impl EntryProcess {
    /// Binds all listening addresses and starts to serve requests.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound.
    pub async fn spawn(settings: EntrySettings) -> Result<Self, Report<SpawnError>> {
        let listener = RpcListener::bind(settings.rpc_listen).change_context(SpawnError)?;
        let rpc_addr = settings.rpc_advertise.unwrap_or(listener.local_addr());
        let id = HomeId::new(rpc_addr, Incarnation(rand::random()));
        let dependencies = Dependencies::new(&settings);
        let home = dependencies.home(id, &settings);
        let drained_homes = Arc::new(DrainedHomes::new(
            SEALED_BYTES_PER_RETAINED_BYTE * settings.limits.max_retained_bytes,
        ));
        let peer_exchange =
            Arc::new(dependencies.peer_exchange(id, Arc::clone(&drained_homes), &settings));
        let router = Arc::new(Router::new(
            Arc::clone(&home),
            Arc::clone(&drained_homes),
            Arc::clone(&peer_exchange),
            Arc::clone(&dependencies.channels),
        ));
        let service = dependencies.peer_service(&home, &router, &drained_homes, &settings);
        serve_peers(service, listener).change_context(SpawnError)?;
        let operator = dependencies.serve_operators(&home, &drained_homes, &settings).await?;
        let http = serve_callers(&home, router, &settings).await?;
        dependencies.spawn_placement(&home, settings.placement);
        task::spawn(Arc::clone(&peer_exchange).run());
        task::spawn(evict_idle_sessions(Arc::clone(&home)));
        log_event!(
            info, Started, role = "entry", home = %id, http = %http.local_addr(),
            operator = %operator.local_addr()
        );
        Ok(EntryProcess {
            home,
            peer_exchange,
            drained_homes,
            channels: dependencies.channels,
            http,
            operator,
        })
    }

    /// Returns the bound address for callers.
    pub const fn http_addr(&self) -> SocketAddr {
        self.http.local_addr()
    }

    /// Returns the address at which the other entry processes reach this one.
    pub fn rpc_addr(&self) -> SocketAddr {
        self.home.id.addr
    }

    /// Returns the bound address for operators.
    pub const fn operator_addr(&self) -> SocketAddr {
        self.operator.local_addr()
    }

    /// Waits for the running jobs, hands the sessions off to peers and stops the process's
    /// HTTP server.
    pub async fn drain(self) {
        drain::drain(&self.home, &self.peer_exchange, &self.drained_homes, &self.channels).await;
        self.http.stop().await;
        log_event!(info, DrainEnded);
    }
}

/// Clients and shared state from which the parts of the process are built.
struct Dependencies {
    clock: MonotonicClock,
    channels: Arc<ChannelPool>,
    table: Arc<dyn Table>,
    targets: Arc<dyn TargetApi>,
    configuration: Arc<Configuration>,
    members: Arc<Members>,
    links: Arc<DispatcherLinks>,
    load_reports: Arc<LoadReports>,
}

impl Dependencies {
    fn new(settings: &EntrySettings) -> Self {
        let clock = MonotonicClock::start();
        let options = ClientOptions {
            source_ip: settings.source_ip,
            max_body_bytes: settings.max_answer_bytes,
            ..ClientOptions::default()
        };
        let client = Arc::new(HttpClient::new(options));
        let channels = Arc::new(ChannelPool::new(settings.source_ip));
        let table: Arc<dyn Table> =
            Arc::new(StoreTable::new(settings.platform_addr, Arc::clone(&client)));
        let filter = vm_filter(settings);
        let list = Arc::new(StoreVmList::new(settings.platform_addr, Arc::clone(&client), filter));
        let members = Members::spawn(list, Arc::clone(&channels), settings.seeds.clone(), clock);
        Dependencies {
            clock,
            configuration: Configuration::spawn(ProfileStore::new(Arc::clone(&table))),
            targets: Arc::new(HttpTargetApi::new(client)),
            links: Arc::new(DispatcherLinks::new(
                settings.zone.clone(),
                settings.remote_zones.clone(),
            )),
            load_reports: Arc::default(),
            channels,
            table,
            members,
        }
    }

    fn home(&self, id: HomeId, settings: &EntrySettings) -> Arc<Home> {
        Home::new(HomeDependencies {
            table: SessionTable::new(id, settings.limits.clone()),
            clock: self.clock,
            configuration: Arc::clone(&self.configuration),
            members: Arc::clone(&self.members),
            links: Arc::clone(&self.links),
            targets: Arc::clone(&self.targets),
            claims: ClaimStore::new(Arc::clone(&self.table)),
            placement: settings.placement,
            load_reports: Arc::clone(&self.load_reports),
        })
    }

    fn peer_exchange(
        &self,
        local_home: HomeId,
        drained_homes: Arc<DrainedHomes>,
        settings: &EntrySettings,
    ) -> PeerExchange {
        PeerExchange {
            local_home,
            clock: self.clock,
            channels: Arc::clone(&self.channels),
            members: Arc::clone(&self.members),
            configuration: Arc::clone(&self.configuration),
            drained_homes,
            seeds: settings.seeds.clone(),
            drained_home_cursors: DrainedHomeCursors::default(),
        }
    }

    fn peer_service(
        &self,
        home: &Arc<Home>,
        router: &Arc<Router>,
        drained_homes: &Arc<DrainedHomes>,
        settings: &EntrySettings,
    ) -> PeerService {
        PeerService {
            home: Arc::clone(home),
            zone: settings.zone.clone(),
            clock: self.clock,
            router: Arc::clone(router),
            drained_homes: Arc::clone(drained_homes),
            configuration: Arc::clone(&self.configuration),
            members: Arc::clone(&self.members),
        }
    }

    async fn serve_operators(
        &self,
        home: &Arc<Home>,
        drained_homes: &Arc<DrainedHomes>,
        settings: &EntrySettings,
    ) -> Result<OperatorServer, Report<SpawnError>> {
        let status = EntryStatus {
            home: Arc::clone(home),
            configuration: Arc::clone(&self.configuration),
            members: Arc::clone(&self.members),
            links: Arc::clone(&self.links),
            drained_homes: Arc::clone(drained_homes),
        };
        let operator = OperatorServer::bind(settings.operator_listen, Arc::new(status));
        operator.await.change_context(SpawnError)
    }

    fn spawn_placement(&self, home: &Arc<Home>, placement: PlacementPolicy) {
        let (members, channels) = (Arc::clone(&self.members), Arc::clone(&self.channels));
        match placement {
            PlacementPolicy::Leases => {
                let handler: Arc<dyn LinkHandler> = Arc::clone(home) as _;
                let run_links =
                    Arc::clone(&self.links).run(members, channels, Arc::downgrade(&handler));
                task::spawn(run_links);
            }
            PlacementPolicy::TwoChoices => {
                let targets = Arc::clone(&self.targets);
                task::spawn(Arc::clone(&self.load_reports).poll(members, targets));
            }
            PlacementPolicy::Random => {}
        }
    }
}

/// Returns the filter for the VMs that an entry process tracks.
///
/// Targets of its own zone are included for dispatchers that start while the platform is
/// unreachable and fetch the list of VMs from this process.
fn vm_filter(settings: &EntrySettings) -> VmFilter {
    let mut roles_in_any_zone = vec![Role::Entry, Role::Dispatch];
    if settings.placement != PlacementPolicy::Leases {
        roles_in_any_zone.push(Role::Target);
    }
    VmFilter {
        zone: settings.zone.clone(),
        roles_in_own_zone: vec![Role::Target],
        roles_in_any_zone,
    }
}

fn serve_peers(service: PeerService, listener: RpcListener) -> io::Result<()> {
    let service = PeerServer::new(service)
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES);
    let incoming = listener.into_incoming()?;
    task::spawn(Server::builder().add_service(service).serve_with_incoming(incoming));
    Ok(())
}

async fn serve_callers(
    home: &Arc<Home>,
    router: Arc<Router>,
    settings: &EntrySettings,
) -> Result<HttpServer, Report<SpawnError>> {
    let (home, max_body_bytes) = (Arc::clone(home), settings.max_body_bytes);
    let api = Arc::new(CallerApi { home, router, max_body_bytes });
    let handler = move |request| {
        let api = Arc::clone(&api);
        async move { api.respond(request).await }
    };
    let limits = ServerLimits { max_connections: settings.max_connections };
    let http = HttpServer::bind(settings.http_listen, limits, handler);
    http.await.change_context(SpawnError)
}

async fn evict_idle_sessions(home: Arc<Home>) {
    loop {
        task::sleep(Duration::from_millis(EVICTION_INTERVAL_MS)).await;
        home.evict_idle();
    }
}

/// Source of the status and metrics that operators read.
struct EntryStatus {
    home: Arc<Home>,
    configuration: Arc<Configuration>,
    members: Arc<Members>,
    links: Arc<DispatcherLinks>,
    drained_homes: Arc<DrainedHomes>,
}

impl StatusSource for EntryStatus {
    fn phase(&self) -> Phase {
        let reachable = self.configuration.is_store_reachable() && self.members.is_list_reachable();
        match self.configuration.generation() {
            _ if self.home.is_draining() => Phase::Draining,
            None => Phase::Starting,
            Some(_) if reachable => Phase::Serving,
            Some(_) => Phase::CutOff,
        }
    }

    fn details(&self) -> Value {
        let links = self.links.all();
        let connected = links.iter().filter(|link| link.is_connected());
        json!({
            "home": self.home.id,
            "generation": self.configuration.generation(),
            "running_jobs": self.home.running_jobs(),
            "connected_zones": connected.map(|link| link.zone.as_str()).collect::<Vec<_>>(),
            "sealed_tables": self.drained_homes.table_count(),
        })
    }

    fn metrics(&self) -> &dyn MetricSet {
        self.home.updated_metrics()
    }
}
