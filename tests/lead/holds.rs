//! Holds of an endpoint whose ends the store is slow to record.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep};
use yuccaridge::port::{
    Advice, AdviceQuery, HoldOrder, OrderError, Orders, Outcome, Report, RunEnd, RunningTask, StartOrder, StopOrder,
    Target,
};

use crate::world::{BORN, Instance, SingleQueueEntries, run_in_virtual_time, sleep_ms, store};

/// An endpoint that runs what it is told; the first run ends when the test says so.
#[derive(Clone, Default)]
struct BusyEndpoint {
    runs: Rc<RefCell<Vec<RunningTask>>>,
    ended: Rc<RefCell<Vec<RunEnd>>>,
    holds: Rc<RefCell<Vec<Instant>>>,
}

impl BusyEndpoint {
    fn end_first(&self) {
        let run = self.runs.borrow_mut().remove(0);
        self.ended.borrow_mut().push(RunEnd {
            number: 1,
            task: run.task,
            run: run.run,
            outcome: Outcome::Done,
            checkpoint: run.checkpoint,
        });
    }

    fn holds_since(&self, time: Instant) -> usize {
        self.holds.borrow().iter().filter(|sent_at| **sent_at >= time).count()
    }
}

impl Orders for BusyEndpoint {
    async fn start(&self, _: &Target, order: &StartOrder) -> Result<u64, OrderError> {
        self.runs.borrow_mut().push(RunningTask {
            task: Arc::clone(&order.task),
            run: order.run,
            checkpoint: Arc::from(""),
            percent: 0.0,
            load: 0.0,
        });
        Ok(1)
    }

    async fn stop(&self, _: &Target, _: &StopOrder) -> Result<u64, OrderError> {
        Ok(1)
    }

    async fn advise(&self, _: &AdviceQuery, _: Duration) -> Result<Advice, OrderError> {
        Err(OrderError::NotSent("no advice here".to_owned()))
    }

    async fn hold(&self, _: &Target, order: &HoldOrder) -> Result<Report, OrderError> {
        self.holds.borrow_mut().push(Instant::now());
        self.ended.borrow_mut().retain(|end| end.number > order.seen);
        for run in self.runs.borrow_mut().iter_mut() {
            run.percent += 1.0;
        }
        sleep(Duration::from_millis(1)).await;
        let answered_by = Instant::now() + order.wait;
        while Instant::now() < answered_by && self.ended.borrow().is_empty() {
            sleep(Duration::from_millis(1)).await;
        }
        Ok(Report {
            born: Some(BORN),
            clock_ms: 1,
            running: self.runs.borrow().clone(),
            ended: self.ended.borrow().clone(),
            more_ends: false,
        })
    }
}

/// Guards against a leader that asks its endpoints for the same ends many times a second while it is slow to store
/// them: with 1,100 endpoints this took the processor time that the store's answers needed, and the leader never caught
/// up.
#[test]
fn ends_that_are_not_stored_yet_are_not_asked_for_again_and_again() {
    run_in_virtual_time(async {
        let store = store();
        store.put("endpoints", "10.0.0.1:1", Vec::new());
        let endpoint = BusyEndpoint::default();
        let instance = Instance::start_with(&store, "only", 500, endpoint.clone(), SingleQueueEntries);
        sleep_ms(1_000).await;
        for id in ["1", "2"] {
            instance.submit(&format!("{id:0>16}")).await.expect("an accepted job");
            sleep_ms(500).await;
        }
        assert_eq!(endpoint.runs.borrow().len(), 2);

        store.set_slowdown(200);
        let slow_since = Instant::now();
        endpoint.end_first();
        sleep_ms(1_000).await;

        let holds = endpoint.holds_since(slow_since);
        assert!((2..=6).contains(&holds), "{holds} holds in a second");
    });
}
