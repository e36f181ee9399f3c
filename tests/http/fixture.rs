//! What the tests start from.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};

use serde_json::json;
use yuccaridge::name::{DomainName, JobId, KindName, RackName, TeamName, WorkerName};
use yuccaridge::platform::http::Timeouts;
use yuccaridge::platform::{Address, CallRequest, Check, ListedWorker, OpId, Presence, Put, Step, Txn};
use yuccaridge::time::Millis;

/// Limits that end a test soon when an answer never comes.
pub fn timeouts() -> Timeouts {
    Timeouts {
        connect: Millis(500),
        read: Millis(500),
    }
}

pub fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// An address that refuses connections.
pub fn refusing() -> Address {
    TcpListener::bind(loopback()).unwrap().local_addr().unwrap()
}

/// Writes a row that must have this version.
pub fn write(op: &str, key: &str, version: u64) -> Txn {
    Txn {
        step: Step::Accept,
        op: OpId(op.to_owned()),
        checks: vec![check(key, version)],
        puts: vec![Put {
            key: key.to_owned(),
            value: Some(json!({ "by": op })),
        }],
    }
}

/// Removes a row that must have this version.
pub fn remove(op: &str, key: &str, version: u64) -> Txn {
    let mut txn = write(op, key, version);
    txn.puts[0].value = None;
    txn
}

pub fn check(key: &str, version: u64) -> Check {
    Check {
        key: key.to_owned(),
        version,
    }
}

pub fn listed(name: &str) -> ListedWorker {
    ListedWorker {
        name: WorkerName::new(name).unwrap(),
        address: loopback(),
        rack: RackName::new("r0").unwrap(),
        domain: DomainName::new("d0").unwrap(),
        cores: 16,
        memory_mb: 65_536,
        accelerators: 8,
        slots: 2,
        connections: 4,
        presence: Presence::Live,
    }
}

pub fn call(job: &str, payload: serde_json::Value) -> CallRequest {
    CallRequest {
        job: JobId::new(job).unwrap(),
        attempt: 1,
        team: TeamName::new("t").unwrap(),
        kind: KindName::new("k").unwrap(),
        boot: None,
        deadline_ms: 1000,
        trace: None,
        payload,
    }
}
