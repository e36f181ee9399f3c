//! The list over HTTP.

use super::Timeouts;
use super::client::{Client, read_json, send};
use crate::platform::{Address, Listed, Listing, ListingError};

/// The list over HTTP.
#[derive(Debug)]
pub struct HttpListing {
    address: Address,
    client: Client,
}

impl HttpListing {
    /// The list at this address.
    pub fn new(address: Address, timeouts: Timeouts) -> Self {
        Self {
            address,
            client: Client::new(timeouts),
        }
    }
}

impl Listing for HttpListing {
    fn list(&self) -> Result<Listed, ListingError> {
        send(self.client.get(self.address, "/v1/list"), &[])
            .and_then(read_json)
            .map_err(|error| ListingError(error.to_string()))
    }
}
