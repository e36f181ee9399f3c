//! Processor time of the dispatcher on a large fleet: for each run that it places, and for each call.

mod fleet;

use criterion::{Criterion, criterion_group, criterion_main};

use crate::fleet::{Fleet, Load};

/// Endpoints of the largest deployment that the users plan.
const ENDPOINTS: usize = 1_310;

/// Time over which a load is applied before it is measured, in milliseconds; long enough for the fleet to fill up.
const WARM_UP_MS: u64 = 15_000;

/// Time over which the calls are counted, in milliseconds.
const COUNTED_MS: u64 = 5_000;

fn dispatch(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("dispatch");
    group.sample_size(10);
    for load in [Load::USUAL, Load::BURST, Load::OVERLOAD] {
        let mut fleet = Fleet::new(ENDPOINTS, load);
        fleet.advance(WARM_UP_MS);
        fleet.reset();
        fleet.advance(COUNTED_MS);
        println!("{}", fleet.summary(load.label));
        group.bench_function(load.label, |bencher| {
            bencher.iter_custom(|count| (0..count).map(|_| fleet.advance(100)).sum());
        });
    }
    group.finish();
}

criterion_group!(benches, dispatch);
criterion_main!(benches);
