//! Orders to endpoints and their answers.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::load::Activity;
use super::state::LeaderState;
use crate::dispatch::{AdviceRequest, Effect, Hold, Start, Stop};
use crate::port::{AdviceQuery, HoldOrder, OrderError, Orders, Refusal, StartOrder, StopOrder, Target};

/// Pause after a hold order without an answer.
const UNANSWERED_HOLD_PAUSE: Duration = Duration::from_millis(300);

/// Pause between hold orders that the endpoint answers at once.
const NO_WAIT_HOLD_PAUSE: Duration = Duration::from_millis(15);

/// Longest time without a hold order while the ends of runs that the endpoint has reported are being stored. Until then
/// it would answer each one at once with the same ends.
const UNSTORED_ENDS_PAUSE: Duration = Duration::from_millis(250);

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

/// Target of an order for one incarnation of an endpoint, and its fencing token; `None` if that incarnation is over, or
/// its address or token is not known.
fn target(state: &LeaderState, endpoint: &Arc<str>, born: u64) -> Option<(Target, u64)> {
    let dispatcher = state.dispatcher.borrow();
    let known = dispatcher.endpoints().get(endpoint)?;
    if known.entry.address.is_empty() || known.entry.born != born {
        return None;
    }
    let target = Target {
        endpoint: Arc::clone(endpoint),
        address: Arc::clone(&known.entry.address),
    };
    Some((target, known.fence?))
}

async fn send_start<O>(state: &LeaderState, orders: &O, start: Start)
where
    O: Orders,
{
    let now = state.clock.now();
    let lease_end = state.dispatcher.borrow_mut().lease_start(&start, now);
    let target = target(state, &start.endpoint, start.born);
    let fence = target.as_ref().map(|(_, fence)| *fence);
    let answer = match (target, lease_end) {
        _ if !state.is_leadership_confirmed() => {
            Err(OrderError::NotSent("leadership was not confirmed recently".to_owned()))
        }
        (Some((target, fence)), Some(lease_end)) => {
            let order = StartOrder {
                task: Arc::clone(&start.task),
                run: start.run,
                payload: Arc::clone(&start.payload),
                checkpoint: Arc::clone(&start.checkpoint),
                lease_end,
                fence,
                ticket: Arc::clone(&start.ticket),
            };
            orders.start(&target, &order).await
        }
        _ => Err(OrderError::NotSent(
            "the run is no longer to be started, or the address or clock of the endpoint is unknown".to_owned(),
        )),
    };
    check_fence(state, &start.endpoint, fence, answer.as_ref().err());
    let now = state.clock.now();
    state.load.time(Activity::Answer, || {
        state.dispatcher.borrow_mut().started(&start, answer, now);
    });
}

