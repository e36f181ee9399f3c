//! What callers lose when running work is stopped for an urgent unit.
//!
//! The pattern of load: urgent tasks that need much of an endpoint arrive all the time beside gangs of a dozen tasks and
//! hundreds of single ones. A stop by an order saves the work of a task with checkpoints, so it costs the time to restore,
//! which differs by site. By that alone the same unit would be the cheapest again and again; [`StopCosts`] makes each
//! further stop of it dearer. Costs order the victims and forbid none, so that a guarantee that is due is met.

mod running_unit;
mod stop_costs;

pub use running_unit::RunningUnit;
pub use stop_costs::StopCosts;
