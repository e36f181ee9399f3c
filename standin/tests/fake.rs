//! Faults that a link injects have their documented effect and no other.

use std::sync::Arc;

use serde_json::json;
use standin::endpoint::Endpoint;
use standin::fake::{Fault, Link, PartFault, Platform, Side};
use standin::record::TaskEvent;
use standin::sample::{self, listed, loopback, start, write};
use yuccaridge::platform::{
    CallRequest, EndpointError, Endpoints, Listing, ObjectError, Objects, Presence, Refusal, Reply, Step, Table,
    TableError, TaskState,
};
use yuccaridge::time::{Clock, Millis};

const TIMEOUT: Millis = Millis::from_secs(1);

fn platform_with_link() -> (Arc<Platform>, Arc<Link>) {
    let platform = Platform::new();
    platform.add_endpoint(Endpoint::new(listed("w"), 1.0));
    let link = Link::new(&platform);
    (platform, link)
}

/// Injects a fault before or after every request of a step.
fn inject(link: &Link, step: Step, side: Side, fault: Fault) {
    link.set_hook(move |point| {
        if point.step == step && point.side == side {
            fault
        } else {
            Fault::None
        }
    });
}

fn last_writer(platform: &Platform) -> Option<String> {
    let row = platform.table.read(&["job/1".to_owned()]).unwrap().remove(0);
    row.map(|row| row.op.0)
}

fn call(work_ms: u64) -> CallRequest {
    CallRequest {
        attempt: 2,
        ..sample::call("c1", json!({ "work_ms": work_ms, "parts": 2 }))
    }
}

fn events(platform: &Platform) -> Vec<TaskEvent> {
    platform.record().into_iter().map(|entry| entry.event).collect()
}

#[test]
fn hook_makes_the_table_slow() {
    let (platform, link) = platform_with_link();
    let clock = Arc::clone(&platform);
    link.set_hook(move |point| {
        if point.side == Side::After {
            clock.clock.advance(Millis::from_secs(5));
        }
        Fault::None
    });
    link.commit(&write("a", "job/1", 0)).unwrap();
    assert_eq!(platform.clock.now(), Millis::from_secs(5));
}

/// Guards against a delayed transaction that takes effect at once or never.
#[test]
fn delayed_commit_takes_effect_on_delivery() {
    let (platform, link) = platform_with_link();
    inject(&link, Step::Accept, Side::Before, Fault::Delay);
    let error = link.commit(&write("a", "job/1", 0)).unwrap_err();
    assert!(matches!(error, TableError::Unknown(_)));
    assert_eq!(last_writer(&platform), None);
    assert_eq!((link.deliver(), link.deliver()), (1, 0));
    assert_eq!(last_writer(&platform).as_deref(), Some("a"));
}

#[test]
fn delayed_commit_still_checks_on_delivery() {
    let (platform, link) = platform_with_link();
    inject(&link, Step::Accept, Side::Before, Fault::Delay);
    link.commit(&write("a", "job/1", 0)).unwrap_err();
    Link::new(&platform).commit(&write("b", "job/1", 0)).unwrap();
    link.deliver();
    assert_eq!(last_writer(&platform).as_deref(), Some("b"));
}

#[test]
fn delayed_commands_are_executed_on_delivery() {
    let (platform, link) = platform_with_link();
    inject(&link, Step::Prepare, Side::Before, Fault::Delay);
    let error = link.command(loopback(), &start("j1")).unwrap_err();
    assert!(matches!(error, EndpointError::Lost(_)));
    assert_eq!(events(&platform), []);
    link.deliver();
    assert_eq!(events(&platform), [TaskEvent::Held, TaskEvent::Started]);
}

#[test]
fn call_delivered_after_its_refusal_does_not_start() {
    let (platform, link) = platform_with_link();
    inject(&link, Step::Send, Side::Before, Fault::Delay);
    let error = link.call(loopback(), &call(0), TIMEOUT).unwrap_err();
    assert!(!error.is_unstarted());
    assert_eq!(link.refuse(loopback(), &call(0).job, 2), Ok(Refusal::Refused));
    link.deliver();
    assert_eq!(events(&platform), [TaskEvent::Refused]);
}

#[test]
fn repeated_commands_start_once() {
    let (platform, link) = platform_with_link();
    inject(&link, Step::Prepare, Side::Before, Fault::Repeat);
    let replies = link.command(loopback(), &start("j1")).unwrap();
    let running = Reply::Task {
        state: TaskState::Running,
    };
    assert_eq!(replies, [running.clone(), running]);
    assert_eq!(events(&platform), [TaskEvent::Held, TaskEvent::Started]);
}

#[test]
fn part_faults_change_the_parts_that_arrive() {
    let expected: [(PartFault, &[(u32, u32)]); 4] = [
        (PartFault::Reversed, &[(2, 1), (2, 0)]),
        (PartFault::Duplicated, &[(2, 0), (2, 0), (2, 1), (2, 1)]),
        (PartFault::Truncated, &[(2, 0)]),
        (PartFault::Stale, &[(1, 0), (2, 0), (1, 1), (2, 1)]),
    ];
    for (disorder, expected) in expected {
        let (_, link) = platform_with_link();
        inject(&link, Step::Send, Side::After, Fault::Parts(disorder));
        let parts = link.call(loopback(), &call(0), TIMEOUT).unwrap();
        let found: Vec<_> = parts.iter().map(|part| (part.attempt, part.sequence)).collect();
        assert_eq!(found, expected, "{disorder:?}");
    }
}

/// Guards against an answer that arrives after the timeout of its call.
#[test]
fn call_beyond_its_timeout_is_lost_but_runs_on() {
    let (platform, link) = platform_with_link();
    let request = call(TIMEOUT.0 + 1);
    let error = link.call(loopback(), &request, TIMEOUT).unwrap_err();
    assert!(matches!(error, EndpointError::Lost(_)));
    assert_eq!(link.refuse(loopback(), &request.job, 2), Ok(Refusal::Running));
    platform.clock.advance(TIMEOUT + TIMEOUT);
    let refusal = link.refuse(loopback(), &request.job, 2).unwrap();
    assert!(matches!(refusal, Refusal::Ended { .. }));
}

#[test]
fn outdated_list_is_returned_until_it_is_reset() {
    let (platform, link) = platform_with_link();
    let old = link.list().unwrap();
    link.set_list(Some(old.clone()));
    platform.with_endpoint(&old.endpoints[0].name, |endpoint, _| {
        endpoint.listed_mut().presence = Presence::Leaving;
    });
    assert_eq!(link.list(), Ok(old));
    link.set_list(None);
    assert_eq!(link.list().unwrap().endpoints[0].presence, Presence::Leaving);
}

#[test]
fn object_store_fails_before_and_after_a_put() {
    let (platform, link) = platform_with_link();
    inject(&link, Step::Object, Side::Before, Fault::Cut);
    assert!(matches!(link.put("a", b"x"), Err(ObjectError::Unavailable(_))));
    assert!(matches!(link.get("a"), Err(ObjectError::Unavailable(_))));
    assert!(platform.objects.get("a").is_err());
    inject(&link, Step::Object, Side::After, Fault::Cut);
    assert!(matches!(link.put("a", b"x"), Err(ObjectError::Unavailable(_))));
    assert_eq!(platform.objects.get("a").as_deref(), Ok(&b"x"[..]));
}
