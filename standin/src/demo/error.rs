//! Errors of the demo.

use thiserror::Error;
use yuccaridge::client::ClientError;
use yuccaridge::config::ConfigError;
use yuccaridge::instance::DaemonError;
use yuccaridge::name::NameError;

/// Why the demo failed.
#[derive(Debug, Error)]
pub enum DemoError {
    /// Something that the demo shows is not so.
    #[error("{0}")]
    CheckFailed(String),
    /// A socket or thread could not be had.
    #[error("the system refused a resource: {0}")]
    System(#[from] std::io::Error),
    /// A name is not valid.
    #[error(transparent)]
    Name(#[from] NameError),
    /// Settings are not valid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// An instance did not start.
    #[error(transparent)]
    Daemon(#[from] DaemonError),
    /// A request failed.
    #[error(transparent)]
    Client(#[from] ClientError),
}
