//! Keys.

use std::fmt::Display;

use crate::name::{EndpointName, InstanceName, JobId, PoolName};
use crate::platform::Key;

/// Prefix of all session rows.
pub const SESSION_PREFIX: &str = "session/";
/// Prefix of all configuration rows.
pub const CONFIG_PREFIX: &str = "config/";
/// Prefix of all non-idempotent calls in flight.
pub const OPEN_CALL_PREFIX: &str = "open/";
/// Row with the number of the newest ticket.
pub const TICKET_HEAD: &str = "ticket/head";
/// Prefix of all ticket log rows.
pub const TICKET_LOG_PREFIX: &str = "ticket/log/";

/// Session of an instance.
pub fn session(instance: &InstanceName) -> Key {
    format!("{SESSION_PREFIX}{instance}")
}

/// Holder of a pool.
pub fn pool(pool: &PoolName) -> Key {
    format!("pool/{pool}")
}

/// Prefix of a pool's endpoints.
pub fn endpoint_prefix(pool: &PoolName) -> Key {
    format!("worker/{pool}/")
}

/// An endpoint in a pool.
pub fn endpoint(pool: &PoolName, endpoint: &EndpointName) -> Key {
    format!("worker/{pool}/{endpoint}")
}

/// A job.
pub fn job(id: &JobId) -> Key {
    format!("job/{id}")
}

/// Prefix of a pool's batch jobs that have not ended.
pub fn queue_prefix(pool: &PoolName) -> Key {
    format!("queue/{pool}/")
}

/// Mark of a batch job that has not ended.
pub fn queue_entry(pool: &PoolName, id: &JobId) -> Key {
    format!("queue/{pool}/{id}")
}

/// Prefix of the non-idempotent calls that an instance has in flight.
pub fn open_call_prefix(instance: &InstanceName) -> Key {
    format!("{OPEN_CALL_PREFIX}{instance}/")
}

/// Mark of a non-idempotent call in flight.
pub fn open_call(instance: &InstanceName, id: &JobId) -> Key {
    format!("{OPEN_CALL_PREFIX}{instance}/{id}")
}

/// Log of a ticket; numbers are padded so that keys sort by number.
pub fn ticket_log(number: u64) -> Key {
    format!("{TICKET_LOG_PREFIX}{number:020}")
}

/// An object of the configuration; `sort` is `team`, `kind` or `pool`.
pub fn config_object<T>(sort: &str, name: &T) -> Key
where
    T: Display,
{
    format!("{CONFIG_PREFIX}{sort}/{name}")
}
