//! Checks the promises of section 2 of the design page against the evidence of a run.

use std::collections::{BTreeMap, BTreeSet};

use standin::record::{Entry, TaskEvent};
use yuccaridge::api::JobState;
use yuccaridge::job::{Outcome, Phase};
use yuccaridge::name::JobId;
use yuccaridge::row::TicketState;
use yuccaridge::time::Millis;

use super::evidence::{Evidence, RequestKind, Response};

/// Longest time a partially started gang may run: the bound of section 10 for a region that is cut off.
const PARTIAL_GANG_MAX: Millis = Millis::from_secs(47);
/// Time after which a leaving endpoint receives no new work.
const LEAVING_GRACE: Millis = Millis::from_secs(2);

/// A broken promise of section 2.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Violation {
    /// Number of the promise; 0 for a job that was accepted and then lost.
    pub promise: u8,
    pub description: String,
}

/// Checks all promises.
pub fn check(evidence: &Evidence) -> Vec<Violation> {
    let mut found = Vec::new();
    for (promise, check_promise) in [
        (0, check_lost_jobs as fn(&Evidence) -> Vec<String>),
        (1, check_reclaim),
        (2, check_partial_gangs),
        (3, check_answers),
        (4, check_not_run),
        (5, check_repeated_starts),
        (6, check_leaving_endpoints),
        (7, check_planned_stops),
        (8, check_tickets),
    ] {
        found.extend(
            check_promise(evidence)
                .into_iter()
                .map(|description| Violation { promise, description }),
        );
    }
    found
}

fn starts(evidence: &Evidence) -> BTreeMap<&JobId, Vec<&Entry>> {
    let mut starts: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for entry in evidence.record.iter().filter(|entry| entry.event == TaskEvent::Started) {
        starts.entry(&entry.job).or_default().push(entry);
    }
    starts
}

/// Accepted jobs that have not ended or have no row.
fn check_lost_jobs(evidence: &Evidence) -> Vec<String> {
    let mut found = Vec::new();
    for (id, row) in &evidence.rows {
        if !matches!(row.phase, Phase::Ended { .. }) {
            found.push(format!("{id} has not ended: {:?}", row.phase));
        }
    }
    for response in &evidence.responses {
        let Response::Job {
            id,
            request: RequestKind::Submit,
            result: Ok(view),
            ..
        } = response
        else {
            continue;
        };
        if view.pool.is_some() && !evidence.rows.contains_key(id) {
            found.push(format!("{id} was accepted but has no row in the table"));
        }
    }
    found
}

fn check_reclaim(evidence: &Evidence) -> Vec<String> {
    let starts = starts(evidence);
    let mut found = Vec::new();
    for id in &evidence.must_start {
        if !starts.contains_key(id) {
            found.push(format!("{id} never started although it is within its guarantee"));
        }
    }
    for entry in &evidence.record {
        if entry.event == TaskEvent::Stopped && evidence.guaranteed.contains(&entry.job) {
            found.push(format!(
                "{} was stopped at {} although it ran within its guarantee",
                entry.job, entry.at
            ));
        }
    }
    found
}

fn check_partial_gangs(evidence: &Evidence) -> Vec<String> {
    let mut attempts: BTreeMap<(&JobId, u32), Vec<&Entry>> = BTreeMap::new();
    for entry in &evidence.record {
        attempts.entry((&entry.job, entry.attempt)).or_default().push(entry);
    }
    let mut found = Vec::new();
    for ((id, attempt), entries) in attempts {
        let started: BTreeMap<_, _> = entries
            .iter()
            .filter(|entry| entry.event == TaskEvent::Started)
            .map(|entry| (entry.member, entry.at))
            .collect();
        let members = entries.iter().map(|entry| entry.members).max().unwrap_or(1);
        if started.len() >= usize::from(members) {
            continue;
        }
        for (member, at) in &started {
            let ended = entries
                .iter()
                .find(|entry| entry.member == *member && !matches!(entry.event, TaskEvent::Held | TaskEvent::Started));
            let finished = ended.is_some_and(|entry| entry.event == TaskEvent::Finished);
            let ran = ended.map_or(evidence.end, |entry| entry.at).since(*at);
            if finished || ran > PARTIAL_GANG_MAX {
                let (number, all) = (started.len(), members);
                found.push(format!(
                    "{id}/{attempt}: member {member} ran for {ran} with only {number} of {all} members started"
                ));
            }
        }
    }
    found
}

fn check_answers(evidence: &Evidence) -> Vec<String> {
    let mut found = Vec::new();
    for response in &evidence.responses {
        let Response::Job {
            at,
            id,
            result: Ok(view),
            ..
        } = response
        else {
            continue;
        };
        let Some(Outcome::Completed { answer }) = &view.outcome else {
            continue;
        };
        if evidence
            .expected
            .get(id)
            .is_none_or(|expected| expected.answer != *answer)
        {
            found.push(format!("the caller of {id} got a wrong answer at {at}"));
        }
    }
    found
}

