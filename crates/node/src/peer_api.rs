//! HTTP interface between the processes: jobs, configuration and target list.

use std::{
    net::{IpAddr, SocketAddr},
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use async_std::{future::timeout, task};
use ggb_http::{
    ClientConnection, HttpServer, Sent, ServerLimits, json_response, json_text_response, read_body,
};
use ggb_membership::{ClockReading, MessageSender, RecipientTime};
use ggb_placement::{ClaimId, JobAnswer, Submission, TargetInfo};
use ggb_telemetry::log_event;
use http_types::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::{configuration::fetch_from_peer, shared::Shared};

/// Time after which an owner replies [`JobReply::Pending`] to a job that has not ended. Also
/// bounds how long an owner keeps jobs running whose sender is unreachable while the connection to
/// it still appears open.
///
/// The sender checks its caller before it sends the job again; the older the last check, the shorter
/// are the leases under which tasks of the job run.
pub(crate) const MAX_REPLY_DELAY_MS: u64 = 400;

/// Value of [`MAX_REPLY_DELAY_MS`] for parts, of whose callers the sender learns from others.
const MAX_PART_REPLY_DELAY_MS: u64 = 200;

/// Maximum time that the network takes for a request and its reply.
const NETWORK_TIMEOUT_MS: u64 = 200;

/// Time for which the sender of a job waits for the reply. A job that arrives later than this is
/// rejected, since its sender no longer waits and may have sent the job to another owner.
const REPLY_TIMEOUT_MS: u64 = MAX_REPLY_DELAY_MS + NETWORK_TIMEOUT_MS;

/// Maximum size of a submission between processes.
const MAX_SUBMISSION_BYTES: usize = 1 << 20;

/// Reply of an owner to a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum JobReply {
    /// The owner is done with the job: it has ended, or another owner must take it.
    Answered(JobAnswer),
    /// The job has no answer yet; the sender sends it again at once.
    Pending {
        /// The owner's claim; a former build has its fencing token here.
        #[serde(rename = "token")]
        claim: ClaimId,
    },
    /// The job was not taken, since it may have been sent too long ago. The sender sends it again
    /// with this reading of the recipient's clock, if it still waits.
    Resend {
        /// The recipient's clock at the time of the reply.
        clock: ClockReading,
    },
}

/// The list of targets as a process knows it.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct TargetList {
    /// Version of the store up to which the list is current; 0 if it was never read.
    pub(crate) version: u64,
    /// The targets of all zones, sorted by id.
    pub(crate) targets: Vec<TargetInfo>,
}

/// A job that a process sends to an owner.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
struct JobMessage<S> {
    sender: MessageSender,
    submission: S,
    /// Version of the sender's configuration; 0 if the sender does not tell.
    #[serde(default)]
    configuration_version: u64,
    /// What the sender knew of the recipient's clock at the time to which the ages in the
    /// submission refer.
    #[serde(default)]
    recipient_time: RecipientTime,
}

/// Starts the HTTP server for other processes on `addr`.
pub(crate) async fn bind_peer_api(
    shared: Arc<Shared>,
    addr: SocketAddr,
) -> Result<HttpServer, error_stack::Report<ggb_http::HttpError>> {
    let handler = move |request: Request| {
        let shared = Arc::clone(&shared);
        async move { handle_request(&shared, request).await }
    };
    HttpServer::bind(addr, ServerLimits::default(), handler).await
}

async fn handle_request(shared: &Arc<Shared>, mut request: Request) -> Response {
    match (request.method(), request.url().path()) {
        (Method::Post, "/jobs") => {
            let connection = ClientConnection::of_request(&request);
            match read_job(&mut request).await {
                Ok(message) => submit_job(shared, message, connection).await,
                Err(message) => {
                    log_event!(warn, PeerMessageInvalid, error = message);
                    json_response(StatusCode::BadRequest, &message)
                }
            }
        }
        (Method::Get, "/configuration") => match shared.configuration.load_full() {
            Some(configuration) => json_response(StatusCode::Ok, &configuration),
            None => Response::new(StatusCode::NotFound),
        },
        (Method::Get, "/targets") => {
            let version = shared.targets_version.load(Ordering::Relaxed);
            let mut query = request.url().query_pairs();
            let known = query.find(|(name, _)| name == "known").map(|(_, value)| value.parse());
            if known.is_some_and(|known| known == Ok(version)) {
                return Response::new(StatusCode::NoContent);
            }
            let targets = shared.targets.lock().clone();
            json_response(StatusCode::Ok, &TargetList { version, targets })
        }
        (Method::Get, "/target-losses") => {
            let losses = shared.target_losses();
            json_response(StatusCode::Ok, &losses)
        }
        _ => json_text_response(StatusCode::NotFound, "{}"),
    }
}

async fn read_job(request: &mut Request) -> Result<JobMessage<Submission>, String> {
    let body = read_body(request, MAX_SUBMISSION_BYTES).await.map_err(|error| error.to_string())?;
    serde_json::from_slice(&body).map_err(|error| error.to_string())
}

