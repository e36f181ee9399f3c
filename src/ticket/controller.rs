//! The controller that commits tickets and confirms them.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::Deserialize;
use serde_json::json;

use super::log::{Versioned, read_log_above, read_ticket};
use super::{CapacityCheck, InvalidTicket, NUMBER_MAX, Ticket, TicketError};
use crate::api::TicketView;
use crate::membership::Membership;
use crate::name::InstanceName;
use crate::platform::{Check, Put, Row, Step, Table, TableError, Txn, Version};
use crate::row::{OpIds, SessionRow, TicketHeadRow, TicketLogRow, TicketState, commit, digest, key, scan_all};
use crate::session::{Session, VersionedCatalog};
use crate::team::Catalog;
use crate::time::Millis;

/// Maximum attempts to commit a ticket; after each conflict, the rows are read again.
const COMMIT_ATTEMPTS_MAX: usize = 4;
/// Time after which other instances confirm a pending ticket. The instance that committed it needs at most the lease
/// and the margin for clock drift.
const CONFIRM_GRACE: Millis = Millis::from_secs(5);
/// Interval at which pending tickets are checked.
const PENDING_CHECK_INTERVAL: Millis = Millis(500);

#[derive(Debug, Default)]
struct State {
    /// Version of the head at which all tickets were found accepted.
    settled_head: Option<Version>,
    /// Pending tickets and the time at which each was first seen.
    pending: BTreeMap<u64, Millis>,
    check_due: Millis,
}

/// Commits and confirms tickets, including those that other instances abandoned.
#[derive(Debug)]
pub struct TicketController {
    session: Arc<Session>,
    membership: Arc<Membership>,
    table: Arc<dyn Table>,
    ops: Arc<OpIds>,
    capacity: Arc<dyn CapacityCheck>,
    state: Mutex<State>,
}

fn view(log: &TicketLogRow, repeated: bool) -> TicketView {
    TicketView {
        number: log.number,
        state: log.state,
        repeated,
    }
}

