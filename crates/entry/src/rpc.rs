//! gRPC service for the other entry processes.

use std::{net::SocketAddr, sync::Arc};

use ggb_control::{Configuration, Members, MonotonicClock};
use ggb_membership::{Role, Vm};
use ggb_model::{Sequence, SubmissionId, Zone};
use ggb_session::SealedTable;
use ggb_telemetry::log_event;
use ggb_wire::{
    parse_addrs,
    v1::{
        ExchangeReply, ExchangeRequest, ForwardReply, ForwardRequest, HandoffReply, HandoffRequest,
        Moved, peer_server::Peer,
    },
};
use tonic::{Request, Response, Status};

use crate::{
    drained_homes::DrainedHomes,
    home::Home,
    router::{CallerRequest, Router, encode_reply},
};

/// Maximum time that a forwarded request may wait for an answer.
const MAX_WAIT_MS: u32 = 60_000;

/// Handler of forwarded requests, state exchanges and handoffs from peers.
pub(crate) struct PeerService {
    pub(crate) home: Arc<Home>,
    pub(crate) zone: Zone,
    pub(crate) clock: MonotonicClock,
    pub(crate) router: Arc<Router>,
    pub(crate) drained_homes: Arc<DrainedHomes>,
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) members: Arc<Members>,
}

#[tonic::async_trait]
impl Peer for PeerService {
    async fn forward(
        &self,
        request: Request<ForwardRequest>,
    ) -> Result<Response<ForwardReply>, Status> {
        let message = request.into_inner();
        let action = message.action();
        let session = message
            .session
            .parse()
            .map_err(|error| Status::invalid_argument(format!("{error}")))?;
        let request = CallerRequest {
            id: SubmissionId { session, sequence: Sequence(message.sequence) },
            action,
            body: message.body,
            wait_ms: message.wait_ms.min(MAX_WAIT_MS),
        };
        Ok(Response::new(encode_reply(self.router.answer_locally(&request).await)))
    }

    async fn exchange(
        &self,
        request: Request<ExchangeRequest>,
    ) -> Result<Response<ExchangeReply>, Status> {
        let message = request.into_inner();
        let snapshot = self.configuration.snapshot();
        let newer_snapshot = snapshot.as_ref().filter(|snapshot| {
            message.generation.is_none_or(|known| known < snapshot.generation().0)
        });
        let same_incarnation = message.known_home == self.home.id.to_string();
        let newer = self.drained_homes.recorded_after(if same_incarnation {
            message.known_move
        } else {
            0
        });
        let drained_homes = newer.homes.iter().map(|(home, holders)| Moved {
            home: home.to_string(),
            holders: holders.iter().map(SocketAddr::to_string).collect(),
        });
        Ok(Response::new(ExchangeReply {
            home: self.home.id.to_string(),
            zone: self.zone.to_string(),
            generation: snapshot.as_ref().map(|snapshot| snapshot.generation().0),
            snapshot: newer_snapshot.and_then(|snapshot| serde_json::to_string(&**snapshot).ok()),
            moved: drained_homes.collect(),
            draining: self.home.is_draining(),
            vms: message.wants_vms.then(|| self.encode_vms()).flatten(),
            last_move: newer.last_number,
        }))
    }

    async fn handoff(
        &self,
        request: Request<HandoffRequest>,
    ) -> Result<Response<HandoffReply>, Status> {
        let message = request.into_inner();
        let invalid = |error: String| Status::invalid_argument(error);
        let table: SealedTable =
            serde_json::from_str(&message.table).map_err(|error| invalid(error.to_string()))?;
        let holders = parse_addrs(&message.holders).map_err(|error| invalid(error.to_string()))?;
        let (home, sessions) = (table.home(), table.session_count());
        if !self.drained_homes.adopt_table(table, &holders, self.clock.now_ms()) {
            return Err(Status::resource_exhausted("no room for another sealed table"));
        }
        if sessions > 0 {
            log_event!(info, TableAdopted, home = %home, sessions);
        }
        Ok(Response::new(HandoffReply {}))
    }
}

impl PeerService {
    /// Returns the VMs of all roles that may get new work, as JSON.
    fn encode_vms(&self) -> Option<String> {
        let view = self.members.view();
        let roles = [Role::Entry, Role::Dispatch, Role::Target];
        let vms: Vec<&Vm> = roles.into_iter().flat_map(|role| view.active(role)).collect();
        serde_json::to_string(&vms).ok()
    }
}
