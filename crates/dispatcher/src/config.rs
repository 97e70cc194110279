//! The one place where configuration is read, checked and given defaults. Faults name the key, and all are told.

mod places;

use crate::client::AdmissionLimits;
use crate::discovery::EndpointDirectory;
use crate::dispatcher::TAKES_ON;
use crate::engine::ConnectionSettings;
use crate::query_registry::EndpointEntry;
use serde_json::{Map as Object, Value};
use std::fmt;
use std::net::SocketAddr;
use tansymux::events::EndpointState;
use tansymux::settings::{self, RawSettings, SettingsMap};

const CONFIG_VARIABLE: &str = "RELAY_CONFIG";
const LISTEN_VARIABLE: &str = "RELAY_LISTEN";
const MAX_BYTES: u64 = 8 << 20;
const MIN_SOCKETS: f64 = 64.0;
const DEFAULT_SOCKETS: f64 = 1024.0;
const MIN_MEMORY_MB: f64 = 16.0;
const DEFAULT_MEMORY_MB: f64 = 192.0;
const DEFAULT_CONNECT_TIMEOUT: f64 = 250.0;
const DEFAULT_IDLE: f64 = 30_000.0;
const DEFAULT_STREAMS: f64 = 32.0;
/// A platform that ends the program waits for the longest deadline, for so much (ms) of it at most, and for as long
/// as it goes on sending; all is answered so much (ms) earlier, so that the last answers are written out in time.
const MAX_GRACE: f64 = 3000.0;
const LAST_WRITES: f64 = 500.0;
/// RampQuotas of the descriptor limit: connections from clients, connections to engines. What both together may not touch:
/// three standard streams, three pipes for signals, three of the event loop, the listener, a socket for the name service
/// and one that takes its place, those of peers and fleet, a file that is read again, and some to spare.
const CLIENTS_PART: f64 = 0.5;
const ENGINES_PART: f64 = 0.35;
const OWN_SOCKETS: f64 = 20.0;
/// RampQuotas of the memory limit: statements in hand, and what clients have sent ahead.
const STATEMENTS_PART: f64 = 0.2;
const AHEAD_PART: f64 = 0.1;
/// What a query may name at most: so many times the longest time that the settings give a client, the work that the
/// largest engine can do in that time, and the memory of the largest engine. Where the settings do not tell: these.
const ROOM: f64 = 4.0;
const LONGEST_WAIT: f64 = 3_600_000.0;
const MAX_ESTIMATE: f64 = 1e9;

/// Where the messages between dispatchers go.
#[derive(Debug, PartialEq)]
pub struct PeerAddresses {
    pub listen: SocketAddr,
    pub each: Vec<SocketAddr>,
    pub all: Option<SocketAddr>,
}

/// All that a dispatcher is told at its start.
#[derive(Debug)]
pub struct StartupConfig {
    pub name: String,
    pub listen: SocketAddr,
    pub seed: u64,
    pub admission: AdmissionLimits,
    /// Statements in hand at most, in bytes.
    pub max_bytes: usize,
    /// Limits on descriptors, and on memory in bytes.
    pub sockets: f64,
    pub memory: f64,
    pub connection_settings: ConnectionSettings,
    /// After the signal to end, by when (ms) all is answered.
    pub ends_by: f64,
    pub peers: Option<PeerAddresses>,
    pub resolver: Option<SocketAddr>,
    pub directory: EndpointDirectory,
    /// The settings as the decisions take them: a plain map.
    pub told: SettingsMap,
    /// The configuration as it stands in the file, to tell what another one changes.
    pub text: Value,
}

/// Keys that may differ from one configuration to the next and mean nothing to a program that runs: the list of
/// the start, the seed of a start.
const OF_A_START: [&str; 2] = ["known", "seed"];
/// Keys that take effect while the program runs.
const WHILE_RUNNING: [&str; 1] = ["resolver"];

/// The keys of `new` that say something else than `old` and can't take effect before the next start.
pub fn only_at_a_start(old: &Value, new: &Value) -> Vec<String> {
    let keys = [old, new]
        .into_iter()
        .filter_map(Value::as_object)
        .flat_map(|object| object.keys());
    let other = |key: &&String| old.get(key.as_str()) != new.get(key.as_str());
    let passed = |key: &&String| {
        !OF_A_START
            .iter()
            .chain(&WHILE_RUNNING)
            .any(|known| known == *key)
    };
    let mut keys: Vec<String> = keys.filter(other).filter(passed).cloned().collect();
    keys.sort();
    keys.dedup();
    keys
}

