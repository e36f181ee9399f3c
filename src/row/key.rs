//! Keys of the table's rows.

use std::fmt::Display;

use crate::name::{EndpointName, InstanceName, JobId, PoolName};
use crate::platform::Key;

/// Prefix of the session rows of all instances.
pub const SESSION_PREFIX: &str = "session/";
/// Prefix of the rows of all configuration objects.
pub const CONFIG_PREFIX: &str = "config/";
/// Prefix of the markers of all non-idempotent calls in flight.
pub const OPEN_CALL_PREFIX: &str = "open/";
/// Key of the row with the number of the newest ticket.
pub const TICKET_HEAD: &str = "ticket/head";
/// Prefix of the rows of all tickets.
pub const TICKET_LOG_PREFIX: &str = "ticket/log/";

/// Key of the session row of an instance.
pub fn session(instance: &InstanceName) -> Key {
    format!("{SESSION_PREFIX}{instance}")
}

/// Key of the row of a pool, which names its holder.
pub fn pool(pool: &PoolName) -> Key {
    format!("pool/{pool}")
}

/// Prefix of the rows of a pool's endpoints.
pub fn endpoint_prefix(pool: &PoolName) -> Key {
    format!("worker/{pool}/")
}

/// Key of the row of an endpoint in a pool.
pub fn endpoint(pool: &PoolName, endpoint: &EndpointName) -> Key {
    format!("worker/{pool}/{endpoint}")
}

/// Key of the row of a job.
pub fn job(id: &JobId) -> Key {
    format!("job/{id}")
}

/// Prefix of the queue entries of a pool, one for each batch job that has not ended.
pub fn queue_prefix(pool: &PoolName) -> Key {
    format!("queue/{pool}/")
}

/// Key of the queue entry of a batch job that has not ended.
pub fn queue_entry(pool: &PoolName, id: &JobId) -> Key {
    format!("queue/{pool}/{id}")
}

/// Prefix of the markers of non-idempotent calls that an instance has in flight.
pub fn open_call_prefix(instance: &InstanceName) -> Key {
    format!("{OPEN_CALL_PREFIX}{instance}/")
}

/// Key of the marker of a non-idempotent call in flight.
pub fn open_call(instance: &InstanceName, id: &JobId) -> Key {
    format!("{OPEN_CALL_PREFIX}{instance}/{id}")
}

/// Key of the row of a ticket; the number is zero-padded so that keys sort by number.
pub fn ticket_log(number: u64) -> Key {
    format!("{TICKET_LOG_PREFIX}{number:020}")
}

/// Key of the row of a configuration object; `sort` is `team`, `kind` or `pool`.
pub fn config_object<T>(sort: &str, name: &T) -> Key
where
    T: Display,
{
    format!("{CONFIG_PREFIX}{sort}/{name}")
}
