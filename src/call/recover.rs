//! Recovery of non-idempotent calls that their senders abandoned.

use std::sync::PoisonError;

use super::CallController;
use super::guard::InFlightGuard;
use super::probe::ProbeResult;
use super::rows::OutcomeWriteError;
use super::stage::sent_phase;
use crate::accept::{AcceptError, read_job};
use crate::job::{NotRunReason, Outcome};
use crate::membership::owner_of;
use crate::name::{InstanceName, JobId};
use crate::platform::{Row, TableError};
use crate::row::key;
use crate::time::Millis;

/// Most markers read by one scan; each may cost two requests to an endpoint.
const MARKERS_PER_SCAN_MAX: usize = 16;

/// Sender and call that a marker's key names.
fn parse_marker(row: &Row) -> Option<(InstanceName, JobId)> {
    let (sender, id) = row.key.strip_prefix(key::OPEN_CALL_PREFIX)?.split_once('/')?;
    Some((sender.parse().ok()?, id.parse().ok()?))
}

impl CallController {
    /// Resolves some of the calls that lapsed instances or this instance left open. Nothing is sent again: a call that
    /// was not started ends as not run.
    pub fn recover(&self, now: Millis) -> Result<(), AcceptError> {
        if !self.session.is_live(now) {
            return Ok(());
        }
        let after = self.scan_cursor.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let page = self
            .table
            .scan(key::OPEN_CALL_PREFIX, after.as_deref(), MARKERS_PER_SCAN_MAX)
            .map_err(AcceptError::Lookup)?;
        *self.scan_cursor.lock().unwrap_or_else(PoisonError::into_inner) = page.next;
        let takers = self.membership.eligible_holders(now);
        for row in &page.rows {
            let Some((sender, id)) = parse_marker(row) else {
                continue;
            };
            if sender != *self.session.instance() {
                let assigned_here = owner_of(id.as_str(), &takers).as_ref() == Some(self.session.instance());
                if !assigned_here || self.membership.lapse_check(now, &sender).is_none() {
                    continue;
                }
            }
            let Some(_guard) = InFlightGuard::acquire(&self.in_flight_ids, &id) else {
                continue;
            };
            self.resolve_abandoned(row, &sender, &id)?;
        }
        Ok(())
    }

    /// Writes the outcome of an abandoned call, or removes a marker that is out of date.
    fn resolve_abandoned(&self, marker: &Row, sender: &InstanceName, id: &JobId) -> Result<(), AcceptError> {
        let stored = read_job(&*self.table, id)?;
        let Some(stored) = stored.filter(|stored| sent_phase(&stored.row).is_some_and(|(_, _, by)| by == sender))
        else {
            // The call has ended, or another instance has sent it again.
            return match self.remove_marker(marker.key.clone(), marker.version) {
                Ok(()) | Err(TableError::Conflict { .. }) => Ok(()),
                Err(error) => Err(AcceptError::Table(error)),
            };
        };
        let outcome = match self.probe_attempt(&stored.row) {
            ProbeResult::Unstarted => Outcome::NotRun {
                reason: NotRunReason::Refused,
                message: "The instance that accepted the call stopped before an endpoint started it.".to_owned(),
            },
            ProbeResult::Ended(outcome) => outcome,
            ProbeResult::Restarted => Outcome::Unknown {
                reason: "The endpoint restarted and cannot tell whether the call ran.".to_owned(),
            },
            ProbeResult::Delisted => Outcome::Unknown {
                reason: "The endpoint is no longer listed and cannot tell whether the call ran.".to_owned(),
            },
            ProbeResult::Running | ProbeResult::Undetermined => return Ok(()),
        };
        match self.commit_outcome(&stored, outcome) {
            // Without the object store, the answer stays on the endpoint until a later scan.
            Ok(()) | Err(OutcomeWriteError::Table(TableError::Conflict { .. }) | OutcomeWriteError::Object(_)) => {
                Ok(())
            }
            Err(OutcomeWriteError::Table(error)) => Err(AcceptError::Table(error)),
        }
    }
}
