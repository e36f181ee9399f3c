//! The kinds of faults, which are the rows of the matrix, and how they are injected.

use std::collections::BTreeSet;
use std::sync::atomic::Ordering;

use standin::endpoint::Endpoint;
use standin::fake::{Fault, Link, PartFault, Point, Side};
use yuccaridge::name::EndpointName;
use yuccaridge::platform::{Listing, MachineList, Presence, Step};
use yuccaridge::time::Millis;

use super::life_cycle;
use super::simulation::{Simulation, endpoint_name, lock};

const FREEZE_TIME: Millis = Millis::from_secs(15);
const OUTAGE_TIME: Millis = Millis::from_secs(20);
const SLOW_TIME: Millis = Millis::from_secs(10);
/// Duration of a request to a slow table.
const SLOW_REQUEST_TIME: Millis = Millis::from_secs(2);
/// Time for which the list is wrong.
const LIST_WRONG_TIME: Millis = Millis::from_secs(20);
/// Time after which a dead endpoint disappears from the list.
const UNLIST_DELAY: Millis = Millis::from_secs(30);
/// Time after which a delayed request arrives.
const DELIVERY_DELAY: Millis = Millis::from_secs(5);
const CANCELLATION_COUNT: u16 = 200;
/// Number of the conflicting tickets that two operators send.
pub const RACE_TICKET_NUMBER: u64 = 50;

/// A kind of fault; it is injected once in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultKind {
    Killed,
    Frozen,
    Draining,
    TableDown,
    TableSlow,
    TableAnswerLost,
    TableWriteLate,
    ObjectsDown,
    ListIncomplete,
    ListStale,
    EndpointDead,
    EndpointFailing,
    EndpointLeaving,
    RequestLate,
    MessageRepeated,
    PartsReordered,
    RequestCut,
    ResponseCut,
    TicketRace,
    Cancellations,
    FreezeAnswerLost,
    OutageKill,
    TicketRaceKill,
}

/// The fault of a run and the state of its effects.
#[derive(Debug, Default)]
pub struct Injector {
    pub armed: bool,
    /// Points passed since the injector was armed.
    pub points: BTreeSet<(Step, Side)>,
    pub target: Option<(FaultKind, Step, Side)>,
    pub injected_at: Option<Millis>,
    pub table_down_until: Millis,
    table_slow_until: Millis,
    objects_down_until: Millis,
    list_wrong_until: Option<Millis>,
    unlist_at: Option<(Millis, EndpointName)>,
    deliver_at: Option<(Millis, usize)>,
    kill_point: Option<(usize, Step, Side)>,
}

pub fn is_endpoint_step(step: Step) -> bool {
    is_command(step) || step == Step::Report
}

/// Whether the step is a command or call, which changes state at an endpoint.
fn is_command(step: Step) -> bool {
    use Step::{Checkpoint, Forget, Prepare, Refuse, Release, RenewTasks, Send, Stop, Throttle};
    matches!(
        step,
        Prepare | Release | RenewTasks | Checkpoint | Stop | Throttle | Refuse | Forget | Send
    )
}

pub fn is_table_step(step: Step) -> bool {
    !is_endpoint_step(step) && !matches!(step, Step::List | Step::Object)
}

impl FaultKind {
    /// Whether the fault can be injected at this point.
    pub fn applies_at(self, step: Step, side: Side) -> bool {
        let is_write = is_table_step(step) && step != Step::Read;
        match self {
            Self::TableAnswerLost => is_write && side == Side::After,
            Self::TableWriteLate => is_write && side == Side::Before,
            Self::RequestLate => is_command(step) && side == Side::Before,
            Self::MessageRepeated => {
                (is_command(step) && side == Side::Before) || (step, side) == (Step::Send, Side::After)
            }
            Self::PartsReordered => (step, side) == (Step::Send, Side::After),
            Self::RequestCut => is_endpoint_step(step) && side == Side::Before,
            Self::ResponseCut => is_endpoint_step(step) && side == Side::After,
            _ => true,
        }
    }

