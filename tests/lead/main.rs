//! Election and acceptance against a store in memory, in virtual time.

mod election;
mod monitor;
mod store;
mod world;
