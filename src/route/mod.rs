//! Routing of calls to endpoints.
//!
//! A call goes to the less loaded of two endpoints drawn at random. Both the draw and the comparison account for the
//! speed of the endpoints.
//!
//! All instances share the slots and connections of an endpoint, and no instance sees the calls of the others. Each
//! instance therefore uses an equal share by the number of live instances. The calls in flight that the endpoint
//! reports correct this share: free slots are divided among the instances, and on a full endpoint an instance keeps its
//! equal share.
//!
//! Retries spend tokens that first tries earn, so that retries cannot multiply the load of a fleet that is already
//! failing. An endpoint that fails gets no calls for a pause that doubles with each failure, and then one call as a
//! probe.

mod backend;
mod endpoint_state;
mod retry_budget;
mod router;

pub use backend::{Backend, CallResult};
pub use retry_budget::RetryBudget;
pub use router::Router;
