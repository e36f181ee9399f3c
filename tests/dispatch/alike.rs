//! Wide steps of single tasks, which are placed by one search.
//!
//! The pattern is a batch job with hundreds of equal tasks on a fleet that other work has filled unevenly.

use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use yuccaridge::graph::Step;

use crate::world::{World, step};

const SEEDS: u64 = 60;

/// A fleet of which other work takes a random part.
fn partly_used(random: &mut SmallRng) -> World {
    let mut world = World::new(12);
    for rack in 0..3 {
        for (size, accelerators) in [(1, 4), (2, 2), (3, 1)] {
            let other = Step {
                label: format!("r{rack}"),
                per_endpoint_max: random.random_range(1..3),
                ..step(random.random_range(0..=size), accelerators, 600_000)
            };
            if other.count > 0 {
                world.submit(&format!("other-{rack}-{size}"), "batch", vec![other]);
            }
        }
    }
    let starts = world.advance(100);
    world.confirm(&starts);
    world
}

fn endpoints_of(world: &World, jobs: &str) -> Vec<Arc<str>> {
    let starts = world.starts.iter().filter(|start| start.job.starts_with(jobs));
    starts.map(|start| Arc::clone(&start.endpoint)).collect()
}

/// Guards against a search for many equal tasks that chooses other endpoints than one search for each of them.
#[test]
fn equal_tasks_are_placed_as_if_each_was_searched_for() {
    for seed in 0..SEEDS {
        let mut random = SmallRng::seed_from_u64(seed);
        let (count, accelerators) = (random.random_range(1..40), random.random_range(0..5));
        let mut together = partly_used(&mut SmallRng::seed_from_u64(seed));
        let mut single = partly_used(&mut SmallRng::seed_from_u64(seed));

        together.submit("job", "batch", vec![step(count, accelerators, 5_000)]);
        for index in 0..count {
            single.submit(&format!("job-{index:02}"), "batch", vec![step(1, accelerators, 5_000)]);
        }
        together.round();
        single.round();

        let chosen = endpoints_of(&together, "job");
        assert!(!chosen.is_empty(), "seed {seed}");
        assert_eq!(chosen, endpoints_of(&single, "job-"), "seed {seed}");
    }
}
