//! Endpoints as a placement sees them.

use std::sync::Arc;

use crate::port::Room;

/// An endpoint that may get work in this round.
#[derive(Debug, Clone)]
pub struct EndpointView {
    /// Name.
    pub name: Arc<str>,
    /// Life of the endpoint.
    pub born: u64,
    /// Rack.
    pub rack: Option<Arc<str>>,
    /// Labels.
    pub labels: Vec<Arc<str>>,
    /// Room of the whole endpoint.
    pub capacity: Room,
    /// Room that nothing takes.
    pub free: Room,
    /// Room of runs that are being stopped.
    pub terminating: Room,
    /// Room that is kept for units that wait for it.
    pub claimed: Room,
    /// Speed relative to the estimates.
    pub speed: f64,
    /// Work that ends after this time would delay a promised start, in milliseconds; 0 for no promise.
    pub reserved_from: u64,
}

impl EndpointView {
    /// Room that others may take.
    pub fn available(&self) -> Room {
        self.free.minus(&self.claimed)
    }

    /// Room that a further claim may count on: what is being stopped for one claim is not there for another.
    pub fn claimable(&self) -> Room {
        self.free.plus(&self.terminating).minus(&self.claimed)
    }

    /// Whether a label is there; an empty one always is.
    pub fn has_label(&self, label: &str) -> bool {
        label.is_empty() || self.labels.iter().any(|found| **found == *label)
    }

    /// Whether it is in a rack.
    pub fn is_in_rack(&self, rack: &str) -> bool {
        self.rack.as_deref() == Some(rack)
    }
}
