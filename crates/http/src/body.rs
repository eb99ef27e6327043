//! Reads bodies up to a size limit and builds JSON responses.

use std::time::Duration;

use async_std::{future::timeout, io::ReadExt as _};
use error_stack::{Report, ResultExt as _};
use http_types::{Body, Request, Response, StatusCode, mime};
use serde::Serialize;

use crate::HttpError;

/// Maximum time between the head of a request and the end of its body. The largest bodies take a
/// fraction of a second; a connection that has gone silent would be held for good.
const BODY_TIMEOUT_MS: u64 = 5_000;

/// Reads the whole body of a request, up to `max_bytes`.
///
/// # Errors
///
/// Fails if the body is larger than `max_bytes` or shorter than its declared length; the
/// message states the lengths. Also fails if the connection can't be read, or if the body is not
/// complete after 5 s.
pub async fn read_body(
    request: &mut Request,
    max_bytes: usize,
) -> Result<Vec<u8>, Report<HttpError>> {
    let declared_length = request.len();
    let read = read_to_end(request.take_body(), declared_length, max_bytes);
    let incomplete =
        || HttpError::body(None, format!("the body is not complete after {BODY_TIMEOUT_MS} ms"));
    timeout(Duration::from_millis(BODY_TIMEOUT_MS), read).await.change_context_lazy(incomplete)?
}

/// Returns a response with `value`, serialized as JSON, as its body.
pub fn json_response(status: StatusCode, value: &impl Serialize) -> Response {
    let text = serde_json::to_string(value)
        .expect("response types serialize without error: all map keys are strings");
    json_text_response(status, text)
}

/// Returns a response with `json`, which is already serialized, as its body.
pub fn json_text_response(status: StatusCode, json: impl Into<String>) -> Response {
    let mut response = Response::new(status);
    response.set_body(Body::from_string(json.into()));
    response.set_content_type(mime::JSON);
    response
}

/// Reads a whole body, up to `max_bytes`, and checks it against its declared length.
pub(crate) async fn read_to_end(
    body: Body,
    declared_length: Option<usize>,
    max_bytes: usize,
) -> Result<Vec<u8>, Report<HttpError>> {
    if let Some(length) = declared_length
        && length > max_bytes
    {
        let message = format!("got a body of {length} bytes, expected at most {max_bytes}");
        return Err(HttpError::body(None, message).into());
    }
    let mut bytes = Vec::with_capacity(declared_length.unwrap_or(0));
    // One byte more than allowed, to detect a body that is too large.
    let mut limited_body = body.take(max_bytes as u64 + 1);
    let read_error = || HttpError::body(None, "the body could not be read");
    limited_body.read_to_end(&mut bytes).await.change_context_lazy(read_error)?;
    match declared_length {
        _ if bytes.len() > max_bytes => {
            let message = format!("got more than {max_bytes} bytes of body");
            Err(HttpError::body(None, message).into())
        }
        Some(length) if bytes.len() < length => {
            let message = format!("got {} bytes of body, expected {length}", bytes.len());
            Err(HttpError::body(None, message).into())
        }
        _ => Ok(bytes),
    }
}
