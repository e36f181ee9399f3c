//! Answers submissions that other instances offer.

use std::rc::Rc;

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use tokio::sync::{Semaphore, SemaphorePermit};

use super::ConfigView;
use super::offering::{VERSION_HEADER, fate};
use crate::metric::InstanceMetrics;
use crate::net::{Handler, empty_response};
use crate::port::HttpLimits;
use crate::refusal::{Fate, Reach};

/// Most offers that are handled at a time. The instance that is asked has callers of its own.
const OFFERS_MAX: usize = 16;

/// Answers submissions that other instances offer. They are admitted by the caller's own key, as at the callers'
/// address, and never offered again.
#[derive(Debug)]
pub struct OfferReceiver<H> {
    handler: Rc<H>,
    view: Rc<ConfigView>,
    metrics: Rc<InstanceMetrics>,
    permits: Semaphore,
}

impl<H> OfferReceiver<H>
where
    H: Handler,
{
    /// Answers offers with `handler` while `view` is fresh.
    pub fn new(handler: Rc<H>, view: Rc<ConfigView>, metrics: Rc<InstanceMetrics>) -> Self {
        Self {
            handler,
            view,
            metrics,
            permits: Semaphore::new(OFFERS_MAX),
        }
    }

    /// Permit for an offer that can be answered here.
    fn admit(&self, request: &Request<Bytes>) -> Option<SemaphorePermit<'_>> {
        // An older configuration would take back what callers of the sender have seen.
        let recent = offered_version(request.headers()).is_some_and(|version| version <= self.version());
        let answerable = recent && request.method() == Method::POST && self.view.reach() == Reach::Good;
        answerable.then(|| self.permits.try_acquire().ok()).flatten()
    }

    fn version(&self) -> u64 {
        self.view.config().map_or(0, |config| config.version)
    }
}

impl<H> Handler for OfferReceiver<H>
where
    H: Handler,
{
    async fn answer(&self, request: Request<Bytes>) -> Response<Full<Bytes>> {
        let Some(_permit) = self.admit(&request) else {
            self.metrics.record_offer("received", Fate::NotRun.name());
            return empty_response(StatusCode::SERVICE_UNAVAILABLE);
        };
        let version = self.version();
        let mut response = self.handler.answer(request).await;
        let fate = fate(&response);
        self.metrics.record_offer("received", fate.name());
        response
            .headers_mut()
            .insert(VERSION_HEADER, HeaderValue::from(version));
        response
    }

    fn limits(&self) -> HttpLimits {
        self.handler.limits()
    }
}

/// Version in the headers of an offer or of its answer.
pub(super) fn offered_version(headers: &HeaderMap) -> Option<u64> {
    headers.get(VERSION_HEADER)?.to_str().ok()?.parse().ok()
}
