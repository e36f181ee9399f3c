//! Answers before they are written.

use std::io::Cursor;

use serde::Serialize;
use serde_json::json;
use tiny_http::{Header, Response, StatusCode};

use super::{ApiError, Code};

/// Content type of the metrics.
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Status, type and body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Seconds for `Retry-After`.
    pub retry_after: Option<u32>,
    /// Content type.
    pub mime: &'static str,
    /// Body.
    pub body: Vec<u8>,
}

impl Answer {
    /// A body as JSON.
    pub fn json<T>(status: u16, value: &T) -> Self
    where
        T: Serialize,
    {
        match serde_json::to_vec(value) {
            Ok(body) => Self {
                status,
                retry_after: None,
                mime: "application/json",
                body,
            },
            Err(e) => Self::error(&ApiError::new(
                Code::Unknown,
                format!("The answer could not be written: {e}. Ask again with the same id."),
            )),
        }
    }

    /// An error.
    pub fn error(error: &ApiError) -> Self {
        let body = match serde_json::to_vec(error) {
            Ok(body) => body,
            Err(_) => json!({ "code": "unknown" }).to_string().into_bytes(),
        };
        Self {
            status: error.code.status(),
            retry_after: error.code.retry_after_s(),
            mime: "application/json",
            body,
        }
    }

    /// Text of the metrics.
    pub fn metrics(text: String) -> Self {
        Self {
            status: 200,
            retry_after: None,
            mime: METRICS_TYPE,
            body: text.into_bytes(),
        }
    }

    /// The response, with the hop's `traceparent`.
    pub(super) fn into_response(self, traceparent: &str) -> Response<Cursor<Vec<u8>>> {
        let mut fields = vec![
            ("Content-Type", self.mime.to_owned()),
            ("traceparent", traceparent.to_owned()),
        ];
        if let Some(seconds) = self.retry_after {
            fields.push(("Retry-After", seconds.to_string()));
        }
        let mut headers = Vec::new();
        for (name, value) in fields {
            // All of these values are printable ASCII.
            headers.extend(Header::from_bytes(name, value));
        }
        let size = self.body.len();
        // With its length announced, a client can tell a cut answer from a whole one.
        Response::new(
            StatusCode(self.status),
            headers,
            Cursor::new(self.body),
            Some(size),
            None,
        )
        .with_chunked_threshold(usize::MAX)
    }
}
