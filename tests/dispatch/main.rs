//! Tests of the dispatcher.

mod claim;
mod doubt;
mod gang;
mod takeover;
mod world;
