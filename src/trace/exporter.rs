//! Export of spans as JSON lines.

use std::future::{Ready, ready};
use std::io::{Write, stderr};
use std::time::{SystemTime, UNIX_EPOCH};

use opentelemetry_sdk::error::OTelSdkResult;
use opentelemetry_sdk::trace::{SpanData, SpanExporter};
use serde_json::{Map, Value, json};

use crate::config::TraceOutput;

/// Exporter that writes each span as one line of JSON.
#[derive(Debug)]
pub struct JsonLinesExporter {
    output: TraceOutput,
}

impl JsonLinesExporter {
    /// An exporter that writes to `output`.
    pub fn new(output: TraceOutput) -> Self {
        Self { output }
    }
}

impl SpanExporter for JsonLinesExporter {
    fn export(&self, batch: Vec<SpanData>) -> impl Future<Output = OTelSdkResult> + Send {
        for span in &batch {
            let line = line(span);
            match self.output {
                TraceOutput::Off => {}
                TraceOutput::Log => log::info!(target: "span", "{line}"),
                // A closed standard error must not fail the traced operation.
                TraceOutput::Stderr => drop(writeln!(stderr().lock(), "{line}")),
            }
        }
        done()
    }
}

fn done() -> Ready<OTelSdkResult> {
    ready(Ok(()))
}

fn micros(time: SystemTime) -> u64 {
    time.duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_micros() as u64)
}

fn line(span: &SpanData) -> Value {
    let mut fields = Map::new();
    for pair in &span.attributes {
        fields.insert(pair.key.to_string(), Value::String(pair.value.to_string()));
    }
    let start = micros(span.start_time);
    json!({
        "span": span.name,
        "trace": span.span_context.trace_id().to_string(),
        "id": span.span_context.span_id().to_string(),
        "parent": span.parent_span_id.to_string(),
        "start_us": start,
        "took_us": micros(span.end_time).saturating_sub(start),
        "fields": fields,
    })
}
