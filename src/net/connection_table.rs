//! The connections of a server, and the memory that their request bodies take.
//!
//! Memory is reserved as a body arrives, whatever length its client has declared, and released when its request has been
//! answered or refused. What a body takes is counted as the capacity of its buffer.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use super::connection::{Connection, Phase};
use super::occupancy::{Occupancy, heaviest, limit_for, oldest};
use super::{ConnectionLimits, Refusal};
use crate::metric::ConnectionMetrics;

/// Least capacity of the buffer of a body, in bytes.
const BODY_CAPACITY_MIN: usize = 256;

/// Connections of a server.
#[derive(Debug)]
pub struct ConnectionTable {
    limits: ConnectionLimits,
    connections: RefCell<BTreeMap<u64, Rc<Connection>>>,
    next_number: Cell<u64>,
    /// Bytes reserved for all bodies.
    reserved: Cell<usize>,
    metrics: ConnectionMetrics,
}

impl ConnectionTable {
    /// An empty table with these limits, which counts in `metrics`.
    pub fn new(limits: ConnectionLimits, metrics: ConnectionMetrics) -> Rc<Self> {
        Rc::new(Self {
            limits,
            connections: RefCell::default(),
            next_number: Cell::new(0),
            reserved: Cell::new(0),
            metrics,
        })
    }

    /// An empty table of at most this many connections, without a limit on their bodies.
    pub fn of_connections(connections: usize) -> Rc<Self> {
        let limits = ConnectionLimits {
            connections,
            body_bytes: usize::MAX,
        };
        Self::new(limits, ConnectionMetrics::default())
    }

    /// Adds an accepted connection. At the limit, the one that has waited longest is closed for it; `None` if the requests
    /// of all others are being handled.
    pub(super) fn accept(self: &Rc<Self>) -> Option<Slot> {
        if self.connections.borrow().len() >= self.limits.connections {
            let Some(number) = oldest(self.occupancies().into_iter()) else {
                self.metrics.count_closed("all connections are being handled");
                return None;
            };
            self.metrics.count_closed("more recent connections");
            if let Some(found) = self.connections.borrow().get(&number) {
                found.close();
            }
        }
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let connection = Rc::new(Connection::new(number));
        self.connections.borrow_mut().insert(number, Rc::clone(&connection));
        self.metrics.open.inc();
        Some(Slot {
            connection,
            table: Rc::clone(self),
        })
    }

    /// Number of connections whose request has not arrived in full.
    pub fn receiving(&self) -> usize {
        let connections = self.connections.borrow();
        let receiving = connections.values().filter(|found| found.phase() == Phase::Request);
        receiving.count()
    }

    fn occupancies(&self) -> Vec<Occupancy> {
        let connections = self.connections.borrow();
        connections.values().filter_map(|found| found.occupancy()).collect()
    }

    /// Appends a part of a body of at most `body_limit` bytes.
    pub(super) fn append(&self, connection: &Connection, part: &[u8], body_limit: usize) -> Result<(), Refusal> {
        let (length, capacity) = {
            let body = connection.body.borrow();
            (body.len() + part.len(), body.capacity())
        };
        if length > body_limit {
            return Err(Refusal::TooLarge);
        }
        if length > capacity {
            let doubled = (2 * capacity).max(BODY_CAPACITY_MIN).min(body_limit);
            let needed = length.max(doubled);
            if !self.reserve(connection, needed) {
                self.metrics.count_refused("no memory is left for its body");
                return Err(Refusal::Overloaded);
            }
            let mut body = connection.body.borrow_mut();
            let kept = body.len();
            body.reserve_exact(needed - kept);
        }
        connection.body.borrow_mut().extend_from_slice(part);
        Ok(())
    }

    /// Reserves `bytes` in all for a body; refuses others for it if need be.
    fn reserve(&self, connection: &Connection, bytes: usize) -> bool {
        let more = bytes.saturating_sub(connection.reserved.get());
        let limit = limit_for(bytes, self.limits.body_bytes);
        let growing = Occupancy {
            connection: connection.number,
            bytes: connection.reserved.get(),
            age: connection.age(),
        };
        let others = self.reserved.get() - connection.reserved.get();
        let held = self.occupancies().into_iter();
        let freeable: usize = held
            .filter(|other| other.connection != connection.number)
            .map(|other| other.bytes)
            .sum();
        // A body that is alone is received whatever the limit for all is.
        if others > 0 && others - freeable + bytes > limit {
            return false;
        }
        while self.reserved.get() > connection.reserved.get() && self.reserved.get() + more > limit {
            match heaviest(self.occupancies().into_iter(), growing, bytes) {
                Some(number) if number != connection.number => self.refuse(number),
                _ => return false,
            }
        }
        connection.reserved.set(connection.reserved.get() + more);
        self.add_reserved(more.cast_signed());
        true
    }

    /// Refuses the request of a connection and frees what it holds.
    fn refuse(&self, number: u64) {
        let Some(found) = self.connections.borrow().get(&number).cloned() else {
            return;
        };
        found.refuse();
        self.release(&found);
        self.metrics.count_refused("it held much for long");
    }

    /// Frees what a connection holds.
    pub(super) fn release(&self, connection: &Connection) {
        drop(connection.body.take());
        self.add_reserved(-connection.reserved.take().cast_signed());
    }

    fn add_reserved(&self, bytes: isize) {
        self.reserved.set(self.reserved.get().saturating_add_signed(bytes));
        self.metrics.body_bytes.inc_by(bytes as i64);
    }
}

/// Place of a connection in the table; given up when this is dropped.
#[derive(Debug)]
pub(super) struct Slot {
    /// State of the connection.
    pub connection: Rc<Connection>,
    /// The table.
    pub table: Rc<ConnectionTable>,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.table.release(&self.connection);
        self.table.connections.borrow_mut().remove(&self.connection.number);
        self.table.metrics.open.dec();
    }
}
