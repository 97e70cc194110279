//! Events and their queue: by time, and for those of one time in the order in which they were scheduled.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use tansymux::events::Outcome;

/// Whether a fault begins or ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FaultEdge {
    Begin,
    End,
}

/// Something that happens at a time of the simulation.
#[derive(Debug, Clone, Copy)]
pub(super) enum Event {
    /// A client's query arrives at a dispatcher, and the next arrival of its class is scheduled.
    QueryArrival {
        class: usize,
    },
    /// The time of a round that a dispatcher's decisions requested.
    DispatcherTimer {
        dispatcher: usize,
    },
    /// An attempt reaches its engine.
    AttemptArrival {
        attempt: u64,
    },
    /// An attempt's end reaches its dispatcher.
    AttemptEnd {
        attempt: u64,
        outcome: Outcome,
    },
    /// An attempt's deadline has passed.
    AttemptDeadline {
        attempt: u64,
    },
    /// An engine reports an attempt's progress.
    ProgressNote {
        attempt: u64,
    },
    /// An engine's next job ends, unless the engine has changed since this was scheduled.
    EngineCompletion {
        engine: usize,
        generation: u64,
    },
    /// A health check ends.
    HealthCheckEnd {
        dispatcher: usize,
        engine: usize,
        outcome: Outcome,
    },
    /// A fault begins or ends.
    Fault {
        fault: usize,
        edge: FaultEdge,
    },
    /// A dispatcher gets the endpoint list.
    EndpointUpdate {
        dispatcher: usize,
    },
    /// All dispatchers evaluate the zones' health.
    ZoneCheck,
    Sample,
}

struct Scheduled {
    at_ms: f64,
    number: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Scheduled {}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> Ordering {
        // Reversed, because the heap returns the greatest element first.
        other
            .at_ms
            .total_cmp(&self.at_ms)
            .then(other.number.cmp(&self.number))
    }
}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

#[derive(Default)]
pub(super) struct EventQueue {
    heap: BinaryHeap<Scheduled>,
    scheduled_count: u64,
}

impl EventQueue {
    /// Schedules an event. Events of the same time are taken in the order in which they were scheduled.
    pub fn push(&mut self, at_ms: f64, event: Event) {
        self.scheduled_count += 1;
        self.heap.push(Scheduled {
            at_ms,
            number: self.scheduled_count,
            event,
        });
    }

    /// The next event and its time.
    pub fn pop(&mut self) -> Option<(f64, Event)> {
        self.heap
            .pop()
            .map(|scheduled| (scheduled.at_ms, scheduled.event))
    }
}
