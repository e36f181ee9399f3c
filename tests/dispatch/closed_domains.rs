//! Failure domains that the operator closes while work is under way.

use std::rc::Rc;
use std::sync::Arc;

use yuccaridge::dispatch::{Dispatcher, Start, Tuning};
use yuccaridge::evacuation::Evacuations;
use yuccaridge::graph::Phase;
use yuccaridge::port::{EndpointEntry, OrderError, Outcome};

use crate::world::{T0, World, config, entry, gang, name, step};

/// Age from which the knowledge of closed domains is stale in these tests, in milliseconds.
const STALE_MS: u64 = 1_400;

/// A dispatcher with idle endpoints `e0`, `e1`…, of which each two are a failure domain `d0`, `d1`…
fn world(endpoints: usize) -> World {
    world_with(endpoints, Tuning::default())
}

/// The same on a site with evacuations.
fn site_with_evacuations(endpoints: usize) -> World {
    let tuning = Tuning {
        evacuation_stale_ms: Some(STALE_MS),
        ..Tuning::default()
    };
    world_with(endpoints, tuning)
}

fn world_with(endpoints: usize, tuning: Tuning) -> World {
    let mut world = World::empty();
    world.dispatcher = Dispatcher::new(tuning, T0);
    world.dispatcher.configure(Arc::new(config()));
    for index in 0..endpoints {
        let entry = EndpointEntry {
            domain: name(&format!("d{}", index / 2)),
            ..entry(&format!("10.0.0.{index}:1"), "r0")
        };
        let endpoint = name(&format!("e{index}"));
        world.dispatcher.update_endpoint(&endpoint, Some(entry), T0);
        world.report(&endpoint, &[], &[]);
    }
    world
}

/// Lets the leader read that these domains are closed, and no others.
fn close(world: &mut World, domains: &[&str]) {
    let mut evacuations = Evacuations::default();
    for domain in domains {
        evacuations.close(name(domain));
    }
    evacuations.known_at = Some(world.now);
    world.dispatcher.close_domains(Rc::new(evacuations));
}

/// Sends these starts as the leader does; those that may be sent are confirmed and returned.
fn send(world: &mut World, starts: &[Start]) -> Vec<Start> {
    let mut sent = Vec::new();
    for start in starts {
        if world.dispatcher.lease_start(start, world.now).is_some() {
            world.dispatcher.started(start, Ok(world.now), world.now);
            sent.push(start.clone());
        } else {
            let held_back = Err(OrderError::NotSent("held back".to_owned()));
            world.dispatcher.started(start, held_back, world.now);
        }
    }
    sent
}

/// Advances the time; returns the starts that were sent meanwhile.
fn advance(world: &mut World, span_ms: u64) -> Vec<Start> {
    let mut sent = Vec::new();
    for _ in 0..span_ms / 50 {
        let starts = world.advance(50);
        sent.extend(send(world, &starts));
    }
    sent
}

/// Endpoints of these starts, in order.
fn endpoints_of(starts: &[Start]) -> Vec<&str> {
    let mut endpoints: Vec<&str> = starts.iter().map(|start| &*start.endpoint).collect();
    endpoints.sort_unstable();
    endpoints
}

fn domain_of(endpoint: &str) -> String {
    let number: usize = endpoint[1..].parse().expect("a number");
    format!("d{}", number / 2)
}

/// Occupies all endpoints with batch work.
fn fill(world: &mut World, endpoints: u32) {
    world.submit("batch", "batch", vec![step(endpoints, 8, 60_000)]);
    assert_eq!(advance(world, 100).len(), endpoints as usize);
}

/// Confirms all stops from index `from` on and reports their runs as ended.
fn end_stopped(world: &mut World, from: usize) {
    let stops = world.stops[from..].to_vec();
    for stop in stops {
        world.dispatcher.stopped(&stop, Ok(world.now), world.now);
        let end = (1, &*stop.task, stop.run, Outcome::Stopped);
        world.report(&stop.endpoint, &[], &[end]);
    }
}

/// Guards against new work on endpoints that are about to be switched off.
#[test]
fn a_closed_domain_gets_no_work() {
    let mut world = world(4);
    close(&mut world, &["d0"]);

    world.submit("job", "normal", vec![step(4, 8, 60_000)]);
    let sent = advance(&mut world, 500);

    assert_eq!(endpoints_of(&sent), ["e2", "e3"]);
}

/// Guards against an evacuation that throws away what its endpoints have worked on.
#[test]
fn running_work_goes_on() {
    let mut world = world(2);
    world.submit("job", "normal", vec![step(2, 8, 60_000)]);
    let sent = advance(&mut world, 100);

    close(&mut world, &["d0"]);
    advance(&mut world, 500);
    for start in &sent {
        world.report(&start.endpoint, &[], &[(1, &start.task, start.run, Outcome::Done)]);
    }
    advance(&mut world, 100);

    assert_eq!(world.stops, []);
    assert_eq!(world.job("job").phase, Phase::Done);
}

