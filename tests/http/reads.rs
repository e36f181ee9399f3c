//! Reads of the table and of objects must be complete or fail.

use std::io::Write;

use serde_json::json;
use standin::sample::write;
use standin::server::{FaultKind, Target};
use yuccaridge::platform::http::{HttpObjects, HttpTable};
use yuccaridge::platform::{ObjectError, Objects, Table, TableError};

use crate::fixture::{fault, platform, refusing_address, timeouts};
use crate::raw_server::{RawServer, reply};

#[test]
fn scan_returns_all_pages() {
    let platform = platform();
    let table = HttpTable::new(platform.address(), timeouts());
    for number in 0..7 {
        table.commit(&write("a", &format!("job/{number}"), 0)).unwrap();
    }
    table.commit(&write("a", "pool/p", 0)).unwrap();
    let mut keys = Vec::new();
    let mut after = None;
    loop {
        let page = table.scan("job/", after.as_deref(), 3).unwrap();
        keys.extend(page.rows.into_iter().map(|row| row.key));
        after = page.next;
        if after.is_none() {
            break;
        }
    }
    assert_eq!(keys, (0..7).map(|number| format!("job/{number}")).collect::<Vec<_>>());
}

/// Guards against rows of other keys, too few or too many rows, and paging that never ends.
#[test]
fn unexpected_rows_are_rejected() {
    let row = |key: &str| json!({ "key": key, "version": 1, "op": "a", "value": null });
    let answers = [
        json!({ "rows": [] }),
        json!({ "rows": [row("job/2")] }),
        json!({ "rows": [null, null] }),
    ];
    for answer in answers {
        let server = RawServer::start(move |_, _, stream| reply(stream, 200, answer.to_string().as_bytes()));
        let table = HttpTable::new(server.address, timeouts());
        let error = table.read(&["job/1".to_owned()]).unwrap_err();
        assert!(matches!(error, TableError::Format(_)), "{error}");
    }
    let pages = [
        json!({ "rows": [row("job/1")], "next": null }),
        json!({ "rows": [row("job/3"), row("job/2")], "next": null }),
        json!({ "rows": [row("pool/p")], "next": null }),
        json!({ "rows": [], "next": "job/1" }),
        json!({ "rows": [row("job/2")], "next": "job/1" }),
        json!({ "rows": [row("job/2"), row("job/3"), row("job/4")], "next": null }),
    ];
    for page in pages {
        let text = page.to_string();
        let server = RawServer::start(move |_, _, stream| reply(stream, 200, page.to_string().as_bytes()));
        let table = HttpTable::new(server.address, timeouts());
        let result = table.scan("job/", Some("job/1"), 2);
        assert!(matches!(result, Err(TableError::Format(_))), "{text}");
    }
}

#[test]
fn failed_reads_count_as_unwritten() {
    let table = HttpTable::new(refusing_address(), timeouts());
    assert!(table.read(&["job/1".to_owned()]).unwrap_err().is_unwritten());
    let server = RawServer::start(|_, _, _| {});
    let table = HttpTable::new(server.address, timeouts());
    assert!(table.scan("job/", None, 1).unwrap_err().is_unwritten());
}

#[test]
fn objects_are_read_as_written() {
    let platform = platform();
    let objects = HttpObjects::new(platform.address(), timeouts());
    // More than 32 KiB makes the server use chunks.
    let bytes: Vec<_> = (0..100_000_u32).map(|number| number as u8).collect();
    for name in ["plain", "answer/job 1/ä?&=%2e", ".."] {
        objects.put(name, &bytes).unwrap();
        objects.put(name, &bytes).unwrap();
        assert_eq!(objects.get(name), Ok(bytes.clone()));
    }
    assert_eq!(objects.get("other"), Err(ObjectError::Absent("other".to_owned())));
}

/// Guards against a truncated object being read as a complete one, with any way to declare its length.
#[test]
fn truncated_objects_are_rejected() {
    let answers = [
        "HTTP/1.1 200 X\r\nx-object-length: 9\r\nContent-Length: 9\r\n\r\nabc",
        "HTTP/1.1 200 X\r\nx-object-length: 9\r\n\r\nabc",
        "HTTP/1.1 200 X\r\nx-object-length: 9\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
        "HTTP/1.1 200 X\r\n\r\nabc",
        "HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n",
    ];
    for answer in answers {
        let server = RawServer::start(move |_, _, stream| stream.write_all(answer.as_bytes()).unwrap());
        let objects = HttpObjects::new(server.address, timeouts());
        let error = objects.get("a").unwrap_err();
        assert!(matches!(error, ObjectError::Unavailable(_)), "{error}");
    }
}

#[test]
fn object_store_outage_is_unavailable() {
    let platform = platform();
    let objects = HttpObjects::new(platform.address(), timeouts());
    platform
        .faults()
        .add(fault(Target::Objects, FaultKind::Outage, u32::MAX));
    assert!(matches!(objects.put("a", b"x"), Err(ObjectError::Unavailable(_))));
    platform.faults().clear();
    assert_eq!(objects.get("a"), Err(ObjectError::Absent("a".to_owned())));
}
