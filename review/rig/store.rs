//! Stand-in of the platform's store: rows, conditional transactions and feeds, within the limits of the pages.

use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Reply, Request};
use crate::json::{Json, obj};
use crate::record::Record;

/// "A call holds at most 100 entries and at most 1 MB."
const CALL_ENTRIES: usize = 100;
const CALL_BYTES: usize = 1024 * 1024;
/// `row_bytes` of the settings.
const ROW_BYTES: usize = 65_536;
/// "all three texts of at most 200 bytes".
const NAME_BYTES: usize = 200;
/// "at most 500 rows or 1 MB".
const PAGE_ROWS: usize = 500;
/// `tx_ms` of the settings.
const TX: Duration = Duration::from_millis(3);

/// Table, part and key.
type Key = (String, String, String);

#[derive(Default)]
struct Tables {
    version: u64,
    rows: BTreeMap<Key, (String, u64)>,
    history: Vec<(u64, Key, Option<String>)>,
}

pub struct Store {
    tables: Mutex<Tables>,
    changed: Condvar,
    /// "A single part handles transactions one after another."
    parts: Mutex<BTreeMap<String, Arc<Mutex<()>>>>,
    start: Instant,
    /// Key of rows whose writes get no answer and are done later, and by how much.
    late: Mutex<Option<(String, Duration)>>,
}

impl Store {
    pub fn new() -> Self {
        Self {
            tables: Mutex::default(),
            changed: Condvar::new(),
            parts: Mutex::default(),
            start: Instant::now(),
            late: Mutex::default(),
        }
    }

    fn now_ms(&self) -> Json {
        Json::from(self.start.elapsed().as_millis() as u64)
    }

    /// Writes or removes a row, as the operator and the workers do.
    pub fn set(&self, table: &str, key: &str, value: Option<String>) {
        let key = (table.to_owned(), String::new(), key.to_owned());
        self.tables
            .lock()
            .unwrap()
            .apply(vec![(key, value.map(|text| base64(text.as_bytes())))]);
        self.changed.notify_all();
    }

    /// Writes to the rows of this key get no answer from now on, and are done `delay` later; `None` ends that.
    pub fn lose_answers(&self, late: Option<(&str, Duration)>) {
        *self.late.lock().unwrap() = late.map(|(key, delay)| (key.to_owned(), delay));
    }

    /// Whether the answer to a call is lost, and when the call is done then.
    fn delay(&self, request: &Request) -> Option<Duration> {
        let late = self.late.lock().unwrap();
        let (key, delay) = late.as_ref()?;
        let body = Json::parse(&request.body)?;
        body.get("puts")
            .items()
            .iter()
            .any(|row| row.get("key").str() == key)
            .then_some(*delay)
    }

    pub fn answer(self: &Arc<Self>, request: Request, record: &Arc<Record>) -> Reply {
        if let Some(delay) = self.delay(&request) {
            record.line(&format!("store: a write is done {delay:?} later and not answered"));
            let (store, record) = (Arc::clone(self), Arc::clone(record));
            thread::spawn(move || {
                thread::sleep(delay);
                let (status, _) = store.transact(&request, &record);
                record.line(&format!("store: a late write is done: {status}"));
            });
            return (0, String::new());
        }
        let request = &request;
        match &*request.path {
            "/yuccaridge/rows-tx" => self.transact(request, record),
            "/yuccaridge/rows-get" => self.read(request),
            "/yuccaridge/rows-feed" => self.feed(request),
            _ => (404, "{}".to_owned()),
        }
    }

    fn transact(&self, request: &Request, record: &Record) -> Reply {
        let refuse = |status: u16, why: &str| {
            record.line(&format!(
                "store: refused a call of {} bytes with {status}: {why}",
                request.body.len()
            ));
            (status, obj([("error", why.into())]).to_string())
        };
        if request.body.len() > CALL_BYTES {
            return refuse(413, "a call holds at most 1 MB");
        }
        let Some(body) = Json::parse(&request.body) else {
            return refuse(400, "not JSON");
        };
        let list = |name: &str| body.get(name).items().to_vec();
        let (expected, puts, removed) = (list("expect_rev"), list("puts"), list("remove"));
        if expected.len() + puts.len() + removed.len() > CALL_ENTRIES {
            return refuse(400, "a call holds at most 100 entries");
        }
        let mut part = None;
        for row in expected.iter().chain(&puts).chain(&removed) {
            let (table, _, key) = key_of(row);
            if table.len() > NAME_BYTES || key.len() > NAME_BYTES {
                return refuse(400, "a name holds at most 200 bytes");
            }
            if *part.get_or_insert_with(|| key_of(row).1) != key_of(row).1 {
                return refuse(400, "entries of several parts");
            }
        }
        for row in puts.iter().chain(&removed) {
            if ["op", "servers"].contains(&row.get("table").str()) {
                return refuse(403, "not yours");
            }
            if row.get("value").str().len() > ROW_BYTES.div_ceil(3) * 4 {
                return refuse(400, "a value holds at most row_bytes");
            }
        }
        let part = Arc::clone(self.parts.lock().unwrap().entry(part.unwrap_or_default()).or_default());
        let _one_after_another = part.lock().unwrap();
        thread::sleep(TX);
        let mut tables = self.tables.lock().unwrap();
        let mut current = Vec::new();
        let mut holds = true;
        for row in &expected {
            let key = key_of(row);
            let (value, version) = tables
                .rows
                .get(&key)
                .map_or((None, 0), |(value, version)| (Some(value), *version));
            holds &= row.get("ver").num() == Some(version);
            current.push(row_json(&key, value, version));
        }
        if !holds {
            let body = obj([
                ("rows", Json::Arr(current)),
                ("ver", tables.version.into()),
                ("now_ms", self.now_ms()),
            ]);
            return (412, body.to_string());
        }
        let put = puts
            .iter()
            .map(|row| (key_of(row), Some(row.get("value").str().to_owned())));
        let changes = put.chain(removed.iter().map(|row| (key_of(row), None))).collect();
        let version = tables.apply(changes);
        drop(tables);
        self.changed.notify_all();
        (
            200,
            obj([("ver", version.into()), ("now_ms", self.now_ms())]).to_string(),
        )
    }

