//! Requests of callers.

use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use async_std::{future::timeout, task};
use error_stack::Report;
use ggb_adapter::{
    CallerRequest, Configuration, Queue, decode_job, decode_request, job_response, pending_response,
};
use ggb_http::{
    HttpError, HttpServer, PeerConnection, Sent, ServerLimits, json_response, read_body,
};
use ggb_placement::{EarlierRuns, JobAnswer, JobId, Offer, RefusalReason, Submission};
use ggb_telemetry::{log_event, log_job_event};
use http_types::{Method, Request, Response, StatusCode, headers::RETRY_AFTER};
use serde_json::json;

use crate::{
    open_requests::OpenRequest,
    owner::Owner,
    peer_api::{JobReply, send_job},
    shared::Shared,
};

/// The pause before a job that no owner could take is offered again.
const OWNER_PAUSE_MS: u64 = 20;

/// How long a job that was never offered to an owner waits for one. A new owner is there
/// after at most this time, unless the zone has none.
const OWNER_WAIT_MS: u64 = 700;

/// How long after the request to stop new jobs are still taken: the balancer sends no new
/// connections after two missed checks, a second apart.
const DRAIN_ACCEPT_MS: u64 = 3_000;

/// How long a job without a deadline of its caller may take.
const DEFAULT_DEADLINE_MS: u64 = 60_000;

/// Binds the address for callers.
pub(crate) async fn bind_callers(
    shared: Arc<Shared>,
    addr: SocketAddr,
) -> Result<HttpServer, Report<HttpError>> {
    let handler = move |request: Request| {
        let shared = Arc::clone(&shared);
        async move { handle(&shared, request).await }
    };
    HttpServer::bind(addr, ServerLimits::default(), handler).await
}

async fn handle(shared: &Shared, mut request: Request) -> Response {
    let asked = decode_request(&request);
    let Some(configuration) = shared.configuration.load_full() else {
        return refusal("no configuration yet", 1_000);
    };
    let Some((queue, rest)) = configuration.queue_for(&asked.host, &asked.path) else {
        return json_response(StatusCode::NotFound, &json!({ "error": "no such queue" }));
    };
    match (asked.method, rest) {
        // No job is accepted without being answered, so none waits to begin.
        (Method::Get, "") => pending_response(0),
        (Method::Post, id) => match id.parse() {
            Ok(id) => submit(shared, &configuration, queue, id, &asked, &mut request).await,
            Err(error) => invalid(&error),
        },
        // A job that need not be kept is not known after its answer.
        (Method::Get | Method::Delete, _) => Response::new(StatusCode::Gone),
        _ => Response::new(StatusCode::MethodNotAllowed),
    }
}

async fn submit(
    shared: &Shared,
    configuration: &Configuration,
    queue: &Queue,
    id: JobId,
    asked: &CallerRequest,
    request: &mut Request,
) -> Response {
    let received_at_ms = shared.now_ms();
    let peer = request.peer_addr().and_then(|addr| addr.parse().ok());
    let connection = PeerConnection::of(request);
    let body = match read_body(request, configuration.body_bytes_max).await {
        Ok(body) => body,
        Err(error) => return invalid(&error),
    };
    if connection.as_ref().is_some_and(PeerConnection::is_closed) {
        return Response::new(StatusCode::RequestTimeout);
    }
    let job = match decode_job(id, &body, peer) {
        Ok(Ok(job)) => job,
        Ok(Err(feature)) => {
            log_event!(info, JobRefused, job = %id, reason = "not offered", feature);
            return refusal(feature, 0);
        }
        Err(error) => return invalid(&error),
    };
    if shared.draining_for_ms().is_some_and(|since_ms| since_ms > DRAIN_ACCEPT_MS) {
        return refusal("stopping", 1_000);
    }
    let deadline_ms = asked.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
    let declared_ms: Vec<u64> = job.steps.iter().map(|step| step.estimate_ms).collect();
    let ideal_ms = job.longest_chain_ms(&declared_ms);
    let submission = Submission {
        job,
        queue: queue.rules.clone(),
        earlier_runs: EarlierRuns::None,
        part: None,
        done: Vec::new(),
        held_under: None,
        waited_ms: 0,
        deadline_ms,
    };
    let _open = shared.open_requests.enter(OpenRequest { job: id, received_at_ms });
    let outcome =
        wait_for_answer(shared, submission, connection, received_at_ms, deadline_ms).await;
    let took_ms = shared.now_ms() - received_at_ms;
    let label = outcome.label();
    let is_completed = label == "completed";
    log_job_event!(
        id.is_sampled() || !is_completed, RequestAnswered, job = %id,
        queue = %queue.rules.name, outcome = label, took_ms, deadline_ms,
        configuration_version = configuration.version
    );
    shared.metrics.requests.with_label_values(&[label]).inc();
    shared.metrics.response_ms.with_label_values(&[&queue.rules.name]).observe(took_ms as f64);
    if is_completed {
        let priority = queue.rules.priority.to_string();
        let over_ms = took_ms.saturating_sub(ideal_ms);
        shared.metrics.over_ideal_ms.with_label_values(&[&priority]).observe(over_ms as f64);
    }
    if let RequestOutcome::Answered(JobAnswer::Refused { reason, .. }) = &outcome {
        shared.metrics.refusals.with_label_values(&[&format!("{reason:?}")]).inc();
    }
    outcome.into_response()
}

