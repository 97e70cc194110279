//! Events and their queue, which is ordered by time. Events with the same time keep the order in which they were
//! scheduled.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use tansymux::events::Outcome;

/// Whether a fault begins or ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FaultEdge {
    Begin,
    End,
}

/// An event at a time of the simulation.
#[derive(Debug, Clone, Copy)]
pub(super) enum Event {
    /// A client's query arrives at a dispatcher, and the next arrival of its class is scheduled.
    QueryArrival {
        class: usize,
    },
    /// A timer set by a dispatcher's admission controller is due.
    DispatcherTimer {
        dispatcher: usize,
    },
    /// An attempt reaches its engine.
    AttemptArrival {
        attempt: u64,
    },
    /// The end of an attempt reaches its dispatcher.
    AttemptEnd {
        attempt: u64,
        outcome: Outcome,
    },
    /// The deadline of an attempt passes.
    AttemptDeadline {
        attempt: u64,
    },
    /// An engine reports the progress of an attempt.
    ProgressNote {
        attempt: u64,
    },
    /// The next job on an engine completes. Stale if the engine has changed since the event was scheduled.
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
    /// A dispatcher receives the endpoint list.
    EndpointUpdate {
        dispatcher: usize,
    },
    /// All dispatchers evaluate the health of zones.
    ZoneCheck,
    Sample,
}

struct Scheduled {
    at_ms: f64,
    sequence: u64,
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
            .then(other.sequence.cmp(&self.sequence))
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
    /// Schedules an event. Events with the same time are returned in the order in which they were scheduled.
    pub fn push(&mut self, at_ms: f64, event: Event) {
        self.scheduled_count += 1;
        self.heap.push(Scheduled {
            at_ms,
            sequence: self.scheduled_count,
            event,
        });
    }

    /// Removes and returns the next event with its time.
    pub fn pop(&mut self) -> Option<(f64, Event)> {
        self.heap
            .pop()
            .map(|scheduled| (scheduled.at_ms, scheduled.event))
    }
}
