//! HTTP API for callers.

use std::sync::Arc;

use ggb_http::{json_response, json_text_response, read_body};
use ggb_model::{Outcome, OutcomeKind, Sequence, SessionId, SubmissionId, ValidationError};
use ggb_session::EncodedOutcome;
use ggb_wire::v1::Action;
use http_types::{Method, Request, Response, StatusCode};
use serde::Serialize;

use crate::{
    home::Home,
    router::{CallerRequest, Router},
};

/// Time that a request waits for an answer if the caller gives no `wait_ms`.
const DEFAULT_WAIT_MS: u32 = 30_000;
/// Maximum `wait_ms` that a caller may give.
const MAX_WAIT_MS: u32 = 60_000;

/// Handler of HTTP requests from callers.
pub(crate) struct CallerApi {
    pub(crate) home: Arc<Home>,
    pub(crate) router: Arc<Router>,
    pub(crate) max_body_bytes: usize,
}

/// Response body for an opened session.
#[derive(Serialize)]
struct OpenedSession {
    session: SessionId,
}

/// Parsed path of a caller's request.
enum Route {
    Sessions,
    Jobs,
    Job(SubmissionId),
    Acknowledge(SubmissionId),
}

impl CallerApi {
    /// Returns the response to one request.
    pub(crate) async fn respond(&self, request: Request) -> Response {
        let route = match parse_route(request.url().path()) {
            Ok(Some(route)) => route,
            Ok(None) => return invalid_response(StatusCode::NotFound, "path: expected one of /v1"),
            Err(error) => return invalid_response(StatusCode::BadRequest, &error.to_string()),
        };
        let wait_ms = match parse_wait_ms(&request) {
            Ok(wait_ms) => wait_ms,
            Err(error) => return invalid_response(StatusCode::BadRequest, &error.to_string()),
        };
        match (request.method(), route) {
            (Method::Post, Route::Sessions) => self.open_session(),
            (Method::Post, Route::Jobs) => self.submit_in_new_session(request, wait_ms).await,
            (Method::Post, Route::Job(id)) => self.submit(id, request, wait_ms).await,
            (Method::Get, Route::Job(id)) => self.forward(id, Action::Ask, wait_ms).await,
            (Method::Delete, Route::Job(id)) => self.forward(id, Action::Cancel, 0).await,
            (Method::Post, Route::Acknowledge(id)) => {
                self.forward(id, Action::Acknowledge, 0).await
            }
            (method, _) => {
                let message = format!("method: got {method}, expected another one for this path");
                invalid_response(StatusCode::MethodNotAllowed, &message)
            }
        }
    }

    fn open_session(&self) -> Response {
        match self.home.open_session() {
            Ok(session) => json_response(StatusCode::Created, &OpenedSession { session }),
            Err(refusal) => {
                json_response(StatusCode::ServiceUnavailable, &Outcome::NotRun(refusal))
            }
        }
    }

    /// Submits a job in a new session, for callers that keep no session.
    ///
    /// Only a business key protects such a job from being run twice if the caller resubmits it.
    async fn submit_in_new_session(&self, request: Request, wait_ms: u32) -> Response {
        match self.home.open_session() {
            Ok(session) => {
                let id = SubmissionId { session, sequence: Sequence(0) };
                self.submit(id, request, wait_ms).await
            }
            Err(refusal) => {
                json_response(StatusCode::ServiceUnavailable, &Outcome::NotRun(refusal))
            }
        }
    }

    async fn submit(&self, id: SubmissionId, mut request: Request, wait_ms: u32) -> Response {
        let body = match read_body(&mut request, self.max_body_bytes).await {
            Ok(body) => body,
            Err(error) => {
                let message = format!("body: {error}; nothing was recorded");
                return invalid_response(StatusCode::BadRequest, &message);
            }
        };
        answer_response(
            &self.router.route(CallerRequest { id, action: Action::Submit, body, wait_ms }).await,
        )
    }

    async fn forward(&self, id: SubmissionId, action: Action, wait_ms: u32) -> Response {
        answer_response(
            &self.router.route(CallerRequest { id, action, body: Vec::new(), wait_ms }).await,
        )
    }
}

fn parse_route(path: &str) -> Result<Option<Route>, ValidationError> {
    let parts: Vec<&str> = path.split('/').collect();
    let route = match parts.as_slice() {
        ["", "v1", "sessions"] => Route::Sessions,
        ["", "v1", "jobs"] => Route::Jobs,
        ["", "v1", "sessions", session, "jobs", sequence] => {
            Route::Job(parse_submission_id(session, sequence)?)
        }
        ["", "v1", "sessions", session, "acknowledge", below] => {
            Route::Acknowledge(parse_submission_id(session, below)?)
        }
        _ => return Ok(None),
    };
    Ok(Some(route))
}

fn parse_submission_id(session: &str, sequence: &str) -> Result<SubmissionId, ValidationError> {
    let number = sequence
        .parse()
        .map_err(|_| ValidationError::new("sequence", sequence, "a number from 0"))?;
    Ok(SubmissionId { session: session.parse()?, sequence: Sequence(number) })
}

fn parse_wait_ms(request: &Request) -> Result<u32, ValidationError> {
    let mut pairs = request.url().query_pairs();
    match pairs.find(|(name, _)| name == "wait_ms") {
        None => Ok(DEFAULT_WAIT_MS),
        Some((_, text)) => match text.parse() {
            Ok(wait_ms) if wait_ms <= MAX_WAIT_MS => Ok(wait_ms),
            _ => Err(ValidationError::new("wait_ms", text, "0 to 60000")),
        },
    }
}

fn answer_response(answer: &EncodedOutcome) -> Response {
    json_text_response(status_code(answer.kind()), answer.as_str())
}

const fn status_code(kind: OutcomeKind) -> StatusCode {
    match kind {
        OutcomeKind::Complete | OutcomeKind::Failed | OutcomeKind::AlreadyAcknowledged => {
            StatusCode::Ok
        }
        OutcomeKind::Running => StatusCode::Accepted,
        OutcomeKind::NotRun => StatusCode::ServiceUnavailable,
        OutcomeKind::Unknown => StatusCode::GatewayTimeout,
        OutcomeKind::Conflict => StatusCode::Conflict,
        OutcomeKind::Invalid => StatusCode::BadRequest,
    }
}

fn invalid_response(status: StatusCode, message: &str) -> Response {
    json_response(status, &Outcome::Invalid { message: message.to_owned() })
}
