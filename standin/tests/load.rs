//! The load tool against a fake instance that answers correctly or has one defined fault.

use std::collections::BTreeMap;
use std::io::{self, Read};
use std::sync::Mutex;
use std::time::Duration;

use rouille::{Request, Response, ResponseBody};
use serde_json::{Value, json};
use standin::load::{DirectSender, FlawKind, HttpSender, Load, LoadReport, Mix, RequestType, check_answer};
use standin::sample::{listed, loopback};
use standin::server::{EndpointServer, HttpServer};
use yuccaridge::api::{ApiError, Code};
use yuccaridge::job::{Class, JobSpec};
use yuccaridge::name::{KindName, TeamName};
use yuccaridge::time::SystemClock;

const SEED: u64 = 7;
/// Timeout long enough for any answer to arrive on a busy machine.
const LONG_TIMEOUT: Duration = Duration::from_mins(1);
/// Timeout for answers that never arrive.
const SHORT_TIMEOUT: Duration = Duration::from_millis(600);

/// Behavior of the fake instance.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Behavior {
    Correct,
    /// Returns the answer of another request.
    Foreign,
    /// Omits one part of the answer.
    Partial,
    /// Refuses every submission as busy.
    Busy,
    /// Stores the first submission of each job and breaks the connection before its answer.
    LosesAnswers,
    /// Like `LosesAnswers`, and refuses all lookups.
    LosesThenRefuses,
    /// Accepts batch jobs and answers lookups with not found.
    Forgets,
}

type Jobs = Mutex<BTreeMap<String, JobSpec>>;

struct FailingBody;

impl Read for FailingBody {
    fn read(&mut self, _: &mut [u8]) -> io::Result<usize> {
        Err(io::ErrorKind::ConnectionAborted.into())
    }
}

fn instance(behavior: Behavior) -> HttpServer {
    let jobs = Jobs::default();
    HttpServer::start(loopback(), move |request| answer(behavior, &jobs, request)).unwrap()
}

fn answer(behavior: Behavior, jobs: &Jobs, request: &Request) -> Response {
    let id = request.url().trim_start_matches("/v1/jobs/").to_owned();
    let refusal = |code: Code| Response::json(&ApiError::new(code, "no")).with_status_code(code.status());
    let mut jobs = jobs.lock().unwrap();
    if request.method() == "GET" {
        return match jobs.get(&id) {
            _ if behavior == Behavior::LosesThenRefuses => refusal(Code::Unavailable),
            Some(spec) if behavior != Behavior::Forgets => view(behavior, &id, spec),
            _ => refusal(Code::NotFound),
        };
    }
    if behavior == Behavior::Busy {
        return refusal(Code::Busy);
    }
    let spec: JobSpec = serde_json::from_reader(request.data().unwrap()).unwrap();
    let class = spec.class;
    let is_new = jobs.insert(id.clone(), spec).is_none();
    if is_new && matches!(behavior, Behavior::LosesAnswers | Behavior::LosesThenRefuses) {
        return Response {
            status_code: 200,
            headers: Vec::new(),
            data: ResponseBody::from_reader_and_size(FailingBody, 1),
            upgrade: None,
        };
    }
    if class == Class::Batch {
        return Response::json(&json!({ "id": id, "state": "queued", "attempt": 0 }));
    }
    view(behavior, &id, &jobs[&id])
}

fn view(behavior: Behavior, id: &str, spec: &JobSpec) -> Response {
    let mut pieces = match spec.class {
        Class::Call => spec.payload["parts"].as_u64().unwrap(),
        Class::Batch => u64::from(spec.shape.members),
    };
    let mut answer = spec.payload["answer"].clone();
    match behavior {
        Behavior::Foreign => answer = json!({ "request": "other" }),
        Behavior::Partial => pieces -= 1,
        _ => {}
    }
    let answer = vec![answer; pieces as usize];
    let outcome = json!({ "outcome": "completed", "answer": answer });
    Response::json(&json!({ "id": id, "state": "ended", "attempt": 1, "outcome": outcome }))
}

fn load(calls_share: f64) -> Load {
    Load {
        mix: Mix {
            run: "test".to_owned(),
            seed: SEED,
            calls_share,
            non_idempotent_share: 0.5,
            teams: vec![TeamName::new("t").unwrap()],
            call_kind: KindName::new("query").unwrap(),
            batch_kind: KindName::new("plan").unwrap(),
            pool: None,
            call_ms: 0,
            parts: 3,
            batch_ms: 0,
            members: vec![1, 4],
            accelerators: 1,
        },
        rate: 1000.0,
        requests: 24,
        threads: 8,
        interval: Duration::from_millis(1),
    }
}

