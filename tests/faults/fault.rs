//! The faults: the rows of the matrix.

use std::collections::BTreeSet;
use std::sync::atomic::Ordering;

use standin::endpoint::Endpoint;
use standin::fake::{Fault, Link, PartFault, Point, Side};
use yuccaridge::name::EndpointName;
use yuccaridge::platform::{Listing, MachineList, Presence, Step};
use yuccaridge::time::Millis;

use super::life_cycle;
use super::simulation::{World, endpoint_name, lock};

const FREEZE: Millis = Millis::from_secs(15);
const OUTAGE: Millis = Millis::from_secs(20);
const SLOW: Millis = Millis::from_secs(10);
/// Time that a request to a slow table takes.
const SLOW_REQUEST: Millis = Millis::from_secs(2);
/// Time for which the list is wrong.
const LIST_LAG: Millis = Millis::from_secs(20);
/// Time after which a dead endpoint is no longer listed.
const UNLISTED_AFTER: Millis = Millis::from_secs(30);
/// Time after which a request that was held back arrives.
const LATE: Millis = Millis::from_secs(5);
const WAVE: u16 = 200;
/// Number of the ticket that two operators send.
pub const RACE_NUMBER: u64 = 50;

/// A fault that is injected once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Row {
    Killed,
    Frozen,
    Draining,
    TableDown,
    TableSlow,
    TableLost,
    TableLate,
    ObjectsDown,
    ListMisses,
    ListOld,
    EndpointDead,
    EndpointBroken,
    EndpointLeaving,
    AnswerLate,
    AnswerRepeated,
    AnswerDisordered,
    CutTo,
    CutFrom,
    Race,
    Wave,
    FreezeLost,
    OutageKill,
    RaceKill,
}

/// The fault of a run, and what is wrong at present.
#[derive(Debug, Default)]
pub struct Injector {
    pub armed: bool,
    /// Points passed since it was armed.
    pub points: BTreeSet<(Step, Side)>,
    pub target: Option<(Row, Step, Side)>,
    pub fired: Option<Millis>,
    pub table_down: Millis,
    table_slow: Millis,
    objects_down: Millis,
    list_until: Option<Millis>,
    unlisted: Option<(Millis, EndpointName)>,
    deliver: Option<(Millis, usize)>,
    kill_at: Option<(usize, Step, Side)>,
}

pub fn is_endpoint_step(step: Step) -> bool {
    is_command(step) || step == Step::Report
}

/// Steps by which an endpoint changes something.
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

impl Row {
    /// Whether it can be injected at a point.
    pub fn applies(self, step: Step, side: Side) -> bool {
        let write = is_table_step(step) && step != Step::Read;
        match self {
            Self::TableLost => write && side == Side::After,
            Self::TableLate => write && side == Side::Before,
            Self::AnswerLate => is_command(step) && side == Side::Before,
            Self::AnswerRepeated => {
                (is_command(step) && side == Side::Before) || (step, side) == (Step::Send, Side::After)
            }
            Self::AnswerDisordered => (step, side) == (Step::Send, Side::After),
            Self::CutTo => is_endpoint_step(step) && side == Side::Before,
            Self::CutFrom => is_endpoint_step(step) && side == Side::After,
            _ => true,
        }
    }

    /// Why it means nothing to a life cycle that passes these points.
    pub fn pointless(self, points: &BTreeSet<(Step, Side)>) -> Option<&'static str> {
        let passes = |step| points.contains(&(step, Side::Before));
        match self {
            Self::ObjectsDown if !passes(Step::Object) => Some("stores no object"),
            Self::EndpointDead | Self::EndpointBroken | Self::EndpointLeaving | Self::ListMisses | Self::ListOld
                if !passes(Step::Send) && !passes(Step::Prepare) =>
            {
                Some("uses no endpoint")
            }
            Self::CutTo | Self::CutFrom if !points.iter().any(|(step, _)| is_endpoint_step(*step)) => {
                Some("asks no endpoint")
            }
            Self::AnswerDisordered if !passes(Step::Send) => Some("has no answer in parts"),
            Self::AnswerLate | Self::AnswerRepeated if !points.iter().any(|(step, _)| is_command(*step)) => {
                Some("changes nothing on an endpoint")
            }
            Self::TableLost | Self::TableLate if !points.iter().any(|(step, _)| is_own_write(*step)) => {
                Some("writes nothing")
            }
            _ => None,
        }
    }

    /// Shortest time for which a run goes on after it.
    pub fn settle(self) -> Millis {
        match self {
            Self::TableDown | Self::ObjectsDown | Self::OutageKill | Self::ListMisses | Self::ListOld => {
                OUTAGE + Millis::from_secs(8)
            }
            Self::TableSlow => SLOW + Millis::from_secs(8),
            Self::Killed | Self::RaceKill | Self::Draining => Millis::from_secs(10),
            _ => Millis::from_secs(6),
        }
    }
}

/// Writes other than the renewal of sessions, which go on without any life cycle.
fn is_own_write(step: Step) -> bool {
    is_table_step(step) && !matches!(step, Step::Read | Step::Renew)
}

