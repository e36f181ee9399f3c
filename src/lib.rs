//! Scheduler for multi-accelerator jobs under team guarantees.
//!
//! Code that makes decisions is pure: it takes state and the time and returns decisions. Controllers are driven by
//! `step(now)`. External services are used only through the traits in [`platform`] and [`port`], so that tests can run
//! the code with fakes and virtual time.

pub mod accept;
pub mod api;
pub mod call;
pub mod client;
pub mod config;
pub mod dispatch;
pub mod evacuation;
pub mod explain;
pub mod graph;
pub mod instance;
pub mod intake;
pub mod interference;
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
pub mod refusal;
pub mod room;
pub mod route;
pub mod row;
pub mod session;
pub mod team;
pub mod ticket;
pub mod time;
pub mod trace;
pub mod victims;
