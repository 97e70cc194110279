//! The one place where client side and engine side meet: the queries in hand, what came in and waits for the next
//! round, and what was decided and waits to be carried out. No I/O.

use crate::counters::Counters;
use crate::notify::Notify;
use crate::statement_classifier::Shape;
use rustc_hash::{FxHashMap, FxHashSet};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use tansymux::events::{
    AttemptLimits, EndpointListKind, EndpointState, NoteKind, Outcome, StatementTraits,
};

/// Queries in hand at most; what comes beyond is turned away at admission.
pub const MAX_QUERIES: usize = 4096;
/// Ids of queries that were submitted and are over, kept so that none is taken twice.
const MAX_PAST: usize = 16 * 1024;

/// A result's pages, as rows in JSON.
pub type Pages = Vec<Vec<u8>>;

/// An entry of the list of engines.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointEntry {
    pub engine_id: u64,
    pub address: Option<SocketAddr>,
    pub kind: String,
    pub zone: String,
    pub cell: u32,
    pub status: EndpointState,
    pub started: Option<f64>,
}

/// What came in since the last round.
#[derive(Debug, Clone)]
pub enum Event {
    Query {
        query: u64,
        tenant: Rc<str>,
        key: Option<u64>,
        cost: f64,
        memory: f64,
        tables: u32,
        text: StatementTraits,
    },
    Vanished {
        query: u64,
    },
    Closed {
        query: u64,
        attempt: usize,
        outcome: Outcome,
        engine_id: u64,
        latency: f64,
        pages: Pages,
    },
    Noted {
        query: u64,
        attempt: usize,
        note: NoteKind,
        amount: f64,
    },
    Probed {
        engine_id: u64,
        outcome: Outcome,
    },
    List {
        form: EndpointListKind,
        engines: Vec<EndpointEntry>,
    },
    Told {
        peer: u32,
        content: Vec<u8>,
    },
}

/// What was decided and waits for the engine side.
#[derive(Debug, PartialEq)]
pub enum EngineCommand {
    Submit {
        query: u64,
        attempt: usize,
        engine_id: u64,
        bounds: AttemptLimits,
    },
    /// The query is over: what has not gone out of it does not any more.
    Withdraw {
        query: u64,
    },
    Cancel {
        query: u64,
        attempt: usize,
    },
    SetPriority {
        query: u64,
        priority: u8,
    },
    Probe {
        engine_id: u64,
    },
}

#[derive(Debug)]
pub enum Answer {
    Completed(Pages),
    Rejected(f64),
    Failed,
}

/// Where the client's connection waits for its answer.
#[derive(Default)]
pub struct AnswerSlot {
    pub notify: Notify,
    answer: RefCell<Option<Answer>>,
}

impl AnswerSlot {
    pub fn take(&self) -> Option<Answer> {
        self.answer.borrow_mut().take()
    }
}

pub struct Query {
    /// Id and resource group as the client sent them.
    pub id: Rc<str>,
    pub rg: Rc<str>,
    pub statement: Rc<[u8]>,
    /// What the engine is told of its token and its key, as fields.
    pub marks: Rc<str>,
    /// When its last byte came, what it costs as far as is known (ms on one core), and by when it is answered.
    pub since: f64,
    pub cost: f64,
    pub due: f64,
    /// What the next attempts are granted, if anything was said.
    pub granted: Option<(u8, f64)>,
    attempts: usize,
    out: bool,
    /// Its text's shape, where it was read, and whether the attempt that is out has waited.
    pub shape: Option<Shape>,
    pub waited: bool,
    /// Where the last attempt went.
    pub engine_id: u64,
    /// Where the answer goes; none once it was given or the client left.
    slot: Option<Rc<AnswerSlot>>,
}

pub struct QueryRegistry {
    pub notify: Rc<Notify>,
    /// No query is given time beyond this: the program ends then.
    ends: Cell<f64>,
    pub counters: Counters,
    queries: RefCell<FxHashMap<u64, Query>>,
    ids: RefCell<FxHashMap<Rc<str>, u64>>,
    past: RefCell<Past>,
    next: Cell<u64>,
    /// Bytes of statements in hand, and how many there may be.
    bytes: Cell<usize>,
    max_bytes: usize,
    events: RefCell<VecDeque<Event>>,
    orders: RefCell<VecDeque<EngineCommand>>,
}

#[derive(Default)]
struct Past {
    known: FxHashSet<Rc<str>>,
    order: VecDeque<Rc<str>>,
}

impl Past {
    fn keep(&mut self, id: Rc<str>) {
        self.known.insert(id.clone());
        self.order.push_back(id);
        if self.order.len() > MAX_PAST {
            self.order
                .pop_front()
                .map(|oldest| self.known.remove(&oldest));
        }
    }
}

