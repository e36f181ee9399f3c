//! Requests sent to instances, and followed to their end.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use attohttpc::body::Body;
use attohttpc::{ProxySettings, RequestBuilder, Session};
use yuccaridge::api::{ApiError, Code, JobState, JobView};
use yuccaridge::job::Outcome;
use yuccaridge::platform::Address;

use super::mix::Request;
use super::request_result::Ending;
use super::sender::Sender;

/// Longest single wait of a lookup.
const WAIT: Duration = Duration::from_secs(10);
/// Time limit for a connection.
const CONNECT: Duration = Duration::from_secs(1);
/// Pause before an instance that refused or did not answer is asked again.
const PAUSE: Duration = Duration::from_millis(200);

/// What an instance said.
enum Said {
    Job(Box<JobView>),
    Error(ApiError),
    /// No answer, or one that makes no sense.
    Nothing(String),
}

/// Sends to instances in turn.
#[derive(Debug)]
pub struct HttpSender {
    targets: Vec<Address>,
    next: AtomicUsize,
    session: Session,
    /// Time after which a request without an end is missing.
    patience: Duration,
}

impl HttpSender {
    /// Sends to these instances.
    pub fn new(targets: Vec<Address>, patience: Duration) -> Self {
        let mut session = Session::new();
        session.connect_timeout(CONNECT);
        session.read_timeout(patience);
        session.proxy_settings(ProxySettings::builder().build());
        Self {
            targets,
            next: AtomicUsize::new(0),
            session,
            patience,
        }
    }

    /// Path of a job at the next instance.
    fn url(&self, request: &Request) -> String {
        let index = self.next.fetch_add(1, Ordering::Relaxed) % self.targets.len();
        format!("http://{}/v1/jobs/{}", self.targets[index], request.id)
    }

    fn submit(&self, request: &Request) -> Said {
        match serde_json::to_vec(&request.spec) {
            Ok(body) => exchange(self.session.put(self.url(request)).bytes(body)),
            Err(error) => Said::Nothing(error.to_string()),
        }
    }

    fn look_up(&self, request: &Request, wait: Duration) -> Said {
        let url = format!("{}?wait={}", self.url(request), wait.as_secs());
        exchange(self.session.get(url))
    }

    /// Follows a request until it has an outcome that cannot change, or the patience is over.
    fn follow(&self, request: &Request, due: Instant, mut said: Said) -> Ending {
        let mut ending = Ending::default();
        loop {
            let left = self.patience.saturating_sub(due.elapsed());
            let reason = match said {
                Said::Job(view) if view.id != request.id => return ending.wrong(format!("it is job {}", view.id)),
                Said::Job(view) => {
                    ending.accept(request, due);
                    match view.outcome {
                        Some(outcome) if outcome.is_final() || left.is_zero() => {
                            return ending.judge(request, &outcome);
                        }
                        None if view.state == JobState::Ended => return ending.wrong("ended without outcome"),
                        _ => format!("still {:?}", view.state),
                    }
                }
                Said::Error(error) => code_of(&error),
                Said::Nothing(reason) => reason,
            };
            if left.is_zero() {
                return ending.missing(reason);
            }
            said = self.ask_again(request, left, ending.accepted.is_some());
        }
    }

    /// Asks what became of a request. If an instance does not know it, the same id is safe to send again, unless it
    /// was accepted before: then it must be known everywhere.
    fn ask_again(&self, request: &Request, left: Duration, accepted: bool) -> Said {
        let said = self.look_up(request, WAIT.min(left));
        match &said {
            Said::Job(view) if view.outcome.as_ref().is_none_or(Outcome::is_final) => return said,
            Said::Error(error) if error.code == Code::NotFound && !accepted => return self.submit(request),
            _ => {}
        }
        thread::sleep(PAUSE.min(left));
        said
    }
}

impl Sender for HttpSender {
    fn send(&self, request: &Request, due: Instant) -> Ending {
        match self.submit(request) {
            // Only the first answer proves that nothing runs: a later one says nothing about a copy that was lost.
            Said::Error(error) if error.not_run => {
                let code = code_of(&error);
                Ending::default().refused(&code, error.message)
            }
            said => self.follow(request, due, said),
        }
    }
}

fn code_of(error: &ApiError) -> String {
    let code = serde_json::to_value(error.code).unwrap_or_default();
    code.as_str().unwrap_or("?").to_owned()
}

fn exchange<B>(request: RequestBuilder<B>) -> Said
where
    B: Body,
{
    let answer = request
        .send()
        .and_then(|answer| Ok((answer.is_success(), answer.bytes()?)));
    let (is_success, bytes) = match answer {
        Ok(answer) => answer,
        Err(error) => return Said::Nothing(error.to_string()),
    };
    let said = if is_success {
        serde_json::from_slice(&bytes).map(|view| Said::Job(Box::new(view)))
    } else {
        serde_json::from_slice(&bytes).map(Said::Error)
    };
    said.unwrap_or_else(|error| Said::Nothing(format!("answer cannot be read: {error}")))
}
