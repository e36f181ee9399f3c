//! The platform's list of live and leaving machines, which lags.

use std::fmt;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::name::{DomainName, EndpointName, InstanceName, RackName};

/// IP address and port, as text.
pub type Address = std::net::SocketAddr;

/// What the list says about a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Presence {
    /// In use.
    Live,
    /// About to be taken away; gets nothing new.
    Leaving,
}

/// An endpoint in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedEndpoint {
    /// Its name.
    pub name: EndpointName,
    /// Where it takes commands and calls.
    pub address: Address,
    /// Its rack.
    pub rack: RackName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Cores.
    pub cores: u32,
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// Accelerators, numbered from 0; neighbours in number are adjacent.
    pub accelerators: u16,
    /// Tasks and calls that it runs at once.
    pub slots: u16,
    /// Connections that it takes at once.
    pub connections: u16,
    /// Live or leaving.
    pub presence: Presence,
}

/// An instance of the system in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Its name.
    pub name: InstanceName,
    /// Where it takes requests.
    pub address: Address,
    /// Its failure domain.
    pub domain: DomainName,
    /// Live or leaving.
    pub presence: Presence,
}

/// The whole list.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineList {
    /// Endpoints.
    #[serde(rename = "workers")]
    pub endpoints: Vec<ListedEndpoint>,
    /// Instances of the system.
    pub instances: Vec<ListedInstance>,
}

/// Failure to read the list.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("the list of instances cannot be read: {0}")]
pub struct ListingError(pub String);

/// The list.
pub trait Listing: fmt::Debug + Send + Sync {
    /// Reads it.
    fn list(&self) -> Result<MachineList, ListingError>;
}
