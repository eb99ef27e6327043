//! The life of the process.

use std::{
    fmt,
    net::{IpAddr, SocketAddr},
    path::PathBuf,
    sync::Arc,
    time::Duration,
};

use async_std::task;
use error_stack::{Report, ResultExt as _};
use ggb_adapter::NodeSettings;
use ggb_control::Clock;
use ggb_http::{ClientLimits, HttpClient, HttpServer, ServerLimits};
use ggb_membership::{Node, Ownership};
use ggb_telemetry::{Gauges, OperatorServer, Phase, StatusSource, log_event};
use http_types::{Request, Response, StatusCode};
use serde_json::{Value, json};

use crate::{
    callers::bind_callers,
    configuration::follow_configuration,
    directory::follow_targets,
    peer_api::bind_peer_api,
    peers::{follow_nodes, spawn_heartbeats},
    settings_file::SettingsFile,
    shared::Shared,
};

/// How long opening a connection may take; within a region it takes 3 ms.
const CONNECT_TIMEOUT_MS: u64 = 150;

/// The most bytes of a message from a target, the store or a peer.
const MESSAGE_BYTES: usize = 4 << 20;

/// The most idle connections to one peer.
const IDLE_CONNECTIONS: usize = 16;

/// How long an owner that is to stop waits for a successor before it gives up its targets.
const SUCCESSOR_WAIT_MS: u64 = 500;

/// The shortest life after the request to stop: the balancer notices after two checks, a
/// second apart, and clients on open connections need one more request to be told.
const DRAIN_MIN_MS: u64 = 2_600;

/// What is left of the time for stopping when the process ends by itself.
const GRACE_MARGIN_MS: u64 = 400;

const DRAIN_POLL_MS: u64 = 50;

/// A process that can't start, with the part at fault.
#[derive(Debug)]
pub struct NodeError {
    part: &'static str,
    addr: SocketAddr,
}

impl fmt::Display for NodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "bind to {} for {}: expected a free address", self.addr, self.part)
    }
}

impl std::error::Error for NodeError {}

/// Where a process listens, besides the addresses of its settings file.
#[derive(Clone, Copy, Debug)]
pub struct NodeListeners {
    /// The address for peers and operators, and of outgoing connections; the one that
    /// peers are told if there is none.
    pub bind_ip: Option<IpAddr>,
    /// The port on which metrics are served.
    pub operator_port: u16,
}

/// A running process.
pub struct NodeProcess {
    shared: Arc<Shared>,
    settings_file: Arc<SettingsFile>,
    callers: HttpServer,
    /// Serve as long as they are kept.
    _servers: (HttpServer, HttpServer, OperatorServer),
}

impl NodeProcess {
    /// Starts a process with the settings of the file at `path`.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound.
    pub async fn spawn(
        settings: NodeSettings,
        path: PathBuf,
        listeners: NodeListeners,
    ) -> Result<Self, Report<NodeError>> {
        let clock = Clock::start();
        let http = Arc::new(HttpClient::new(ClientLimits {
            connect_timeout_ms: CONNECT_TIMEOUT_MS,
            body_bytes: MESSAGE_BYTES,
            idle_per_peer: IDLE_CONNECTIONS,
            source_ip: listeners.bind_ip,
        }));
        let own = Node {
            name: settings.name.clone(),
            ip: settings.ip,
            zone: settings.zone.clone(),
            cpu_milli: settings.cpu_milli,
        };
        let ownership = Ownership::new(own, rand::random(), clock.now_ms());
        let shared = Arc::new(Shared::new(settings, clock, http, ownership));
        shared.add_seeds();
        let failed = |part, addr| move || NodeError { part, addr };
        let bind_ip = listeners.bind_ip.unwrap_or(shared.settings.ip);
        let peer_addr = shared.peer_addr(bind_ip);
        let peer_api = bind_peer_api(Arc::clone(&shared), peer_addr).await;
        let peer_api = peer_api.change_context_lazy(failed("messages of peers", peer_addr))?;
        let heartbeats = spawn_heartbeats(Arc::clone(&shared), peer_addr).await;
        heartbeats.change_context_lazy(failed("heartbeats", peer_addr))?;
        task::spawn(follow_nodes(Arc::clone(&shared)));
        task::spawn(follow_configuration(Arc::clone(&shared)));
        task::spawn(follow_targets(Arc::clone(&shared)));
        let settings_file = Arc::new(SettingsFile::open(path, Arc::clone(&shared)));
        task::spawn(Arc::clone(&settings_file).follow());
        let operator_addr = SocketAddr::new(bind_ip, listeners.operator_port);
        let operator = OperatorServer::bind(operator_addr, Arc::new(Status(Arc::clone(&shared))));
        let operator = operator.await.change_context_lazy(failed("operators", operator_addr))?;
        let ready_addr = shared.settings.ready_addr;
        let ready = bind_ready(Arc::clone(&shared), ready_addr).await;
        let ready = ready.change_context_lazy(failed("the balancer", ready_addr))?;
        let caller_addr = shared.settings.caller_addr;
        let callers = bind_callers(Arc::clone(&shared), caller_addr).await;
        let callers = callers.change_context_lazy(failed("callers", caller_addr))?;
        log_event!(
            info, Started, vm = shared.settings.name, zone = %shared.settings.zone,
            callers = %caller_addr
        );
        Ok(NodeProcess { shared, settings_file, callers, _servers: (peer_api, ready, operator) })
    }

