//! Whoever calls a member from outside: one command, or the wait for a turn. Without I/O, as all here.

use crate::message::{self, Answer, Command, Message};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use tansymux_coordination::Id;
use tansymux_membership::{codec, DatagramAuthenticator, Keys};

/// What is not answered is said again after so long (ms), and the call is given up after so long.
const AGAIN: f64 = 200.0;
const GIVES_UP: f64 = 6000.0;
/// A turn that was not given is asked for again after so long (ms), spread by half, and at once no later than that.
const ASKS_EVERY: f64 = 700.0;

/// One call.
#[derive(Debug, Clone)]
pub struct FleetClient {
    id: Id,
    seal: DatagramAuthenticator,
    call: u64,
    nonce: Option<u64>,
    command: Command,
    from: f64,
    next: f64,
    answer: Option<Answer>,
}

impl FleetClient {
    /// `seed`: drawn anew for each call.
    pub fn new(keys: Keys, command: Command, now: f64, seed: u64) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed);
        let (id, call) = (rng.random(), rng.random());
        let seal = DatagramAuthenticator::new(keys, rng.random());
        FleetClient {
            id,
            seal,
            call,
            nonce: None,
            command,
            from: now,
            next: now,
            answer: None,
        }
    }

    /// The answer; `NoLeader` where none came in time.
    pub fn answer(&self) -> Option<Answer> {
        self.answer
    }

    pub fn handle(&mut self, bytes: &[u8]) {
        let Some(sender) = codec::peek_sender(bytes) else {
            return;
        };
        let Some(content) = self
            .seal
            .open(sender, bytes)
            .and_then(codec::decode_user_message)
        else {
            return;
        };
        match message::read(content) {
            Some(Message::Nonce { call, nonce }) if call == self.call && self.nonce.is_none() => {
                (self.nonce, self.next) = (Some(nonce), f64::NEG_INFINITY);
            }
            Some(Message::Answer { call, answer })
                if call == self.call && self.answer.is_none() =>
            {
                self.answer = Some(answer);
            }
            _ => {}
        }
    }

    /// What to send to the member that is called, and when to look again.
    pub fn poll(&mut self, now: f64) -> (Vec<Vec<u8>>, f64) {
        if now - self.from >= GIVES_UP {
            self.answer.get_or_insert(Answer::NoLeader);
        }
        if self.answer.is_some() || now < self.next {
            return (Vec::new(), self.next);
        }
        self.next = now + AGAIN;
        let (call, command) = (self.call, self.command);
        let message = match self.nonce {
            None => Message::Hello { call },
            Some(nonce) => Message::Call {
                call,
                nonce,
                command,
            },
        };
        let mut out = Vec::new();
        if let Some(mut bytes) = codec::encode_user_message(self.id, &message::write(&message)) {
            self.seal.seal(&mut bytes);
            out.push(bytes);
        }
        (out, self.next)
    }
}

/// How a wait for a turn ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum TurnEnd {
    /// Until then (ms) it may have begun to go, and be back.
    Granted { until: f64 },
    /// By a halt, or as no release goes there: it is not worth while to wait.
    Halted(Answer),
    /// There was none in time; the last answer.
    GivenUp(Answer),
}

/// The wait for a turn: asks until it has one, all is halted, or its patience is over. What it may have been given
/// without hearing of it, it gives back.
#[derive(Debug, Clone)]
pub struct Turn {
    keys: Keys,
    dispatcher: Id,
    to: u32,
    grant: u64,
    skew: f64,
    gives_up: f64,
    asked: f64,
    next: f64,
    caller: Option<FleetClient>,
    last: Answer,
    end: Option<TurnEnd>,
    returning: Option<FleetClient>,
    rng: Pcg32,
}

impl Turn {
    /// For this dispatcher (0: the one that is called), to this version (0: as it is), waiting at most so long (ms).
    pub fn new(
        keys: Keys,
        dispatcher: Id,
        to: u32,
        skew: f64,
        now: f64,
        patience: f64,
        seed: u64,
    ) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed);
        Turn {
            keys,
            dispatcher,
            to,
            grant: rng.random(),
            skew,
            gives_up: now + patience,
            asked: now,
            next: now,
            caller: None,
            last: Answer::NoLeader,
            end: None,
            returning: None,
            rng,
        }
    }

    pub fn grant(&self) -> u64 {
        self.grant
    }

    /// The last answer that was none.
    pub fn last(&self) -> Answer {
        self.last
    }

    /// The end, once all that belongs to it was said.
    pub fn end(&self) -> Option<TurnEnd> {
        self.end.filter(|_| {
            self.returning
                .as_ref()
                .is_none_or(|caller| caller.answer().is_some())
        })
    }

    pub fn handle(&mut self, now: f64, bytes: &[u8]) {
        if let Some(returning) = &mut self.returning {
            return returning.handle(bytes);
        }
        let Some(caller) = &mut self.caller else {
            return;
        };
        caller.handle(bytes);
        self.takes_answer(now);
    }

    fn takes_answer(&mut self, now: f64) {
        let Some(answer) = self.caller.as_ref().and_then(FleetClient::answer) else {
            return;
        };
        self.caller = None;
        self.last = answer;
        let spread = 0.5 + self.rng.random::<f64>();
        self.next = self.asked.max(now - ASKS_EVERY) + ASKS_EVERY * spread;
        match answer {
            Answer::Granted { left } => {
                // From when it was asked for: what the leader counts ends later by any clock.
                let until = self.asked + f64::from(left) * (1.0 - self.skew);
                if now < until {
                    self.end = Some(TurnEnd::Granted { until });
                }
            }
            Answer::Halted { .. } | Answer::NoSuchRelease | Answer::Already | Answer::Unknown => {
                // One that just started may not be known yet; what is halted, is.
                let sure = !matches!(answer, Answer::Unknown) || now >= self.gives_up;
                if sure {
                    self.ends(now, TurnEnd::Halted(answer));
                }
            }
            _ => {}
        }
    }

    fn ends(&mut self, now: f64, end: TurnEnd) {
        self.end = Some(end);
        let command = Command::Return {
            id: self.dispatcher,
            grant: self.grant,
        };
        self.returning = Some(FleetClient::new(
            self.keys.clone(),
            command,
            now,
            self.rng.random(),
        ));
    }

    /// What to send to the member that is called, and when to look again.
    pub fn poll(&mut self, now: f64) -> (Vec<Vec<u8>>, f64) {
        if let Some(returning) = &mut self.returning {
            return returning.poll(now);
        }
        if self.end.is_some() {
            return (Vec::new(), f64::INFINITY);
        }
        if now >= self.gives_up {
            self.caller = None;
            self.ends(now, TurnEnd::GivenUp(self.last));
            return self.poll(now);
        }
        if let Some(caller) = &mut self.caller {
            let (out, next) = caller.poll(now);
            if caller.answer().is_some() {
                self.takes_answer(now);
            }
            return (out, next.min(self.gives_up));
        }
        if now < self.next {
            return (Vec::new(), self.next.min(self.gives_up));
        }
        self.asked = now;
        let command = Command::Turn {
            id: self.dispatcher,
            to: self.to,
            grant: self.grant,
        };
        let mut caller = FleetClient::new(self.keys.clone(), command, now, self.rng.random());
        let (out, next) = caller.poll(now);
        self.caller = Some(caller);
        (out, next.min(self.gives_up))
    }
}