fn run(behavior: Behavior, calls_share: f64, timeout: Duration) -> LoadReport {
    let servers = [instance(behavior)];
    let targets = servers.iter().map(HttpServer::address).collect();
    load(calls_share)
        .run(&HttpSender::new(targets, timeout), |_| {})
        .unwrap()
}

/// Number of requests by outcome, over all types.
fn outcomes(report: &LoadReport) -> BTreeMap<String, u64> {
    let mut sums = BTreeMap::new();
    for (outcome, count) in report.by_type.values().flat_map(|type_report| &type_report.outcomes) {
        *sums.entry(outcome.clone()).or_default() += count;
    }
    sums
}

fn all(outcome: &str) -> BTreeMap<String, u64> {
    BTreeMap::from([(outcome.to_owned(), 24)])
}

#[test]
fn correct_answers_are_counted_by_type() {
    let report = run(Behavior::Correct, 0.5, LONG_TIMEOUT);
    assert!(report.is_clean(), "{report}");
    assert_eq!(outcomes(&report), all("completed"));
    assert_eq!(report.by_type.len(), 3);
    let batch = &report.by_type[&RequestType::Batch];
    assert_eq!(batch.accepted.count, batch.completed.count);
    assert!(batch.completed.max > 0.0);
}

/// Guards against counting a request as completed when its answer is another request's or incomplete.
#[test]
fn foreign_and_partial_answers_are_wrong() {
    for behavior in [Behavior::Foreign, Behavior::Partial] {
        let report = run(behavior, 0.5, LONG_TIMEOUT);
        assert_eq!(report.flaw_counts, BTreeMap::from([(FlawKind::Wrong, 24)]), "{report}");
        assert_eq!(outcomes(&report), all("wrong"));
    }
}

#[test]
fn refusals_are_not_flaws() {
    let report = run(Behavior::Busy, 0.5, LONG_TIMEOUT);
    assert!(report.is_clean(), "{report}");
    assert_eq!(outcomes(&report), all("refused: busy"));
    assert_eq!(report.refusals["refused: busy"], "no");
}

#[test]
fn lost_answers_are_looked_up() {
    let report = run(Behavior::LosesAnswers, 0.5, LONG_TIMEOUT);
    assert!(report.is_clean(), "{report}");
    assert_eq!(outcomes(&report), all("completed"));
}

/// Guards against a later refusal that hides the lost answer of the first submission.
#[test]
fn refusal_after_a_lost_answer_does_not_count() {
    let report = run(Behavior::LosesThenRefuses, 1.0, SHORT_TIMEOUT);
    assert_eq!(outcomes(&report), all("missing"), "{report}");
}

/// Guards against overlooking accepted jobs that the instance no longer knows.
#[test]
fn forgotten_batch_jobs_are_missing() {
    let report = run(Behavior::Forgets, 0.0, SHORT_TIMEOUT);
    assert_eq!(
        report.flaw_counts,
        BTreeMap::from([(FlawKind::Missing, 24)]),
        "{report}"
    );
}

/// Guards against truncated times: no call can end before its work is done.
#[test]
fn direct_calls_take_as_long_as_their_work() {
    let endpoint = EndpointServer::start(listed("w"), 1.0, SystemClock::start()).unwrap();
    let report = load(1.0)
        .run(&DirectSender::new(endpoint.address(), LONG_TIMEOUT), |_| {})
        .unwrap();
    assert!(report.is_clean(), "{report}");
    assert_eq!(outcomes(&report), all("completed"));
}

#[test]
fn requests_are_the_same_in_each_run() {
    let mix = load(0.5).mix;
    let first: Vec<_> = (0..50).map(|number| mix.request(number).unwrap()).collect();
    let second: Vec<_> = (0..50).map(|number| mix.request(number).unwrap()).collect();
    assert_eq!(first, second);
}

#[test]
fn answer_must_contain_the_request_id_in_each_piece() {
    let piece = json!({ "request": "a" });
    let right: [(Value, usize); 3] = [
        (piece.clone(), 1),
        (json!([piece, piece]), 2),
        (json!({ "members": { "0": piece, "1": [piece] } }), 2),
    ];
    for (answer, count) in right {
        assert_eq!(check_answer(&answer, "a", count), None);
    }
    for (answer, count) in [
        (Value::Null, 1),
        (json!("a"), 1),
        (json!([piece]), 2),
        (json!([piece, { "request": "b" }]), 2),
        (json!([piece, piece, piece]), 2),
    ] {
        check_answer(&answer, "a", count).unwrap();
    }
}
