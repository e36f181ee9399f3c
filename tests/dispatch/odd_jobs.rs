//! Accepted jobs with numbers near the largest value.

use std::sync::Arc;

use yuccaridge::graph::Step;
use yuccaridge::port::{Advice, AdviceTerms, Queue};

use crate::world::{World, config, gang, name, step};

fn huge() -> Step {
    Step {
        count: 2,
        millicores: u64::MAX,
        memory_mb: u64::MAX,
        accelerators: u64::MAX,
        estimate_ms: u64::MAX,
        tail_latency_max_ms: u64::MAX,
        per_endpoint_max: u32::MAX,
        max_unavailable: u32::MAX,
        ..Step::default()
    }
}

/// Guards against a panic of the leader because of the estimate of one job.
#[test]
fn any_estimate_of_a_job_is_accepted() {
    let mut world = World::new(2);
    for queue in ["urgent", "normal", "batch"] {
        world.submit(&format!("{queue}1"), queue, vec![step(1, 8, u64::MAX)]);
        world.submit(&format!("{queue}2"), queue, vec![gang(2, 8, u64::MAX)]);
    }
    let starts = world.advance(500);
    world.confirm(&starts);

    world.advance(1_000);
    world.submit("small", "batch", vec![step(1, 0, 1_000)]);

    assert_eq!(world.advance(50).len(), 1);
}

/// Guards against a panic of the leader, or a demand that wraps around to a small one, because of what one job needs.
#[test]
fn any_need_of_a_job_is_accepted() {
    let mut world = World::new(2);
    for queue in ["urgent", "normal"] {
        let gang = Step { gang: true, ..huge() };
        world.submit(&format!("{queue}1"), queue, vec![huge(), huge()]);
        world.submit(&format!("{queue}2"), queue, vec![gang]);
    }
    world.advance(5_000);

    world.submit("small", "urgent", vec![step(1, 1, 1_000)]);

    assert_eq!(world.advance(50).len(), 1);
}

/// Guards against a panic of the leader because of one queue of the configuration.
#[test]
fn any_numbers_of_a_queue_are_accepted() {
    let mut world = World::new(2);
    let mut changed = config();
    changed.version = 2;
    for (at, name) in ["normal", "batch", "advised"].into_iter().enumerate() {
        let queue = Queue {
            priority: u32::MAX - at as u32,
            stretch: 1e300,
            slack_ms: u64::MAX,
            advice: changed.queues[name].advice.map(|_| AdviceTerms {
                decide_ms: u64::MAX,
                period_ms: u64::MAX,
                valid_ms: u64::MAX,
            }),
            ..Queue::clone(&changed.queues[name])
        };
        changed.queues.insert(Arc::from(name), Arc::new(queue));
    }
    world.dispatcher.configure(Arc::new(changed));
    for queue in ["normal", "batch", "advised"] {
        world.submit(queue, queue, vec![step(1, 1, 1_000)]);
    }
    let mut starts = world.advance(50);

    let request = world.advice_requests.pop().expect("a request");
    let advice = Advice {
        allowed: request.endpoints.iter().map(|at| (Arc::clone(at), name("t"))).collect(),
        valid_ms: None,
    };
    world.dispatcher.advised(&request, Ok(advice), world.now);
    starts.extend(world.advance(50));

    assert_eq!(starts.len(), 3);
}
