//! What a new leader knows of the leases of the former one.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use prost::Message;
use tokio::time::{Instant, sleep};
use yuccaridge::graph::{JobRecord, Phase, Place, UnitRecord};
use yuccaridge::lead::{BOUNDS, LEAD, Offer, encode_phase};
use yuccaridge::port::{Advice, AdviceQuery, HoldOrder, OrderError, Orders, Report, StartOrder, StopOrder, Target};

use crate::store::MemoryStore;
use crate::world::{
    BORN, Instance, SingleQueueEntries, idle_report, leader, put_job_rows, put_leader_rows, run_in_virtual_time,
    sleep_ms, store,
};

/// Longest time for which leases of a leader last after its last transaction, in milliseconds.
const LONGEST_WAIT_MS: u64 = 8_000 + 11_200;

/// Allowance for the leader's turns, the store and the order, in milliseconds.
const TURNS_MS: u64 = 700;

/// Time between two heartbeats of a leader, in milliseconds.
const HEARTBEAT_MS: u64 = 500;

/// Address of the endpoint that no order reaches.
const CUT_OFF: &str = "10.0.0.9:1";

/// Two endpoints, one idle and one that no order reaches.
#[derive(Clone, Default)]
struct Endpoints {
    /// When the first start reached the idle one.
    started_at: Rc<RefCell<Option<Instant>>>,
}

fn cut_off() -> OrderError {
    OrderError::Unknown("no answer".to_owned())
}

impl Orders for Endpoints {
    async fn start(&self, _: &Target, _: &StartOrder) -> Result<u64, OrderError> {
        self.started_at.borrow_mut().get_or_insert_with(Instant::now);
        Ok(1)
    }

    async fn stop(&self, _: &Target, _: &StopOrder) -> Result<u64, OrderError> {
        Err(cut_off())
    }

    async fn advise(&self, _: &AdviceQuery, _: Duration) -> Result<Advice, OrderError> {
        Err(cut_off())
    }

    async fn hold(&self, target: &Target, order: &HoldOrder) -> Result<Report, OrderError> {
        if *target.address == *CUT_OFF {
            return Err(cut_off());
        }
        sleep(order.wait + Duration::from_millis(1)).await;
        Ok(idle_report())
    }
}

/// A store with a job that was started on the endpoint that no order reaches.
fn store_with_started_job() -> MemoryStore {
    let store = store();
    store.put("endpoints", CUT_OFF, Vec::new());
    store.put("endpoints", "10.0.0.1:1", Vec::new());
    let place = Place {
        endpoint: CUT_OFF.to_owned(),
        born: BORN,
    };
    let unit = UnitRecord {
        position: 0,
        run: 1,
        places: [(0, place)].into(),
        ..UnitRecord::default()
    };
    let record = JobRecord { units: vec![unit] };
    let phase = encode_phase(Phase::Running, "");
    put_job_rows(&store, "000000000000000a", phase, record.encode_to_vec());
    store
}

fn start(store: &MemoryStore, name: &str, millicores: u32) -> (Instance, Endpoints) {
    let endpoints = Endpoints::default();
    let instance = Instance::start_with(store, name, millicores, endpoints.clone(), SingleQueueEntries);
    (instance, endpoints)
}

/// Waits for the first leader; returns the time of its takeover.
async fn led_since(store: &MemoryStore) -> Instant {
    while leader(store).is_none() {
        sleep_ms(1).await;
    }
    Instant::now()
}

/// Checks that the job was started again once the leases that a leader may have granted by `lead_end` have passed.
fn assert_started_in_time(endpoints: &Endpoints, lead_end: Instant) {
    let started_at = *endpoints.started_at.borrow();
    let wait_ms = started_at.map(|at| (at - lead_end).as_millis() as u64);
    let bounds = LONGEST_WAIT_MS..LONGEST_WAIT_MS + TURNS_MS;
    assert!(wait_ms.is_some_and(|ms| bounds.contains(&ms)), "{wait_ms:?} ms");
}

