//! `standin measure route`: skew, bursts and hedging of calls, calculated by seed.
//!
//! 50 endpoints with 8 slots and speeds from 1 to 4 serve the calls of 8 instances. An endpoint refuses calls beyond
//! its slots. Each instance has a router of its own, and hears once a second how many calls each endpoint runs. A call
//! whose instance has no free slot waits there. By default one call in fifty meets an endpoint that pauses, which takes
//! ten times as long; the size of a call stays the same when it is sent again.

use std::collections::{BTreeMap, BTreeSet};

use clap::{Args, ValueEnum};
use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use yuccaridge::name::EndpointName;
use yuccaridge::route::{Backend, CallResult, Router};
use yuccaridge::time::Millis;

const ENDPOINTS: usize = 50;
const SLOTS: u16 = 8;
const CONNECTIONS: u16 = 60;
const INSTANCES: usize = 8;
/// Mean run time of a call at speed 1.
const MEAN_MS: f64 = 40.0;
const SPEED_MAX: f64 = 4.0;
const PAUSE_FACTOR: f64 = 10.0;
const REPORT_EVERY: u64 = 1_000;
/// Time between two looks for a free slot.
const RETRY_MS: u64 = 5;
/// A call that found no slot for this long is refused.
const PATIENCE_MS: u64 = 1_000;
/// A burst takes this long at the start of each fifth second, and makes its load five times as high.
const BURST_MS: u64 = 200;
const BURST_FACTOR: f64 = 5.0;

/// How calls find their endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Way {
    /// At random, without any count.
    Random,
    /// The product's router.
    Router,
    /// The product's router, and a second copy of a call that is slower than 95 in 100.
    Hedged,
}

/// Compares ways to route calls: latency, refusals and skew, calculated by seed.
///
/// Skew is the highest mean occupancy of an endpoint's slots over the mean of all endpoints. Copies are the calls sent
/// per call accepted.
#[derive(Debug, Clone, Args)]
pub struct RouteArgs {
    /// Number of seeds.
    #[arg(long, default_value_t = 3)]
    pub seeds: u64,
    /// Seconds of traffic for each seed.
    #[arg(long, default_value_t = 10)]
    pub seconds: u64,
    /// Share of calls that meet an endpoint which pauses.
    #[arg(long, default_value_t = 0.02)]
    pub pauses: f64,
    /// Load as a share of the endpoints' capacity.
    #[arg(long, default_values_t = [0.5, 0.7])]
    pub load: Vec<f64>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Report,
    Arrive,
    Try(usize),
    Hedge(usize),
    /// Call, endpoint, time at which it was sent, and whether the endpoint refused it.
    Done(usize, usize, u64, bool),
}

#[derive(Debug)]
struct Call {
    instance: usize,
    arrived: u64,
    work: f64,
    tried: Vec<EndpointName>,
    done: bool,
}

#[derive(Debug)]
struct Model {
    way: Way,
    rate: f64,
    bursts: bool,
    end: u64,
    pauses: f64,
    rng: SmallRng,
    now: u64,
    agenda: BTreeSet<(u64, u64, Step)>,
    count: u64,
    names: Vec<EndpointName>,
    index: BTreeMap<EndpointName, usize>,
    speeds: Vec<f64>,
    running: Vec<u16>,
    busy: Vec<u64>,
    routers: Vec<Router>,
    calls: Vec<Call>,
    latency: Histogram<u64>,
    sent: u64,
    refused: u64,
}