impl TicketController {
    /// Creates a controller; `capacity` checks whether guarantees fit the fleet.
    pub fn new(
        session: Arc<Session>,
        membership: Arc<Membership>,
        table: Arc<dyn Table>,
        ops: Arc<OpIds>,
        capacity: Arc<dyn CapacityCheck>,
    ) -> Self {
        Self {
            session,
            membership,
            table,
            ops,
            capacity,
            state: Mutex::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Commits a ticket. The returned ticket will not be reverted, but it may be pending; the caller then calls
    /// [`TicketController::confirm`] until it is accepted.
    pub fn put(&self, now: Millis, number: u64, body: &[u8]) -> Result<TicketView, TicketError> {
        if number == 0 || number > NUMBER_MAX {
            return Err(InvalidTicket::Number(number).into());
        }
        let mut in_doubt = false;
        for _ in 0..COMMIT_ATTEMPTS_MAX {
            match self.try_put(now, number, body, in_doubt) {
                Ok(Some(view)) => return Ok(view),
                Ok(None) => {}
                Err(TicketError::Unknown(_)) => in_doubt = true,
                // Both prove that an earlier attempt was not applied and never will be: its checks can no longer hold.
                Err(error @ (TicketError::Conflict(_) | TicketError::Superseded { .. })) => return Err(error),
                Err(_) if in_doubt => break,
                Err(error) => return Err(error),
            }
        }
        Err(if in_doubt {
            TicketError::Unknown(number)
        } else {
            TicketError::NoSession
        })
    }

    /// One attempt; `None` if the head or the log row changed concurrently.
    fn try_put(
        &self,
        now: Millis,
        number: u64,
        body: &[u8],
        in_doubt: bool,
    ) -> Result<Option<TicketView>, TicketError> {
        let digest = digest(body);
        let (head, log) = read_ticket(&*self.table, number)?;
        if let Some(log) = log {
            if log.content.digest != digest {
                return Err(TicketError::Conflict(number));
            }
            return Ok(Some(view(&log.content, !in_doubt)));
        }
        if number <= head.content.number {
            let head = head.content.number;
            return Err(TicketError::Superseded { number, head });
        }
        let ticket = Ticket::parse(body)?;
        let current = self.session.versioned_catalog(now).ok_or(TicketError::NoSession)?;
        if current.head_version != head.version {
            // The next attempt detects a failed refresh.
            let _ = self.session.refresh(now);
            return Ok(None);
        }
        self.check(&ticket, &current.catalog, number)?;
        let row = TicketLogRow {
            number,
            digest,
            state: TicketState::Pending,
            body: serde_json::from_slice(body).map_err(|error| InvalidTicket::Unreadable(error.to_string()))?,
        };
        let txn = self.pending_txn(&ticket, &current, &row, &head.content)?;
        match commit(&*self.table, &txn) {
            Ok(_) => {
                // Writes the number to the own session row at once; the session's next step retries a failed write.
                let _ = self.session.refresh(now);
                Ok(Some(view(&row, false)))
            }
            Err(TableError::Conflict { .. }) => Ok(None),
            Err(error) if error.is_unwritten() => Err(TicketError::Table(error)),
            Err(_) => Err(TicketError::Unknown(number)),
        }
    }

    fn check(&self, ticket: &Ticket, catalog: &Catalog, number: u64) -> Result<(), TicketError> {
        let next = ticket.apply(catalog, number)?;
        for (name, pool) in &ticket.objects.pool {
            if pool.is_some() {
                continue;
            }
            let page = self
                .table
                .scan(&key::queue_prefix(name), None, 1)
                .map_err(TicketError::Table)?;
            if !page.rows.is_empty() {
                let reason = format!(
                    "Pool `{name}` still has jobs, so it cannot be removed. Cancel them or wait until they end, then \
                     send the ticket again."
                );
                return Err(InvalidTicket::Object(reason).into());
            }
        }
        if !ticket.objects.team.is_empty() || !ticket.objects.pool.is_empty() {
            self.capacity.check(&next).map_err(InvalidTicket::Shortfall)?;
        }
        Ok(())
    }

    fn pending_txn(
        &self,
        ticket: &Ticket,
        current: &VersionedCatalog,
        row: &TicketLogRow,
        head: &TicketHeadRow,
    ) -> Result<Txn, TicketError> {
        let mut settled = head.settled;
        for log in read_log_above(&*self.table, head.settled)? {
            if log.content.state == TicketState::Pending {
                break;
            }
            settled = log.content.number;
        }
        let number = row.number;
        let head = TicketHeadRow { number, settled };
        let mut puts = vec![
            Put {
                key: key::ticket_log(number),
                value: Some(json!(row)),
            },
            Put {
                key: key::TICKET_HEAD.to_owned(),
                value: Some(json!(head)),
            },
        ];
        puts.extend(ticket.puts(number));
        let absent = Check {
            key: key::ticket_log(number),
            version: 0,
        };
        Ok(Txn {
            step: Step::Pending,
            op: self.ops.next(),
            checks: vec![current.check(), absent],
            puts,
        })
    }

    /// Checks whether a committed ticket is in force on every instance, and marks it as accepted if so. To be repeated
    /// while the ticket is pending, and after an error.
    pub fn confirm(&self, now: Millis, number: u64) -> Result<TicketView, TicketError> {
        let unconfirmed = |_error| TicketError::Unconfirmed(number);
        let (_, log) = read_ticket(&*self.table, number).map_err(unconfirmed)?;
        let log = log.ok_or(TicketError::Absent(number))?;
        if log.content.state == TicketState::Accepted {
            return Ok(view(&log.content, false));
        }
        let sessions =
            scan_all(&*self.table, key::SESSION_PREFIX, None).map_err(|_error| TicketError::Unconfirmed(number))?;
        for row in &sessions {
            if !self.applies_or_lapsed(now, row, number) {
                return Ok(view(&log.content, false));
            }
        }
        self.accept(&log)
    }

    /// Whether the session of this row uses this ticket or a newer one, or has lapsed and uses no configuration.
    fn applies_or_lapsed(&self, now: Millis, row: &Row, number: u64) -> bool {
        if SessionRow::deserialize(&row.value).is_ok_and(|session| session.ticket >= number) {
            return true;
        }
        let name = row.key.strip_prefix(key::SESSION_PREFIX).unwrap_or_default();
        InstanceName::new(name).is_ok_and(|name| self.membership.has_lapsed_at(now, &name, row.version))
    }

    fn accept(&self, log: &Versioned<TicketLogRow>) -> Result<TicketView, TicketError> {
        let number = log.content.number;
        let accepted = TicketLogRow {
            state: TicketState::Accepted,
            ..log.content.clone()
        };
        let txn = Txn {
            step: Step::Accepted,
            op: self.ops.next(),
            checks: vec![Check {
                key: key::ticket_log(number),
                version: log.version,
            }],
            puts: vec![Put {
                key: key::ticket_log(number),
                value: Some(json!(accepted)),
            }],
        };
        match commit(&*self.table, &txn) {
            Ok(_) => Ok(view(&accepted, false)),
            // Only another instance that confirms the ticket changes the row; the next call reads what it wrote.
            Err(TableError::Conflict { .. }) => Ok(view(&log.content, false)),
            Err(_) => Err(TicketError::Unconfirmed(number)),
        }
    }

    /// Confirms tickets that are still pending after the grace period.
    pub fn step(&self, now: Millis) -> Result<(), TicketError> {
        let Some(current) = self.session.versioned_catalog(now) else {
            return Ok(());
        };
        if !self.is_due(now, current.head_version) {
            return Ok(());
        }
        let (head, _) = read_ticket(&*self.table, current.catalog.number)?;
        let logs = read_log_above(&*self.table, head.content.settled)?;
        for number in self.update_pending(now, head.version, &logs) {
            self.confirm(now, number)?;
        }
        Ok(())
    }

    fn is_due(&self, now: Millis, head: Version) -> bool {
        let mut state = self.state();
        if now < state.check_due || state.settled_head == Some(head) {
            return false;
        }
        state.check_due = now + PENDING_CHECK_INTERVAL;
        true
    }

    /// Records the pending tickets and returns those whose grace period is over.
    fn update_pending(&self, now: Millis, head: Version, logs: &[Versioned<TicketLogRow>]) -> Vec<u64> {
        let mut state = self.state();
        let mut pending = BTreeMap::new();
        let mut overdue = Vec::new();
        for log in logs {
            if log.content.state == TicketState::Accepted {
                continue;
            }
            let number = log.content.number;
            let seen = state.pending.get(&number).copied().unwrap_or(now);
            pending.insert(number, seen);
            if now.since(seen) >= CONFIRM_GRACE {
                overdue.push(number);
            }
        }
        if pending.is_empty() {
            state.settled_head = Some(head);
        }
        state.pending = pending;
        overdue
    }

    /// Looks up a ticket.
    pub fn get(&self, number: u64) -> Result<TicketView, TicketError> {
        let (_, log) = read_ticket(&*self.table, number)?;
        let log = log.ok_or(TicketError::Absent(number))?;
        Ok(view(&log.content, false))
    }
}
