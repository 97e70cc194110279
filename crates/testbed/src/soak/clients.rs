//! Clients of a soak. They send requests on open or new connections, in one or two writes, singly or pipelined, and
//! some disconnect before the answer.

use super::dispatcher::{ClientEndpoint, DispatcherSlot};
use crate::client::ClientQuery;
use crate::engine::{QueryWork, ResultShape, RunContext};
use crate::invariants::Effect;
use crate::record::EventKind;
use crate::wire::{field, read_response, RETRY_AFTER_FIELD};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// If a used connection closes within this time after a request was sent on it, the request may have crossed the close.
/// By the protocol, a client then resends it elsewhere. The soak's clients exclude it instead.
const CLOSE_CROSSING_WINDOW: Duration = Duration::from_millis(50);
/// Time after its deadline for which a client still waits for an answer.
const ANSWER_MARGIN: Duration = Duration::from_millis(1500);
/// Interval at which a client that waits for an answer checks whether it must disconnect.
const DISCONNECT_POLL: Duration = Duration::from_millis(50);
/// Length up to which a wrong answer is recorded (characters).
const MAX_RECORDED_CHARS: usize = 200;
/// Time limit of a connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Mean rate of a client's writes, not counting the time that it waits for answers (1/s).
const WRITES_PER_S: f64 = 9.0;
/// Mean work of a query (ms on one core).
pub const MEAN_WORK_MS: f64 = 15.0;

/// A class of the soak's traffic.
#[derive(Debug, Clone, Copy)]
pub struct SoakClass {
    /// Its name.
    pub name: &'static str,
    /// The effect of its queries on data.
    pub effect: Effect,
    /// Its longest deadline, as a fraction of the longest deadline of all classes.
    deadline_fraction: f64,
    /// Its latency objective (ms).
    pub objective_ms: f64,
    /// Its share of all queries.
    traffic_share: f64,
}

impl SoakClass {
    /// Its longest deadline (ms), where `max_deadline_ms` is the longest of all classes.
    pub fn deadline_ms(&self, max_deadline_ms: f64) -> f64 {
        self.deadline_fraction * max_deadline_ms
    }
}

/// Read-only look-ups, non-idempotent loads, and posts with an idempotency key.
pub const CLASSES: [SoakClass; 3] = [
    SoakClass {
        name: "look",
        effect: Effect::ReadOnly,
        deadline_fraction: 0.8,
        objective_ms: 300.0,
        traffic_share: 0.7,
    },
    SoakClass {
        name: "load",
        effect: Effect::NonIdempotent,
        deadline_fraction: 1.0,
        objective_ms: 800.0,
        traffic_share: 0.15,
    },
    SoakClass {
        name: "post",
        effect: Effect::IdempotencyKey,
        deadline_fraction: 1.0,
        objective_ms: 600.0,
        traffic_share: 0.15,
    },
];

/// The manner in which a client sends its next request. All modes but `NewConnection` use the open connection, if there
/// is one.
#[derive(Debug, Clone, Copy, PartialEq)]
enum RequestMode {
    /// Sends one request in one write.
    Reuse,
    /// Opens a new connection.
    NewConnection,
    /// Sends the request in two writes.
    TwoWrites,
    /// Closes or resets the connection before the answer.
    Disconnect,
    /// Sends several requests in one write.
    Pipeline,
    /// Sends an incomplete request and closes the connection.
    Truncate,
}

/// One client, and the state that it shares with other clients.
pub struct SoakClient {
    /// The index of the dispatcher to which the client sends its queries.
    pub dispatcher: usize,
    /// The client's number among those of its dispatcher.
    pub number: u64,
    /// The slot of its dispatcher.
    pub slot: Arc<DispatcherSlot>,
    /// The work and result of each query, from which engines answer, and the record.
    pub context: Arc<RunContext>,
    /// Set at the run's end.
    pub is_finished: Arc<AtomicBool>,
    /// Incremented to make all clients of this dispatcher disconnect.
    pub disconnect_generation: Arc<AtomicU64>,
    /// Whether clients declare the cost of their queries.
    pub has_estimates: bool,
    /// The longest deadline of all classes (ms).
    pub max_deadline_ms: f64,
}

