//! Routing of caller requests to the process that can answer them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use ggb_control::ChannelPool;
use ggb_model::{OutcomeKind, SubmissionId, UnknownReason};
use ggb_session::EncodedOutcome;
use ggb_wire::v1::{Action, ForwardReply, ForwardRequest, peer_client::PeerClient};
use tonic::Request;

use crate::{
    drained_homes::DrainedHomes,
    home::{Home, answer_from_status, unknown_answer},
    peers::PeerExchange,
};

/// Time allowed for a forwarded request in addition to the caller's own wait.
const FORWARD_MARGIN_MS: u64 = 1_500;
/// Maximum size of a message between entry processes.
const MAX_MESSAGE_BYTES: usize = 80 << 20;

/// Request of a caller about one submission.
#[derive(Clone, Debug)]
pub(crate) struct CallerRequest {
    pub(crate) id: SubmissionId,
    pub(crate) action: Action,
    pub(crate) body: Vec<u8>,
    /// Maximum time that the caller waits for the outcome.
    pub(crate) wait_ms: u32,
}

/// Routes a request to the home of its session or, if the home has drained, to a
/// process that holds the home's sealed table.
pub(crate) struct Router {
    home: Arc<Home>,
    drained_homes: Arc<DrainedHomes>,
    peer_exchange: Arc<PeerExchange>,
    channels: Arc<ChannelPool>,
}

impl Router {
    pub(crate) const fn new(
        home: Arc<Home>,
        drained_homes: Arc<DrainedHomes>,
        peer_exchange: Arc<PeerExchange>,
        channels: Arc<ChannelPool>,
    ) -> Self {
        Router { home, drained_homes, peer_exchange, channels }
    }

    /// Answers a request, locally if possible and otherwise by forwarding it.
    pub(crate) async fn route(&self, request: CallerRequest) -> EncodedOutcome {
        if let Some(answer) = self.answer_locally(&request).await {
            return answer;
        }
        let home = request.id.session.home;
        if let Some(holders) = self.drained_homes.holders(home) {
            return self.forward_to_holders(&holders, &request).await;
        }
        match self.forward(home.addr, &request).await {
            ForwardResult::Answered(answer) => answer,
            ForwardResult::NoAnswer => unknown_answer(UnknownReason::HomeUnreachable, true),
            ForwardResult::WrongProcess => {
                // Another process has the home's address now. If the home drained, its peers
                // know which processes hold its sealed table.
                self.peer_exchange.exchange_with_all().await;
                match self.drained_homes.holders(home) {
                    Some(holders) => self.forward_to_holders(&holders, &request).await,
                    None => unknown_answer(UnknownReason::HomeGone, false),
                }
            }
        }
    }

    /// Answers a request from the sessions or sealed tables of this process.
    ///
    /// Returns `None` if this process has neither the session nor its sealed table.
    pub(crate) async fn answer_locally(&self, request: &CallerRequest) -> Option<EncodedOutcome> {
        let id = request.id;
        if let Some(status) = self.drained_homes.lookup(&id.session, id.sequence) {
            return Some(answer_from_status(status));
        }
        if id.session.home != self.home.id {
            return None;
        }
        let answer = match request.action {
            Action::Submit => self.home.submit(id, &request.body, request.wait_ms).await,
            Action::Ask | Action::Unspecified => {
                self.home.wait_for_answer(id, request.wait_ms).await
            }
            Action::Cancel => self.home.cancel(id),
            Action::Acknowledge => self.home.acknowledge(&id.session, id.sequence),
        };
        Some(answer)
    }

    async fn forward_to_holders(
        &self,
        holders: &[SocketAddr],
        request: &CallerRequest,
    ) -> EncodedOutcome {
        for holder in holders {
            if let ForwardResult::Answered(answer) = self.forward(*holder, request).await {
                return answer;
            }
        }
        unknown_answer(UnknownReason::HomeUnreachable, true)
    }

    async fn forward(&self, addr: SocketAddr, request: &CallerRequest) -> ForwardResult {
        let message = ForwardRequest {
            session: request.id.session.to_string(),
            sequence: request.id.sequence.0,
            action: request.action.into(),
            body: request.body.clone(),
            wait_ms: request.wait_ms,
        };
        let mut forward = Request::new(message);
        let timeout_ms = u64::from(request.wait_ms) + FORWARD_MARGIN_MS;
        let timeout = Duration::from_millis(timeout_ms);
        forward.set_timeout(timeout);
        let mut client = PeerClient::new(self.channels.get(addr))
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES);
        self.home.metrics.messages.with_label_values(&["forward"]).inc();
        let reply = async_std::future::timeout(timeout, client.forward(forward)).await;
        let forwarded = match reply {
            Ok(Ok(reply)) => decode_reply(reply.into_inner()),
            Ok(Err(_)) | Err(_) => ForwardResult::NoAnswer,
        };
        if !matches!(forwarded, ForwardResult::Answered(_)) {
            self.home.metrics.wasted_messages.with_label_values(&["forward"]).inc();
        }
        forwarded
    }
}

enum ForwardResult {
    Answered(EncodedOutcome),
    /// The call failed or timed out, so it is unknown whether the request was received.
    NoAnswer,
    /// The receiver has neither the session nor its sealed table.
    WrongProcess,
}

fn decode_reply(reply: ForwardReply) -> ForwardResult {
    if reply.wrong_process {
        return ForwardResult::WrongProcess;
    }
    match OutcomeKind::ALL.get(reply.kind as usize) {
        Some(kind) => ForwardResult::Answered(EncodedOutcome::from_encoded(*kind, reply.outcome)),
        None => ForwardResult::NoAnswer,
    }
}

/// Encodes the reply to a forwarded request; `None` means that this is the wrong process.
pub(crate) fn encode_reply(answer: Option<EncodedOutcome>) -> ForwardReply {
    match answer {
        Some(answer) => ForwardReply {
            kind: answer.kind() as u32,
            outcome: answer.as_str().to_owned(),
            wrong_process: false,
        },
        None => ForwardReply { outcome: String::new(), wrong_process: true, kind: 0 },
    }
}