    /// Why the fault does not apply to a life cycle that passes these points; `None` if it applies.
    pub fn inapplicable_reason(self, points: &BTreeSet<(Step, Side)>) -> Option<&'static str> {
        let passes = |step| points.contains(&(step, Side::Before));
        match self {
            Self::ObjectsDown if !passes(Step::Object) => Some("stores no object"),
            Self::EndpointDead
            | Self::EndpointFailing
            | Self::EndpointLeaving
            | Self::ListIncomplete
            | Self::ListStale
                if !passes(Step::Send) && !passes(Step::Prepare) =>
            {
                Some("uses no endpoint")
            }
            Self::RequestCut | Self::ResponseCut if !points.iter().any(|(step, _)| is_endpoint_step(*step)) => {
                Some("sends no request to an endpoint")
            }
            Self::PartsReordered if !passes(Step::Send) => Some("has no answer in parts"),
            Self::RequestLate | Self::MessageRepeated if !points.iter().any(|(step, _)| is_command(*step)) => {
                Some("sends no command or call")
            }
            Self::TableAnswerLost | Self::TableWriteLate
                if !points.iter().any(|(step, _)| is_life_cycle_write(*step)) =>
            {
                Some("makes no write of its own")
            }
            _ => None,
        }
    }

    /// Minimum time for which a run continues after the fault.
    pub fn settle_time(self) -> Millis {
        match self {
            Self::TableDown | Self::ObjectsDown | Self::OutageKill | Self::ListIncomplete | Self::ListStale => {
                OUTAGE_TIME + Millis::from_secs(8)
            }
            Self::TableSlow => SLOW_TIME + Millis::from_secs(8),
            Self::Killed | Self::TicketRaceKill | Self::Draining => Millis::from_secs(10),
            _ => Millis::from_secs(6),
        }
    }
}

/// Whether the step writes for a life cycle. Session renewals do not count: they happen without any life cycle.
fn is_life_cycle_write(step: Step) -> bool {
    is_table_step(step) && !matches!(step, Step::Read | Step::Renew)
}

/// The fault for this request at this point. The injector is not locked while the simulation advances.
pub fn fault_at(sim: &Simulation, index: usize, point: &Point) -> Fault {
    let injected = {
        let mut injector = lock(&sim.injector);
        if !injector.armed {
            return Fault::None;
        }
        injector.points.insert((point.step, point.side));
        if injector.kill_point == Some((index, point.step, point.side)) {
            sim.instances[index].kill();
            return Fault::Cut;
        }
        let target = injector.target;
        match target {
            Some((kind, step, side)) if injector.injected_at.is_none() && (step, side) == (point.step, point.side) => {
                injector.injected_at = Some(sim.now());
                Some(kind)
            }
            _ => None,
        }
    };
    let fault = injected.map_or(Fault::None, |kind| inject(sim, index, point, kind));
    if fault == Fault::None {
        lasting_fault(sim, point)
    } else {
        fault
    }
}

/// Effect of an outage or a slow table that is still in progress.
fn lasting_fault(sim: &Simulation, point: &Point) -> Fault {
    let now = sim.now();
    let (down, slow) = {
        let injector = lock(&sim.injector);
        let table = is_table_step(point.step);
        let down = (table && now < injector.table_down_until)
            || (point.step == Step::Object && now < injector.objects_down_until);
        (down, table && now < injector.table_slow_until)
    };
    if down {
        return Fault::Cut;
    }
    if slow && point.side == Side::Before {
        sim.run_for(SLOW_REQUEST_TIME);
    }
    Fault::None
}

