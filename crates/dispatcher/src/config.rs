//! The startup configuration: the JSON file that `RELAY_CONFIG` names, read, checked and given defaults at one place.
//!
//! Nothing here acts on the configuration. All faults of a file are found and reported together, each with its key and
//! line ([`ConfigError`]). Start reading at [`parse`].

mod endpoints;
mod error;
mod flatten;
mod groups;
mod limits;
mod node;
mod source_lines;

pub use endpoints::PeerAddresses;
pub use error::{locate, ConfigError, StartupConfigError};
pub use groups::{read_groups, ConfiguredGroup};

use crate::client::AdmissionLimits;
use crate::discovery::EndpointDirectory;
use crate::engine::ConnectionSettings;
use crate::file::read_text;
use crate::lifecycle::shutdown_grace_ms;
use error::Problem;
use limits::ProcessLimits;
use node::{ErrorCollector, Node};
use serde_json::Value;
use std::net::SocketAddr;
use tansymux::settings::{RawSettings, SettingsMap};

/// Environment variable that names the file.
const CONFIG_VARIABLE: &str = "RELAY_CONFIG";
/// Environment variable that replaces the file's `listen`.
const LISTEN_VARIABLE: &str = "RELAY_LISTEN";
/// Longest configuration that is read, in bytes. A list of 1,024 engines takes under 1 MB.
pub const MAX_CONFIG_BYTES: u64 = 8 << 20;
/// Settings without which nothing can be decided.
const REQUIRED_SETTINGS: [&str; 2] = ["balancers", "services.count"];
/// Setting that says how long after its start an engine is cold.
const WARM_UP_SETTING: &str = "rules.warm-after-us";

/// Keys that only say something about a start, and may differ between two configurations: the endpoint list and the
/// seed.
const STARTUP_ONLY_KEYS: [&str; 2] = ["known", "seed"];
/// Keys that take effect at a reload.
const RELOADABLE_KEYS: [&str; 1] = ["resolver"];

/// A configuration that was checked.
#[derive(Debug)]
pub struct StartupConfig {
    /// This dispatcher's name, for the log; may be empty.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Seed of all random draws of this start.
    pub seed: u64,
    /// What the client side accepts.
    pub admission: AdmissionLimits,
    /// Bytes of statements in flight at most.
    pub max_statement_bytes: usize,
    /// Descriptors that the program may hold.
    pub max_sockets: f64,
    /// Memory that the program may use.
    pub max_memory_bytes: f64,
    /// Connections to engines.
    pub connection_settings: ConnectionSettings,
    /// How long (ms) after its start an engine is cold; 0 where the settings do not say.
    pub engine_warm_up_ms: f64,
    /// How long (ms) after SIGTERM all is answered.
    pub shutdown_grace_ms: f64,
    /// Where the messages between dispatchers go; none where dispatchers do not talk.
    pub peers: Option<PeerAddresses>,
    /// The name service; without one the endpoint list never changes.
    pub resolver: Option<SocketAddr>,
    /// The endpoint list at the start.
    pub directory: EndpointDirectory,
    /// The settings, as the decisions take them.
    pub settings: SettingsMap,
    /// The configuration as the file has it, to tell at a reload what changed.
    pub source: Value,
}

/// The top-level keys that differ between two configurations and take no effect before a restart, in order.
pub fn keys_pending_restart(old: &Value, new: &Value) -> Vec<String> {
    let mut pending = Vec::new();
    for object in [old, new].into_iter().filter_map(Value::as_object) {
        for key in object.keys() {
            let key = key.as_str();
            let exempt = STARTUP_ONLY_KEYS.contains(&key) || RELOADABLE_KEYS.contains(&key);
            if !exempt && old.get(key) != new.get(key) {
                pending.push(key.to_owned());
            }
        }
    }
    pending.sort();
    pending.dedup();
    pending
}

/// Reads the configuration that the environment names.
///
/// # Errors
/// There is none, it cannot be read, or it has faults: then all of them, with their lines.
pub fn read() -> Result<StartupConfig, StartupConfigError> {
    let Ok(path) = std::env::var(CONFIG_VARIABLE) else {
        return Err(StartupConfigError::NoFile {
            variable: CONFIG_VARIABLE,
        });
    };
    let text = read_text(&path, MAX_CONFIG_BYTES).map_err(|source| StartupConfigError::File {
        variable: CONFIG_VARIABLE,
        source,
    })?;
    let listen = std::env::var(LISTEN_VARIABLE).ok();
    parse(&text, listen.as_deref()).map_err(|errors| StartupConfigError::Invalid {
        path,
        errors: locate(errors, &text),
    })
}

