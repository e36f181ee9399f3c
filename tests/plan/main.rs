//! Tests of the scheduling core.

mod attribution;
mod exact;
mod guarantee;
mod invariant;
mod order;
mod reclaim;
mod world;