/// Asked at each point; nothing is locked while others go on.
pub fn pass(world: &World, node: usize, point: &Point) -> Fault {
    let fires = {
        let mut injector = lock(&world.injector);
        if !injector.armed {
            return Fault::None;
        }
        injector.points.insert((point.step, point.side));
        if injector.kill_at == Some((node, point.step, point.side)) {
            world.nodes[node].kill();
            return Fault::Cut;
        }
        let target = injector.target;
        match target {
            Some((row, step, side)) if injector.fired.is_none() && (step, side) == (point.step, point.side) => {
                injector.fired = Some(world.now());
                Some(row)
            }
            _ => None,
        }
    };
    let fault = fires.map_or(Fault::None, |row| inject(world, node, point, row));
    if fault == Fault::None {
        going_on(world, point)
    } else {
        fault
    }
}

/// Faults that last for some time.
fn going_on(world: &World, point: &Point) -> Fault {
    let now = world.now();
    let (down, slow) = {
        let injector = lock(&world.injector);
        let table = is_table_step(point.step);
        let down = (table && now < injector.table_down) || (point.step == Step::Object && now < injector.objects_down);
        (down, table && now < injector.table_slow)
    };
    if down {
        return Fault::Cut;
    }
    if slow && point.side == Side::Before {
        world.run_for(SLOW_REQUEST);
    }
    Fault::None
}

fn inject(world: &World, node: usize, point: &Point, row: Row) -> Fault {
    let now = world.now();
    let instance = &world.nodes[node];
    match row {
        Row::Killed => instance.kill(),
        Row::Frozen => freeze(world, node),
        Row::Draining => instance.drain(now),
        Row::TableDown => lock(&world.injector).table_down = now + OUTAGE,
        Row::TableSlow => lock(&world.injector).table_slow = now + SLOW,
        Row::ObjectsDown => lock(&world.injector).objects_down = now + OUTAGE,
        Row::ListMisses | Row::ListOld | Row::EndpointDead | Row::EndpointBroken | Row::EndpointLeaving => {
            strike(world, point, row);
        }
        Row::TableLate | Row::AnswerLate => {
            lock(&world.injector).deliver = Some((now + LATE, node));
            return Fault::Delay;
        }
        Row::AnswerRepeated if point.side == Side::Before => return Fault::Repeat,
        Row::AnswerRepeated => return Fault::Parts(PartFault::Duplicated),
        Row::AnswerDisordered => return Fault::Parts(PartFault::Reversed),
        Row::TableLost | Row::CutTo | Row::CutFrom => return Fault::Cut,
        Row::Race => life_cycle::race(world, node),
        Row::Wave => life_cycle::wave(world, WAVE),
        Row::FreezeLost => {
            freeze(world, node);
            return Fault::Cut;
        }
        Row::OutageKill => {
            lock(&world.injector).table_down = now + OUTAGE;
            instance.kill();
        }
        Row::RaceKill => {
            life_cycle::race(world, node);
            lock(&world.injector).kill_at = Some((node, Step::Pending, Side::After));
        }
    }
    Fault::None
}

fn freeze(world: &World, node: usize) {
    let frozen = &world.nodes[node].frozen;
    frozen.store(true, Ordering::Relaxed);
    world.run_for(FREEZE);
    frozen.store(false, Ordering::Relaxed);
}

/// The platform's list as it is now.
fn list(world: &World) -> MachineList {
    Link::new(&world.platform).list().expect("the list answers")
}

fn show(world: &World, list: Option<&MachineList>) {
    for node in &world.nodes {
        node.link.set_list(list.cloned());
    }
}

/// Does something to the endpoint that the point names, or to one that is busy.
fn strike(world: &World, point: &Point, row: Row) {
    let now = world.now();
    let busy = world.busy_endpoints().into_iter().next();
    let target = point.endpoint.clone().or(busy).unwrap_or_else(|| endpoint_name(0));
    let mut listed = list(world);
    let leave = |endpoint: &mut Endpoint, _| endpoint.listed_mut().presence = Presence::Leaving;
    match row {
        Row::ListMisses => {
            listed.endpoints.retain(|endpoint| endpoint.name != target);
            show(world, Some(&listed));
            lock(&world.injector).list_until = Some(now + LIST_LAG);
        }
        Row::ListOld => {
            show(world, Some(&listed));
            lock(&world.injector).list_until = Some(now + LIST_LAG);
            world.platform.with_endpoint(&target, leave);
            world.evidence().leaving.insert(target, now + LIST_LAG);
        }
        Row::EndpointDead => {
            world.platform.with_endpoint(&target, Endpoint::kill);
            lock(&world.injector).unlisted = Some((now + UNLISTED_AFTER, target));
        }
        Row::EndpointBroken => drop(
            world
                .platform
                .with_endpoint(&target, |endpoint, _| endpoint.set_fails_all(true)),
        ),
        _ => {
            world.platform.with_endpoint(&target, leave);
            world.evidence().leaving.insert(target, now);
        }
    }
}

/// Ends what has lasted long enough.
pub fn tend(world: &World) {
    let now = world.now();
    let (healed, unlisted, deliver) = {
        let mut injector = lock(&world.injector);
        let healed = injector.list_until.take_if(|until| now >= *until);
        let unlisted = injector.unlisted.take_if(|(at, _)| now >= *at);
        (healed, unlisted, injector.deliver.take_if(|(at, _)| now >= *at))
    };
    if healed.is_some() {
        show(world, None);
    }
    if let Some((_, endpoint)) = unlisted {
        let mut listed = list(world);
        listed.endpoints.retain(|known| known.name != endpoint);
        show(world, Some(&listed));
    }
    if let Some((_, node)) = deliver {
        world.nodes[node].link.deliver();
    }
}
