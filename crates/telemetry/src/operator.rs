//! HTTP interface for operators.

use std::{net::SocketAddr, sync::Arc};

use error_stack::Report;
use ggb_http::{HttpError, HttpServer, ServerLimits, json_response, json_text_response};
use http_types::{Response, StatusCode};
use serde::Serialize;
use serde_json::{Value, json};

use crate::MetricSet;

/// Lifecycle phase of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Not ready, since it has no configuration or no targets yet.
    Starting,
    /// Ready.
    Serving,
    /// Ready, but cut off from the platform; works with the last known state.
    CutOff,
    /// About to stop, and finishing work in progress.
    Draining,
}

impl Phase {
    /// Returns whether the load balancer may send new requests.
    pub const fn is_ready(self) -> bool {
        matches!(self, Phase::Serving | Phase::CutOff)
    }
}

/// Source of the data that a process exposes to operators.
pub trait StatusSource: Send + Sync + 'static {
    /// Returns the current phase.
    fn phase(&self) -> Phase;

    /// Returns process-specific details as a JSON object.
    fn details(&self) -> Value;

    /// Returns the metrics, after updating those that are computed on demand.
    fn metrics(&self) -> &dyn MetricSet;
}

/// A running HTTP server for operators.
#[derive(Debug)]
pub struct OperatorServer {
    server: HttpServer,
}

impl OperatorServer {
    /// Starts a server on `addr` that exposes the data of `source`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn bind(
        addr: SocketAddr,
        source: Arc<impl StatusSource>,
    ) -> Result<Self, Report<HttpError>> {
        let handler = move |request: http_types::Request| {
            let response = respond(request.url().path(), source.as_ref());
            async move { response }
        };
        let server = HttpServer::bind(addr, ServerLimits::default(), handler).await?;
        Ok(OperatorServer { server })
    }

    /// Returns the address that the server listens on.
    pub const fn local_addr(&self) -> SocketAddr {
        self.server.local_addr()
    }
}

fn respond(path: &str, source: &impl StatusSource) -> Response {
    match path {
        "/metrics" => {
            let mut response = json_text_response(StatusCode::Ok, source.metrics().render());
            response.set_content_type(http_types::mime::PLAIN);
            response
        }
        "/health" => json_response(StatusCode::Ok, &json!({ "phase": source.phase() })),
        "/ready" => {
            let phase = source.phase();
            let status = match phase.is_ready() {
                true => StatusCode::Ok,
                false => StatusCode::ServiceUnavailable,
            };
            json_response(status, &json!({ "phase": phase }))
        }
        "/status" => json_response(
            StatusCode::Ok,
            &json!({ "phase": source.phase(), "details": source.details() }),
        ),
        _ => json_response(
            StatusCode::NotFound,
            &json!({
                "error": "not_found",
                "message": "expected /metrics, /health, /ready or /status",
            }),
        ),
    }
}