fn inject(sim: &Simulation, index: usize, point: &Point, kind: FaultKind) -> Fault {
    let now = sim.now();
    let instance = &sim.instances[index];
    match kind {
        FaultKind::Killed => instance.kill(),
        FaultKind::Frozen => freeze(sim, index),
        FaultKind::Draining => instance.drain(now),
        FaultKind::TableDown => lock(&sim.injector).table_down_until = now + OUTAGE_TIME,
        FaultKind::TableSlow => lock(&sim.injector).table_slow_until = now + SLOW_TIME,
        FaultKind::ObjectsDown => lock(&sim.injector).objects_down_until = now + OUTAGE_TIME,
        FaultKind::ListIncomplete
        | FaultKind::ListStale
        | FaultKind::EndpointDead
        | FaultKind::EndpointFailing
        | FaultKind::EndpointLeaving => {
            inject_endpoint_fault(sim, point, kind);
        }
        FaultKind::TableWriteLate | FaultKind::RequestLate => {
            lock(&sim.injector).deliver_at = Some((now + DELIVERY_DELAY, index));
            return Fault::Delay;
        }
        FaultKind::MessageRepeated if point.side == Side::Before => return Fault::Repeat,
        FaultKind::MessageRepeated => return Fault::Parts(PartFault::Duplicated),
        FaultKind::PartsReordered => return Fault::Parts(PartFault::Reversed),
        FaultKind::TableAnswerLost | FaultKind::RequestCut | FaultKind::ResponseCut => return Fault::Cut,
        FaultKind::TicketRace => life_cycle::send_conflicting_tickets(sim, index),
        FaultKind::Cancellations => life_cycle::submit_cancelled_jobs(sim, CANCELLATION_COUNT),
        FaultKind::FreezeAnswerLost => {
            freeze(sim, index);
            return Fault::Cut;
        }
        FaultKind::OutageKill => {
            lock(&sim.injector).table_down_until = now + OUTAGE_TIME;
            instance.kill();
        }
        FaultKind::TicketRaceKill => {
            life_cycle::send_conflicting_tickets(sim, index);
            lock(&sim.injector).kill_point = Some((index, Step::Pending, Side::After));
        }
    }
    Fault::None
}

fn freeze(sim: &Simulation, index: usize) {
    let frozen = &sim.instances[index].frozen;
    frozen.store(true, Ordering::Relaxed);
    sim.run_for(FREEZE_TIME);
    frozen.store(false, Ordering::Relaxed);
}

/// The platform's current list.
fn current_list(sim: &Simulation) -> MachineList {
    Link::new(&sim.platform).list().expect("the list answers")
}

fn show_list(sim: &Simulation, list: Option<&MachineList>) {
    for instance in &sim.instances {
        instance.link.set_list(list.cloned());
    }
}

/// Injects an endpoint or list fault for the endpoint of the point or, if it has none, for a busy endpoint.
fn inject_endpoint_fault(sim: &Simulation, point: &Point, kind: FaultKind) {
    let now = sim.now();
    let busy = sim.busy_endpoints().into_iter().next();
    let target = point.endpoint.clone().or(busy).unwrap_or_else(|| endpoint_name(0));
    let mut listed = current_list(sim);
    let set_leaving = |endpoint: &mut Endpoint, _| endpoint.listed_mut().presence = Presence::Leaving;
    match kind {
        FaultKind::ListIncomplete => {
            listed.endpoints.retain(|endpoint| endpoint.name != target);
            show_list(sim, Some(&listed));
            lock(&sim.injector).list_wrong_until = Some(now + LIST_WRONG_TIME);
        }
        FaultKind::ListStale => {
            show_list(sim, Some(&listed));
            lock(&sim.injector).list_wrong_until = Some(now + LIST_WRONG_TIME);
            sim.platform.with_endpoint(&target, set_leaving);
            sim.evidence().leaving_since.insert(target, now + LIST_WRONG_TIME);
        }
        FaultKind::EndpointDead => {
            sim.platform.with_endpoint(&target, Endpoint::kill);
            lock(&sim.injector).unlist_at = Some((now + UNLIST_DELAY, target));
        }
        FaultKind::EndpointFailing => drop(
            sim.platform
                .with_endpoint(&target, |endpoint, _| endpoint.set_fails_all(true)),
        ),
        _ => {
            sim.platform.with_endpoint(&target, set_leaving);
            sim.evidence().leaving_since.insert(target, now);
        }
    }
}

/// Restores the list, removes a dead endpoint from it and delivers delayed requests when they are due.
pub fn apply_due_changes(sim: &Simulation) {
    let now = sim.now();
    let (list_restored, unlist_at, deliver_at) = {
        let mut injector = lock(&sim.injector);
        let list_restored = injector.list_wrong_until.take_if(|until| now >= *until);
        let unlist_at = injector.unlist_at.take_if(|(at, _)| now >= *at);
        (
            list_restored,
            unlist_at,
            injector.deliver_at.take_if(|(at, _)| now >= *at),
        )
    };
    if list_restored.is_some() {
        show_list(sim, None);
    }
    if let Some((_, endpoint)) = unlist_at {
        let mut listed = current_list(sim);
        listed.endpoints.retain(|known| known.name != endpoint);
        show_list(sim, Some(&listed));
    }
    if let Some((_, index)) = deliver_at {
        sim.instances[index].link.deliver();
    }
}
