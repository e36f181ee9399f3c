//! Bursts of jobs on queues with advice, against a service that takes time and handles calls in turn.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use yuccaridge::graph::Phase;
use yuccaridge::port::AdviceTerms;

use crate::advice_service::Behavior;
use crate::advised_site::AdvisedSite;
use crate::world::{gang, step};

/// Time from an answer to the next call and from a ticket to a start, for each job of a burst, in milliseconds.
const TURN_MS: u64 = 50;

/// Number of random seeds in the regular test run.
const SEEDS: u64 = 40;

/// Work of a task, in milliseconds.
const WORK_MS: u64 = 2_000;

fn terms(decide_ms: u64, period_ms: u64, valid_ms: u64) -> AdviceTerms {
    AdviceTerms {
        decide_ms,
        period_ms,
        valid_ms,
    }
}

/// Submits jobs with one small task each at once.
fn submit_burst(site: &mut AdvisedSite, queue: &'static str, jobs: usize) {
    for index in 0..jobs {
        site.submit(&format!("{queue}-{index}"), queue, step(1, 1, WORK_MS));
    }
}

/// Checks that all jobs are done within `calls_ms`, the time that the service needs for the calls, and that of a task.
fn assert_worked_off(site: &mut AdvisedSite, calls_ms: u64) {
    let limit_ms = calls_ms + WORK_MS + TURN_MS * (site.jobs() as u64 + 1);
    let took = site.advance_until_done(limit_ms);

    let (unused, handled) = (site.unused_answers(), site.service.handled);
    assert!(
        took.is_some(),
        "{:?} not done after {limit_ms} ms; first starts after {:?} ms; {unused} of {handled} answers unused",
        site.unfinished(),
        site.waits(),
    );
    assert_eq!(site.violations, Vec::<String>::new());
}

/// Guards against jobs that never start after a burst: their tickets counted as expired on arrival, since the time that a
/// call waited for others was taken off their validity.
#[test]
fn a_burst_is_worked_off_at_the_rate_of_the_advice_service() {
    // A call on 30 endpoints takes a third of the validity.
    let mut site = AdvisedSite::new(30, &[terms(400, 20, 3_000)]);

    submit_burst(&mut site, "advised", 12);

    assert_worked_off(&mut site, 12 * 1_000);
}

/// Guards against the same where a call takes nearly all of the validity.
#[test]
fn tickets_of_calls_that_take_nearly_as_long_as_they_are_valid_are_used() {
    let mut site = AdvisedSite::new(30, &[terms(400, 80, 3_000)]);

    submit_burst(&mut site, "advised", 6);

    assert_worked_off(&mut site, 6 * 2_800);
}

/// Guards against the same where a call takes longer than the validity.
#[test]
fn tickets_of_calls_that_take_longer_than_they_are_valid_are_used() {
    let mut site = AdvisedSite::new(30, &[terms(400, 120, 3_000)]);

    submit_burst(&mut site, "advised", 4);

    assert_worked_off(&mut site, 4 * 4_000);
}

/// Guards against calls that are given up while the service works on them, because it is slower than its terms: the next
/// calls wait behind the abandoned ones, and are given up in turn.
#[test]
fn answers_of_a_slow_advice_service_are_used() {
    let mut site = AdvisedSite::new(30, &[terms(400, 20, 3_000)]);
    site.behave(Behavior::Serving(6));

    submit_burst(&mut site, "advised", 6);

    assert_worked_off(&mut site, 6 * 6 * 1_000);
}

/// Guards against calls that are given up because those of another queue before them take long.
#[test]
fn queues_with_short_and_long_calls_share_the_advice_service() {
    let mut site = AdvisedSite::new(30, &[terms(20, 1, 3_000), terms(1_000, 60, 3_000)]);

    submit_burst(&mut site, "advised-too", 6);
    site.advance(500);
    submit_burst(&mut site, "advised", 6);

    assert_worked_off(&mut site, 6 * 50 + 6 * 2_800);
}

/// Guards against a new leader that gives its calls up while the service still handles those of the former one.
#[test]
fn calls_of_a_former_leader_delay_the_next_one_only_once() {
    let mut site = AdvisedSite::new(30, &[terms(400, 20, 3_000)]);
    submit_burst(&mut site, "advised", 8);
    let mut abandoned_ms = 0;
    for _ in 0..4 {
        site.advance(600);
        abandoned_ms += 1_000 * site.service.waiting_calls() as u64;

        site.replace_leader();
    }

    assert_worked_off(&mut site, 8 * 1_000 + abandoned_ms);
}

/// Guards against jobs that wait beside an idle service after it rejected or ignored calls.
#[test]
fn jobs_start_soon_after_the_advice_service_recovers() {
    for behavior in [Behavior::Rejecting, Behavior::Silent] {
        let mut site = AdvisedSite::new(30, &[terms(400, 20, 3_000)]);
        site.behave(behavior);
        submit_burst(&mut site, "advised", 4);
        site.advance(5_000);

        site.behave(Behavior::Serving(1));

        // The calls under way when the service recovers are lost, and count as such after some time.
        assert_worked_off(&mut site, 4 * 1_000 + 5_000);
    }
}