struct Connection {
    stream: TcpStream,
    /// The epoch of the slot when the client connected.
    epoch: u64,
    /// Whether an answer has been received on the connection.
    is_used: bool,
}

impl Connection {
    /// Whether the dispatcher has closed or reset the connection.
    fn is_closed_by_dispatcher(&self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let mut byte = [0];
        let peeked = self.stream.peek(&mut byte);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(count) => count == 0,
            Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
        }
    }
}

/// The outcome of a wait for an answer.
enum WaitOutcome {
    Answered {
        keeps_alive: bool,
    },
    /// The connection was lost, the client must disconnect or the wait timed out.
    Unanswered,
}

impl SoakClient {
    /// Sends queries until the run ends.
    pub fn run(&self, seed: u64) {
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut open: Option<Connection> = None;
        let mut sequence = 0;
        while !self.is_finished.load(Ordering::SeqCst) {
            let pause_s = rng.random_range(0.2..1.8) / WRITES_PER_S;
            thread::sleep(Duration::from_secs_f64(pause_s));
            let endpoint = self.slot.client_endpoint();
            let mode = draw_request_mode(&mut rng);
            let is_reused = |open: &Connection| {
                let takes_requests = self.slot.takes_requests(open.epoch);
                mode != RequestMode::NewConnection
                    && takes_requests
                    && !open.is_closed_by_dispatcher()
            };
            let connection = match open.take().filter(is_reused) {
                Some(open) => Some(open),
                None => self.connect(endpoint),
            };
            let Some(connection) = connection else {
                continue;
            };
            open = self.send(connection, mode, &mut sequence, &mut rng);
        }
    }

    fn connect(&self, endpoint: ClientEndpoint) -> Option<Connection> {
        if !endpoint.takes_connections {
            return None;
        }
        let stream = TcpStream::connect_timeout(&self.slot.listen, CONNECT_TIMEOUT).ok()?;
        let _ = stream.set_nodelay(true);
        Some(Connection {
            stream,
            epoch: endpoint.epoch,
            is_used: false,
        })
    }

    /// Draws a query and registers its work and result for the engines.
    fn draw_query(
        &self,
        epoch: u64,
        sequence: &mut u64,
        rng: &mut Pcg64,
    ) -> (ClientQuery, SoakClass) {
        *sequence += 1;
        let id = (self.dispatcher as u64 + 1) << 48
            | (epoch & 0xff) << 40
            | (self.number & 0xff) << 32
            | *sequence;
        let mut draw: f64 = rng.random();
        let mut class = CLASSES[0];
        for candidate in CLASSES {
            class = candidate;
            draw -= candidate.traffic_share;
            if draw < 0.0 {
                break;
            }
        }
        let work_ms = MEAN_WORK_MS * rng.random_range(0.3..1.7);
        let deadline_ms = class.deadline_ms(self.max_deadline_ms) * rng.random_range(0.25..1.0);
        let tables: u32 = rng.random_range(1..30);
        let statement = match class.name {
            "look" => format!("select rate from sales_{tables}.lanes where id = {sequence}"),
            _ => format!("insert into sales_{tables}.lanes values ({sequence})"),
        };
        let path = format!("/invoke/{}", class.name);
        let mut query = ClientQuery::new(id, &path, class.name, &statement, deadline_ms.floor());
        if self.has_estimates {
            query.cost = Some(work_ms * rng.random_range(0.7..1.4));
        }
        self.context.register(
            query.id(),
            QueryWork {
                work_ms,
                threads: 1.0,
                changes_tables: class.effect != Effect::ReadOnly,
                tables,
                result: ResultShape::Numbered {
                    pages: draw_page_count(rng),
                },
            },
        );
        (query, class)
    }

