//! Snapshot of an endpoint for one scheduling round.

use std::sync::Arc;

use super::Endpoint;
use crate::port::Resources;

/// What a placement knows of an endpoint that accepts new work. Decisions of the round are booked in it as they are
/// made.
#[derive(Debug, Clone)]
pub struct EndpointView {
    /// Name of the endpoint.
    pub name: Arc<str>,
    /// Start time of the endpoint, which identifies its incarnation.
    pub born: u64,
    /// Rack.
    pub rack: Option<Arc<str>>,
    /// Labels.
    pub labels: Vec<Arc<str>>,
    /// Resources of the whole endpoint.
    pub capacity: Resources,
    /// Resources that no run takes.
    pub free: Resources,
    /// Resources of runs that are being stopped.
    pub terminating: Resources,
    /// Resources that are claimed for urgent units.
    pub claimed: Resources,
    /// Speed relative to the callers' estimates.
    pub speed: f64,
    /// Start of a reservation for a blocked gang, in milliseconds: work that ends later would delay it. 0 for none.
    pub reserved_from: u64,
}

impl EndpointView {
    /// View of an endpoint with all of its resources free.
    pub(super) fn new(name: &Arc<str>, endpoint: &Endpoint) -> Self {
        Self {
            name: Arc::clone(name),
            born: endpoint.entry.born,
            rack: endpoint.entry.rack.clone(),
            labels: endpoint.entry.labels.clone(),
            capacity: endpoint.entry.capacity,
            free: endpoint.entry.capacity,
            terminating: Resources::default(),
            claimed: Resources::default(),
            speed: 0.0,
            reserved_from: 0,
        }
    }

    /// Brings what runs change up to date, without claims and reservations.
    pub(super) fn update(&mut self, endpoint: &Endpoint, typical_log_speed: f64) {
        self.free = endpoint.free();
        self.terminating = Resources::default();
        self.claimed = Resources::default();
        self.speed = endpoint.speed_estimate.smoothed(typical_log_speed).exp();
        self.reserved_from = 0;
    }

    /// Resources that are neither used nor claimed.
    pub fn available(&self) -> Resources {
        self.free.minus(&self.claimed)
    }

    /// Whether all of its accelerators are available.
    pub fn is_empty(&self) -> bool {
        self.capacity.accelerators > 0 && self.available().accelerators == self.capacity.accelerators
    }

    /// Resources that a further claim may count on: free or being freed, and not set aside for another claim.
    pub fn claimable(&self) -> Resources {
        self.free.plus(&self.terminating).minus(&self.claimed)
    }

    /// Whether the endpoint carries a label; the empty label always matches.
    pub fn has_label(&self, label: &str) -> bool {
        label.is_empty() || self.labels.iter().any(|found| **found == *label)
    }

    /// Whether the endpoint is in a rack.
    pub fn is_in_rack(&self, rack: &str) -> bool {
        self.rack.as_deref() == Some(rack)
    }
}
