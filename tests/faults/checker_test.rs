//! Shows that the checker notices each broken promise in evidence written by hand.

use standin::record::{Entry, TaskEvent};
use yuccaridge::api::{ApiError, Code, JobState, JobView, TicketView};
use yuccaridge::job::{JobRow, Outcome, Phase};
use yuccaridge::row::{TicketLogRow, TicketState};
use yuccaridge::time::Millis;

use super::checker::check;
use super::evidence::{Asked, Evidence, Told, Use};
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

fn told(outcome: Outcome) -> Told {
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
    Told::Job {
        at: Millis(9),
        id,
        asked: Asked::Look,
        result: Ok(view),
    }
}

/// A non-idempotent job that has run to its end as it should.
fn sound() -> Evidence {
    let (spec, wanted) = life_cycle::gang("a", 2, 1000, 1);
    let id: yuccaridge::name::JobId = "j".parse().expect("a valid id");
    let answer = wanted.answer.clone();
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
    evidence.wanted.insert(
        id,
        super::evidence::Wanted {
            idempotent: false,
            ..wanted
        },
    );
    evidence.told.push(told(Outcome::Completed { answer }));
    evidence
}

type Breaks = fn(&mut Evidence);

const BREAKS: [(u8, Breaks); 14] = [
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
        evidence.told.push(told(Outcome::Completed {
            answer: serde_json::json!(["x"]),
        }));
    }),
    (4, |evidence| {
        evidence.told.push(told(Outcome::Cancelled { ran: false }));
    }),
    (4, |evidence| {
        evidence.rows.clear();
        let result = Err(ApiError::new(Code::Unavailable, "not run"));
        let id = "j".parse().expect("a valid id");
        evidence.told.push(Told::Job {
            at: Millis(9),
            id,
            asked: Asked::Submit,
            result,
        });
    }),
    (5, |evidence| evidence.record.push(entry(50, 1, 2, TaskEvent::Started))),
    (6, |evidence| {
        evidence.leaving.insert(endpoint_name(0), Millis::ZERO);
    }),
    (7, |evidence| {
        evidence.told.push(Told::Broken {
            at: Millis(9),
            id: "j".to_owned(),
            planned: true,
        });
    }),
    (8, |evidence| accept(evidence, 3, 3)),
    (8, |evidence| accept(evidence, 1, 4)),
    (8, |evidence| {
        for (at, number) in [(1, 2), (2, 1)] {
            evidence.uses.push(Use {
                at: Millis(at),
                node: 0,
                number,
            });
        }
    }),
];

/// Tells of a ticket as accepted, while one instance uses another and the log holds this body.
fn accept(evidence: &mut Evidence, number: u64, body: u64) {
    let view = TicketView {
        number,
        state: TicketState::Accepted,
        repeated: false,
    };
    let digest = "3".to_owned();
    evidence.told.push(Told::Ticket {
        at: Millis(9),
        number,
        digest,
        result: Ok(view),
    });
    evidence.uses.push(Use {
        at: Millis(10),
        node: 0,
        number: 1,
    });
    let log = TicketLogRow {
        number,
        digest: body.to_string(),
        state: TicketState::Accepted,
        body: serde_json::Value::Null,
    };
    evidence.logs.insert(number, log);
}

/// Guards against a checker that sees nothing, or sees the wrong promise.
#[test]
fn checker_notices_each_broken_promise() {
    assert_eq!(check(&sound()), []);
    for (index, (promise, breaks)) in BREAKS.iter().enumerate() {
        let mut evidence = sound();
        breaks(&mut evidence);
        // Work that a leaving endpoint got is new only if it came late.
        if *promise == 6 {
            evidence
                .record
                .iter_mut()
                .for_each(|entry| entry.at = entry.at + Millis(3000));
        }

        let found = check(&evidence);

        assert!(
            found.iter().any(|violation| violation.promise == *promise),
            "{index}: {found:?}"
        );
    }
}
