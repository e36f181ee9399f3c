//! Gangs run as a whole or not at all.

use yuccaridge::port::{OrderError, Outcome, Refusal};

use crate::world::{World, gang};

/// Guards against stopping a gang as stalled because a member on a fast endpoint is done early and waits for the
/// others.
#[test]
fn a_finished_member_waits_for_the_others() {
    let mut world = World::new(4);
    world.submit("job", "normal", vec![gang(2, 8, 10_000)]);
    let starts = world.advance(50);
    world.confirm(&starts);
    let at = |member: usize| starts[member].endpoint.to_string();

    for round in 0..20_u32 {
        let slow = f64::from(round) * 5.0;
        world.report(&at(0), &[("job.0.0.0", 1, 100.0)], &[]);
        world.report(&at(1), &[("job.0.0.1", 1, slow)], &[]);
        world.advance(500);
    }

    assert_eq!(world.stops, []);
}

/// Guards against a hanging gang that keeps its accelerators.
#[test]
fn a_gang_without_progress_is_stopped() {
    let mut world = World::new(4);
    world.submit("job", "normal", vec![gang(2, 8, 10_000)]);
    let starts = world.advance(50);
    world.confirm(&starts);

    for _ in 0..8 {
        for (member, start) in starts.iter().enumerate() {
            world.report(&start.endpoint, &[(&format!("job.0.0.{member}"), 1, 30.0)], &[]);
        }
        world.advance(500);
    }

    assert_eq!(world.stops.iter().map(|stop| stop.run).min(), Some(1));
    assert!(world.stops.len() >= 2);
}

/// Guards against members that keep waiting for one whose start was refused.
#[test]
fn a_refused_member_stops_the_others() {
    let mut world = World::new(4);
    world.submit("job", "normal", vec![gang(2, 8, 10_000)]);
    let starts = world.advance(50);
    world.confirm(&starts[..1]);

    let refused = OrderError::Refused {
        refusal: Refusal::Unwell,
        clock_ms: None,
    };
    world.dispatcher.started(&starts[1], Err(refused), world.now);
    let before = world.advance(100);

    assert_eq!(world.stops.len(), 1);
    assert_eq!(world.stops[0].task, starts[0].task);
    assert_eq!(before, [], "no second run while the first may still exist");
    world.report(&starts[0].endpoint, &[], &[(1, "job.0.0.0", 1, Outcome::Stopped)]);
    let again = world.advance(100);
    assert_eq!(again.len(), 2);
    assert!(again.iter().all(|start| start.run == 2));
}
