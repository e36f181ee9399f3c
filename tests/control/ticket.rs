//! Change tickets.

use std::sync::Arc;

use serde_json::{Value, json};
use standin::fake::{Fault, Side};
use yuccaridge::api::{ApiError, Code};
use yuccaridge::platform::Step;
use yuccaridge::row::TicketState;
use yuccaridge::team::Catalog;
use yuccaridge::ticket::{InvalidTicket, Ticket, TicketError};
use yuccaridge::time::Millis;

use crate::world::{Node, World, bytes, first_ticket};

fn code(error: TicketError) -> Code {
    ApiError::from(error).code
}

fn kind_ticket(about: &str) -> Vec<u8> {
    bytes(&json!({"objects": {"kind": {"sort": {"class": "batch", "about": about}}}}))
}

/// Steps the instances until a ticket is accepted; returns the time in milliseconds.
fn confirm(world: &World, acceptor: &Node, nodes: &[&Node], number: u64) -> u64 {
    let start = world.now();
    loop {
        if let Ok(view) = acceptor.tickets.confirm(world.now(), number)
            && view.state == TicketState::Accepted
        {
            return world.now().since(start).0;
        }
        assert!(
            world.now().since(start) < Millis(30_000),
            "ticket {number} stays pending"
        );
        world.run(nodes, 100);
    }
}

/// Guards against a ticket reported as accepted before every instance uses it.
#[test]
fn a_ticket_is_accepted_once_every_live_instance_uses_it() {
    let world = World::new();
    let nodes = [world.node("a", "1"), world.node("b", "1"), world.node("c", "1")];
    let all: Vec<_> = nodes.iter().collect();
    world.run(&all, 2000);

    let view = nodes[0].tickets.put(world.now(), 5, &bytes(&first_ticket())).unwrap();
    let early = nodes[0].tickets.confirm(world.now(), 5).unwrap();
    let took = confirm(&world, &nodes[0], &all, 5);

    assert_eq!((view.state, view.repeated), (TicketState::Pending, false));
    assert_eq!(early.state, TicketState::Pending);
    assert!(took <= 2000, "{took} ms");
    for node in &nodes {
        assert_eq!(node.session.catalog(world.now()).unwrap().number, 5);
    }
}

/// Guards against waiting forever for a dead instance, and against not waiting for a frozen one.
#[test]
fn a_silent_instance_delays_a_ticket_until_its_session_has_lapsed() {
    let world = World::new();
    let (a, b) = (world.node("a", "1"), world.node("b", "1"));
    world.run(&[&a, &b], 2000);

    a.tickets.put(world.now(), 5, &bytes(&first_ticket())).unwrap();
    let took = confirm(&world, &a, &[&a], 5);

    assert!(!b.is_live());
    assert!((2000..=4000).contains(&took), "{took} ms");
}

/// Guards against two accepted tickets with one number, and against wrong answers to the others.
#[test]
fn conflicting_tickets_have_one_winner_per_number() {
    let world = World::new();
    let (a, b) = (world.node("a", "1"), Arc::new(world.node("b", "1")));
    world.run(&[&a, &b], 1000);
    let other = Arc::clone(&b);
    // The other instance accepts its ticket while the first one's transaction is in flight.
    a.run_during(Step::Pending, Side::Before, move || {
        other.tickets.put(other.now(), 5, &kind_ticket("second")).unwrap();
    });

    let lost = a.tickets.put(world.now(), 5, &kind_ticket("first")).unwrap_err();

    assert_eq!(code(lost), Code::TicketConflict);
    let put = |number, about| a.tickets.put(world.now(), number, &kind_ticket(about));
    assert!(put(5, "second").unwrap().repeated);
    assert!(!put(9, "third").unwrap().repeated);
    assert_eq!(code(put(7, "fourth").unwrap_err()), Code::TicketSuperseded);
    assert_eq!(code(put(0, "fifth").unwrap_err()), Code::BadRequest);
    assert_eq!(code(put(u64::MAX, "fifth").unwrap_err()), Code::BadRequest);
    assert_eq!(world.row("config/kind/sort").unwrap().value["number"], 9);
}

/// Guards against a wrong answer when the write's request or its answer is lost.
#[test]
fn a_lost_answer_of_the_write_is_resolved_or_reported_as_unknown() {
    for (side, repeated) in [(Side::Before, false), (Side::After, true)] {
        let world = World::new();
        let node = world.node("a", "1");
        world.run(&[&node], 1000);
        node.cut_at(Step::Pending, side, 1);
        let first = node.tickets.put(world.now(), 5, &kind_ticket("x"));
        assert_eq!(first.is_ok(), side == Side::After);
        if let Err(error) = first {
            assert!(ApiError::from(error).not_run);
            assert!(world.row("ticket/head").is_none());
        }

        let again = node.tickets.put(world.now(), 5, &kind_ticket("x")).unwrap();

        assert_eq!(again.repeated, repeated);
    }
}

