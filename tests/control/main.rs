//! Controllers against the stand-in platform, stepped by hand in virtual time.

mod accept;
mod assembly;
mod call;
mod call_faults;
mod concurrency;
mod member;
mod session;
mod ticket;
mod world;