/// Guards against calls without end while the service rejects them.
#[test]
fn a_service_that_rejects_calls_is_asked_again_after_a_pause() {
    let mut site = AdvisedSite::new(30, &[terms(400, 20, 3_000)]);
    site.behave(Behavior::Rejecting);
    submit_burst(&mut site, "advised", 40);

    site.advance(10_000);

    // One call in half a second.
    assert!(site.service.rejected <= 22, "{} calls", site.service.rejected);
}

/// Guards against a gang that never has enough valid tickets at the same time, because it needs more than one call.
#[test]
fn a_gang_that_needs_more_endpoints_than_a_call_names_starts() {
    for period_ms in [20, 60, 85] {
        let mut site = AdvisedSite::new(60, &[terms(400, period_ms, 3_000)]);
        site.submit("gang", "advised", gang(32, 8, WORK_MS));
        submit_burst(&mut site, "advised", 4);

        // At most 60 endpoints in two calls, and those found to be allowed once more.
        assert_worked_off(&mut site, 7 * (400 + 30 * period_ms) + 100 * period_ms + 400);
    }
}

/// Guards against jobs that could start but wait for calls on behalf of others that could not: the endpoints of the others
/// are full, and their tickets are renewed in vain.
#[test]
fn jobs_without_room_do_not_hold_up_those_with_room() {
    let mut site = AdvisedSite::new(30, &[terms(400, 20, 3_000)]);
    for index in 0..28 {
        site.submit(&format!("occupant-{index}"), "normal", step(1, 8, 120_000));
    }
    site.advance(1_000);
    for index in 0..40 {
        site.submit(&format!("gang-{index}"), "advised", gang(4, 8, 20_000));
    }
    for (index, since_ms) in [(0, 2_000), (1, 45_000)] {
        site.advance(since_ms);

        // It is due after the gangs, and more of it than a call for others is lost.
        site.submit(&format!("small-{index}"), "advised", step(1, 1, 60_000));
        site.advance(4_000);

        let wait = site.wait(&format!("small-{index}"));
        assert!(
            wait.is_some_and(|wait| wait <= 2_000 + 2 * TURN_MS),
            "started after {wait:?} ms"
        );
    }
}

/// Guards against a task that never starts again because it has failed on all endpoints that the service allows: advice was
/// requested only on endpoints that a unit prefers.
#[test]
fn advice_is_requested_on_endpoints_that_a_job_would_rather_avoid() {
    let mut site = AdvisedSite::new(6, &[terms(100, 10, 3_000)]);
    site.service.allowed_thirds = 1;
    let allowed = site.allowed("job");
    site.fail_once_on(&allowed);

    site.submit("job", "advised", step(1, 1, WORK_MS));
    site.advance(20_000);

    assert_eq!((allowed.len(), site.unfinished()), (2, vec![]));
    assert_eq!(site.world.job("job").phase, Phase::Done);
}

/// Guards against starts with the tickets of a former incarnation of an endpoint, which it refuses.
#[test]
fn advice_is_requested_anew_for_an_endpoint_that_restarts_before_the_start() {
    let mut site = AdvisedSite::new(3, &[terms(400, 20, 3_000)]);
    for index in 0..3 {
        site.submit(&format!("occupant-{index}"), "normal", step(1, 8, 1_000));
    }
    site.advance(50);
    site.submit("job", "advised", step(1, 1, WORK_MS));
    site.advance(700);
    let answered = site.service.handled;

    for endpoint in ["e0", "e1", "e2"] {
        site.restart(endpoint);
    }
    let took = site.advance_until_done(8_000);

    assert!(took.is_some(), "{:?} not done", site.unfinished());
    assert_eq!((answered, site.service.handled, site.refused_starts), (1, 2, 0));
}

/// Guards against tickets that are never usable, because they are valid for less than the time kept for the start.
#[test]
fn tickets_with_a_short_validity_are_used() {
    let mut site = AdvisedSite::new(30, &[terms(50, 1, 250)]);

    submit_burst(&mut site, "advised", 4);

    assert_worked_off(&mut site, 4 * 80);
}

/// Guards against an urgent job that cannot claim an endpoint, because its tickets expire while all endpoints are full.
#[test]
fn an_urgent_job_with_advice_claims_an_endpoint() {
    let mut site = AdvisedSite::new(6, &[terms(100, 20, 600)]);
    site.prioritize("advised", 0);
    for index in 0..6 {
        site.submit(&format!("occupant-{index}"), "normal", step(1, 8, 60_000));
    }
    site.advance(10_000);

    site.submit("urgent", "advised", step(1, 8, 1_000));
    site.advance(5_000);

    // The bound of a guarantee, and a call.
    let wait = site.wait("urgent");
    assert!(
        wait.is_some_and(|wait| wait <= 2_700 + 220),
        "started after {wait:?} ms"
    );
}

