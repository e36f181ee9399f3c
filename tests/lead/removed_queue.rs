//! Jobs of queues that the operator removes.

use crate::world::{Instance, run_in_virtual_time, sleep_ms, store};

/// Guards against an instance that accepts a job without the settings that a later leader needs to run it once its queue
/// is removed.
#[test]
fn a_job_is_started_by_a_leader_that_never_knew_its_queue() {
    run_in_virtual_time(async {
        let store = store();
        let first = Instance::start(&store, "first", 500);
        sleep_ms(5_000).await;
        first.submit("00000000000000aa").await.expect("accepted");
        sleep_ms(1_000).await;
        first.kill();

        store.put("policy", "1", b"no queue".to_vec());
        store.put("endpoints", "e1", Vec::new());
        let second = Instance::start(&store, "second", 500);
        second.answer_holds();
        sleep_ms(30_000).await;

        assert!(second.starts().iter().any(|task| task.starts_with("00000000000000aa.")));
    });
}
