//! Results that the endpoint adapter reports for calls and commands, and the parts of an answer as the endpoint sent
//! them.

use std::io::Write;
use std::net::TcpStream;

use serde_json::json;
use standin::record::TaskEvent;
use standin::sample::{call, listed, start};
use standin::server::{EndpointServer, FaultKind, Target};
use yuccaridge::name::JobId;
use yuccaridge::platform::http::HttpEndpoints;
use yuccaridge::platform::{CallPart, EndpointError, Endpoints, Refusal, Reply, TaskState};
use yuccaridge::time::{Millis, SystemClock};

use crate::fixture::{fault, refusing_address, timeouts};
use crate::raw_server::{RawServer, reply};

/// Time limit for calls that are answered.
const LONG_TIMEOUT: Millis = Millis::from_secs(10);

fn endpoint() -> (EndpointServer, HttpEndpoints) {
    let endpoint = EndpointServer::start(listed("w1"), 1.0, SystemClock::start()).unwrap();
    (endpoint, HttpEndpoints::new(timeouts()))
}

fn part(sequence: u32, last: bool) -> CallPart {
    CallPart {
        job: JobId::new("c1").unwrap(),
        attempt: 1,
        sequence,
        last,
        failed: false,
        data: json!(sequence),
    }
}

fn line(part: &CallPart) -> Vec<u8> {
    let mut line = serde_json::to_vec(part).unwrap();
    line.push(b'\n');
    line
}

fn chunk(stream: &mut TcpStream, bytes: &[u8]) {
    let head = format!("{:x}\r\n", bytes.len());
    drop(stream.write_all(&[head.as_bytes(), bytes, b"\r\n"].concat()));
}

/// An endpoint that answers each request with the bytes that `answer` writes.
fn raw_endpoint<F>(answer: F) -> (RawServer, HttpEndpoints)
where
    F: Fn(&mut TcpStream) + Send + 'static,
{
    let server = RawServer::start(move |_, _, stream| answer(stream));
    (server, HttpEndpoints::new(timeouts()))
}

const CHUNKED_HEAD: &[u8] = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n";

#[test]
fn call_returns_all_parts() {
    let (endpoint, endpoints) = endpoint();
    let request = call("c1", json!({ "parts": 3, "answer": "yes" }));
    let parts = endpoints.call(endpoint.address(), &request, LONG_TIMEOUT).unwrap();
    assert_eq!(parts.len(), 3);
    assert!(parts[2].last && parts.iter().all(|part| part.data == "yes"));
}

/// Guards against a call that arrives after its refusal and starts nevertheless.
#[test]
fn refused_call_never_starts() {
    let (endpoint, endpoints) = endpoint();
    let request = call("c1", json!({}));
    let refusal = endpoints.refuse(endpoint.address(), &request.job, 1).unwrap();
    let error = endpoints.call(endpoint.address(), &request, LONG_TIMEOUT).unwrap_err();
    assert_eq!((refusal, error), (Refusal::Refused, EndpointError::Refused));
    let events: Vec<_> = endpoint.record().into_iter().map(|entry| entry.event).collect();
    assert_eq!(events, [TaskEvent::Refused]);
}

#[test]
fn refusal_of_an_ended_call_returns_its_parts() {
    let (endpoint, endpoints) = endpoint();
    let request = call("c1", json!({ "answer": 7 }));
    let parts = endpoints.call(endpoint.address(), &request, LONG_TIMEOUT).unwrap();
    let refusal = endpoints.refuse(endpoint.address(), &request.job, 1).unwrap();
    assert_eq!(refusal, Refusal::Ended { parts });
}

#[test]
fn full_endpoint_does_not_start_the_call() {
    let (endpoint, endpoints) = endpoint();
    endpoint.with(|endpoint, now| {
        for slot in 0..8 {
            endpoint
                .call(now, &call(&format!("s{slot}"), json!({ "work_ms": 60_000 })))
                .unwrap();
        }
    });
    let error = endpoints
        .call(endpoint.address(), &call("c1", json!({})), LONG_TIMEOUT)
        .unwrap_err();
    assert_eq!(error, EndpointError::Full);
    assert!(endpoint.record().iter().all(|entry| entry.job.as_str() != "c1"));
}

/// Guards against "not started" being reported for a call that ran and whose answer was lost or late.
#[test]
fn lost_answers_are_uncertain() {
    let (endpoint, endpoints) = endpoint();
    let late = FaultKind::Late { by: Millis(1500) };
    for (job, kind) in [("a", FaultKind::Lost), ("b", late)] {
        endpoint.faults().add(fault(Target::Calls, kind, 1));
        let error = endpoints
            .call(endpoint.address(), &call(job, json!({})), Millis(500))
            .unwrap_err();
        assert!(matches!(error, EndpointError::Lost(_)), "{error}");
        assert!(!error.is_unstarted());
        let refusal = endpoints
            .refuse(endpoint.address(), &JobId::new(job).unwrap(), 1)
            .unwrap();
        assert!(matches!(refusal, Refusal::Ended { .. }));
    }
}

