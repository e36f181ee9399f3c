//! Errors of the log.

use flexi_logger::FlexiLoggerError;
use thiserror::Error;

/// Failure to start the log.
#[derive(Debug, Error)]
#[error("the log cannot be started")]
pub struct LoggingError(#[from] FlexiLoggerError);
