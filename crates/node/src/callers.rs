//! Serves the requests of callers and routes their jobs to the owner of the zone.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_std::{future::timeout, task};
use error_stack::Report;
use ggb_adapter::{
    CallerRequest, Configuration, Queue, decode_job, decode_request, job_response, pending_response,
};
use ggb_http::{
    ClientConnection, HttpError, HttpServer, Sent, ServerLimits, json_response, read_body,
};
use ggb_placement::{EarlierRuns, JobAnswer, JobId, RefusalReason, RoutedJob, Submission};
use ggb_telemetry::{log_event, log_job_event};
use http_types::{Method, Request, Response, StatusCode, headers::RETRY_AFTER};
use serde_json::json;

use crate::{
    open_requests::OpenRequest,
    owner::Owner,
    peer_api::{JobReply, MAX_REPLY_DELAY_MS, send_job},
    shared::Shared,
    zone_route::{NextOwner, OwnerLocation, ZoneRoute},
};

/// Delay before a job that no owner has taken is sent to the current owner again.
const OWNER_RETRY_DELAY_MS: u64 = 20;

/// Maximum time for which a job that no owner can have started waits for an owner. A failover
/// takes at most this long, unless no process of the zone can become the owner.
const MAX_OWNER_WAIT_MS: u64 = 700;

/// Time before its caller's deadline at which a job that no owner can have started is refused, so that
/// the answer reaches the caller.
const ANSWER_MARGIN_MS: u64 = 50;

/// Time after the request to stop during which new jobs are still accepted. The load balancer
/// stops sending new connections after two failed readiness checks, one second apart.
const MAX_DRAIN_ACCEPT_MS: u64 = 3_000;

/// Time after the arrival of a request for which its answer is awaited, if the request sets no
/// deadline.
const DEFAULT_DEADLINE_MS: u64 = 60_000;

/// Starts the HTTP server for callers on `addr`.
pub(crate) async fn bind_callers(
    shared: Arc<Shared>,
    addr: SocketAddr,
) -> Result<HttpServer, Report<HttpError>> {
    let handler = move |request: Request| {
        let shared = Arc::clone(&shared);
        async move { handle_request(&shared, request).await }
    };
    HttpServer::bind(addr, ServerLimits::default(), handler).await
}

async fn handle_request(shared: &Shared, mut request: Request) -> Response {
    let caller_request = decode_request(&request);
    let Some(configuration) = shared.configuration.load_full() else {
        return refusal_response("no configuration yet", 1_000);
    };
    let Some((queue, rest)) = configuration.find_queue(&caller_request.host, &caller_request.path)
    else {
        return json_response(StatusCode::NotFound, &json!({ "error": "no such queue" }));
    };
    match (caller_request.method, rest) {
        // A job is answered in the response to its submission, so the number of pending jobs is
        // always 0.
        (Method::Get, "") => pending_response(0),
        (Method::Post, id) => match id.parse() {
            Ok(id) => {
                submit(shared, &configuration, queue, id, &caller_request, &mut request).await
            }
            Err(error) => invalid_response(&error),
        },
        // Only best-effort jobs are accepted, and they are not kept after their answer.
        (Method::Get | Method::Delete, _) => Response::new(StatusCode::Gone),
        _ => Response::new(StatusCode::MethodNotAllowed),
    }
}

