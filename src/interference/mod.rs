//! Pairs of kinds of tasks that slow each other down on one endpoint.
//!
//! [`Interference`] is given the logarithm of the speed of a run, relative to its endpoint and to the caller's estimate,
//! and the kinds of the other runs on that endpoint. For each pair of kinds it compares the mean beside the other with
//! the mean without it. Only the measurements beside the other are kept per pair; those without it are the difference
//! to all measurements of the kind. A pair that is first seen late can thus be compared at once.

mod finding;
mod kind_stats;
mod moments;
mod pairs;

pub use finding::Finding;
pub use kind_stats::KindStats;
pub use moments::Moments;
pub use pairs::Interference;
