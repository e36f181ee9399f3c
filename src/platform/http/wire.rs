//! Bodies of requests and answers that the platform's traits do not define.

use serde::{Deserialize, Serialize};

use crate::platform::{Key, Row, Version};

/// Header with the length of an object, in bytes. `Content-Length` is absent from a chunked answer, and without either
/// a cut answer looks like a short object.
pub const LENGTH_HEADER: &str = "x-object-length";

/// Rows to read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadBody {
    /// Their keys.
    pub keys: Vec<Key>,
}

/// Rows as read, one for each key, in order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReadReply {
    /// The rows; `null` for absent ones.
    pub rows: Vec<Option<Row>>,
}

/// Rows to scan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScanBody {
    /// Start of their keys.
    pub prefix: String,
    /// Key to go on after.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after: Option<Key>,
    /// Most rows.
    pub limit: usize,
}

/// A transaction was carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommitReply {
    /// Version that all its rows got.
    pub version: Version,
}

/// Body of a refusal of a call's attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefuseBody {
    /// The attempt.
    pub attempt: u32,
}

/// Why a request was not carried out. Each code but `bad_request` promises that the request had no effect and that no
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
    /// Out of service for now.
    Unavailable,
    /// No such object.
    Absent,
    /// No free slot or connection.
    Full,
    /// The attempt is refused for good.
    Refused,
    /// The request makes no sense.
    BadRequest,
}

impl ErrorCode {
    /// HTTP status that goes with it.
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

/// Body of every answer that is no success.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Why.
    #[serde(flatten)]
    pub code: ErrorCode,
    /// The same for a person.
    pub message: String,
}