/// Guards against a start that was decided and stored before the request and is sent after it.
#[test]
fn a_stored_start_is_held_back_and_its_unit_placed_elsewhere() {
    let mut world = world(4);
    world.submit("job", "normal", vec![step(1, 8, 60_000)]);
    let stored = world.advance(50);
    let closed = domain_of(&stored[0].endpoint);

    close(&mut world, &[&closed]);
    let held_back = send(&mut world, &stored);
    let sent = advance(&mut world, 200);

    assert_eq!(held_back, []);
    assert_eq!(sent.len(), 1);
    assert_ne!(domain_of(&sent[0].endpoint), closed);
}

/// Guards against a start that is repeated in a closed domain because the answer to the first was lost.
#[test]
fn an_unanswered_start_is_not_repeated() {
    let mut world = world(4);
    world.submit("job", "normal", vec![step(1, 8, 60_000)]);
    let first = world.advance(50).remove(0);
    assert!(world.dispatcher.lease_start(&first, world.now).is_some());
    let lost = Err(OrderError::Unknown("lost".to_owned()));
    world.dispatcher.started(&first, lost, world.now);
    let closed = domain_of(&first.endpoint);

    close(&mut world, &[&closed]);
    let before = advance(&mut world, 500);
    end_stopped(&mut world, 0);
    let after = advance(&mut world, 200);

    assert_eq!(before, []);
    assert_eq!((world.stops.len(), &world.stops[0].endpoint), (1, &first.endpoint));
    assert_eq!(after.len(), 1);
    assert_ne!(domain_of(&after[0].endpoint), closed);
}

/// Guards against an urgent job that waits for room in a closed domain until its claim has timed out.
#[test]
fn a_claim_in_a_closed_domain_is_made_elsewhere_at_once() {
    let mut world = world(4);
    fill(&mut world, 4);
    world.submit("one", "urgent", vec![gang(1, 8, 2_000)]);
    world.round();
    let first = world.stops[0].clone();
    let closed = domain_of(&first.endpoint);

    close(&mut world, &[&closed]);
    world.round();
    let second = world.stops[1].clone();
    end_stopped(&mut world, 0);
    let sent = advance(&mut world, 200);

    assert_ne!(domain_of(&second.endpoint), closed);
    let urgent: Vec<&Start> = sent.iter().filter(|start| *start.job == *"one").collect();
    assert_eq!(urgent.len(), 1);
    assert_eq!(urgent[0].endpoint, second.endpoint);
}

/// Guards against victims in a closed domain, whose room no urgent job can use.
#[test]
fn victims_are_taken_outside() {
    let mut world = world(4);
    fill(&mut world, 4);
    close(&mut world, &["d0"]);

    world.submit("one", "urgent", vec![step(1, 8, 2_000)]);
    advance(&mut world, 3_000);

    assert!(!world.stops.is_empty());
    assert!(
        world.stops.iter().all(|stop| domain_of(&stop.endpoint) == "d1"),
        "{:?}",
        world.stops
    );
}

/// Guards against endpoints that stay idle after the request was taken back.
#[test]
fn work_starts_there_again_after_the_request_is_taken_back() {
    let mut world = world(4);
    close(&mut world, &["d0"]);
    world.submit("job", "normal", vec![step(4, 8, 60_000)]);
    advance(&mut world, 500);

    close(&mut world, &[]);
    let sent = advance(&mut world, 100);

    assert_eq!(endpoints_of(&sent), ["e0", "e1"]);
}

/// Guards against two requests of which one replaces the other, or is taken back with it.
#[test]
fn two_domains_are_closed_at_once() {
    let mut world = world(6);
    close(&mut world, &["d0", "d1"]);
    world.submit("job", "normal", vec![step(6, 8, 60_000)]);

    let both = advance(&mut world, 200);
    close(&mut world, &["d1"]);
    let one = advance(&mut world, 200);

    assert_eq!(endpoints_of(&both), ["e4", "e5"]);
    assert_eq!(endpoints_of(&one), ["e0", "e1"]);
}

/// Guards against a gang that keeps its reservation in a closed domain, and starts there or nowhere.
#[test]
fn a_reservation_moves_out_of_a_closed_domain() {
    let mut world = world(4);
    world.submit("batch", "batch", vec![step(4, 8, 60_000)]);
    let running = advance(&mut world, 100);
    world.submit("gang", "normal", vec![gang(2, 8, 2_000)]);
    advance(&mut world, 100);

    close(&mut world, &["d0"]);
    let mut sent = Vec::new();
    for domain in ["d0", "d1"] {
        for start in running.iter().filter(|start| domain_of(&start.endpoint) == domain) {
            world.report(&start.endpoint, &[], &[(1, &start.task, start.run, Outcome::Done)]);
        }
        sent.push(advance(&mut world, 200));
    }

    assert_eq!(running.len(), 4);
    assert_eq!(endpoints_of(&sent[0]), Vec::<&str>::new());
    assert_eq!(endpoints_of(&sent[1]), ["e2", "e3"]);
}

