//! Bodies of requests and answers that the platform's traits do not define.

use serde::{Deserialize, Serialize};

use crate::platform::{Key, Row, Version};

/// Header with the length of an object, in bytes. A chunked answer has no `Content-Length`; without either header a
/// truncated object cannot be told from a complete one.
pub const LENGTH_HEADER: &str = "x-object-length";

/// Request to read rows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadBody {
    /// Keys of the rows.
    pub keys: Vec<Key>,
}

/// Answer to [`ReadBody`]: one entry for each key, in the same order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReadReply {
    /// The rows; `null` for absent ones.
    pub rows: Vec<Option<Row>>,
}

/// Request to scan rows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScanBody {
    /// Prefix of their keys.
    pub prefix: String,
    /// Key after which the page starts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after: Option<Key>,
    /// Most rows to return.
    pub limit: usize,
}

/// Answer to an applied transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommitReply {
    /// Version that all its rows received.
    pub version: Version,
}

/// Request to refuse an attempt of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefuseBody {
    /// Number of the attempt.
    pub attempt: u32,
}

/// Reason why a request failed. Each code except `bad_request` guarantees that the request had no effect and that no
/// delayed copy of it will have one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "code", rename_all = "snake_case")]
pub enum ErrorCode {
    /// A check of the transaction does not hold.
    Conflict {
        /// Key of the row.
        key: Key,
        /// Version that the check named.
        expected: Version,
        /// Version that the row has.
        found: Version,
    },
    /// Service is temporarily unavailable.
    Unavailable,
    /// Object does not exist.
    Absent,
    /// Endpoint has no free slot or connection.
    Full,
    /// Endpoint refuses the attempt for good.
    Refused,
    /// The request is invalid.
    BadRequest,
}

impl ErrorCode {
    /// HTTP status that is sent with the code.
    pub fn status(&self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::Absent => 404,
            Self::Conflict { .. } | Self::Refused => 409,
            Self::Full => 429,
            Self::Unavailable => 503,
        }
    }
}

/// Body of every error answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Reason.
    #[serde(flatten)]
    pub code: ErrorCode,
    /// The reason in words.
    pub message: String,
}
