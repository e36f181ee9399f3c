//! Span of an API request, a prepared gang member or a call.

use std::collections::HashMap;

use opentelemetry::propagation::TextMapPropagator;
use opentelemetry::trace::{TraceContextExt, Tracer as _};
use opentelemetry::{Context, KeyValue};
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::trace::SdkTracer;

/// Header of W3C Trace Context.
const TRACEPARENT_HEADER: &str = "traceparent";

/// Span of an API request, a prepared gang member or a call, which ends when this is dropped.
#[derive(Debug)]
pub struct Span {
    context: Context,
}

impl Span {
    pub(super) fn start(tracer: &SdkTracer, name: &'static str, parent: Option<&str>) -> Self {
        let mut headers = HashMap::new();
        if let Some(parent) = parent {
            headers.insert(TRACEPARENT_HEADER.to_owned(), parent.to_owned());
        }
        let parent = TraceContextPropagator::new().extract_with_context(&Context::new(), &headers);
        let span = tracer.start_with_context(name, &parent);
        Self {
            context: Context::new().with_span(span),
        }
    }

    /// Sets an attribute, such as the id of the job or the attempt.
    pub fn set<V>(&self, name: &'static str, value: &V)
    where
        V: ToString + ?Sized,
    {
        let span = self.context.span();
        if span.is_recording() {
            span.set_attribute(KeyValue::new(name, value.to_string()));
        }
    }

    /// The `traceparent` header to send to the next hop.
    pub fn traceparent(&self) -> String {
        let mut headers = HashMap::new();
        TraceContextPropagator::new().inject_context(&self.context, &mut headers);
        headers.remove(TRACEPARENT_HEADER).unwrap_or_default()
    }
}

impl Drop for Span {
    fn drop(&mut self) {
        self.context.span().end();
    }
}