impl QueryRegistry {
    pub fn new(max_bytes: usize) -> Self {
        QueryRegistry {
            max_bytes,
            notify: Rc::default(),
            ends: Cell::new(f64::INFINITY),
            counters: Counters::default(),
            queries: RefCell::default(),
            ids: RefCell::default(),
            past: RefCell::default(),
            next: Cell::default(),
            bytes: Cell::default(),
            events: RefCell::default(),
            orders: RefCell::default(),
        }
    }
}

/// What marks a query beyond its id: a token, by which engines know a repeat, and a key, whose queries go in order.
#[derive(Debug, Clone, Copy, Default)]
pub struct RequestKeys<'a> {
    pub token: Option<&'a str>,
    pub key: Option<&'a str>,
}

impl RequestKeys<'_> {
    /// Both as fields of a request to an engine, each with a comma before it.
    fn fields(&self) -> Rc<str> {
        let field = |name: &str, value: Option<&str>| {
            value.map_or(String::new(), |v| format!(",{name}={v}"))
        };
        format!("{}{}", field("nonce", self.token), field("item", self.key)).into()
    }
}

/// A query as the client side has read it.
pub struct QueryRequest<'a> {
    pub id: &'a str,
    pub rg: &'a str,
    pub tenant: &'a str,
    pub statement: &'a [u8],
    pub since: f64,
    pub due: f64,
    pub cost: f64,
    pub memory: f64,
    pub tables: u32,
    pub text: StatementTraits,
    pub shape: Option<Shape>,
    pub marks: RequestKeys<'a>,
}

#[derive(Debug, PartialEq)]
pub enum AdmissionError {
    InHand,
    /// It was submitted before: its effect may be there.
    Past,
    NoRoom,
}

impl QueryRegistry {
    // ---- Client side ----

    /// Takes a query in; its number, and where its answer will come.
    pub fn take(&self, asked: &QueryRequest) -> Result<(u64, Rc<AnswerSlot>), AdmissionError> {
        if self.ids.borrow().contains_key(asked.id) {
            return Err(AdmissionError::InHand);
        }
        if self.past.borrow().known.contains(asked.id) {
            return Err(AdmissionError::Past);
        }
        let bytes = self.bytes.get() + asked.statement.len();
        if self.queries.borrow().len() >= MAX_QUERIES || bytes > self.max_bytes {
            return Err(AdmissionError::NoRoom);
        }
        self.bytes.set(bytes);
        let number = self.next.get() + 1;
        self.next.set(number);
        let (id, slot): (Rc<str>, _) = (asked.id.into(), Rc::new(AnswerSlot::default()));
        let query = Query {
            id: id.clone(),
            rg: asked.rg.into(),
            statement: asked.statement.into(),
            marks: asked.marks.fields(),
            since: asked.since,
            cost: asked.cost,
            due: asked.due.min(self.ends.get()),
            granted: None,
            attempts: 0,
            out: false,
            shape: asked.shape,
            waited: false,
            engine_id: 0,
            slot: Some(slot.clone()),
        };
        self.queries.borrow_mut().insert(number, query);
        self.ids.borrow_mut().insert(id, number);
        self.counters.taken.add();
        let &QueryRequest {
            cost,
            memory,
            tables,
            text,
            ..
        } = asked;
        let tenant = asked.tenant.into();
        let key = asked
            .marks
            .key
            .and_then(|key| u64::from_str_radix(key, 16).ok());
        self.push_event(Event::Query {
            query: number,
            tenant,
            key,
            cost,
            memory,
            tables,
            text,
        });
        Ok((number, slot))
    }

    /// The client is gone. No answer is owed then, and none is given.
    pub fn vanished(&self, number: u64) {
        if self.ends(number).is_some() {
            self.counters.vanished.add();
            self.push_event(Event::Vanished { query: number });
        }
    }

    // ---- Both sides and what lies beside them ----

    pub fn push_event(&self, event: Event) {
        self.events.borrow_mut().push_back(event);
        self.notify.notify();
    }

    pub fn in_flight(&self) -> usize {
        self.queries.borrow().len()
    }

    /// Reads a query in hand.
    pub fn with<T>(&self, number: u64, read: impl FnOnce(&Query) -> T) -> Option<T> {
        self.queries.borrow().get(&number).map(read)
    }

    // ---- Driver ----

    /// Cuts the time of all queries, and of those still to come, to `by`.
    pub fn limit_deadlines(&self, by: f64) {
        self.ends.set(by);
        self.queries
            .borrow_mut()
            .values_mut()
            .for_each(|q| q.due = q.due.min(by));
    }

