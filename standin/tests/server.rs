//! Starting and stopping the servers.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, mpsc};
use std::thread;

use rouille::Response;
use standin::server::{Host, PlatformServer};
use yuccaridge::platform::Listing;
use yuccaridge::platform::http::{HttpListing, Timeouts};

fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Guards against a stop that waits until nobody asks any more, and against a stopped server that goes on working.
#[test]
fn busy_server_stops_and_carries_nothing_out() {
    let served = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&served);
    let host = Host::start(loopback(), move |_| {
        count.fetch_add(1, Ordering::Relaxed);
        Response::empty_204()
    })
    .unwrap();
    let url = format!("http://{}/", host.address());
    let over = AtomicBool::new(false);
    thread::scope(|scope| {
        let (served_one, first) = mpsc::channel();
        for _ in 0..4 {
            let served_one = served_one.clone();
            let (url, over) = (&url, &over);
            scope.spawn(move || {
                while !over.load(Ordering::Relaxed) {
                    drop(attohttpc::get(url).send());
                    if served_one.send(()).is_err() {
                        return;
                    }
                }
            });
        }
        first.recv().unwrap();

        drop(host);

        // One request of each thread may have been handed over before the stop.
        let after = served.load(Ordering::Relaxed);
        for _ in 0..20 {
            first.recv().unwrap();
        }
        over.store(true, Ordering::Relaxed);
        assert!(served.load(Ordering::Relaxed) <= after + 4);
    });
}

#[test]
fn stopped_platform_cannot_be_read() {
    let platform = PlatformServer::start(loopback()).unwrap();
    let listing = HttpListing::new(platform.address(), Timeouts::default());
    listing.list().unwrap();
    drop(platform);
    listing.list().unwrap_err();
}
