//! Errors of requests about jobs.

use thiserror::Error;

use crate::api::{ApiError, Code};
use crate::job::ShapeError;
use crate::name::JobId;
use crate::platform::{Key, ObjectError, TableError};

/// Reason why a job was not accepted, cancelled or found. The text is for the caller.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum AcceptError {
    /// The body is not a job specification.
    #[error("The job cannot be read: {0}. Correct it and send it again.")]
    Malformed(String),
    /// The body is too large.
    #[error(
        "The job has {0} bytes, which is too large. Put large input into the object store and name it in the payload."
    )]
    TooLarge(usize),
    /// A count of the shape is out of range.
    #[error("The shape is not allowed: {0}.")]
    Shape(#[from] ShapeError),
    /// The configuration does not allow the job.
    #[error("{0}")]
    NotAllowed(String),
    /// No pool can hold the shape, even when empty.
    #[error("{0}")]
    Impossible(String),
    /// The id is in use with another body.
    #[error("The job `{0}` exists with another body. Use another id for this one.")]
    Conflict(JobId),
    /// The job does not exist.
    #[error("There is no job `{0}`.")]
    Absent(JobId),
    /// Too many jobs are waiting, or the write limit is reached.
    #[error(
        "Too many requests are waiting at the moment. This request was not run; send it again later with the same id."
    )]
    Busy,
    /// The instance has no live session, so it does not know the configuration in force.
    #[error(
        "This instance cannot accept requests at the moment. This request was not run; send it again with the same id."
    )]
    NoSession,
    /// The table failed, and nothing was written.
    #[error(
        "The request cannot be stored at the moment ({0}). This request was not run; send it again with the same id."
    )]
    Table(TableError),
    /// The job's row cannot be read.
    #[error("The job cannot be looked up at the moment ({0}). Send the request again.")]
    Lookup(TableError),
    /// The job's stored answer cannot be read.
    #[error("The job has completed, but its answer cannot be read at the moment ({0}). Send the request again.")]
    Answer(ObjectError),
    /// The write may have taken effect.
    #[error("It is not known whether the request about the job `{0}` was stored. Send the same request again.")]
    Unknown(JobId),
    /// The content of a row cannot be decoded.
    #[error("Row `{0}` cannot be decoded. Report this to the developers.")]
    Format(Key),
}

impl AcceptError {
    fn code(&self) -> Code {
        match self {
            Self::Malformed(_) | Self::Shape(_) => Code::BadRequest,
            Self::TooLarge(_) => Code::TooLarge,
            Self::NotAllowed(_) => Code::NotAllowed,
            Self::Impossible(_) => Code::Impossible,
            Self::Conflict(_) => Code::JobConflict,
            Self::Absent(_) => Code::NotFound,
            Self::Busy | Self::Table(TableError::Limited) | Self::Lookup(TableError::Limited) => Code::Busy,
            Self::NoSession | Self::Table(_) | Self::Lookup(_) | Self::Answer(_) | Self::Format(_) => Code::Unavailable,
            Self::Unknown(_) => Code::Unknown,
        }
    }
}

impl From<AcceptError> for ApiError {
    fn from(error: AcceptError) -> Self {
        let mut api_error = Self::new(error.code(), error.to_string());
        // A failed lookup says nothing about whether the job itself ran.
        if matches!(
            error,
            AcceptError::Lookup(_) | AcceptError::Answer(_) | AcceptError::Format(_)
        ) {
            api_error.not_run = false;
        }
        api_error
    }
}
