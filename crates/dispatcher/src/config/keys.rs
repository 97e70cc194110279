//! The keys of the configuration file, as the platform names them.
//!
//! Keys below [`SETTINGS`] are in [`tansymux::settings::keys`].

/// The dispatcher's name.
pub const NAME: &str = "name";
/// Address for clients.
pub const LISTEN: &str = "listen";
/// Seed of all random draws, in hex.
pub const SEED: &str = "seed";
/// The settings of the decisions.
pub const SETTINGS: &str = "settings";
/// Address of the name service.
pub const RESOLVER: &str = "resolver";
/// Address on which this dispatcher receives messages of others.
pub const PEER_LISTEN: &str = "peer_listen";
/// Addresses of the other dispatchers, a list.
pub const PEERS: &str = "peers";
/// Address that reaches all other dispatchers at once.
pub const ALL_PEERS: &str = "peers_all";

/// The program's own limits.
pub const LIMITS: &str = "limits";
/// Below [`LIMITS`]: descriptors that the program may hold.
pub const MAX_SOCKETS: &str = "sockets";
/// Below [`LIMITS`]: memory (MB) that the program may use.
pub const MAX_MEMORY_MB: &str = "memory_mb";

/// The endpoint list at the start.
pub const ENDPOINT_LIST: &str = "known";
/// Below [`ENDPOINT_LIST`]: its serial number.
pub const SERIAL: &str = "cursor";
/// Below [`ENDPOINT_LIST`]: its updates, a list.
pub const UPDATES: &str = "cmds";
/// Below an update: the object with [`INSTANCES`].
pub const NODES: &str = "nodes";
/// Below [`NODES`]: the endpoints, a list; [`endpoint`] has the keys of each.
pub const INSTANCES: &str = "instances";

/// Keys of one endpoint.
pub mod endpoint {
    /// The engine's id.
    pub const ID: &str = "instanceId";
    /// Its address with a port.
    pub const ADDRESS: &str = "hostPort";
    /// Its kind.
    pub const KIND: &str = "machineType";
    /// Its zone.
    pub const ZONE: &str = "zone";
    /// Its cell.
    pub const CELL: &str = "cell";
    /// Its state; [`endpoint_state`](super::endpoint_state) has the values.
    pub const STATE: &str = "lifecycle";
    /// Its start (ms, Unix time); 0 where it is not known.
    pub const STARTED_MS: &str = "startedAtMs";
}

/// Values of [`endpoint::STATE`].
pub mod endpoint_state {
    /// Takes queries.
    pub const READY: &str = "Ready";
    /// Takes no new queries.
    pub const DRAINING: &str = "Terminating";
    /// Not on the list any more.
    pub const GONE: &str = "Gone";
    /// The allowed values, for error texts.
    pub const EXPECTED: &str = "Ready, Terminating or Gone";
}
