//! Command `standin measure route`: simulates the routing of calls, with bursts, hedging and endpoints of different
//! speeds.
//!
//! 50 endpoints with 8 slots and speeds from 1 to 4 serve the calls of 8 instances. An endpoint refuses calls beyond
//! its slots. Each instance has its own router and receives once a second the number of calls that each endpoint runs.
//! A call waits in its instance while the router has no free slot. By default one call in fifty reaches an endpoint
//! that pauses, and takes ten times as long. A call that is sent again has the same amount of work.

use std::collections::{BTreeMap, BTreeSet};

use clap::{Args, ValueEnum};
use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use yuccaridge::name::EndpointName;
use yuccaridge::route::{Backend, CallResult, Router};
use yuccaridge::time::Millis;

const ENDPOINTS: usize = 50;
const SLOTS_PER_ENDPOINT: u16 = 8;
const CONNECTIONS_PER_ENDPOINT: u16 = 60;
const INSTANCES: usize = 8;
/// Mean run time of a call at speed 1.
const MEAN_RUN_MS: f64 = 40.0;
const SPEED_MAX: f64 = 4.0;
const PAUSE_FACTOR: f64 = 10.0;
const REPORT_INTERVAL_MS: u64 = 1_000;
/// Time between two attempts to find a free slot.
const SLOT_RETRY_MS: u64 = 5;
/// Time without a free slot after which a call is refused.
const SLOT_WAIT_MAX_MS: u64 = 1_000;
/// Duration of a burst, at the start of every fifth second. The load during a burst is five times as high.
const BURST_MS: u64 = 200;
const BURST_FACTOR: f64 = 5.0;

/// Strategy by which an instance chooses the endpoint of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum RoutingStrategy {
    /// A random endpoint, regardless of its load.
    Random,
    /// The product's router.
    Router,
    /// The product's router, with a second copy of a call that takes longer than 95 in 100.
    Hedged,
}

/// Compares strategies for routing calls by latency, refusals and skew in a simulation.
///
/// Skew is the highest mean slot occupancy of an endpoint, divided by the mean of all endpoints. Copies are the calls
/// sent per accepted call.
#[derive(Debug, Clone, Args)]
pub struct RouteArgs {
    /// Number of seeds.
    #[arg(long, default_value_t = 3)]
    pub seeds: u64,
    /// Seconds of traffic for each seed.
    #[arg(long, default_value_t = 10)]
    pub seconds: u64,
    /// Share of calls that reach an endpoint that pauses.
    #[arg(long, default_value_t = 0.02)]
    pub pauses: f64,
    /// Load as a share of the endpoints' capacity.
    #[arg(long, default_values_t = [0.5, 0.7])]
    pub load: Vec<f64>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum SimulationEvent {
    Report,
    Arrive,
    Retry(usize),
    Hedge(usize),
    /// Call, endpoint, time at which the call was sent, and whether the endpoint refused it.
    Done(usize, usize, u64, bool),
}

#[derive(Debug)]
struct Call {
    instance: usize,
    arrived_ms: u64,
    work: f64,
    tried: Vec<EndpointName>,
    done: bool,
}

#[derive(Debug)]
struct Simulation {
    strategy: RoutingStrategy,
    calls_per_ms: f64,
    bursts: bool,
    end_ms: u64,
    pause_share: f64,
    rng: SmallRng,
    now_ms: u64,
    events: BTreeSet<(u64, u64, SimulationEvent)>,
    event_count: u64,
    names: Vec<EndpointName>,
    index: BTreeMap<EndpointName, usize>,
    speeds: Vec<f64>,
    running: Vec<u16>,
    busy_ms: Vec<u64>,
    routers: Vec<Router>,
    calls: Vec<Call>,
    latency: Histogram<u64>,
    sent: u64,
    refused: u64,
}

impl Simulation {
    fn new(args: &RouteArgs, strategy: RoutingStrategy, load: f64, bursts: bool, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut names = Vec::new();
        let mut speeds = Vec::new();
        let mut backends = Vec::new();
        for i in 0..ENDPOINTS {
            let name = EndpointName::new(format!("w{i:02}")).expect("a valid name");
            backends.push(Backend {
                name: name.clone(),
                slots: SLOTS_PER_ENDPOINT,
                connections: CONNECTIONS_PER_ENDPOINT,
                open: true,
            });
            names.push(name);
            speeds.push(SPEED_MAX.powf(rng.random()));
        }
        let mut routers = Vec::new();
        for i in 0..INSTANCES {
            let mut router = Router::new(seed * 100 + i as u64);
            router.set_endpoints(backends.clone());
            router.set_instances(INSTANCES);
            routers.push(router);
        }
        let mean = MEAN_RUN_MS * (1.0 + args.pauses * (PAUSE_FACTOR - 1.0));
        let calls_per_ms = load * f64::from(SLOTS_PER_ENDPOINT) * speeds.iter().sum::<f64>() / mean;
        let index = names.iter().cloned().enumerate().map(|(i, name)| (name, i));
        let mut simulation = Self {
            strategy,
            calls_per_ms,
            bursts,
            end_ms: args.seconds * 1_000,
            pause_share: args.pauses,
            rng,
            now_ms: 0,
            events: BTreeSet::new(),
            event_count: 0,
            index: index.collect(),
            names,
            speeds,
            running: vec![0; ENDPOINTS],
            busy_ms: vec![0; ENDPOINTS],
            routers,
            calls: Vec::new(),
            latency: Histogram::new(3).expect("a valid precision"),
            sent: 0,
            refused: 0,
        };
        simulation.schedule(0, SimulationEvent::Arrive);
        simulation.schedule(0, SimulationEvent::Report);
        simulation
    }