/// Reads and checks a configuration. `listen`, if given, replaces the file's.
///
/// # Errors
/// All faults. Those of keys are without their lines: [`locate`] adds them.
pub fn parse(text: &str, listen: Option<&str>) -> Result<StartupConfig, Vec<ConfigError>> {
    let source = parse_json(text).map_err(|error| vec![error])?;
    let root = Node::root(&source);
    let mut errors = ErrorCollector::default();
    let settings = read_settings(&root, &mut errors);
    let groups = read_groups(&settings);
    let listen = errors.keep(read_listen(&root, listen));
    let seed = errors.keep(read_seed(&root));
    let limits = ProcessLimits::read(&root, &mut errors);
    let connection_settings = limits::read_engine_settings(&root, limits, &groups, &mut errors);
    let max_deadline_ms = groups
        .iter()
        .filter_map(|group| group.deadline_ms)
        .reduce(f64::max);
    let admission = limits::read_admission(&settings, limits, &groups, max_deadline_ms);
    let peers = errors.keep(endpoints::read_peers(&root));
    let resolver = errors.keep(root.child("resolver").optional(Node::address));
    let directory = errors.keep(endpoints::read_known(&root.child("known")));
    let name = errors.keep(root.child("name").optional(Node::text));
    let name = name.flatten().unwrap_or("").to_owned();
    let errors = errors.into_errors();
    // What is required is there exactly if no error was kept.
    let (Some(listen), Some(seed), Some(directory), true) =
        (listen, seed, directory, errors.is_empty())
    else {
        return Err(errors);
    };
    Ok(StartupConfig {
        name,
        listen,
        seed,
        admission,
        max_statement_bytes: limits.max_statement_bytes(),
        max_sockets: limits.sockets,
        max_memory_bytes: limits.memory_bytes,
        connection_settings,
        engine_warm_up_ms: settings.millis(WARM_UP_SETTING).unwrap_or(0.0),
        shutdown_grace_ms: shutdown_grace_ms(max_deadline_ms),
        peers: peers.flatten(),
        resolver: resolver.flatten(),
        directory,
        settings,
        source,
    })
}

/// A JSON object.
fn parse_json(text: &str) -> Result<Value, ConfigError> {
    let value: Value = serde_json::from_str(text).map_err(|error| ConfigError {
        line: Some(error.line()),
        ..ConfigError::of_file(Problem::NotJson(error.to_string()))
    })?;
    if !value.is_object() {
        return Err(ConfigError::of_file(Problem::NotAnObject));
    }
    Ok(value)
}

/// The settings as a flat map; empty where they are missing.
fn read_settings(root: &Node, errors: &mut ErrorCollector) -> SettingsMap {
    let mut settings = SettingsMap::new();
    let Some(object) = errors.keep(root.child("settings").object()) else {
        return settings;
    };
    flatten::flatten("", &Value::Object(object.clone()), &mut settings);
    for name in REQUIRED_SETTINGS {
        if settings.required(name).is_err() {
            let key = format!("settings.{name}");
            let problem = match settings.get(name) {
                None => Problem::Missing {
                    expected: "a number".to_owned(),
                },
                Some(value) => Problem::Invalid {
                    found: format!("{value:?}"),
                    expected: "a number".to_owned(),
                },
            };
            errors.push(ConfigError::of_key(key, problem));
        }
    }
    settings
}

/// Where clients connect: the environment goes before the file.
fn read_listen(root: &Node, variable: Option<&str>) -> Result<SocketAddr, ConfigError> {
    let Some(address) = variable else {
        return root.child("listen").address();
    };
    address.parse().map_err(|_| {
        ConfigError::of_file(Problem::InvalidVariable {
            variable: LISTEN_VARIABLE,
            found: address.to_owned(),
            expected: "an address with a port",
        })
    })
}

fn read_seed(root: &Node) -> Result<u64, ConfigError> {
    let seed = root.child("seed");
    u64::from_str_radix(seed.text()?, 16).map_err(|_| seed.error("a number in hex"))
}

#[cfg(test)]
mod tests;
