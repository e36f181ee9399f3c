//! Offers submissions that this instance cannot answer to one that can.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use tokio::time::{Instant, sleep};

use super::receiver::offered_version;
use super::{ConfigView, answer_deadline};
use crate::lead::Hints;
use crate::metric::InstanceMetrics;
use crate::net::{Client, Handler, RequestError, empty_response};
use crate::port::HttpLimits;
use crate::refusal::{Attempt, Fate, Offer, OfferPolicy, Verdict};

/// Header with the version of the configuration: in an offer the lowest by which it may be answered, in the answer the
/// one by which it was.
pub(super) const VERSION_HEADER: &str = "x-config-version";

/// Interval at which a submission without an answer is looked at again.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Handler of callers that offers submissions to the leader while this instance does not reach the store.
#[derive(Debug)]
pub struct Offering<H> {
    /// Answers requests by this instance's own means.
    pub handler: Rc<H>,
    /// Header in which a caller says how many milliseconds it waits.
    pub deadline_header: &'static str,
    /// Copy of the configuration.
    pub view: Rc<ConfigView>,
    /// Address of the leader.
    pub hints: Rc<Hints>,
    /// Client for offers.
    pub client: Client,
    /// Counts offers.
    pub metrics: Rc<InstanceMetrics>,
    /// Decides when to offer.
    pub policy: OfferPolicy,
}

type Answer = Response<Full<Bytes>>;

/// What an answer says of its submission.
pub(super) fn fate(answer: &Answer) -> Fate {
    Fate::of_status(answer.status().as_u16())
}

impl<H> Offering<H>
where
    H: Handler,
{
    fn deadline(&self, headers: &HeaderMap) -> Instant {
        let requested = headers.get(self.deadline_header).and_then(|value| value.to_str().ok());
        answer_deadline(requested.and_then(|text| text.parse().ok()))
    }

    /// Offer to make of a submission that arrived at `arrived`, and the address of the leader.
    fn decide(&self, own: Option<&Answer>, arrived: Instant, deadline: Instant) -> Option<(Offer, Arc<str>)> {
        let leader = self.hints.leader()?;
        let now = Instant::now();
        let attempt = Attempt {
            reach: self.view.reach(),
            own: own.map(fate),
            waited: now - arrived,
            left: deadline.saturating_duration_since(now),
        };
        Some((self.policy.decide(&attempt, self.view.now())?, leader))
    }

    async fn submit(&self, request: Request<Bytes>) -> Answer {
        let arrived = Instant::now();
        let deadline = self.deadline(request.headers());
        let own_attempt = self.handler.answer(request.clone());
        tokio::pin!(own_attempt);
        let (mut own, offer, leader) = loop {
            let own = tokio::select! {
                biased;
                answer = &mut own_attempt => Some(answer),
                () = sleep(CHECK_INTERVAL) => None,
            };
            let decided = self.decide(own.as_ref(), arrived, deadline);
            match (own, decided) {
                (own, Some((offer, leader))) => break (own, offer, leader),
                (Some(answer), None) => return answer,
                (None, None) => {}
            }
        };
        let offer = self.offer(&leader, request, offer);
        tokio::pin!(offer);
        let mut offered = None;
        loop {
            tokio::select! {
                biased;
                answer = &mut own_attempt, if own.is_none() => own = Some(answer),
                answer = &mut offer, if offered.is_none() => offered = Some(answer),
            }
            match (own.take(), offered.take()) {
                (Some(own), Some(offered)) => return choose(own, offered),
                // Whatever the other attempt does, the job is stored once.
                (Some(answer), None) | (None, Some(answer)) if fate(&answer) == Fate::Accepted => return answer,
                one => (own, offered) = one,
            }
        }
    }

    /// Offers a submission to the instance at `leader`; the answer says what became of it there.
    async fn offer(&self, leader: &Arc<str>, request: Request<Bytes>, offer: Offer) -> Answer {
        let sent_at = Instant::now();
        let path = request.uri().path().to_owned();
        let (mut parts, body) = request.into_parts();
        let time_ms = HeaderValue::from(offer.time.as_millis() as u64);
        parts.headers.insert(self.deadline_header, time_ms);
        let version = HeaderValue::from(self.view.version_min());
        parts.headers.insert(VERSION_HEADER, version);
        let offered = Request::from_parts(parts, Full::new(body));
        let answer = match self.client.call(leader, offered, offer.time).await {
            Ok(answer) => {
                if let Some(version) = offered_version(&answer.headers) {
                    self.view.require(version);
                }
                let mut response = Response::new(Full::new(answer.body));
                *response.status_mut() = answer.status;
                if let Some(kind) = answer.headers.get(CONTENT_TYPE) {
                    response.headers_mut().insert(CONTENT_TYPE, kind.clone());
                }
                response
            }
            Err(RequestError::NotSent(_)) => empty_response(StatusCode::SERVICE_UNAVAILABLE),
            Err(RequestError::Unknown(_)) => empty_response(StatusCode::GATEWAY_TIMEOUT),
        };
        let fate = fate(&answer);
        self.policy.observe(fate, self.view.now());
        self.metrics.record_offer("sent", fate.name());
        let took_ms = sent_at.elapsed().as_millis() as u64;
        log::info!(path, leader, fate = fate.name(), took_ms; "submission offered to the leader");
        answer
    }
}

/// Answer to a submission that was attempted twice.
fn choose(own: Answer, offered: Answer) -> Answer {
    match Verdict::of(fate(&own), fate(&offered)) {
        Verdict::Own => own,
        Verdict::Offered => offered,
        Verdict::Unknown => empty_response(StatusCode::GATEWAY_TIMEOUT),
    }
}

impl<H> Handler for Offering<H>
where
    H: Handler,
{
    async fn answer(&self, request: Request<Bytes>) -> Answer {
        if request.method() == Method::POST {
            self.submit(request).await
        } else {
            self.handler.answer(request).await
        }
    }

    fn limits(&self) -> HttpLimits {
        self.handler.limits()
    }
}
