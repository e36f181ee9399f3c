//! Fixture: an advice service in virtual time.
//!
//! It takes time for each call, handles the calls in turn, rejects further ones while too many wait, and goes on with a
//! call that its caller has given up. A ticket is valid from the time at which its call is answered.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use yuccaridge::dispatch::AdviceRequest;
use yuccaridge::port::{Advice, AdviceTerms, OrderError, Refusal};

use crate::world::name;

/// Waiting calls from which further ones are rejected.
pub const WAITING_MAX: usize = 32;

/// How the service treats calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Behavior {
    /// Handles them, each in this multiple of the time of its terms.
    Serving(u64),
    /// Rejects all new ones.
    Rejecting,
    /// Drops all new ones without an answer.
    Silent,
}

/// A call that is waiting or being handled.
#[derive(Debug)]
struct Call {
    request: AdviceRequest,
    terms: AdviceTerms,
    gives_up_at: u64,
    /// Leader that waits for the answer; `None` once it has given up.
    caller: Option<u64>,
}

/// An issued ticket.
#[derive(Debug)]
struct Ticket {
    step: Arc<str>,
    endpoint: Arc<str>,
    born: u64,
    valid_until: u64,
    call: usize,
}

/// An answer for the caller: its number, the request and the advice.
pub type Answer = (u64, AdviceRequest, Result<Advice, OrderError>);

/// The service and what it has recorded.
#[derive(Debug)]
pub struct AdviceService {
    behavior: Behavior,
    /// Of three endpoints, this many may run a step.
    pub allowed_thirds: usize,
    waiting: VecDeque<Call>,
    /// Calls that were dropped, with the time at which their callers give up.
    dropped: Vec<Call>,
    /// When the call at the head of the queue is answered.
    busy_until: Option<u64>,
    tickets: BTreeMap<Arc<str>, Ticket>,
    /// Number of calls that it has handled.
    pub handled: usize,
    /// Handled calls whose tickets started a task.
    pub used: BTreeSet<usize>,
    /// Number of starts with an expired ticket.
    pub expired_starts: usize,
    /// Number of calls that it has rejected.
    pub rejected: usize,
    /// When it last had a call to handle.
    busy_at: u64,
    silent_since: Option<u64>,
    /// Time from which its callers have to use it, after it was silent.
    trusted_from: u64,
    /// Time that it needs for the longest call so far.
    longest_ms: u64,
}

impl AdviceService {
    pub fn new() -> Self {
        Self {
            behavior: Behavior::Serving(1),
            allowed_thirds: 2,
            waiting: VecDeque::new(),
            dropped: Vec::new(),
            busy_until: None,
            tickets: BTreeMap::new(),
            handled: 0,
            used: BTreeSet::new(),
            expired_starts: 0,
            rejected: 0,
            busy_at: 0,
            silent_since: None,
            trusted_from: 0,
            longest_ms: 0,
        }
    }

    /// Whether a step may run on an endpoint; the same for all its incarnations.
    pub fn allows(&self, step: &str, endpoint: &str) -> bool {
        let sum: usize = step.bytes().chain(endpoint.bytes()).map(usize::from).sum();
        sum % 3 < self.allowed_thirds
    }

    /// Changes how it treats calls.
    pub fn behave(&mut self, behavior: Behavior, now: u64) {
        if behavior == Behavior::Silent {
            self.silent_since.get_or_insert(now);
        } else if matches!(behavior, Behavior::Serving(_))
            && let Some(since) = self.silent_since.take()
        {
            // A caller cannot tell lost answers from late ones, and may wait once more for as long as it has waited.
            self.trusted_from = now + (now - since) + 4 * self.longest_ms + 1_000;
        }
        self.behavior = behavior;
    }

    /// Whether it serves and has had no call for a moment, and its callers have had time to notice that it serves.
    pub fn is_idle(&self, now: u64) -> bool {
        matches!(self.behavior, Behavior::Serving(_)) && now > self.busy_at && now >= self.trusted_from
    }

