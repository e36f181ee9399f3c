//! Rows of tickets.

use serde::{Deserialize, Serialize};

use crate::team::Object;

/// `ticket/head`: the newest ticket.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketHeadRow {
    /// Its number.
    pub number: u64,
    /// Tickets up to this number were accepted when the row was written, so that nobody scans the whole log.
    #[serde(default)]
    pub settled: u64,
}

/// How far a ticket has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TicketState {
    /// Written; not every instance is known to use it yet.
    Pending,
    /// In force on every instance.
    Accepted,
}

/// `ticket/log/<number>`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketLogRow {
    /// Number.
    pub number: u64,
    /// SHA-256 of the body, as hex.
    pub digest: String,
    /// State.
    pub state: TicketState,
    /// The ticket as it was sent.
    pub body: serde_json::Value,
}

/// `config/<sort>/<name>`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigObjectRow {
    /// Ticket that set it.
    pub number: u64,
    /// The object; `None` once a ticket removed it.
    pub object: Option<Object>,
}
