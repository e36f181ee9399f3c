//! HTTP handler for the readiness check of a load balancer.

use std::rc::Rc;

use super::{ConfigView, StopSignal};
use crate::net::{Handler, empty_response};
use crate::port::HttpLimits;
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::{Request, Response, StatusCode};

/// Reports whether the instance accepts requests from callers.
#[derive(Debug)]
pub struct ReadinessHandler {
    view: Rc<ConfigView>,
    stop: Rc<StopSignal>,
}

impl ReadinessHandler {
    /// Reports ready while the configuration in `view` is fresh and `stop` has not been requested.
    pub fn new(view: Rc<ConfigView>, stop: Rc<StopSignal>) -> Self {
        Self { view, stop }
    }
}

impl Handler for ReadinessHandler {
    async fn answer(&self, _: Request<Bytes>) -> Response<Full<Bytes>> {
        empty_response(if self.stop.is_stopping() || !self.view.is_fresh() {
            StatusCode::SERVICE_UNAVAILABLE
        } else {
            StatusCode::OK
        })
    }

    fn limits(&self) -> HttpLimits {
        HttpLimits::default()
    }
}
