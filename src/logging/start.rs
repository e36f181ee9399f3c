//! Starts logging.

use std::fmt;

use flexi_logger::{ErrorChannel, LogSpecification, Logger, LoggerHandle, detailed_format, json_format};
use log::LevelFilter;

use super::LoggingError;
use super::bounded_writer::BoundedWriter;
use crate::config::{LogFormat, LogLevel, LogSettings};

/// Handle of the running logger, which is flushed and shut down when this is dropped.
pub struct Logging {
    handle: LoggerHandle,
}

impl fmt::Debug for Logging {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Logging").finish_non_exhaustive()
    }
}

impl Drop for Logging {
    fn drop(&mut self) {
        self.handle.shutdown();
    }
}

fn level_filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
        LogLevel::Trace => LevelFilter::Trace,
    }
}

/// Starts logging to standard error; fails if the process has a logger already.
pub fn start(settings: &LogSettings) -> Result<Logging, LoggingError> {
    let specification = specification(settings.level);
    let format = match settings.format {
        LogFormat::Plain => detailed_format,
        LogFormat::Json => json_format,
    };
    let handle = Logger::with(specification)
        .log_to_stderr()
        .format(format)
        .use_utc()
        // A closed standard error must not end the process.
        .error_channel(ErrorChannel::DevNull)
        .panic_if_error_channel_is_broken(false)
        .start()?;
    Ok(Logging { handle })
}

/// Log levels by module. Libraries are limited to warnings because they log each connection at lower levels.
fn specification(level: LogLevel) -> LogSpecification {
    LogSpecification::builder()
        .default(LevelFilter::Warn)
        .module("yuccaridge", level_filter(level))
        .module("span", LevelFilter::Info)
        .build()
}

/// Starts logging as JSON lines to standard output, limited in rate and without blocking; fails if the process has a
/// logger already.
pub fn start_bounded(level: LogLevel) -> Result<Logging, LoggingError> {
    let handle = Logger::with(specification(level))
        .log_to_writer(Box::new(BoundedWriter::start(std::io::stdout())))
        .use_utc()
        .error_channel(ErrorChannel::DevNull)
        .panic_if_error_channel_is_broken(false)
        .start()?;
    Ok(Logging { handle })
}
