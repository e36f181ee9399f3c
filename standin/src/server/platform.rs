//! HTTP server of the table, the object store and the list.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use rouille::{Request, Response};
use serde::{Deserialize, Serialize};
use yuccaridge::name::{EndpointName, InstanceName};
use yuccaridge::platform::http::wire::{
    CommitReply, ErrorBody, ErrorCode, LENGTH_HEADER, ReadBody, ReadReply, ScanBody,
};
use yuccaridge::platform::{
    Address, ListedEndpoint, ListedInstance, MachineList, ObjectError, Objects, Presence, Table, TableError, Txn,
};

use super::faults::{Faults, Target};
use super::http_server::HttpServer;
use super::reply::{HandlerResult, bad_request, error_body, into_response, json_response, read_body, read_json};
use crate::table::{MemoryObjects, MemoryTable, Usage};

/// New presences of listed endpoints and instances.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Presences {
    /// Presences of endpoints.
    #[serde(rename = "workers")]
    pub endpoints: BTreeMap<EndpointName, Presence>,
    /// Presences of instances of the system.
    pub instances: BTreeMap<InstanceName, Presence>,
}

#[derive(Debug, Default)]
struct List {
    endpoints: BTreeMap<EndpointName, ListedEndpoint>,
    instances: BTreeMap<InstanceName, ListedInstance>,
}

#[derive(Debug, Default)]
struct State {
    table: MemoryTable,
    objects: MemoryObjects,
    list: Mutex<List>,
    faults: Faults,
}

/// A platform served over HTTP.
#[derive(Debug)]
pub struct PlatformServer {
    state: Arc<State>,
    server: HttpServer,
}

impl PlatformServer {
    /// Starts a platform with an empty table, object store and list.
    pub fn start(listen: SocketAddr) -> io::Result<Self> {
        let state = Arc::new(State::default());
        let shared = Arc::clone(&state);
        let server = HttpServer::start(listen, move |request| shared.handle(request))?;
        Ok(Self { state, server })
    }

    /// Address that it listens on.
    pub fn address(&self) -> Address {
        self.server.address()
    }

    /// Faults to inject into its answers.
    pub fn faults(&self) -> &Faults {
        &self.state.faults
    }

    /// Request counts of the table so far.
    pub fn usage(&self) -> Usage {
        self.state.table.usage()
    }

    /// Adds an endpoint to the list or replaces its entry.
    pub fn list_endpoint(&self, endpoint: ListedEndpoint) {
        self.state.list().endpoints.insert(endpoint.name.clone(), endpoint);
    }

    /// Adds an instance to the list or replaces its entry.
    pub fn list_instance(&self, instance: ListedInstance) {
        self.state.list().instances.insert(instance.name.clone(), instance);
    }

    /// Removes an endpoint from the list.
    pub fn unlist_endpoint(&self, name: &EndpointName) {
        self.state.list().endpoints.remove(name);
    }

    /// Removes an instance from the list.
    pub fn unlist_instance(&self, name: &InstanceName) {
        self.state.list().instances.remove(name);
    }

    /// Changes the presences of listed endpoints and instances; unlisted names are ignored.
    pub fn set_presences(&self, presences: &Presences) {
        self.state.set_presences(presences);
    }
}

