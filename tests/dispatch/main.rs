//! Tests of the dispatcher.

mod advice;
mod claim;
mod doubt;
mod evacuate;
mod fleet;
mod gang;
mod idle;
mod soak;
mod takeover;
mod world;
