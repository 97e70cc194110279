//! The startup configuration: reads and checks the JSON file that `RELAY_CONFIG` names, and fills in defaults.
//!
//! This module does not apply the configuration. It reports all errors of a file together, each with its key and line
//! ([`ConfigError`]). Start reading at [`parse`].
//!
//! | file | concern |
//! | --- | --- |
//! | `keys` | the keys of the file; those below `settings` are in [`tansymux::settings::keys`] |
//! | `node` | typed reading of JSON values that know their path |
//! | `flatten`, `groups` | `settings` as a flat map; its resource groups and tenants |
//! | `limits` | descriptors, memory, and the limits of the client side and the engine side |
//! | `endpoints` | the endpoint list at the start, and the addresses of peers |
//! | `error`, `source_lines` | errors with key and line |

mod endpoints;
mod error;
mod flatten;
mod groups;
mod keys;
mod limits;
mod node;
mod source_lines;

pub use endpoints::PeerAddresses;
pub use error::{with_line_numbers, ConfigError, StartupConfigError};
pub use groups::{read_groups, ConfiguredGroup};

use crate::client::AdmissionLimits;
use crate::discovery::EndpointDirectory;
use crate::engine::ConnectionSettings;
use crate::file::read_text;
use crate::lifecycle::shutdown_grace_ms;
use crate::query_registry::QueryMemoryLimits;
use error::Problem;
use limits::ProcessLimits;
use node::{ErrorCollector, Node};
use serde_json::Value;
use std::net::SocketAddr;
use tansymux::settings::{self, keys as settings_keys, RawSettings, SettingsMap};

/// Environment variable with the path of the configuration file.
const CONFIG_VARIABLE: &str = "RELAY_CONFIG";
/// Environment variable that overrides the file's `listen`.
const LISTEN_VARIABLE: &str = "RELAY_LISTEN";
/// Maximum size (bytes) of a configuration file. An endpoint list of 1,024 engines takes under 1 MB.
pub const MAX_CONFIG_BYTES: u64 = 8 << 20;

/// Keys that are only used at startup and ignored at a reload: the endpoint list and the seed.
const STARTUP_ONLY_KEYS: [&str; 2] = [keys::ENDPOINT_LIST, keys::SEED];
/// Keys that take effect at a reload.
const RELOADABLE_KEYS: [&str; 1] = [keys::RESOLVER];

/// A valid configuration.
#[derive(Debug)]
pub struct StartupConfig {
    /// The dispatcher's name in the log; may be empty.
    pub name: String,
    /// Address that accepts clients' connections.
    pub listen: SocketAddr,
    /// Seed of all random numbers of this run.
    pub seed: u64,
    /// Limits on what the client side accepts.
    pub admission: AdmissionLimits,
    /// Limits on the memory of queries.
    pub query_memory: QueryMemoryLimits,
    /// Maximum number of open descriptors.
    pub max_descriptors: f64,
    /// Maximum memory of the program.
    pub max_memory_bytes: f64,
    /// Settings of connections to engines.
    pub connection_settings: ConnectionSettings,
    /// Time (ms) for which an engine is warming up after its start; 0 by default.
    pub engine_warm_up_ms: f64,
    /// Time (ms) after SIGTERM by which every query is answered.
    pub shutdown_grace_ms: f64,
    /// Addresses for messages between dispatchers; `None` if dispatchers exchange no messages.
    pub peers: Option<PeerAddresses>,
    /// Address of the name service. Without a name service the endpoint list never changes.
    pub resolver: Option<SocketAddr>,
    /// The endpoint list at the start.
    pub directory: EndpointDirectory,
    /// The settings as a flat map, the input of the admission controller.
    pub settings: SettingsMap,
    /// The JSON of the file; a reload compares it with the new file's JSON.
    pub source: Value,
}

/// The top-level keys that differ between two configurations and need a restart, sorted.
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

/// Reads the configuration file that `RELAY_CONFIG` names.
///
/// # Errors
/// `RELAY_CONFIG` is not set, the file cannot be read, or the file is invalid; the last has all errors with their
/// lines.
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
        errors: with_line_numbers(errors, &text),
    })
}

