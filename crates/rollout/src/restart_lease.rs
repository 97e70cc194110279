//! The client's side of a restart lease: it asks until it holds one, all is halted, or it has waited for long enough.

use crate::fleet_client::{ClientAction, FleetClient};
use crate::message::{Answer, Command};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use tansymux_coordination::Id;
use tansymux_membership::Keys;

/// Interval between two requests (ms), spread by half.
const REQUEST_INTERVAL_MS: f64 = 700.0;

/// Which lease is asked for.
#[derive(Debug, Clone)]
pub struct LeaseRequest {
    /// Keys of the fleet.
    pub keys: Keys,
    /// The dispatcher; 0: the member that is called.
    pub dispatcher: Id,
    /// The version that it comes back with; 0: the present one.
    pub to: u32,
    /// How far clocks may run apart, as a fraction.
    pub max_clock_skew: f64,
    /// How long to wait for the lease at most (ms).
    pub max_wait_ms: f64,
}

/// How the wait for a lease ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LeaseOutcome {
    /// The dispatcher may restart, and has to be back in time.
    Granted {
        /// When the lease ends for its holder (ms).
        until_ms: f64,
    },
    /// There is a halt, or no such release: waiting longer is of no use.
    Refused(Answer),
    /// There was none in time; the last answer.
    TimedOut(Answer),
}

/// The wait for a lease. A lease that it may have been granted without receiving the answer is returned at its end.
#[derive(Debug, Clone)]
pub struct RestartLease {
    request: LeaseRequest,
    grant_id: u64,
    give_up_ms: f64,
    /// When the present request was made.
    requested_ms: f64,
    next_request_ms: f64,
    client: Option<FleetClient>,
    last_answer: Answer,
    outcome: Option<LeaseOutcome>,
    returning: Option<FleetClient>,
    rng: Pcg32,
}

impl RestartLease {
    /// Begins to wait. `seed` has to be drawn for each lease.
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
            returning: None,
            rng,
        }
    }

    /// Number of the lease: the restarted dispatcher has to be given it.
    pub fn grant_id(&self) -> u64 {
        self.grant_id
    }

    /// The last answer.
    pub fn last_answer(&self) -> Answer {
        self.last_answer
    }

    /// How the wait ended, once everything that belongs to its end was sent.
    pub fn outcome(&self) -> Option<LeaseOutcome> {
        let is_returned = self
            .returning
            .as_ref()
            .is_none_or(|client| client.answer().is_some());
        self.outcome.filter(|_| is_returned)
    }

    /// Takes in a datagram of the member that is called.
    pub fn handle(&mut self, datagram: &[u8], now_ms: f64) {
        if let Some(returning) = &mut self.returning {
            returning.handle(datagram);
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
        let spread = 0.5 + self.rng.random::<f64>();
        self.next_request_ms =
            self.requested_ms.max(now_ms - REQUEST_INTERVAL_MS) + REQUEST_INTERVAL_MS * spread;
        match answer {
            Answer::Granted { remaining_ms } => {
                // It counts from the request, less the skew: the leader's count ends later by any clock.
                let term_ms = f64::from(remaining_ms) * (1.0 - self.request.max_clock_skew);
                let until_ms = self.requested_ms + term_ms;
                if now_ms < until_ms {
                    self.outcome = Some(LeaseOutcome::Granted { until_ms });
                }
            }
            Answer::Halted { .. } | Answer::NoSuchRelease | Answer::Already => {
                self.end(LeaseOutcome::Refused(answer), now_ms);
            }
            // A dispatcher that has just started may not be known yet.
            Answer::UnknownUnit if now_ms >= self.give_up_ms => {
                self.end(LeaseOutcome::Refused(answer), now_ms);
            }
            _ => {}
        }
    }

    fn end(&mut self, outcome: LeaseOutcome, now_ms: f64) {
        self.outcome = Some(outcome);
        let command = Command::ReturnLease {
            id: self.request.dispatcher,
            grant_id: self.grant_id,
        };
        self.returning = Some(self.call(command, now_ms));
    }

    fn call(&mut self, command: Command, now_ms: f64) -> FleetClient {
        let keys = self.request.keys.clone();
        FleetClient::new(keys, command, now_ms, self.rng.random())
    }

    /// The next action that is due; none: nothing before [`RestartLease::next_poll_ms`].
    pub fn poll(&mut self, now_ms: f64) -> Option<ClientAction> {
        if let Some(returning) = &mut self.returning {
            return returning.poll(now_ms);
        }
        if self.outcome.is_some() {
            return None;
        }
        if now_ms >= self.give_up_ms {
            self.client = None;
            self.end(LeaseOutcome::TimedOut(self.last_answer), now_ms);
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

    /// When to poll again (ms).
    pub fn next_poll_ms(&self) -> f64 {
        if let Some(returning) = &self.returning {
            return returning.next_poll_ms();
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
