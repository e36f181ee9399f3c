//! A leader that has not confirmed its leadership for longer than its successor waits: it was paused, or lost the store.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use yuccaridge::port::{
    Advice, AdviceQuery, HoldOrder, OrderError, Orders, Report, RunningTask, StartOrder, StopOrder, Target,
};

use crate::world::{BORN, Instance, SingleQueueEntries, run_in_virtual_time, sleep_ms, store};

/// Longer than a leader may act without a confirmation, in milliseconds.
const LATE_ANSWER_MS: u64 = 9_000;

/// An endpoint that answers a hold late, with a run that this leader has not started.
#[derive(Clone, Default)]
struct LateEndpoint {
    holds: Rc<Cell<usize>>,
    stops: Rc<Cell<usize>>,
}

impl Orders for LateEndpoint {
    async fn start(&self, _: &Target, _: &StartOrder) -> Result<u64, OrderError> {
        Ok(1)
    }

    async fn stop(&self, _: &Target, _: &StopOrder) -> Result<u64, OrderError> {
        self.stops.set(self.stops.get() + 1);
        Ok(1)
    }

    async fn advise(&self, _: &AdviceQuery, _: Duration) -> Result<Advice, OrderError> {
        Err(OrderError::NotSent("no advice here".to_owned()))
    }

    async fn hold(&self, _: &Target, _: &HoldOrder) -> Result<Report, OrderError> {
        self.holds.set(self.holds.get() + 1);
        sleep(Duration::from_millis(LATE_ANSWER_MS)).await;
        Ok(Report {
            born: Some(BORN),
            clock_ms: 1,
            running: vec![RunningTask {
                task: Arc::from("0123456789abcdef.0.0.0"),
                run: 1,
                checkpoint: Arc::from(""),
                percent: 10.0,
                load: 0.0,
            }],
            ended: Vec::new(),
            more_ends: false,
        })
    }
}

/// Guards against a former leader that stops the runs of its successor on endpoints that the successor has not reached yet:
/// it was paused while a hold was under way, and the answer shows runs that it does not know.
#[test]
fn a_leader_whose_lead_has_run_out_stops_no_runs() {
    run_in_virtual_time(async {
        let store = store();
        let endpoint = LateEndpoint::default();
        let _only = Instance::start_with(&store, "only", 500, endpoint.clone(), SingleQueueEntries);
        sleep_ms(1_000).await;

        store.put("endpoints", "10.0.0.1:1", Vec::new());
        sleep_ms(100).await;
        store.block_partition("");
        sleep_ms(LATE_ANSWER_MS + 1_000).await;

        assert_eq!((endpoint.holds.get(), endpoint.stops.get()), (1, 0));
    });
}