    /// Records requests that are sent together. They are answered in order, so that the time limit of each includes
    /// the time limits of the requests before it.
    fn record_asked(&self, queries: &[ClientQuery]) {
        let mut max_wait_ms = 0.0;
        for query in queries {
            max_wait_ms += query.max_wait_ms;
            self.context.record.push(EventKind::Asked {
                id: query.id(),
                class: query.class.clone(),
                max_wait_ms,
                key: None,
            });
        }
    }

    /// Sends one or more requests and waits for the answers. Returns the connection if it stays open.
    fn send(
        &self,
        connection: Connection,
        mode: RequestMode,
        sequence: &mut u64,
        rng: &mut Pcg64,
    ) -> Option<Connection> {
        let count = if mode == RequestMode::Pipeline {
            rng.random_range(2..12)
        } else {
            1
        };
        let queries: Vec<ClientQuery> = (0..count)
            .map(|_| self.draw_query(connection.epoch, sequence, rng).0)
            .collect();
        let bytes: Vec<u8> = queries.iter().flat_map(ClientQuery::bytes).collect();
        let mut stream = &connection.stream;
        let mut unsent = bytes.as_slice();
        if matches!(mode, RequestMode::TwoWrites | RequestMode::Truncate) {
            let cut = rng.random_range(1..bytes.len());
            stream.write_all(&bytes[..cut]).ok()?;
            thread::sleep(Duration::from_millis(rng.random_range(1..120)));
            if mode == RequestMode::Truncate {
                return None;
            }
            unsent = &bytes[cut..];
        }
        self.record_asked(&queries);
        if stream.write_all(unsent).is_err() {
            self.exclude(&queries);
            return None;
        }
        let sent = Instant::now();
        if mode == RequestMode::Disconnect {
            self.disconnect(&connection, &queries, rng);
            return None;
        }
        self.await_answers(connection, &queries, sent)
    }

    fn disconnect(&self, connection: &Connection, queries: &[ClientQuery], rng: &mut Pcg64) {
        thread::sleep(Duration::from_millis(rng.random_range(0..80)));
        if rng.random_bool(0.5) {
            let socket = socket2::SockRef::from(&connection.stream);
            let _ = socket.set_linger(Some(Duration::ZERO));
        }
        let _ = connection.stream.shutdown(std::net::Shutdown::Both);
        for query in queries {
            let id = query.id();
            self.context.record.push(EventKind::Left { id });
        }
    }

    fn await_answers(
        &self,
        mut connection: Connection,
        queries: &[ClientQuery],
        sent: Instant,
    ) -> Option<Connection> {
        let generation = self.disconnect_generation.load(Ordering::SeqCst);
        let mut wait_until = sent + ANSWER_MARGIN;
        for (nth, query) in queries.iter().enumerate() {
            wait_until += Duration::from_secs_f64(query.max_wait_ms / 1000.0);
            match self.await_answer(&connection, query, wait_until, generation) {
                WaitOutcome::Answered { keeps_alive: true } => connection.is_used = true,
                WaitOutcome::Answered { keeps_alive: false } => {
                    // The dispatcher does not answer the later requests, which a real client resends elsewhere.
                    self.exclude(&queries[nth + 1..]);
                    return None;
                }
                WaitOutcome::Unanswered => {
                    self.on_unanswered(&connection, &queries[nth..], sent, generation);
                    return None;
                }
            }
        }
        Some(connection)
    }

