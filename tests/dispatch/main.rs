//! Tests of the dispatcher.

mod doubt;
mod gang;
mod takeover;
mod world;
