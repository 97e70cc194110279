//! The endpoint list that a configuration brings along (`known`), and where peers are (`peer_listen`, `peers`,
//! `peers_all`).

use super::error::ConfigError;
use super::node::Node;
use crate::discovery::EndpointDirectory;
use crate::query_registry::EndpointEntry;
use std::net::SocketAddr;
use tansymux::events::EndpointState;

/// Where the messages between dispatchers go.
#[derive(Debug, PartialEq)]
pub struct PeerAddresses {
    /// Where this dispatcher receives them.
    pub listen: SocketAddr,
    /// The other dispatchers.
    pub each: Vec<SocketAddr>,
    /// An address that reaches all others at once.
    pub all: Option<SocketAddr>,
}

/// None where the configuration has no `peer_listen`.
pub(super) fn read_peers(root: &Node) -> Result<Option<PeerAddresses>, ConfigError> {
    root.child("peer_listen").optional(|node| {
        let listen = node.address()?;
        let mut each = Vec::new();
        for peer in root
            .child("peers")
            .optional(Node::items)?
            .unwrap_or_default()
        {
            each.push(peer.address()?);
        }
        let all = root.child("peers_all").optional(Node::address)?;
        Ok(PeerAddresses { listen, each, all })
    })
}

/// The endpoint list at the start: its first event holds all endpoints, later ones what changed.
pub(super) fn read_known(known: &Node) -> Result<EndpointDirectory, ConfigError> {
    let mut directory = EndpointDirectory::default();
    if known.is_missing() {
        return Ok(directory);
    }
    directory.set_serial(known.child("cursor").number_or(0.0, 0.0)? as u32);
    for event in known.child("cmds").items()? {
        for instance in event.child("nodes").child("instances").items()? {
            let entry = read_endpoint(&instance, &mut directory)?;
            directory.upsert_endpoint(entry);
        }
    }
    Ok(directory)
}

fn read_endpoint(
    instance: &Node,
    directory: &mut EndpointDirectory,
) -> Result<EndpointEntry, ConfigError> {
    let status = read_state(&instance.child("lifecycle"))?;
    let engine_id = directory.engine_id(instance.child("instanceId").text()?);
    let started_ms = instance.child("startedAtMs");
    Ok(EndpointEntry {
        engine_id,
        address: instance.child("hostPort").optional(Node::address)?,
        kind: optional_text(&instance.child("machineType"))?,
        zone: optional_text(&instance.child("zone"))?,
        cell: instance.child("cell").number_or(0.0, 0.0)? as u32,
        state: status,
        // 0 stands for unknown.
        started_ms: Some(started_ms.number_or(0.0, 0.0)?).filter(|ms| *ms > 0.0),
    })
}

fn read_state(lifecycle: &Node) -> Result<EndpointState, ConfigError> {
    match lifecycle.text()? {
        "Ready" => Ok(EndpointState::Ready),
        "Terminating" => Ok(EndpointState::Draining),
        "Gone" => Ok(EndpointState::Gone),
        _ => Err(lifecycle.error("Ready, Terminating or Gone")),
    }
}

/// A text, empty where nothing is there.
fn optional_text(node: &Node) -> Result<String, ConfigError> {
    let text = node.optional(Node::text)?;
    Ok(text.unwrap_or("").to_owned())
}
