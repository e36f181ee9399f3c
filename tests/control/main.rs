//! The controllers against the stand-ins, in one thread and in virtual time.

mod accept;
mod assembly;
mod call;
mod doubt;
mod member;
mod race;
mod session;
mod ticket;
mod world;
