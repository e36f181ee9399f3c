//! Threads that send requests to endpoints, so that an endpoint that does not answer delays no other.

use std::sync::Arc;
use std::thread::{self, JoinHandle};

use super::PoolRequest;
use crate::planner::Answer;
use crate::platform::{EndpointError, Endpoints};

/// Number of threads, and so of concurrent requests to endpoints. With a timeout of 500 ms for a request, the loss of a
/// rack of 8 endpoints leaves most threads free.
const REQUEST_THREADS: usize = 16;

/// A request and its result.
pub type RequestResult = (PoolRequest, Result<Answer, EndpointError>);

/// The threads and their queue. The queue needs no limit: each endpoint has at most one request in flight.
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

    /// Queues a request.
    pub fn enqueue(&self, request: PoolRequest) {
        if self.queue.send(request).is_err() {
            log::error!("request dropped: no thread that sends requests is left");
        }
    }

    /// Sends the queued requests and ends the threads.
    pub fn stop(self) {
        drop(self.queue);
        for thread in self.threads {
            if thread.join().is_err() {
                log::error!("a thread that sends requests panicked");
            }
        }
    }
}
