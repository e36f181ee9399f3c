//! One instance: everything that it runs, wired together.

mod outage;
mod pools;
mod waiters;

pub use outage::Outage;
pub use pools::{PoolProgress, PoolRequest, Pools};
pub use waiters::Waiters;
