//! Stopping the servers and controlling them over HTTP.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, mpsc};
use std::thread;

use rouille::Response;
use serde_json::Value;
use standin::record::{Entry, TaskEvent};
use standin::sample::{call, listed, loopback};
use standin::server::{EndpointServer, HttpServer, PlatformServer};
use yuccaridge::platform::http::{HttpEndpoints, HttpListing, Timeouts};
use yuccaridge::platform::{Endpoints, Listing, MachineList, Presence};
use yuccaridge::time::SystemClock;

/// Guards against a stop that waits until no requests arrive, and against a stopped server that still handles requests.
#[test]
fn stopped_busy_server_handles_no_requests() {
    let served = Arc::new(AtomicUsize::new(0));
    let handled = Arc::clone(&served);
    let http_server = HttpServer::start(loopback(), move |_| {
        handled.fetch_add(1, Ordering::Relaxed);
        Response::empty_204()
    })
    .unwrap();
    let url = format!("http://{}/", http_server.address());
    let finished = AtomicBool::new(false);
    thread::scope(|scope| {
        let (request_done, requests) = mpsc::channel();
        for _ in 0..4 {
            let request_done = request_done.clone();
            let (url, finished) = (&url, &finished);
            scope.spawn(move || {
                while !finished.load(Ordering::Relaxed) {
                    drop(attohttpc::get(url).send());
                    if request_done.send(()).is_err() {
                        return;
                    }
                }
            });
        }
        requests.recv().unwrap();

        drop(http_server);

        // Each of the 4 threads may have had one request in the handler when the server stopped.
        let served_at_stop = served.load(Ordering::Relaxed);
        for _ in 0..20 {
            requests.recv().unwrap();
        }
        finished.store(true, Ordering::Relaxed);
        assert!(served.load(Ordering::Relaxed) <= served_at_stop + 4);
    });
}

#[test]
fn stopped_platform_cannot_be_read() {
    let platform = PlatformServer::start(loopback()).unwrap();
    let listing = HttpListing::new(platform.address(), Timeouts::default());
    listing.list().unwrap();
    drop(platform);
    listing.list().unwrap_err();
}

/// Sends a control request as a test in another process does; returns the status code.
fn control(method: &str, server: SocketAddr, path: &str, body: &str) -> u16 {
    let method = attohttpc::Method::from_bytes(method.as_bytes()).unwrap();
    let request = attohttpc::RequestBuilder::new(method, format!("http://{server}{path}"));
    request.text(body).send().unwrap().status().as_u16()
}

/// Guards against a platform that tests in other processes cannot control.
#[test]
fn platform_is_controlled_over_http() {
    let platform = PlatformServer::start(loopback()).unwrap();
    let listing = HttpListing::new(platform.address(), Timeouts::default());
    let send = |method: &str, path: &str, body: &str| control(method, platform.address(), path, body);
    let endpoint = serde_json::to_string(&listed("w1")).unwrap();
    let instance = r#"{"name":"i1","address":"127.0.0.1:2","domain":"d","presence":"live"}"#;
    assert_eq!(send("POST", "/v1/list/workers", &endpoint), 200);
    assert_eq!(send("POST", "/v1/list/instances", instance), 200);
    let leaving = r#"{"workers":{"w1":"leaving"},"instances":{"i1":"leaving"}}"#;
    assert_eq!(send("POST", "/v1/list/presences", leaving), 200);
    let list = listing.list().unwrap();
    assert_eq!(
        (list.endpoints[0].presence, list.instances[0].presence),
        (Presence::Leaving, Presence::Leaving)
    );

    assert_eq!(
        send("POST", "/v1/faults", r#"{"target":"list","mishap":"outage"}"#),
        200
    );
    listing.list().unwrap_err();
    assert_eq!(send("DELETE", "/v1/faults", ""), 200);
    assert_eq!(send("DELETE", "/v1/list/workers/w1", ""), 200);
    assert_eq!(send("DELETE", "/v1/list/instances/i1", ""), 200);
    assert_eq!(listing.list(), Ok(MachineList::default()));
    assert_eq!(
        send("POST", "/v1/faults", r#"{"target":"moon","mishap":"outage"}"#),
        400
    );
    assert_eq!(send("GET", "/v1/usage", ""), 200);
    assert_eq!(send("GET", "/v1/other", ""), 400);
}

/// Guards against an endpoint that tests in other processes cannot restart, make fail or read the record of.
#[test]
fn endpoint_is_controlled_over_http() {
    let endpoint = EndpointServer::start(listed("w1"), 1.0, SystemClock::start()).unwrap();
    let endpoints = HttpEndpoints::new(Timeouts::default());
    let send = |method: &str, path: &str, body: &str| control(method, endpoint.address(), path, body);
    assert_eq!(send("POST", "/v1/restart", ""), 200);
    assert_eq!(endpoints.report(endpoint.address()).unwrap().boot, 2);
    assert_eq!(send("POST", "/v1/fails_all", "true"), 200);
    let call = serde_json::to_string(&call("c1", Value::Null)).unwrap();
    assert_eq!(send("POST", "/v1/calls/c1", &call), 200);
    let record = attohttpc::get(format!("http://{}/v1/record", endpoint.address()))
        .send()
        .unwrap();
    let record: Vec<Entry> = serde_json::from_slice(&record.bytes().unwrap()).unwrap();
    let events: Vec<_> = record.into_iter().map(|entry| entry.event).collect();
    assert_eq!(events, [TaskEvent::Started, TaskEvent::Failed]);
}