/// One thing that is wrong: the key, and what is said of it. `line` is known where the file's form is at fault, else
/// `located` finds it.
#[derive(Debug, Clone, PartialEq)]
pub struct Wrong {
    pub line: Option<usize>,
    pub key: String,
    pub says: String,
}

impl Wrong {
    fn whole(says: impl Into<String>) -> Self {
        Wrong {
            line: None,
            key: String::new(),
            says: says.into(),
        }
    }
}

impl fmt::Display for Wrong {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, "line {line}: ")?;
        }
        if !self.key.is_empty() {
            write!(f, "key {} ", self.key)?;
        }
        f.write_str(&self.says)
    }
}

/// The faults with the lines at which their keys, or the nearest that are there, stand in the text.
pub fn located(mut faults: Vec<Wrong>, text: &str) -> Vec<Wrong> {
    let places = places::find(text);
    for fault in faults
        .iter_mut()
        .filter(|fault| fault.line.is_none() && !fault.key.is_empty())
    {
        let mut key = fault.key.as_str();
        fault.line = loop {
            match (places.get(key), key.rsplit_once('.')) {
                (Some(&line), _) => break Some(line),
                (None, Some((over, _))) => key = over,
                (None, None) => break Some(1),
            }
        };
    }
    faults
}

/// Reads the configuration that the environment names.
pub fn read() -> Result<StartupConfig, String> {
    let path =
        std::env::var(CONFIG_VARIABLE).map_err(|_| format!("{CONFIG_VARIABLE} is not set"))?;
    let text = text_of(&path, MAX_BYTES).map_err(|e| format!("{CONFIG_VARIABLE} {path}{e}"))?;
    let listen = std::env::var(LISTEN_VARIABLE).ok();
    parse(&text, listen.as_deref()).map_err(|faults| {
        let all: Vec<String> = located(faults, &text)
            .iter()
            .map(Wrong::to_string)
            .collect();
        format!("{path}: {}", all.join("; "))
    })
}

/// A file of at most so many bytes, as text; an error goes on behind the file's name.
pub fn text_of(path: &str, most: u64) -> Result<String, String> {
    let size = std::fs::metadata(path).map_err(|e| format!(": {e}"))?.len();
    if size > most {
        return Err(format!(" is longer than {most} bytes"));
    }
    std::fs::read_to_string(path).map_err(|e| format!(": {e}"))
}

/// A value and the path of keys that leads to it.
struct At<'a> {
    path: String,
    value: Option<&'a Value>,
}

impl<'a> At<'a> {
    fn key(&self, key: &str) -> At<'a> {
        let path = if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        };
        At {
            path,
            value: self.value.and_then(|v| v.get(key)).filter(|v| !v.is_null()),
        }
    }

    fn wrong(&self, what: &str) -> Wrong {
        let says = match self.value {
            None => format!("is missing, not {what}"),
            Some(value) => format!("is {value}, not {what}"),
        };
        Wrong {
            line: None,
            key: self.path.clone(),
            says,
        }
    }

    fn text(&self) -> Result<&'a str, Wrong> {
        self.value
            .and_then(Value::as_str)
            .ok_or_else(|| self.wrong("a text"))
    }

    fn number(&self) -> Result<f64, Wrong> {
        self.value
            .and_then(Value::as_f64)
            .ok_or_else(|| self.wrong("a number"))
    }

    /// A number in a range, or the default where the key is absent.
    fn number_or(&self, default: f64, least: f64) -> Result<f64, Wrong> {
        if self.value.is_none() {
            return Ok(default);
        }
        Some(self.number()?)
            .filter(|n| *n >= least)
            .ok_or_else(|| self.wrong(&format!("at least {least}")))
    }

    fn items(&self) -> Result<Vec<At<'a>>, Wrong> {
        let items = self
            .value
            .and_then(Value::as_array)
            .ok_or_else(|| self.wrong("a list"))?;
        let item = |(i, value)| At {
            path: format!("{}.{i}", self.path),
            value: Some(value),
        };
        Ok(items.iter().enumerate().map(item).collect())
    }

    fn object(&self) -> Result<&'a Object<String, Value>, Wrong> {
        self.value
            .and_then(Value::as_object)
            .ok_or_else(|| self.wrong("an object"))
    }

    fn address(&self) -> Result<SocketAddr, Wrong> {
        self.text()?
            .parse()
            .map_err(|_| self.wrong("an address with a port"))
    }

    fn maybe<T>(&self, read: impl FnOnce(&Self) -> Result<T, Wrong>) -> Result<Option<T>, Wrong> {
        self.value.map(|_| read(self)).transpose()
    }
}

