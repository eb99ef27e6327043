//! A running entry process.

use std::{fmt, io, net::SocketAddr, sync::Arc, time::Duration};

use async_std::task;
use error_stack::{Report, ResultExt as _};
use ggb_control::{Channels, Clock, Configuration, Members, RpcListener};
use ggb_http::{ClientLimits, HttpClient, HttpServer, ServerLimits};
use ggb_membership::Role;
use ggb_model::{HomeId, Incarnation};
use ggb_platform::{
    ClaimStore, HttpTargets, ProfileStore, StoreTable, StoreVmList, Table, Targets, VmFilter,
};
use ggb_session::SessionTable;
use ggb_telemetry::{Gauges, OperatorServer, Phase, StatusSource, log_event};
use ggb_wire::v1::peer_server::PeerServer;
use serde_json::{Value, json};
use tonic::transport::Server;

use crate::{
    api::CallerApi,
    drain,
    home::{Home, HomeParts},
    link::LinkSink,
    links::Links,
    moved::MovedHomes,
    peers::{HeardMoves, Peers},
    reports::Reports,
    router::Router,
    rpc::PeerService,
    settings::{EntrySettings, Placer},
};

const MESSAGE_BYTES: usize = 80 << 20;
const EVICT_MS: u64 = 10_000;
/// How many full tables of drained homes a process can keep.
const SEALED_PER_RETAINED: usize = 2;

/// An entry process that could not start.
#[derive(Debug)]
pub struct SpawnError;

impl fmt::Display for SpawnError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the entry process could not start")
    }
}

impl std::error::Error for SpawnError {}

/// A running entry process.
pub struct Entry {
    home: Arc<Home>,
    peers: Arc<Peers>,
    moved: Arc<MovedHomes>,
    channels: Arc<Channels>,
    http: HttpServer,
    operator: OperatorServer,
}

impl Entry {
    /// Binds all addresses and starts to serve.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound.
    pub async fn spawn(settings: EntrySettings) -> Result<Self, Report<SpawnError>> {
        let listener = RpcListener::bind(settings.rpc_listen).change_context(SpawnError)?;
        let rpc_addr = settings.rpc_advertise.unwrap_or(listener.local_addr());
        let id = HomeId::new(rpc_addr, Incarnation(rand::random()));
        let outside = Outside::new(&settings);
        let home = outside.home(id, &settings);
        let moved = Arc::new(MovedHomes::new(SEALED_PER_RETAINED * settings.limits.retained_bytes));
        let peers = Arc::new(outside.peers(id, Arc::clone(&moved), &settings));
        let router = Arc::new(Router::new(
            Arc::clone(&home),
            Arc::clone(&moved),
            Arc::clone(&peers),
            Arc::clone(&outside.channels),
        ));
        let service = outside.peer_service(&home, &router, &moved, &settings);
        serve_peers(service, listener).change_context(SpawnError)?;
        let operator = outside.serve_operators(&home, &moved, &settings).await?;
        let http = serve_callers(&home, router, &settings).await?;
        outside.spawn_placement(&home, settings.placer);
        task::spawn(Arc::clone(&peers).follow());
        task::spawn(evict(Arc::clone(&home)));
        log_event!(
            info, Started, role = "entry", home = %id, http = %http.local_addr(),
            operator = %operator.local_addr()
        );
        Ok(Entry { home, peers, moved, channels: outside.channels, http, operator })
    }

    /// Returns the address where callers connect.
    pub const fn http_addr(&self) -> SocketAddr {
        self.http.local_addr()
    }

    /// Returns the address at which the other entry processes reach this one.
    pub fn rpc_addr(&self) -> SocketAddr {
        self.home.id.addr
    }

    /// Returns the operators' address.
    pub const fn operator_addr(&self) -> SocketAddr {
        self.operator.local_addr()
    }

    /// Finishes the work in progress, hands the sessions on and stops.
    pub async fn drain(self) {
        drain::drain(&self.home, &self.peers, &self.moved, &self.channels).await;
        self.http.stop().await;
        log_event!(info, DrainEnded);
    }
}

/// What the process knows and uses of the world outside.
struct Outside {
    clock: Clock,
    channels: Arc<Channels>,
    table: Arc<dyn Table>,
    targets: Arc<dyn Targets>,
    configuration: Arc<Configuration>,
    members: Arc<Members>,
    links: Arc<Links>,
    reports: Arc<Reports>,
}

impl Outside {
    fn new(settings: &EntrySettings) -> Self {
        let clock = Clock::start();
        let limits = ClientLimits {
            source_ip: settings.source_ip,
            body_bytes: settings.answer_bytes,
            ..ClientLimits::default()
        };
        let client = Arc::new(HttpClient::new(limits));
        let channels = Arc::new(Channels::new(settings.source_ip));
        let table: Arc<dyn Table> =
            Arc::new(StoreTable::new(settings.platform, Arc::clone(&client)));
        let filter = known_vms(settings);
        let list = Arc::new(StoreVmList::new(settings.platform, Arc::clone(&client), filter));
        let members = Members::spawn(list, Arc::clone(&channels), settings.seeds.clone(), clock);
        Outside {
            clock,
            configuration: Configuration::spawn(ProfileStore::new(Arc::clone(&table))),
            targets: Arc::new(HttpTargets::new(client)),
            links: Arc::new(Links::new(settings.zone.clone(), settings.spill_zones.clone())),
            reports: Arc::default(),
            channels,
            table,
            members,
        }
    }

