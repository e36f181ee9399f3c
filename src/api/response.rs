//! Responses of the API.

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::HeaderValue;
use hyper::{Response, StatusCode};
use serde::Serialize;
use serde_json::json;

use super::{ApiError, Code};

/// Content type of the metrics text.
const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Status, content type and body of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ApiResponse {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Retry-After` header, in seconds.
    pub retry_after: Option<u32>,
    /// Content type.
    pub content_type: &'static str,
    /// Response body.
    pub body: Vec<u8>,
}

impl ApiResponse {
    /// A response with `value` as JSON.
    pub fn json<T>(status: u16, value: &T) -> Self
    where
        T: Serialize,
    {
        match serde_json::to_vec(value) {
            Ok(body) => Self {
                status,
                retry_after: None,
                content_type: "application/json",
                body,
            },
            Err(e) => Self::error(&ApiError::new(
                Code::Unknown,
                format!("The answer cannot be written as JSON: {e}. Send the request again with the same id."),
            )),
        }
    }

    /// An error response.
    pub fn error(error: &ApiError) -> Self {
        let body = match serde_json::to_vec(error) {
            Ok(body) => body,
            Err(_) => json!({ "code": "unknown" }).to_string().into_bytes(),
        };
        Self {
            status: error.code.status(),
            retry_after: error.code.retry_after_s(),
            content_type: "application/json",
            body,
        }
    }

    /// A response with the text of the metrics.
    pub fn metrics(text: String) -> Self {
        Self {
            status: 200,
            retry_after: None,
            content_type: METRICS_CONTENT_TYPE,
            body: text.into_bytes(),
        }
    }

    /// The HTTP response, with the `traceparent` of its span.
    pub(super) fn into_http(self, traceparent: &str) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::new(Bytes::from(self.body)));
        // Statuses are those of `Code`, which are all valid.
        *response.status_mut() = StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let headers = response.headers_mut();
        headers.insert("content-type", HeaderValue::from_static(self.content_type));
        if let Ok(value) = HeaderValue::from_str(traceparent) {
            headers.insert("traceparent", value);
        }
        if let Some(seconds) = self.retry_after {
            headers.insert("retry-after", HeaderValue::from(seconds));
        }
        response
    }
}
