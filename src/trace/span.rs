//! One hop.

use std::collections::HashMap;

use opentelemetry::propagation::TextMapPropagator;
use opentelemetry::trace::{TraceContextExt, Tracer as _};
use opentelemetry::{Context, KeyValue};
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::trace::SdkTracer;

/// Name of the W3C header.
const HEADER: &str = "traceparent";

/// A span that ends when it is dropped.
#[derive(Debug)]
pub struct Span {
    context: Context,
}

impl Span {
    pub(super) fn start(tracer: &SdkTracer, name: &'static str, parent: Option<&str>) -> Self {
        let mut headers = HashMap::new();
        if let Some(parent) = parent {
            headers.insert(HEADER.to_owned(), parent.to_owned());
        }
        let parent = TraceContextPropagator::new().extract_with_context(&Context::new(), &headers);
        let span = tracer.start_with_context(name, &parent);
        Self {
            context: Context::new().with_span(span),
        }
    }

    /// Adds a field, such as the job's id or the attempt.
    pub fn set<V>(&self, name: &'static str, value: &V)
    where
        V: ToString + ?Sized,
    {
        let span = self.context.span();
        if span.is_recording() {
            span.set_attribute(KeyValue::new(name, value.to_string()));
        }
    }

    /// The `traceparent` for the next hop.
    pub fn traceparent(&self) -> String {
        let mut headers = HashMap::new();
        TraceContextPropagator::new().inject_context(&self.context, &mut headers);
        headers.remove(HEADER).unwrap_or_default()
    }
}

impl Drop for Span {
    fn drop(&mut self) {
        self.context.span().end();
    }
}