impl State {
    fn list(&self) -> MutexGuard<'_, List> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_presences(&self, presences: &Presences) {
        let mut list = self.list();
        for (name, presence) in &presences.endpoints {
            if let Some(endpoint) = list.endpoints.get_mut(name) {
                endpoint.presence = *presence;
            }
        }
        for (name, presence) in &presences.instances {
            if let Some(instance) = list.instances.get_mut(name) {
                instance.presence = *presence;
            }
        }
    }

    fn handle(&self, request: &Request) -> Response {
        let url = request.url();
        match (request.method(), url.as_str()) {
            ("POST", "/v1/table/read") => self.faults.apply(Target::Reads, || self.read(request)),
            ("POST", "/v1/table/scan") => self.faults.apply(Target::Reads, || self.scan(request)),
            ("POST", "/v1/table/commit") => self.faults.apply(Target::Commits, || self.commit(request)),
            ("PUT", "/v1/objects") => self.faults.apply(Target::Objects, || self.put_object(request)),
            ("GET", "/v1/objects") => self.faults.apply(Target::Objects, || self.get_object(request)),
            ("GET", "/v1/list") => self.faults.apply(Target::List, || self.get_list(request)),
            (method, path) => into_response(self.control(method, path, request)),
        }
    }

    fn read(&self, request: &Request) -> HandlerResult {
        let body: ReadBody = read_json(request)?;
        let rows = self.table.read(&body.keys).map_err(table_error)?;
        json_response(&ReadReply { rows })
    }

    fn scan(&self, request: &Request) -> HandlerResult {
        let body: ScanBody = read_json(request)?;
        let page = self.table.scan(&body.prefix, body.after.as_deref(), body.limit);
        json_response(&page.map_err(table_error)?)
    }

    fn commit(&self, request: &Request) -> HandlerResult {
        let txn: Txn = read_json(request)?;
        let version = self.table.commit(&txn).map_err(table_error)?;
        json_response(&CommitReply { version })
    }

    fn put_object(&self, request: &Request) -> HandlerResult {
        let name = object_name(request)?;
        self.objects.put(&name, &read_body(request)?).map_err(object_error)?;
        json_response(&())
    }

    fn get_object(&self, request: &Request) -> HandlerResult {
        let bytes = self.objects.get(&object_name(request)?).map_err(object_error)?;
        let length = bytes.len().to_string();
        Ok(Response::from_data("application/octet-stream", bytes).with_unique_header(LENGTH_HEADER, length))
    }

    fn get_list(&self, request: &Request) -> HandlerResult {
        let list = self.list();
        let listed = MachineList {
            endpoints: list.endpoints.values().cloned().collect(),
            instances: list.instances.values().cloned().collect(),
        };
        let bytes = serde_json::to_vec(&listed).map_err(|error| bad_request(error.to_string()))?;
        let mut hasher = DefaultHasher::new();
        bytes.hash(&mut hasher);
        let tag = format!("\"{:016x}\"", hasher.finish());
        if request.header("If-None-Match") == Some(tag.as_str()) {
            return Ok(Response::empty_204()
                .with_status_code(304)
                .with_unique_header("ETag", tag));
        }
        Ok(Response::from_data("application/json", bytes).with_unique_header("ETag", tag))
    }

    /// Handles requests that only tests and stand-ins send.
    fn control(&self, method: &str, path: &str, request: &Request) -> HandlerResult {
        let parts: Vec<_> = path.trim_start_matches("/v1/").split('/').collect();
        match (method, parts.as_slice()) {
            ("POST", ["list", "workers"]) => {
                let endpoint: ListedEndpoint = read_json(request)?;
                self.list().endpoints.insert(endpoint.name.clone(), endpoint);
            }
            ("POST", ["list", "instances"]) => {
                let instance: ListedInstance = read_json(request)?;
                self.list().instances.insert(instance.name.clone(), instance);
            }
            ("DELETE", ["list", "workers", name]) => drop(self.list().endpoints.remove(*name)),
            ("DELETE", ["list", "instances", name]) => drop(self.list().instances.remove(*name)),
            ("POST", ["list", "presences"]) => self.set_presences(&read_json(request)?),
            ("POST", ["faults"]) => self.faults.add(read_json(request)?),
            ("DELETE", ["faults"]) => self.faults.clear(),
            ("GET", ["usage"]) => return json_response(&self.table.usage()),
            _ => return Err(bad_request(format!("no such route: {method} {path}"))),
        }
        json_response(&())
    }
}

fn object_name(request: &Request) -> Result<String, ErrorBody> {
    request
        .get_param("name")
        .ok_or_else(|| bad_request("query key name is missing"))
}

fn object_error(failure: ObjectError) -> ErrorBody {
    match failure {
        ObjectError::Absent(name) => error_body(ErrorCode::Absent, name),
        ObjectError::Unavailable(reason) => error_body(ErrorCode::Unavailable, reason),
    }
}

fn table_error(failure: TableError) -> ErrorBody {
    let message = failure.to_string();
    match failure {
        TableError::Conflict { key, expected, found } => {
            error_body(ErrorCode::Conflict { key, expected, found }, message)
        }
        _ => error_body(ErrorCode::Unavailable, message),
    }
}