    fn schedule(&mut self, at: u64, event: SimulationEvent) {
        self.event_count += 1;
        self.events.insert((at, self.event_count, event));
    }

    fn run(mut self) -> SimulationResult {
        while let Some((at, _, event)) = self.events.pop_first() {
            self.now_ms = at;
            match event {
                SimulationEvent::Arrive => self.add_arrivals(),
                SimulationEvent::Report => self.report_load(),
                SimulationEvent::Retry(call) => self.send(call),
                SimulationEvent::Hedge(call) => self.hedge(call),
                SimulationEvent::Done(call, endpoint, sent, refused) => self.complete(call, endpoint, sent, refused),
            }
        }
        let mean = self.busy_ms.iter().sum::<u64>() as f64 / ENDPOINTS as f64;
        let highest = self.busy_ms.iter().max().copied().unwrap_or(0) as f64;
        SimulationResult {
            accepted: self.calls.len() as u64,
            latency: self.latency,
            sent: self.sent,
            refused: self.refused,
            skew: highest / mean,
        }
    }

    /// Adds the calls of one millisecond; their mean number is the rate.
    fn add_arrivals(&mut self) {
        if self.now_ms >= self.end_ms {
            return;
        }
        let burst = self.bursts && self.now_ms % 5_000 < BURST_MS;
        let mut expected = self.calls_per_ms * if burst { BURST_FACTOR } else { 1.0 };
        while expected > 0.0 {
            if self.rng.random::<f64>() < expected.min(1.0) {
                let work = -(1.0 - self.rng.random::<f64>()).ln() * MEAN_RUN_MS;
                self.calls.push(Call {
                    instance: self.rng.random_range(0..INSTANCES),
                    arrived_ms: self.now_ms,
                    work,
                    tried: Vec::new(),
                    done: false,
                });
                self.send(self.calls.len() - 1);
            }
            expected -= 1.0;
        }
        self.schedule(self.now_ms + 1, SimulationEvent::Arrive);
    }

    fn report_load(&mut self) {
        for router in &mut self.routers {
            for (name, running) in self.names.iter().zip(&self.running) {
                router.record_report(Millis(self.now_ms), name, u32::from(*running));
            }
        }
        if self.now_ms < self.end_ms {
            self.schedule(self.now_ms + REPORT_INTERVAL_MS, SimulationEvent::Report);
        }
    }

    fn pick_endpoint(&mut self, call: usize) -> Option<usize> {
        if self.strategy == RoutingStrategy::Random {
            return Some(self.rng.random_range(0..ENDPOINTS));
        }
        let Call { instance, tried, .. } = &self.calls[call];
        let name = self.routers[*instance].pick(Millis(self.now_ms), tried)?;
        Some(self.index[&name])
    }

    fn send(&mut self, call: usize) {
        let Some(endpoint) = self.pick_endpoint(call) else {
            self.retry_or_refuse(call);
            return;
        };
        self.send_to(call, endpoint);
        let router = &self.routers[self.calls[call].instance];
        if let (RoutingStrategy::Hedged, Some(delay)) = (self.strategy, router.hedge_delay()) {
            self.schedule(self.now_ms + delay.0, SimulationEvent::Hedge(call));
        }
    }

