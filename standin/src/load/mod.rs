//! Load generator for running instances that checks each answer.
//!
//! The load is open-loop: requests are due at a fixed rate regardless of earlier ones, and latencies count from the due
//! time, so that a stall shows in the latencies of all requests that it delayed. Each request's payload makes the
//! endpoint answer with the request's id, once for each part or member, which reveals foreign and partial answers.

mod answer;
mod direct_sender;
mod http_sender;
mod mix;
mod report;
mod request_result;
mod run;
mod sender;
mod tally;

pub use answer::check_answer;
pub use direct_sender::DirectSender;
pub use http_sender::HttpSender;
pub use mix::{Mix, Request, RequestType};
pub use report::{LoadReport, TimeStats, TypeReport};
pub use request_result::{FlawKind, RequestResult};
pub use run::{Load, Progress};
pub use sender::Sender;
pub use tally::Flaw;