    /// Reads the settings file again.
    pub fn reload(&self) {
        self.settings_file.reload();
    }

    /// Hands the targets over, answers what is in progress and returns.
    pub async fn drain(self) {
        log_event!(info, DrainBegun);
        self.shared.begin_drain();
        self.callers.close_after_responses();
        let end_ms = self.shared.live_settings().grace_ms.saturating_sub(GRACE_MARGIN_MS);
        loop {
            let drained_ms = self.shared.draining_for_ms().unwrap_or(0);
            if drained_ms > SUCCESSOR_WAIT_MS {
                self.give_up_ownership();
            }
            let idle = drained_ms > DRAIN_MIN_MS && self.callers.requests() == 0;
            if idle || drained_ms > end_ms {
                break;
            }
            task::sleep(Duration::from_millis(DRAIN_POLL_MS)).await;
        }
        let now_ms = self.shared.now_ms();
        for request in self.shared.open_requests.list() {
            let waited_ms = now_ms - request.received_at_ms;
            log_event!(warn, RequestCutOff, job = %request.job, waited_ms);
        }
        log_event!(info, DrainEnded, requests = self.callers.requests());
    }

    fn give_up_ownership(&self) {
        if self.shared.ownership.lock().release() {
            log_event!(info, OwnershipReleased, reason = "the process stops");
        }
        if let Some(owner) = self.shared.owner.swap(None) {
            owner.stop();
        }
    }
}

async fn bind_ready(
    shared: Arc<Shared>,
    addr: SocketAddr,
) -> Result<HttpServer, Report<ggb_http::HttpError>> {
    let handler = move |_: Request| {
        let phase = phase(&shared);
        if shared.set_ready(phase.is_ready()) {
            log_event!(info, ReadinessChanged, phase = ?phase);
        }
        let status = match phase.is_ready() {
            true => StatusCode::Ok,
            false => StatusCode::ServiceUnavailable,
        };
        async move { Response::new(status) }
    };
    HttpServer::bind(addr, ServerLimits::default(), handler).await
}

fn phase(shared: &Shared) -> Phase {
    let has_owner = shared.owner.load().is_some() || {
        let ownership = shared.ownership.lock();
        let owner = ownership.owner_of(&shared.settings.zone);
        owner.is_some_and(|owner| owner.is_alive(shared.now_ms()))
    };
    match shared.configuration.load().is_some() && has_owner {
        _ if shared.draining_for_ms().is_some() => Phase::Draining,
        true => Phase::Serving,
        false => Phase::Starting,
    }
}

struct Status(Arc<Shared>);

impl StatusSource for Status {
    fn phase(&self) -> Phase {
        phase(&self.0)
    }

    fn details(&self) -> Value {
        let ownership = self.0.ownership.lock();
        let owner = ownership.owner_of(&self.0.settings.zone);
        let configuration = self.0.configuration.load();
        json!({
            "vm": self.0.settings.name,
            "zone": self.0.settings.zone,
            "claim": ownership.claim(),
            "owner": owner.map(|owner| &owner.heartbeat.node.name),
            "configuration_version": configuration.as_ref().map(|current| current.version),
        })
    }

    fn metrics(&self) -> &dyn Gauges {
        &self.0.metrics
    }
}