    fn retry_or_refuse(&mut self, call: usize) {
        if self.now_ms - self.calls[call].arrived_ms < SLOT_WAIT_MAX_MS {
            self.schedule(self.now_ms + SLOT_RETRY_MS, SimulationEvent::Retry(call));
        } else {
            self.refuse(call);
        }
    }

    fn refuse(&mut self, call: usize) {
        if !self.calls[call].done {
            self.calls[call].done = true;
            self.refused += 1;
        }
    }

    fn send_to(&mut self, call: usize, endpoint: usize) {
        self.sent += 1;
        self.calls[call].tried.push(self.names[endpoint].clone());
        if self.running[endpoint] >= SLOTS_PER_ENDPOINT {
            self.schedule(
                self.now_ms + 1,
                SimulationEvent::Done(call, endpoint, self.now_ms, true),
            );
            return;
        }
        self.running[endpoint] += 1;
        let pause = if self.rng.random_bool(self.pause_share) {
            PAUSE_FACTOR
        } else {
            1.0
        };
        let run_ms = (self.calls[call].work * pause / self.speeds[endpoint]).ceil().max(1.0) as u64;
        self.busy_ms[endpoint] += run_ms;
        self.schedule(
            self.now_ms + run_ms,
            SimulationEvent::Done(call, endpoint, self.now_ms, false),
        );
    }

    fn hedge(&mut self, call: usize) {
        let instance = self.calls[call].instance;
        if self.calls[call].done || !self.routers[instance].take_retry_token(Millis(self.now_ms)) {
            return;
        }
        if let Some(endpoint) = self.pick_endpoint(call) {
            self.send_to(call, endpoint);
        }
    }

    fn complete(&mut self, call: usize, endpoint: usize, sent_ms: u64, refused: bool) {
        let instance = self.calls[call].instance;
        let call_result = if refused {
            CallResult::Busy
        } else {
            CallResult::Answered
        };
        if self.strategy != RoutingStrategy::Random {
            let latency = Millis(self.now_ms - sent_ms);
            self.routers[instance].finish_call(Millis(self.now_ms), &self.names[endpoint], call_result, latency);
        }
        if refused {
            if self.calls[call].done {
                return;
            }
            if self.routers[instance].take_retry_token(Millis(self.now_ms)) {
                self.send(call);
            } else {
                self.calls[call].tried.clear();
                self.retry_or_refuse(call);
            }
            return;
        }
        self.running[endpoint] -= 1;
        if !self.calls[call].done {
            self.calls[call].done = true;
            self.latency
                .saturating_record(self.now_ms - self.calls[call].arrived_ms);
        }
    }
}

#[derive(Debug)]
struct SimulationResult {
    accepted: u64,
    latency: Histogram<u64>,
    sent: u64,
    refused: u64,
    skew: f64,
}

impl RouteArgs {
    /// Runs the simulations and prints the results.
    pub fn run(&self) {
        println!(
            "{:<8} {:<6} {:<7} {:>6} {:>6} {:>6} {:>6} {:>9} {:>7} {:>6}",
            "strategy", "load", "bursts", "p50 ms", "p95 ms", "p99 ms", "p99.9", "refused", "copies", "skew"
        );
        for &load in &self.load {
            for bursts in [false, true] {
                for strategy in RoutingStrategy::value_variants() {
                    self.measure_and_print(*strategy, load, bursts);
                }
            }
        }
    }

    fn measure_and_print(&self, strategy: RoutingStrategy, load: f64, bursts: bool) {
        let mut latency = Histogram::<u64>::new(3).expect("a valid precision");
        let (mut accepted, mut sent, mut refused, mut skew) = (0, 0, 0, 0.0);
        for seed in 1..=self.seeds {
            let result = Simulation::new(self, strategy, load, bursts, seed).run();
            latency.add(&result.latency).expect("equal bounds");
            accepted += result.accepted;
            sent += result.sent;
            refused += result.refused;
            skew += result.skew / self.seeds as f64;
        }
        println!(
            "{:<8} {load:<6} {bursts:<7} {:>6} {:>6} {:>6} {:>6} {:>8.3}% {:>7.3} {skew:>6.2}",
            format!("{strategy:?}").to_lowercase(),
            latency.value_at_quantile(0.5),
            latency.value_at_quantile(0.95),
            latency.value_at_quantile(0.99),
            latency.value_at_quantile(0.999),
            100.0 * refused as f64 / accepted as f64,
            sent as f64 / accepted as f64,
        );
    }
}
