//! State of a connection that its stream, its HTTP service and the table of connections share.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use super::occupancy::Occupancy;

/// Phase of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// Waiting for the first byte of a request, or writing an answer.
    Idle,
    /// Waiting for the rest of a request.
    Request,
    /// Waiting for the handler to answer; reads do not time out.
    Handling,
    /// Answered for the last time; what the client still sends is dropped.
    Closing,
}

/// State of a connection.
#[derive(Debug)]
pub(super) struct Connection {
    /// Number by which the table knows it.
    pub number: u64,
    phase: Cell<Phase>,
    since: Cell<Instant>,
    /// Bytes reserved for its body.
    pub reserved: Cell<usize>,
    /// The part of the body that has arrived.
    pub body: RefCell<Vec<u8>>,
    refused: Cell<bool>,
    refusal: Notify,
    closed: Cell<bool>,
    closing: Notify,
    /// The last request was answered before its body was read.
    pub unread: Cell<bool>,
    /// The server is to stop.
    pub stopping: Cell<bool>,
}

impl Connection {
    /// A connection that waits for a request.
    pub fn new(number: u64) -> Self {
        Self {
            number,
            phase: Cell::new(Phase::Idle),
            since: Cell::new(Instant::now()),
            reserved: Cell::new(0),
            body: RefCell::default(),
            refused: Cell::new(false),
            refusal: Notify::new(),
            closed: Cell::new(false),
            closing: Notify::new(),
            unread: Cell::new(false),
            stopping: Cell::new(false),
        }
    }

    /// Phase.
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// When the phase began.
    pub fn since(&self) -> Instant {
        self.since.get()
    }

    /// Enters a phase and restarts its timeout.
    pub fn enter(&self, next: Phase) {
        if matches!(next, Phase::Idle | Phase::Closing) {
            // The answer to a refused request closes the connection, which may be closed for others until then.
            self.refused.set(false);
        }
        self.phase.set(next);
        self.since.set(Instant::now());
    }

    /// What it occupies; `None` while its request is being handled, or if it is to go already.
    pub fn occupancy(&self) -> Option<Occupancy> {
        if self.phase.get() == Phase::Handling || self.refused.get() || self.closed.get() {
            return None;
        }
        Some(Occupancy {
            connection: self.number,
            bytes: self.reserved.get(),
            age: self.age(),
        })
    }

    /// Time in the present phase.
    pub fn age(&self) -> Duration {
        self.since.get().elapsed()
    }

    /// Refuses its request.
    pub fn refuse(&self) {
        self.refused.set(true);
        self.refusal.notify_one();
    }

    /// Waits until its request is refused.
    pub async fn refused(&self) {
        while !self.refused.get() {
            self.refusal.notified().await;
        }
    }

    /// Closes it without an answer.
    pub fn close(&self) {
        self.closed.set(true);
        self.closing.notify_one();
    }

    /// Waits until it is to be closed.
    pub async fn closed(&self) {
        while !self.closed.get() {
            self.closing.notified().await;
        }
    }
}