/// Parses and checks a configuration. `listen`, if given, overrides the file's `listen`.
///
/// # Errors
/// All errors of the text. Errors of keys have no line yet; [`with_line_numbers`] adds it.
pub fn parse(text: &str, listen: Option<&str>) -> Result<StartupConfig, Vec<ConfigError>> {
    let source = parse_json(text).map_err(|error| vec![error])?;
    let root = Node::root(&source);
    let mut errors = ErrorCollector::default();
    let settings = read_settings(&root, &mut errors);
    let groups = read_groups(&settings);
    let listen = errors.ok_or_collect(read_listen(&root, listen));
    let seed = errors.ok_or_collect(read_seed(&root));
    let limits = ProcessLimits::read(&root, &mut errors);
    let connection_settings = limits::read_engine_settings(&root, limits, &groups, &mut errors);
    let max_deadline_ms = groups::max_deadline_ms(&groups);
    let admission = limits::read_admission(&settings, limits, &groups, max_deadline_ms);
    let peers = errors.ok_or_collect(endpoints::read_peers(&root));
    let resolver = errors.ok_or_collect(root.child(keys::RESOLVER).optional(Node::address));
    let directory = errors.ok_or_collect(endpoints::read_endpoint_list(
        &root.child(keys::ENDPOINT_LIST),
    ));
    let name = errors.ok_or_collect(read_name(&root));
    let errors = errors.into_errors();
    // A required value is `None` only if its error was collected.
    let (Some(listen), Some(seed), Some(directory), true) =
        (listen, seed, directory, errors.is_empty())
    else {
        return Err(errors);
    };
    Ok(StartupConfig {
        name: name.unwrap_or_default(),
        listen,
        seed,
        admission,
        query_memory: limits.query_memory(),
        max_descriptors: limits.sockets,
        max_memory_bytes: limits.memory_bytes,
        connection_settings,
        engine_warm_up_ms: settings.millis(settings_keys::WARM_AFTER_US).unwrap_or(0.0),
        shutdown_grace_ms: shutdown_grace_ms(max_deadline_ms),
        peers: peers.flatten(),
        resolver: resolver.flatten(),
        directory,
        settings,
        source,
    })
}

/// Parses a text whose root must be a JSON object.
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

/// The settings as a flat map; empty if they are missing.
fn read_settings(root: &Node, errors: &mut ErrorCollector) -> SettingsMap {
    let mut settings = SettingsMap::new();
    let Some(object) = errors.ok_or_collect(root.child(keys::SETTINGS).object()) else {
        return settings;
    };
    flatten::flatten("", &Value::Object(object.clone()), &mut settings);
    for name in required_settings() {
        if settings.required(&name).is_err() {
            errors.push(required_number_error(&name, settings.get(&name)));
        }
    }
    settings
}

/// Settings that the admission controller requires: the number of dispatchers and the number of resource groups.
fn required_settings() -> [String; 2] {
    [
        settings_keys::DISPATCHERS.to_owned(),
        settings::list_count(settings_keys::GROUPS),
    ]
}

/// The error for a required setting that is missing or not a number.
fn required_number_error(name: &str, found: Option<&String>) -> ConfigError {
    let expected = "a number".to_owned();
    let problem = match found {
        None => Problem::Missing { expected },
        Some(value) => Problem::Invalid {
            found: format!("{value:?}"),
            expected,
        },
    };
    ConfigError::of_key(format!("{}.{name}", keys::SETTINGS), problem)
}

/// The dispatcher's name; empty if the file has none.
fn read_name(root: &Node) -> Result<String, ConfigError> {
    let name = root.child(keys::NAME).optional(Node::text)?;
    Ok(name.unwrap_or("").to_owned())
}

/// The address for clients. `variable`, the environment variable's value, overrides the file.
fn read_listen(root: &Node, variable: Option<&str>) -> Result<SocketAddr, ConfigError> {
    let Some(address) = variable else {
        return root.child(keys::LISTEN).address();
    };
    address.parse().map_err(|_| {
        ConfigError::of_file(Problem::InvalidVariable {
            variable: LISTEN_VARIABLE,
            found: address.to_owned(),
            expected: "an address with a port",
        })
    })
}

/// The seed, a hexadecimal string in the file.
fn read_seed(root: &Node) -> Result<u64, ConfigError> {
    let seed = root.child(keys::SEED);
    u64::from_str_radix(seed.text()?, 16).map_err(|_| seed.error("a number in hex"))
}

#[cfg(test)]
mod tests;
