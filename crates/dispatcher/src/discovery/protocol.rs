//! The names and words under which the name service lists engines.

use tansymux::events::EndpointState;

/// The service name whose SRV records list the engines.
pub const SERVICE_NAME: &str = "_back._tcp.pool.lan";

/// The priority of the SRV record of an engine that takes queries; any other one is that of a draining engine.
const READY_PRIORITY: u16 = 0;

/// An attribute of an engine in the strings of its TXT record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineAttribute {
    /// The machine type, by name.
    Kind,
    /// The number of the cell.
    Cell,
    /// The start of the process (Unix time, ms).
    Started,
}

impl EngineAttribute {
    /// The attribute's name.
    pub const fn as_str(self) -> &'static str {
        match self {
            EngineAttribute::Kind => "kind",
            EngineAttribute::Cell => "cell",
            EngineAttribute::Started => "started",
        }
    }

    /// The attribute's value among strings `name=value`.
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

/// The state of an engine by the priority of its SRV record.
pub fn endpoint_state(priority: u16) -> EndpointState {
    match priority {
        READY_PRIORITY => EndpointState::Ready,
        _ => EndpointState::Draining,
    }
}