/// Guards against a gang of which one part runs and the other is held back for good.
#[test]
fn a_gang_that_is_held_back_in_part_starts_elsewhere_as_a_whole() {
    let mut world = world(6);
    world.submit("gang", "normal", vec![gang(4, 8, 2_000)]);
    let mut stored = world.advance(50);
    let closed = domain_of(&stored[0].endpoint);
    // The members outside are sent before another one is held back.
    stored.sort_by_key(|start| domain_of(&start.endpoint) == closed);

    close(&mut world, &[&closed]);
    let first = send(&mut world, &stored);
    world.advance(50);
    end_stopped(&mut world, 0);
    let again = advance(&mut world, 500);

    assert_eq!((stored.len(), first.len()), (4, 2));
    let is_stopped = |start: &Start| {
        world
            .stops
            .iter()
            .any(|stop| stop.task == start.task && stop.run == start.run)
    };
    assert!(first.iter().all(is_stopped), "{:?}", world.stops);
    assert_eq!(again.len(), 4);
    assert!(again.iter().all(|start| domain_of(&start.endpoint) != closed));
}

/// Guards against requests for advice on endpoints that get no work, which delay the others.
#[test]
fn no_advice_is_requested_on_a_closed_domain() {
    let mut world = world(4);
    close(&mut world, &["d0"]);

    world.submit("job", "advised", vec![step(1, 1, 1_000)]);
    world.advance(100);

    let mut named: Vec<&str> = world.advice_requests[0].endpoints.iter().map(|name| &**name).collect();
    named.sort_unstable();
    assert_eq!(named, ["e2", "e3"]);
}

/// Guards against starts on a domain that was closed while the leader could not read the requests.
#[test]
fn stale_knowledge_places_no_work_until_it_is_fresh() {
    let mut world = site_with_evacuations(2);
    close(&mut world, &[]);
    world.now += STALE_MS + 50;
    world.submit("job", "normal", vec![step(2, 8, 60_000)]);

    let stale = world.advance(1_000);
    close(&mut world, &[]);
    let fresh = advance(&mut world, 100);

    assert_eq!(stale, []);
    assert_eq!(endpoints_of(&fresh), ["e0", "e1"]);
}

/// Guards against a start that waited for the store until the knowledge was stale, and against endpoints that are spared
/// for it afterwards.
#[test]
fn a_stored_start_is_held_back_by_stale_knowledge() {
    let mut world = site_with_evacuations(2);
    close(&mut world, &[]);
    world.submit("job", "normal", vec![step(2, 8, 60_000)]);
    let stored = world.advance(50);
    world.now += STALE_MS + 50;

    let stale = send(&mut world, &stored);
    close(&mut world, &[]);
    let fresh = advance(&mut world, 100);

    assert_eq!((stored.len(), stale.len()), (2, 0));
    assert_eq!(endpoints_of(&fresh), ["e0", "e1"]);
}

/// Guards against a run that is stopped because its start could not be repeated for some time.
#[test]
fn an_unanswered_start_is_repeated_only_with_fresh_knowledge() {
    let mut world = site_with_evacuations(2);
    close(&mut world, &[]);
    world.submit("job", "normal", vec![step(1, 8, 60_000)]);
    let first = world.advance(50).remove(0);
    world.now += STALE_MS + 50;
    let lost = Err(OrderError::Unknown("lost".to_owned()));
    world.dispatcher.started(&first, lost, world.now);

    let stale = world.advance(500);
    close(&mut world, &[]);
    let fresh = advance(&mut world, 100);

    assert_eq!((stale, world.stops.len()), (Vec::new(), 0));
    assert_eq!(fresh, [first]);
}

/// Guards against a leader that uses all of its processor time while it may not place anything.
#[test]
fn a_leader_with_stale_knowledge_waits_between_its_steps() {
    let mut world = site_with_evacuations(2);
    world.submit("job", "normal", vec![step(1, 8, 60_000)]);
    world.now += 1_000;

    world.dispatcher.step(world.now, world.now);

    assert!(world.dispatcher.ms_until_step(world.now) > 0);
}

/// Guards against a site without evacuations that starts nothing while its store is away.
#[test]
fn knowledge_has_no_age_without_a_bound() {
    let mut world = world(2);
    world.submit("job", "normal", vec![step(2, 8, 60_000)]);
    world.now += 60_000;
    for endpoint in ["e0", "e1"] {
        world.report(endpoint, &[], &[]);
    }

    let sent = advance(&mut world, 100);

    assert_eq!(endpoints_of(&sent), ["e0", "e1"]);
}