/// How a request for a job ended.
enum RequestOutcome {
    Answered(JobAnswer),
    /// The caller's deadline passed; tasks may have run.
    DeadlinePassed,
    /// The caller closed the connection.
    CallerLeft,
}

impl RequestOutcome {
    const fn label(&self) -> &'static str {
        match self {
            RequestOutcome::Answered(JobAnswer::Completed) => "completed",
            RequestOutcome::Answered(JobAnswer::Failed) => "failed",
            RequestOutcome::Answered(JobAnswer::Refused { .. }) => "refused",
            RequestOutcome::Answered(JobAnswer::GivenUp) => "given up",
            RequestOutcome::Answered(
                JobAnswer::Moved { .. } | JobAnswer::NotTaken | JobAnswer::Unknown,
            ) => "unknown",
            RequestOutcome::DeadlinePassed => "deadline passed",
            RequestOutcome::CallerLeft => "caller left",
        }
    }

    fn into_response(self) -> Response {
        let response = match &self {
            RequestOutcome::Answered(answer) => job_response(answer),
            RequestOutcome::DeadlinePassed | RequestOutcome::CallerLeft => None,
        };
        response.unwrap_or_else(|| Response::new(StatusCode::GatewayTimeout))
    }
}

async fn wait_for_answer(
    shared: &Shared,
    submission: Submission,
    connection: Option<PeerConnection>,
    received_at_ms: u64,
    deadline_ms: u64,
) -> RequestOutcome {
    let answered = run_job(shared, submission, received_at_ms);
    let answered = timeout(Duration::from_millis(deadline_ms), answered);
    match PeerConnection::unless_closed(connection.as_ref(), answered).await {
        Some(Ok(answer)) => RequestOutcome::Answered(answer),
        Some(Err(_)) => RequestOutcome::DeadlinePassed,
        None => RequestOutcome::CallerLeft,
    }
}

/// An owner that a job can be sent to now.
enum Route {
    Local(Arc<Owner>),
    Remote,
}

/// Returns the owner of the zone and its address.
fn route(shared: &Shared) -> Option<(IpAddr, Route)> {
    if let Some(owner) = shared.owner.load_full() {
        return Some((shared.settings.ip, Route::Local(owner)));
    }
    let ownership = shared.ownership.lock();
    let owner = ownership.owner_of(&shared.settings.zone)?;
    Some((owner.heartbeat.node.ip, Route::Remote))
}

/// Offers a job to the owner of the zone, and to the next one if that is gone, until it
/// has its answer.
async fn run_job(shared: &Shared, submission: Submission, received_at_ms: u64) -> JobAnswer {
    let mut offer = Offer::new(submission);
    loop {
        let waited_ms = shared.now_ms() - received_at_ms;
        if let Some((ip, route)) = route(shared) {
            let submission = offer.to_send(waited_ms);
            let replied = match route {
                Route::Local(owner) => {
                    Ok(JobReply::Answered(owner.submit(submission.clone()).answer().await))
                }
                Route::Remote => send_job(shared, shared.peer_addr(ip), submission).await,
            };
            match replied {
                Ok(JobReply::Pending { token }) => {
                    offer.pending(token);
                    continue;
                }
                Ok(JobReply::Answered(JobAnswer::Moved { done, earlier_runs })) => {
                    offer.moved(done, earlier_runs);
                }
                // The offer stands as it is, also towards the next owner.
                Ok(JobReply::Answered(JobAnswer::NotTaken)) => {}
                Ok(JobReply::Answered(answer)) => return answer,
                Err(Sent::Maybe) => {
                    log_event!(info, RequestResumed, job = %offer.submission().job.id, owner = %ip);
                    offer.lost();
                }
                Err(Sent::No) => {}
            }
        }
        if offer.is_untouched() && waited_ms > OWNER_WAIT_MS {
            let reason = RefusalReason::NoTargets;
            return JobAnswer::Refused { reason, retry_after_ms: 1_000 };
        }
        task::sleep(Duration::from_millis(OWNER_PAUSE_MS)).await;
    }
}

fn refusal(reason: &str, retry_after_ms: u64) -> Response {
    let mut response = json_response(StatusCode::ServiceUnavailable, &json!({ "error": reason }));
    if retry_after_ms > 0 {
        response.insert_header(RETRY_AFTER, retry_after_ms.div_ceil(1_000).to_string());
    }
    response
}

fn invalid(error: &impl ToString) -> Response {
    let message = error.to_string();
    log_event!(info, RequestInvalid, error = message);
    json_response(StatusCode::BadRequest, &json!({ "error": message }))
}
