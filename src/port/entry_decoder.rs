//! Decoding of rows that the site writes.

use super::{EndpointEntry, Row, SiteConfig};

/// Decodes the rows that operators and endpoints write.
pub trait EntryDecoder: Clone + 'static {
    /// Table that holds the configuration.
    fn config_table(&self) -> &'static str;

    /// Table that holds the endpoint entries.
    fn endpoint_table(&self) -> &'static str;

    /// Decodes the configuration; `None` for other rows of the table.
    fn decode_config(&self, row: &Row) -> Result<Option<SiteConfig>, String>;

    /// Decodes the entry of an endpoint; `None` if the row describes no usable endpoint.
    fn decode_endpoint(&self, row: &Row) -> Result<Option<EndpointEntry>, String>;
}
