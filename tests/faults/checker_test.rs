//! Tests that the checker reports each broken promise in hand-written evidence.

use standin::record::{Entry, TaskEvent};
use yuccaridge::api::{ApiError, Code, JobState, JobView, TicketView};
use yuccaridge::job::{JobRow, Outcome, Phase};
use yuccaridge::row::{TicketLogRow, TicketState};
use yuccaridge::time::Millis;

use super::checker::check;
use super::evidence::{Evidence, RequestKind, Response, TicketUse};
use super::life_cycle;
use super::simulation::endpoint_name;

fn entry(at: u64, member: u16, members: u16, event: TaskEvent) -> Entry {
    Entry {
        at: Millis(at),
        endpoint: endpoint_name(member),
        job: "j".parse().expect("a valid id"),
        attempt: 1,
        member,
        members,
        resumed: false,
        event,
    }
}

fn job_response(outcome: Outcome) -> Response {
    let view = JobView {
        id: "j".parse().expect("a valid id"),
        state: JobState::Ended,
        outcome: Some(outcome),
        attempt: 1,
        pool: None,
        endpoints: Vec::new(),
        trace: None,
    };
    let id = view.id.clone();
    Response::Job {
        at: Millis(9),
        id,
        request: RequestKind::Poll,
        result: Ok(view),
    }
}

/// Evidence of a non-idempotent job that ran correctly to its end.
fn valid_evidence() -> Evidence {
    let (spec, expected) = life_cycle::gang("a", 2, 1000, 1);
    let id: yuccaridge::name::JobId = "j".parse().expect("a valid id");
    let answer = expected.answer.clone();
    let row = JobRow {
        id: id.clone(),
        spec,
        digest: String::new(),
        pool: "p".parse().expect("a valid name"),
        attempt: 1,
        phase: Phase::Ended {
            outcome: Outcome::Completed { answer: answer.clone() },
        },
        cancel: false,
        started: true,
        checkpoint: None,
        stored: None,
        trace: None,
    };
    let mut evidence = Evidence {
        end: Millis(100_000),
        ..Evidence::default()
    };
    for member in 0..2 {
        for (at, event) in [
            (1, TaskEvent::Held),
            (2, TaskEvent::Started),
            (1002, TaskEvent::Finished),
        ] {
            evidence.record.push(entry(at, member, 2, event));
        }
    }
    evidence.rows.insert(id.clone(), row);
    evidence.expected.insert(
        id,
        super::evidence::ExpectedJob {
            idempotent: false,
            ..expected
        },
    );
    evidence.responses.push(job_response(Outcome::Completed { answer }));
    evidence
}

type Violate = fn(&mut Evidence);

const VIOLATIONS: [(u8, Violate); 14] = [
    (0, |evidence| {
        evidence.rows.values_mut().for_each(|row| row.phase = Phase::Queued);
    }),
    (1, |evidence| {
        evidence.must_start.insert("urgent".parse().expect("a valid id"));
    }),
    (1, |evidence| {
        evidence.guaranteed.insert("j".parse().expect("a valid id"));
        evidence.record.push(entry(500, 0, 2, TaskEvent::Stopped));
    }),
    (2, |evidence| evidence.record.retain(|entry| entry.member == 0)),
    (2, |evidence| {
        evidence
            .record
            .retain(|entry| entry.member == 0 && entry.event != TaskEvent::Finished);
    }),
    (3, |evidence| {
        evidence.responses.push(job_response(Outcome::Completed {
            answer: serde_json::json!(["x"]),
        }));
    }),
    (4, |evidence| {
        evidence.responses.push(job_response(Outcome::Cancelled { ran: false }));
    }),
    (4, |evidence| {
        evidence.rows.clear();
        let result = Err(ApiError::new(Code::Unavailable, "not run"));
        let id = "j".parse().expect("a valid id");
        evidence.responses.push(Response::Job {
            at: Millis(9),
            id,
            request: RequestKind::Submit,
            result,
        });
    }),
    (5, |evidence| evidence.record.push(entry(50, 1, 2, TaskEvent::Started))),
    (6, |evidence| {
        evidence.leaving_since.insert(endpoint_name(0), Millis::ZERO);
    }),
    (7, |evidence| {
        evidence.responses.push(Response::Disconnected {
            at: Millis(9),
            id: "j".to_owned(),
            planned: true,
        });
    }),
    (8, |evidence| add_accepted_ticket(evidence, 3, 3)),
    (8, |evidence| add_accepted_ticket(evidence, 1, 4)),
    (8, |evidence| {
        for (at, number) in [(1, 2), (2, 1)] {
            evidence.ticket_uses.push(TicketUse {
                at: Millis(at),
                instance: 0,
                number,
            });
        }
    }),
];

/// Adds the response that a ticket was accepted, while one instance uses ticket 1 and the log holds this body.
fn add_accepted_ticket(evidence: &mut Evidence, number: u64, body: u64) {
    let view = TicketView {
        number,
        state: TicketState::Accepted,
        repeated: false,
    };
    let digest = "3".to_owned();
    evidence.responses.push(Response::Ticket {
        at: Millis(9),
        number,
        digest,
        result: Ok(view),
    });
    evidence.ticket_uses.push(TicketUse {
        at: Millis(10),
        instance: 0,
        number: 1,
    });
    let log = TicketLogRow {
        number,
        digest: body.to_string(),
        state: TicketState::Accepted,
        body: serde_json::Value::Null,
    };
    evidence.ticket_log.insert(number, log);
}

/// Guards against a checker that misses a violation or reports it under the wrong promise.
#[test]
fn checker_reports_each_broken_promise() {
    assert_eq!(check(&valid_evidence()), []);
    for (index, (promise, violate)) in VIOLATIONS.iter().enumerate() {
        let mut evidence = valid_evidence();
        violate(&mut evidence);
        // Work for a leaving endpoint violates the promise only after the grace period.
        if *promise == 6 {
            evidence
                .record
                .iter_mut()
                .for_each(|entry| entry.at = entry.at + Millis(3000));
        }

        let found = check(&evidence);

        assert!(
            found.iter().any(|violation| violation.promise == *promise),
            "violation {index} of promise {promise} is reported: {found:?}"
        );
    }
}
