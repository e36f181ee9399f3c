//! Errors of the demo.

use thiserror::Error;
use yuccaridge::client::ClientError;
use yuccaridge::config::ConfigError;
use yuccaridge::instance::DaemonError;
use yuccaridge::name::NameError;

/// Error of the demo.
#[derive(Debug, Error)]
pub enum DemoError {
    /// A check failed.
    #[error("{0}")]
    CheckFailed(String),
    /// A socket or thread could not be created.
    #[error("cannot create a socket or thread: {0}")]
    System(#[from] std::io::Error),
    /// A name is invalid.
    #[error(transparent)]
    Name(#[from] NameError),
    /// Settings are invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// An instance did not start.
    #[error(transparent)]
    Daemon(#[from] DaemonError),
    /// A request to an instance failed.
    #[error(transparent)]
    Client(#[from] ClientError),
}