async fn send_stop<O>(state: &LeaderState, orders: &O, stop: Stop)
where
    O: Orders,
{
    let target = target(state, &stop.endpoint, stop.born);
    let fence = target.as_ref().map(|(_, fence)| *fence);
    let answer = match target {
        // The run may be one of a successor on an endpoint that has not seen its token yet.
        _ if !state.is_leadership_confirmed() => {
            Err(OrderError::NotSent("leadership was not confirmed recently".to_owned()))
        }
        Some((target, fence)) => {
            let order = StopOrder {
                task: Arc::clone(&stop.task),
                run: stop.run,
                fence,
            };
            orders.stop(&target, &order).await
        }
        None => Err(OrderError::NotSent(
            "the endpoint has restarted, or its address is unknown".to_owned(),
        )),
    };
    check_fence(state, &stop.endpoint, fence, answer.as_ref().err());
    let now = state.clock.now();
    state.load.time(Activity::Answer, || {
        state.dispatcher.borrow_mut().stopped(&stop, answer, now);
    });
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

/// Gives leadership up if an endpoint has refused the token of an order, unless this leader has raised it meanwhile.
fn check_fence(state: &LeaderState, endpoint: &Arc<str>, fence: Option<u64>, error: Option<&OrderError>) {
    let refused = matches!(
        error,
        Some(OrderError::Refused {
            refusal: Refusal::Fence,
            ..
        })
    );
    if refused && state.dispatcher.borrow().fence_of(endpoint) == fence {
        state.lose_leadership("an endpoint has seen a higher fencing token");
    }
}

/// Sends hold orders to one incarnation of an endpoint, which its fencing token identifies, while the dispatcher asks
/// for them and leadership is confirmed.
pub(super) async fn hold_endpoint<O>(state: Rc<LeaderState>, orders: O, endpoint: Arc<str>, fence: u64)
where
    O: Orders,
{
    loop {
        // Read before the check, so that a lease counts from a time at which leadership was confirmed.
        let sent_at = state.clock.now();
        if !state.is_leadership_confirmed() {
            break;
        }
        let Some((hold, target)) = next_hold(&state, &endpoint, fence, sent_at) else {
            break;
        };
        // The hold after the first report grants the first lease, so it follows at once.
        let has_reported = state.dispatcher.borrow().has_reported(&endpoint);
        let order = HoldOrder {
            fence,
            seen: hold.seen,
            lease_end: hold.lease_end,
            wait: hold.wait,
        };
        let answer = orders.hold(&target, &order).await;
        check_fence(&state, &endpoint, Some(fence), answer.as_ref().err());
        let now = state.clock.now();
        if state.dispatcher.borrow().fence_of(&endpoint) != Some(fence) {
            break;
        }
        let Ok(report) = answer.inspect_err(|error| hold_failed(&state, &target, error, now)) else {
            state.wake.notify_one();
            sleep(UNANSWERED_HOLD_PAUSE).await;
            continue;
        };
        state.load.time(Activity::Report, || {
            let mut dispatcher = state.dispatcher.borrow_mut();
            dispatcher.report(&endpoint, &report, hold.seen, sent_at, now);
        });
        state.wake.notify_one();
        if state.dispatcher.borrow().has_unstored_ends(&endpoint) {
            // Whether or not they are stored by then, the leases have to be renewed.
            let _ = timeout(UNSTORED_ENDS_PAUSE, ends_stored(&state, &endpoint)).await;
        } else if hold.wait.is_zero() && has_reported {
            sleep(NO_WAIT_HOLD_PAUSE).await;
        }
    }
    state.held_endpoints.borrow_mut().remove(&(endpoint, fence));
    state.wake.notify_one();
}

/// Notes that a hold failed; an answer of another incarnation shows that the endpoint is gone.
fn hold_failed(state: &LeaderState, target: &Target, error: &OrderError, now: u64) {
    let mut dispatcher = state.dispatcher.borrow_mut();
    dispatcher.hold_failed(&target.endpoint, error, now);
    let reborn = matches!(
        error,
        OrderError::Refused {
            refusal: Refusal::Reborn,
            ..
        }
    );
    if reborn {
        dispatcher.address_taken(&target.endpoint, &target.address, now);
    }
}

/// Waits until the consequences of all ends that an endpoint has reported are stored.
async fn ends_stored(state: &LeaderState, endpoint: &str) {
    while state.dispatcher.borrow().has_unstored_ends(endpoint) {
        state.stored.notified().await;
    }
}

/// Contents and target of the next hold to the incarnation that has this fencing token; `None` if it needs none or is
/// over.
fn next_hold(state: &LeaderState, endpoint: &Arc<str>, fence: u64, sent_at: u64) -> Option<(Hold, Target)> {
    let mut dispatcher = state.dispatcher.borrow_mut();
    if dispatcher.fence_of(endpoint) != Some(fence) {
        return None;
    }
    let hold = dispatcher.hold(endpoint, sent_at)?;
    let target = Target {
        endpoint: Arc::clone(endpoint),
        address: Arc::clone(&hold.address),
    };
    Some((hold, target))
}