async fn submit(
    shared: &Shared,
    configuration: &Configuration,
    queue: &Queue,
    id: JobId,
    caller_request: &CallerRequest,
    request: &mut Request,
) -> Response {
    let received_at_ms = shared.now_ms();
    let caller_addr = request.peer_addr().and_then(|addr| addr.parse().ok());
    let connection = ClientConnection::of_request(request);
    let body = match read_body(request, configuration.max_body_bytes).await {
        Ok(body) => body,
        Err(error) => return invalid_response(&error),
    };
    if connection.as_ref().is_some_and(ClientConnection::is_closed) {
        return Response::new(StatusCode::RequestTimeout);
    }
    let job = match decode_job(id, &body, caller_addr) {
        Ok(Ok(job)) => job,
        Ok(Err(feature)) => {
            log_event!(info, JobRefused, job = %id, reason = "not offered", feature);
            return refusal_response(feature, 0);
        }
        Err(error) => return invalid_response(&error),
    };
    if shared.draining_ms().is_some_and(|draining_ms| draining_ms > MAX_DRAIN_ACCEPT_MS) {
        return refusal_response("stopping", 1_000);
    }
    let deadline_ms = caller_request.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
    let declared_ms: Vec<u64> = job.steps.iter().map(|step| step.estimate_ms).collect();
    let critical_path_ms = job.critical_path_ms(&declared_ms);
    let submission = Submission {
        job,
        queue: queue.rules.clone(),
        earlier_runs: EarlierRuns::None,
        run_targets: None,
        released_under: None,
        part: None,
        excluded_tasks: Vec::new(),
        holder: None,
        waited_ms: 0,
        deadline_ms,
        caller_check_age_ms: 0,
    };
    let _open_request = shared.open_requests.insert(OpenRequest { job: id, received_at_ms });
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
        let overhead_ms = took_ms.saturating_sub(critical_path_ms);
        shared.metrics.overhead_ms.with_label_values(&[&priority]).observe(overhead_ms as f64);
    }
    if let RequestOutcome::Answered(JobAnswer::Refused { reason, .. }) = &outcome {
        shared.metrics.refusals.with_label_values(&[&format!("{reason:?}")]).inc();
    }
    outcome.into_response()
}

/// Outcome of a caller's request to run a job.
enum RequestOutcome {
    /// The job has an answer.
    Answered(JobAnswer),
    /// The caller's deadline passed; tasks may have run.
    DeadlinePassed,
    /// The caller closed the connection.
    CallerDisconnected,
}

impl RequestOutcome {
    /// Returns the value for metric labels and log fields.
    const fn label(&self) -> &'static str {
        match self {
            RequestOutcome::Answered(JobAnswer::Completed) => "completed",
            RequestOutcome::Answered(JobAnswer::Failed) => "failed",
            RequestOutcome::Answered(JobAnswer::Refused { .. }) => "refused",
            RequestOutcome::Answered(JobAnswer::GivenUp) => "given up",
            RequestOutcome::Answered(
                JobAnswer::Moved { .. }
                | JobAnswer::Returned { .. }
                | JobAnswer::NotTaken
                | JobAnswer::Unknown,
            ) => "unknown",
            RequestOutcome::DeadlinePassed => "deadline passed",
            RequestOutcome::CallerDisconnected => "caller left",
        }
    }

    fn into_response(self) -> Response {
        let response = match &self {
            RequestOutcome::Answered(answer) => job_response(answer),
            RequestOutcome::DeadlinePassed | RequestOutcome::CallerDisconnected => None,
        };
        response.unwrap_or_else(|| Response::new(StatusCode::GatewayTimeout))
    }
}

async fn wait_for_answer(
    shared: &Shared,
    submission: Submission,
    connection: Option<ClientConnection>,
    received_at_ms: u64,
    deadline_ms: u64,
) -> RequestOutcome {
    let mut routed_job = RoutedJob::new(submission);
    let answer = route_job(shared, &mut routed_job, connection.as_ref(), received_at_ms);
    let answer = timeout(Duration::from_millis(deadline_ms), answer);
    match ClientConnection::run_until_closed(connection.as_ref(), answer).await {
        Some(Ok(answer)) => RequestOutcome::Answered(answer),
        Some(Err(_)) if routed_job.is_unstarted() => RequestOutcome::Answered(no_owner_answer()),
        Some(Err(_)) => RequestOutcome::DeadlinePassed,
        None => RequestOutcome::CallerDisconnected,
    }
}

