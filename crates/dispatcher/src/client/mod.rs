//! Client side: takes connections, reads queries from them and writes their answers out.

mod http;
mod table;

use crate::clock::Clock;
use crate::net::write_gathered;
use crate::notify::Notify;
use crate::query_registry::{
    AdmissionError, Answer, AnswerSlot, QueryRegistry, QueryRequest, RequestKeys,
};
use crate::service_levels::{self, ServiceLevels};
use crate::statement_classifier::{self, StatementClassifier};
use crate::zone_routing::ZoneRouting;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future;
use http::{answer_head, Head};
use std::cell::{Cell, RefCell};
use std::io::{self, Read};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;
use table::{ConnectionTable, Entry, State};
use tansymux::interface::Text;
use tansymux::told;
use tansymux_sql_analysis::table_group;

/// The paths of the protocol, and one for the counters.
const QUERY_PATH: &str = "/invoke/";
const HEALTH_PATH: &str = "/_health";
const COUNTERS_PATH: &str = "/_counters";
const LEVELS_PATH: &str = "/_levels";
const ZONES_PATH: &str = "/_halls";
/// How often those who wait for a change of level are looked at.
const LEVELS_PAUSE: Duration = Duration::from_millis(50);
/// What is admitted, as the configuration tells.
#[derive(Debug)]
pub struct Admission {
    pub max_connections: usize,
    /// Bytes that all connections together may have sent ahead of what is read.
    pub max_bytes: usize,
    /// Names of resource groups and of tenants; where the settings name no tenant, none is asked for.
    pub groups: Vec<String>,
    pub tenants: Vec<String>,
    /// The longest wait (ms) and the largest estimates (ms on one core, MB) that a query may name.
    pub max_wait: f64,
    pub max_cost: f64,
    pub max_memory: f64,
    /// When (ms) a client that finds no room may come back, if it may be told.
    pub retry_after: Option<f64>,
}

/// An answer is written by this long (ms) before the client stops waiting.
const ANSWER_AHEAD: f64 = 10.0;
const WRITE_WAIT: Duration = Duration::from_secs(10);
/// Clients close idle connections after 4 s; what is idle for so long (ms) has a client that is dead or asks no more.
const IDLE_WAIT: f64 = 20_000.0;
/// A request is whole within so long (ms), or it is turned away.
const WHOLE_WITHIN: f64 = 2400.0;
/// How long (ms), and how many bytes, is read and passed over behind a half-close, so that the last answer is not lost
/// to a reset; and how long a connection on which nothing came is kept for its first request once the program ends.
const LINGER: f64 = 500.0;
const MAX_PASSED_OVER: usize = 1 << 20;
const FIRST_REQUEST: f64 = 500.0;
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
const READ_AT_ONCE: usize = 16 * 1024;
/// Digits of a token and of a key at most: 128 and 64 bits.
const MAX_TOKEN: usize = 32;
const MAX_KEY: usize = 16;
/// Bytes kept of a client that sends on while its query is in hand.
const MAX_AHEAD: usize = http::MAX_HEAD + http::MAX_BODY;

/// What came of waiting for more of a request.
enum More {
    Came,
    Late,
    /// The client closed or reset its side.
    Ended,
    /// The connection is asked to end: its entry is wanted, or the program ends.
    Asked,
}

/// How a connection ends.
enum End {
    /// The client has gone: nothing is owed, and nothing can be told.
    Gone,
    /// From here: half-closed, and what its client still sends is read and passed over.
    HalfClose,
}

/// What became of a request.
enum Opened {
    Query(u64, Rc<AnswerSlot>),
    Answered,
    Rejected,
}

/// What a query's wait came to.
struct Waited {
    /// None if the client left.
    answer: Option<Answer>,
    /// The client sent more than is kept: what it sent is no request any more, and the connection ends.
    overrun: bool,
}

/// What a connection has sent and nobody has read yet, and how much that is on all connections.
struct Inbox<'a> {
    bytes: Vec<u8>,
    all: &'a Cell<usize>,
}

