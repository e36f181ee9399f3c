//! Frozen instances, delayed transactions and concurrent threads.

use std::sync::Arc;
use std::thread;

use serde_json::json;
use standin::fake::{Fault, Side};
use yuccaridge::api::{ApiError, Code, JobState};
use yuccaridge::call::Progress;
use yuccaridge::job::Outcome;
use yuccaridge::platform::Step;
use yuccaridge::row::TicketState;
use yuccaridge::time::Millis;

use crate::call::query;
use crate::world::{Node, World, bytes, job, job_id};

fn kind_ticket(name: &str) -> Vec<u8> {
    bytes(&json!({"objects": {"kind": {name: {"class": "batch"}}}}))
}

/// Guards against an instance that is frozen during a renewal and then uses a configuration that a ticket replaced.
#[test]
fn a_frozen_renewal_does_not_restore_an_old_configuration() {
    for side in [Side::Before, Side::After] {
        let (world, [a, b]) = World::ready(["a", "b"]);
        b.run_during(Step::Renew, side, move || {
            a.tickets.put(a.now(), 2, &kind_ticket("new")).unwrap();
            while a.tickets.confirm(a.now(), 2).unwrap().state != TicketState::Accepted {
                a.step();
                a.platform.clock.advance(Millis(100));
            }
        });
        world.platform.clock.advance(Millis(1000));

        b.step();

        let catalog = b.session.catalog(world.now());
        assert!(catalog.is_none_or(|catalog| catalog.number == 2), "{side:?}");
        world.run(&[&b], 2000);
        assert_eq!(b.session.catalog(world.now()).unwrap().number, 2);
    }
}

/// Guards against a delayed renewal that restores a session which was left, or extends its lease.
#[test]
fn a_delayed_renewal_restores_neither_session_nor_lease() {
    for leave in [false, true] {
        let (world, [a, b]) = World::ready(["a", "b"]);
        a.link.set_hook(|point| match (point.step, point.side) {
            (Step::Renew, Side::Before) => Fault::Delay,
            _ => Fault::None,
        });
        world.run(&[&a, &b], 6000);
        let lapsed = b.membership.lapse_check(world.now(), a.session.instance()).is_some();
        if leave {
            a.session.leave(world.now()).unwrap();
        }
        a.link.deliver();
        let restored = a.is_live();
        a.clear_faults();
        world.run(&[&a, &b], 2000);

        assert!(lapsed && !restored);
        assert_eq!(world.row("session/a").is_some(), !leave);
        assert_eq!(a.is_live(), !leave);
    }
}

/// Guards against a ticket that is written after a newer one, because its instance was frozen during the write.
#[test]
fn a_frozen_ticket_is_superseded() {
    let (world, [a, b]) = World::ready(["a", "b"]);
    a.run_during(Step::Pending, Side::Before, move || {
        b.tickets.put(b.now(), 9, &kind_ticket("newer")).unwrap();
    });

    let error = a.tickets.put(world.now(), 5, &kind_ticket("older")).unwrap_err();

    assert_eq!(ApiError::from(error).code, Code::TicketSuperseded);
    assert!(world.row("config/kind/older").is_none());
}

/// Runs `act` in four threads for each instance.
fn in_threads<F>(nodes: &[Arc<Node>; 2], act: F)
where
    F: Fn(&Node) + Send + Sync,
{
    thread::scope(|scope| {
        for node in nodes.iter().cycle().take(8) {
            scope.spawn(|| act(node));
        }
    });
}

/// Guards against a transaction for each of many queued submits, and against one conflict that fails the others.
#[test]
fn queued_submits_share_a_transaction() {
    let (world, [a, b]) = World::ready(["a", "b"]);
    let body = bytes(&job("check", "batch", &json!({})));
    let other = bytes(&job("check", "batch", &json!({"payload": 1})));
    let before = world.platform.table.usage();
    let (node, winner) = (Arc::clone(&a), Arc::clone(&b));
    let (begun, is_begun) = std::sync::mpsc::channel();
    a.run_during(Step::Accept, Side::Before, move || {
        begun.send(()).unwrap();
        while node.accept.queued_writes() < 7 {
            thread::yield_now();
        }
        // Another instance accepts one of the queued ids.
        winner.accept.submit(winner.now(), &job_id("j3"), &other, None).unwrap();
    });

    let first = thread::scope(|scope| {
        let submit = |n| a.accept.submit(a.now(), &job_id(&format!("j{n}")), &body, None);
        let first = scope.spawn(move || submit(7));
        is_begun.recv().unwrap();
        let results: Vec<_> = (0..7).map(|n| scope.spawn(move || (n, submit(n)))).collect();
        for result in results {
            let (n, result) = result.join().unwrap();
            assert_eq!(
                result.err().map(|error| ApiError::from(error).code),
                (n == 3).then_some(Code::JobConflict)
            );
        }
        first.join().unwrap()
    });

    let after = world.platform.table.usage();
    assert!(first.is_ok());
    assert_eq!(
        (after.commits - before.commits, after.conflicts - before.conflicts),
        (3, 1)
    );
    for n in 0..8 {
        assert!(world.row(&format!("queue/west/j{n}")).is_some());
    }
}

/// Guards against requests that block forever and jobs that are stored twice when several threads use the controllers.
#[test]
fn threads_accept_and_cancel_the_same_jobs() {
    let (world, nodes) = World::ready(["a", "b"]);
    let before = world.platform.table.usage().writes;
    let body = bytes(&job("check", "batch", &json!({})));

    in_threads(&nodes, |node| {
        for n in 0..20 {
            let id = job_id(&format!("j{n}"));
            node.accept.submit(node.now(), &id, &body, None).unwrap();
            let view = node.accept.cancel(node.now(), &id).unwrap();
            assert_eq!(
                (view.state, view.outcome),
                (JobState::Ended, Some(Outcome::Cancelled { ran: false }))
            );
        }
    });

    // Two rows for each accept and each cancel.
    assert_eq!(world.platform.table.usage().writes - before, 80);
}

/// Guards against a second run when threads of two instances execute the same calls.
#[test]
fn threads_run_the_same_calls_once() {
    let (world, nodes) = World::ready(["a", "b"]);
    let body = query(false, &json!({"answer": 1}));

    in_threads(&nodes, |node| {
        for n in 0..20 {
            let mut call = node.begin(&format!("j{n}"), &body).unwrap();
            loop {
                match node.calls.step(node.now(), &mut call) {
                    Ok(Progress::Done(view)) => break assert!(matches!(view.outcome, Some(Outcome::Completed { .. }))),
                    Ok(_) => thread::yield_now(),
                    Err(error) => panic!("{error}"),
                }
            }
        }
    });

    for n in 0..20 {
        assert_eq!(world.starts(&format!("j{n}")), 1);
    }
}
