//! The keys of the configuration file. The platform defines their names.
//!
//! Keys below [`SETTINGS`] are in [`tansymux::settings::keys`].

/// The dispatcher's name.
pub const NAME: &str = "name";
/// Address that accepts clients' connections.
pub const LISTEN: &str = "listen";
/// Seed of all random numbers, in hex.
pub const SEED: &str = "seed";
/// The settings of the admission controller.
pub const SETTINGS: &str = "settings";
/// Address of the name service.
pub const RESOLVER: &str = "resolver";
/// Address on which this dispatcher receives messages from other dispatchers.
pub const PEER_LISTEN: &str = "peer_listen";
/// List of the addresses of all dispatchers, including this dispatcher's, by dispatcher number.
pub const PEERS: &str = "peers";
/// Broadcast address of all other dispatchers.
pub const ALL_PEERS: &str = "peers_all";

/// Resource limits of the program.
pub const LIMITS: &str = "limits";
/// Below [`LIMITS`]: maximum number of open descriptors.
pub const MAX_SOCKETS: &str = "sockets";
/// Below [`LIMITS`]: maximum memory (MB) of the program.
pub const MAX_MEMORY_MB: &str = "memory_mb";

/// The endpoint list at the start.
pub const ENDPOINT_LIST: &str = "known";
/// Below [`ENDPOINT_LIST`]: its serial number.
pub const SERIAL: &str = "cursor";
/// Below [`ENDPOINT_LIST`]: the list of its updates.
pub const UPDATES: &str = "cmds";
/// Below an update: the object with [`INSTANCES`].
pub const NODES: &str = "nodes";
/// Below [`NODES`]: the list of endpoints; [`endpoint`] has the keys of an endpoint.
pub const INSTANCES: &str = "instances";

/// Keys of one endpoint.
pub mod endpoint {
    /// The engine's id.
    pub const ID: &str = "instanceId";
    /// The engine's address with a port.
    pub const ADDRESS: &str = "hostPort";
    /// The engine's kind.
    pub const KIND: &str = "machineType";
    /// The engine's zone.
    pub const ZONE: &str = "zone";
    /// The engine's cell.
    pub const CELL: &str = "cell";
    /// The engine's state; [`endpoint_state`](super::endpoint_state) has the values.
    pub const STATE: &str = "lifecycle";
    /// The engine's start time (Unix ms); 0 if unknown.
    pub const STARTED_MS: &str = "startedAtMs";
}

/// Values of [`endpoint::STATE`].
pub mod endpoint_state {
    /// Accepts queries.
    pub const READY: &str = "Ready";
    /// Accepts no new queries.
    pub const DRAINING: &str = "Terminating";
    /// Removed from the list.
    pub const GONE: &str = "Gone";
    /// The allowed values, for error texts.
    pub const EXPECTED: &str = "Ready, Terminating or Gone";
}
