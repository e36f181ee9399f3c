//! Tests of the attribution of failures to jobs and endpoints.

use yuccaridge::name::EndpointName;
use yuccaridge::plan::{EndKind, EndpointSpec, Scheduler};
use yuccaridge::time::Millis;

use super::world::{World, endpoint, endpoint_name, id, job, scheduler};

fn fleet(count: usize) -> Vec<EndpointSpec> {
    let one = |index: usize| endpoint(&format!("w{index}"), &format!("r{}", index / 4), 2);
    (0..count).map(one).collect()
}

/// Runs a job with two accelerators. It fails if `bad` returns true for its endpoint. Returns the endpoint if it ran.
fn run<F>(world: &mut World<Scheduler>, name: &str, bad: F) -> Option<EndpointName>
where
    F: Fn(&EndpointName) -> bool,
{
    world.submit(job(name, "a", 2));
    world.settle();
    finish(world, name, bad)
}

fn finish<F>(world: &mut World<Scheduler>, name: &str, bad: F) -> Option<EndpointName>
where
    F: Fn(&EndpointName) -> bool,
{
    let on = world.running.get(&id(name))?.seats[0].endpoint.clone();
    world.pass(10);
    let kind = if bad(&on) { EndKind::Failed } else { EndKind::Completed };
    world.end(&id(name), kind, Some(on.clone()));
    world.settle();
    Some(on)
}

#[test]
/// Guards against an endpoint that fails every job and, since it is always free, attracts all work.
fn a_failing_endpoint_is_quarantined_and_probed() {
    let mut world = World::new(scheduler(), &fleet(10), &[]);
    let bad = endpoint_name("w3");
    for number in 0..200 {
        run(&mut world, &format!("j{number}"), |endpoint| *endpoint == bad);
        for filler in 0..9 {
            let name = format!("f{number}-{filler}");
            world.submit(job(&name, "a", 2));
        }
        world.settle();
        for name in world.running.keys().cloned().collect::<Vec<_>>() {
            finish(&mut world, name.as_str(), |endpoint| *endpoint == bad);
        }
        if !world.quarantined.is_empty() {
            break;
        }
    }
    assert_eq!(world.quarantined.iter().collect::<Vec<_>>(), [&bad]);

    world.pass(300);
    let used = run(&mut world, "probe", |_| false);
    for number in 0..20 {
        if world.quarantined.is_empty() {
            break;
        }
        world.pass(300);
        run(&mut world, &format!("probe{number}"), |_| false);
    }

    assert!(used.is_some());
    assert!(world.quarantined.is_empty(), "a probe succeeded");
}

#[test]
/// Guards against a failed probe that ends the quarantine or is repeated at once.
fn a_failed_probe_keeps_the_quarantine() {
    let mut world = World::new(scheduler(), &fleet(10), &[]);
    let bad = endpoint_name("w0");
    let mut number = 0;
    while world.quarantined.is_empty() && number < 400 {
        for _ in 0..10 {
            number += 1;
            world.submit(job(&format!("j{number}"), "a", 2));
        }
        world.settle();
        for name in world.running.keys().cloned().collect::<Vec<_>>() {
            finish(&mut world, name.as_str(), |endpoint| *endpoint == bad);
        }
    }
    let mut probes = 0;
    for number in 0..30 {
        world.pass(30);
        let used = run(&mut world, &format!("p{number}"), |endpoint| *endpoint == bad);
        probes += usize::from(used == Some(bad.clone()));
    }

    assert_eq!(world.quarantined.len(), 1);
    assert!((1..=4).contains(&probes), "{probes} probes in 15 minutes");
}

#[test]
/// Guards against a broken job that is retried indefinitely, and against blaming endpoints for it.
fn a_failing_job_is_rejected_after_three_endpoints() {
    let mut world = World::new(scheduler(), &fleet(10), &[]);
    let mut tried = Vec::new();
    for _ in 0..10 {
        if world.rejected.is_empty() {
            tried.extend(run(&mut world, "broken", |_| true));
        }
    }
    world.settle();

    tried.sort();
    tried.dedup();
    assert_eq!(tried.len(), 3);
    assert_eq!(world.rejected.get(&id("broken")), Some(&true));
    assert!(world.quarantined.is_empty());
}

#[test]
/// Guards against a kind of job that fails everywhere and gets healthy endpoints quarantined.
fn a_failing_kind_blames_no_endpoint() {
    let mut world = World::new(scheduler(), &fleet(10), &[]);
    for number in 0..60 {
        world.submit(job(&format!("j{number}"), "a", 2));
    }
    for _ in 0..60 {
        world.settle();
        for name in world.running.keys().cloned().collect::<Vec<_>>() {
            finish(&mut world, name.as_str(), |_| true);
        }
    }

    assert!(world.quarantined.is_empty(), "{:?}", world.quarantined);
}

#[test]
/// Guards against blaming endpoints or jobs for the loss of a rack's switch, whether the jobs are reported lost or
/// failed.
fn the_loss_of_a_rack_blames_no_endpoint_or_job() {
    let mut world = World::new(scheduler(), &fleet(40), &[]);
    for round in 0..4 {
        for number in 0..40 {
            world.submit(job(&format!("j{round}-{number}"), "a", 2));
        }
        world.settle();
        // Jobs on the rack fail shortly before its endpoints are reported lost.
        let names = ["w0", "w1", "w2", "w3"].map(endpoint_name);
        let on = |endpoint: &EndpointName| names.contains(endpoint);
        let failing = world
            .running
            .iter()
            .filter(|(_, running)| on(&running.seats[0].endpoint));
        let failing = failing.map(|(name, _)| name.clone()).collect::<Vec<_>>();
        for name in failing {
            let endpoint = world.running[&name].seats[0].endpoint.clone();
            let job = world.end(&name, EndKind::Failed, Some(endpoint)).job;
            world.submit(job);
        }
        world.now = world.now + Millis(500);
        for name in &names {
            world.lose(name);
        }
        world.settle();
        for name in world.running.keys().cloned().collect::<Vec<_>>() {
            world.end(&name, EndKind::Completed, None);
        }
        world.pass(60);
        for spec in fleet(4) {
            world.join(spec);
        }
    }

    assert!(world.quarantined.is_empty(), "{:?}", world.quarantined);
    assert!(world.rejected.is_empty(), "{:?}", world.rejected);
}