/// Guards against reporting "unknown" where one more request resolves it, and against a delayed transaction that
/// changes a newer configuration.
#[test]
fn an_uncertain_write_is_retried_and_a_late_copy_has_no_effect() {
    let world = World::new();
    let node = world.node("a", "1");
    world.run(&[&node], 1000);
    node.cut_from(Step::Pending, Side::After, 2);
    let resolved = node.tickets.put(world.now(), 5, &kind_ticket("x")).unwrap();
    node.inject(&[(Step::Pending, Side::Before, Fault::Delay)]);
    let again = node.tickets.put(world.now(), 6, &kind_ticket("y")).unwrap();
    node.tickets.put(world.now(), 7, &kind_ticket("z")).unwrap();

    node.link.deliver();

    assert_eq!((resolved.repeated, again.repeated), (false, false));
    assert_eq!(world.row("ticket/head").unwrap().value["number"], 7);
    assert_eq!(world.row("config/kind/sort").unwrap().value["number"], 7);
}

/// Guards against "not run" although the transaction may have taken effect.
#[test]
fn an_uncertain_write_is_reported_as_unknown() {
    let world = World::new();
    let node = world.node("a", "1");
    world.run(&[&node], 1000);
    node.cut_from(Step::Pending, Side::After, u64::MAX);

    let error = node.tickets.put(world.now(), 5, &kind_ticket("x")).unwrap_err();

    assert_eq!(error, TicketError::Unknown(5));
    assert!(!ApiError::from(error).not_run);
    node.clear_faults();
    assert!(node.tickets.put(world.now(), 5, &kind_ticket("x")).unwrap().repeated);
}

/// Guards against a ticket that stays pending or is written twice when its instance dies after any of its requests.
#[test]
fn another_instance_completes_the_ticket_of_a_dead_one() {
    for requests in 0..12 {
        let world = World::new();
        let (a, b) = (world.node("a", "1"), world.node("b", "1"));
        world.run(&[&a, &b], 1000);
        a.cut_after(requests);

        let _ = a.tickets.put(world.now(), 5, &kind_ticket("x"));
        let _ = a.tickets.confirm(world.now(), 5);
        world.run(&[&b], 12_000);

        match world.row("ticket/head") {
            None => assert!(matches!(b.tickets.get(5), Err(TicketError::Absent(5)))),
            Some(_) => assert_eq!(
                b.tickets.get(5).unwrap().state,
                TicketState::Accepted,
                "after {requests}"
            ),
        }
    }
}

/// Guards against a ticket accepted by an instance that cannot know the newest configuration.
#[test]
fn an_instance_without_a_session_accepts_no_ticket() {
    let world = World::new();
    let node = world.node("a", "1");

    let error = node.tickets.put(world.now(), 5, &kind_ticket("x")).unwrap_err();

    assert_eq!(error, TicketError::NoSession);
    assert!(ApiError::from(error).not_run);
}

fn rejection(change: &Value) -> String {
    let catalog = serde_json::from_value::<Ticket>(first_ticket())
        .unwrap()
        .apply(&Catalog::default(), 1)
        .unwrap();
    let body = bytes(&json!({ "objects": change }));
    match Ticket::parse(&body).and_then(|ticket| ticket.apply(&catalog, 2)) {
        Ok(_) => "taken".to_owned(),
        Err(InvalidTicket::Unreadable(text) | InvalidTicket::Object(text)) => text,
        Err(other) => other.to_string(),
    }
}

/// Guards against an inconsistent configuration.
#[test]
fn invalid_tickets_are_rejected_with_a_reason() {
    let team = |quota: u32, weight: u16, kind: &str, pool: &str, count: u16| {
        json!({"team": {"t": {"quota": quota, "weight": weight, "kinds": [kind],
            "guarantees": [{"pool": pool, "level": "rack", "accelerators": 16, "count": count}]}}})
    };
    let cases = [
        (json!({}), "changes nothing"),
        (json!({"teams": {}}), "unknown field `teams`"),
        (
            json!({"team": {"t": {"quota": 1, "kinds": [], "color": 1}}}),
            "unknown field `color`",
        ),
        (json!({"team": {"a b": null}}), "a name consists of"),
        (json!({"team": {"t": null}}), "there is no team of this name"),
        (team(64, 0, "check", "west", 1), "`weight` is 0"),
        (team(2_000_000, 1, "check", "west", 1), "`quota` is 2000000"),
        (team(64, 1, "none", "west", 1), "no such kind"),
        (team(64, 1, "check", "east", 1), "no such pool"),
        (team(64, 1, "check", "west", 0), "`count` is 0"),
        (team(64, 1, "check", "west", 5), "guaranteed 80 accelerators"),
        (json!({"kind": {"check": null}}), "no such kind"),
        (json!({"pool": {"west": null}}), "no such pool"),
        (json!({"pool": {"east": {"domains": []}}}), "has no domains"),
        (
            json!({"pool": {"east": {"domains": ["d1"], "racks": ["r1"]}}}),
            "overlap",
        ),
        (team(64, 1, "check", "west", 2), "taken"),
        (json!({"pool": {"east": {"domains": ["d2"], "racks": ["r1"]}}}), "taken"),
    ];

    for (change, expected) in cases {
        let text = rejection(&change);
        assert!(text.contains(expected), "{change}: {text}");
    }
}
