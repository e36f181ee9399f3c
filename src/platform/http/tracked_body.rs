//! Request body that records whether it was sent.

use std::cell::Cell;
use std::io::{Result, Write};

use attohttpc::body::{Body, BodyKind};

/// Body that records that its transmission has begun. attohttpc writes a body only after it has connected, and a server
/// cannot act on a request of which no byte of the declared body has arrived.
#[derive(Debug)]
pub(crate) struct TrackedBody<'a> {
    pub bytes: &'a [u8],
    pub sent: &'a Cell<bool>,
}

impl Body for TrackedBody<'_> {
    fn kind(&mut self) -> Result<BodyKind> {
        Ok(BodyKind::KnownLength(self.bytes.len() as u64))
    }

    fn write<W>(&mut self, mut writer: W) -> Result<()>
    where
        W: Write,
    {
        self.sent.set(true);
        writer.write_all(self.bytes)
    }

    fn content_type(&mut self) -> Result<Option<String>> {
        Ok(Some("application/json".to_owned()))
    }
}
