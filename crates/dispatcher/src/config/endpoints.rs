//! The endpoint list at the start (`known` in the configuration), and the addresses of peers (`peer_listen`, `peers`,
//! `peers_all`).

use super::error::ConfigError;
use super::keys::{self, endpoint, endpoint_state};
use super::node::Node;
use crate::discovery::EndpointDirectory;
use crate::query_registry::EndpointEntry;
use std::net::SocketAddr;
use tansymux::events::EndpointState;

/// Addresses for the messages between dispatchers.
#[derive(Debug, PartialEq)]
pub struct PeerAddresses {
    /// The address on which this dispatcher receives messages.
    pub listen: SocketAddr,
    /// Addresses of all dispatchers, including this dispatcher's, by dispatcher number.
    pub peers: Vec<SocketAddr>,
    /// Broadcast address of all other dispatchers.
    pub broadcast: Option<SocketAddr>,
}

/// The addresses of peers; `None` if the configuration has no `peer_listen`.
pub(super) fn read_peers(root: &Node) -> Result<Option<PeerAddresses>, ConfigError> {
    root.child(keys::PEER_LISTEN).optional(|node| {
        let listen = node.address()?;
        let items = root.child(keys::PEERS).optional(Node::items)?;
        let mut peers = Vec::new();
        for item in items.unwrap_or_default() {
            peers.push(item.address()?);
        }
        let broadcast = root.child(keys::ALL_PEERS).optional(Node::address)?;
        Ok(PeerAddresses {
            listen,
            peers,
            broadcast,
        })
    })
}

/// The endpoint list at the start. Its first update has all endpoints, each later update the changed endpoints.
pub(super) fn read_endpoint_list(endpoint_list: &Node) -> Result<EndpointDirectory, ConfigError> {
    let mut directory = EndpointDirectory::default();
    if endpoint_list.is_missing() {
        return Ok(directory);
    }
    directory.set_serial(endpoint_list.child(keys::SERIAL).number_or(0.0, 0.0)? as u32);
    for update in endpoint_list.child(keys::UPDATES).items()? {
        let instances = update.child(keys::NODES).child(keys::INSTANCES);
        for instance in instances.items()? {
            let entry = read_endpoint(&instance, &mut directory)?;
            directory.upsert_endpoint(entry);
        }
    }
    Ok(directory)
}

/// One endpoint. `directory` assigns a number to each new engine id.
fn read_endpoint(
    instance: &Node,
    directory: &mut EndpointDirectory,
) -> Result<EndpointEntry, ConfigError> {
    let state = read_state(&instance.child(endpoint::STATE))?;
    let engine_id = directory.engine_id(instance.child(endpoint::ID).text()?);
    let started_ms = instance.child(endpoint::STARTED_MS).number_or(0.0, 0.0)?;
    Ok(EndpointEntry {
        engine_id,
        address: instance.child(endpoint::ADDRESS).optional(Node::address)?,
        kind: optional_text(&instance.child(endpoint::KIND))?,
        zone: optional_text(&instance.child(endpoint::ZONE))?,
        cell: instance.child(endpoint::CELL).number_or(0.0, 0.0)? as u32,
        state,
        // A start time of 0 means unknown.
        started_ms: Some(started_ms).filter(|ms| *ms > 0.0),
    })
}

fn read_state(state: &Node) -> Result<EndpointState, ConfigError> {
    match state.text()? {
        endpoint_state::READY => Ok(EndpointState::Ready),
        endpoint_state::DRAINING => Ok(EndpointState::Draining),
        endpoint_state::GONE => Ok(EndpointState::Gone),
        _ => Err(state.error(endpoint_state::EXPECTED)),
    }
}

/// A string; empty if the key is missing.
fn optional_text(node: &Node) -> Result<String, ConfigError> {
    let text = node.optional(Node::text)?;
    Ok(text.unwrap_or("").to_owned())
}
