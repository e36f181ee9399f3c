//! Orders to endpoints and their answers.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use super::state::Progress;
use crate::dispatch::{AdviceRequest, Effect, Start, Stop};
use crate::port::{HoldOrder, OrderError, Orders, Question, Refusal, StartOrder, StopOrder, Target};

/// Pause after a hold without an answer.
const SILENT_PAUSE: Duration = Duration::from_millis(300);

/// Pause between holds that do not wait at the endpoint, while the ends they list are being stored.
const SETTLE_PAUSE: Duration = Duration::from_millis(15);

/// Sends one order and takes its answer in.
pub(super) async fn order<O>(progress: Rc<Progress>, orders: O, effect: Effect)
where
    O: Orders,
{
    match effect {
        Effect::Start(start) => send_start(&progress, &orders, start).await,
        Effect::Stop(stop) => send_stop(&progress, &orders, stop).await,
        Effect::AdviceRequest(ask) => send_question(&progress, &orders, &ask).await,
    }
    progress.wake.notify_one();
}

fn target(progress: &Progress, endpoint: &Arc<str>) -> Option<Target> {
    let dispatcher = progress.dispatcher.borrow();
    let address = Arc::clone(&dispatcher.endpoints().get(endpoint)?.entry.address);
    if address.is_empty() {
        return None;
    }
    Some(Target {
        endpoint: Arc::clone(endpoint),
        address,
    })
}

async fn send_start<O>(progress: &Progress, orders: &O, start: Start)
where
    O: Orders,
{
    let now = progress.clock.now();
    let until = progress.dispatcher.borrow_mut().lease_start(&start, now);
    let answer = match (target(progress, &start.endpoint), until) {
        _ if !progress.reigns() => Err(OrderError::NotSent("the lead is not confirmed".to_owned())),
        (Some(target), Some(lease_end)) => {
            let order = StartOrder {
                task: Arc::clone(&start.task),
                run: start.run,
                payload: Arc::clone(&start.payload),
                checkpoint: Arc::clone(&start.checkpoint),
                lease_end,
                fence: progress.fence,
                ticket: Arc::clone(&start.ticket),
            };
            orders.start(&target, &order).await
        }
        _ => Err(OrderError::NotSent(
            "the run was given up or the endpoint is not known".to_owned(),
        )),
    };
    check_fence(progress, answer.as_ref().err());
    let now = progress.clock.now();
    progress.dispatcher.borrow_mut().started(&start, answer, now);
}

async fn send_stop<O>(progress: &Progress, orders: &O, stop: Stop)
where
    O: Orders,
{
    let answer = match target(progress, &stop.endpoint) {
        Some(target) => {
            let order = StopOrder {
                task: Arc::clone(&stop.task),
                run: stop.run,
                fence: progress.fence,
            };
            orders.stop(&target, &order).await
        }
        None => Err(OrderError::NotSent("the endpoint is not known".to_owned())),
    };
    check_fence(progress, answer.as_ref().err());
    let now = progress.clock.now();
    progress.dispatcher.borrow_mut().stopped(&stop, answer, now);
}

async fn send_question<O>(progress: &Progress, orders: &O, ask: &AdviceRequest)
where
    O: Orders,
{
    let question = Question {
        step: Arc::clone(&ask.step),
        endpoints: ask.endpoints.clone(),
    };
    let answer = orders.advise(&question, Duration::from_millis(ask.timeout_ms)).await;
    let now = progress.clock.now();
    progress.dispatcher.borrow_mut().advised(ask, answer, now);
}

fn check_fence(progress: &Progress, error: Option<&OrderError>) {
    if let Some(OrderError::Refused {
        refusal: Refusal::Fence,
        ..
    }) = error
    {
        progress.depose("an endpoint has seen a higher fencing token");
    }
}

/// Holds one endpoint for as long as something may be on it.
pub(super) async fn hold<O>(progress: Rc<Progress>, orders: O, endpoint: Arc<str>)
where
    O: Orders,
{
    while progress.reigns() {
        let sent_at = progress.clock.now();
        let hold = {
            let mut dispatcher = progress.dispatcher.borrow_mut();
            dispatcher.hold(&endpoint, sent_at)
        };
        let (Some(hold), Some(target)) = (hold, target(&progress, &endpoint)) else {
            break;
        };
        let order = HoldOrder {
            fence: progress.fence,
            seen: hold.seen,
            lease_end: hold.lease_end,
            wait: hold.wait,
        };
        let answer = orders.hold(&target, &order).await;
        check_fence(&progress, answer.as_ref().err());
        let now = progress.clock.now();
        let pause = match answer {
            Ok(report) => {
                let mut dispatcher = progress.dispatcher.borrow_mut();
                dispatcher.report(&endpoint, &report, hold.seen, sent_at, now);
                // A first hold has no lease to give, since the clock of the endpoint was not known.
                (hold.wait.is_zero() && hold.lease_end.is_some()).then_some(SETTLE_PAUSE)
            }
            Err(error) => {
                progress.dispatcher.borrow_mut().hold_failed(&endpoint, &error);
                Some(SILENT_PAUSE)
            }
        };
        progress.wake.notify_one();
        if let Some(pause) = pause {
            sleep(pause).await;
        }
    }
    progress.held.borrow_mut().remove(&endpoint);
    progress.wake.notify_one();
}