/// Guards against a job that waits for as long as there is work of lower priority: while its call for advice was under way, the
/// others took each endpoint that came free.
#[test]
fn work_of_lower_priority_leaves_room_for_a_job_that_awaits_advice() {
    let mut site = AdvisedSite::new(6, &[terms(400, 20, 600)]);
    for index in 0..60 {
        let work_ms = 2_000 + 100 * (index % 7);
        site.submit(&format!("batch-{index}"), "batch", step(1, 8, work_ms));
    }
    site.advance(1_000);

    site.submit("job", "advised", step(1, 8, 1_000));
    site.advance(10_000);

    // Two endpoints of six come free within 2.6 s, and the service allows four.
    let wait = site.wait("job");
    assert!(
        wait.is_some_and(|wait| wait <= 2_600 + 2 * (520 + TURN_MS)),
        "started after {wait:?} ms"
    );
}

/// A site with random terms and troubles, and the jobs of a random load.
struct RandomSite {
    site: AdvisedSite,
    random: SmallRng,
    /// Number of jobs that were submitted.
    jobs: usize,
    /// Time that the service needs at most for the longest call, in milliseconds.
    longest_ms: u64,
}

impl RandomSite {
    fn new(seed: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let valid_ms = random.random_range(1_000..4_000);
        let mut longest_ms = 0;
        let mut queue_terms = || {
            // A call on 30 endpoints takes up to the whole validity.
            let call_ms = valid_ms * random.random_range(2..=100) / 100;
            let decide_ms = call_ms * random.random_range(0..=100) / 100;
            longest_ms = longest_ms.max(call_ms);
            terms(decide_ms, (call_ms - decide_ms) / 30, valid_ms)
        };
        let terms = [queue_terms(), queue_terms()];
        let mut site = AdvisedSite::new(random.random_range(20..60), &terms);
        site.service.allowed_thirds = random.random_range(1..=3);
        Self {
            site,
            random,
            jobs: 0,
            longest_ms,
        }
    }

    /// Submits a job that fits on a third of the endpoints.
    fn submit(&mut self) {
        let queue = ["advised", "advised-too", "normal"][self.random.random_range(0..3)];
        let work_ms = self.random.random_range(500..4_000);
        let step = match self.random.random_range(0..10) {
            0..6 => step(self.random.random_range(1..6), 1, work_ms),
            6..8 => step(1, 8, work_ms),
            _ => gang(self.random.random_range(2..=4), 8, work_ms),
        };
        self.jobs += 1;
        self.site.submit(&format!("job{}", self.jobs), queue, step);
    }

    /// Changes how the service behaves, replaces the leader, or restarts an endpoint.
    fn disturb(&mut self) {
        match self.random.random_range(0..6) {
            0 => self.site.behave(Behavior::Rejecting),
            1 => self.site.behave(Behavior::Silent),
            2 => self.site.behave(Behavior::Serving(self.random.random_range(2..12))),
            3 => self.site.replace_leader(),
            4 => {
                let endpoint = format!("e{}", self.random.random_range(0..20));
                self.site.restart(&endpoint);
            }
            _ => self.site.behave(Behavior::Serving(1)),
        }
    }

    /// Runs bursts beside troubles, and then the recovery; returns what was wrong.
    fn run(&mut self) -> Vec<String> {
        for _ in 0..self.random.random_range(2..5) {
            for _ in 0..self.random.random_range(1..16) {
                self.submit();
            }
            for _ in 0..self.random.random_range(0..3) {
                self.site.advance(self.random.random_range(50..4_000));
                self.disturb();
            }
        }
        self.site.behave(Behavior::Serving(1));
        // Calls sent before may wait, and each job may need several.
        let calls = self.site.service.waiting_calls() as u64 + 4 * self.jobs as u64;
        let limit_ms = calls * (self.longest_ms + TURN_MS) + 60_000;
        let took = self.site.advance_until_done(limit_ms);
        let mut failures = std::mem::take(&mut self.site.violations);
        if took.is_none() {
            failures.push(format!("{:?} not done after {limit_ms} ms", self.site.unfinished()));
        }
        failures
    }
}

/// Guards against jobs that wait beside an idle advice service, and for good, with random terms, bursts and troubles of the
/// service, the leader and endpoints.
#[test]
fn random_bursts_are_worked_off() {
    for seed in 0..SEEDS {
        let failures = RandomSite::new(seed).run();

        assert_eq!(failures, Vec::<String>::new(), "seed {seed}");
    }
}

/// Runs more seeds by hand: `ADVICE_SEEDS=1000..1500 cargo test --release --test dispatch advice -- --ignored --nocapture`.
#[test]
#[ignore = "takes long; run by hand to search for faults"]
fn many_random_bursts_are_worked_off() {
    let range = std::env::var("ADVICE_SEEDS").unwrap_or_else(|_| "1000..1200".to_owned());
    let (from, to) = range.split_once("..").expect("a range such as 1000..1200");
    let mut failed = 0;
    for seed in from.parse().expect("a number")..to.parse().expect("a number") {
        let failures = RandomSite::new(seed).run();
        failed += u64::from(!failures.is_empty());
        for failure in failures {
            eprintln!("seed {seed}: {failure}");
        }
    }
    assert_eq!(failed, 0, "seeds {range}");
}
