//! The threads of one instance.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};

use thiserror::Error;

use super::{Core, CoreOptions, Gateway, Instrumented, RequestResult, RequestThreads};
use crate::api::{Handler, Server, ServerError};
use crate::config::Config;
use crate::metric::Metrics;
use crate::peer::{Hello, Mesh, PeerError, Recipient};
use crate::platform::http::{HttpEndpoints, HttpListing, HttpObjects, HttpTable, Timeouts};
use crate::platform::{RateLimitedTable, TableBudget};
use crate::time::{Clock, Millis, SystemClock};
use crate::trace::Tracer;

/// Pause between two steps of a thread.
const IDLE_PAUSE: Millis = Millis(50);
/// Number of live instances assumed until the list has been read; the table budget is divided by it.
const INSTANCES_ASSUMED: usize = 9;
/// Longest delay before a queued hint is sent.
const HINT_DELAY_MAX: Millis = Millis(5);
/// Interval of the periodic messages to the peers.
const ANNOUNCE_EVERY: Millis = Millis(1000);
/// Minimum time for requests in flight during a drain, even if handing over the pools took the whole limit.
const REQUEST_DRAIN_MIN: Millis = Millis::from_secs(30);
/// Limit on queued messages from peers; further ones are dropped.
const PEER_EVENTS_MAX: usize = 4096;
/// Time between reporting not ready and refusing requests, in which the load balancer removes the instance.
const BALANCER_DELAY: Millis = Millis(1000);

