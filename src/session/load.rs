//! Reads the configuration from the table.

use std::str::FromStr;
use std::sync::Arc;

use serde::Deserialize;

use super::SessionError;
use crate::platform::{Check, Key, Row, Table, Version};
use crate::row::{ConfigObjectRow, TicketHeadRow, key, scan_all};
use crate::team::{Catalog, Object};

/// Maximum attempts to read a configuration that changes during the read; the next step tries again.
const LOAD_ATTEMPTS_MAX: usize = 4;

/// A catalog and the version of `ticket/head` that it belongs to.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct VersionedCatalog {
    /// The catalog.
    pub catalog: Arc<Catalog>,
    /// Version of `ticket/head`; 0 before the first ticket.
    pub head_version: Version,
}

impl VersionedCatalog {
    /// Check for a transaction that the catalog is still the newest.
    pub fn check(&self) -> Check {
        Check {
            key: key::TICKET_HEAD.to_owned(),
            version: self.head_version,
        }
    }
}

fn read_head(table: &dyn Table) -> Result<(Version, TicketHeadRow), SessionError> {
    match table.read(&[key::TICKET_HEAD.to_owned()])?.into_iter().next().flatten() {
        Some(row) => {
            let content = TicketHeadRow::deserialize(&row.value).map_err(|_error| SessionError::Format(row.key))?;
            Ok((row.version, content))
        }
        None => Ok((0, TicketHeadRow::default())),
    }
}

fn object_name<N>(row: &Row, type_name: &str) -> Result<N, SessionError>
where
    N: FromStr,
{
    row.key
        .strip_prefix(key::CONFIG_PREFIX)
        .and_then(|rest| rest.strip_prefix(type_name))
        .and_then(|rest| rest.strip_prefix('/'))
        .and_then(|name| name.parse().ok())
        .ok_or_else(|| SessionError::Format(row.key.clone()))
}

fn add_object(catalog: &mut Catalog, row: &Row) -> Result<(), SessionError> {
    let content =
        ConfigObjectRow::deserialize(&row.value).map_err(|_error| SessionError::Format(Key::clone(&row.key)))?;
    match content.object {
        Some(Object::Team(team)) => drop(catalog.teams.insert(object_name(row, "team")?, team)),
        Some(Object::Kind(kind)) => drop(catalog.kinds.insert(object_name(row, "kind")?, kind)),
        Some(Object::Pool(pool)) => drop(catalog.pools.insert(object_name(row, "pool")?, pool)),
        None => {}
    }
    Ok(())
}

/// Reads the whole configuration. The rows are not read as one snapshot, so the head is read before and after them to
/// detect changes.
pub fn load_catalog(table: &dyn Table) -> Result<VersionedCatalog, SessionError> {
    let mut before = read_head(table)?;
    for _ in 0..LOAD_ATTEMPTS_MAX {
        let mut catalog = Catalog {
            number: before.1.number,
            ..Catalog::default()
        };
        for row in scan_all(table, key::CONFIG_PREFIX, None)? {
            add_object(&mut catalog, &row)?;
        }
        let after = read_head(table)?;
        if after.0 == before.0 {
            return Ok(VersionedCatalog {
                catalog: Arc::new(catalog),
                head_version: before.0,
            });
        }
        before = after;
    }
    Err(SessionError::Changing)
}