/// What came of reading keys: what could be used, and all that could not.
#[derive(Default)]
struct Faults(Vec<Wrong>);

impl Faults {
    fn keep<T>(&mut self, read: Result<T, Wrong>) -> Option<T> {
        read.map_err(|wrong| self.0.push(wrong)).ok()
    }
}

/// # Errors
/// All keys that are at fault.
pub fn parse(text: &str, listen: Option<&str>) -> Result<StartupConfig, Vec<Wrong>> {
    let value: Value = serde_json::from_str(text).map_err(|e| {
        vec![Wrong {
            line: Some(e.line()),
            ..Wrong::whole(format!("not JSON: {e}"))
        }]
    })?;
    let root = At {
        path: String::new(),
        value: Some(&value),
    };
    if !value.is_object() {
        return Err(vec![Wrong::whole("the configuration is not an object")]);
    }
    let mut faults = Faults::default();
    let mut told = SettingsMap::new();
    if let Some(settings) = faults.keep(root.key("settings").object()) {
        flatten("", &Value::Object(settings.clone()), &mut told);
        for name in ["balancers", "services.count"] {
            if told.required(name).is_err() {
                let says = "is missing or no number".into();
                faults.0.push(Wrong {
                    line: None,
                    key: format!("settings.{name}"),
                    says,
                });
            }
        }
    }
    let listen = faults.keep(match (root.key("listen"), listen) {
        (key, None) => key.address(),
        (_, Some(text)) => text
            .parse()
            .map_err(|_| Wrong::whole(format!("{LISTEN_VARIABLE} {text:?} is not an address"))),
    });
    let seed = root.key("seed");
    let hex = seed
        .text()
        .and_then(|hex| u64::from_str_radix(hex, 16).map_err(|_| seed.wrong("a number in hex")));
    let seed = faults.keep(hex);
    let mut number = |key: &At, default: f64, least: f64| {
        faults
            .keep(key.number_or(default, least))
            .unwrap_or(default)
    };
    let sockets = number(
        &root.key("limits").key("sockets"),
        DEFAULT_SOCKETS,
        MIN_SOCKETS,
    );
    let memory = number(
        &root.key("limits").key("memory_mb"),
        DEFAULT_MEMORY_MB,
        MIN_MEMORY_MB,
    );
    let memory = memory * f64::from(1 << 20);
    let shared = (sockets - OWN_SOCKETS).min(sockets * (CLIENTS_PART + ENGINES_PART));
    let part_of = |part: f64| (shared * part / (CLIENTS_PART + ENGINES_PART)) as usize;
    let setting = |key: &str| root.key("settings").key("limits").key(key);
    let notes_every = root
        .key("settings")
        .key("family-info")
        .key("tells-every-us");
    let count = told
        .number(&settings::list_count("services"))
        .unwrap_or(0.0) as usize;
    let times = |key: &str| -> Vec<f64> {
        let path = |i| format!("{}.{key}", settings::list_item("services", i));
        (0..count).filter_map(|i| told.millis(&path(i))).collect()
    };
    let connection_settings = ConnectionSettings {
        shortest_objective_ms: times("aim-us").into_iter().reduce(f64::min).unwrap_or(0.0),
        progress_interval_ms: number(&notes_every, 0.0, 0.0) / 1e3,
        connect_timeout_ms: number(
            &setting("connect-timeout-us"),
            DEFAULT_CONNECT_TIMEOUT * 1e3,
            1.0,
        ) / 1e3,
        idle_timeout_ms: number(&setting("conn-idle-us"), DEFAULT_IDLE * 1e3, 1.0) / 1e3,
        max_streams: number(&setting("streams-per-conn"), DEFAULT_STREAMS, 1.0) as usize,
        max_connections: part_of(ENGINES_PART),
    };
    let largest = |path: &str| {
        told.list(path)
            .iter()
            .filter_map(|n| n.parse::<f64>().ok())
            .reduce(f64::max)
    };
    let longest = times("hard-limit-us").into_iter().reduce(f64::max);
    let ends_by = longest.unwrap_or(MAX_GRACE).min(MAX_GRACE) + TAKES_ON - LAST_WRITES;
    let max_wait = longest.map_or(LONGEST_WAIT, |wait| ROOM * wait);
    let max_cost = largest("family-info.cores-by-kind").map(|cores| cores * max_wait);
    let may_be_told = told
        .get("limits.retry-after")
        .is_none_or(|value| settings::is_true(value));
    let max_memory = largest("family-info.kind-memory-mb").map(|mb| ROOM * mb);
    let admission = AdmissionLimits {
        max_connections: part_of(CLIENTS_PART),
        max_buffered_bytes: (memory * AHEAD_PART) as usize,
        resource_groups: names(&told, "services"),
        tenants: names(&told, "projects"),
        max_wait_ms: max_wait,
        max_cost_ms: max_cost.filter(|most| *most > 0.0).unwrap_or(MAX_ESTIMATE),
        max_memory_mb: max_memory
            .filter(|most| *most > 0.0)
            .unwrap_or(MAX_ESTIMATE),
        retry_after_ms: told
            .millis("limits.max-retry-after-us")
            .filter(|_| may_be_told),
    };
    let peers = faults.keep(peers(&root)).flatten();
    let resolver = faults
        .keep(root.key("resolver").maybe(At::address))
        .flatten();
    let directory = faults.keep(known(&root.key("known")));
    let name = faults
        .keep(root.key("name").maybe(At::text))
        .flatten()
        .unwrap_or("")
        .to_owned();
    if let (Some(listen), Some(seed), Some(directory), true) =
        (listen, seed, directory, faults.0.is_empty())
    {
        let max_bytes = (memory * STATEMENTS_PART) as usize;
        let text = value;
        return Ok(StartupConfig {
            name,
            listen,
            seed,
            admission,
            max_bytes,
            sockets,
            memory,
            connection_settings,
            ends_by,
            peers,
            resolver,
            directory,
            told,
            text,
        });
    }
    Err(faults.0)
}