impl Model {
    fn new(args: &RouteArgs, way: Way, load: f64, bursts: bool, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut names = Vec::new();
        let mut speeds = Vec::new();
        let mut backends = Vec::new();
        for i in 0..ENDPOINTS {
            let name = EndpointName::new(format!("w{i:02}")).expect("a valid name");
            backends.push(Backend {
                name: name.clone(),
                slots: SLOTS,
                connections: CONNECTIONS,
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
        let mean = MEAN_MS * (1.0 + args.pauses * (PAUSE_FACTOR - 1.0));
        let rate = load * f64::from(SLOTS) * speeds.iter().sum::<f64>() / mean;
        let index = names.iter().cloned().enumerate().map(|(i, name)| (name, i));
        let mut model = Self {
            way,
            rate,
            bursts,
            end: args.seconds * 1_000,
            pauses: args.pauses,
            rng,
            now: 0,
            agenda: BTreeSet::new(),
            count: 0,
            index: index.collect(),
            names,
            speeds,
            running: vec![0; ENDPOINTS],
            busy: vec![0; ENDPOINTS],
            routers,
            calls: Vec::new(),
            latency: Histogram::new(3).expect("a valid precision"),
            sent: 0,
            refused: 0,
        };
        model.plan(0, Step::Arrive);
        model.plan(0, Step::Report);
        model
    }

    fn plan(&mut self, at: u64, step: Step) {
        self.count += 1;
        self.agenda.insert((at, self.count, step));
    }

    fn run(mut self) -> Figures {
        while let Some((at, _, step)) = self.agenda.pop_first() {
            self.now = at;
            match step {
                Step::Arrive => self.arrive(),
                Step::Report => self.report(),
                Step::Try(call) => self.send(call),
                Step::Hedge(call) => self.hedge(call),
                Step::Done(call, endpoint, sent, refused) => self.done(call, endpoint, sent, refused),
            }
        }
        let mean = self.busy.iter().sum::<u64>() as f64 / ENDPOINTS as f64;
        let most = self.busy.iter().max().copied().unwrap_or(0) as f64;
        Figures {
            accepted: self.calls.len() as u64,
            latency: self.latency,
            sent: self.sent,
            refused: self.refused,
            skew: most / mean,
        }
    }

    /// Calls come in steps of a millisecond, as many as the rate says.
    fn arrive(&mut self) {
        if self.now >= self.end {
            return;
        }
        let burst = self.bursts && self.now % 5_000 < BURST_MS;
        let mut expected = self.rate * if burst { BURST_FACTOR } else { 1.0 };
        while expected > 0.0 {
            if self.rng.random::<f64>() < expected.min(1.0) {
                let work = -(1.0 - self.rng.random::<f64>()).ln() * MEAN_MS;
                self.calls.push(Call {
                    instance: self.rng.random_range(0..INSTANCES),
                    arrived: self.now,
                    work,
                    tried: Vec::new(),
                    done: false,
                });
                self.send(self.calls.len() - 1);
            }
            expected -= 1.0;
        }
        self.plan(self.now + 1, Step::Arrive);
    }

    fn report(&mut self) {
        for router in &mut self.routers {
            for (name, running) in self.names.iter().zip(&self.running) {
                router.record_report(Millis(self.now), name, u32::from(*running));
            }
        }
        if self.now < self.end {
            self.plan(self.now + REPORT_EVERY, Step::Report);
        }
    }

    fn pick(&mut self, call: usize) -> Option<usize> {
        if self.way == Way::Random {
            return Some(self.rng.random_range(0..ENDPOINTS));
        }
        let Call { instance, tried, .. } = &self.calls[call];
        let name = self.routers[*instance].pick(Millis(self.now), tried)?;
        Some(self.index[&name])
    }

    fn send(&mut self, call: usize) {
        let Some(endpoint) = self.pick(call) else {
            self.wait(call);
            return;
        };
        self.start(call, endpoint);
        let router = &self.routers[self.calls[call].instance];
        if let (Way::Hedged, Some(delay)) = (self.way, router.hedge_delay()) {
            self.plan(self.now + delay.0, Step::Hedge(call));
        }
    }

    fn wait(&mut self, call: usize) {
        if self.now - self.calls[call].arrived < PATIENCE_MS {
            self.plan(self.now + RETRY_MS, Step::Try(call));
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

    fn start(&mut self, call: usize, endpoint: usize) {
        self.sent += 1;
        self.calls[call].tried.push(self.names[endpoint].clone());
        if self.running[endpoint] >= SLOTS {
            self.plan(self.now + 1, Step::Done(call, endpoint, self.now, true));
            return;
        }
        self.running[endpoint] += 1;
        let pause = if self.rng.random_bool(self.pauses) {
            PAUSE_FACTOR
        } else {
            1.0
        };
        let span = (self.calls[call].work * pause / self.speeds[endpoint]).ceil().max(1.0) as u64;
        self.busy[endpoint] += span;
        self.plan(self.now + span, Step::Done(call, endpoint, self.now, false));
    }

    fn hedge(&mut self, call: usize) {
        let instance = self.calls[call].instance;
        if self.calls[call].done || !self.routers[instance].take_retry_token(Millis(self.now)) {
            return;
        }
        if let Some(endpoint) = self.pick(call) {
            self.start(call, endpoint);
        }
    }

    fn done(&mut self, call: usize, endpoint: usize, sent: u64, refused: bool) {
        let instance = self.calls[call].instance;
        let result = if refused {
            CallResult::Busy
        } else {
            CallResult::Answered
        };
        if self.way != Way::Random {
            let span = Millis(self.now - sent);
            self.routers[instance].finish_call(Millis(self.now), &self.names[endpoint], result, span);
        }
        if refused {
            if self.calls[call].done {
                return;
            }
            if self.routers[instance].take_retry_token(Millis(self.now)) {
                self.send(call);
            } else {
                self.calls[call].tried.clear();
                self.wait(call);
            }
            return;
        }
        self.running[endpoint] -= 1;
        if !self.calls[call].done {
            self.calls[call].done = true;
            self.latency.saturating_record(self.now - self.calls[call].arrived);
        }
    }
}

#[derive(Debug)]
struct Figures {
    accepted: u64,
    latency: Histogram<u64>,
    sent: u64,
    refused: u64,
    skew: f64,
}

impl RouteArgs {
    /// Calculates and prints.
    pub fn run(&self) {
        println!(
            "{:<8} {:<6} {:<7} {:>6} {:>6} {:>6} {:>6} {:>9} {:>7} {:>6}",
            "way", "load", "bursts", "p50 ms", "p95 ms", "p99 ms", "p99.9", "refused", "copies", "skew"
        );
        for &load in &self.load {
            for bursts in [false, true] {
                for way in Way::value_variants() {
                    self.line(*way, load, bursts);
                }
            }
        }
    }

    fn line(&self, way: Way, load: f64, bursts: bool) {
        let mut latency = Histogram::<u64>::new(3).expect("a valid precision");
        let (mut accepted, mut sent, mut refused, mut skew) = (0, 0, 0, 0.0);
        for seed in 1..=self.seeds {
            let figures = Model::new(self, way, load, bursts, seed).run();
            latency.add(&figures.latency).expect("equal bounds");
            accepted += figures.accepted;
            sent += figures.sent;
            refused += figures.refused;
            skew += figures.skew / self.seeds as f64;
        }
        println!(
            "{:<8} {load:<6} {bursts:<7} {:>6} {:>6} {:>6} {:>6} {:>8.3}% {:>7.3} {skew:>6.2}",
            format!("{way:?}").to_lowercase(),
            latency.value_at_quantile(0.5),
            latency.value_at_quantile(0.95),
            latency.value_at_quantile(0.99),
            latency.value_at_quantile(0.999),
            100.0 * refused as f64 / accepted as f64,
            sent as f64 / accepted as f64,
        );
    }
}
