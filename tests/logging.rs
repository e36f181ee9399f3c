//! Log lines and spans, read from the standard error of a child process.

use std::env;
use std::process::Command;

use serde_json::Value;
use yuccaridge::config::{LogFormat, LogLevel, LogSettings, TraceOutput};
use yuccaridge::logging;
use yuccaridge::trace::Tracer;

const PARENT: &str = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";

/// Writes a few lines in a child process, because logging can be started only once in a process.
#[test]
#[ignore = "run by the other tests in a child process"]
fn emit() {
    let is_json = env::var("EMIT").expect("set by the other tests") == "json";
    let settings = LogSettings {
        format: if is_json { LogFormat::Json } else { LogFormat::Plain },
        level: LogLevel::Info,
    };
    let log = logging::start(&settings).expect("starts");
    assert!(logging::start(&settings).is_err(), "a second logger was started");
    log::info!(target: "yuccaridge::test", job = "photo-7", attempt = 2, ticket = 4711; "placed \"here\"\nand there");
    log::debug!(target: "yuccaridge::test", "too detailed");
    log::info!(target: "tiny_http", "from a library");
    let output = if is_json { TraceOutput::Log } else { TraceOutput::Stderr };
    let tracer = Tracer::new(output);
    let first = tracer.start_span("submit", Some(PARENT));
    first.set("job", "photo-7");
    drop(tracer.start_span("call", Some(&first.traceparent())));
    drop(first);
    drop(log);
}

fn emitted_lines(log_format: &str) -> Vec<String> {
    let output = Command::new(env::current_exe().expect("own path"))
        .args(["--exact", "emit", "--ignored", "--nocapture"])
        .env("EMIT", log_format)
        .output()
        .expect("runs");
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(output.status.success(), "{text}");
    text.lines().map(str::to_owned).collect()
}

/// Guards against lines without fields, lines below the level, and lines split at a line break in a message.
#[test]
fn json_lines_carry_fields() {
    let lines = emitted_lines("json");
    let first = serde_json::from_str::<Value>(&lines[0]).expect("JSON");
    assert_eq!(
        (&first["level"], &first["text"]),
        (&"INFO".into(), &"placed \"here\"\nand there".into())
    );
    let fields = first["kv"].to_string();
    for part in ["photo-7", "4711", "attempt"] {
        assert!(fields.contains(part), "{part} is missing in {fields}");
    }
    let all = lines.join("\n");
    assert!(
        !all.contains("too detailed") && !all.contains("from a library"),
        "{all}"
    );
    let span = serde_json::from_str::<Value>(&lines[1]).expect("JSON");
    assert!(
        span["text"]
            .as_str()
            .is_some_and(|text| text.contains("\"span\":\"call\"")),
        "{span}"
    );
}

/// Guards against plain lines without fields, and spans without the trace id or the parent of the caller.
#[test]
fn plain_lines_carry_fields_and_spans_their_parent() {
    let lines = emitted_lines("plain");
    assert!(
        lines[0].contains("INFO") && lines[0].contains("photo-7"),
        "{}",
        lines[0]
    );
    let mut spans = Vec::new();
    for line in &lines {
        if let Ok(span) = serde_json::from_str::<Value>(line) {
            spans.push(span);
        }
    }
    let [inner, outer] = spans.as_slice() else {
        panic!("{spans:?}")
    };
    assert_eq!((&inner["span"], &outer["span"]), (&"call".into(), &"submit".into()));
    assert_eq!(inner["trace"], PARENT[3..35]);
    assert_eq!(
        (&inner["parent"], &outer["parent"]),
        (&outer["id"], &PARENT[36..52].into())
    );
    assert_eq!(outer["fields"]["job"], "photo-7");
}