    fn await_answer(
        &self,
        connection: &Connection,
        query: &ClientQuery,
        wait_until: Instant,
        generation: u64,
    ) -> WaitOutcome {
        if !self.await_first_byte(&connection.stream, wait_until, generation) {
            return WaitOutcome::Unanswered;
        }
        let _ = connection.stream.set_read_timeout(Some(ANSWER_MARGIN));
        // A buffer of one byte reads nothing beyond the answer: the next byte belongs to the next answer.
        let mut reader = BufReader::with_capacity(1, &connection.stream);
        let Some(response) = read_response(&mut reader) else {
            return WaitOutcome::Unanswered;
        };
        let retry_after_ms =
            field(&response.head, RETRY_AFTER_FIELD).and_then(|value| value.parse().ok());
        if response.status == 200 {
            self.check_rows(query, &response.body);
        }
        self.context.record.push(EventKind::Answered {
            id: query.id(),
            status: response.status,
            retry_after_ms,
        });
        let closes = field(&response.head, "Connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"));
        WaitOutcome::Answered {
            keeps_alive: !closes,
        }
    }

    /// Records an answer whose rows differ from its query's result, which is expected complete and in order.
    fn check_rows(&self, query: &ClientQuery, body: &str) {
        let id = query.id();
        let expected = self.context.expected_answer(&id);
        if expected.is_some_and(|expected| expected != body) {
            let rows = body.chars().take(MAX_RECORDED_CHARS).collect();
            self.context.record.push(EventKind::WrongRows { id, rows });
        }
    }

    /// Waits for the first byte of an answer and checks at intervals whether this client must disconnect. Returns false
    /// if the connection closes, the wait times out or the client must disconnect.
    fn await_first_byte(&self, stream: &TcpStream, wait_until: Instant, generation: u64) -> bool {
        let _ = stream.set_read_timeout(Some(DISCONNECT_POLL));
        let mut first = [0];
        loop {
            match stream.peek(&mut first) {
                Ok(0) => return false,
                Ok(_) => return true,
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(_) => return false,
            }
            let disconnects = self.disconnect_generation.load(Ordering::SeqCst) != generation;
            if disconnects || Instant::now() > wait_until {
                return false;
            }
        }
    }

    /// Records that no answer to these queries is expected.
    fn exclude(&self, queries: &[ClientQuery]) {
        for query in queries {
            let id = query.id();
            self.context.record.push(EventKind::Excluded { id });
        }
    }

    /// Records queries that remain unanswered after the connection was lost or the wait ended.
    fn on_unanswered(
        &self,
        connection: &Connection,
        queries: &[ClientQuery],
        sent: Instant,
        generation: u64,
    ) {
        if self.disconnect_generation.load(Ordering::SeqCst) != generation {
            let _ = connection.stream.shutdown(std::net::Shutdown::Both);
            for query in queries {
                let id = query.id();
                self.context.record.push(EventKind::Left { id });
            }
            return;
        }
        // Gives the slot time to register a crash.
        thread::sleep(Duration::from_millis(30));
        if self.slot.has_crashed(connection.epoch) {
            return self.exclude(queries);
        }
        let elapsed = sent.elapsed();
        if connection.is_used && elapsed < CLOSE_CROSSING_WINDOW {
            return self.exclude(queries);
        }
        for query in queries {
            self.context.record.push(EventKind::Lost {
                id: query.id(),
                how: format!(
                    "no answer {} ms after it was sent on a {} connection",
                    elapsed.as_millis(),
                    if connection.is_used { "used" } else { "new" }
                ),
            });
        }
    }
}

/// Draws the number of pages of a result: 1 in 60 % of the cases, otherwise 2 to 8.
fn draw_page_count(rng: &mut Pcg64) -> usize {
    if rng.random_bool(0.6) {
        1
    } else {
        rng.random_range(2..=8)
    }
}

fn draw_request_mode(rng: &mut Pcg64) -> RequestMode {
    match rng.random_range(0..100) {
        0..55 => RequestMode::Reuse,
        55..72 => RequestMode::NewConnection,
        72..80 => RequestMode::TwoWrites,
        80..90 => RequestMode::Disconnect,
        90..96 => RequestMode::Pipeline,
        _ => RequestMode::Truncate,
    }
}