    fn read(&self, request: &Request) -> Reply {
        let field = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        let (table, part, from, to) = (field("table"), field("part"), field("from"), field("to"));
        let tables = self.tables.lock().unwrap();
        let (mut rows, mut bytes, mut more) = (Vec::new(), 0, false);
        for (key, (value, version)) in tables.rows.range((table.clone(), part.clone(), from)..) {
            if key.0 != table || key.1 != part || !to.is_empty() && key.2 >= to {
                break;
            }
            bytes += value.len();
            if rows.len() == PAGE_ROWS || bytes > CALL_BYTES {
                more = true;
                break;
            }
            rows.push(row_json(key, Some(value), *version));
        }
        let body = obj([
            ("rows", Json::Arr(rows)),
            ("has_more", Json::Bool(more)),
            ("ver", tables.version.into()),
            ("now_ms", self.now_ms()),
        ]);
        (200, body.to_string())
    }

    fn feed(&self, request: &Request) -> Reply {
        let number = |name: &str| {
            request
                .query
                .get(name)
                .and_then(|text| text.parse::<u64>().ok())
                .unwrap_or(0)
        };
        let (table, after) = (request.query.get("table").cloned().unwrap_or_default(), number("after"));
        let end = Instant::now() + Duration::from_millis(number("wait_ms").min(30_000));
        let mut tables = self.tables.lock().unwrap();
        loop {
            let rows = tables.changes(&table, after);
            let left = end.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let body = obj([
                    ("rows", Json::Arr(rows)),
                    ("ver", tables.version.into()),
                    ("now_ms", self.now_ms()),
                ]);
                return (200, body.to_string());
            }
            tables = self.changed.wait_timeout(tables, left).unwrap().0;
        }
    }
}

impl Tables {
    fn apply(&mut self, changes: Vec<(Key, Option<String>)>) -> u64 {
        self.version += 1;
        for (key, value) in changes {
            match &value {
                Some(value) => drop(self.rows.insert(key.clone(), (value.clone(), self.version))),
                None => drop(self.rows.remove(&key)),
            }
            self.history.push((self.version, key, value));
        }
        self.version
    }

    fn changes(&self, table: &str, after: u64) -> Vec<Json> {
        let mut latest: BTreeMap<&Key, (u64, &Option<String>)> = BTreeMap::new();
        for (version, key, value) in self.history.iter().rev().take_while(|(version, _, _)| *version > after) {
            if key.0 == table {
                latest.entry(key).or_insert((*version, value));
            }
        }
        let mut rows: Vec<(u64, &Key, &Option<String>)> = latest
            .into_iter()
            .map(|(key, (version, value))| (version, key, value))
            .collect();
        rows.sort();
        rows.into_iter()
            .map(|(version, key, value)| row_json(key, value.as_ref(), version))
            .collect()
    }
}

fn key_of(row: &Json) -> Key {
    let field = |name: &str| row.get(name).str().to_owned();
    (field("table"), field("part"), field("key"))
}

fn row_json(key: &Key, value: Option<&String>, version: u64) -> Json {
    let mut fields = vec![
        ("table".to_owned(), Json::from(&*key.0)),
        ("part".to_owned(), Json::from(&*key.1)),
        ("key".to_owned(), Json::from(&*key.2)),
        ("ver".to_owned(), version.into()),
    ];
    match value {
        Some(value) => fields.push(("value".to_owned(), Json::from(&**value))),
        None => fields.push(("removed".to_owned(), Json::Bool(true))),
    }
    Json::Obj(fields)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let number = (0..3).fold(0_u32, |sum, index| {
            sum << 8 | u32::from(*chunk.get(index).unwrap_or(&0))
        });
        for index in 0..4 {
            if index <= chunk.len() {
                text.push(DIGITS[(number >> (18 - 6 * index) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