    fn home(&self, id: HomeId, settings: &EntrySettings) -> Arc<Home> {
        Home::new(HomeParts {
            table: SessionTable::new(id, settings.limits.clone()),
            clock: self.clock,
            configuration: Arc::clone(&self.configuration),
            members: Arc::clone(&self.members),
            links: Arc::clone(&self.links),
            targets: Arc::clone(&self.targets),
            claims: ClaimStore::new(Arc::clone(&self.table)),
            placer: settings.placer,
            reports: Arc::clone(&self.reports),
        })
    }

    fn peers(&self, own: HomeId, moved: Arc<MovedHomes>, settings: &EntrySettings) -> Peers {
        Peers {
            own,
            clock: self.clock,
            channels: Arc::clone(&self.channels),
            members: Arc::clone(&self.members),
            configuration: Arc::clone(&self.configuration),
            moved,
            seeds: settings.seeds.clone(),
            heard: HeardMoves::default(),
        }
    }

    fn peer_service(
        &self,
        home: &Arc<Home>,
        router: &Arc<Router>,
        moved: &Arc<MovedHomes>,
        settings: &EntrySettings,
    ) -> PeerService {
        PeerService {
            home: Arc::clone(home),
            zone: settings.zone.clone(),
            clock: self.clock,
            router: Arc::clone(router),
            moved: Arc::clone(moved),
            configuration: Arc::clone(&self.configuration),
            members: Arc::clone(&self.members),
        }
    }

    async fn serve_operators(
        &self,
        home: &Arc<Home>,
        moved: &Arc<MovedHomes>,
        settings: &EntrySettings,
    ) -> Result<OperatorServer, Report<SpawnError>> {
        let status = EntryStatus {
            home: Arc::clone(home),
            configuration: Arc::clone(&self.configuration),
            members: Arc::clone(&self.members),
            links: Arc::clone(&self.links),
            moved: Arc::clone(moved),
        };
        let operator = OperatorServer::bind(settings.operator_listen, Arc::new(status));
        operator.await.change_context(SpawnError)
    }

    fn spawn_placement(&self, home: &Arc<Home>, placer: Placer) {
        let (members, channels) = (Arc::clone(&self.members), Arc::clone(&self.channels));
        match placer {
            Placer::Leases => {
                let sink: Arc<dyn LinkSink> = Arc::clone(home) as _;
                let follow =
                    Arc::clone(&self.links).follow(members, channels, Arc::downgrade(&sink));
                task::spawn(follow);
            }
            Placer::TwoChoices => {
                let targets = Arc::clone(&self.targets);
                task::spawn(Arc::clone(&self.reports).follow(members, targets));
            }
            Placer::Random => {}
        }
    }
}

/// Returns which VMs an entry process needs to know: the targets of its zone only to
/// tell them to a dispatcher that boots while the platform can't be reached.
fn known_vms(settings: &EntrySettings) -> VmFilter {
    let mut roles_anywhere = vec![Role::Entry, Role::Dispatch];
    if settings.placer != Placer::Leases {
        roles_anywhere.push(Role::Target);
    }
    VmFilter { zone: settings.zone.clone(), roles_in_zone: vec![Role::Target], roles_anywhere }
}

fn serve_peers(service: PeerService, listener: RpcListener) -> io::Result<()> {
    let service = PeerServer::new(service)
        .max_decoding_message_size(MESSAGE_BYTES)
        .max_encoding_message_size(MESSAGE_BYTES);
    let incoming = listener.into_incoming()?;
    task::spawn(Server::builder().add_service(service).serve_with_incoming(incoming));
    Ok(())
}

async fn serve_callers(
    home: &Arc<Home>,
    router: Arc<Router>,
    settings: &EntrySettings,
) -> Result<HttpServer, Report<SpawnError>> {
    let (home, body_bytes) = (Arc::clone(home), settings.body_bytes);
    let api = Arc::new(CallerApi { home, router, body_bytes });
    let handler = move |request| {
        let api = Arc::clone(&api);
        async move { api.respond(request).await }
    };
    let limits = ServerLimits { connections: settings.connections };
    let http = HttpServer::bind(settings.http_listen, limits, handler);
    http.await.change_context(SpawnError)
}

async fn evict(home: Arc<Home>) {
    loop {
        task::sleep(Duration::from_millis(EVICT_MS)).await;
        home.evict_idle();
    }
}

struct EntryStatus {
    home: Arc<Home>,
    configuration: Arc<Configuration>,
    members: Arc<Members>,
    links: Arc<Links>,
    moved: Arc<MovedHomes>,
}

impl StatusSource for EntryStatus {
    fn phase(&self) -> Phase {
        let reachable = self.configuration.reachable() && self.members.reachable();
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
            "sealed_tables": self.moved.tables(),
        })
    }

    fn metrics(&self) -> &dyn Gauges {
        self.home.fresh_metrics()
    }
}
