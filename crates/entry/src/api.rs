//! What callers ask for over HTTP.

use std::sync::Arc;

use ggb_http::{json_response, read_body, text_response};
use ggb_model::{ModelError, Outcome, OutcomeKind, Sequence, SessionId, SubmissionId};
use ggb_session::Answer;
use ggb_wire::v1::Action;
use http_types::{Method, Request, Response, StatusCode};
use serde::Serialize;

use crate::{
    home::Home,
    router::{Call, Router},
};

const DEFAULT_WAIT_MS: u32 = 30_000;
const MAX_WAIT_MS: u32 = 60_000;

/// Answers callers.
pub(crate) struct CallerApi {
    pub(crate) home: Arc<Home>,
    pub(crate) router: Arc<Router>,
    pub(crate) body_bytes: usize,
}

/// The body of the response to the opening of a session.
#[derive(Serialize)]
struct Opened {
    session: SessionId,
}

/// A path that callers may use.
enum Route {
    Sessions,
    Jobs,
    Job(SubmissionId),
    Acknowledge(SubmissionId),
}

impl CallerApi {
    /// Answers one request.
    pub(crate) async fn respond(&self, request: Request) -> Response {
        let route = match read_route(request.url().path()) {
            Ok(Some(route)) => route,
            Ok(None) => return invalid(StatusCode::NotFound, "path: expected one of /v1"),
            Err(error) => return invalid(StatusCode::BadRequest, &error.to_string()),
        };
        let wait_ms = match read_wait(&request) {
            Ok(wait_ms) => wait_ms,
            Err(error) => return invalid(StatusCode::BadRequest, &error.to_string()),
        };
        match (request.method(), route) {
            (Method::Post, Route::Sessions) => self.open(),
            (Method::Post, Route::Jobs) => self.submit_alone(request, wait_ms).await,
            (Method::Post, Route::Job(id)) => self.submit(id, request, wait_ms).await,
            (Method::Get, Route::Job(id)) => self.call(id, Action::Ask, wait_ms).await,
            (Method::Delete, Route::Job(id)) => self.call(id, Action::Cancel, 0).await,
            (Method::Post, Route::Acknowledge(id)) => self.call(id, Action::Acknowledge, 0).await,
            (method, _) => {
                let message = format!("method: got {method}, expected another one for this path");
                invalid(StatusCode::MethodNotAllowed, &message)
            }
        }
    }

    fn open(&self) -> Response {
        match self.home.open_session() {
            Ok(session) => json_response(StatusCode::Created, &Opened { session }),
            Err(refusal) => {
                json_response(StatusCode::ServiceUnavailable, &Outcome::NotRun(refusal))
            }
        }
    }

    /// Takes a submission of a caller that keeps no session, guarded by its business key.
    async fn submit_alone(&self, request: Request, wait_ms: u32) -> Response {
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
        let body = match read_body(&mut request, self.body_bytes).await {
            Ok(body) => body,
            Err(error) => {
                let message = format!("body: {error}; nothing was recorded");
                return invalid(StatusCode::BadRequest, &message);
            }
        };
        respond_with(&self.router.call(Call { id, action: Action::Submit, body, wait_ms }).await)
    }

    async fn call(&self, id: SubmissionId, action: Action, wait_ms: u32) -> Response {
        respond_with(&self.router.call(Call { id, action, body: Vec::new(), wait_ms }).await)
    }
}

fn read_route(path: &str) -> Result<Option<Route>, ModelError> {
    let parts: Vec<&str> = path.split('/').collect();
    let route = match parts.as_slice() {
        ["", "v1", "sessions"] => Route::Sessions,
        ["", "v1", "jobs"] => Route::Jobs,
        ["", "v1", "sessions", session, "jobs", sequence] => {
            Route::Job(read_id(session, sequence)?)
        }
        ["", "v1", "sessions", session, "acknowledge", below] => {
            Route::Acknowledge(read_id(session, below)?)
        }
        _ => return Ok(None),
    };
    Ok(Some(route))
}

fn read_id(session: &str, sequence: &str) -> Result<SubmissionId, ModelError> {
    let number =
        sequence.parse().map_err(|_| ModelError::new("sequence", sequence, "a number from 0"))?;
    Ok(SubmissionId { session: session.parse()?, sequence: Sequence(number) })
}

fn read_wait(request: &Request) -> Result<u32, ModelError> {
    let mut pairs = request.url().query_pairs();
    match pairs.find(|(name, _)| name == "wait_ms") {
        None => Ok(DEFAULT_WAIT_MS),
        Some((_, text)) => match text.parse() {
            Ok(wait_ms) if wait_ms <= MAX_WAIT_MS => Ok(wait_ms),
            _ => Err(ModelError::new("wait_ms", text, "0 to 60000")),
        },
    }
}

fn respond_with(answer: &Answer) -> Response {
    text_response(status_of(answer.kind()), answer.as_str())
}

const fn status_of(kind: OutcomeKind) -> StatusCode {
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

fn invalid(status: StatusCode, message: &str) -> Response {
    json_response(status, &Outcome::Invalid { message: message.to_owned() })
}
