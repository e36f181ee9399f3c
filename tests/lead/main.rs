//! Tests of leader election and of accepting jobs, with an in-memory store and virtual time.

mod cancel_orders;
mod election;
mod evacuation;
mod expired_lead;
mod holds;
mod incarnation;
mod monitor;
mod odd_rows;
mod outcome;
mod release;
mod removed_queue;
mod store;
mod taken_address;
mod unwell;
mod withdrawals;
mod world;
