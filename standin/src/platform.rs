//! The stand-in for the platform: versioned objects, long-poll watches and a lagging VM list.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use std::{io, mem};

use basilgw::clock::{Clock, SystemClock};
use basilgw::ids::{ObjectKey, Version};
use basilgw::schema::platform::{ConflictResponse, Instance, InstanceList, PutResponse};
use basilgw::store::MAX_VALUE_BYTES;
use bytes::Bytes;
use compact_str::CompactString;
use futures_util::future::BoxFuture;
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::timeout_at;

use crate::gate::Mode;
use crate::history::Event;
use crate::http::{Addresses, Api, Call, GateHandle, Listening, Reply};
use crate::record::{Recorder, lock};

/// Longest watch that is granted.
const LONGEST_WATCH: Duration = Duration::from_mins(1);

/// Faults in force, set by `PUT /admin/faults`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Pause before each answer, in milliseconds.
    pub slow: u64,
    /// Writes whose answer is lost after they took effect.
    pub lost: u32,
    /// Writes that are lost before they take effect.
    pub dropped: u32,
    /// Every call is answered with status 503.
    pub refuse: bool,
    /// Plain reads return the value before the newest.
    pub stale: bool,
    /// The VM list stays as it was.
    pub frozen: bool,
    /// Lag of the VM list, in milliseconds.
    pub lag: u64,
}

#[derive(Clone, Debug)]
struct Stored {
    version: Version,
    value: Bytes,
    before: Option<(Version, Bytes)>,
}

#[derive(Debug)]
struct Shown {
    list: Vec<Instance>,
    taken: Instant,
}

#[derive(Debug)]
struct State {
    objects: BTreeMap<ObjectKey, Stored>,
    version: Version,
    instances: Vec<Instance>,
    shown: Shown,
    faults: Faults,
    counts: BTreeMap<CompactString, u64>,
}

#[derive(Debug)]
struct PlatformApi {
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
    /// Announces the newest version of any object.
    newest: watch::Sender<Version>,
    recorder: Arc<Recorder>,
    gate: GateHandle,
}

enum Written {
    Done(Version),
    Conflict(Version),
    Absent,
}

impl State {
    fn count(&mut self, kind: &str) {
        *self.counts.entry(kind.into()).or_default() += 1;
    }

    fn current(&self, key: &ObjectKey) -> Version {
        self.objects.get(key).map_or(Version(0), |o| o.version)
    }

    fn put(&mut self, key: &ObjectKey, expected: Version, value: Bytes) -> Written {
        let current = self.current(key);
        if current != expected {
            return Written::Conflict(current);
        }
        self.version = self.version.next();
        let before = self.objects.remove(key).map(|o| (o.version, o.value));
        let stored = Stored {
            version: self.version,
            value,
            before,
        };
        self.objects.insert(key.clone(), stored);
        Written::Done(self.version)
    }

    fn delete(&mut self, key: &ObjectKey, expected: Version) -> Written {
        let current = self.current(key);
        if current == Version(0) {
            return Written::Absent;
        }
        if current != expected {
            return Written::Conflict(current);
        }
        self.objects.remove(key);
        Written::Done(current)
    }

    fn read(&self, key: &ObjectKey) -> Option<(Version, Bytes)> {
        let stored = self.objects.get(key)?;
        match &stored.before {
            Some(before) if self.faults.stale => Some(before.clone()),
            _ => Some((stored.version, stored.value.clone())),
        }
    }

    fn list(&mut self, now: Instant) -> InstanceList {
        let lag = Duration::from_millis(self.faults.lag);
        let age = now.saturating_duration_since(self.shown.taken);
        if !self.faults.frozen && age >= lag {
            self.shown = Shown {
                list: self.instances.clone(),
                taken: now,
            };
        }
        let age = now.saturating_duration_since(self.shown.taken);
        InstanceList {
            age: age.as_millis() as u64,
            instances: self.shown.list.clone(),
        }
    }

    /// Whether a write is lost before it takes effect, and whether its answer is lost after.
    fn take_losses(&mut self) -> (bool, bool) {
        if self.faults.dropped > 0 {
            self.faults.dropped -= 1;
            return (true, false);
        }
        if self.faults.lost > 0 {
            self.faults.lost -= 1;
            return (false, true);
        }
        (false, false)
    }
}

impl PlatformApi {
    fn get(&self, key: &ObjectKey) -> Reply {
        let found = lock(&self.state).read(key);
        found.map_or_else(|| Reply::status(StatusCode::NOT_FOUND), object)
    }

