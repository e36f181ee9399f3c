//! The advice service: which workers may run a step, and the tickets for them.

use std::net::TcpListener;
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use crate::http::{Answer, Request, serve};
use crate::json::{Json, object};
use crate::workers::Fleet;

pub const DECIDE_MS: u64 = 400;
/// Added to [`DECIDE_MS`] for each worker that a call names.
pub const PERIOD_MS: u64 = 20;
pub const VALID_MS: u64 = 3_000;
/// Waiting calls from which further ones are refused.
const WAITING_MAX: u64 = 32;

/// Settings of a queue with advice.
pub fn terms() -> Json {
    object([
        ("decide_ms", DECIDE_MS.into()),
        ("period_ms", PERIOD_MS.into()),
        ("valid_ms", VALID_MS.into()),
    ])
}

/// Whether the policy allows a worker to run a step: two workers of three, which differ by step.
pub fn allows(step: &str, worker: usize) -> bool {
    let sum: usize = step.bytes().map(usize::from).sum();
    !(sum + worker).is_multiple_of(3)
}

/// Calls in the order of their arrival. Only the leader calls, so one queue stands for that of its machine.
#[derive(Default)]
struct Turns {
    next: u64,
    serving: u64,
}

/// Starts the service; returns its address.
pub fn start(fleet: &Arc<Fleet>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    let fleet = Arc::clone(fleet);
    let turns = (Mutex::new(Turns::default()), Condvar::new());
    // The service answers until the rig ends.
    let _ = serve(listener, move |request| advise(&fleet, &turns, request));
    address
}

fn advise(fleet: &Fleet, turns: &(Mutex<Turns>, Condvar), request: &Request) -> Answer {
    let body = Json::parse(&request.body)?;
    let step = body.get("step").text().to_owned();
    let named = body.get("workers").list();
    {
        let (lock, served) = turns;
        let mut state = lock.lock().unwrap();
        if state.next - state.serving > WAITING_MAX {
            return Some((429, "{}".to_owned()));
        }
        let turn = state.next;
        state.next += 1;
        while state.serving < turn {
            state = served.wait(state).unwrap();
        }
    }
    std::thread::sleep(Duration::from_millis(DECIDE_MS + PERIOD_MS * named.len() as u64));
    let ids = fleet.ids();
    let mut allowed = Vec::new();
    for name in named {
        let index = ids.iter().position(|id| *id == name.text());
        if index.is_some_and(|index| allows(&step, index)) {
            let ticket = fleet.issue(&step, name.text(), VALID_MS);
            allowed.push(vec![name.clone(), (&*ticket).into()].into());
        }
    }
    let (lock, served) = turns;
    lock.lock().unwrap().serving += 1;
    served.notify_all();
    fleet.note_advice(&step, named.len(), allowed.len());
    let body = object([("allowed", allowed.into()), ("valid_ms", VALID_MS.into())]);
    Some((200, body.to_string()))
}
