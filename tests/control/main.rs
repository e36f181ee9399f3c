//! The controllers against the stand-ins, in one thread and in virtual time.

mod accept;
mod assembly;
mod call;
mod call_faults;
mod concurrency;
mod member;
mod session;
mod ticket;
mod world;