/// Why an instance cannot start.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// The API server cannot start.
    #[error(transparent)]
    Server(#[from] ServerError),
    /// The peer port cannot be opened.
    #[error(transparent)]
    Peer(#[from] PeerError),
    /// A thread cannot start, or a signal handler cannot be set.
    #[error("a thread or a signal handler cannot be set up: {0}")]
    System(#[from] std::io::Error),
}

/// A running instance.
#[derive(Debug)]
pub struct Daemon {
    core: Arc<Core>,
    gateway: Arc<Gateway>,
    server: Option<Server>,
    clock: Arc<dyn Clock>,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    drain_limit: Millis,
}

fn timeouts(config: &Config, read_ms: u64) -> Timeouts {
    Timeouts {
        connect: Millis(config.timeouts.connect_ms),
        read: Millis(read_ms),
    }
}

/// Random identifier of this start of the instance.
fn random_boot() -> String {
    format!("{:016x}", rand::random::<u64>())
}

impl Daemon {
    /// Starts an instance.
    pub fn start(config: &Config) -> Result<Self, DaemonError> {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock::start());
        let times = &config.timeouts;
        let table = HttpTable::new(config.platform.table, timeouts(config, times.table_ms));
        let budget = TableBudget {
            writes: f64::from(config.budget.writes),
            reads: f64::from(config.budget.reads),
        };
        let table = Arc::new(RateLimitedTable::new(
            table,
            Arc::clone(&clock),
            budget,
            INSTANCES_ASSUMED,
        ));
        let objects = HttpObjects::new(config.platform.objects, timeouts(config, times.objects_ms));
        let listing = HttpListing::new(config.platform.list, timeouts(config, times.list_ms));
        let metrics = Arc::new(Metrics::new());
        let tracer = Tracer::new(config.trace);
        let endpoints = HttpEndpoints::new(timeouts(config, times.endpoint_ms));
        let boot = random_boot();
        let hello = Hello {
            instance: config.instance.clone(),
            boot: boot.clone(),
        };
        let core = Arc::new(Core::new(CoreOptions {
            instance: config.instance.clone(),
            boot,
            peer: config.peer,
            domain: config.domain.clone(),
            weights: config.weights,
            seed: rand::random(),
            table: Arc::new(Instrumented::new(
                Arc::clone(&table),
                Arc::clone(&metrics),
                tracer.clone(),
            )),
            objects: Arc::new(objects),
            listing: Arc::new(listing),
            endpoints: Arc::new(Instrumented::new(endpoints, Arc::clone(&metrics), tracer.clone())),
        }));
        let gateway = Arc::new(Gateway::new(Arc::clone(&core), Arc::clone(&clock)));
        let handler: Arc<dyn Handler> = Arc::clone(&gateway) as Arc<dyn Handler>;
        let server = Server::start(config.listen, config.limits, handler, Arc::clone(&metrics), tracer)?;
        let stop = Arc::new(AtomicBool::new(false));
        let mut daemon = Self {
            core,
            gateway,
            server: Some(server),
            clock,
            stop,
            threads: Vec::new(),
            drain_limit: config.drain,
        };
        daemon.spawn("session", Core::heartbeat)?;
        let gauges = Arc::clone(&metrics);
        daemon.spawn("member", move |core, now| {
            core.refresh_members(now);
            let live = core.membership.live(now).len();
            table.set_instances(live);
            gauges.set_sessions(live);
            gauges.set_ticket(core.session.cached_catalog().number);
            for (pool, jobs) in core.pools.waiting() {
                gauges.set_waiting(&pool, jobs);
            }
        })?;
        daemon.spawn("ticket", Core::recover_abandoned)?;
        daemon.spawn_planner()?;
        daemon.spawn_peers(config.peer, hello, metrics)?;
        Ok(daemon)
    }

    fn spawn<F>(&mut self, name: &str, mut f: F) -> Result<(), DaemonError>
    where
        F: FnMut(&Core, Millis) + Send + 'static,
    {
        let (core, clock, stop) = (Arc::clone(&self.core), Arc::clone(&self.clock), Arc::clone(&self.stop));
        let work = move || {
            while !stop.load(Ordering::Relaxed) {
                f(&core, clock.now());
                thread::sleep(IDLE_PAUSE.duration());
            }
        };
        self.threads
            .push(thread::Builder::new().name(name.to_owned()).spawn(work)?);
        Ok(())
    }

    fn spawn_planner(&mut self) -> Result<(), DaemonError> {
        let (results, inbox) = flume::unbounded::<RequestResult>();
        let request_threads = RequestThreads::start(&self.core.endpoints, &results)?;
        let (core, clock, stop) = (Arc::clone(&self.core), Arc::clone(&self.clock), Arc::clone(&self.stop));
        let work = move || {
            while !stop.load(Ordering::Relaxed) {
                for request in core.step_planners(clock.now()) {
                    request_threads.enqueue(request);
                }
                if let Ok((pool_request, result)) = inbox.recv_timeout(IDLE_PAUSE.duration()) {
                    core.handle_answer(clock.now(), &pool_request, result);
                }
                for (pool_request, result) in inbox.try_iter() {
                    core.handle_answer(clock.now(), &pool_request, result);
                }
            }
            request_threads.stop();
        };
        self.threads
            .push(thread::Builder::new().name("planner".to_owned()).spawn(work)?);
        Ok(())
    }

    fn spawn_peers(&mut self, listen: SocketAddr, hello: Hello, metrics: Arc<Metrics>) -> Result<(), DaemonError> {
        let (events, inbox) = flume::bounded(PEER_EVENTS_MAX);
        let mesh = Mesh::start(listen, hello, events)?;
        let (core, clock, stop) = (Arc::clone(&self.core), Arc::clone(&self.clock), Arc::clone(&self.stop));
        let work = move || {
            let mut due = Millis::ZERO;
            while !stop.load(Ordering::Relaxed) {
                let now = clock.now();
                if now >= due {
                    due = now + ANNOUNCE_EVERY;
                    let sessions = core.membership.sessions().into_iter();
                    mesh.set_peers(sessions.map(|(name, row)| (name, row.peer)).collect());
                    core.queue_periodic_hints(now);
                    metrics.set_peer_counts(&mesh.counts());
                }
                for hint in core.outgoing_hints().try_iter() {
                    mesh.send(Recipient::All, &hint.into());
                }
                let first = inbox.recv_timeout(HINT_DELAY_MAX.duration()).ok();
                for event in first.into_iter().chain(inbox.try_iter()) {
                    let now = clock.now();
                    let received_at = now.since(Millis(event.age().as_millis() as u64));
                    if core.handle_hint(received_at, &event.from.instance, event.message.into())
                        && let Err(error) = core.session.refresh(now)
                    {
                        log::warn!("session refresh after a peer message failed: {error}");
                    }
                }
            }
            mesh.stop();
        };
        self.threads
            .push(thread::Builder::new().name("peers".to_owned()).spawn(work)?);
        Ok(())
    }

    /// Address of the API server.
    pub fn address(&self) -> Option<SocketAddr> {
        self.server.as_ref().map(Server::address)
    }

    /// Shuts down gracefully: reports not ready, hands over the pools, refuses new requests, finishes those in flight
    /// and releases the session.
    pub fn drain(mut self) {
        log::info!("drain started");
        let start = self.clock.now();
        self.gateway.set_draining();
        self.core.session.set_draining();
        while self.clock.now().since(start) < BALANCER_DELAY
            || (self.core.pools.count() > 0 && self.clock.now().since(start) < self.drain_limit)
        {
            thread::sleep(IDLE_PAUSE.duration());
        }
        if let Some(server) = self.server.take() {
            let left = self
                .drain_limit
                .since(self.clock.now().since(start))
                .max(REQUEST_DRAIN_MIN);
            let drained = server.stop(left);
            log::info!("API server stopped: {drained:?}");
        }
        self.stop_threads();
        if let Err(error) = self.core.session.leave(self.clock.now()) {
            log::warn!("the session could not be released and will lapse: {error}");
        }
        log::info!("drain finished");
    }

    /// Stops at once without releasing anything, as a crash would.
    pub fn abort(mut self) {
        self.stop_threads();
    }

    fn stop_threads(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            if thread.join().is_err() {
                log::error!("an instance thread panicked");
            }
        }
    }
}

/// Runs an instance until SIGTERM or SIGINT, then drains it.
pub fn run(config: &Config) -> Result<(), DaemonError> {
    let term = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        signal_hook::flag::register(signal, Arc::clone(&term))?;
    }
    let daemon = Daemon::start(config)?;
    log::info!("instance {} listens on {}", config.instance, config.listen);
    while !term.load(Ordering::Relaxed) {
        thread::sleep(IDLE_PAUSE.duration());
    }
    daemon.drain();
    Ok(())
}
