//! Rows that others write.

use super::{EndpointEntry, Policy, Row};

/// Reading of the rows that operators and endpoints write.
pub trait Entries: Clone + 'static {
    /// Table of the configuration.
    fn policy_table(&self) -> &'static str;

    /// Table of the endpoints.
    fn endpoint_table(&self) -> &'static str;

    /// The configuration, if the row holds it; `None` for other rows of the table.
    fn policy(&self, row: &Row) -> Result<Option<Policy>, String>;

    /// The entry of an endpoint; `None` if it names no endpoint to use.
    fn endpoint(&self, row: &Row) -> Result<Option<EndpointEntry>, String>;
}
