//! The promises of section 2 of the design page, judged by what a run left.

use std::collections::{BTreeMap, BTreeSet};

use standin::record::{Entry, TaskEvent};
use yuccaridge::api::JobState;
use yuccaridge::job::{Outcome, Phase};
use yuccaridge::name::JobId;
use yuccaridge::row::TicketState;
use yuccaridge::time::Millis;

use super::evidence::{Asked, Evidence, Told};

/// Longest time for which part of a gang may run: the bound of section 10 for a region that is cut off.
const PARTIAL_MAX: Millis = Millis::from_secs(47);
/// Time after which a leaving endpoint gets nothing new.
const LEAVING_MAX: Millis = Millis::from_secs(2);

/// A promise of section 2 that was not kept.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Violation {
    /// Number of the promise; 0 for a job that was accepted and lost.
    pub promise: u8,
    pub what: String,
}

/// Judges all promises.
pub fn check(evidence: &Evidence) -> Vec<Violation> {
    let mut found = Vec::new();
    for (promise, judge) in [
        (0, lost as fn(&Evidence) -> Vec<String>),
        (1, reclaim),
        (2, partial),
        (3, whole),
        (4, not_run),
        (5, twice),
        (6, leaving),
        (7, cut_off),
        (8, tickets),
    ] {
        found.extend(judge(evidence).into_iter().map(|what| Violation { promise, what }));
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

/// Jobs that were accepted and have not ended.
fn lost(evidence: &Evidence) -> Vec<String> {
    let mut found = Vec::new();
    for (id, row) in &evidence.rows {
        if !matches!(row.phase, Phase::Ended { .. }) {
            found.push(format!("{id} has not ended: {:?}", row.phase));
        }
    }
    for told in &evidence.told {
        let Told::Job {
            id,
            asked: Asked::Submit,
            result: Ok(view),
            ..
        } = told
        else {
            continue;
        };
        if view.pool.is_some() && !evidence.rows.contains_key(id) {
            found.push(format!("{id} was accepted and has no row"));
        }
    }
    found
}

fn reclaim(evidence: &Evidence) -> Vec<String> {
    let starts = starts(evidence);
    let mut found = Vec::new();
    for id in &evidence.must_start {
        if !starts.contains_key(id) {
            found.push(format!("{id} never started in its guarantee"));
        }
    }
    for entry in &evidence.record {
        if entry.event == TaskEvent::Stopped && evidence.guaranteed.contains(&entry.job) {
            found.push(format!("{} was stopped in its guarantee at {}", entry.job, entry.at));
        }
    }
    found
}

fn partial(evidence: &Evidence) -> Vec<String> {
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
            if finished || ran > PARTIAL_MAX {
                let (number, all) = (started.len(), members);
                found.push(format!(
                    "{id}/{attempt}: member {member} ran {ran} with {number} of {all} started"
                ));
            }
        }
    }
    found
}

fn whole(evidence: &Evidence) -> Vec<String> {
    let mut found = Vec::new();
    for told in &evidence.told {
        let Told::Job {
            at,
            id,
            result: Ok(view),
            ..
        } = told
        else {
            continue;
        };
        let Some(Outcome::Completed { answer }) = &view.outcome else {
            continue;
        };
        if evidence.wanted.get(id).is_none_or(|wanted| wanted.answer != *answer) {
            found.push(format!("{id} got another answer at {at}"));
        }
    }
    found
}

fn not_run(evidence: &Evidence) -> Vec<String> {
    let starts = starts(evidence);
    let mut found = Vec::new();
    let mut claim = |id: &JobId, at: Millis| {
        if starts.contains_key(id) {
            found.push(format!(
                "{id} was started, and its caller was told at {at} that it was not run"
            ));
        }
    };
    for told in &evidence.told {
        let Told::Job { at, id, result, .. } = told else {
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
                claim(id, *at);
            }
            Err(error) if error.not_run && unrun => claim(id, *at),
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
            claim(id, evidence.end);
        }
    }
    found
}

fn twice(evidence: &Evidence) -> Vec<String> {
    let mut found = Vec::new();
    for (id, entries) in starts(evidence) {
        if evidence.wanted.get(id).is_none_or(|wanted| wanted.idempotent) {
            continue;
        }
        let mut seen = BTreeSet::new();
        for entry in entries {
            if !entry.resumed && !seen.insert(entry.member) {
                found.push(format!(
                    "{id}: member {} was started again at {}",
                    entry.member, entry.at
                ));
            }
        }
    }
    found
}

fn leaving(evidence: &Evidence) -> Vec<String> {
    let mut found = Vec::new();
    let limit = |entry: &Entry| evidence.leaving.get(&entry.endpoint).map(|at| *at + LEAVING_MAX);
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
                "{} got {} at {} while leaving",
                entry.endpoint, entry.job, entry.at
            ));
        }
    }
    found
}

fn cut_off(evidence: &Evidence) -> Vec<String> {
    let mut found = Vec::new();
    for told in &evidence.told {
        if let Told::Broken { at, id, planned: true } = told {
            found.push(format!("the request for {id} was cut off by a planned stop at {at}"));
        }
    }
    found
}

fn tickets(evidence: &Evidence) -> Vec<String> {
    let mut found = Vec::new();
    let mut newest: BTreeMap<usize, u64> = BTreeMap::new();
    for used in &evidence.uses {
        let before = newest.insert(used.node, used.number).unwrap_or(0);
        if used.number < before {
            found.push(format!(
                "i{} went back from ticket {before} to {} at {}",
                used.node, used.number, used.at
            ));
        }
    }
    for told in &evidence.told {
        let Told::Ticket {
            at,
            number,
            digest,
            result,
        } = told
        else {
            continue;
        };
        let log = evidence.logs.get(number);
        let kept = log.is_some_and(|log| log.digest == *digest);
        let Ok(view) = result else {
            if result.as_ref().is_err_and(|error| error.not_run) && kept && !was_taken(evidence, *number, digest) {
                found.push(format!(
                    "ticket {number} is in the log, and its operator was told at {at} that it is not"
                ));
            }
            continue;
        };
        if !kept || log.is_some_and(|log| log.state != TicketState::Accepted) {
            found.push(format!("ticket {number}, told of at {at}, is not in force at the end"));
        }
        if view.state != TicketState::Accepted {
            continue;
        }
        for used in evidence
            .uses
            .iter()
            .filter(|used| used.at > *at && used.number < *number)
        {
            found.push(format!(
                "i{} used ticket {} at {} after {number} was accepted",
                used.node, used.number, used.at
            ));
        }
    }
    found
}

/// Whether another request with this number and body got it taken; an error about an earlier one is then no lie.
fn was_taken(evidence: &Evidence, number: u64, digest: &str) -> bool {
    evidence.told.iter().any(
        |told| matches!(told, Told::Ticket { number: n, digest: d, result: Ok(_), .. } if *n == number && d == digest),
    )
}

/// Whether callers have nothing left to wait for.
pub fn is_final(state: JobState) -> bool {
    state == JobState::Ended
}
