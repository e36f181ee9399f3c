//! The object store over HTTP.

use super::Timeouts;
use super::client::{Client, read_all, send};
use super::wire::{ErrorCode, LENGTH_HEADER};
use crate::platform::{Address, ObjectError, Objects};

/// The object store over HTTP.
#[derive(Debug)]
pub struct HttpObjects {
    address: Address,
    client: Client,
}

impl HttpObjects {
    /// Creates a client for the object store at this address.
    pub fn new(address: Address, timeouts: Timeouts) -> Self {
        Self {
            address,
            client: Client::new(timeouts),
        }
    }
}

impl Objects for HttpObjects {
    fn put(&self, name: &str, bytes: &[u8]) -> Result<(), ObjectError> {
        let request = self.client.put(self.address, "/v1/objects").param("name", name);
        match send(request, bytes) {
            Ok(_) => Ok(()),
            Err(error) => Err(ObjectError::Unavailable(error.to_string())),
        }
    }

    fn get(&self, name: &str) -> Result<Vec<u8>, ObjectError> {
        let request = self.client.get(self.address, "/v1/objects").param("name", name);
        let answer = send(request, &[]).map_err(|error| match error.code() {
            Some(ErrorCode::Absent) => ObjectError::Absent(name.to_owned()),
            _ => ObjectError::Unavailable(error.to_string()),
        })?;
        let length = answer.headers().get(LENGTH_HEADER).cloned();
        let length = length.and_then(|length| length.to_str().ok()?.parse::<usize>().ok());
        let bytes = read_all(answer).map_err(|error| ObjectError::Unavailable(error.to_string()))?;
        if length != Some(bytes.len()) {
            return Err(ObjectError::Unavailable(
                "the object is truncated or its length is unknown".to_owned(),
            ));
        }
        Ok(bytes)
    }
}
