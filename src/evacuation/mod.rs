//! Evacuation of failure domains: no work is sent to the endpoints of a domain that the operator has closed.
//!
//! The pattern of load is a large part of the fleet that is taken away at once while starts, claims and repeated orders are
//! under way. What runs there goes on. A leader whose knowledge of the requests is old sends no starts at all, since a domain
//! may have been closed meanwhile.

mod evacuations;

pub use evacuations::Evacuations;
