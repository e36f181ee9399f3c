//! The list of machines over HTTP.

use std::collections::BTreeSet;
use std::sync::{Mutex, PoisonError};

use attohttpc::StatusCode;
use attohttpc::header::{ETAG, IF_NONE_MATCH};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;

use super::Timeouts;
use super::client::{Client, SendError, read_json, send};
use crate::platform::{Address, Listing, ListingError, MachineList};

/// A list with its entity tag.
#[derive(Debug, Clone)]
struct Tagged {
    tag: String,
    listed: MachineList,
}

/// The list with its entries still in JSON, so that an odd one does not hide the others.
#[derive(Debug, Deserialize)]
struct RawList {
    #[serde(rename = "workers")]
    endpoints: Vec<Box<RawValue>>,
    instances: Vec<Box<RawValue>>,
}

/// The list of machines over HTTP. The list is requested often, rarely changes, and has about 225 KB at 1,300 endpoints.
/// Requests are therefore conditional, so that the platform does not send an unchanged list again.
#[derive(Debug)]
pub struct HttpListing {
    address: Address,
    client: Client,
    last: Mutex<Option<Tagged>>,
    /// Why entries of the last list were skipped; each reason is logged once.
    skipped: Mutex<BTreeSet<String>>,
}

impl HttpListing {
    /// Creates a client for the list at this address.
    pub fn new(address: Address, timeouts: Timeouts) -> Self {
        Self {
            address,
            client: Client::new(timeouts),
            last: Mutex::default(),
            skipped: Mutex::default(),
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
                    "the answer has status 304, but the list was never sent".to_owned(),
                ));
            };
            return Ok((known.listed.clone(), Some(known)));
        }
        let tag = answer
            .headers()
            .get(ETAG)
            .and_then(|tag| tag.to_str().ok())
            .map(str::to_owned);
        let listed = self.decode(&read_json(answer)?);
        let tagged = tag.map(|tag| Tagged {
            tag,
            listed: listed.clone(),
        });
        Ok((listed, tagged))
    }
}

impl HttpListing {
    fn decode(&self, list: &RawList) -> MachineList {
        let mut skipped = BTreeSet::new();
        let listed = MachineList {
            endpoints: decode_entries(&list.endpoints, &mut skipped),
            instances: decode_entries(&list.instances, &mut skipped),
        };
        let mut logged = self.skipped.lock().unwrap_or_else(PoisonError::into_inner);
        for reason in skipped.difference(&logged) {
            log::warn!(reason; "skipped an entry of the list of machines");
        }
        *logged = skipped;
        listed
    }
}

/// Decodes the entries that can be read, and adds to `skipped` why the others cannot.
fn decode_entries<T>(entries: &[Box<RawValue>], skipped: &mut BTreeSet<String>) -> Vec<T>
where
    T: DeserializeOwned,
{
    let mut decoded = Vec::with_capacity(entries.len());
    for entry in entries {
        match serde_json::from_str(entry.get()) {
            Ok(entry) => decoded.push(entry),
            Err(error) => drop(skipped.insert(error.to_string())),
        }
    }
    decoded
}

impl Listing for HttpListing {
    fn list(&self) -> Result<MachineList, ListingError> {
        let known = self.last.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let (listed, tagged) = self.fetch(known).map_err(|error| ListingError(error.to_string()))?;
        *self.last.lock().unwrap_or_else(PoisonError::into_inner) = tagged;
        Ok(listed)
    }
}
