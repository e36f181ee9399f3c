//! Error of the start of logging.

use flexi_logger::FlexiLoggerError;
use thiserror::Error;

/// Failure to start logging.
#[derive(Debug, Error)]
#[error("logging cannot be started")]
pub struct LoggingError(#[from] FlexiLoggerError);