    pub fn next_event(&self) -> Option<Event> {
        self.events.borrow_mut().pop_front()
    }

    pub fn next_command(&self) -> Option<EngineCommand> {
        self.orders.borrow_mut().pop_front()
    }

    /// Every final answer passes here, once: false if one was given or none is owed.
    pub fn answer(&self, number: u64, answer: Answer) -> bool {
        let Some(slot) = self.ends(number) else {
            return false;
        };
        match answer {
            Answer::Completed(_) => &self.counters.finished,
            Answer::Rejected(_) => &self.counters.rejected,
            Answer::Failed => &self.counters.failed,
        }
        .add();
        let outcome = match answer {
            Answer::Completed(_) => "finished",
            Answer::Rejected(_) => "deferred",
            Answer::Failed => "killed",
        };
        tracing::debug!(query = number, outcome, "answered");
        *slot.answer.borrow_mut() = Some(answer);
        slot.notify.notify();
        self.leave(number);
        true
    }

    /// The query is over: every end, from whichever side, passes here, once. Whatever the settings say of cancels,
    /// what waits to go out of it is withdrawn.
    fn ends(&self, number: u64) -> Option<Rc<AnswerSlot>> {
        let mut queries = self.queries.borrow_mut();
        let q = queries.get_mut(&number)?;
        let slot = q.slot.take()?;
        if q.out {
            self.orders
                .borrow_mut()
                .push_back(EngineCommand::Withdraw { query: number });
        }
        Some(slot)
    }

    /// Whether the query's final answer was given, or none is owed.
    pub fn over(&self, number: u64) -> bool {
        self.queries
            .borrow()
            .get(&number)
            .is_none_or(|q| q.slot.is_none())
    }

    /// Every attempt passes here: none for a query that is over, or has one out.
    pub fn submit(&self, number: u64, engine_id: u64, bounds: AttemptLimits) {
        let mut queries = self.queries.borrow_mut();
        let Some(q) = queries
            .get_mut(&number)
            .filter(|q| q.slot.is_some() && !q.out)
        else {
            tracing::error!(
                query = number,
                "a submission for a query that is over or has one out was not sent"
            );
            return;
        };
        let attempt = q.attempts;
        (q.attempts, q.out, q.waited, q.engine_id) = (attempt + 1, true, false, engine_id);
        self.counters.attempts.add();
        self.orders.borrow_mut().push_back(EngineCommand::Submit {
            query: number,
            attempt,
            engine_id,
            bounds,
        });
    }

    /// The attempt that is out waits for something.
    pub fn waits(&self, number: u64) {
        if let Some(q) = self.queries.borrow_mut().get_mut(&number) {
            q.waited = true;
        }
    }

    pub fn cancel(&self, number: u64, attempt: usize) {
        self.orders.borrow_mut().push_back(EngineCommand::Cancel {
            query: number,
            attempt,
        });
    }

    pub fn probe(&self, engine_id: u64) {
        self.counters.probes.add();
        self.orders
            .borrow_mut()
            .push_back(EngineCommand::Probe { engine_id });
    }

    /// Names what the next attempts get; one that is out takes on a new priority.
    pub fn grant(&self, number: u64, priority: u8, memory: f64) {
        let mut queries = self.queries.borrow_mut();
        let Some(q) = queries.get_mut(&number) else {
            return;
        };
        let before = q.granted.replace((priority, memory));
        if q.out && before.is_some_and(|(p, _)| p != priority) {
            self.orders
                .borrow_mut()
                .push_back(EngineCommand::SetPriority {
                    query: number,
                    priority,
                });
        }
    }

    /// A attempt's end was told to the decisions.
    pub fn closed(&self, number: u64) {
        if let Some(q) = self.queries.borrow_mut().get_mut(&number) {
            q.out = false;
        }
        self.leave(number);
    }

    /// Forgets a query that is over and has no attempt out.
    pub fn leave(&self, number: u64) {
        let mut queries = self.queries.borrow_mut();
        if queries
            .get(&number)
            .is_some_and(|q| q.slot.is_none() && !q.out)
        {
            if let Some(q) = queries.remove(&number) {
                self.ids.borrow_mut().remove(&q.id);
                self.bytes
                    .set(self.bytes.get().saturating_sub(q.statement.len()));
                if q.attempts > 0 {
                    self.past.borrow_mut().keep(q.id);
                }
            }
        }
    }
}

#[cfg(test)]
impl Default for QueryRegistry {
    fn default() -> Self {
        QueryRegistry::new(1 << 20)
    }
}

#[cfg(test)]
mod tests;
