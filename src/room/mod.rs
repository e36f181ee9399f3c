//! Room for units that need whole endpoints.
//!
//! The pattern of load: urgent units and gangs whose tasks take much of an endpoint arrive all the time beside hundreds of
//! small tasks. The small tasks take whatever is free at once, so that no endpoint is empty when such a unit arrives, and
//! it waits or stops others.
//!
//! [`Rooms`] follows how many endpoints the large tasks of each class, a pool and a priority, use and wait for, and tells how
//! many empty endpoints work of a lower priority has to leave.

mod forecast;
mod rooms;
mod usage;

pub use forecast::Forecast;
pub use rooms::Rooms;
pub use usage::Usage;
