//! The holder's side of a restart lease: requests the lease until it is granted, refused or the wait times out.

use crate::fleet_client::{ClientAction, FleetClient};
use crate::message::{Answer, Command};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use tansymux_coordination::Id;
use tansymux_membership::Keys;

/// Mean interval between two requests (ms); the jitter adds or subtracts up to half of it.
const REQUEST_INTERVAL_MS: f64 = 700.0;

/// A request for a restart lease.
#[derive(Debug, Clone)]
pub struct LeaseRequest {
    /// Keys that authenticate the datagrams.
    pub keys: Keys,
    /// The dispatcher; 0: the member that is called.
    pub dispatcher: Id,
    /// The version after the restart; 0: the current version.
    pub to: u32,
    /// Limit on the difference in rate between two clocks, as a fraction.
    pub max_clock_skew: f64,
    /// Limit on the wait for the lease (ms).
    pub max_wait_ms: f64,
}

/// The outcome of the wait for a lease.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LeaseOutcome {
    /// The dispatcher may restart, and must rejoin before the lease ends.
    Granted {
        /// When the lease ends for its holder (ms).
        until_ms: f64,
    },
    /// The request was refused for a reason that waiting does not remove, such as a halt or an unknown release.
    Refused(Answer),
    /// The wait timed out. Contains the last answer.
    TimedOut(Answer),
}

/// The wait for a lease. If it ends without a grant, it returns the lease: the answer that granted it may have been
/// lost.
#[derive(Debug, Clone)]
pub struct RestartLease {
    request: LeaseRequest,
    grant_id: u64,
    give_up_ms: f64,
    /// When the current request was first sent (ms).
    requested_ms: f64,
    next_request_ms: f64,
    client: Option<FleetClient>,
    last_answer: Answer,
    outcome: Option<LeaseOutcome>,
    /// The call that returns the lease.
    return_call: Option<FleetClient>,
    rng: Pcg32,
}

impl RestartLease {
    /// Starts the wait. `seed` must be drawn at random for each lease.
    pub fn new(request: LeaseRequest, now_ms: f64, seed: u64) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed);
        RestartLease {
            grant_id: rng.random(),
            give_up_ms: now_ms + request.max_wait_ms,
            request,
            requested_ms: now_ms,
            next_request_ms: now_ms,
            client: None,
            last_answer: Answer::NoLeader,
            outcome: None,
            return_call: None,
            rng,
        }
    }

    /// Identifier of the lease, to be passed to the restarted dispatcher.
    pub fn grant_id(&self) -> u64 {
        self.grant_id
    }

    /// The last answer.
    pub fn last_answer(&self) -> Answer {
        self.last_answer
    }

    /// The outcome of the wait; `None` during the wait and while the lease is being returned.
    pub fn outcome(&self) -> Option<LeaseOutcome> {
        let is_returned = self
            .return_call
            .as_ref()
            .is_none_or(|client| client.answer().is_some());
        self.outcome.filter(|_| is_returned)
    }

    /// Handles a datagram of the called member.
    pub fn handle(&mut self, datagram: &[u8], now_ms: f64) {
        if let Some(return_call) = &mut self.return_call {
            return_call.handle(datagram);
            return;
        }
        let Some(client) = &mut self.client else {
            return;
        };
        client.handle(datagram);
        self.take_answer(now_ms);
    }

    fn take_answer(&mut self, now_ms: f64) {
        let Some(answer) = self.client.as_ref().and_then(FleetClient::answer) else {
            return;
        };
        self.client = None;
        self.last_answer = answer;
        let jitter_factor = 0.5 + self.rng.random::<f64>();
        self.next_request_ms = self.requested_ms.max(now_ms - REQUEST_INTERVAL_MS)
            + REQUEST_INTERVAL_MS * jitter_factor;
        match answer {
            Answer::Granted { remaining_ms } => {
                // The holder counts the term from its request and reduces it by the clock skew, so that the lease ends
                // for the holder before it ends for the leader.
                let term_ms = f64::from(remaining_ms) * (1.0 - self.request.max_clock_skew);
                let until_ms = self.requested_ms + term_ms;
                if now_ms < until_ms {
                    self.outcome = Some(LeaseOutcome::Granted { until_ms });
                }
            }
            Answer::Halted { .. } | Answer::NoSuchRelease | Answer::Already => {
                self.end_without_grant(LeaseOutcome::Refused(answer), now_ms);
            }
            // The fleet may not yet know a dispatcher that has just started, so an earlier such answer is not final.
            Answer::UnknownUnit if now_ms >= self.give_up_ms => {
                self.end_without_grant(LeaseOutcome::Refused(answer), now_ms);
            }
            _ => {}
        }
    }

    /// Ends the wait without a grant and returns the lease.
    fn end_without_grant(&mut self, outcome: LeaseOutcome, now_ms: f64) {
        self.outcome = Some(outcome);
        let command = Command::ReturnLease {
            id: self.request.dispatcher,
            grant_id: self.grant_id,
        };
        self.return_call = Some(self.call(command, now_ms));
    }

    fn call(&mut self, command: Command, now_ms: f64) -> FleetClient {
        let keys = self.request.keys.clone();
        FleetClient::new(keys, command, now_ms, self.rng.random())
    }

    /// Returns the next action; `None`: nothing is due before [`RestartLease::next_poll_ms`].
    pub fn poll(&mut self, now_ms: f64) -> Option<ClientAction> {
        if let Some(return_call) = &mut self.return_call {
            return return_call.poll(now_ms);
        }
        if self.outcome.is_some() {
            return None;
        }
        if now_ms >= self.give_up_ms {
            self.client = None;
            self.end_without_grant(LeaseOutcome::TimedOut(self.last_answer), now_ms);
            return self.poll(now_ms);
        }
        if let Some(client) = &mut self.client {
            let action = client.poll(now_ms);
            if client.answer().is_some() {
                self.take_answer(now_ms);
            }
            return action;
        }
        if now_ms < self.next_request_ms {
            return None;
        }
        self.requested_ms = now_ms;
        let command = Command::RequestLease {
            id: self.request.dispatcher,
            to: self.request.to,
            grant_id: self.grant_id,
        };
        let mut client = self.call(command, now_ms);
        let action = client.poll(now_ms);
        self.client = Some(client);
        action
    }

    /// When to poll next (ms).
    pub fn next_poll_ms(&self) -> f64 {
        if let Some(return_call) = &self.return_call {
            return return_call.next_poll_ms();
        }
        if self.outcome.is_some() {
            return f64::INFINITY;
        }
        let next_ms = match &self.client {
            Some(client) => client.next_poll_ms(),
            None => self.next_request_ms,
        };
        next_ms.min(self.give_up_ms)
    }
}
