//! Decoding of rows that the site writes.

use std::sync::Arc;

use super::{EndpointEntry, Row, SiteConfig};

/// Decodes the rows that operators and endpoints write.
pub trait EntryDecoder: Clone + 'static {
    /// Table that holds the configuration.
    fn config_table(&self) -> &'static str;

    /// Table that holds the endpoint entries.
    fn endpoint_table(&self) -> &'static str;

    /// Decodes the configuration; `None` for other rows of the table.
    fn decode_config(&self, row: &Row) -> Result<Option<SiteConfig>, String>;

    /// Failure domain whose evacuation a row of the configuration's table requests; `None` for any other row. The request is
    /// taken back when the row is removed.
    fn decode_evacuation(&self, row: &Row) -> Option<Arc<str>> {
        let _ = row;
        None
    }

    /// Decodes the entry of an endpoint; `None` if the row describes no usable endpoint.
    fn decode_endpoint(&self, row: &Row) -> Result<Option<EndpointEntry>, String>;
}
