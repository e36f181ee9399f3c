//! Frozen instances, late transactions, and threads at once.

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

/// Guards against an instance that was frozen in a renewal and then uses the configuration that a ticket replaced.
#[test]
fn a_frozen_renewal_does_not_revive_an_old_configuration() {
    for side in [Side::Before, Side::After] {
        let (world, [a, b]) = World::ready(["a", "b"]);
        b.meanwhile(Step::Renew, side, move || {
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

/// Guards against a renewal that arrives late: it must neither bring back a session that was given up nor give a lease.
#[test]
fn a_late_renewal_revives_nothing() {
    for leave in [false, true] {
        let (world, [a, b]) = World::ready(["a", "b"]);
        a.link.set_hook(|point| match (point.step, point.side) {
            (Step::Renew, Side::Before) => Fault::Delay,
            _ => Fault::None,
        });
        world.run(&[&a, &b], 6000);
        let lapsed = b.member.lapsed(world.now(), a.session.instance()).is_some();
        if leave {
            a.session.leave(world.now()).unwrap();
        }
        a.link.deliver();
        let revived = a.is_live();
        a.mend();
        world.run(&[&a, &b], 2000);

        assert!(lapsed && !revived);
        assert_eq!(world.row("session/a").is_some(), !leave);
        assert_eq!(a.is_live(), !leave);
    }
}

/// Guards against a ticket that is written after a newer one, by a taker that was frozen in the middle.
#[test]
fn a_frozen_ticket_is_superseded() {
    let (world, [a, b]) = World::ready(["a", "b"]);
    a.meanwhile(Step::Pending, Side::Before, move || {
        b.tickets.put(b.now(), 9, &kind_ticket("newer")).unwrap();
    });

    let error = a.tickets.put(world.now(), 5, &kind_ticket("older")).unwrap_err();

    assert_eq!(ApiError::from(error).code, Code::TicketSuperseded);
    assert!(world.row("config/kind/older").is_none());
}

/// Does something with each instance in four threads at once.
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

/// Guards against a wave of requests that needs a transaction each, and against one bad request that spoils the others.
#[test]
fn requests_that_wait_share_a_transaction() {
    let (world, [a, b]) = World::ready(["a", "b"]);
    let body = bytes(&job("check", "batch", &json!({})));
    let other = bytes(&job("check", "batch", &json!({"payload": 1})));
    let before = world.platform.table.usage();
    let (node, winner) = (Arc::clone(&a), Arc::clone(&b));
    let (begun, is_begun) = std::sync::mpsc::channel();
    a.meanwhile(Step::Accept, Side::Before, move || {
        begun.send(()).unwrap();
        while node.accept.unsent() < 7 {
            thread::yield_now();
        }
        // Another instance takes one of the ids that wait.
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

/// Guards against controllers that only one thread may use: no request waits for ever, and each job is stored once.
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

/// Guards against a second run when threads of two instances carry the same calls out.
#[test]
fn threads_carry_the_same_calls_out_once() {
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