fn check_not_run(evidence: &Evidence) -> Vec<String> {
    let starts = starts(evidence);
    let mut found = Vec::new();
    let mut report_if_started = |id: &JobId, at: Millis| {
        if starts.contains_key(id) {
            found.push(format!("{id} was started, but was reported at {at} as not run"));
        }
    };
    for response in &evidence.responses {
        let Response::Job { at, id, result, .. } = response else {
            continue;
        };
        let row = evidence.rows.get(id).map(|row| &row.phase);
        let unrun = matches!(
            row,
            None | Some(Phase::Ended {
                outcome: Outcome::NotRun { .. }
            })
        );
        match result {
            Ok(view)
                if matches!(
                    view.outcome,
                    Some(Outcome::NotRun { .. } | Outcome::Cancelled { ran: false })
                ) =>
            {
                report_if_started(id, *at);
            }
            Err(error) if error.not_run && unrun => report_if_started(id, *at),
            _ => {}
        }
    }
    for (id, row) in &evidence.rows {
        if matches!(
            row.phase,
            Phase::Ended {
                outcome: Outcome::NotRun { .. }
            }
        ) {
            report_if_started(id, evidence.end);
        }
    }
    found
}

fn check_repeated_starts(evidence: &Evidence) -> Vec<String> {
    let mut found = Vec::new();
    for (id, entries) in starts(evidence) {
        if evidence.expected.get(id).is_none_or(|expected| expected.idempotent) {
            continue;
        }
        let mut seen = BTreeSet::new();
        for entry in entries {
            if !entry.resumed && !seen.insert(entry.member) {
                found.push(format!(
                    "{id}: member {} was started a second time at {} although the job is not idempotent",
                    entry.member, entry.at
                ));
            }
        }
    }
    found
}

fn check_leaving_endpoints(evidence: &Evidence) -> Vec<String> {
    let mut found = Vec::new();
    let limit = |entry: &Entry| {
        evidence
            .leaving_since
            .get(&entry.endpoint)
            .map(|at| *at + LEAVING_GRACE)
    };
    let early: BTreeSet<_> = evidence
        .record
        .iter()
        .filter(|entry| entry.event == TaskEvent::Held && limit(entry).is_some_and(|limit| entry.at <= limit))
        .map(|entry| (&entry.job, entry.attempt, entry.member))
        .collect();
    for entry in &evidence.record {
        let held = early.contains(&(&entry.job, entry.attempt, entry.member));
        let new = entry.event == TaskEvent::Held || (entry.event == TaskEvent::Started && !held);
        if new && limit(entry).is_some_and(|limit| entry.at > limit) {
            found.push(format!(
                "{} received {} at {} although it was leaving",
                entry.endpoint, entry.job, entry.at
            ));
        }
    }
    found
}

fn check_planned_stops(evidence: &Evidence) -> Vec<String> {
    let mut found = Vec::new();
    for response in &evidence.responses {
        if let Response::Disconnected { at, id, planned: true } = response {
            found.push(format!("the request for {id} was cut off by a planned stop at {at}"));
        }
    }
    found
}

fn check_tickets(evidence: &Evidence) -> Vec<String> {
    let mut found = Vec::new();
    let mut newest: BTreeMap<usize, u64> = BTreeMap::new();
    for used in &evidence.ticket_uses {
        let before = newest.insert(used.instance, used.number).unwrap_or(0);
        if used.number < before {
            found.push(format!(
                "i{} reverted from ticket {before} to {} at {}",
                used.instance, used.number, used.at
            ));
        }
    }
    for response in &evidence.responses {
        let Response::Ticket {
            at,
            number,
            digest,
            result,
        } = response
        else {
            continue;
        };
        let log = evidence.ticket_log.get(number);
        let kept = log.is_some_and(|log| log.digest == *digest);
        let Ok(view) = result else {
            if result.as_ref().is_err_and(|error| error.not_run)
                && kept
                && !another_request_succeeded(evidence, *number, digest)
            {
                found.push(format!(
                    "ticket {number} is in the log, but the error to its operator at {at} says that it was not run"
                ));
            }
            continue;
        };
        if !kept || log.is_some_and(|log| log.state != TicketState::Accepted) {
            found.push(format!(
                "ticket {number}, confirmed at {at}, is not accepted in the log at the end"
            ));
        }
        if view.state != TicketState::Accepted {
            continue;
        }
        for used in evidence
            .ticket_uses
            .iter()
            .filter(|used| used.at > *at && used.number < *number)
        {
            found.push(format!(
                "i{} used ticket {} at {} after {number} was accepted",
                used.instance, used.number, used.at
            ));
        }
    }
    found
}

/// Whether some request with this number and body succeeded. The ticket is then in the log although another such request
/// failed as not run.
fn another_request_succeeded(evidence: &Evidence, number: u64, digest: &str) -> bool {
    evidence.responses.iter().any(
        |response| matches!(response, Response::Ticket { number: n, digest: d, result: Ok(_), .. } if *n == number && d == digest),
    )
}

/// Whether a job in this state never changes again.
pub fn is_final(state: JobState) -> bool {
    state == JobState::Ended
}
