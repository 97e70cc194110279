//! The queue of actions behind a `poll` function.

use std::collections::VecDeque;

/// Actions queued for the caller of a `poll` function.
///
/// A caller polls until it gets `None`. Timers run once at the start of each such series of calls:
///
/// ```
/// # use tansymux_coordination::Outbox;
/// struct Node {
///     outbox: Outbox<&'static str>,
/// }
///
/// impl Node {
///     fn poll(&mut self) -> Option<&'static str> {
///         if self.outbox.begin_poll() {
///             self.run_timers();
///         }
///         self.outbox.pop()
///     }
///
///     fn run_timers(&mut self) {
///         self.outbox.push("heartbeat");
///     }
/// }
///
/// let mut node = Node { outbox: Outbox::default() };
/// assert_eq!((node.poll(), node.poll()), (Some("heartbeat"), None));
/// ```
#[derive(Debug, Clone)]
pub struct Outbox<Action> {
    actions: VecDeque<Action>,
    /// Whether the timers have run in the current series of polls.
    timers_ran: bool,
}

impl<Action> Default for Outbox<Action> {
    fn default() -> Self {
        Outbox {
            actions: VecDeque::new(),
            timers_ran: false,
        }
    }
}

impl<Action> Outbox<Action> {
    /// Appends an action.
    pub fn push(&mut self, action: Action) {
        self.actions.push_back(action);
    }

    /// Registers a poll. Returns true if it is the first in a series, so that the caller has to run the timers.
    pub fn begin_poll(&mut self) -> bool {
        !std::mem::replace(&mut self.timers_ran, true)
    }

    /// The next action; `None` ends the series of polls.
    pub fn pop(&mut self) -> Option<Action> {
        let action = self.actions.pop_front();
        self.timers_ran = action.is_some();
        action
    }
}
