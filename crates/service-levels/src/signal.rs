//! The measured signals that levels are entered and left by.

/// A measured signal. All are fractions from 0 to 1.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Signal {
    /// Ready engines that show pressure, in the pool or in a zone.
    PressuredEngines(Option<String>),
    /// The low lane's concurrency limits in use, as they are at full service.
    ConcurrencyUsed,
    /// Completed queries that exceeded their latency objective, of all or of a class.
    LateQueries(Option<String>),
    /// Queries that were rejected, of all or of a class.
    RejectedQueries(Option<String>),
    /// Listed engines that are ready.
    ReadyEngines,
    /// Listed engines that are warming up.
    WarmingUpEngines,
    /// Listed engines that outlier detection has ejected.
    EjectedEngines,
    /// This dispatcher's memory limit in use.
    Memory,
    /// This dispatcher's limit of file descriptors in use.
    Descriptors,
}

impl Signal {
    /// The name that status page and logs show.
    pub fn name(&self) -> String {
        let (name, scope) = match self {
            Signal::PressuredEngines(zone) => ("pressed", zone.as_ref()),
            Signal::ConcurrencyUsed => ("bounds-used", None),
            Signal::LateQueries(class) => ("late", class.as_ref()),
            Signal::RejectedQueries(class) => ("deferred", class.as_ref()),
            Signal::ReadyEngines => ("ready", None),
            Signal::WarmingUpEngines => ("cold", None),
            Signal::EjectedEngines => ("doubted", None),
            Signal::Memory => ("memory", None),
            Signal::Descriptors => ("descriptors", None),
        };
        match scope {
            Some(scope) => format!("{name}({scope})"),
            None => name.to_owned(),
        }
    }

    /// Whether a deeper level raises the signal itself: such a signal alone must not keep a level in force.
    pub(crate) fn is_raised_by_levels(&self) -> bool {
        matches!(self, Signal::RejectedQueries(_))
    }
}
