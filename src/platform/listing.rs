//! The platform's list of live and leaving machines. It lags behind the actual state.

use std::fmt;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::name::{DomainName, EndpointName, InstanceName, RackName};

/// IP address and port.
pub type Address = std::net::SocketAddr;

/// Listed state of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Presence {
    /// In use.
    Live,
    /// About to be removed; gets no new work.
    Leaving,
}

/// An endpoint in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedEndpoint {
    /// Name.
    pub name: EndpointName,
    /// Address for commands and calls.
    pub address: Address,
    /// Rack.
    pub rack: RackName,
    /// Failure domain.
    pub domain: DomainName,
    /// Cores.
    pub cores: u32,
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// Number of accelerators. Their indices start at 0; consecutive indices are adjacent accelerators.
    pub accelerators: u16,
    /// Most tasks and calls that run at the same time.
    pub slots: u16,
    /// Most connections that it accepts at the same time.
    pub connections: u16,
    /// Whether it is live or leaving.
    pub presence: Presence,
}

/// An instance in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Name.
    pub name: InstanceName,
    /// Address for requests.
    pub address: Address,
    /// Failure domain.
    pub domain: DomainName,
    /// Whether it is live or leaving.
    pub presence: Presence,
}

/// The whole list.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineList {
    /// Endpoints.
    #[serde(rename = "workers")]
    pub endpoints: Vec<ListedEndpoint>,
    /// Instances.
    pub instances: Vec<ListedInstance>,
}

/// Failure to read the list.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("the list of instances cannot be read: {0}")]
pub struct ListingError(pub String);

/// Source of the list.
pub trait Listing: fmt::Debug + Send + Sync {
    /// Reads the whole list.
    fn list(&self) -> Result<MachineList, ListingError>;
}