impl Inbox<'_> {
    fn put_in(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
        self.all.set(self.all.get() + bytes.len());
    }

    fn take_out(&mut self, count: usize) {
        self.bytes.drain(..count);
        self.all.set(self.all.get().saturating_sub(count));
        if self.bytes.is_empty() {
            self.bytes = Vec::new();
        }
    }
}

impl Drop for Inbox<'_> {
    fn drop(&mut self) {
        self.take_out(self.bytes.len());
    }
}

pub struct ClientFrontend {
    registry: Rc<QueryRegistry>,
    clock: Clock,
    admission: Admission,
    classes: Rc<StatementClassifier>,
    levels: Rc<ServiceLevels>,
    zones: Rc<ZoneRouting>,
    /// What spilled into zones, as the decisions last counted it.
    pub spilled: RefCell<Vec<(String, f64)>>,
    table: ConnectionTable,
    /// Bytes that wait in inboxes.
    waiting: Cell<usize>,
    shared: RefCell<Vec<u8>>,
    /// Whether the front is told that this dispatcher takes queries.
    pub healthy: Cell<bool>,
    /// Connections are no longer waited for: those that are there already are the last, and each ends once nothing is
    /// owed on it.
    last_call: Cell<bool>,
    called: Notify,
    /// No further connection is taken.
    closed: Cell<bool>,
}

impl ClientFrontend {
    pub fn new(
        registry: Rc<QueryRegistry>,
        clock: Clock,
        admission: Admission,
        classes: Rc<StatementClassifier>,
        levels: Rc<ServiceLevels>,
        zones: Rc<ZoneRouting>,
    ) -> Self {
        let (waiting, healthy, last_call, called, closed) = Default::default();
        let table = ConnectionTable::new(admission.max_connections);
        let shared = RefCell::new(vec![0; READ_AT_ONCE]);
        ClientFrontend {
            registry,
            clock,
            admission,
            classes,
            levels,
            zones,
            spilled: RefCell::default(),
            table,
            waiting,
            shared,
            healthy,
            last_call,
            called,
            closed,
        }
    }

    pub fn bind(listen: SocketAddr) -> io::Result<Async<TcpListener>> {
        Async::<TcpListener>::bind(listen)
    }

    /// Takes those that have connected and then no more; connections that rest are half-closed.
    pub fn last_call(&self) {
        self.last_call.set(true);
        self.called.notify();
        self.table.close_idle();
    }

    /// Whether no connection is left and none will come.
    pub fn all_gone(&self) -> bool {
        self.closed.get() && self.table.held() == 0
    }

    /// Takes connections until the last call is answered. When the table is full, one that is of no use is evicted for
    /// the next.
    pub async fn accept(
        self: Rc<Self>,
        listener: Async<TcpListener>,
        executor: Rc<LocalExecutor<'static>>,
    ) {
        loop {
            while self.table.full() {
                if self.table.evict_one(self.clock.now()) {
                    self.registry
                        .counters
                        .client_connections_evicted
                        .increment();
                }
                let pause = async {
                    Timer::after(ACCEPT_PAUSE).await;
                };
                future::or(self.table.freed.notified(), pause).await;
            }
            // Who has connected counts as taken, read or not: the listener is closed only once none is left in it.
            let accepted = if self.last_call.get() {
                let Some(accepted) = future::poll_once(listener.accept()).await else {
                    break;
                };
                accepted
            } else {
                let called = async {
                    self.called.notified().await;
                    None
                };
                let Some(accepted) =
                    future::or(async { Some(listener.accept().await) }, called).await
                else {
                    continue;
                };
                accepted
            };
            match accepted {
                Ok((stream, _)) => {
                    self.registry.counters.client_connections.increment();
                    let (side, entry) = (self.clone(), self.table.admit(self.clock.now()));
                    let connection = async move {
                        match side.serve(&stream, &entry).await {
                            Ok(End::HalfClose) => side.linger(&stream, &entry).await,
                            Ok(End::Gone) => {}
                            Err(e) => tracing::info!(error = %e, "a client's connection ended"),
                        }
                        drop(stream);
                        side.table.release(&entry);
                    };
                    executor.spawn(connection).detach();
                    // Those that were taken read what they have before the next one is.
                    future::yield_now().await;
                }
                Err(e) => {
                    tracing::warn!(error = %e, "no connection could be taken");
                    Timer::after(ACCEPT_PAUSE).await;
                }
            }
        }
        drop(listener);
        self.closed.set(true);
    }

