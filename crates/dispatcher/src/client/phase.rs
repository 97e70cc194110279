//! Phases of the client side, from the program's start to its exit.

/// The phases, in the order in which they are entered.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum FrontendPhase {
    /// Sockets are bound; the health page answers 503.
    #[default]
    Starting,
    /// Queries are served.
    Serving,
    /// The program is shutting down: the health page answers 503, and requests are still served.
    Draining,
    /// Only connections in the backlog are still accepted. Each connection closes once no answer is owed on it.
    Closing,
    /// The listener is closed.
    ListenerClosed,
}

impl FrontendPhase {
    /// Whether the health page answers 200, which means that this dispatcher accepts queries.
    pub fn is_healthy(self) -> bool {
        self == FrontendPhase::Serving
    }

    /// Whether connections close once no answer is owed on them.
    pub fn is_closing(self) -> bool {
        matches!(self, FrontendPhase::Closing | FrontendPhase::ListenerClosed)
    }
}
