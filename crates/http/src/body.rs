//! Whole bodies within bounds.

use async_std::io::ReadExt as _;
use error_stack::{Report, ResultExt as _};
use http_types::{Body, Request, Response, StatusCode, mime};
use serde::Serialize;

use crate::HttpError;

/// Reads the whole body of a request, at most `limit_bytes` of it.
///
/// # Errors
///
/// Says whether the body is too large or was cut short, with both lengths.
pub async fn read_body(
    request: &mut Request,
    limit_bytes: usize,
) -> Result<Vec<u8>, Report<HttpError>> {
    let declared = request.len();
    read_to_end(request.take_body(), declared, limit_bytes).await
}

/// Returns a response with `value` as its JSON body.
pub fn json_response(status: StatusCode, value: &impl Serialize) -> Response {
    let text = serde_json::to_string(value).expect("responses have only string keys");
    text_response(status, text)
}

/// Returns a response with `json` as its body.
pub fn text_response(status: StatusCode, json: impl Into<String>) -> Response {
    let mut response = Response::new(status);
    response.set_body(Body::from_string(json.into()));
    response.set_content_type(mime::JSON);
    response
}

pub(crate) async fn read_to_end(
    body: Body,
    declared: Option<usize>,
    limit_bytes: usize,
) -> Result<Vec<u8>, Report<HttpError>> {
    if let Some(length) = declared
        && length > limit_bytes
    {
        let message = format!("got a body of {length} bytes, expected at most {limit_bytes}");
        return Err(HttpError::body(None, message).into());
    }
    let mut bytes = Vec::with_capacity(declared.unwrap_or(0));
    let mut bounded = body.take(limit_bytes as u64 + 1);
    let failed = || HttpError::body(None, "the body could not be read");
    bounded.read_to_end(&mut bytes).await.change_context_lazy(failed)?;
    match declared {
        _ if bytes.len() > limit_bytes => {
            let message = format!("got more than {limit_bytes} bytes of body");
            Err(HttpError::body(None, message).into())
        }
        Some(length) if bytes.len() < length => {
            let message = format!("got {} bytes of body, expected {length}", bytes.len());
            Err(HttpError::body(None, message).into())
        }
        _ => Ok(bytes),
    }
}