    /// One connection, one request at a time, up to its end. What is read here is taken, whatever else is under way.
    async fn serve(&self, stream: &Async<TcpStream>, entry: &Entry) -> io::Result<End> {
        stream.get_ref().set_nodelay(true)?;
        let mut inbox = Inbox {
            bytes: Vec::new(),
            all: &self.waiting,
        };
        // When the last of what is in the inbox came: a query's time counts from its last byte. By when the request
        // must be whole: for the first counted from connecting, else from its first byte, however it drips.
        let mut since = self.clock.now();
        let connected = since;
        let mut whole_by = since + WHOLE_WITHIN;
        loop {
            let head = match http::parse(&inbox.bytes) {
                Ok(Some(head)) if inbox.bytes.len() >= head.size + head.length => head,
                Ok(_) => {
                    let (empty, last) = (inbox.bytes.is_empty(), self.last_call.get());
                    let idles = empty && entry.idles();
                    // At the end one that rests is closed at once, but for what has come by then.
                    let by = match () {
                        () if idles && last => since,
                        () if idles => since + IDLE_WAIT,
                        () if empty && last => whole_by.min(connected + FIRST_REQUEST),
                        () => whole_by,
                    };
                    match self.more(stream, &mut inbox, entry, by).await? {
                        More::Came if self.over_quota(&inbox) => {
                            return self.reject(stream, 503, "TryLater").await;
                        }
                        More::Came => {}
                        More::Late if empty => return Ok(End::HalfClose),
                        More::Late => {
                            return self
                                .reject(stream, 408, "the request did not become whole")
                                .await;
                        }
                        More::Ended => return Ok(End::Gone),
                        // While the program ends, what has begun goes on, and what may come first has its time.
                        More::Asked if !entry.evicted() => continue,
                        More::Asked if empty => return Ok(End::HalfClose),
                        More::Asked => return self.reject(stream, 503, "TryLater").await,
                    }
                    since = self.clock.now();
                    if idles {
                        whole_by = since + WHOLE_WITHIN;
                    }
                    continue;
                }
                Err(wrong) => return self.reject(stream, wrong.status, wrong.what).await,
            };
            let (used, mut keep_alive) = (head.size + head.length, head.keep_alive);
            entry.is(State::Active, since);
            match self
                .open(stream, &head, &inbox.bytes[head.size..used], since)
                .await?
            {
                Opened::Query(number, slot) => {
                    inbox.take_out(used);
                    let waited = self
                        .wait(stream, number, &slot, &mut inbox, &mut since)
                        .await;
                    let Some(answer) = waited.answer else {
                        return Ok(End::Gone);
                    };
                    keep_alive &=
                        !(waited.overrun || self.last_call.get() && inbox.bytes.is_empty());
                    self.write_answer(stream, answer, keep_alive).await?;
                }
                Opened::Answered => inbox.take_out(used),
                Opened::Rejected => return Ok(End::HalfClose),
            }
            if !keep_alive {
                return Ok(End::HalfClose);
            }
            // Who sends many requests at once has no more of the program's time than others.
            future::yield_now().await;
            if inbox.bytes.is_empty() {
                since = self.clock.now();
            }
            whole_by = self.clock.now() + WHOLE_WITHIN;
            entry.is(State::Idle, self.clock.now());
        }
    }

    /// Waits for more of a request.
    async fn more(
        &self,
        stream: &Async<TcpStream>,
        inbox: &mut Inbox<'_>,
        entry: &Entry,
        by: f64,
    ) -> io::Result<More> {
        let came = async {
            Ok(if self.read(stream, inbox).await? == 0 {
                More::Ended
            } else {
                More::Came
            })
        };
        let asked = async {
            entry.close.notified().await;
            Ok(More::Asked)
        };
        let late = async {
            Timer::at(self.clock.instant(by)).await;
            Ok(More::Late)
        };
        // What has come goes before what is asked: it is looked for first.
        future::or(came, future::or(asked, late)).await
    }

