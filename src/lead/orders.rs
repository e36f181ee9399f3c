//! Orders to endpoints and their answers.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use super::state::LeaderState;
use crate::dispatch::{AdviceRequest, Effect, Start, Stop};
use crate::port::{AdviceQuery, HoldOrder, OrderError, Orders, Refusal, StartOrder, StopOrder, Target};

/// Pause after a hold order without an answer.
const UNANSWERED_HOLD_PAUSE: Duration = Duration::from_millis(300);

/// Pause between hold orders that the endpoint answers at once, while the ends of runs they report are being stored.
const NO_WAIT_HOLD_PAUSE: Duration = Duration::from_millis(15);

/// Sends one order and passes the answer to the dispatcher.
pub(super) async fn send_order<O>(state: Rc<LeaderState>, orders: O, effect: Effect)
where
    O: Orders,
{
    match effect {
        Effect::Start(start) => send_start(&state, &orders, start).await,
        Effect::Stop(stop) => send_stop(&state, &orders, stop).await,
        Effect::AdviceRequest(request) => send_advice_request(&state, &orders, &request).await,
    }
    state.wake.notify_one();
}

fn target(state: &LeaderState, endpoint: &Arc<str>) -> Option<Target> {
    let dispatcher = state.dispatcher.borrow();
    let address = Arc::clone(&dispatcher.endpoints().get(endpoint)?.entry.address);
    if address.is_empty() {
        return None;
    }
    Some(Target {
        endpoint: Arc::clone(endpoint),
        address,
    })
}

async fn send_start<O>(state: &LeaderState, orders: &O, start: Start)
where
    O: Orders,
{
    let now = state.clock.now();
    let lease_end = state.dispatcher.borrow_mut().lease_start(&start, now);
    let answer = match (target(state, &start.endpoint), lease_end) {
        _ if !state.is_leadership_confirmed() => {
            Err(OrderError::NotSent("leadership was not confirmed recently".to_owned()))
        }
        (Some(target), Some(lease_end)) => {
            let order = StartOrder {
                task: Arc::clone(&start.task),
                run: start.run,
                payload: Arc::clone(&start.payload),
                checkpoint: Arc::clone(&start.checkpoint),
                lease_end,
                fence: state.fence,
                ticket: Arc::clone(&start.ticket),
            };
            orders.start(&target, &order).await
        }
        _ => Err(OrderError::NotSent(
            "the run is no longer to be started, or the address or clock of the endpoint is unknown".to_owned(),
        )),
    };
    check_fence(state, answer.as_ref().err());
    let now = state.clock.now();
    state.dispatcher.borrow_mut().started(&start, answer, now);
}

async fn send_stop<O>(state: &LeaderState, orders: &O, stop: Stop)
where
    O: Orders,
{
    let answer = match target(state, &stop.endpoint) {
        Some(target) => {
            let order = StopOrder {
                task: Arc::clone(&stop.task),
                run: stop.run,
                fence: state.fence,
            };
            orders.stop(&target, &order).await
        }
        None => Err(OrderError::NotSent("the address of the endpoint is unknown".to_owned())),
    };
    check_fence(state, answer.as_ref().err());
    let now = state.clock.now();
    state.dispatcher.borrow_mut().stopped(&stop, answer, now);
}

async fn send_advice_request<O>(state: &LeaderState, orders: &O, request: &AdviceRequest)
where
    O: Orders,
{
    let query = AdviceQuery {
        step: Arc::clone(&request.step),
        endpoints: request.endpoints.clone(),
    };
    let answer = orders.advise(&query, Duration::from_millis(request.timeout_ms)).await;
    let now = state.clock.now();
    state.dispatcher.borrow_mut().advised(request, answer, now);
}

fn check_fence(state: &LeaderState, error: Option<&OrderError>) {
    if let Some(OrderError::Refused {
        refusal: Refusal::Fence,
        ..
    }) = error
    {
        state.lose_leadership("an endpoint has seen a higher fencing token");
    }
}

/// Sends hold orders to one endpoint while the dispatcher asks for them and leadership is confirmed.
pub(super) async fn hold_endpoint<O>(state: Rc<LeaderState>, orders: O, endpoint: Arc<str>)
where
    O: Orders,
{
    while state.is_leadership_confirmed() {
        let sent_at = state.clock.now();
        let hold = {
            let mut dispatcher = state.dispatcher.borrow_mut();
            dispatcher.hold(&endpoint, sent_at)
        };
        let (Some(hold), Some(target)) = (hold, target(&state, &endpoint)) else {
            break;
        };
        let order = HoldOrder {
            fence: state.fence,
            seen: hold.seen,
            lease_end: hold.lease_end,
            wait: hold.wait,
        };
        let answer = orders.hold(&target, &order).await;
        check_fence(&state, answer.as_ref().err());
        let now = state.clock.now();
        let pause = match answer {
            Ok(report) => {
                let mut dispatcher = state.dispatcher.borrow_mut();
                dispatcher.report(&endpoint, &report, hold.seen, sent_at, now);
                // The first hold order grants no lease, because the clock of the endpoint was not known.
                (hold.wait.is_zero() && hold.lease_end.is_some()).then_some(NO_WAIT_HOLD_PAUSE)
            }
            Err(error) => {
                state.dispatcher.borrow_mut().hold_failed(&endpoint, &error);
                Some(UNANSWERED_HOLD_PAUSE)
            }
        };
        state.wake.notify_one();
        if let Some(pause) = pause {
            sleep(pause).await;
        }
    }
    state.held_endpoints.borrow_mut().remove(&endpoint);
    state.wake.notify_one();
}