#[test]
fn refused_connection_is_unreached() {
    let endpoints = HttpEndpoints::new(timeouts());
    let error = endpoints
        .call(refusing_address(), &call("c1", json!({})), LONG_TIMEOUT)
        .unwrap_err();
    assert!(matches!(error, EndpointError::Unreached(_)), "{error}");
    let error = endpoints.report(refusing_address()).unwrap_err();
    assert!(error.is_unstarted());
}

/// Guards against trusting a status that an intermediary sent instead of the endpoint.
#[test]
fn status_without_an_error_code_is_uncertain() {
    for status in [404, 409, 429, 500, 503] {
        let (server, endpoints) = raw_endpoint(move |stream| reply(stream, status, b"<html></html>"));
        let error = endpoints
            .call(server.address, &call("c1", json!({})), LONG_TIMEOUT)
            .unwrap_err();
        assert!(matches!(error, EndpointError::Lost(_)), "{status}: {error}");
    }
}

#[test]
fn parts_of_a_slow_stream_are_collected() {
    let (server, endpoints) = raw_endpoint(|stream| {
        stream.write_all(CHUNKED_HEAD).unwrap();
        for sequence in 0..3 {
            let line = line(&part(sequence, sequence == 2));
            let (first, second) = line.split_at(5);
            chunk(stream, first);
            std::thread::sleep(std::time::Duration::from_millis(20));
            chunk(stream, second);
        }
        chunk(stream, b"");
    });
    let parts = endpoints
        .call(server.address, &call("c1", json!({})), LONG_TIMEOUT)
        .unwrap();
    assert_eq!(parts, [part(0, false), part(1, false), part(2, true)]);
}

/// Guards against the loss of parts that were received, and against a truncated part being read as a complete one.
#[test]
fn truncated_stream_returns_the_complete_parts() {
    let (server, endpoints) = raw_endpoint(|stream| {
        stream.write_all(CHUNKED_HEAD).unwrap();
        chunk(stream, &line(&part(0, false)));
        chunk(stream, &line(&part(1, true))[..20]);
    });
    let parts = endpoints
        .call(server.address, &call("c1", json!({})), LONG_TIMEOUT)
        .unwrap();
    assert_eq!(parts, [part(0, false)]);
}

/// Guards against a call that never ends because the endpoint keeps the connection open.
#[test]
fn stalled_stream_ends_at_the_time_limit() {
    let (server, endpoints) = raw_endpoint(|stream| {
        stream.write_all(CHUNKED_HEAD).unwrap();
        chunk(stream, &line(&part(0, false)));
        // Returns once the client has closed the connection.
        drop(std::io::Read::read(stream, &mut [0]));
    });
    let parts = endpoints
        .call(server.address, &call("c1", json!({})), Millis(200))
        .unwrap();
    assert_eq!(parts, [part(0, false)]);
}

#[test]
fn parts_keep_their_order_of_arrival() {
    let (server, endpoints) = raw_endpoint(|stream| {
        let lines = [part(1, true), part(0, false), part(1, true)].map(|part| line(&part));
        reply(stream, 200, &lines.concat());
    });
    let parts = endpoints
        .call(server.address, &call("c1", json!({})), LONG_TIMEOUT)
        .unwrap();
    assert_eq!(parts, [part(1, true), part(0, false), part(1, true)]);
}

#[test]
fn stream_without_parts_is_uncertain() {
    for body in ["", "\n", "nonsense\n", "{\"job\":"] {
        let (server, endpoints) = raw_endpoint(move |stream| reply(stream, 200, body.as_bytes()));
        let error = endpoints
            .call(server.address, &call("c1", json!({})), LONG_TIMEOUT)
            .unwrap_err();
        assert!(matches!(error, EndpointError::Lost(_)), "{error}");
    }
}

#[test]
fn repeated_commands_have_no_further_effect() {
    let (endpoint, endpoints) = endpoint();
    let mut batch = start("j1");
    batch.boot = Some(1);
    endpoint.faults().add(fault(Target::Commands, FaultKind::Lost, 1));
    let error = endpoints.command(endpoint.address(), &batch).unwrap_err();
    assert!(!error.is_unstarted());
    let replies = endpoints.command(endpoint.address(), &batch).unwrap();
    let running = Reply::Task {
        state: TaskState::Running,
    };
    assert_eq!(replies, [running.clone(), running]);
    let report = endpoints.report(endpoint.address()).unwrap();
    assert_eq!((report.tasks.len(), report.boot), (1, 1));
    let started = endpoint
        .record()
        .iter()
        .filter(|entry| entry.event == TaskEvent::Started)
        .count();
    assert_eq!(started, 1);
}

#[test]
fn wrong_number_of_replies_is_uncertain() {
    let (server, endpoints) = raw_endpoint(|stream| reply(stream, 200, b"[{\"reply\":\"absent\"}]"));
    let error = endpoints.command(server.address, &start("j1")).unwrap_err();
    assert!(matches!(error, EndpointError::Lost(_)), "{error}");
}
