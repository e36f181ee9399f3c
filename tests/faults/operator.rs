//! Operators: each sends one ticket and follows it until it is in force.

use yuccaridge::api::{ApiError, TicketView};
use yuccaridge::row::{TicketState, digest};
use yuccaridge::ticket::TicketError;
use yuccaridge::time::Millis;

use super::actor::Actor;
use super::evidence::Told;
use super::simulation::World;

const PAUSE: Millis = Millis(500);
/// Pause between two looks whether the ticket is in force.
const CONFIRM: Millis = Millis(100);
const PATIENCE: Millis = Millis::from_secs(300);

/// An operator with a ticket.
#[derive(Debug)]
pub struct Operator {
    number: u64,
    body: Vec<u8>,
    node: usize,
    taken: bool,
    start: Millis,
    due: Millis,
}

impl Operator {
    pub fn new(number: u64, body: &serde_json::Value, node: usize, start: Millis) -> Self {
        Self {
            number,
            body: serde_json::to_vec(body).expect("bodies serialize"),
            node,
            taken: false,
            start,
            due: start,
        }
    }

    fn ask(&self, world: &World, now: Millis) -> Result<TicketView, TicketError> {
        let core = &world.nodes[self.node].core;
        if self.taken {
            return core.tickets.confirm(now, self.number);
        }
        core.tickets.put(now, self.number, &self.body)
    }
}

impl Actor for Operator {
    fn node(&self) -> usize {
        self.node
    }

    fn step(&mut self, world: &World, now: Millis) -> bool {
        if now < self.due {
            return false;
        }
        self.node = world.open_node(self.node);
        let result = self.ask(world, now).map_err(ApiError::from);
        let now = world.now();
        if !world.nodes[self.node].is_up() {
            world.broken(self.node, &format!("ticket-{}", self.number));
            self.taken = false;
            self.due = now + PAUSE;
            return false;
        }
        let over = match &result {
            Ok(view) => view.state == TicketState::Accepted,
            Err(error) => !error.repeat || now.since(self.start) > PATIENCE,
        };
        self.due = now + if result.is_ok() { CONFIRM } else { PAUSE };
        self.taken |= result.is_ok();
        let digest = digest(&self.body);
        world.tell(Told::Ticket {
            at: now,
            number: self.number,
            digest,
            result,
        });
        over
    }
}
