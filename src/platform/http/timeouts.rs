//! Timeouts of a request.

use crate::time::Millis;

/// Timeouts of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// For opening the connection.
    pub connect: Millis,
    /// From the open connection to the end of the answer.
    pub read: Millis,
}

impl Timeouts {
    /// Timeout of the whole request.
    pub fn total(&self) -> Millis {
        self.connect + self.read
    }
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            connect: Millis(250),
            read: Millis::from_secs(1),
        }
    }
}
