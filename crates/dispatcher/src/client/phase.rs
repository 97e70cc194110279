//! How far the client side is on its way from the program's start to its end.

/// The phases, in the order that they are entered.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum FrontendPhase {
    /// Sockets are bound, and the health page does not invite queries yet.
    #[default]
    Starting,
    /// Queries are served.
    Serving,
    /// The program ends: the health page answers 503, and what still comes is served.
    Draining,
    /// Connections are no longer waited for. Those that wait in the backlog are the last, and each ends once no answer
    /// is owed on it.
    LastCall,
    /// The listener is closed.
    ListenerClosed,
}

impl FrontendPhase {
    /// Whether the health page answers 200: this dispatcher takes queries.
    pub fn is_healthy(self) -> bool {
        self == FrontendPhase::Serving
    }

    /// Whether connections end once no answer is owed on them.
    pub fn is_last_call(self) -> bool {
        matches!(
            self,
            FrontendPhase::LastCall | FrontendPhase::ListenerClosed
        )
    }
}
