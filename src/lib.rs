//! Scheduler for multi-accelerator jobs under team guarantees.
//!
//! The modules stand in the order in which a job passes them. Everything that decides is pure: state and time go in,
//! decisions come out. Controllers are driven by `step(now)` and reach the outside only through the traits in
//! [`platform`], so that tests can run them with fakes and virtual time.

pub mod accept;
pub mod api;
pub mod call;
pub mod client;
pub mod config;
pub mod dispatch;
pub mod graph;
pub mod instance;
pub mod intake;
pub mod job;
pub mod lead;
pub mod logging;
pub mod membership;
pub mod metric;
pub mod name;
pub mod net;
pub mod peer;
pub mod plan;
pub mod planner;
pub mod platform;
pub mod port;
pub mod route;
pub mod row;
pub mod session;
pub mod team;
pub mod ticket;
pub mod time;
pub mod trace;
