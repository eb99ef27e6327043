//! What the processes ask of each other.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_std::future::timeout;
use ggb_http::{
    HttpServer, PeerConnection, Sent, ServerLimits, json_response, read_body, text_response,
};
use ggb_membership::Sender;
use ggb_placement::{JobAnswer, Submission};
use ggb_telemetry::log_event;
use http_types::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::shared::Shared;

/// How long an owner holds back the answer of a job that has not ended. Bounds the time
/// for which a process that lost its connection without noticing keeps its jobs running.
const JOB_WAIT_MS: u64 = 400;

/// How long a message between processes may be under way.
const PEER_TIMEOUT_MS: u64 = 200;

/// How long the sender of a job waits for an answer; what arrives later is not wanted any
/// more.
const JOB_TIMEOUT_MS: u64 = JOB_WAIT_MS + PEER_TIMEOUT_MS;

/// The most bytes of a submission between processes.
const SUBMISSION_BYTES: usize = 1 << 20;

/// What an owner says of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum JobReply {
    /// It has ended, or was refused.
    Answered(JobAnswer),
    /// It goes on; to be asked again at once.
    Pending {
        /// The token of the owner's claim.
        token: u64,
    },
}

/// A job that a process passes on.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
struct JobMessage<S> {
    sender: Sender,
    submission: S,
}

/// Binds the address for messages of other processes.
pub(crate) async fn bind_peer_api(
    shared: Arc<Shared>,
    addr: SocketAddr,
) -> Result<HttpServer, error_stack::Report<ggb_http::HttpError>> {
    let handler = move |request: Request| {
        let shared = Arc::clone(&shared);
        async move { handle(&shared, request).await }
    };
    HttpServer::bind(addr, ServerLimits::default(), handler).await
}

async fn handle(shared: &Shared, mut request: Request) -> Response {
    match (request.method(), request.url().path()) {
        (Method::Post, "/jobs") => {
            let connection = PeerConnection::of(&request);
            match read_job(&mut request).await {
                Ok(message) => take_job(shared, message, connection).await,
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
            let targets = shared.targets.lock().clone();
            json_response(StatusCode::Ok, &targets)
        }
        _ => text_response(StatusCode::NotFound, "{}"),
    }
}

async fn read_job(request: &mut Request) -> Result<JobMessage<Submission>, String> {
    let body = read_body(request, SUBMISSION_BYTES).await.map_err(|error| error.to_string())?;
    serde_json::from_slice(&body).map_err(|error| error.to_string())
}

async fn take_job(
    shared: &Shared,
    message: JobMessage<Submission>,
    connection: Option<PeerConnection>,
) -> Response {
    if connection.as_ref().is_some_and(PeerConnection::is_closed) {
        return Response::new(StatusCode::RequestTimeout);
    }
    let JobMessage { sender, submission } = message;
    let delay_ms = shared.ownership.lock().delay_ms(&sender, shared.now_ms()).unwrap_or(0);
    if delay_ms > JOB_TIMEOUT_MS {
        // The sender has given the job up, and its caller may have sent it elsewhere.
        log_event!(warn, PeerMessageLate, job = %submission.job.id, peer = sender.name, delay_ms);
        return json_response(StatusCode::Ok, &JobReply::Answered(JobAnswer::NotTaken));
    }
    let Some(owner) = shared.owner.load_full() else {
        return json_response(StatusCode::Ok, &JobReply::Answered(JobAnswer::NotTaken));
    };
    let mut waiter = owner.submit(submission);
    let answer = timeout(Duration::from_millis(JOB_WAIT_MS), waiter.answer());
    match PeerConnection::unless_closed(connection.as_ref(), answer).await {
        Some(Ok(answer)) => json_response(StatusCode::Ok, &JobReply::Answered(answer)),
        Some(Err(_)) => json_response(StatusCode::Ok, &JobReply::Pending { token: owner.token() }),
        None => Response::new(StatusCode::RequestTimeout),
    }
}

/// Passes a job to the owner at `addr` and returns what it says.
///
/// # Errors
///
/// Says whether the owner may have taken the job.
pub(crate) async fn send_job(
    shared: &Shared,
    addr: SocketAddr,
    submission: &Submission,
) -> Result<JobReply, Sent> {
    let sender = shared.ownership.lock().sender(shared.now_ms());
    let message = JobMessage { sender, submission };
    let body = serde_json::to_vec(&message).expect("submissions have only string keys");
    let sent = shared.http.post(addr, "/jobs", body, JOB_TIMEOUT_MS).await;
    let reply = sent.map_err(|error| error.current_context().sent())?;
    serde_json::from_slice(&reply.body).map_err(|error| {
        log_event!(warn, PeerMessageInvalid, peer = %addr, error = %error);
        Sent::Maybe
    })
}
