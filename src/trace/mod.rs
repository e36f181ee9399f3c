//! Spans, one for each hop of a request.
//!
//! A hop takes the caller's W3C `traceparent`, or starts a new trace, and passes its own on to the next hop. Instances
//! have no disk, so spans are written as JSON lines to standard error or to the log, where the platform collects them.

mod exporter;
mod span;
mod tracer;

pub use exporter::LineExporter;
pub use span::Span;
pub use tracer::Tracer;
