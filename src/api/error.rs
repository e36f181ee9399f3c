//! Errors returned to callers.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Stable code of an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The request cannot be read.
    BadRequest,
    /// The body is larger than allowed.
    TooLarge,
    /// The path, job or ticket does not exist.
    NotFound,
    /// The job id is in use with another body.
    JobConflict,
    /// The ticket number is in use with another body.
    TicketConflict,
    /// A newer ticket is in force.
    TicketSuperseded,
    /// The ticket's guarantees do not fit the fleet.
    GuaranteeShortfall,
    /// The team or kind does not exist, or the team may not run it.
    NotAllowed,
    /// No endpoint or rack can ever hold the shape.
    Impossible,
    /// A queue is full or a limit is reached. The request was not run.
    Busy,
    /// The platform cannot be reached. The request was not run.
    Unavailable,
    /// The instance is shutting down. The request was not run.
    Draining,
    /// The result of the request is not known. Send it again with the same id.
    Unknown,
}

impl Code {
    /// HTTP status code.
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::NotAllowed => 403,
            Self::NotFound => 404,
            Self::JobConflict | Self::TicketConflict | Self::TicketSuperseded => 409,
            Self::TooLarge => 413,
            Self::GuaranteeShortfall | Self::Impossible => 422,
            Self::Busy => 429,
            Self::Unavailable | Self::Draining => 503,
            Self::Unknown => 504,
        }
    }

    /// Whether the same request may succeed later.
    pub fn repeat(self) -> bool {
        matches!(self, Self::Busy | Self::Unavailable | Self::Draining | Self::Unknown)
    }

    /// Time after which to retry, in seconds.
    pub fn retry_after_s(self) -> Option<u32> {
        match self {
            Self::Busy | Self::Draining | Self::Unknown => Some(1),
            Self::Unavailable => Some(5),
            _ => None,
        }
    }
}

/// An error, as the JSON body of a response.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
#[error("{message}")]
pub struct ApiError {
    /// Stable code.
    pub code: Code,
    /// What happened and what to do, for a human reader.
    pub message: String,
    /// Whether repeating the same request is safe and useful.
    pub repeat: bool,
    /// Whether the request is known not to have been run.
    pub not_run: bool,
}

impl ApiError {
    /// Creates an error; unless `code` is [`Code::Unknown`], the request counts as not run.
    pub fn new<M>(code: Code, message: M) -> Self
    where
        M: Into<String>,
    {
        Self {
            code,
            message: message.into(),
            repeat: code.repeat(),
            not_run: code != Code::Unknown,
        }
    }
}
