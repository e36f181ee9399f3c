//! Distributed tracing, with one span for each API request, prepared gang member and call to an endpoint.
//!
//! A span is a child of the caller's W3C `traceparent`, or starts a new trace, and its own `traceparent` is sent to the
//! next hop. Instances have no disk, so spans are written as JSON lines to standard error or to the log, where the
//! platform collects them.

mod exporter;
mod span;
mod tracer;

pub use exporter::JsonLinesExporter;
pub use span::Span;
pub use tracer::Tracer;