async fn submit_job(
    shared: &Arc<Shared>,
    message: JobMessage<Submission>,
    connection: Option<ClientConnection>,
) -> Response {
    if connection.as_ref().is_some_and(ClientConnection::is_closed) {
        return Response::new(StatusCode::RequestTimeout);
    }
    let JobMessage { sender, mut submission, configuration_version, recipient_time } = message;
    fetch_configuration_if_newer(shared, &sender, configuration_version);
    let now_ms = shared.now_ms();
    let max_age_ms = shared.ownership.lock().max_message_age_ms(&sender, recipient_time, now_ms);
    let max_age_ms = match max_age_ms {
        Some(max_age_ms) if max_age_ms <= REPLY_TIMEOUT_MS => max_age_ms,
        _ => {
            log_stale_job(shared, &sender, &submission, recipient_time, max_age_ms);
            let reply = match recipient_time {
                RecipientTime::NotReported => JobReply::Answered(JobAnswer::NotTaken),
                RecipientTime::Unknown | RecipientTime::AtLeast(_) => {
                    JobReply::Resend { clock: shared.ownership.lock().clock_reading(now_ms) }
                }
            };
            return json_response(StatusCode::Ok, &reply);
        }
    };
    let Some(owner) = shared.owner.load_full() else {
        return json_response(StatusCode::Ok, &JobReply::Answered(JobAnswer::NotTaken));
    };
    submission.caller_check_age_ms = submission.caller_check_age_ms.saturating_add(max_age_ms);
    let max_delay_ms = match submission.part {
        Some(_) => MAX_PART_REPLY_DELAY_MS,
        None => MAX_REPLY_DELAY_MS,
    };
    let mut pending_job = owner.submit(submission);
    let answer = timeout(Duration::from_millis(max_delay_ms), pending_job.answer());
    match ClientConnection::run_until_closed(connection.as_ref(), answer).await {
        Some(Ok(answer)) => json_response(StatusCode::Ok, &JobReply::Answered(answer)),
        Some(Err(_)) => {
            json_response(StatusCode::Ok, &JobReply::Pending { claim: owner.claim_id() })
        }
        None => Response::new(StatusCode::RequestTimeout),
    }
}

/// Logs a job that is not taken because its age is unknown or too high.
fn log_stale_job(
    shared: &Shared,
    sender: &MessageSender,
    submission: &Submission,
    recipient_time: RecipientTime,
    max_age_ms: Option<u64>,
) {
    let job = &submission.job.id;
    let part = submission.part;
    match max_age_ms {
        Some(max_age_ms) => {
            log_event!(warn, PeerMessageLate, job = %job, part, peer = sender.name, max_age_ms);
        }
        None => {
            let ownership = shared.ownership.lock();
            let now_ms = shared.now_ms();
            let heard = ownership.find_peer(&sender.name);
            log_event!(
                info, PeerMessageUndated, job = %job, part, peer = sender.name,
                incarnation = sender.incarnation, clock_ms = sender.clock_ms,
                recipient_time = ?recipient_time,
                heard_incarnation = heard.map(|peer| peer.heartbeat.incarnation),
                heard_since_ms = heard.map(|peer| now_ms.saturating_sub(peer.incarnation_since_ms)),
                heard_ms_ago = heard.map(|peer| now_ms.saturating_sub(peer.last_heartbeat_ms))
            );
        }
    }
}

/// Fetches the configuration under which a peer has sent a job, if it is newer than the own one.
fn fetch_configuration_if_newer(shared: &Arc<Shared>, sender: &MessageSender, peer_version: u64) {
    let own_version = shared.configuration_version();
    let Some(ip) = shared.ownership.lock().ip_of(&sender.name) else { return };
    let fetches =
        shared.configuration_gossip.lock().record_version_in_use(own_version, peer_version);
    if fetches {
        task::spawn(fetch_from_peer(Arc::clone(shared), ip));
    }
}

/// Sends a job to the owner at `ip` and returns the owner's reply.
///
/// `sent_at_ms` is the time to which the ages in the submission refer. `reading` is a reading of
/// the owner's clock from before that time, if the owner sent one in its last reply.
///
/// # Errors
///
/// Returns an error if there is no valid reply. [`Sent`] tells whether the owner may have taken
/// the job.
pub(crate) async fn send_job(
    shared: &Shared,
    ip: IpAddr,
    submission: &Submission,
    sent_at_ms: u64,
    reading: Option<ClockReading>,
) -> Result<JobReply, Sent> {
    let (sender, recipient_time) = {
        let ownership = shared.ownership.lock();
        let recipient_time = match reading {
            Some(reading) => RecipientTime::AtLeast(reading),
            None => ownership.recipient_time(ip, sent_at_ms),
        };
        (ownership.message_sender(sent_at_ms), recipient_time)
    };
    let configuration_version = shared.configuration_version();
    let message = JobMessage { sender, submission, configuration_version, recipient_time };
    let body = serde_json::to_vec(&message)
        .expect("a submission serializes to JSON because its map keys are strings");
    let addr = shared.peer_addr(ip);
    let result = shared.http.post(addr, "/jobs", body, REPLY_TIMEOUT_MS).await;
    let reply = result.map_err(|error| error.current_context().sent())?;
    let reply = serde_json::from_slice(&reply.body).map_err(|error| {
        log_event!(warn, PeerMessageInvalid, peer = %addr, error = %error);
        Sent::Maybe
    })?;
    if let JobReply::Resend { clock } = reply {
        shared.ownership.lock().record_reading(ip, clock, sent_at_ms, shared.now_ms());
    }
    Ok(reply)
}
