//! Sample requests and endpoints for tests.

use std::net::{Ipv4Addr, SocketAddr};

use serde_json::{Value, json};
use yuccaridge::name::{DomainName, EndpointName, JobId, KindName, PoolName, RackName, TeamName};
use yuccaridge::platform::{
    Action, Address, Batch, CallRequest, Check, Command, ListedEndpoint, OpId, Presence, Put, Step, Txn,
};

/// Loopback address with an ephemeral port.
pub fn loopback() -> Address {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// A live endpoint with eight accelerators and eight slots.
pub fn listed(name: &str) -> ListedEndpoint {
    ListedEndpoint {
        name: EndpointName::new(name).expect("a name"),
        address: loopback(),
        rack: RackName::new("r0").expect("a name"),
        domain: DomainName::new("d0").expect("a name"),
        cores: 16,
        memory_mb: 65_536,
        accelerators: 8,
        slots: 8,
        connections: 60,
        presence: Presence::Live,
    }
}

/// The first attempt of a call, with a deadline of 1 s.
pub fn call(job: &str, payload: Value) -> CallRequest {
    CallRequest {
        job: JobId::new(job).expect("a name"),
        attempt: 1,
        team: TeamName::new("t").expect("a name"),
        kind: KindName::new("k").expect("a name"),
        boot: None,
        deadline_ms: 1000,
        trace: None,
        payload,
    }
}

/// Batch that prepares and releases a job of one member with ten minutes of work.
pub fn start(job: &str) -> Batch {
    let command = |action| Command {
        job: JobId::new(job).expect("a name"),
        attempt: 1,
        member: 0,
        action,
    };
    let prepare = Action::Prepare {
        kind: KindName::new("k").expect("a name"),
        cores: 1,
        memory_mb: 1,
        accelerators: vec![0],
        members: 1,
        payload: json!({ "work_ms": 600_000 }),
        checkpoint: None,
        trace: None,
    };
    Batch {
        pool: PoolName::new("p").expect("a name"),
        epoch: 1,
        boot: None,
        renew_ms: None,
        commands: vec![command(prepare), command(Action::Release)],
    }
}

/// Check that a row has this version.
pub fn check(key: &str, version: u64) -> Check {
    Check {
        key: key.to_owned(),
        version,
    }
}

/// Write of a row, or its removal if `writes` is false.
pub fn put(key: &str, writes: bool) -> Put {
    Put {
        key: key.to_owned(),
        value: writes.then(|| json!(key)),
    }
}

/// Transaction that writes a row if it has this version.
pub fn write(op: &str, key: &str, version: u64) -> Txn {
    Txn {
        step: Step::Accept,
        op: OpId(op.to_owned()),
        checks: vec![check(key, version)],
        puts: vec![put(key, true)],
    }
}

/// Transaction that removes a row if it has this version.
pub fn remove(op: &str, key: &str, version: u64) -> Txn {
    Txn {
        puts: vec![put(key, false)],
        ..write(op, key, version)
    }
}
