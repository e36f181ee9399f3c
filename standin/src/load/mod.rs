//! Load on running instances, and a check of each answer.
//!
//! Requests are due at a set rate, whatever became of the earlier ones, and their times count from when they were due,
//! so that a stall shows in the times of all requests that it held up. Each request's payload makes the endpoint answer
//! with the request's own id, once for each part or member, so that an answer that is foreign or partial is seen.

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
