//! Routing of calls to endpoints.
//!
//! A call goes to the less loaded of two endpoints drawn at random, where both the draw and the comparison take the
//! endpoints' speed into account. The slots and connections of an endpoint are shared by all instances, and no instance
//! sees the calls of the others. Each therefore holds a share by the number of live instances, and the count of calls
//! that the endpoint reports corrects it: free slots are shared out, and an instance keeps its basic share on a full
//! endpoint.
//!
//! Retries take tokens that first tries earn, so that retries cannot multiply the load of a fleet that already fails.
//! An endpoint that fails is left alone for a pause that doubles with each failure, and then gets one call as a probe.

mod backend;
mod endpoint_state;
mod retry_budget;
mod router;

pub use backend::{Backend, CallResult};
pub use retry_budget::RetryBudget;
pub use router::Router;
