//! Source of hops.

use opentelemetry::trace::TracerProvider;
use opentelemetry_sdk::trace::{Sampler, SdkTracer, SdkTracerProvider};

use super::{LineExporter, Span};
use crate::config::TraceOutput;

/// Starts hops and writes them out when they end.
#[derive(Debug, Clone)]
pub struct Tracer {
    tracer: SdkTracer,
}

impl Tracer {
    /// A tracer that writes to this output.
    pub fn new(output: TraceOutput) -> Self {
        let builder = SdkTracerProvider::builder();
        // Without an output, identifiers are still made and passed on, but nothing is recorded.
        let provider = match output {
            TraceOutput::Off => builder.with_sampler(Sampler::AlwaysOff).build(),
            TraceOutput::Stderr | TraceOutput::Log => builder
                .with_sampler(Sampler::AlwaysOn)
                .with_simple_exporter(LineExporter::new(output))
                .build(),
        };
        Self {
            tracer: provider.tracer("yuccaridge"),
        }
    }

    /// Starts a hop under the caller's `traceparent`; without a valid one it starts a new trace.
    pub fn start_span(&self, name: &'static str, parent: Option<&str>) -> Span {
        Span::start(&self.tracer, name, parent)
    }
}
