//! Threads that carry out requests to endpoints, so that a silent endpoint holds up nobody but itself.

use std::sync::Arc;
use std::thread::{self, JoinHandle};

use super::PoolRequest;
use crate::planner::Answer;
use crate::platform::{EndpointError, Endpoints};

/// Requests to endpoints at the same time. With 500 ms for a request, a lost rack of 8 endpoints leaves most threads
/// free.
const REQUEST_THREADS: usize = 16;

/// A request and what came of it.
pub type RequestResult = (PoolRequest, Result<Answer, EndpointError>);

/// The threads and their queue. The queue is bounded by the number of endpoints: each has one request at a time.
#[derive(Debug)]
pub struct RequestThreads {
    queue: flume::Sender<PoolRequest>,
    threads: Vec<JoinHandle<()>>,
}

impl RequestThreads {
    /// Starts the threads; results go to `results`.
    pub fn start(endpoints: &Arc<dyn Endpoints>, results: &flume::Sender<RequestResult>) -> std::io::Result<Self> {
        let (queue, requests) = flume::unbounded::<PoolRequest>();
        let mut threads = Vec::new();
        for number in 0..REQUEST_THREADS {
            let (endpoints, requests, results) = (Arc::clone(endpoints), requests.clone(), results.clone());
            let work = move || {
                for pool_request in requests {
                    let result = pool_request.request.send(endpoints.as_ref());
                    if results.send((pool_request, result)).is_err() {
                        return;
                    }
                }
            };
            threads.push(thread::Builder::new().name(format!("dispatch-{number}")).spawn(work)?);
        }
        Ok(Self { queue, threads })
    }

    /// Hands a request to the threads.
    pub fn enqueue(&self, request: PoolRequest) {
        if self.queue.send(request).is_err() {
            log::error!("no dispatch thread is left");
        }
    }

    /// Finishes what was handed over, and ends the threads.
    pub fn stop(self) {
        drop(self.queue);
        for thread in self.threads {
            if thread.join().is_err() {
                log::error!("a dispatch thread panicked");
            }
        }
    }
}
