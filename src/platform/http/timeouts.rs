//! Time limits of a request.

use crate::time::Millis;

/// Time limits of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// Until the connection is made.
    pub connect: Millis,
    /// From the connection to the end of the answer.
    pub read: Millis,
}

impl Timeouts {
    /// Limit of the whole request.
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
