//! Reads of the head and the log of tickets.

use serde::de::DeserializeOwned;

use super::TicketError;
use crate::platform::{Key, Row, Table, Version};
use crate::row::{TicketHeadRow, TicketLogRow, key, scan_all};

/// Decoded content of a row, and the row's version.
#[derive(Debug, Clone)]
pub struct Versioned<T> {
    pub version: Version,
    pub content: T,
}

fn content<T>(row: &Row) -> Result<Versioned<T>, TicketError>
where
    T: DeserializeOwned,
{
    match T::deserialize(&row.value) {
        Ok(content) => Ok(Versioned {
            version: row.version,
            content,
        }),
        Err(_) => Err(TicketError::Format(Key::clone(&row.key))),
    }
}

/// Reads the head and the log row of a ticket in one request.
pub fn read_ticket(
    table: &dyn Table,
    number: u64,
) -> Result<(Versioned<TicketHeadRow>, Option<Versioned<TicketLogRow>>), TicketError> {
    let keys = [key::TICKET_HEAD.to_owned(), key::ticket_log(number)];
    let mut rows = table.read(&keys).map_err(TicketError::Table)?.into_iter();
    let head = match rows.next().flatten() {
        Some(row) => content(&row)?,
        None => Versioned {
            version: 0,
            content: TicketHeadRow::default(),
        },
    };
    let log = match rows.next().flatten() {
        Some(row) => Some(content(&row)?),
        None => None,
    };
    Ok((head, log))
}

/// Log rows of all tickets with a number above `number`.
pub fn read_log_above(table: &dyn Table, number: u64) -> Result<Vec<Versioned<TicketLogRow>>, TicketError> {
    let rows = scan_all(table, key::TICKET_LOG_PREFIX, Some(key::ticket_log(number))).map_err(TicketError::Table)?;
    let mut logs = Vec::new();
    for row in rows {
        logs.push(content(&row)?);
    }
    Ok(logs)
}
