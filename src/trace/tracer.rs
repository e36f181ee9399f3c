//! Tracer of an instance.

use opentelemetry::trace::TracerProvider;
use opentelemetry_sdk::trace::{Sampler, SdkTracer, SdkTracerProvider};

use super::{JsonLinesExporter, Span};
use crate::config::TraceOutput;

/// Starts spans, which are exported when they end.
#[derive(Debug, Clone)]
pub struct Tracer {
    tracer: SdkTracer,
}

impl Tracer {
    /// A tracer that exports to `output`.
    pub fn new(output: TraceOutput) -> Self {
        let builder = SdkTracerProvider::builder();
        // Without an output, trace and span ids are still generated and propagated, but nothing is recorded.
        let provider = match output {
            TraceOutput::Off => builder.with_sampler(Sampler::AlwaysOff).build(),
            TraceOutput::Stderr | TraceOutput::Log => builder
                .with_sampler(Sampler::AlwaysOn)
                .with_simple_exporter(JsonLinesExporter::new(output))
                .build(),
        };
        Self {
            tracer: provider.tracer("yuccaridge"),
        }
    }

    /// Starts a span as a child of the caller's `traceparent`; without a valid one, as the root of a new trace.
    pub fn start_span(&self, name: &'static str, parent: Option<&str>) -> Span {
        Span::start(&self.tracer, name, parent)
    }
}
