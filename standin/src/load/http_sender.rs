//! Sends requests to instances and polls them until they have a final outcome.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use attohttpc::body::Body;
use attohttpc::{ProxySettings, RequestBuilder, Session};
use yuccaridge::api::{ApiError, Code, JobState, JobView};
use yuccaridge::job::Outcome;
use yuccaridge::platform::Address;

use super::mix::Request;
use super::request_result::RequestResult;
use super::sender::Sender;

/// Maximum wait of one lookup.
const LOOKUP_WAIT: Duration = Duration::from_secs(10);
/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay after a lookup that gave no final state, before the next one.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Reply of an instance.
enum InstanceReply {
    Job(Box<JobView>),
    Error(ApiError),
    /// No answer, or one that cannot be parsed.
    NoReply(String),
}

/// Sends requests to instances in round-robin order.
#[derive(Debug)]
pub struct HttpSender {
    targets: Vec<Address>,
    next: AtomicUsize,
    session: Session,
    /// Time from its due time after which a request without a final outcome counts as missing.
    timeout: Duration,
}

impl HttpSender {
    /// Creates a sender to these instances.
    pub fn new(targets: Vec<Address>, timeout: Duration) -> Self {
        let mut session = Session::new();
        session.connect_timeout(CONNECT_TIMEOUT);
        session.read_timeout(timeout);
        session.proxy_settings(ProxySettings::builder().build());
        Self {
            targets,
            next: AtomicUsize::new(0),
            session,
            timeout,
        }
    }

    /// URL of a job at the next instance.
    fn url(&self, request: &Request) -> String {
        let index = self.next.fetch_add(1, Ordering::Relaxed) % self.targets.len();
        format!("http://{}/v1/jobs/{}", self.targets[index], request.id)
    }

    fn submit(&self, request: &Request) -> InstanceReply {
        match serde_json::to_vec(&request.spec) {
            Ok(body) => send_request(self.session.put(self.url(request)).bytes(body)),
            Err(error) => InstanceReply::NoReply(error.to_string()),
        }
    }

    fn look_up(&self, request: &Request, wait: Duration) -> InstanceReply {
        let url = format!("{}?wait={}", self.url(request), wait.as_secs());
        send_request(self.session.get(url))
    }

    /// Polls a request until it has a final outcome or the timeout has passed.
    fn follow(&self, request: &Request, due: Instant, mut reply: InstanceReply) -> RequestResult {
        let mut result = RequestResult::default();
        loop {
            let left = self.timeout.saturating_sub(due.elapsed());
            let reason = match reply {
                InstanceReply::Job(view) if view.id != request.id => {
                    return result.wrong(format!("the answer is about job {}", view.id));
                }
                InstanceReply::Job(view) => {
                    result.record_acceptance(request, due);
                    match view.outcome {
                        Some(outcome) if outcome.is_final() || left.is_zero() => {
                            return result.check_outcome(request, &outcome);
                        }
                        None if view.state == JobState::Ended => {
                            return result.wrong("the job ended without an outcome");
                        }
                        _ => format!("the job is still {:?}", view.state),
                    }
                }
                InstanceReply::Error(error) => code_name(&error),
                InstanceReply::NoReply(reason) => reason,
            };
            if left.is_zero() {
                return result.missing(reason);
            }
            reply = self.retry(request, left, result.accepted.is_some());
        }
    }

    /// Looks a request up. If the instance does not know it, resubmits it under the same id, which is safe. An accepted
    /// request is not resubmitted, because every instance must know it.
    fn retry(&self, request: &Request, left: Duration, accepted: bool) -> InstanceReply {
        let reply = self.look_up(request, LOOKUP_WAIT.min(left));
        match &reply {
            InstanceReply::Job(view) if view.outcome.as_ref().is_none_or(Outcome::is_final) => return reply,
            InstanceReply::Error(error) if error.code == Code::NotFound && !accepted => return self.submit(request),
            _ => {}
        }
        thread::sleep(RETRY_DELAY.min(left));
        reply
    }
}

impl Sender for HttpSender {
    fn send(&self, request: &Request, due: Instant) -> RequestResult {
        match self.submit(request) {
            // Only a refusal of the first submission proves that nothing runs. A later one says nothing about an earlier
            // submission whose answer was lost.
            InstanceReply::Error(error) if error.not_run => {
                let code = code_name(&error);
                RequestResult::default().refused(&code, error.message)
            }
            reply => self.follow(request, due, reply),
        }
    }
}

fn code_name(error: &ApiError) -> String {
    let code = serde_json::to_value(error.code).unwrap_or_default();
    code.as_str().unwrap_or("?").to_owned()
}

fn send_request<B>(request: RequestBuilder<B>) -> InstanceReply
where
    B: Body,
{
    let answer = request
        .send()
        .and_then(|answer| Ok((answer.is_success(), answer.bytes()?)));
    let (is_success, bytes) = match answer {
        Ok(answer) => answer,
        Err(error) => return InstanceReply::NoReply(error.to_string()),
    };
    let reply = if is_success {
        serde_json::from_slice(&bytes).map(|view| InstanceReply::Job(Box::new(view)))
    } else {
        serde_json::from_slice(&bytes).map(InstanceReply::Error)
    };
    reply.unwrap_or_else(|error| InstanceReply::NoReply(format!("the answer cannot be parsed: {error}")))
}
