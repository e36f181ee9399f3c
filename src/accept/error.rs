//! Why a request about a job failed.

use thiserror::Error;

use crate::api::{ApiError, Code};
use crate::job::ShapeError;
use crate::name::JobId;
use crate::platform::{Key, ObjectError, TableError};

/// Reason why a job was not accepted, cancelled or found, in a sentence for its caller.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum AcceptError {
    /// Not the JSON of a job.
    #[error("The job cannot be read: {0}. Correct it there and send it again.")]
    Malformed(String),
    /// Body too large.
    #[error(
        "The job has {0} bytes, which is too large. Put large input into the object store and name it in the payload."
    )]
    TooLarge(usize),
    /// A count outside its range.
    #[error("The shape is not allowed: {0}.")]
    Shape(#[from] ShapeError),
    /// The team may not run this.
    #[error("{0}")]
    NotAllowed(String),
    /// Nothing can ever hold the shape.
    #[error("{0}")]
    Impossible(String),
    /// Same id, other body.
    #[error("The job `{0}` exists with other content. Use another id for this content.")]
    Conflict(JobId),
    /// No such job.
    #[error("There is no job `{0}`.")]
    Absent(JobId),
    /// Too many jobs wait, or the write limit is reached.
    #[error("Too much is waiting at the moment. This request was not run; send it again later with the same id.")]
    Busy,
    /// No live session, so the configuration in force is not known here.
    #[error(
        "Requests cannot be accepted here at the moment. This request was not run; send it again with the same id."
    )]
    NoSession,
    /// The table failed before anything was written.
    #[error(
        "The request cannot be stored at the moment ({0}). This request was not run; send it again with the same id."
    )]
    Table(TableError),
    /// A row cannot be looked up.
    #[error("The job cannot be looked up at the moment ({0}). Ask again.")]
    Lookup(TableError),
    /// The answer cannot be read.
    #[error("The job has completed, but its answer cannot be read at the moment ({0}). Ask again.")]
    Answer(ObjectError),
    /// The write may have taken effect.
    #[error("It is not known whether the request about the job `{0}` was stored. Send the same request again.")]
    Unknown(JobId),
    /// A row holds something else than expected.
    #[error("Row `{0}` cannot be read. Ask the developers for help.")]
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
        let mut answer = Self::new(error.code(), error.to_string());
        // A failed lookup says nothing about whether the job itself ran.
        if matches!(
            error,
            AcceptError::Lookup(_) | AcceptError::Answer(_) | AcceptError::Format(_)
        ) {
            answer.not_run = false;
        }
        answer
    }
}
