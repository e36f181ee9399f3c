//! Tests of the dispatcher with simulated endpoints and virtual time.

mod advice;
mod alike;
mod busy;
mod checker;
mod ends;
mod evacuate;
mod event;
mod fleet;
mod gang;
mod idle;
mod incarnation;
mod large_jobs;
mod lease_bounds;
mod no_answer;
mod odd_entries;
mod odd_estimates;
mod odd_jobs;
mod odd_reports;
mod preempt;
mod probes;
mod soak;
mod store;
mod store_failure;
mod takeover;
mod trace;
mod world;
