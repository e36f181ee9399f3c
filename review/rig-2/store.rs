//! The platform's store: versioned rows with a feed of changes.

use std::collections::BTreeMap;
use std::sync::{Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Answer, Request};
use crate::json::{Json, object};

/// Most rows in an answer.
const PAGE_ROWS: usize = 500;

/// Table, part and key.
type Key = (String, String, String);

#[derive(Default)]
struct Tables {
    version: u64,
    /// Value and version; removed rows have no value and are not read.
    rows: BTreeMap<Key, (Option<String>, u64)>,
}

pub struct Store {
    tables: Mutex<Tables>,
    changed: Condvar,
    start: Instant,
    /// Until when its machine is suspended, and the time for which it has been.
    suspension: Mutex<(Instant, Duration)>,
}

impl Store {
    pub fn new() -> Self {
        Self {
            tables: Mutex::default(),
            changed: Condvar::new(),
            start: Instant::now(),
            suspension: Mutex::new((Instant::now(), Duration::ZERO)),
        }
    }

    /// Suspends the machine of the store: nothing is answered meanwhile, and its steady clock doesn't count that time.
    pub fn suspend(&self, time: Duration) {
        let mut suspension = self.suspension.lock().unwrap();
        suspension.0 = Instant::now() + time;
        suspension.1 += time;
    }

    /// Rest of a suspension.
    fn suspended(&self) -> Duration {
        let (until, _) = *self.suspension.lock().unwrap();
        until.saturating_duration_since(Instant::now())
    }

    /// Writes a row of the empty part, as the operator and the workers do.
    pub fn put(&self, table: &str, key: &str, value: &Json) {
        let key = (table.to_owned(), String::new(), key.to_owned());
        let value = encode_base64(value.to_string().as_bytes());
        self.apply(&mut self.tables.lock().unwrap(), vec![(key, Some(value))]);
    }

    /// Removes a row of the empty part.
    pub fn remove(&self, table: &str, key: &str) {
        let key = (table.to_owned(), String::new(), key.to_owned());
        self.apply(&mut self.tables.lock().unwrap(), vec![(key, None)]);
    }

    /// Whether the value of a row of the empty part contains a text.
    pub fn contains(&self, table: &str, key: &str, text: &str) -> bool {
        let key = (table.to_owned(), String::new(), key.to_owned());
        let tables = self.tables.lock().unwrap();
        let value = tables.rows.get(&key).and_then(|(value, _)| value.as_deref());
        let bytes = decode_base64(value.unwrap_or_default());
        bytes.windows(text.len()).any(|window| window == text.as_bytes())
    }

    fn apply(&self, tables: &mut Tables, changes: Vec<(Key, Option<String>)>) -> u64 {
        tables.version += 1;
        for (key, value) in changes {
            tables.rows.insert(key, (value, tables.version));
        }
        self.changed.notify_all();
        tables.version
    }

    fn end(&self, rows: Vec<Json>, more: bool, version: u64) -> Answer {
        let (_, suspended) = *self.suspension.lock().unwrap();
        let now = self.start.elapsed().saturating_sub(suspended).as_millis() as u64;
        let body = object([
            ("rows", rows.into()),
            ("has_more", more.into()),
            ("ver", version.into()),
            ("now_ms", now.into()),
        ]);
        Some((200, body.to_string()))
    }

    fn transact(&self, body: &Json) -> Answer {
        let key = |row: &Json| {
            let field = |name| row.get(name).text().to_owned();
            (field("table"), field("part"), field("key"))
        };
        let mut tables = self.tables.lock().unwrap();
        let (mut holds, mut present) = (true, Vec::new());
        for row in body.get("expect_rev").list() {
            let key = key(row);
            let found = tables.rows.get(&key).filter(|(value, _)| value.is_some());
            let version = found.map_or(0, |(_, version)| *version);
            holds &= row.get("ver").number() == Some(version);
            present.push(row_json(&key, found.and_then(|(value, _)| value.as_deref()), version));
        }
        if !holds {
            return Some((412, object([("rows", present.into())]).to_string()));
        }
        let mut changes = Vec::new();
        for row in body.get("puts").list() {
            changes.push((key(row), Some(row.get("value").text().to_owned())));
        }
        for row in body.get("remove").list() {
            changes.push((key(row), None));
        }
        let version = self.apply(&mut tables, changes);
        drop(tables);
        self.end(Vec::new(), false, version)
    }

