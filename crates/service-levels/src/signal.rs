//! The measured signals of triggers.

/// A measured signal: a fraction from 0 to 1.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Signal {
    /// Fraction of ready engines that are under pressure, in the pool (`None`) or in a zone.
    PressuredEngines(Option<String>),
    /// Fraction of the low lane's concurrency limits in use. The limits are those of full service, without the factor
    /// of the level in force.
    ConcurrencyUsed,
    /// Fraction of completed queries that exceeded their latency objective, of all classes (`None`) or of one.
    LateQueries(Option<String>),
    /// Fraction of queries that were rejected, of all classes (`None`) or of one.
    RejectedQueries(Option<String>),
    /// Fraction of engines in the endpoint list that are ready.
    ReadyEngines,
    /// Fraction of engines in the endpoint list that are warming up.
    WarmingUpEngines,
    /// Fraction of engines in the endpoint list that outlier detection has ejected.
    EjectedEngines,
    /// Fraction of this dispatcher's memory limit in use.
    Memory,
    /// Fraction of this dispatcher's file descriptor limit in use.
    Descriptors,
}

impl Signal {
    /// Returns the name of the signal on status pages and in logs.
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

    /// Returns whether a deeper level itself raises the signal. Such a signal alone must not keep a level in force.
    pub(crate) fn is_raised_by_levels(&self) -> bool {
        matches!(self, Signal::RejectedQueries(_))
    }
}
