//! Tests of the reclaim of guaranteed sets.

use yuccaridge::plan::{Decision, EndpointSpec, StopReason};
use yuccaridge::team::{Level, Team};
use yuccaridge::time::Millis;

use super::world::{World, endpoint, guarantee, id, job, scheduler, team, team_name};

fn teams() -> [(&'static str, Team); 3] {
    [
        ("own", team(vec![guarantee(Level::Endpoint, 2, 1)])),
        ("other", team(vec![guarantee(Level::Endpoint, 2, 1)])),
        ("third", team(Vec::new())),
    ]
}

fn fleet() -> [EndpointSpec; 1] {
    [endpoint("w", "r", 4)]
}

fn urgent(name: &str, team: &str, accelerators: u16) -> yuccaridge::plan::QueuedJob {
    yuccaridge::plan::QueuedJob {
        urgent: true,
        ..job(name, team, accelerators)
    }
}

fn stopped<P>(world: &World<P>) -> Vec<String> {
    let mut names = Vec::new();
    for decision in &world.stops {
        if let Decision::Stop { job, .. } = decision {
            names.push(job.to_string());
        }
    }
    names
}

#[test]
/// Guards against a claim that gets its seats before the borrowers have ended, or never.
fn seats_come_after_the_borrowers_have_ended() {
    let mut world = World::new(scheduler(), &fleet(), &teams());
    world.submit(job("one", "third", 2));
    world.submit(job("two", "third", 2));
    world.settle();
    world.submit(urgent("claim", "own", 2));
    world.settle();

    let Decision::Stop { job: victim, reason } = world.stops[0].clone() else {
        panic!("no stop");
    };
    let team = team_name("own");
    assert_eq!(reason, StopReason::Reclaim { team });
    assert_eq!(world.stops.len(), 1);
    assert!(world.waiting.contains_key(&id("claim")));

    // Seats that are being vacated are given neither to the stopped job nor to a third one.
    world.submit(job("three", "third", 2));
    world.requeue_stopped(&victim);
    world.settle();
    assert!(world.running[&id("claim")].guaranteed);
    assert!(world.waiting.contains_key(&victim));
    assert!(world.waiting.contains_key(&id("three")));
}

#[test]
/// Guards against a team that reclaims more than its guarantee.
fn nothing_beyond_the_guarantee_is_reclaimed() {
    let mut world = World::new(scheduler(), &fleet(), &teams());
    world.submit(job("one", "third", 2));
    world.submit(job("two", "third", 2));
    world.settle();
    world.submit(urgent("claim", "own", 2));
    world.submit(urgent("more", "own", 2));
    world.submit(urgent("wide", "own", 4));
    world.settle();

    assert_eq!(world.stops.len(), 1);
}

#[test]
/// Guards against stopping another team's borrower where stopping one of the claiming team would suffice.
fn own_borrowers_are_stopped_first() {
    let mut world = World::new(scheduler(), &fleet(), &teams());
    let mut first = job("first", "own", 2);
    first.idempotent = false;
    world.submit(first);
    world.settle();
    world.submit(job("mine", "own", 1));
    world.submit(job("foreign", "third", 1));
    world.settle();
    assert!(world.running[&id("first")].guaranteed);
    let first = id("first");
    world.end(&first, yuccaridge::plan::EndKind::Completed, None);
    world.submit(job("filler", "third", 2));
    world.settle();
    world.pass(100);
    world.submit(urgent("claim", "own", 1));
    world.settle();

    assert_eq!(stopped(&world), ["mine"]);
}

#[test]
/// Guards against stopping a borrower that loses much work where another one would lose little.
fn borrowers_that_lose_the_least_work_are_stopped() {
    let mut world = World::new(scheduler(), &fleet(), &teams());
    let mut resumable = job("resumable", "third", 2);
    resumable.checkpoints = true;
    world.submit(resumable);
    world.submit(job("old", "third", 2));
    world.settle();
    world.pass(3000);
    world.submit(urgent("claim", "own", 2));
    world.settle();

    assert_eq!(stopped(&world), ["resumable"]);
}

#[test]
/// Guards against placing a job that is not preemptible on borrowed accelerators.
fn jobs_that_are_not_preemptible_never_borrow() {
    let mut world = World::new(scheduler(), &fleet(), &teams());
    let mut fragile = job("fragile", "third", 1);
    fragile.idempotent = false;
    world.submit(fragile.clone());
    fragile.id = id("inside");
    fragile.team = team_name("own");
    world.submit(fragile);
    world.settle();

    assert!(world.waiting.contains_key(&id("fragile")));
    assert!(world.running[&id("inside")].guaranteed);
}

#[test]
/// Guards against borrowers without accelerators that keep the cores that a claim needs.
fn cores_are_reclaimed_too() {
    let mut world = World::new(scheduler(), &fleet(), &teams());
    for number in 0..8 {
        let mut task = job(&format!("task{number}"), "third", 0);
        task.shape.cores = 8;
        world.submit(task);
    }
    world.settle();
    let mut claim = urgent("claim", "own", 2);
    claim.shape.cores = 30;
    world.submit(claim);
    world.settle();

    // All 64 cores are held by tasks of 8 cores each; the claiming team's share is half of them.
    assert_eq!(world.stops.len(), 4);
    for name in stopped(&world) {
        world.requeue_stopped(&id(&name));
    }
    world.settle();
    assert!(world.running[&id("claim")].guaranteed);
}

#[test]
/// Guards against a guaranteed job that takes the cores that belong to other teams' sets.
fn each_set_keeps_its_share_of_cores() {
    let mut world = World::new(scheduler(), &fleet(), &teams());
    let mut greedy = urgent("greedy", "own", 1);
    greedy.idempotent = false;
    greedy.shape.cores = 60;
    world.submit(greedy);
    world.settle();
    let mut fair = urgent("fair", "other", 2);
    fair.shape.cores = 30;
    world.submit(fair);
    world.settle();

    assert!(world.waiting.contains_key(&id("greedy")));
    assert!(world.running[&id("fair")].guaranteed);
}

#[test]
/// Guards against a job that could run inside its guarantee but waits indefinitely behind borrowers because it is not
/// urgent.
fn aged_jobs_reclaim() {
    let mut world = World::new(scheduler(), &fleet(), &teams());
    world.submit(job("one", "third", 4));
    world.settle();
    world.submit(job("patient", "own", 2));
    world.settle();
    assert!(world.stops.is_empty());

    world.now = world.now + yuccaridge::plan::AGED_AFTER + Millis(1);
    world.settle();

    assert_eq!(stopped(&world), ["one"]);
}