/// Guards against work that waits after a roll for leases which the former leader might have granted after it stopped in
/// order: each takeover began a wait of 19.2 s.
#[test]
fn a_leader_that_stops_in_order_leaves_the_ends_of_leases() {
    run_in_virtual_time(async {
        let store = store_with_started_job();
        let (first, _) = start(&store, "first", 500);
        let begun = led_since(&store).await;
        sleep_ms(8_000).await;
        let (_second, endpoints) = start(&store, "second", 250);
        sleep_ms(2_000).await;

        first.stop.trigger();
        sleep_ms(LONGEST_WAIT_MS).await;

        assert_eq!(leader(&store), Some(("second".to_owned(), 2)));
        assert_started_in_time(&endpoints, begun);
    });
}

/// Guards against the same when the lead is handed to a larger instance.
#[test]
fn a_leader_that_hands_over_leaves_the_ends_of_leases() {
    run_in_virtual_time(async {
        let store = store_with_started_job();
        let (_first, _) = start(&store, "first", 250);
        let begun = led_since(&store).await;
        sleep_ms(8_000).await;
        let (_second, endpoints) = start(&store, "second", 500);
        sleep_ms(2_000).await;

        let offer = Offer {
            name: "second".to_owned(),
            fence: 1,
            millicores: 500,
        };
        store.put(LEAD, "offer", offer.encode_to_vec());
        sleep_ms(LONGEST_WAIT_MS).await;

        assert_eq!(leader(&store), Some(("second".to_owned(), 2)));
        assert_started_in_time(&endpoints, begun);
    });
}

/// Guards against work that waits, after a leader was lost, for leases which it might have granted long after its last
/// transaction: the wait began with each takeover.
#[test]
fn the_leases_of_a_lost_leader_count_from_its_last_transaction() {
    run_in_virtual_time(async {
        let store = store_with_started_job();
        let (first, _) = start(&store, "first", 500);
        led_since(&store).await;
        sleep_ms(5_000).await;

        first.kill();
        let lost_at = Instant::now() - Duration::from_millis(HEARTBEAT_MS);
        sleep_ms(6_000).await;
        let (_second, endpoints) = start(&store, "second", 250);
        sleep_ms(LONGEST_WAIT_MS).await;

        assert_eq!(leader(&store), Some(("second".to_owned(), 2)));
        assert_started_in_time(&endpoints, lost_at);
    });
}

/// Guards against the same after a leader that stored nothing between its takeover and its end.
#[test]
fn the_leases_of_a_lost_leader_count_from_its_takeover() {
    run_in_virtual_time(async {
        let store = store_with_started_job();
        let (first, _) = start(&store, "first", 500);
        let led_at = led_since(&store).await;

        first.kill();
        sleep_ms(6_000).await;
        let (_second, endpoints) = start(&store, "second", 250);
        sleep_ms(LONGEST_WAIT_MS).await;

        assert_eq!(leader(&store), Some(("second".to_owned(), 2)));
        assert_started_in_time(&endpoints, led_at);
    });
}

/// Guards against a proof from a ledger row that tells no time, as an earlier version wrote it.
#[test]
fn the_leases_of_a_lost_leader_count_from_the_next_takeover_if_its_row_tells_no_time() {
    run_in_virtual_time(async {
        let store = store_with_started_job();
        put_leader_rows(&store, "first", 1, 500);
        let (_second, endpoints) = start(&store, "second", 250);
        while leader(&store) != Some(("second".to_owned(), 2)) {
            sleep_ms(1).await;
        }
        let took_over_at = Instant::now();
        sleep_ms(LONGEST_WAIT_MS + TURNS_MS).await;

        assert_started_in_time(&endpoints, took_over_at);
    });
}

/// Guards against a restarted instance that releases the lead of its former process, of whose leases it knows nothing, as if
/// it had granted nothing more.
#[test]
fn a_restarted_leader_does_not_claim_that_its_former_leases_have_ended() {
    run_in_virtual_time(async {
        let store = store_with_started_job();
        put_leader_rows(&store, "only", 1, 500);
        let (_only, endpoints) = start(&store, "only", 500);
        while leader(&store) != Some(("only".to_owned(), 2)) {
            sleep_ms(1).await;
        }
        let took_over_at = Instant::now();
        sleep_ms(LONGEST_WAIT_MS + TURNS_MS).await;

        assert_started_in_time(&endpoints, took_over_at);
        assert_eq!(store.count(BOUNDS), 0);
    });
}
