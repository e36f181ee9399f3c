//! Operators: each sends one ticket and polls until it is accepted.

use yuccaridge::api::{ApiError, TicketView};
use yuccaridge::row::{TicketState, digest};
use yuccaridge::ticket::TicketError;
use yuccaridge::time::Millis;

use super::actor::Actor;
use super::evidence::Response;
use super::simulation::Simulation;

const RETRY_PAUSE: Millis = Millis(500);
/// Pause between two requests for the state of the ticket.
const CONFIRM_PAUSE: Millis = Millis(100);
const RETRY_TIMEOUT: Millis = Millis::from_secs(300);

/// A client that sends one ticket.
#[derive(Debug)]
pub struct Operator {
    number: u64,
    body: Vec<u8>,
    instance: usize,
    submitted: bool,
    start: Millis,
    due: Millis,
}

impl Operator {
    pub fn new(number: u64, body: &serde_json::Value, instance: usize, start: Millis) -> Self {
        Self {
            number,
            body: serde_json::to_vec(body).expect("bodies serialize"),
            instance,
            submitted: false,
            start,
            due: start,
        }
    }

    fn send(&self, sim: &Simulation, now: Millis) -> Result<TicketView, TicketError> {
        let core = &sim.instances[self.instance].core;
        if self.submitted {
            return core.tickets.confirm(now, self.number);
        }
        core.tickets.put(now, self.number, &self.body)
    }
}

impl Actor for Operator {
    fn instance(&self) -> usize {
        self.instance
    }

    fn step(&mut self, sim: &Simulation, now: Millis) -> bool {
        if now < self.due {
            return false;
        }
        self.instance = sim.accepting_instance(self.instance);
        let result = self.send(sim, now).map_err(ApiError::from);
        let now = sim.now();
        if !sim.instances[self.instance].is_up() {
            sim.record_disconnect(self.instance, &format!("ticket-{}", self.number));
            self.submitted = false;
            self.due = now + RETRY_PAUSE;
            return false;
        }
        let finished = match &result {
            Ok(view) => view.state == TicketState::Accepted,
            Err(error) => !error.repeat || now.since(self.start) > RETRY_TIMEOUT,
        };
        self.due = now + if result.is_ok() { CONFIRM_PAUSE } else { RETRY_PAUSE };
        self.submitted |= result.is_ok();
        let digest = digest(&self.body);
        sim.record_response(Response::Ticket {
            at: now,
            number: self.number,
            digest,
            result,
        });
        finished
    }
}
