//! The HTTP adapters against the stand-in servers, and against a server that breaks the protocol.

mod commits;
mod doc_examples;
mod endpoints;
mod fixture;
mod listing;
mod lost_answers;
mod raw_server;
mod reads;
