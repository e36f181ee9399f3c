//! Exit codes and error reporting.

use std::io;
use std::process::ExitCode;

use miette::{LabeledSpan, MietteDiagnostic, NamedSource, Report};
use serde_json::json;
use yuccaridge::api::{ApiError, JobView};
use yuccaridge::client::ClientError;
use yuccaridge::config::ConfigError;
use yuccaridge::job::Outcome;

/// Exit code of the program, as listed in the help text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Success = 0,
    /// The program itself failed, or a file cannot be read.
    Internal = 1,
    /// The request was refused; repeating it does not help.
    Refused = 3,
    /// The request was not run and may be repeated.
    NotRun = 4,
    /// It is unknown whether the request was run.
    Unknown = 5,
    /// The job ended without a complete answer.
    Ended = 6,
    /// The settings or the ticket are invalid.
    Invalid = 7,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

impl Exit {
    /// The exit code for the state of a job.
    pub fn of_job(view: &JobView) -> Self {
        match view.outcome {
            None | Some(Outcome::Completed { .. }) => Self::Success,
            Some(Outcome::Unknown { .. }) => Self::Unknown,
            Some(_) => Self::Ended,
        }
    }

    fn of_error(error: &ApiError) -> Self {
        match (error.repeat, error.not_run) {
            (true, true) => Self::NotRun,
            (true, false) => Self::Unknown,
            (false, _) => Self::Refused,
        }
    }
}

/// Error of a command.
#[derive(Debug)]
pub enum Failure {
    /// The settings are invalid or cannot be read.
    Config(ConfigError),
    /// A request to an instance failed.
    Client(ClientError),
    /// A file, given by its path, cannot be read.
    File(String, io::Error),
    /// A ticket is invalid.
    Ticket(String),
    /// The instance could not be started or run.
    Instance(String),
}

impl From<ConfigError> for Failure {
    fn from(error: ConfigError) -> Self {
        Self::Config(error)
    }
}

impl From<ClientError> for Failure {
    fn from(error: ClientError) -> Self {
        Self::Client(error)
    }
}

impl Failure {
    fn exit(&self) -> Exit {
        match self {
            Self::Config(ConfigError::Read { .. }) | Self::File(..) | Self::Instance(_) => Exit::Internal,
            Self::Config(_) | Self::Ticket(_) => Exit::Invalid,
            Self::Client(ClientError::Unreached { .. }) => Exit::NotRun,
            Self::Client(ClientError::Lost { .. }) => Exit::Unknown,
            Self::Client(ClientError::Refused(error)) => Exit::of_error(error),
        }
    }

    /// Prints the error to standard error and returns the exit code.
    pub fn report(self, is_json: bool) -> Exit {
        let exit = self.exit();
        if is_json {
            eprintln!("{}", self.json());
        } else {
            eprintln!("{:?}", self.diagnostic());
        }
        exit
    }

    fn json(&self) -> serde_json::Value {
        match self {
            Self::Client(ClientError::Refused(error)) => json!(error),
            Self::Client(error @ ClientError::Unreached { .. }) => {
                json!({ "code": "unreached", "message": error.to_string(), "repeat": true, "not_run": true })
            }
            Self::Client(error @ ClientError::Lost { .. }) => {
                json!({ "code": "unknown", "message": error.to_string(), "repeat": true, "not_run": false })
            }
            Self::Config(ConfigError::Text {
                message,
                help,
                location,
            }) => json!({
                "code": "settings", "message": message, "help": help,
                "file": location.source, "line": location.line, "column": location.column,
            }),
            Self::Config(error) => json!({ "code": "settings", "message": error.to_string() }),
            Self::File(path, error) => json!({ "code": "file", "message": format!("{path}: {error}") }),
            Self::Ticket(message) => json!({ "code": "ticket", "message": message }),
            Self::Instance(message) => json!({ "code": "instance", "message": message }),
        }
    }

    fn diagnostic(self) -> Report {
        match self {
            Self::Config(ConfigError::Text {
                message,
                help,
                location,
            }) => {
                // An empty span, as of an error at the end of the text, is drawn only with a length of at least 1.
                let length = (location.end - location.start).max(1);
                let heading = format!("settings line {}, column {}: {message}", location.line, location.column);
                let report = MietteDiagnostic::new(heading)
                    .with_help(help)
                    .with_label(LabeledSpan::new_with_span(
                        Some("here".to_owned()),
                        (location.start, length),
                    ));
                Report::new(report).with_source_code(NamedSource::new(location.source, location.text))
            }
            Self::Config(ConfigError::Read { path, source }) => plain(&format!("{path} cannot be read: {source}")),
            Self::Config(error) => plain(&error.to_string()),
            Self::Client(ClientError::Refused(error)) => {
                let help = match (error.repeat, error.not_run) {
                    (true, true) => "The request was not run. Sending the same request again is safe.",
                    (true, false) => "The result is unknown. Ask again with the same id or number.",
                    (false, true) => "The request was not run. Sending the same request again does not help.",
                    (false, false) => "Sending the same request again does not help.",
                };
                Report::new(MietteDiagnostic::new(error.message).with_help(help))
            }
            Self::Client(error) => plain(&error.to_string()),
            Self::File(path, error) => plain(&format!("{path} cannot be read: {error}")),
            Self::Ticket(message) | Self::Instance(message) => plain(&message),
        }
    }
}

fn plain(message: &str) -> Report {
    Report::new(MietteDiagnostic::new(message))
}