fn peers(root: &At) -> Result<Option<PeerAddresses>, Wrong> {
    root.key("peer_listen").maybe(|key| {
        let listen = key.address()?;
        let each = root.key("peers").maybe(At::items)?.unwrap_or_default();
        let each = each
            .iter()
            .map(At::address)
            .collect::<Result<Vec<_>, _>>()?;
        Ok(PeerAddresses {
            listen,
            each,
            all: root.key("peers_all").maybe(At::address)?,
        })
    })
}

/// The list of engines at the start: the first event holds all, later ones what has changed.
fn known(known: &At) -> Result<EndpointDirectory, Wrong> {
    let mut directory = EndpointDirectory::default();
    if known.value.is_none() {
        return Ok(directory);
    }
    directory.serial = known.key("cursor").number_or(0.0, 0.0)? as u32;
    for event in known.key("cmds").items()? {
        for entry in event.key("nodes").key("instances").items()? {
            let state = entry.key("lifecycle");
            let status = match state.text()? {
                "Ready" => EndpointState::Ready,
                "Terminating" => EndpointState::Draining,
                "Gone" => EndpointState::Gone,
                _ => return Err(state.wrong("Ready, Terminating or Gone")),
            };
            let engine = EndpointEntry {
                engine_id: directory.engine_id(entry.key("instanceId").text()?),
                address: entry.key("hostPort").maybe(At::address)?,
                kind: entry
                    .key("machineType")
                    .maybe(At::text)?
                    .unwrap_or("")
                    .to_owned(),
                zone: entry.key("zone").maybe(At::text)?.unwrap_or("").to_owned(),
                cell: entry.key("cell").number_or(0.0, 0.0)? as u32,
                status,
                started: Some(entry.key("startedAtMs").number_or(0.0, 0.0)?).filter(|ms| *ms > 0.0),
            };
            directory.insert(engine);
        }
    }
    Ok(directory)
}

/// The names of a list of objects in the settings.
fn names(told: &SettingsMap, path: &str) -> Vec<String> {
    let count = told.number(&settings::list_count(path)).unwrap_or(0.0) as usize;
    (0..count)
        .filter_map(|i| {
            told.get(&format!("{}.name", settings::list_item(path, i)))
                .cloned()
        })
        .collect()
}

/// Lays nested settings out flat: lists of objects by their places, lists of plain values in one.
fn flatten(path: &str, value: &Value, to: &mut SettingsMap) {
    let plain = |value: &Value| match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    match value {
        Value::Object(entries) => {
            for (key, value) in entries {
                flatten(
                    &if path.is_empty() {
                        key.clone()
                    } else {
                        format!("{path}.{key}")
                    },
                    value,
                    to,
                );
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            settings::insert(to, &settings::list_count(path), &items.len().to_string());
            items
                .iter()
                .enumerate()
                .for_each(|(i, item)| flatten(&settings::list_item(path, i), item, to));
        }
        Value::Array(items) => settings::insert_list(to, path, items.iter().map(plain)),
        Value::Null => {}
        other => settings::insert(to, path, &plain(other)),
    }
}

#[cfg(test)]
mod tests;