    /// Whether inboxes are full in sum and this one holds more than its even part: small requests always pass.
    fn over_quota(&self, inbox: &Inbox) -> bool {
        let part = self.admission.max_bytes / self.admission.max_connections.max(1);
        self.waiting.get() > self.admission.max_bytes && inbox.bytes.len() > part
    }

    /// Reads what is there through the one buffer that all connections share.
    async fn read(&self, stream: &Async<TcpStream>, inbox: &mut Inbox<'_>) -> io::Result<usize> {
        let read = |mut stream: &TcpStream| {
            let mut shared = self.shared.borrow_mut();
            let count = stream.read(&mut shared[..])?;
            inbox.put_in(&shared[..count]);
            Ok(count)
        };
        let mut read = read;
        stream.read_with(|stream| read(stream)).await
    }

    /// Answers what can't be read or used. Its connection ends with that: nothing behind it is taken for a request.
    async fn reject(&self, stream: &Async<TcpStream>, status: u16, what: &str) -> io::Result<End> {
        self.registry.counters.requests_rejected.increment();
        tracing::info!(status, what, "turned away");
        let text = format!("{{\"error\":\"{what}\"}}");
        let retry_after = self
            .admission
            .retry_after
            .filter(|_| status == 503)
            .map(|ms| ms.ceil() as u64);
        let head = answer_head(status, text.len(), false, retry_after);
        self.write(stream, &[&head, text.as_bytes()]).await?;
        Ok(End::HalfClose)
    }

    /// Half-closes, and reads what its client still sends, which is never taken for a request: a close over unread bytes
    /// would be a reset, and take the last answer with it.
    async fn linger(&self, stream: &Async<TcpStream>, entry: &Entry) {
        let now = self.clock.now();
        entry.is(State::Closing, now);
        if stream.get_ref().shutdown(Shutdown::Write).is_err() {
            return;
        }
        let mut passed_over = 0;
        while passed_over < MAX_PASSED_OVER {
            let mut inbox = Inbox {
                bytes: Vec::new(),
                all: &self.waiting,
            };
            match self.more(stream, &mut inbox, entry, now + LINGER).await {
                Ok(More::Came) => passed_over += inbox.bytes.len(),
                Ok(More::Asked) if !entry.evicted() => {}
                _ => return,
            }
            future::yield_now().await;
        }
    }

    /// Answers what is no query at once; a query is taken in.
    async fn open(
        &self,
        stream: &Async<TcpStream>,
        head: &Head<'_>,
        body: &[u8],
        since: f64,
    ) -> io::Result<Opened> {
        let (status, text) = match (head.method, head.path) {
            ("POST", path) if path.starts_with(QUERY_PATH) || self.classes.is_path(path) => {
                match self.take(head, body, since) {
                    Ok((number, slot)) => return Ok(Opened::Query(number, slot)),
                    Err((status, what)) => {
                        self.reject(stream, status, what).await?;
                        return Ok(Opened::Rejected);
                    }
                }
            }
            ("GET", HEALTH_PATH) if self.healthy.get() => (200, "{}".to_owned()),
            ("GET", HEALTH_PATH) => (503, "{}".to_owned()),
            ("GET", COUNTERS_PATH) => (
                200,
                statement_classifier::counters(
                    &self.registry,
                    &self.classes,
                    &self.levels,
                    &self.zones,
                ),
            ),
            ("GET", path) if path == LEVELS_PATH || path.starts_with("/_levels?after=") => {
                self.changed(path.strip_prefix("/_levels?after=")).await;
                (200, self.levels.shown(self.clock.now()).to_string())
            }
            ("GET", ZONES_PATH) => {
                let spilled = self.spilled.borrow();
                let of = |name: &str| {
                    spilled
                        .iter()
                        .find(|(zone, _)| zone == name)
                        .map_or(0.0, |(_, n)| *n)
                };
                (200, self.zones.shown(self.clock.now(), of).to_string())
            }
            (_, HEALTH_PATH | COUNTERS_PATH | LEVELS_PATH | ZONES_PATH) => (405, "{}".to_owned()),
            // No path is ever given out with an answer, so none can be called.
            _ => {
                self.reject(stream, 404, "Unknown").await?;
                return Ok(Opened::Rejected);
            }
        };
        self.write_plain(stream, status, &text, head.keep_alive)
            .await?;
        Ok(Opened::Answered)
    }

