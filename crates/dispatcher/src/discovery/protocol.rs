//! The DNS names and values with which the name service lists engines.

use tansymux::events::EndpointState;

/// The service name whose SRV records list the engines.
pub const SERVICE_NAME: &str = "_back._tcp.pool.lan";

/// SRV priority of an engine that accepts queries. Any other priority means that the engine is draining.
const READY_PRIORITY: u16 = 0;

/// An attribute of an engine in the strings of its TXT record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineAttribute {
    /// The name of the machine type.
    Kind,
    /// The number of the cell.
    Cell,
    /// The start time of the process (Unix ms).
    Started,
}

impl EngineAttribute {
    /// Returns the attribute's name in the TXT record.
    pub const fn as_str(self) -> &'static str {
        match self {
            EngineAttribute::Kind => "kind",
            EngineAttribute::Cell => "cell",
            EngineAttribute::Started => "started",
        }
    }

    /// Returns the attribute's value in `texts`, the strings `name=value` of a TXT record.
    pub fn find(self, texts: &[String]) -> Option<&str> {
        for text in texts {
            match text.split_once('=') {
                Some((name, value)) if name == self.as_str() => return Some(value),
                _ => {}
            }
        }
        None
    }
}

/// Returns the state of an engine from the priority of its SRV record.
pub fn endpoint_state(priority: u16) -> EndpointState {
    match priority {
        READY_PRIORITY => EndpointState::Ready,
        _ => EndpointState::Draining,
    }
}
