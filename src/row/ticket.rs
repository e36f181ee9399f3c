//! Rows of change tickets and of the configuration objects that they set.

use serde::{Deserialize, Serialize};

use crate::team::Object;

/// `ticket/head`: number of the newest ticket.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketHeadRow {
    /// Number of the newest ticket.
    pub number: u64,
    /// Number up to which all tickets were accepted when the row was written. Saves a scan of the whole log.
    #[serde(default)]
    pub settled: u64,
}

/// State of a ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TicketState {
    /// Written, but not confirmed to be in use on every instance.
    Pending,
    /// In force on every instance.
    Accepted,
}

/// `ticket/log/<number>`: a ticket.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketLogRow {
    /// Number.
    pub number: u64,
    /// SHA-256 of the body, in hexadecimal.
    pub digest: String,
    /// State.
    pub state: TicketState,
    /// Body of the ticket as it was submitted.
    pub body: serde_json::Value,
}

/// `config/<sort>/<name>`: a configuration object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigObjectRow {
    /// Number of the ticket that last set or removed the object.
    pub number: u64,
    /// The object; `None` if a ticket has removed it.
    pub object: Option<Object>,
}
