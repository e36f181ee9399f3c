//! Endpoints that refuse all orders for some time while nothing runs on them.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep};
use yuccaridge::port::{
    Advice, AdviceQuery, HoldOrder, OrderError, Orders, Refusal, Report, StartOrder, StopOrder, Target,
};

use crate::world::{Instance, SingleQueueEntries, idle_report, run_in_virtual_time, sleep_ms, store};

/// An endpoint that starts what it is told unless it is unwell.
#[derive(Clone, Default)]
struct UnwellEndpoint {
    unwell: Rc<Cell<bool>>,
    /// When each start was accepted.
    starts: Rc<RefCell<Vec<Instant>>>,
}

impl UnwellEndpoint {
    fn check(&self) -> Result<(), OrderError> {
        if self.unwell.get() {
            return Err(OrderError::Refused {
                refusal: Refusal::Unwell,
                clock_ms: None,
            });
        }
        Ok(())
    }
}

impl Orders for UnwellEndpoint {
    async fn start(&self, _: &Target, _: &StartOrder) -> Result<u64, OrderError> {
        self.check()?;
        self.starts.borrow_mut().push(Instant::now());
        Ok(1)
    }

    async fn stop(&self, _: &Target, _: &StopOrder) -> Result<u64, OrderError> {
        self.check()?;
        Ok(1)
    }

    async fn advise(&self, _: &AdviceQuery, _: Duration) -> Result<Advice, OrderError> {
        Err(OrderError::NotSent("no advice here".to_owned()))
    }

    async fn hold(&self, _: &Target, order: &HoldOrder) -> Result<Report, OrderError> {
        self.check()?;
        sleep(order.wait + Duration::from_millis(1)).await;
        Ok(idle_report())
    }
}

/// Guards against idle endpoints that get no orders any more after they refused a hold and a start twice: the leader asked
/// them for no further report, and only a report opens them.
#[test]
fn an_idle_endpoint_that_was_unwell_is_used_again() {
    run_in_virtual_time(async {
        let store = store();
        store.put("endpoints", "10.0.0.1:1", Vec::new());
        let endpoint = UnwellEndpoint::default();
        let instance = Instance::start_with(&store, "only", 500, endpoint.clone(), SingleQueueEntries);
        sleep_ms(1_000).await;

        endpoint.unwell.set(true);
        instance.submit("0000000000000001").await.expect("an accepted job");
        sleep_ms(6_500).await;
        endpoint.unwell.set(false);
        let well_since = Instant::now();
        sleep_ms(3_000).await;

        let starts = endpoint.starts.borrow();
        assert!(starts.first().is_some_and(|at| *at >= well_since), "{starts:?}");
    });
}
