//! Requests to close a failure domain, from the operator's row to the orders of the leader.

use crate::store::MemoryStore;
use crate::world::{Instance, run_in_virtual_time, sleep_ms, store};

const ID: &str = "000000000000000a";

/// Key of the request to close the domain of all endpoints.
const REQUEST: &str = "closed/d0";

/// Time in which a request has to take effect, in milliseconds.
const BOUND_MS: f64 = 2_000.0;

/// A store with one endpoint.
fn site() -> MemoryStore {
    let store = store();
    store.put("endpoints", "10.0.0.1:1", Vec::new());
    store
}

fn start(store: &MemoryStore, name: &str, millicores: u32) -> Instance {
    let instance = Instance::start_with_evacuations(store, name, millicores, BOUND_MS);
    instance.answer_holds();
    instance
}

/// Guards against a leader that does not read the request, or reads it only when it begins to lead.
#[test]
fn a_request_takes_effect_on_a_leader_until_it_is_taken_back() {
    run_in_virtual_time(async {
        let store = site();
        let instance = start(&store, "only", 500);
        sleep_ms(1_000).await;

        store.put("policy", REQUEST, Vec::new());
        sleep_ms(100).await;
        instance.submit(ID).await.expect("an accepted job");
        sleep_ms(5_000).await;
        let closed = instance.starts().len();
        store.remove("policy", REQUEST);
        sleep_ms(1_000).await;

        assert_eq!(closed, 0);
        assert!(!instance.starts().is_empty());
    });
}

/// Guards against a new leader that starts work in a domain that was closed before it began to lead.
#[test]
fn a_request_outlives_a_change_of_the_leader() {
    run_in_virtual_time(async {
        let store = site();
        store.put("policy", REQUEST, Vec::new());
        let first = start(&store, "first", 500);
        let second = start(&store, "second", 90);
        sleep_ms(1_000).await;
        first.submit(ID).await.expect("an accepted job");
        sleep_ms(1_000).await;

        let starts_of_first = first.starts().len();
        first.kill();
        sleep_ms(30_000).await;
        let closed = second.starts().len();
        store.remove("policy", REQUEST);
        sleep_ms(1_000).await;

        assert_eq!((starts_of_first, closed), (0, 0));
        assert!(!second.starts().is_empty());
    });
}

/// Guards against a domain that stays closed because the removal of its request is not in the history that the store kept.
#[test]
fn a_request_that_is_taken_back_in_a_dropped_history_ends() {
    run_in_virtual_time(async {
        let store = site();
        store.put("policy", REQUEST, Vec::new());
        let instance = start(&store, "only", 500);
        sleep_ms(1_000).await;
        instance.submit(ID).await.expect("an accepted job");
        sleep_ms(1_000).await;

        let closed = instance.starts().len();
        store.silence_feeds(500);
        store.drop_history_of("policy");
        store.remove("policy", REQUEST);
        sleep_ms(3_000).await;

        assert_eq!(closed, 0);
        assert!(!instance.starts().is_empty());
    });
}

/// Guards against a request that is forgotten when the whole table is read again.
#[test]
fn a_request_outlives_a_dropped_history() {
    run_in_virtual_time(async {
        let store = site();
        store.put("policy", REQUEST, Vec::new());
        let instance = start(&store, "only", 500);
        sleep_ms(1_000).await;

        store.silence_feeds(500);
        store.drop_history_of("policy");
        sleep_ms(2_000).await;
        instance.submit(ID).await.expect("an accepted job");
        sleep_ms(5_000).await;

        assert_eq!(instance.starts().len(), 0);
    });
}

/// Guards against starts of a leader that does not learn of a request because its feed and its reads hang.
#[test]
fn a_leader_that_cannot_read_the_requests_starts_nothing() {
    run_in_virtual_time(async {
        let store = site();
        let instance = start(&store, "only", 500);
        sleep_ms(1_000).await;

        store.hang_table("policy", 8_000);
        store.put("policy", REQUEST, Vec::new());
        sleep_ms(BOUND_MS as u64).await;
        instance.submit(ID).await.expect("an accepted job");
        sleep_ms(10_000).await;
        let closed = instance.starts().len();
        store.remove("policy", REQUEST);
        sleep_ms(1_000).await;

        assert_eq!(closed, 0);
        assert!(!instance.starts().is_empty());
    });
}

/// Guards against starts that are held back for good after the feed hung.
#[test]
fn starts_are_sent_again_after_the_table_hung() {
    run_in_virtual_time(async {
        let store = site();
        let instance = start(&store, "only", 500);
        sleep_ms(1_000).await;

        store.hang_table("policy", 8_000);
        sleep_ms(BOUND_MS as u64).await;
        instance.submit(ID).await.expect("an accepted job");
        sleep_ms(5_000).await;
        let hanging = instance.starts().len();
        sleep_ms(2_500).await;

        assert_eq!(hanging, 0);
        assert!(!instance.starts().is_empty());
    });
}

/// Guards against a request that seems to last because it was taken back while the feed delivered nothing.
#[test]
fn a_request_is_taken_back_while_the_feed_is_silent() {
    run_in_virtual_time(async {
        let store = site();
        store.put("policy", REQUEST, Vec::new());
        let instance = start(&store, "only", 500);
        sleep_ms(1_000).await;
        instance.submit(ID).await.expect("an accepted job");
        sleep_ms(1_000).await;

        let closed = instance.starts().len();
        store.silence_feeds(4_000);
        store.remove("policy", REQUEST);
        sleep_ms(3_000).await;

        assert_eq!(closed, 0);
        assert!(!instance.starts().is_empty());
    });
}
