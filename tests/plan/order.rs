//! Tests of queue order, reservations, backfill and estimates.

use yuccaridge::job::Adjacency;
use yuccaridge::plan::{Decision, EndKind, EndpointSpec, QueuedJob, StopReason};
use yuccaridge::team::Team;
use yuccaridge::time::Millis;

use super::world::{World, endpoint, id, job, scheduler, team};

fn pair() -> [EndpointSpec; 2] {
    [endpoint("v", "r", 4), endpoint("w", "r", 4)]
}

fn none() -> [(&'static str, Team); 2] {
    [("a", team(Vec::new())), ("b", team(Vec::new()))]
}

fn lasting(name: &str, accelerators: u16, secs: u64) -> QueuedJob {
    QueuedJob {
        declared: Millis::from_secs(secs),
        ..job(name, "a", accelerators)
    }
}

fn gang(name: &str, members: u16) -> QueuedJob {
    let mut gang = job(name, "b", 4);
    gang.shape.members = members;
    gang.shape.adjacent = Adjacency::Rack;
    gang
}

#[test]
/// Guards against a team that gets all accelerators because it submitted first.
fn teams_share_accelerators_fairly() {
    let mut world = World::new(scheduler(), &pair(), &none());
    for number in 0..8 {
        world.submit(job(&format!("a{number}"), "a", 1));
    }
    for number in 0..8 {
        world.submit(job(&format!("b{number}"), "b", 1));
    }
    world.settle();

    let first = world.running.keys().filter(|id| id.as_str().starts_with('a')).count();
    assert_eq!((first, world.running.len()), (4, 8));
}

#[test]
/// Guards against team weights that have no effect on the shares.
fn shares_follow_team_weights() {
    let mut heavy = team(Vec::new());
    heavy.weight = 3;
    let teams = [("a", heavy), ("b", team(Vec::new()))];
    let mut world = World::new(scheduler(), &pair(), &teams);
    for number in 0..8 {
        world.submit(job(&format!("a{number}"), "a", 1));
        world.submit(job(&format!("b{number}"), "b", 1));
    }
    world.settle();

    let first = world.running.keys().filter(|id| id.as_str().starts_with('a')).count();
    assert_eq!(first, 6);
}

#[test]
/// Guards against a team that exceeds its quota.
fn quotas_are_enforced() {
    let mut small = team(Vec::new());
    small.quota = 3;
    let mut world = World::new(scheduler(), &pair(), &[("a", small)]);
    for number in 0..8 {
        world.submit(job(&format!("a{number}"), "a", 1));
    }
    world.settle();

    assert_eq!(world.running.len(), 3);
}

#[test]
/// Guards against backfilled jobs that delay a gang, and against seats left idle although a job would end in time.
fn short_jobs_backfill_before_a_reservation() {
    let mut world = World::new(scheduler(), &pair(), &none());
    world.submit(lasting("long", 4, 10_000));
    world.submit(gang("gang", 2));
    world.settle();
    world.pass(60);
    world.settle();
    let (reserved, at) = world.policy.reservation().expect("a reservation");
    assert_eq!(*reserved, id("gang"));
    assert!(at > world.now);

    world.submit(lasting("short", 4, 600));
    world.submit(lasting("slow", 4, 100_000));
    world.settle();

    assert!(world.running.contains_key(&id("short")));
    assert!(world.waiting.contains_key(&id("slow")));
}

#[test]
/// Guards against a backfilled job that exceeds its expected end and delays the gang.
fn overrun_jobs_are_stopped() {
    let mut world = World::new(scheduler(), &pair(), &none());
    world.submit(lasting("long", 4, 10_000));
    world.submit(gang("gang", 2));
    world.settle();
    world.pass(60);
    world.settle();
    world.submit(lasting("short", 4, 600));
    world.settle();
    let (_, at) = world.policy.reservation().expect("a reservation");
    let long = id("long");
    world.end(&long, EndKind::Completed, None);
    world.settle();
    world.now = at;
    world.settle();

    let stop = Decision::Stop {
        job: id("short"),
        reason: StopReason::Overrun,
    };
    assert_eq!(world.stops, [stop]);
    world.requeue_stopped(&id("short"));
    world.settle();
    assert!(world.running.contains_key(&id("gang")));
}

#[test]
/// Guards against a gang that starves because each small job that ends is replaced by a new one.
fn gangs_do_not_starve() {
    let mut world = World::new(scheduler(), &pair(), &none());
    for number in 0..8 {
        world.submit(lasting(&format!("s{number}"), 1, 900));
    }
    world.settle();
    world.submit(gang("gang", 2));
    let mut waited = 0;
    for number in 8..400 {
        world.pass(100);
        world.submit(lasting(&format!("s{number}"), 1, 900));
        if let Some(oldest) = world.running.values().min_by_key(|running| running.job.accepted_at) {
            let (oldest, stopping) = (oldest.job.id.clone(), oldest.stopping);
            if oldest == id("gang") {
                break;
            }
            if stopping {
                world.requeue_stopped(&oldest);
            } else {
                world.end(&oldest, EndKind::Completed, None);
            }
        }
        world.settle();
        if world.running.contains_key(&id("gang")) {
            break;
        }
        waited += 100;
    }

    // About twice the run time of the small jobs, the bound that is estimated for them.
    assert!(waited <= 2_000, "the gang waited {waited} s");
}

#[test]
/// Guards against declared run times that are still trusted after many jobs have shown them to be wrong.
fn wrong_run_times_are_corrected() {
    let mut world = World::new(scheduler(), &pair(), &none());
    for number in 0..10 {
        let name = format!("j{number}");
        world.submit(lasting(&name, 1, 100));
        world.settle();
        world.pass(1000);
        world.end(&id(&name), EndKind::Completed, None);
    }
    let sample = lasting("x", 1, 100);

    let expected = world
        .policy
        .estimates()
        .expected_run_time(&sample.team, &sample.kind, sample.declared);

    assert!((800..=1250).contains(&(expected.0 / 1000)), "{expected}");
}

#[test]
/// Guards against endpoint speeds that are not learned or not used in placement.
fn fast_endpoints_are_preferred() {
    let mut world = World::new(scheduler(), &pair(), &none());
    for number in 0..60 {
        let name = id(&format!("j{number}"));
        world.submit(lasting(name.as_str(), 4, 1000));
        world.submit(lasting(&format!("k{number}"), 4, 1000));
        world.settle();
        // Endpoint `v` takes twice as long as `w`.
        world.pass(500);
        for fast in [true, false] {
            let on = |seat: &yuccaridge::job::Seat| (seat.endpoint.as_str() == "w") == fast;
            let done = world.running.iter().find(|(_, running)| on(&running.seats[0]));
            let done = done.unwrap().0.clone();
            world.end(&done, EndKind::Completed, None);
            world.pass(500);
        }
    }
    let rack = &pair()[0].rack;
    let speed = |name| world.policy.estimates().speed(&super::world::endpoint_name(name), rack);
    assert!(speed("w") > 1.5 * speed("v"), "{} {}", speed("w"), speed("v"));

    world.submit(lasting("last", 4, 1000));
    world.settle();
    assert_eq!(world.running[&id("last")].seats[0].endpoint.as_str(), "w");
}
