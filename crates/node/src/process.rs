//! Start, status and shutdown of the process.

use std::{
    fmt,
    net::{IpAddr, SocketAddr},
    path::PathBuf,
    sync::Arc,
    time::Duration,
};

use async_std::{future::timeout, task};
use error_stack::{Report, ResultExt as _};
use ggb_adapter::NodeSettings;
use ggb_control::MonotonicClock;
use ggb_http::{ClientOptions, HttpClient, HttpServer, ServerLimits};
use ggb_membership::{Node, Ownership};
use ggb_telemetry::{MetricSet, OperatorServer, Phase, StatusSource, log_event};
use http_types::{Request, Response, StatusCode};
use serde_json::{Value, json};

use crate::{
    callers::bind_callers,
    configuration::watch_configuration,
    directory::watch_targets,
    peer_api::bind_peer_api,
    peers::{fetch_target_losses, maintain_membership, spawn_heartbeats},
    settings_file::SettingsFile,
    shared::Shared,
};

/// Timeout for opening a connection, which usually takes 3 ms within a region.
pub(crate) const CONNECT_TIMEOUT_MS: u64 = 150;

/// Maximum size of a response from a target, the store or a peer.
const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// Maximum number of idle connections to one address.
const MAX_IDLE_CONNECTIONS_PER_PEER: usize = 16;

/// Maximum time after the request to stop for which an owner waits for a successor to claim its
/// targets; then it releases them.
const MAX_SUCCESSOR_WAIT_MS: u64 = 500;

/// Minimum time between the request to stop and the exit. The load balancer needs two
/// readiness checks, one second apart, to notice that the process drains; callers on open
/// connections learn of it by their next response.
const MIN_DRAIN_MS: u64 = 2_600;

/// Part of the platform's grace period that is left when the process exits at the latest.
const EXIT_MARGIN_MS: u64 = 400;

/// Interval at which a draining process checks for open requests.
const DRAIN_POLL_INTERVAL_MS: u64 = 50;

/// Error of a process that can't bind one of its addresses at start.
#[derive(Debug)]
pub struct BindError {
    purpose: &'static str,
    addr: SocketAddr,
}

impl fmt::Display for BindError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "cannot bind {} for {}: expected a local address with a free port",
            self.addr, self.purpose
        )
    }
}

impl std::error::Error for BindError {}

/// Listening address and port of a process that are not in its settings file.
#[derive(Clone, Copy, Debug)]
pub struct NodeListeners {
    /// Local address for peers, operators and outgoing connections; defaults to the address in the
    /// settings file, which peers use to reach the process.
    pub bind_ip: Option<IpAddr>,
    /// Port of the operator interface, which serves status and metrics.
    pub operator_port: u16,
}

/// A running process of an entry VM.
pub struct NodeProcess {
    shared: Arc<Shared>,
    settings_file: Arc<SettingsFile>,
    callers: HttpServer,
    /// Servers for peers, the load balancer and operators, which stop when dropped.
    _servers: (HttpServer, HttpServer, OperatorServer),
}

impl NodeProcess {
    /// Starts a process with `settings`, which were read from the file at `path`.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound.
    pub async fn spawn(
        settings: NodeSettings,
        path: PathBuf,
        listeners: NodeListeners,
    ) -> Result<Self, Report<BindError>> {
        let clock = MonotonicClock::start();
        let http = Arc::new(HttpClient::new(ClientOptions {
            connect_timeout_ms: CONNECT_TIMEOUT_MS,
            max_body_bytes: MAX_MESSAGE_BYTES,
            max_idle_per_peer: MAX_IDLE_CONNECTIONS_PER_PEER,
            source_ip: listeners.bind_ip,
        }));
        let own_node = Node {
            name: settings.name.clone(),
            ip: settings.ip,
            zone: settings.zone.clone(),
            cpu_milli: settings.cpu_milli,
        };
        let ownership = Ownership::new(own_node, rand::random(), clock.now_ms());
        let shared = Arc::new(Shared::new(settings, clock, http, ownership));
        shared.add_seeds();
        let bind_error = |purpose, addr| move || BindError { purpose, addr };
        let bind_ip = listeners.bind_ip.unwrap_or(shared.settings.ip);
        let peer_addr = shared.peer_addr(bind_ip);
        let peer_api = bind_peer_api(Arc::clone(&shared), peer_addr).await;
        let peer_api = peer_api.change_context_lazy(bind_error("messages of peers", peer_addr))?;
        let heartbeats = spawn_heartbeats(Arc::clone(&shared), peer_addr).await;
        heartbeats.change_context_lazy(bind_error("heartbeats", peer_addr))?;
        task::spawn(maintain_membership(Arc::clone(&shared)));
        task::spawn(fetch_target_losses(Arc::clone(&shared)));
        task::spawn(watch_configuration(Arc::clone(&shared)));
        task::spawn(watch_targets(Arc::clone(&shared)));
        let settings_file = Arc::new(SettingsFile::load(path, Arc::clone(&shared)));
        task::spawn(Arc::clone(&settings_file).watch());
        let operator_addr = SocketAddr::new(bind_ip, listeners.operator_port);
        let operator =
            OperatorServer::bind(operator_addr, Arc::new(NodeStatus(Arc::clone(&shared))));
        let operator =
            operator.await.change_context_lazy(bind_error("operators", operator_addr))?;
        let ready_addr = shared.settings.ready_addr;
        let ready = bind_ready(Arc::clone(&shared), ready_addr).await;
        let ready = ready.change_context_lazy(bind_error("the load balancer", ready_addr))?;
        let caller_addr = shared.settings.caller_addr;
        let callers = bind_callers(Arc::clone(&shared), caller_addr).await;
        let callers = callers.change_context_lazy(bind_error("callers", caller_addr))?;
        let incarnation = shared.ownership.lock().message_sender(0).incarnation;
        log_event!(
            info, Started, vm = shared.settings.name, zone = %shared.settings.zone,
            callers = %caller_addr, incarnation
        );
        Ok(NodeProcess { shared, settings_file, callers, _servers: (peer_api, ready, operator) })
    }