    /// Number of calls that it has not answered.
    pub fn waiting_calls(&self) -> usize {
        self.waiting.len()
    }

    /// Takes a call of a leader; returns the answer if it is rejected.
    pub fn call(&mut self, caller: u64, request: AdviceRequest, terms: AdviceTerms, now: u64) -> Option<Answer> {
        let is_full = self.waiting.len() > WAITING_MAX;
        if self.behavior == Behavior::Rejecting || is_full && self.behavior != Behavior::Silent {
            self.rejected += 1;
            let error = OrderError::Refused {
                refusal: Refusal::Unwell,
                clock_ms: None,
            };
            return Some((caller, request, Err(error)));
        }
        let names = request.endpoints.len() as u64;
        self.longest_ms = self.longest_ms.max(terms.decide_ms + terms.period_ms * names);
        let call = Call {
            gives_up_at: now + request.timeout_ms,
            request,
            terms,
            caller: Some(caller),
        };
        if self.behavior == Behavior::Silent {
            self.dropped.push(call);
        } else {
            self.waiting.push_back(call);
        }
        None
    }

    /// Handles calls until `now`; returns the answers, and the failures of calls that were given up. `born` holds the
    /// present incarnations.
    pub fn advance(&mut self, born: &BTreeMap<Arc<str>, u64>, now: u64) -> Vec<Answer> {
        let mut answers = Vec::new();
        if !self.waiting.is_empty() {
            self.busy_at = now;
        }
        if self.busy_until.is_some_and(|until| until <= now) {
            self.busy_until = None;
            if let Some(call) = self.waiting.pop_front() {
                answers.extend(self.answer(call, born, now));
            }
        }
        if self.busy_until.is_none()
            && let Some(call) = self.waiting.front()
        {
            let names = call.request.endpoints.len() as u64;
            let slowness = match self.behavior {
                Behavior::Serving(slowness) => slowness,
                Behavior::Rejecting | Behavior::Silent => 1,
            };
            self.busy_until = Some(now + (call.terms.decide_ms + call.terms.period_ms * names) * slowness);
        }
        for call in self.waiting.iter_mut().chain(&mut self.dropped) {
            if call.gives_up_at <= now
                && let Some(caller) = call.caller.take()
            {
                let error = OrderError::Unknown("no response in time".to_owned());
                answers.push((caller, call.request.clone(), Err(error)));
            }
        }
        self.dropped.retain(|call| call.caller.is_some());
        answers
    }

    fn answer(&mut self, call: Call, born: &BTreeMap<Arc<str>, u64>, now: u64) -> Option<Answer> {
        let mut allowed = Vec::new();
        for endpoint in &call.request.endpoints {
            let Some(born) = born.get(endpoint).filter(|_| self.allows(&call.request.step, endpoint)) else {
                continue;
            };
            let text = name(&format!("ticket {}", self.tickets.len()));
            let ticket = Ticket {
                step: Arc::clone(&call.request.step),
                endpoint: Arc::clone(endpoint),
                born: *born,
                valid_until: now + call.terms.valid_ms,
                call: self.handled,
            };
            self.tickets.insert(Arc::clone(&text), ticket);
            allowed.push((Arc::clone(endpoint), text));
        }
        self.handled += 1;
        Some((
            call.caller?,
            call.request,
            Ok(Advice {
                allowed,
                valid_ms: Some(call.terms.valid_ms),
            }),
        ))
    }

    /// Whether an endpoint accepts a start with this ticket.
    pub fn accepts(&mut self, ticket: &str, step: &str, endpoint: &str, born: u64, now: u64) -> bool {
        let Some(ticket) = self.tickets.get(ticket) else {
            return false;
        };
        if *ticket.step != *step || *ticket.endpoint != *endpoint || ticket.born != born {
            return false;
        }
        if ticket.valid_until <= now {
            self.expired_starts += 1;
            return false;
        }
        self.used.insert(ticket.call);
        true
    }
}
