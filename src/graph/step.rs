//! Steps of jobs.

use prost::Message;

/// A step: tasks of a job with the same properties.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each flag is a separate option of the caller"
)]
#[derive(Clone, PartialEq, Message)]
pub struct Step {
    /// Number of tasks.
    #[prost(uint32, tag = "1")]
    pub count: u32,
    /// Processor share of a task, in thousandths of a core.
    #[prost(uint64, tag = "2")]
    pub millicores: u64,
    /// Memory of a task, in megabytes.
    #[prost(uint64, tag = "3")]
    pub memory_mb: u64,
    /// Accelerators of a task.
    #[prost(uint64, tag = "4")]
    pub accelerators: u64,
    /// Caller's estimate of a task's duration, in milliseconds; may be off by a factor.
    #[prost(uint64, tag = "5")]
    pub estimate_ms: u64,
    /// Positions of the earlier steps that must have ended.
    #[prost(uint32, repeated, tag = "6")]
    pub after: Vec<u32>,
    /// Tasks save checkpoints and can resume from them.
    #[prost(bool, tag = "7")]
    pub checkpoints: bool,
    /// Tasks must run at the same time.
    #[prost(bool, tag = "8")]
    pub gang: bool,
    /// Tasks run slower when they are spread over several racks.
    #[prost(bool, tag = "9")]
    pub adjacent: bool,
    /// Label that an endpoint must carry; empty for none.
    #[prost(string, tag = "10")]
    pub label: String,
    /// Rack that holds the input data; empty for none.
    #[prost(string, tag = "11")]
    pub rack: String,
    /// Most tasks of the step on one endpoint; 0 for no limit.
    #[prost(uint32, tag = "12")]
    pub per_endpoint_max: u32,
    /// A task may be executed speculatively: a second copy may run at the same time.
    #[prost(bool, tag = "13")]
    pub speculative: bool,
    /// Tasks run until the job is cancelled.
    #[prost(bool, tag = "14")]
    pub lasting: bool,
    /// Program of the tasks; tasks with the same image behave alike.
    #[prost(string, tag = "15")]
    pub image: String,
    /// Bound on the tail latency of a lasting task, in milliseconds; 0 for none.
    #[prost(uint64, tag = "16")]
    pub tail_latency_max_ms: u64,
    /// Tasks use only processor time that other tasks leave idle.
    #[prost(bool, tag = "17")]
    pub filler: bool,
    /// Most lasting tasks that the scheduler may make unavailable at the same time.
    #[prost(uint32, tag = "18")]
    pub max_unavailable: u32,
}

impl Step {
    /// Number of units: one for a gang, otherwise one per task.
    pub fn units(&self) -> u32 {
        if self.gang { 1 } else { self.count }
    }

    /// Number of tasks in each unit.
    pub fn members(&self) -> u32 {
        if self.gang { self.count } else { 1 }
    }
}
