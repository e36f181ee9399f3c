//! What is said of one endpoint.

use std::sync::Arc;

use serde::Serialize;

use super::Exclusion;

/// Whether an endpoint is a candidate for a step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct EndpointNote {
    /// Name of the endpoint.
    pub name: Arc<str>,
    /// Why it may not be taken; `None` for a candidate.
    pub excluded: Option<Exclusion>,
    /// Taken last, since tasks run there that slow these down or are slowed down by them.
    pub crowded: bool,
}
