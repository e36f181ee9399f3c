//! Election and acceptance against a store in memory, in virtual time.

mod election;
mod store;
mod watch;
mod world;
