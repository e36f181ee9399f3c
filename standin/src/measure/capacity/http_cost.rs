//! Cost of one HTTP request to an endpoint.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::thread;

use cpu_time::ThreadTime;
use miette::{IntoDiagnostic, Result, miette};
use serde::Serialize;
use serde_json::json;
use yuccaridge::platform::http::{HttpEndpoints, Timeouts};
use yuccaridge::platform::{Action, Batch, Command, Endpoints, ListedEndpoint, Presence};
use yuccaridge::time::{Millis, SystemClock};

use crate::server::EndpointServer;

const REQUESTS: u32 = 500;
const TASKS: u16 = 4;

/// Cost of one HTTP request.
#[derive(Debug, Clone, Serialize)]
pub struct HttpRequestCost {
    /// Tasks in the report.
    pub tasks: u16,
    /// CPU time of the requesting thread, in milliseconds.
    pub cpu_ms: f64,
    /// Size of request and response, with HTTP headers but without TCP and IP.
    pub bytes: usize,
}

fn listed_endpoint() -> Result<ListedEndpoint> {
    Ok(ListedEndpoint {
        name: "w".parse().into_diagnostic()?,
        address: ([127, 0, 0, 1], 0).into(),
        rack: "r".parse().into_diagnostic()?,
        domain: "d".parse().into_diagnostic()?,
        cores: 64,
        memory_mb: 262_144,
        accelerators: 2,
        slots: 8,
        connections: 60,
        presence: Presence::Live,
    })
}

fn prepare_tasks() -> Result<Batch> {
    let mut commands = Vec::new();
    for member in 0..TASKS {
        let prepare = Action::Prepare {
            kind: "k".parse().into_diagnostic()?,
            cores: 1,
            memory_mb: 0,
            accelerators: Vec::new(),
            members: TASKS,
            payload: json!({ "work_ms": 3_600_000 }),
            checkpoint: None,
            trace: None,
        };
        let job = "job-1".parse().into_diagnostic()?;
        commands.push(Command {
            job,
            attempt: 1,
            member,
            action: prepare,
        });
    }
    Ok(Batch {
        pool: "p".parse().into_diagnostic()?,
        epoch: 1,
        boot: None,
        renew_ms: Some(30_000),
        commands,
    })
}

/// Measures the request for an endpoint's report.
pub fn measure() -> Result<HttpRequestCost> {
    let server = EndpointServer::start(listed_endpoint()?, 1.0, SystemClock::start()).into_diagnostic()?;
    let endpoints = HttpEndpoints::new(Timeouts::default());
    endpoints
        .command(server.address(), &prepare_tasks()?)
        .into_diagnostic()?;
    let start = ThreadTime::now();
    for _ in 0..REQUESTS {
        endpoints.report(server.address()).into_diagnostic()?;
    }
    let cpu_ms = start.elapsed().as_secs_f64() * 1000.0 / f64::from(REQUESTS);
    Ok(HttpRequestCost {
        tasks: TASKS,
        cpu_ms,
        bytes: exchange_bytes(&server)?,
    })
}

/// Size of one request and response, counted by a relay between the client and the endpoint.
fn exchange_bytes(server: &EndpointServer) -> Result<usize> {
    let relay = TcpListener::bind("127.0.0.1:0").into_diagnostic()?;
    let address = relay.local_addr().into_diagnostic()?;
    let target = server.address();
    let relay_thread = thread::spawn(move || -> std::io::Result<usize> {
        let (mut client_stream, _) = relay.accept()?;
        let mut endpoint_stream = std::net::TcpStream::connect(target)?;
        endpoint_stream.set_read_timeout(Some(Millis(200).duration()))?;
        let mut buffer = vec![0; 65536];
        let sent = client_stream.read(&mut buffer)?;
        endpoint_stream.write_all(&buffer[..sent])?;
        let mut received = 0;
        while let Ok(count @ 1..) = endpoint_stream.read(&mut buffer) {
            client_stream.write_all(&buffer[..count])?;
            received += count;
        }
        Ok(sent + received)
    });
    HttpEndpoints::new(Timeouts::default())
        .report(address)
        .into_diagnostic()?;
    relay_thread
        .join()
        .map_err(|_panic| miette!("the relay panicked"))?
        .into_diagnostic()
}