    fn put(&self, key: &ObjectKey, call: &Call) -> Reply {
        let Some(expected) = call.number("if").map(Version) else {
            return Reply::status(StatusCode::BAD_REQUEST);
        };
        if call.body.len() > MAX_VALUE_BYTES {
            return Reply::status(StatusCode::PAYLOAD_TOO_LARGE);
        }
        let mut state = lock(&self.state);
        let (dropped, lost) = state.take_losses();
        if dropped {
            return Reply::Abort;
        }
        let written = state.put(key, expected, call.body.clone());
        if let Written::Done(version) = written {
            self.recorder.record(Event::Written {
                key: key.clone(),
                version,
                value: call.json(),
            });
            self.newest.send_replace(version);
        }
        if lost {
            return Reply::Abort;
        }
        match written {
            Written::Done(version) => Reply::json(StatusCode::OK, &PutResponse { version }),
            Written::Conflict(version) => conflict(version),
            Written::Absent => Reply::status(StatusCode::NOT_FOUND),
        }
    }

    fn delete(&self, key: &ObjectKey, call: &Call) -> Reply {
        let Some(expected) = call.number("if").map(Version) else {
            return Reply::status(StatusCode::BAD_REQUEST);
        };
        let mut state = lock(&self.state);
        let (dropped, lost) = state.take_losses();
        if dropped {
            return Reply::Abort;
        }
        let written = state.delete(key, expected);
        if matches!(written, Written::Done(_)) {
            self.recorder.record(Event::Deleted { key: key.clone() });
        }
        if lost {
            return Reply::Abort;
        }
        match written {
            Written::Done(_) => Reply::status(StatusCode::NO_CONTENT),
            Written::Conflict(version) => conflict(version),
            Written::Absent => Reply::status(StatusCode::NOT_FOUND),
        }
    }

    async fn watch(&self, key: &ObjectKey, call: &Call) -> Reply {
        let after = Version(call.number("after").unwrap_or(0));
        let wait = Duration::from_millis(call.number("wait").unwrap_or(0)).min(LONGEST_WATCH);
        let until = tokio::time::Instant::now() + wait;
        let mut newest = self.newest.subscribe();
        loop {
            newest.borrow_and_update();
            let found = lock(&self.state).objects.get(key).cloned();
            if let Some(found) = found.filter(|found| found.version > after) {
                return object((found.version, found.value));
            }
            let changed = timeout_at(until, newest.changed()).await;
            if changed.is_err() {
                return Reply::status(StatusCode::NO_CONTENT);
            }
        }
    }

    fn admin(&self, call: &Call) -> Reply {
        match (call.method.as_str(), call.path.as_str()) {
            ("PUT", "/admin/gate") => self.gate.handle(call),
            ("PUT", "/admin/faults") => {
                let Some(faults) = call.json() else {
                    return Reply::status(StatusCode::BAD_REQUEST);
                };
                lock(&self.state).faults = faults;
                Reply::status(StatusCode::NO_CONTENT)
            }
            ("PUT", "/admin/instances") => {
                let Some(instances) = call.json() else {
                    return Reply::status(StatusCode::BAD_REQUEST);
                };
                self.register(instances);
                Reply::status(StatusCode::NO_CONTENT)
            }
            ("GET", "/admin/counts") => Reply::json(StatusCode::OK, &lock(&self.state).counts),
            ("GET", "/admin/objects") => Reply::json(StatusCode::OK, &self.versions()),
            ("GET", "/admin/history") => history(&self.recorder),
            _ => Reply::status(StatusCode::NOT_FOUND),
        }
    }

    fn register(&self, instances: Vec<Instance>) {
        let mut state = lock(&self.state);
        let first = state.instances.is_empty();
        state.instances = instances;
        if first {
            let list = state.instances.clone();
            let taken = self.clock.now();
            state.shown = Shown { list, taken };
        }
    }

    fn versions(&self) -> BTreeMap<ObjectKey, Version> {
        let state = lock(&self.state);
        let objects = state.objects.iter();
        objects.map(|(key, o)| (key.clone(), o.version)).collect()
    }

