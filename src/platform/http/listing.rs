//! The list over HTTP.

use std::sync::{Mutex, PoisonError};

use attohttpc::StatusCode;
use attohttpc::header::{ETAG, IF_NONE_MATCH};

use super::Timeouts;
use super::client::{Client, SendError, read_json, send};
use crate::platform::{Address, Listing, ListingError, MachineList};

/// A list and the entity tag that the platform gave it.
#[derive(Debug, Clone)]
struct Tagged {
    tag: String,
    listed: MachineList,
}

/// The list over HTTP. It rarely changes and is asked for often, so an unchanged one is not sent again: at 1,300
/// endpoints it has some 225 KB.
#[derive(Debug)]
pub struct HttpListing {
    address: Address,
    client: Client,
    last: Mutex<Option<Tagged>>,
}

impl HttpListing {
    /// The list at this address.
    pub fn new(address: Address, timeouts: Timeouts) -> Self {
        Self {
            address,
            client: Client::new(timeouts),
            last: Mutex::default(),
        }
    }

    fn fetch(&self, known: Option<Tagged>) -> Result<(MachineList, Option<Tagged>), SendError> {
        let mut request = self.client.get(self.address, "/v1/list");
        if let Some(known) = &known {
            request = request.header(IF_NONE_MATCH, &known.tag);
        }
        let answer = send(request, &[])?;
        if answer.status() == StatusCode::NOT_MODIFIED {
            let Some(known) = known else {
                return Err(SendError::Lost(
                    "answered that a list is unchanged that was never sent".to_owned(),
                ));
            };
            return Ok((known.listed.clone(), Some(known)));
        }
        let tag = answer
            .headers()
            .get(ETAG)
            .and_then(|tag| tag.to_str().ok())
            .map(str::to_owned);
        let listed: MachineList = read_json(answer)?;
        let tagged = tag.map(|tag| Tagged {
            tag,
            listed: listed.clone(),
        });
        Ok((listed, tagged))
    }
}

impl Listing for HttpListing {
    fn list(&self) -> Result<MachineList, ListingError> {
        let known = self.last.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let (listed, tagged) = self.fetch(known).map_err(|error| ListingError(error.to_string()))?;
        *self.last.lock().unwrap_or_else(PoisonError::into_inner) = tagged;
        Ok(listed)
    }
}