    /// Reloads the settings file.
    pub fn reload(&self) {
        self.settings_file.reload();
    }

    /// Shuts the process down: releases the targets, stops accepting requests once none is open, and
    /// waits for the responses to those that arrived meanwhile.
    ///
    /// Returns when no request is open, or shortly before the platform's grace period ends.
    pub async fn drain(self) {
        log_event!(info, DrainBegun);
        self.shared.begin_drain();
        self.callers.close_after_responses();
        let max_drain_ms = self.shared.live_settings().grace_ms.saturating_sub(EXIT_MARGIN_MS);
        loop {
            let drained_ms = self.shared.draining_ms().unwrap_or(0);
            if drained_ms > MAX_SUCCESSOR_WAIT_MS {
                self.release_ownership();
            }
            let is_idle = drained_ms > MIN_DRAIN_MS && self.callers.requests_in_progress() == 0;
            if is_idle || drained_ms > max_drain_ms {
                break;
            }
            task::sleep(Duration::from_millis(DRAIN_POLL_INTERVAL_MS)).await;
        }
        let left_ms = max_drain_ms.saturating_sub(self.shared.draining_ms().unwrap_or(0));
        timeout(Duration::from_millis(left_ms), self.callers.stop()).await.ok();
        let cut_off = self.shared.open_requests.list();
        let now_ms = self.shared.now_ms();
        for request in &cut_off {
            let waited_ms = now_ms - request.received_at_ms;
            log_event!(warn, RequestCutOff, job = %request.job, waited_ms);
        }
        log_event!(info, DrainEnded, requests = cut_off.len());
    }

    fn release_ownership(&self) {
        let (token, was_owner) = {
            let mut ownership = self.shared.ownership.lock();
            (ownership.claim_token(), ownership.release())
        };
        if was_owner {
            log_event!(info, OwnershipReleased, reason = "the process stops", token);
        }
        if let Some(owner) = self.shared.owner.swap(None) {
            owner.stop();
        }
    }
}

/// Starts the HTTP server for the load balancer's readiness checks on `addr`.
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

/// Returns the phase of the process, which is ready with a configuration and a known owner.
fn phase(shared: &Shared) -> Phase {
    let has_owner = shared.owner.load().is_some() || {
        let ownership = shared.ownership.lock();
        let owner = ownership.owner_of(&shared.settings.zone);
        owner.is_some_and(|owner| owner.is_alive(shared.now_ms()))
    };
    match shared.configuration.load().is_some() && has_owner {
        _ if shared.draining_ms().is_some() => Phase::Draining,
        true => Phase::Serving,
        false => Phase::Starting,
    }
}

struct NodeStatus(Arc<Shared>);

impl StatusSource for NodeStatus {
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
            "claim": ownership.claim_token(),
            "owner": owner.map(|owner| &owner.heartbeat.node.name),
            "known_processes": ownership.members().as_slice().len(),
            "configuration_version": configuration.as_ref().map(|current| current.version),
        })
    }

    fn metrics(&self) -> &dyn MetricSet {
        &self.0.metrics
    }
}
