//! Rows that others write.

use super::{EndpointEntry, Row, SiteConfig};

/// Reading of the rows that operators and endpoints write.
pub trait EntryDecoder: Clone + 'static {
    /// Table of the configuration.
    fn config_table(&self) -> &'static str;

    /// Table of the endpoints.
    fn endpoint_table(&self) -> &'static str;

    /// The configuration, if the row holds it; `None` for other rows of the table.
    fn decode_config(&self, row: &Row) -> Result<Option<SiteConfig>, String>;

    /// The entry of an endpoint; `None` if it names no endpoint to use.
    fn decode_endpoint(&self, row: &Row) -> Result<Option<EndpointEntry>, String>;
}