    /// Waits until the level has changed since the version that is told, if one is, and no longer than is allowed.
    async fn changed(&self, after: Option<&str>) {
        let Some(after) = after.and_then(|after| after.parse::<u64>().ok()) else {
            return;
        };
        let (by, waiting) = (
            self.clock.now() + service_levels::LONGEST_WAIT,
            &self.levels.waiting,
        );
        if waiting.get() >= service_levels::MAX_WAITING {
            return;
        }
        waiting.set(waiting.get() + 1);
        while self.levels.version() == after && self.clock.now() < by && self.healthy.get() {
            Timer::after(LEVELS_PAUSE).await;
        }
        waiting.set(waiting.get() - 1);
    }

    /// How many connections are held.
    pub fn held(&self) -> usize {
        self.table.held()
    }

    fn take(
        &self,
        head: &Head,
        body: &[u8],
        since: f64,
    ) -> Result<(u64, Rc<AnswerSlot>), (u16, &'static str)> {
        let named = head.path.strip_prefix(QUERY_PATH);
        let id = head
            .id
            .filter(|id| id.len() == 16 && id.bytes().all(|b| b.is_ascii_hexdigit()));
        let id = id.ok_or((400, "Req-Id"))?;
        let number = |value: &str| {
            value
                .parse::<f64>()
                .ok()
                .filter(|n| n.is_finite() && *n >= 0.0)
        };
        // What no engine could use reaches none, and leaves nothing in what the decisions learn.
        let told =
            |value: Option<&str>, most: f64| value.map_or(Some(0.0), number).filter(|n| *n <= most);
        let wait = told(head.wait_ms, self.admission.max_wait)
            .filter(|ms| *ms >= 1.0)
            .ok_or((400, "Req-Wait-Ms"))?;
        let cost = told(head.cost, self.admission.max_cost).ok_or((400, "Req-Cost"))?;
        let memory = told(head.memory_mb, self.admission.max_memory).ok_or((400, "X-Need-Mb"))?;
        // Both go on to the engine as they came, in a list of fields that a comma or an equals sign would break.
        let hex = |value: &str, digits: usize| {
            (1..=digits).contains(&value.len()) && value.bytes().all(|b| b.is_ascii_hexdigit())
        };
        if head.token.is_some_and(|token| !hex(token, MAX_TOKEN)) {
            return Err((400, "Req-Token"));
        }
        if head.key.is_some_and(|key| !hex(key, MAX_KEY)) {
            return Err((400, "Req-Key"));
        }
        if named.is_some_and(|rg| !self.admission.groups.iter().any(|known| known == rg)) {
            return Err((404, "unknown resource group"));
        }
        let owner = head.owner.unwrap_or("");
        let tenant = self
            .admission
            .tenants
            .iter()
            .find(|known| told::is_named(known, owner));
        if tenant.is_none() && !self.admission.tenants.is_empty() {
            return Err((403, "unknown customer"));
        }
        let tenant = tenant.map_or("", String::as_str);
        let text = std::str::from_utf8(body).map_err(|_| (400, "the statement is not text"))?;
        if text.trim().is_empty() || text.contains('\0') {
            return Err((400, "the statement is not text"));
        }
        let tables = table_group(body).unwrap_or(u32::MAX);
        let due = since + (wait - ANSWER_AHEAD).max(wait / 2.0);
        let read = match named {
            Some(rg) => self.classes.named(rg, id, body),
            None => self.classes.bare(body, since),
        };
        let of_class = read.as_ref().and_then(|read| read.rg.as_deref());
        let rg = named.or(of_class).ok_or((404, "Unknown"))?;
        let (text, shape) = read
            .as_ref()
            .map_or((Text::UNREAD, None), |read| (read.text, Some(read.shape)));
        // What a client tells of its bare statement holds; what it does not tell is estimated.
        let estimate = |told: f64, read: Option<f64>, most: f64| {
            if told > 0.0 {
                told
            } else {
                read.unwrap_or(0.0).min(most)
            }
        };
        let text = if cost > 0.0 {
            Text { sure: 1.0, ..text }
        } else {
            text
        };
        let bare = read.as_ref().filter(|_| named.is_none());
        let cost = estimate(cost, bare.map(|read| read.cost), self.admission.max_cost);
        let memory = estimate(
            memory,
            bare.map(|read| read.memory),
            self.admission.max_memory,
        );
        let marks = RequestKeys {
            idempotency_key: head.token,
            ordering_key: head.key,
        };
        let asked = QueryRequest {
            id,
            resource_group: rg,
            tenant,
            statement: body,
            received_ms: since,
            deadline_ms: due,
            estimated_cost_ms: cost,
            memory_mb: memory,
            tables,
            text,
            shape,
            keys: marks,
        };
        self.registry.admit(&asked).map_err(|not| match not {
            AdmissionError::InFlight => (409, "a query with this Req-Id is in hand"),
            AdmissionError::AlreadySubmitted => (409, "a query with this Req-Id was taken before"),
            AdmissionError::Overloaded => (503, "TryLater"),
        })
    }