    fn read(&self, query: &BTreeMap<String, String>) -> Answer {
        let field = |name: &str| query.get(name).cloned().unwrap_or_default();
        let (table, part, from, to) = (field("table"), field("part"), field("from"), field("to"));
        let most = query
            .get("limit")
            .and_then(|limit| limit.parse().ok())
            .unwrap_or(PAGE_ROWS)
            .min(PAGE_ROWS);
        let tables = self.tables.lock().unwrap();
        let first = (table.clone(), part.clone(), from);
        let mut rows = Vec::new();
        let mut more = false;
        for (key, (value, version)) in tables.rows.range(first..) {
            if key.0 != table || key.1 != part || !to.is_empty() && key.2 >= to {
                break;
            }
            let Some(value) = value else { continue };
            more = rows.len() == most;
            if more {
                break;
            }
            rows.push(row_json(key, Some(value), *version));
        }
        let version = tables.version;
        drop(tables);
        self.end(rows, more, version)
    }

    fn feed(&self, query: &BTreeMap<String, String>) -> Answer {
        let number = |name: &str| {
            query
                .get(name)
                .and_then(|digits| digits.parse::<u64>().ok())
                .unwrap_or(0)
        };
        let (after, wait) = (number("after"), Duration::from_millis(number("wait_ms").min(30_000)));
        let table = query.get("table").cloned().unwrap_or_default();
        let end = Instant::now() + wait;
        let mut tables = self.tables.lock().unwrap();
        loop {
            let first = (table.clone(), String::new(), String::new());
            let of_table = tables.rows.range(first..).take_while(|(key, _)| key.0 == table);
            let mut rows: Vec<(u64, Json)> = of_table
                .filter(|(_, (_, version))| *version > after)
                .map(|(key, (value, version))| (*version, row_json(key, value.as_deref(), *version)))
                .collect();
            rows.sort_by_key(|(version, _)| *version);
            let left = end.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let version = tables.version;
                drop(tables);
                return self.end(rows.into_iter().map(|(_, row)| row).collect(), false, version);
            }
            tables = self.changed.wait_timeout(tables, left).unwrap().0;
        }
    }

    pub fn answer(&self, request: &Request) -> Answer {
        if !self.suspended().is_zero() {
            return self.lose();
        }
        let answer = self.answer_awake(request);
        // A long poll may have begun before the suspension.
        if self.suspended().is_zero() {
            answer
        } else {
            self.lose()
        }
    }

    /// Ends a connection after the suspension, without an answer.
    fn lose(&self) -> Answer {
        std::thread::sleep(self.suspended());
        None
    }

    fn answer_awake(&self, request: &Request) -> Answer {
        match request.path() {
            "/yuccaridge/rows-tx" => match Json::parse(&request.body) {
                Some(body) => self.transact(&body),
                None => Some((400, "{}".to_owned())),
            },
            "/yuccaridge/rows-get" => self.read(&request.query()),
            "/yuccaridge/rows-feed" => self.feed(&request.query()),
            _ => Some((404, "{}".to_owned())),
        }
    }
}

fn row_json(key: &Key, value: Option<&str>, version: u64) -> Json {
    let mut fields = BTreeMap::from([
        ("table".to_owned(), Json::from(&*key.0)),
        ("part".to_owned(), Json::from(&*key.1)),
        ("key".to_owned(), Json::from(&*key.2)),
        ("ver".to_owned(), Json::from(version)),
    ]);
    match value {
        Some(value) => fields.insert("value".to_owned(), value.into()),
        None => fields.insert("removed".to_owned(), true.into()),
    };
    Json::Object(fields)
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn decode_base64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut bits, mut count) = (0_u32, 0);
    for digit in text.bytes() {
        let Some(value) = DIGITS.iter().position(|known| *known == digit) else {
            continue;
        };
        bits = bits << 6 | value as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count) as u8);
            bits &= (1 << count) - 1;
        }
    }
    bytes
}

fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let part = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = part(0) << 16 | part(1) << 8 | part(2);
        for digit in 0..4 {
            if digit <= chunk.len() {
                text.push(DIGITS[(bits >> (18 - 6 * digit) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