/// Sends a job to the owner of the zone, and to the next owner if that one stops or can't be
/// reached, until the job has an answer or the caller has disconnected.
async fn route_job(
    shared: &Shared,
    routed_job: &mut RoutedJob,
    connection: Option<&ClientConnection>,
    received_at_ms: u64,
) -> JobAnswer {
    let answer_by_ms = routed_job.submission().deadline_ms.saturating_sub(ANSWER_MARGIN_MS);
    let max_owner_wait_ms = MAX_OWNER_WAIT_MS.min(answer_by_ms);
    let mut zone_route = ZoneRoute::new(shared);
    let mut clock_reading = None;
    let mut refusal =
        JobAnswer::Refused { reason: RefusalReason::Evacuated, retry_after_ms: 1_000 };
    loop {
        // A process that was paused may not have been told yet. Its owner may have stopped the job,
        // and the caller sent it again, so that another submission would start it a second time.
        // The time is read first, since a pause may follow the check.
        let checked_at_ms = shared.now_ms();
        if connection.is_some_and(ClientConnection::is_closed) {
            return JobAnswer::Unknown;
        }
        let now_ms = shared.now_ms();
        let waited_ms = now_ms - received_at_ms;
        let next_owner = zone_route.next_owner(shared, routed_job);
        if matches!(next_owner, NextOwner::NoZone) {
            return refusal;
        }
        if let NextOwner::At(ip, location) = next_owner {
            let submission = routed_job.submission_after(waited_ms, now_ms - checked_at_ms);
            let reply = match location {
                OwnerLocation::Local(owner) => {
                    let answer = wait_for_local_answer(shared, &owner, submission, connection);
                    Ok(JobReply::Answered(answer.await))
                }
                OwnerLocation::Remote => {
                    send_job(shared, ip, submission, now_ms, clock_reading).await
                }
            };
            let had_reading = clock_reading.take().is_some();
            match reply {
                Ok(JobReply::Resend { clock }) => {
                    routed_job.mark_not_taken();
                    clock_reading = Some(clock);
                    if !had_reading {
                        continue;
                    }
                }
                Ok(JobReply::Pending { claim }) => {
                    routed_job.mark_held_by(claim);
                    continue;
                }
                Ok(JobReply::Answered(JobAnswer::Moved {
                    done,
                    earlier_runs,
                    run_targets,
                    token,
                })) => {
                    routed_job.mark_moved(done, earlier_runs, run_targets, token);
                }
                Ok(JobReply::Answered(JobAnswer::NotTaken)) => routed_job.mark_not_taken(),
                Err(Sent::No) => {
                    routed_job.mark_not_taken();
                    zone_route.record_unreachable();
                }
                // Another zone may take the job, of which this one has started nothing.
                Ok(JobReply::Answered(
                    answer @ JobAnswer::Refused { reason: RefusalReason::Evacuated, .. },
                )) => {
                    zone_route.record_evacuated();
                    routed_job.mark_refused();
                    refusal = answer;
                    continue;
                }
                Ok(JobReply::Answered(answer)) => return answer,
                Err(Sent::Maybe) => {
                    log_event!(
                        info, RequestResumed, job = %routed_job.submission().job.id, owner = %ip
                    );
                    routed_job.mark_possibly_taken();
                }
            }
        }
        if routed_job.is_unstarted() && waited_ms > max_owner_wait_ms {
            return no_owner_answer();
        }
        task::sleep(Duration::from_millis(OWNER_RETRY_DELAY_MS)).await;
    }
}

/// Returns the answer to a job that no owner has taken or started.
const fn no_owner_answer() -> JobAnswer {
    JobAnswer::Refused { reason: RefusalReason::NoTargets, retry_after_ms: 1_000 }
}

/// Submits a job to the owner in this process and waits for the answer, while it tells the owner that
/// the caller is connected.
async fn wait_for_local_answer(
    shared: &Shared,
    owner: &Arc<Owner>,
    submission: &Submission,
    connection: Option<&ClientConnection>,
) -> JobAnswer {
    let id = submission.job.id;
    let mut pending_job = owner.submit(submission.clone());
    loop {
        let answer = timeout(Duration::from_millis(MAX_REPLY_DELAY_MS), pending_job.answer());
        if let Ok(answer) = answer.await {
            return answer;
        }
        let checked_at_ms = shared.now_ms();
        if connection.is_some_and(ClientConnection::is_closed) {
            return JobAnswer::Unknown;
        }
        owner.record_caller_check(id, checked_at_ms);
    }
}

fn refusal_response(reason: &str, retry_after_ms: u64) -> Response {
    let mut response = json_response(StatusCode::ServiceUnavailable, &json!({ "error": reason }));
    if retry_after_ms > 0 {
        response.insert_header(RETRY_AFTER, retry_after_ms.div_ceil(1_000).to_string());
    }
    response
}

fn invalid_response(error: &impl ToString) -> Response {
    let message = error.to_string();
    log_event!(info, RequestInvalid, error = message);
    json_response(StatusCode::BadRequest, &json!({ "error": message }))
}
