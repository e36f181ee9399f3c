//! Times at which silent endpoints without runs are asked for a report.
//!
//! Nothing else asks such an endpoint: it has no leases to renew and gets no new work. Each is asked at increasing
//! intervals. The requests to all of them are spread out, so that their number in a second has a bound, and so that
//! endpoints that went silent together do not answer together.

use std::collections::BTreeSet;

/// Least time between two requests, in milliseconds.
const SPACING_MS: u64 = 2;

/// Slots that are taken, numbered by time.
#[derive(Debug, Default)]
pub(super) struct ProbeSlots {
    taken: BTreeSet<u64>,
}

impl ProbeSlots {
    /// Takes the first free slot that is not before `earliest`; returns its time, in milliseconds.
    pub fn take(&mut self, earliest: u64, now: u64) -> u64 {
        self.taken = self.taken.split_off(&(now / SPACING_MS));
        let mut slot = earliest.div_ceil(SPACING_MS);
        while !self.taken.insert(slot) {
            slot += 1;
        }
        slot.saturating_mul(SPACING_MS)
    }
}
