//! The list.

use standin::sample::listed;
use standin::server::{Mishap, Presences, Target};
use yuccaridge::name::{DomainName, InstanceName};
use yuccaridge::platform::http::HttpListing;
use yuccaridge::platform::{ListedInstance, Listing, Presence};

use crate::fixture::{fault, platform, refusing, timeouts};
use crate::raw_server::{RawServer, reply};

#[test]
fn list_shows_what_was_added_marked_and_removed() {
    let platform = platform();
    let listing = HttpListing::new(platform.address(), timeouts());
    let instance = ListedInstance {
        name: InstanceName::new("i1").unwrap(),
        address: platform.address(),
        domain: DomainName::new("d0").unwrap(),
        presence: Presence::Live,
    };
    platform.list_endpoint(listed("w1"));
    platform.list_endpoint(listed("w2"));
    platform.list_instance(instance.clone());
    let mut presences = Presences::default();
    presences.endpoints.insert(listed("w1").name, Presence::Leaving);
    platform.set_presences(&presences);
    platform.unlist_endpoint(&listed("w2").name);

    let list = listing.list().unwrap();

    let mut leaving = listed("w1");
    leaving.presence = Presence::Leaving;
    assert_eq!(list.endpoints, [leaving]);
    assert_eq!(list.instances, [instance]);
}

/// Guards against an outage being taken for an empty list, which would look like the loss of the whole fleet.
#[test]
fn unreadable_list_is_an_error() {
    let platform = platform();
    let listing = HttpListing::new(platform.address(), timeouts());
    for mishap in [Mishap::Outage, Mishap::Cut] {
        platform.faults().add(fault(Target::List, mishap, 1));
        listing.list().unwrap_err();
    }
    listing.list().unwrap();
    HttpListing::new(refusing(), timeouts()).list().unwrap_err();
}

/// Guards against an unchanged list that is sent again in full, and against a changed one that is not noticed.
#[test]
fn only_a_changed_list_is_sent_again() {
    let platform = platform();
    platform.list_endpoint(listed("w1"));
    let listing = HttpListing::new(platform.address(), timeouts());
    let first = listing.list().unwrap();

    let same = listing.list().unwrap();
    platform.list_endpoint(listed("w2"));
    let changed = listing.list().unwrap();
    let unasked = RawServer::start(|_, _, stream| reply(stream, 304, b""));
    let unchanged = HttpListing::new(unasked.address, timeouts()).list().unwrap_err();

    assert_eq!(same, first);
    assert_eq!(changed.endpoints.len(), 2);
    assert!(unchanged.to_string().contains("never sent"), "{unchanged}");
}
