//! Endpoints that a placement takes last because of what runs there.

use std::collections::BTreeSet;

/// Endpoints on which tasks would slow others down, or be slowed down.
#[derive(Debug, Default, Clone)]
pub(super) struct Crowding {
    /// Such endpoints by index.
    pub endpoints: BTreeSet<usize>,
    /// The tasks of the demand slow each other down, too.
    pub own_kind: bool,
}
