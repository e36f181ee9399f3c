//! The HTTP adapters against the stand-in servers, and against a server that breaks the protocol.

mod commits;
mod fixture;
mod lists;
mod page;
mod parts;
mod raw;
mod reads;
mod truth;