    async fn serve(&self, call: Call) -> Reply {
        if call.path.starts_with("/admin/") {
            return self.admin(&call);
        }
        let (kind, key) = kind_of(&call);
        let faults = {
            let mut state = lock(&self.state);
            state.count(kind);
            state.faults.clone()
        };
        if faults.slow > 0 {
            tokio::time::sleep(Duration::from_millis(faults.slow)).await;
        }
        if faults.refuse {
            return Reply::status(StatusCode::SERVICE_UNAVAILABLE);
        }
        if kind == "list" {
            let list = lock(&self.state).list(self.clock.now());
            return Reply::json(StatusCode::OK, &list);
        }
        let Some(key) = key else {
            return Reply::status(StatusCode::NOT_FOUND);
        };
        match kind {
            "get" => self.get(&key),
            "put" => self.put(&key, &call),
            "delete" => self.delete(&key, &call),
            "watch" => self.watch(&key, &call).await,
            _ => Reply::status(StatusCode::NOT_FOUND),
        }
    }
}

impl Api for PlatformApi {
    fn handle(&self, call: Call) -> BoxFuture<'_, Reply> {
        Box::pin(self.serve(call))
    }
}

fn kind_of(call: &Call) -> (&'static str, Option<ObjectKey>) {
    if call.path == "/v1/instances" {
        return ("list", None);
    }
    if let Some(key) = call.path.strip_prefix("/v1/watch/") {
        return ("watch", key.parse().ok());
    }
    let key = call.path.strip_prefix("/v1/objects/");
    let key = key.and_then(|key| key.parse().ok());
    match call.method {
        Method::GET => ("get", key),
        Method::PUT => ("put", key),
        Method::DELETE => ("delete", key),
        _ => ("other", None),
    }
}

fn object((version, value): (Version, Bytes)) -> Reply {
    let reply = Reply::bytes(StatusCode::OK, "application/octet-stream", value);
    reply.with("x-version", &version.to_string())
}

fn conflict(version: Version) -> Reply {
    Reply::json(StatusCode::CONFLICT, &ConflictResponse { version })
}

/// A history as JSON lines.
pub(crate) fn history(recorder: &Recorder) -> Reply {
    let lines = recorder.lines().into();
    Reply::bytes(StatusCode::OK, "application/jsonl", lines)
}

/// A running stand-in for the platform.
#[derive(Debug)]
pub struct Platform {
    api: Arc<PlatformApi>,
    listening: Listening,
}

impl Platform {
    /// Serves on `listen`.
    ///
    /// # Errors
    ///
    /// Where the address cannot be bound.
    pub async fn bind(listen: SocketAddr) -> io::Result<Self> {
        let clock = SystemClock::open();
        let shown = Shown {
            list: Vec::new(),
            taken: clock.now(),
        };
        let state = State {
            objects: BTreeMap::new(),
            version: Version(0),
            instances: Vec::new(),
            shown,
            faults: Faults::default(),
            counts: BTreeMap::new(),
        };
        let api = Arc::new(PlatformApi {
            clock,
            state: Mutex::new(state),
            newest: watch::channel(Version(0)).0,
            recorder: Recorder::open("platform"),
            gate: GateHandle::default(),
        });
        let shared: Arc<dyn Api> = Arc::<PlatformApi>::clone(&api);
        let listening = Listening::bind(listen, &api.gate, shared).await?;
        Ok(Self { api, listening })
    }

    /// Its addresses.
    pub fn addresses(&self) -> Addresses {
        self.listening.addresses()
    }

    /// What it recorded.
    pub fn recorder(&self) -> &Arc<Recorder> {
        &self.api.recorder
    }

    /// Sets the faults in force.
    pub fn set_faults(&self, faults: Faults) {
        lock(&self.api.state).faults = faults;
    }

    /// Changes what its gate does.
    pub fn set_gate(&self, mode: Mode) {
        self.listening.set(mode);
    }

    /// Replaces the VM list, which readers see after its lag.
    pub fn register(&self, instances: Vec<Instance>) {
        self.api.register(instances);
    }

    /// The newest value of an object.
    pub fn object(&self, key: &ObjectKey) -> Option<(Version, Bytes)> {
        let state = lock(&self.api.state);
        let stored = state.objects.get(key)?;
        Some((stored.version, stored.value.clone()))
    }

    /// Calls so far, by kind.
    pub fn counts(&self) -> BTreeMap<CompactString, u64> {
        lock(&self.api.state).counts.clone()
    }

    /// Calls since the last time, by kind.
    pub fn take_counts(&self) -> BTreeMap<CompactString, u64> {
        mem::take(&mut lock(&self.api.state).counts)
    }
}