    /// Waits for the answer while watching for the client to leave. The watch never stops: what a client sends beyond
    /// what is kept is read and passed over, so that its end is seen behind it.
    async fn wait(
        &self,
        stream: &Async<TcpStream>,
        number: u64,
        slot: &AnswerSlot,
        inbox: &mut Inbox<'_>,
        since: &mut f64,
    ) -> Waited {
        let overrun = Cell::new(false);
        let left = async {
            let mut passed_over = 0;
            loop {
                let before = inbox.bytes.len();
                if !matches!(self.read(stream, inbox).await, Ok(1..))
                    || passed_over > MAX_PASSED_OVER
                {
                    return None;
                }
                *since = self.clock.now();
                if overrun.get() || inbox.bytes.len() > MAX_AHEAD || self.over_quota(inbox) {
                    overrun.set(true);
                    passed_over += inbox.bytes.len() - before;
                    inbox.take_out(inbox.bytes.len());
                }
                future::yield_now().await;
            }
        };
        let answered = async {
            loop {
                if let Some(answer) = slot.take() {
                    return Some(answer);
                }
                slot.notify.notified().await;
            }
        };
        let answer = future::or(answered, left).await;
        if answer.is_none() {
            self.registry.client_left(number);
        }
        Waited {
            answer,
            overrun: overrun.get(),
        }
    }

    async fn write_answer(
        &self,
        stream: &Async<TcpStream>,
        answer: Answer,
        keep_alive: bool,
    ) -> io::Result<()> {
        match answer {
            Answer::Completed(pages) => {
                let mut parts: Vec<&[u8]> = vec![b"", b"{\"data\":["];
                for page in pages.iter().filter(|page| !page.is_empty()) {
                    if parts.len() > 2 {
                        parts.push(b",");
                    }
                    parts.push(page);
                }
                parts.push(b"]}");
                let head = answer_head(
                    200,
                    parts.iter().map(|part| part.len()).sum(),
                    keep_alive,
                    None,
                );
                parts[0] = &head;
                self.write(stream, &parts).await
            }
            Answer::Rejected {
                retry_after_ms: retry_after,
            } => {
                let body = b"{\"error\":\"TryLater\"}";
                let head = answer_head(
                    429,
                    body.len(),
                    keep_alive,
                    Some(retry_after.max(0.0).ceil() as u64),
                );
                self.write(stream, &[&head, body]).await
            }
            Answer::Failed => {
                self.write_plain(stream, 500, "{\"error\":\"Killed\"}", keep_alive)
                    .await
            }
        }
    }

    async fn write_plain(
        &self,
        stream: &Async<TcpStream>,
        status: u16,
        text: &str,
        keep_alive: bool,
    ) -> io::Result<()> {
        let head = answer_head(status, text.len(), keep_alive, None);
        self.write(stream, &[&head, text.as_bytes()]).await
    }

    async fn write(&self, stream: &Async<TcpStream>, parts: &[&[u8]]) -> io::Result<()> {
        let too_long = async {
            Timer::after(WRITE_WAIT).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let written = future::or(write_gathered(stream, parts), too_long).await;
        if written.is_err() {
            self.registry.counters.answer_write_failures.increment();
        }
        written
    }
}
